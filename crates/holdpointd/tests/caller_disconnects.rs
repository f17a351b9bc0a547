//! Callers that disconnect: their requests must end at the targets and at the instances, and cause no further
//! calls. The deadlines are much longer than the tests, so that no request ends by itself.

mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Target, call, sample_configuration, set_stream_times, set_times,
};
use holdpointd::ingress::Ingress;
use serde_json::Value;

use crate::support::{System, start, start_instance, until};

const SAFE: usize = 0;
const STORY: usize = 4;
const STAGED: usize = 6;
/// Deadline of the requests.
const DEADLINE_MS: u64 = 120_000;
/// Period after the end of a request in which nothing may arrive at the targets.
const QUIET_PERIOD: Duration = Duration::from_millis(500);

/// Starts a system whose routes allow for `DEADLINE_MS`.
async fn start_with_long_deadlines(plain: &[Behaviour], engines: &[Behaviour]) -> System {
    let system = start(plain, engines).await;
    let mut configuration = sample_configuration(2);
    [SAFE, STORY, STAGED].into_iter().for_each(|it| set_times(&mut configuration, it, DEADLINE_MS));
    set_stream_times(&mut configuration, STORY, DEADLINE_MS, DEADLINE_MS);
    system.store.put_configuration(&configuration);
    until(|| system.instance.version() == 2).await;
    system
}

fn request(id: &str, path: &str) -> CallerRequest {
    CallerRequest::new(id, path).with_header("holdpoint-deadline-ms", &DEADLINE_MS.to_string())
}

/// Sends a request from a task that waits for the answer; aborting it disconnects the caller.
fn caller(instance: &Ingress, request: CallerRequest) -> tokio::task::JoinHandle<()> {
    let callers = instance.listen().callers.parse().unwrap();
    tokio::spawn(async move { drop(call(callers, request).await) })
}

/// Disconnects a caller, waits until a condition holds, and prints how long that took.
async fn disconnect(caller: tokio::task::JoinHandle<()>, what: &str, is_over: impl Fn() -> bool) {
    caller.abort();
    let begun = Instant::now();
    until(is_over).await;
    println!("{what}: over {} ms after its caller left", begun.elapsed().as_millis());
}

async fn assert_no_arrivals(targets: &[&Target]) {
    let before: Vec<u64> = targets.iter().map(|it| it.arrived()).collect();
    tokio::time::sleep(QUIET_PERIOD).await;
    let after: Vec<u64> = targets.iter().map(|it| it.arrived()).collect();
    assert_eq!(before, after);
}

#[tokio::test]
async fn work_on_a_whole_answer_ends_and_no_other_target_is_tried() {
    let system = start_with_long_deadlines(&[Behaviour::RunAndHang; 2], &[]).await;
    let waiting = caller(&system.instance, request("r-1", "/safe/"));
    until(|| system.plain_runs() == 1).await;
    let working = || system.plain.iter().map(Target::in_progress).sum::<u64>();
    assert_eq!(working(), 1);
    disconnect(waiting, "whole answer", || working() == 0 && system.instance.in_flight() == 0)
        .await;
    assert_no_arrivals(&[&system.plain[0], &system.plain[1]]).await;
    assert_eq!(system.plain_runs(), 1);
}

#[tokio::test]
async fn work_on_a_stream_ends_before_its_first_event_and_after_it() {
    for behaviour in [Behaviour::RunAndHang, Behaviour::Events(100_000), Behaviour::HangAfter(2)] {
        let system = start_with_long_deadlines(&[], &[behaviour; 2]).await;
        let waiting = caller(&system.instance, request("r-1", "/story/"));
        until(|| system.engine_runs() == 1 && system.instance.in_flight() == 1).await;
        let is_over = || {
            system.engines.iter().all(|it| it.in_progress() == 0)
                && system.instance.in_flight() == 0
        };
        disconnect(waiting, &format!("stream, {behaviour:?}"), is_over).await;
        assert_no_arrivals(&[&system.engines[0], &system.engines[1]]).await;
        assert_eq!(system.engine_runs(), 1);
    }
}

#[tokio::test]
async fn a_resumed_stream_ends_with_its_caller() {
    let system = start_with_long_deadlines(&[], &[Behaviour::BreakAfter(2)]).await;
    let waiting = caller(&system.instance, request("r-1", "/story/"));
    // The second target joins only now, so that the first one gets the request first.
    let second = Target::start("i-second", "engine", Behaviour::RunAndHang).await;
    until(|| system.engine_runs() == 1).await;
    system.store.put_target(&second, false);
    until(|| system.instance.target_count() == 3).await;
    let again = caller(&system.instance, request("r-2", "/story/"));
    until(|| second.in_progress() != 0).await;
    waiting.abort();
    disconnect(again, "resumed stream", || {
        second.in_progress() == 0 && system.instance.in_flight() == 0
    })
    .await;
    assert_no_arrivals(&[&second, &system.engines[0]]).await;
}

