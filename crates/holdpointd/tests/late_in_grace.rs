//! Requests that an instance reads late in the grace period of its planned stop: what cannot end within the rest of it is
//! refused while that is true, and nothing that was read ends without an answer.

mod support;

use std::time::{Duration, Instant};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, PausingStream, Store, Target, call, names, sample_configuration,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, sleep_until, timeout},
};

use crate::support::{CONDITION_TIMEOUT, settings, stoppable::Stoppable};

/// Grace period of the stops, in seconds, and the time in it for which new connections are accepted.
const GRACE_S: f64 = 2.0;
const LINGER_MS: u64 = 300;
/// Time from the signal until requests without an answer get a final one.
const FINAL_ANSWERS: Duration = Duration::from_millis(1300);
/// Pause of a stream that lasts longer than the grace period.
const PAUSE_MS: u64 = 1600;
/// Requests that show how long those of a route usually take.
const USUAL: usize = 60;
const BODY: &str = "input";

struct System {
    instance: Stoppable,
    target: Target,
    _store: Store,
}

async fn start(service: &str, behaviour: Behaviour, grace_s: f64, linger_ms: u64) -> System {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let target = Target::start("i-1", service, behaviour).await;
    store.put_target(&target, false);
    let mut settings = settings("a", &store.endpoint, &[]);
    settings["timing"] = json!({ "linger_ms": linger_ms, "grace_s": grace_s });
    let instance = Stoppable::start(settings, |it| it.is_ready() && it.target_count() == 1).await;
    System { instance, target, _store: store }
}

/// Head of a request with a body.
fn head(id: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\n{}: {id}\r\n{}: 20000\r\n\
         authorization: Bearer key-1\r\ncontent-length: {}\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE,
        BODY.len(),
    )
}

/// Reads a connection to its end.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let reading = timeout(CONDITION_TIMEOUT, stream.read_to_end(&mut read)).await;
    // What arrived before a reset counts as well.
    drop(reading.expect("the connection ends"));
    String::from_utf8(read).unwrap()
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Sends the head of a request, stops the instance, and sends the body after `delay`. Returns the answer.
async fn ask_slowly(system: System, path: &str, delay: Duration) -> (String, Target) {
    let System { instance, target, _store } = system;
    let mut stream = TcpStream::connect(&instance.listen.callers).await.unwrap();
    stream.write_all(head("r-1", path).as_bytes()).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let begun = Instant::now();
    let stopping = instance.stop();
    sleep_until((begun + delay).into()).await;
    stream.write_all(BODY.as_bytes()).await.unwrap();
    let answer = read_all(&mut stream).await;
    stopping.ended().await;
    (answer, target)
}

/// Guards against requests that are passed on although they cannot end within the grace period, and then get no answer of
/// their target's.
#[tokio::test]
async fn a_request_read_too_late_in_the_grace_is_refused_and_not_run() {
    for path in ["/unsafe/", "/safe/"] {
        for delay in
            [FINAL_ANSWERS - Duration::from_millis(150), FINAL_ANSWERS + Duration::from_millis(100)]
        {
            let system = start("plain", Behaviour::RunAndHang, GRACE_S, LINGER_MS).await;
            let (answer, target) = ask_slowly(system, path, delay).await;
            assert_eq!(status(&answer), "503", "{path} after {delay:?}: {answer}");
            assert_eq!(target.runs().len(), 0, "{path} after {delay:?}");
        }
    }
}

/// Guards against refusals of requests that there is time for.
#[tokio::test]
async fn a_request_read_early_in_the_grace_is_served() {
    for path in ["/unsafe/", "/safe/"] {
        let system = start("plain", Behaviour::Answer, GRACE_S, LINGER_MS).await;
        let (answer, _) = ask_slowly(system, path, Duration::from_millis(600)).await;
        assert_eq!(status(&answer), "200", "{path}: {answer}");
        assert!(answer.ends_with(BODY), "{path}: {answer}");
    }
}

