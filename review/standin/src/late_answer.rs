//! A server of a stage sends an answer a second time, late, on the connection of the next call.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, request},
    stage_server::{Extra, Profile, World, start_model, start_stage},
    store::Store,
    system::{BROKEN, Entry, HELD, NOT_RUN, Record, System, has_trouble, keep_entries},
    wire::wire,
};

/// Length of the traffic, and its rate.
const TRAFFIC: Duration = Duration::from_secs(75);
const PER_S: f64 = 9.0;
/// Pieces of the two stages of each request.
const PIECES: [u32; 2] = [8, 1];
/// Length of a disruption and the time from one to the next, in milliseconds.
const WINDOW_MS: u64 = 5_000;
const EVERY_MS: u64 = 6_000;
/// Of the answers of a server that is struck, one in so many is sent twice: a share of 0.03.
const ONE_IN: u64 = 34;

#[derive(Default)]
struct Seen {
    answered: u64,
    refused: u64,
    failed: u64,
    foreign: Vec<String>,
}

fn configuration() -> String {
    let stage = |service: &str, call_ms: f64, item_ms: f64, batch: u32, room: f64| {
        format!(
            r#"{{"name":"{service}","health-path":"/health","max-connections":610,"protocol":"h1","tls":false,"pieces":{{"slots":1,"queue":2,"batch":{batch},"call-ms":{call_ms},"item-ms":{item_ms},"{headroom}":{room},"handle-s":4.0,"link-mbps":10000}}}}"#,
            headroom = wire("headroom"),
        )
    };
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-brief","host":"shop.example","{prefix}":"/brief/","kind":"stream","timeout-ms":8000,"{latency}":3600,"priority":0,"service":"lm","{attempts}":2,"stages":[{{"service":"desk","{since}":[],"bytes":8000}},{{"service":"loyalty","{since}":[0],"bytes":6000}}],"anonymous":false,"sticky-sessions":true,"stream-resume":true,"gap-aim-ms":500}}],"services":[{{"name":"lm","health-path":"/health","max-connections":610,"protocol":"h1","tls":false,"engine":{{"slots":128,"{kv}":286093}}}},{desk},{loyalty}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"shop-1","api-keys":["key-1"],"priority":1}}]}}"#,
        prefix = wire("prefix"),
        latency = wire("latency"),
        attempts = wire("attempts"),
        since = wire("since"),
        kv = wire("kv"),
        desk = stage("desk", 200.0, 21.0, 8, 18.0),
        loyalty = stage("loyalty", 200.0, 7.8, 22, 2.8),
    )
}

