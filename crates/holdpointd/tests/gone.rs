//! Callers who leave: half a second later nothing arrives at targets for them any more, and no target
//! works on what they asked for. Their requests would last for much longer than a test does.

mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Target, call, sample_configuration, set_pace, set_times,
};
use holdpointd::ingress::Ingress;
use serde_json::Value;

use crate::support::{System, start, start_instance, until};

const SAFE: usize = 0;
const STORY: usize = 4;
const STAGED: usize = 6;
/// Time for which requests here would go on, in milliseconds.
const LONG_MS: u64 = 120_000;
/// Span in which nothing may happen to a request once its end was seen.
const QUIET: Duration = Duration::from_millis(500);

/// A system whose requests have two minutes.
async fn patient(plain: &[Behaviour], engines: &[Behaviour]) -> System {
    let system = start(plain, engines).await;
    let mut configuration = sample_configuration(2);
    [SAFE, STORY, STAGED].into_iter().for_each(|it| set_times(&mut configuration, it, LONG_MS));
    set_pace(&mut configuration, STORY, LONG_MS, LONG_MS);
    system.store.put_configuration(&configuration);
    until(|| system.instance.version() == 2).await;
    system
}

fn request(id: &str, path: &str) -> CallerRequest {
    CallerRequest::new(id, path).with_header("holdpoint-deadline-ms", &LONG_MS.to_string())
}

/// A caller who waits for an answer until told to leave.
fn caller(instance: &Ingress, request: CallerRequest) -> tokio::task::JoinHandle<()> {
    let callers = instance.listen().callers.parse().unwrap();
    tokio::spawn(async move { drop(call(callers, request).await) })
}

/// Has a caller leave, waits until a condition holds, and shows how long that took.
async fn leave(caller: tokio::task::JoinHandle<()>, what: &str, is_over: impl Fn() -> bool) {
    caller.abort();
    let begun = Instant::now();
    until(is_over).await;
    println!("{what}: over {} ms after its caller left", begun.elapsed().as_millis());
}

async fn nothing_arrives(targets: &[&Target]) {
    let before: Vec<u64> = targets.iter().map(|it| it.arrived()).collect();
    tokio::time::sleep(QUIET).await;
    let after: Vec<u64> = targets.iter().map(|it| it.arrived()).collect();
    assert_eq!(before, after);
}

#[tokio::test]
async fn work_on_a_whole_answer_ends_and_no_other_target_is_tried() {
    let system = patient(&[Behaviour::RunAndHang; 2], &[]).await;
    let waiting = caller(&system.instance, request("r-1", "/safe/"));
    until(|| system.plain_runs() == 1).await;
    let working = || system.plain.iter().map(Target::working).sum::<u64>();
    assert_eq!(working(), 1);
    leave(waiting, "whole answer", || working() == 0 && system.instance.in_flight() == 0).await;
    nothing_arrives(&[&system.plain[0], &system.plain[1]]).await;
    assert_eq!(system.plain_runs(), 1);
}

#[tokio::test]
async fn work_on_a_stream_ends_before_its_first_event_and_after_it() {
    for behaviour in [Behaviour::RunAndHang, Behaviour::Events(100_000), Behaviour::HangAfter(2)] {
        let system = patient(&[], &[behaviour; 2]).await;
        let waiting = caller(&system.instance, request("r-1", "/story/"));
        until(|| system.engine_runs() == 1 && system.instance.in_flight() == 1).await;
        let is_over = || {
            system.engines.iter().all(|it| it.working() == 0) && system.instance.in_flight() == 0
        };
        leave(waiting, &format!("stream, {behaviour:?}"), is_over).await;
        nothing_arrives(&[&system.engines[0], &system.engines[1]]).await;
        assert_eq!(system.engine_runs(), 1);
    }
}

#[tokio::test]
async fn a_stream_that_goes_on_elsewhere_ends_with_its_caller() {
    let system = patient(&[], &[Behaviour::BreakAfter(2)]).await;
    let waiting = caller(&system.instance, request("r-1", "/story/"));
    // The second target joins only now, so that the first one is asked first.
    let second = Target::start("i-second", "engine", Behaviour::RunAndHang).await;
    until(|| system.engine_runs() == 1).await;
    system.store.put_target(&second, false);
    until(|| system.instance.target_count() == 3).await;
    let again = caller(&system.instance, request("r-2", "/story/"));
    until(|| second.working() != 0).await;
    waiting.abort();
    leave(again, "resumed stream", || second.working() == 0 && system.instance.in_flight() == 0)
        .await;
    nothing_arrives(&[&second, &system.engines[0]]).await;
}

