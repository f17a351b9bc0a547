//! Callers whose whole request has arrived at an instance get an answer, also while it is late, full or stopping.

mod support;

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Outage, Store, Target, call, names, sample_configuration,
};
use holdpointd::{StopOutcome, ingress::Ingress};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::support::{CONDITION_TIMEOUT, settings, until};

/// How long the instance does not run: longer than callers need to take their requests for read.
const PAUSE: Duration = Duration::from_millis(400);
/// Callers that send a request meanwhile.
const CALLERS: usize = 4;
/// Connections that an instance has room for: more than its event loop accepts in one turn.
const ROOM: usize = 300;
/// Turns in which a stopping instance is late: it stops listening in the second one.
const LATE_TURNS: usize = 3;
/// Times that a stop is tried, since what is ready at the same time runs in random order.
const ROUNDS: usize = 6;

/// A caller that reads in a thread of its own, so that it needs no turn of the instance's.
struct Caller(thread::JoinHandle<io::Result<String>>);

impl Caller {
    /// Sends a request on a connection, or on a new one, before it returns; reads until the connection ends.
    fn start(address: SocketAddr, connected: Option<TcpStream>, id: &str, path: &str) -> Caller {
        let request = request_bytes(id, path, "close");
        let sent = connected.map_or_else(|| TcpStream::connect(address), Ok);
        let sent = sent.and_then(|mut it| it.write_all(request.as_bytes()).map(|()| it));
        Caller(thread::spawn(move || {
            let mut stream = sent?;
            stream.set_read_timeout(Some(CONDITION_TIMEOUT))?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        }))
    }

    /// The answer, up to the end of the connection.
    async fn answer(self) -> io::Result<String> {
        tokio::task::spawn_blocking(move || self.0.join().unwrap()).await.unwrap()
    }
}

fn request_bytes(id: &str, path: &str, connection: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\n{}: {id}\r\n{}: 2000\r\n\
         authorization: Bearer key-1\r\nconnection: {connection}\r\ncontent-length: 5\r\n\r\ninput",
        names::REQUEST_ID,
        names::DEADLINE
    )
}

/// A connection that has carried a request and stays open.
async fn kept_connection(address: SocketAddr, id: String) -> TcpStream {
    let opened = move || -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(request_bytes(&id, "/safe/", "keep-alive").as_bytes())?;
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n\r\ninput") {
            let mut part = [0; 1024];
            match stream.read(&mut part)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                it => answer.extend_from_slice(&part[..it]),
            }
        }
        Ok(stream)
    };
    tokio::task::spawn_blocking(opened).await.unwrap().expect("the instance answers")
}

/// Starts an instance with one target; `change` changes its settings.
async fn start_changed(change: impl FnOnce(&mut Value)) -> (Ingress, Store, Target) {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let target = Target::start("i-plain", "plain", Behaviour::Answer).await;
    store.put_target(&target, false);
    let mut settings = settings("a", &store.endpoint, &[]);
    change(&mut settings);
    let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
    until(|| instance.is_ready() && instance.target_count() == 1).await;
    (instance, store, target)
}

fn callers_of(instance: &Ingress) -> SocketAddr {
    instance.listen().callers.parse().unwrap()
}

/// Guards against connections that a full instance closes unread after their requests have waited for long.
#[tokio::test]
async fn a_request_that_has_waited_for_a_full_instance_is_refused() {
    // Memory for two connections of callers.
    let (instance, _store, target) =
        start_changed(|it| it["machine"] = json!({ "memory_mb": 0.25 })).await;
    let address = callers_of(&instance);
    let _kept = [
        kept_connection(address, "kept-1".to_owned()).await,
        kept_connection(address, "kept-2".to_owned()).await,
    ];
    let callers: Vec<Caller> =
        (0..CALLERS).map(|it| Caller::start(address, None, &format!("r-{it}"), "/safe/")).collect();
    // Blocks the only thread of the instance.
    thread::sleep(PAUSE);
    for (index, it) in callers.into_iter().enumerate() {
        let answer = it.answer().await.expect("the connection is not reset");
        assert!(answer.starts_with("HTTP/1.1 503 "), "caller {index}: {answer:?}");
        assert!(answer.contains(&format!("r-{index}\r\n")), "{answer:?}");
    }
    assert_eq!(target.runs().len(), 2, "what was refused has not run");
    let counted = counters(&instance, "holdpoint_refused_full").await;
    let [line] = &counted[..] else { panic!("one counter: {counted:?}") };
    assert!(line.ends_with(&format!(" {CALLERS}")), "{line}");
}

