//! Memory of an instance that gets many answers without end at the same time. The instance is a process of its own.

mod support;

use std::time::{Duration, Instant};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Store, Target, call, names, sample_configuration,
};
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpListener, time::sleep};

use crate::support::{
    daemon::Daemon,
    unframed::{End, Reply, UnframedTarget},
    until,
};

/// Memory of the instance's machine.
const MEMORY_MB: f64 = 120.0;
const MEMORY_KB: u64 = (MEMORY_MB as u64) << 10;
/// Faulty targets of a service.
const TARGETS: usize = 40;
/// Requests at the same time.
const AT_ONCE: usize = 200;
/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: &str = "2000";
/// How long the store's answer goes on.
const STORE_TIME: Duration = Duration::from_secs(3);
/// Bytes of one write of the store's answer.
const PART_BYTES: usize = 64 << 10;

struct Fixture {
    _store: Store,
    _sound: Vec<Target>,
    faulty: Vec<UnframedTarget>,
    daemon: Daemon,
}

/// Starts a daemon whose targets of one service never end their answers.
async fn fixture(name: &str, service: &str, end: End) -> Fixture {
    let store = Store::start().await;
    let mut configuration = sample_configuration(1);
    for it in configuration["services"].as_array_mut().unwrap() {
        it["max-connections"] = json!(1000);
    }
    configuration["services"][2]["pieces"]["slots"] = json!(8);
    store.put_configuration(&configuration);
    let mut sound = Vec::new();
    for other in ["plain", "encode", "engine"].into_iter().filter(|it| *it != service) {
        let behaviour = if other == "engine" { Behaviour::Events(3) } else { Behaviour::Answer };
        let target = Target::start(&format!("i-{other}"), other, behaviour).await;
        store.put_target(&target, false);
        sound.push(target);
    }
    if service == "plain" {
        // The daemon is ready once it serves a request.
        let target = Target::start("i-ready", "plain", Behaviour::Answer).await;
        store.put_target(&target, false);
        sound.push(target);
    }
    let daemon = Daemon::start(name, &store, MEMORY_MB);
    daemon.until_serving().await;
    let mut faulty = Vec::new();
    for index in 0..TARGETS {
        let reply = Reply::ok("id: 0\ndata: the beginning", end);
        let id = format!("i-{service}-{index}");
        faulty.push(UnframedTarget::start(&store, &id, service, reply).await);
    }
    Fixture { _store: store, _sound: sound, faulty, daemon }
}

/// Sends many requests at the same time, and returns the memory that the process owned at most, in kilobytes.
async fn peak_of(fixture: &Fixture, path: &str, items: &str) -> u64 {
    // The targets are known by then.
    sleep(Duration::from_millis(500)).await;
    let callers = fixture.daemon.callers.parse().unwrap();
    let asked = (0..AT_ONCE).map(|index| {
        let request = CallerRequest::new(&format!("r-{index}"), path);
        let request = request.with_header(names::DEADLINE, DEADLINE_MS).with_items(items);
        tokio::spawn(call(callers, request))
    });
    for it in asked.collect::<Vec<_>>() {
        drop(it.await);
    }
    until(|| fixture.faulty.iter().all(|it| it.endless() == 0)).await;
    assert!(fixture.faulty.iter().any(|it| 0 < it.endless_bytes()), "no answer was endless");
    fixture.daemon.peak_owned_kb()
}

/// Guards against a sum of answers without end that fills the memory, though each of them is bounded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_endless_answers_at_once_do_not_fill_the_memory() {
    for (service, path, end) in [
        ("plain", "/safe/", End::EndlessHead),
        ("plain", "/unsafe/", End::EndlessBody),
        ("plain", "/safe/", End::EndlessInformation),
        ("engine", "/once/", End::EndlessBody),
        ("encode", "/staged/", End::EndlessBody),
    ] {
        let name = format!("endless-{service}-{end:?}");
        let fixture = fixture(&name, service, end).await;
        let peak = peak_of(&fixture, path, "2,0").await;
        println!("{name}: {peak} kB");
        assert!(peak < MEMORY_KB, "{name}: {peak} kB");
    }
}

/// Guards against an answer of the store without end that is kept until the memory is used up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_answer_of_the_store_does_not_fill_the_memory() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let part = vec![b' '; PART_BYTES];
                let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{").await;
                while sent.is_ok() {
                    sent = stream.write_all(&part).await;
                }
            });
        }
    });
    let daemon = Daemon::start_at("endless-store", &address.to_string(), MEMORY_MB);
    let begun = Instant::now();
    while begun.elapsed() < STORE_TIME {
        let peak = daemon.peak_owned_kb();
        assert!(peak < MEMORY_KB, "{peak} kB after {:?}", begun.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
}