/// Whether a target was called for the second stage of a request's pieces.
fn was_asked(target: &Target, id: &str) -> bool {
    let is_its = |it: &Value| it["id"] == id && !it["inputs"].is_null();
    target.batches().iter().flatten().any(is_its)
}

/// The pieces wait at whichever instance batches them, and are declined again and again.
async fn pieces_are_withdrawn(by_peer: bool) {
    let system = patient(&[], &[Behaviour::Events(2)]).await;
    let gate = system.store.open_gate().await;
    let other = start_instance("b", &gate);
    let is_known = || system.instance.peer_count() == 1 && other.peer_count() == 1;
    until(|| is_known() && other.is_ready() && other.version() == 2).await;
    until(|| other.target_count() == 2).await;
    system.encoder.set_behaviour(Behaviour::DeclinePieces);
    let batcher = batcher(&system, &other).await;
    let asked = match (batcher == "a") == by_peer {
        true => &other,
        false => &system.instance,
    };
    let waiting = caller(asked, request("r-1", "/staged/").with_pieces("2,2"));
    until(|| system.encoder.declined() != 0).await;
    let what = if by_peer { "pieces at a peer" } else { "pieces here" };
    waiting.abort();
    let begun = Instant::now();
    let before = system.encoder.declined();
    let mut last = (before, begun);
    let withdrawn = async {
        while last.1.elapsed() < QUIET {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let declined = system.encoder.declined();
            if last.0 != declined {
                last = (declined, Instant::now());
            }
        }
    };
    tokio::time::timeout(support::PATIENCE, withdrawn).await.expect("the pieces are withdrawn");
    assert!(last.0 <= before + 2, "they are not called for again and again");
    println!("{what}: over {} ms after their caller left", (last.1 - begun).as_millis());
    system.encoder.set_behaviour(Behaviour::Answer);
    nothing_arrives(&[&system.encoder, &system.engines[0]]).await;
    assert!(!was_asked(&system.encoder, "r-1"));
    // The results that it had are given up.
    until(|| system.encoder.freed().len() == 3).await;
}

/// Name of the instance that batches the pieces of the two, as seen by whose metrics count a call.
async fn batcher(system: &System, other: &Ingress) -> &'static str {
    let probe = request("probe", "/staged/").with_pieces("1,0");
    assert_eq!(call(system.callers(), probe).await.expect("there is an answer").status, 200);
    let freed = || system.encoder.freed().len();
    until(|| freed() == 1).await;
    let is_own = metrics(&system.instance).await.contains("holdpoint_pieces");
    let is_others = metrics(other).await.contains("holdpoint_pieces_total{");
    assert!(is_own || is_others);
    if is_others { "b" } else { "a" }
}

async fn metrics(instance: &Ingress) -> String {
    let address = instance.listen().metrics.parse().unwrap();
    let request = CallerRequest::new("m", "/metrics").with_method(http::Method::GET);
    let answer = call(address, request).await.unwrap();
    String::from_utf8_lossy(&answer.body).into_owned()
}

#[tokio::test]
async fn pieces_that_wait_here_are_withdrawn() {
    pieces_are_withdrawn(false).await;
}

#[tokio::test]
async fn pieces_that_wait_at_a_peer_are_withdrawn() {
    pieces_are_withdrawn(true).await;
}

/// A call that carries pieces is not broken off, since it may carry those of others; what it has made
/// is given up at once, and nothing follows.
#[tokio::test]
async fn results_that_come_after_their_caller_left_are_given_up() {
    let system = patient(&[], &[Behaviour::Events(2)]).await;
    system.encoder.set_behaviour(Behaviour::HoldPieces);
    let waiting = caller(&system.instance, request("r-1", "/staged/").with_pieces("1,2"));
    until(|| system.encoder.working() == 1 && system.encoder.batches().len() == 1).await;
    leave(waiting, "pieces in a call", || system.instance.in_flight() == 0).await;
    system.encoder.set_behaviour(Behaviour::Answer);
    until(|| system.encoder.working() == 0).await;
    let freed = || system.encoder.freed().into_iter().collect::<BTreeSet<_>>().len();
    until(|| freed() == 3).await;
    nothing_arrives(&[&system.encoder, &system.engines[0]]).await;
    assert_eq!(system.engine_runs(), 0);
}