/// Guards against a bound on the waiting time that forgets connections which the event loop takes several turns to accept.
#[tokio::test]
async fn a_request_behind_many_connections_that_waited_is_refused() {
    let memory_mb = ROOM as f64 / 8.0;
    let (instance, _store, _target) =
        start_changed(|it| it["machine"] = json!({ "memory_mb": memory_mb })).await;
    let address = callers_of(&instance);
    // A full instance stops listening, and then listens again with room for all that follow to wait.
    let mut filling = Vec::new();
    while let Ok(it) = tokio::net::TcpStream::connect(address).await {
        filling.push(it);
    }
    drop(filling);
    let request = || call(address, CallerRequest::new("again", "/safe/"));
    while request().await.is_none_or(|it| it.status != StatusCode::OK) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(PAUSE).await;
    let connected = thread::spawn(move || {
        let idle: Vec<_> = (0..ROOM).map(|_| TcpStream::connect(address).unwrap()).collect();
        let late = (0..CALLERS).map(|it| {
            let connected = TcpStream::connect(address).unwrap();
            Caller::start(address, Some(connected), &format!("r-{it}"), "/safe/")
        });
        (idle, late.collect::<Vec<_>>())
    });
    // Blocks the only thread of the instance, then makes each turn of its event loop long.
    thread::sleep(PAUSE);
    let (_idle, late) = connected.join().unwrap();
    thread::sleep(PAUSE);
    let slow_turns = tokio::spawn(async {
        loop {
            thread::sleep(Duration::from_millis(50));
            tokio::task::yield_now().await;
        }
    });
    for (index, it) in late.into_iter().enumerate() {
        let answer = it.answer().await.expect("the connection is not reset");
        assert!(answer.starts_with("HTTP/1.1 503 "), "caller {index}: {answer:?}");
    }
    slow_turns.abort();
}

/// Guards against a listener that is dropped while connections wait in its queue, and against connections that are
/// closed as idle ones although a request has arrived on them.
#[tokio::test]
async fn requests_that_arrive_while_a_stopping_instance_is_late_are_answered() {
    for round in 0..ROUNDS {
        let (instance, _store, _target) = start_changed(|_| ()).await;
        let address = callers_of(&instance);
        let kept = kept_connection(address, format!("first-{round}")).await;
        let linger = Duration::from_millis(100);
        let stopped = tokio::spawn(instance.stop());
        tokio::time::sleep(linger / 2).await;
        let mut callers: Vec<Caller> = (0..CALLERS)
            .map(|it| Caller::start(address, None, &format!("r-{round}-{it}"), "/safe/"))
            .collect();
        callers.push(Caller::start(address, Some(kept), &format!("kept-{round}"), "/safe/"));
        // Blocks the only thread of the instance beyond the time in which it still accepts.
        thread::sleep(PAUSE);
        for (index, it) in callers.into_iter().enumerate() {
            let answer = it.answer().await;
            let answer = answer.unwrap_or_else(|it| panic!("round {round}, caller {index}: {it}"));
            assert!(answer.starts_with("HTTP/1.1 "), "round {round}, caller {index}: {answer:?}");
        }
        assert_eq!(stopped.await.unwrap(), StopOutcome::Drained);
    }
}

/// Guards against a process that is late, learns of requests and of the end of its stop at once, and ends first.
#[test]
fn requests_that_a_late_stop_has_accepted_are_answered_before_it_ends() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (instance, _store, _target) = runtime.block_on(start_changed(|_| ()));
    let address = callers_of(&instance);
    let callers: Vec<Caller> =
        (0..CALLERS).map(|it| Caller::start(address, None, &format!("r-{it}"), "/safe/")).collect();
    // Each turn of the event loop lasts longer than a pause of the stop.
    runtime.spawn(async {
        for _ in 0..LATE_TURNS {
            thread::sleep(PAUSE);
            tokio::task::yield_now().await;
        }
    });
    // The stop is polled before all tasks, as in the daemon, and the runtime ends with it.
    assert_eq!(runtime.block_on(instance.stop()), StopOutcome::Drained);
    drop(runtime);
    for (index, it) in callers.into_iter().enumerate() {
        let answer = it.0.join().unwrap();
        let answer = answer.unwrap_or_else(|it| panic!("caller {index}: {it}"));
        assert!(answer.starts_with("HTTP/1.1 "), "caller {index}: {answer:?}");
    }
}