pub fn run(root: &Path, folder: &Path) -> i32 {
    let record = Record::new(folder);
    let trouble = has_trouble();
    let store = Store::start();
    store.put(wire("topic-op"), "config", &configuration());
    let world = World::new(&record, vec![vec![], vec![0]]);
    let windows: Vec<(u64, u64)> =
        (1..20).map(|it| (it * EVERY_MS, it * EVERY_MS + WINDOW_MS)).collect();
    let mut entries = Vec::new();
    for (service, count, call_ms, item_ms) in [("desk", 4, 200.0, 21.0), ("loyalty", 5, 200.0, 7.8)]
    {
        for number in 0..count {
            let id = format!("i-{service}-{number}");
            // Half of the servers are struck.
            let is_struck = trouble && number % 2 == 0 && number < 4;
            let extra = is_struck.then(|| Extra { every: ONE_IN, windows: windows.clone() });
            let profile = Profile { queue: 2, call_ms, item_ms, keep_ms: 4000, extra };
            let address = start_stage(&world, &id, profile);
            let zone = format!("z{}", number % 3 + 1);
            entries.push(Entry { id, service: service.to_owned(), address, zone, slots: 1 });
        }
    }
    for number in 0..3 {
        let id = format!("i-lm-{number}");
        let address = start_model(&world, &id, vec![1]);
        let zone = format!("z{}", number % 3 + 1);
        entries.push(Entry { id, service: "lm".to_owned(), address, zone, slots: 128 });
    }
    keep_entries(&store, entries);
    let Some(system) = System::start(root, &store, 3, &record) else { return NOT_RUN };
    let seen = Arc::new(Mutex::new(Seen::default()));
    let callers: Vec<_> = system.instances.iter().map(|it| it.callers).collect();
    let begun = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0_u64;
    while begun.elapsed() < TRAFFIC {
        let to = callers[number as usize % callers.len()];
        let (world, seen) = (world.clone(), seen.clone());
        clients.push(thread::spawn(move || send(&world, &seen, to, number)));
        number += 1;
        let due = begun + Duration::from_secs_f64(number as f64 / PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    clients.into_iter().for_each(|it| drop(it.join()));
    drop(system);
    let seen = seen.lock().unwrap();
    let broken = world.broken.lock().unwrap();
    record.tell(&format!(
        "{number} requests sent: {} answered whole, {} refused, {} failed",
        seen.answered, seen.refused, seen.failed
    ));
    record.tell(&format!(
        "{} calls of {} pieces, {} requests run; late second answers: {}; inputs gone: {} pieces, {} requests",
        world.counted("calls"),
        world.counted("pieces"),
        world.counted("runs"),
        world.counted("late second answers"),
        world.counted("pieces whose inputs were gone"),
        world.counted("requests whose inputs were gone"),
    ));
    record.tell(&format!(
        "MIXED: {} pieces and runs with inputs that are not their own; {} clients got an answer made of another request's results",
        broken.len(),
        seen.foreign.len()
    ));
    if let Some(it) = broken.first() {
        record.tell(it);
    }
    if let Some(it) = seen.foreign.first() {
        record.tell(it);
    }
    if seen.answered * 2 < number {
        record.tell("under half of the requests were answered: the case says nothing");
        return NOT_RUN;
    }
    if broken.is_empty() { HELD } else { BROKEN }
}

fn send(world: &World, seen: &Mutex<Seen>, to: std::net::SocketAddr, number: u64) {
    let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + number);
    world.sent.lock().unwrap().insert(id.clone(), PIECES.to_vec());
    let counts = PIECES.map(|it| it.to_string()).join(",");
    let (key, prompt) = (format!("{number:012x}"), format!("5c1e07a2:800,{number:08x}:250"));
    let headers = [
        ("Host", "shop.example"),
        (wire("id"), id.as_str()),
        (wire("model"), "m"),
        (wire("usage"), "1050,80"),
        (wire("prompt"), prompt.as_str()),
        (wire("pieces"), counts.as_str()),
        (wire("piece-key"), key.as_str()),
        (wire("deadline"), "8000"),
        ("Authorization", "Bearer key-1"),
        ("Connection", "close"),
    ];
    world.record.note(&format!("a client sends request {id}"));
    let answer = call(to, &request("POST /brief/2f", &headers, b"text"), Duration::from_secs(9));
    let mut seen = seen.lock().unwrap();
    match answer {
        Ok(it) if it.status() == 200 && it.is_whole => {
            seen.answered += 1;
            let body = String::from_utf8_lossy(&it.body).into_owned();
            let of = body.lines().find_map(|it| it.strip_prefix("data: of ")).unwrap_or_default();
            world.record.note(&format!(
                "the client of request {id} gets 200, whole, made of results of {of}"
            ));
            if of != id {
                seen.foreign.push(format!(
                    "the client of request {id} got an answer made of results of {of}"
                ));
            }
        }
        Ok(it) if it.status() == 503 || it.status() == 429 => {
            seen.refused += 1;
            world.record.note(&format!("the client of request {id} gets {}", it.status()));
        }
        Ok(it) => {
            seen.failed += 1;
            world.record.note(&format!(
                "the client of request {id} gets {}, whole: {}",
                it.status(),
                it.is_whole
            ));
        }
        Err(it) => {
            seen.failed += 1;
            world.record.note(&format!("the client of request {id} gets no answer: {it}"));
        }
    }
}