/// Guards against streams that begin although they usually take longer than what is left, and are cut.
#[tokio::test]
async fn a_stream_that_usually_outlasts_the_grace_is_refused_and_not_run() {
    for path in ["/once/", "/story/"] {
        let pausing = PausingStream { count: 4, pause_before: 2, pause_ms: PAUSE_MS };
        let system = start("engine", Behaviour::Pausing(pausing), GRACE_S, LINGER_MS).await;
        let callers = system.instance.listen.callers.parse().unwrap();
        let request = |id: &str| CallerRequest::new(id, path).with_header(names::DEADLINE, "20000");
        let before = (0..USUAL).map(|it| tokio::spawn(call(callers, request(&format!("u-{it}")))));
        for it in before.collect::<Vec<_>>() {
            let answer = it.await.unwrap().unwrap();
            assert!(answer.is_complete, "{path}: {answer:?}");
        }
        let runs = system.target.runs().len();
        let stopping = system.instance.stop();
        sleep(Duration::from_millis(100)).await;
        let answer = call(callers, request("r-1")).await.expect("it is answered");
        assert_eq!(answer.status.as_u16(), 503, "{path}: {answer:?}");
        assert_eq!(system.target.runs().len(), runs, "{path}");
        stopping.ended().await;
    }
}

/// Guards against a request whose head is read in parts around the close and that is run without an answer.
#[tokio::test]
async fn a_request_half_read_at_the_close_is_answered_or_not_run() {
    for cut in [10, 60, 120] {
        let system = start("plain", Behaviour::Answer, GRACE_S, LINGER_MS).await;
        let System { instance, target, _store } = system;
        let mut stream = TcpStream::connect(&instance.listen.callers).await.unwrap();
        let request = head("r-1", "/unsafe/") + BODY;
        stream.write_all(&request.as_bytes()[..cut]).await.unwrap();
        let stopping = instance.stop();
        sleep(Duration::from_millis(LINGER_MS + 300)).await;
        // The connection may have been closed by then.
        let sent = stream.write_all(&request.as_bytes()[cut..]).await;
        let answer = read_all(&mut stream).await;
        let is_run = !target.runs().is_empty();
        assert!(!is_run || status(&answer) == "200", "cut at {cut}, sent {sent:?}: {answer}");
        stopping.ended().await;
    }
}

/// Guards against a request behind another one on its connection that is run without an answer.
#[tokio::test]
async fn a_request_pipelined_before_the_close_is_answered_or_not_run() {
    let system = start("plain", Behaviour::Answer, GRACE_S, LINGER_MS).await;
    let System { instance, target, _store } = system;
    let mut stream = TcpStream::connect(&instance.listen.callers).await.unwrap();
    // The first one is in progress at the close, and the second one is there by then.
    let first = head("r-1", "/unsafe/");
    stream.write_all(first.as_bytes()).await.unwrap();
    let stopping = instance.stop();
    sleep(Duration::from_millis(LINGER_MS + 300)).await;
    let rest = format!("{BODY}{}{BODY}", head("r-2", "/unsafe/"));
    stream.write_all(rest.as_bytes()).await.unwrap();
    let answers = read_all(&mut stream).await;
    assert_eq!(status(&answers), "200", "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 ").count(), target.runs().len(), "{answers}");
    stopping.ended().await;
}

/// Guards against a grace period shorter than the time to linger, which leaves no time for answers.
#[tokio::test]
async fn a_grace_shorter_than_the_linger_leaves_no_request_without_an_answer() {
    for behaviour in [Behaviour::Answer, Behaviour::RunAndHang] {
        let system = start("plain", behaviour, 0.8, 2400).await;
        let address = system.instance.listen.callers.clone();
        let stopping = system.instance.stop();
        let mut asked = Vec::new();
        for index in 0..12 {
            let address = address.clone();
            asked.push(tokio::spawn(async move {
                let mut stream = TcpStream::connect(&address).await.ok()?;
                let request = head(&format!("r-{index}"), "/unsafe/") + BODY;
                stream.write_all(request.as_bytes()).await.ok()?;
                Some(read_all(&mut stream).await)
            }));
            sleep(Duration::from_millis(30)).await;
        }
        let mut answered = 0;
        for (index, it) in asked.into_iter().enumerate() {
            let Some(answer) = it.await.unwrap() else { continue };
            answered += usize::from(!answer.is_empty());
            let id = format!("r-{index}");
            let is_run = system.target.runs().iter().any(|it| it.request == id);
            assert!(!is_run || answer.starts_with("HTTP/1.1 "), "{behaviour:?} {id} has no answer");
            assert!(!is_run || status(&answer) != "503", "{behaviour:?} {id} was run");
        }
        assert!(0 < answered, "{behaviour:?}");
        stopping.ended().await;
    }
}