/// Guards against requests that wait for the first configuration until the process ends.
#[tokio::test]
async fn a_request_that_waits_for_the_first_configuration_is_answered_at_a_stop() {
    let store = Store::start().await;
    let mut settings = settings("a", &store.endpoint, &[]);
    settings["timing"]["grace_s"] = json!(1.0);
    let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
    let address = callers_of(&instance);
    let waiting = tokio::spawn(call(address, CallerRequest::new("r-1", "/safe/")));
    until(|| instance.in_flight() == 1).await;
    assert_eq!(instance.stop().await, StopOutcome::Drained, "the request was cut off");
    let answer = waiting.await.unwrap().expect("the instance answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against requests that wait for the first configuration longer than their callers do.
#[tokio::test]
async fn a_request_that_waits_for_the_first_configuration_is_answered_by_its_deadline() {
    let store = Store::start().await;
    let settings = settings("a", &store.endpoint, &[]);
    let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
    let address = callers_of(&instance);
    let patient = CallerRequest::new("patient", "/safe/").with_header(names::DEADLINE, "20000");
    let patient = tokio::spawn(call(address, patient));
    until(|| instance.in_flight() == 1).await;
    let hasty = CallerRequest::new("hasty", "/safe/").with_header(names::DEADLINE, "100");
    let answer = call(address, hasty).await.expect("the instance answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    // The patient request still waits, so it is served. No request waits for the configuration any longer when
    // an answer comes only at the end of that wait.
    let target = Target::start("i-plain", "plain", Behaviour::Answer).await;
    store.put_target(&target, false);
    store.put_configuration(&sample_configuration(1));
    let answer = patient.await.unwrap().expect("the instance answers");
    assert_eq!(answer.status, StatusCode::OK, "the first answer came no sooner than the start");
}

/// Guards against requests that wait for a confirmation of the configuration until the process ends.
#[tokio::test]
async fn a_request_that_waits_for_a_confirmation_is_answered_at_a_stop() {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let target = Target::start("i-plain", "plain", Behaviour::Answer).await;
    store.put_target(&target, false);
    let mut settings = settings("a", &store.endpoint, &[]);
    // A call to the store outlasts the stop.
    settings["store"]["timeout_ms"] = json!(5000);
    settings["timing"]["grace_s"] = json!(0.9);
    let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
    until(|| instance.is_ready() && instance.target_count() == 1).await;
    store.endpoint.set_outage(Outage::Silent);
    // Beyond the time for which the configuration counts as confirmed.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let address = callers_of(&instance);
    let waiting = tokio::spawn(call(address, CallerRequest::new("r-1", "/nowhere/")));
    until(|| instance.in_flight() == 1).await;
    assert_eq!(instance.stop().await, StopOutcome::Drained, "the request was cut off");
    let answer = waiting.await.unwrap().expect("the instance answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// The instance's metrics that count dropped requests.
async fn dropped_requests(instance: &Ingress) -> Vec<String> {
    counters(instance, "holdpoint_dropped_requests").await
}

/// The lines of a counter on the instance's metrics address.
async fn counters(instance: &Ingress, name: &str) -> Vec<String> {
    let mut stream = tokio::net::TcpStream::connect(&instance.listen().metrics).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let lines = text.lines().filter(|it| it.starts_with(name));
    lines.map(str::to_owned).collect()
}

/// Guards against callers that leave and are counted as requests that the instance dropped.
#[tokio::test]
async fn a_request_whose_caller_leaves_is_not_counted_as_dropped_by_the_instance() {
    let (instance, _store, target) = start_changed(|_| ()).await;
    let address = callers_of(&instance);
    let answer = call(address, CallerRequest::new("r-1", "/safe/")).await;
    assert_eq!(answer.expect("the instance answers").status, StatusCode::OK);
    assert_eq!(dropped_requests(&instance).await, Vec::<String>::new());
    target.set_behaviour(Behaviour::RunAndHang);
    let leaving = tokio::spawn(call(address, CallerRequest::new("r-2", "/unsafe/")));
    until(|| target.runs().len() == 2).await;
    leaving.abort();
    until(|| instance.in_flight() == 0).await;
    let counted = dropped_requests(&instance).await;
    let [line] = &counted[..] else { panic!("one counter: {counted:?}") };
    assert!(line.contains(r#"by="caller""#) && line.contains(r#"step="answer""#), "{line}");
    assert!(line.ends_with(" 1"), "{line}");
}