/// Whether a target got items of the second stage of a request.
fn got_second_stage(target: &Target, id: &str) -> bool {
    let is_its = |it: &Value| it["id"] == id && !it["inputs"].is_null();
    target.batches().iter().flatten().any(is_its)
}

/// Items of the second stage wait at the instance that batches them, since the target declines their calls.
async fn assert_withdrawn(by_peer: bool) {
    let system = start_with_long_deadlines(&[], &[Behaviour::Events(2)]).await;
    let gate = system.store.open_endpoint().await;
    let other = start_instance("b", &gate);
    let is_known = || system.instance.peer_count() == 1 && other.peer_count() == 1;
    until(|| is_known() && other.is_ready() && other.version() == 2).await;
    until(|| other.target_count() == 2).await;
    system.encoder.set_behaviour(Behaviour::DeclineItems);
    let batcher = batcher(&system, &other).await;
    let receiver = match (batcher == "a") == by_peer {
        true => &other,
        false => &system.instance,
    };
    let waiting = caller(receiver, request("r-1", "/staged/").with_items("2,2"));
    until(|| system.encoder.declined() != 0).await;
    let what = if by_peer { "items at a peer" } else { "items at the caller's instance" };
    waiting.abort();
    let begun = Instant::now();
    let before = system.encoder.declined();
    let mut last = (before, begun);
    let withdrawn = async {
        while last.1.elapsed() < QUIET_PERIOD {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let declined = system.encoder.declined();
            if last.0 != declined {
                last = (declined, Instant::now());
            }
        }
    };
    tokio::time::timeout(support::CONDITION_TIMEOUT, withdrawn)
        .await
        .expect("the items are still sent after their caller disconnected");
    assert!(
        last.0 <= before + 2,
        "more than two calls with the items after their caller disconnected"
    );
    println!("{what}: over {} ms after their caller left", (last.1 - begun).as_millis());
    system.encoder.set_behaviour(Behaviour::Answer);
    assert_no_arrivals(&[&system.encoder, &system.engines[0]]).await;
    assert!(!got_second_stage(&system.encoder, "r-1"));
    // The results of the first stage are released.
    until(|| system.encoder.released().len() == 3).await;
}

/// Name of the instance that batches the items of both, found by the metrics of a probe.
async fn batcher(system: &System, other: &Ingress) -> &'static str {
    let probe = request("probe", "/staged/").with_items("1,0");
    assert_eq!(call(system.caller_address(), probe).await.expect("there is an answer").status, 200);
    let freed = || system.encoder.released().len();
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
async fn items_that_wait_at_the_callers_instance_are_withdrawn() {
    assert_withdrawn(false).await;
}

#[tokio::test]
async fn items_that_wait_at_a_peer_are_withdrawn() {
    assert_withdrawn(true).await;
}

/// A call with work items is not cancelled, since it may have items of other requests. The results of a caller that
/// disconnected are released on arrival, and no further stage runs.
#[tokio::test]
async fn results_that_arrive_after_their_caller_left_are_released() {
    let system = start_with_long_deadlines(&[], &[Behaviour::Events(2)]).await;
    system.encoder.set_behaviour(Behaviour::StallItems);
    let waiting = caller(&system.instance, request("r-1", "/staged/").with_items("1,2"));
    until(|| system.encoder.in_progress() == 1 && system.encoder.batches().len() == 1).await;
    disconnect(waiting, "items in a call", || system.instance.in_flight() == 0).await;
    system.encoder.set_behaviour(Behaviour::Answer);
    until(|| system.encoder.in_progress() == 0).await;
    let freed = || system.encoder.released().into_iter().collect::<BTreeSet<_>>().len();
    until(|| freed() == 3).await;
    assert_no_arrivals(&[&system.encoder, &system.engines[0]]).await;
    assert_eq!(system.engine_runs(), 0);
}

/// Guards against targets that get no more requests, since those of callers that left count as running there.
#[tokio::test]
async fn requests_of_callers_that_left_do_not_count_as_running_at_their_target() {
    let system = start_with_long_deadlines(&[Behaviour::RunAndHang], &[]).await;
    let first = &system.plain[0];
    for left in 0..20 {
        let caller = caller(&system.instance, request(&format!("left-{left}"), "/safe/"));
        until(|| first.runs().len() == left + 1).await;
        disconnect(caller, "request", || system.instance.in_flight() == 0).await;
    }
    let second = Target::start("i-second", "plain", Behaviour::RunAndHang).await;
    system.store.put_target(&second, false);
    until(|| system.instance.target_count() == 3).await;
    // None of these ends, so that nothing but the calls that run at a target tells the two apart.
    let mut waiting = Vec::new();
    for id in 0..20 {
        waiting.push(caller(&system.instance, request(&format!("r-{id}"), "/safe/")));
        until(|| first.in_progress() + second.in_progress() == id + 1).await;
    }
    let (at_first, at_second) = (first.in_progress(), second.in_progress());
    waiting.iter().for_each(|it| it.abort());
    assert!(at_first.abs_diff(at_second) <= 4, "{at_first} and {at_second}");
}
