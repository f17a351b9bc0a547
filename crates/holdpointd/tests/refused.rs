//! Statuses 408, 421, 429 and 503 from the system itself promise that a request has not run and never will.
//! Guards against such a status for a request that a target ran and whose answer was lost.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Rejection, Store, Target, call, names,
    sample_configuration,
};
use http::StatusCode;

use crate::support::{
    System, header, start, start_instance,
    unframed::{End, Reply, UnframedTarget},
    until,
};

/// Whether an answer promises that its request has not run, whoever chose its status.
fn promises_not_run(answer: &CallerAnswer) -> bool {
    [408, 421, 429, 503].contains(&answer.status.as_u16())
}

fn ran(targets: &[Target], id: &str) -> bool {
    targets.iter().flat_map(Target::runs).any(|it| it.request == id)
}

/// Sends requests with a short deadline, and checks that none that ran is answered as not run.
async fn check_not_run_answers(system: &System, targets: &[Target], path: &str) {
    for id in 0..8 {
        let id = format!("r-{path}-{id}");
        let request = CallerRequest::new(&id, path).with_header(names::DEADLINE, "500");
        let answer = system.send(request).await;
        assert!(
            !(ran(targets, &id) && promises_not_run(&answer)),
            "{path} {id}: {}",
            answer.status
        );
    }
}

/// Behaviours of a target that runs a request and loses its answer.
const LOST: [Behaviour; 5] = [
    Behaviour::RunAndCut,
    Behaviour::RunAndHang,
    Behaviour::WrongRequestId,
    Behaviour::Unsigned,
    Behaviour::CutBody,
];

#[tokio::test]
async fn a_whole_answer_that_was_lost_is_never_called_not_run() {
    for lost in LOST {
        let system = start(&[lost, Behaviour::Decline], &[]).await;
        check_not_run_answers(&system, &system.plain, "/safe/").await;
        check_not_run_answers(&system, &system.plain, "/unsafe/").await;
        assert_ne!(system.plain[0].runs().len(), 0, "{lost:?}");
    }
}

#[tokio::test]
async fn a_stream_that_was_lost_before_its_first_event_is_never_called_not_run() {
    for lost in [Behaviour::RunAndCut, Behaviour::RunAndHang, Behaviour::WrongRequestId] {
        let system = start(&[], &[lost, Behaviour::Decline]).await;
        check_not_run_answers(&system, &system.engines, "/story/").await;
        check_not_run_answers(&system, &system.engines, "/once/").await;
        assert_ne!(system.engine_runs(), 0, "{lost:?}");
    }
}

/// Guards against a target's own status that is passed on although it promises what the target has not stated.
#[tokio::test]
async fn a_status_of_a_target_that_ran_a_request_does_not_promise_that_it_has_not_run() {
    let system = start(&[Behaviour::Answer; 2], &[Behaviour::Events(3); 2]).await;
    for status in [408, 429, 503] {
        let status = StatusCode::from_u16(status).unwrap();
        let failure = Rejection::with_backoff(Duration::ZERO).with_values(&[]).after_run();
        let failure = failure.with_status(status);
        for it in system.plain.iter().chain(&system.engines) {
            it.set_rejection(Some(failure.clone()));
        }
        for path in ["/safe/", "/unsafe/", "/story/", "/once/"] {
            let id = format!("r-{}-{path}", status.as_u16());
            let answer = system.ask(&id, path).await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{path} {status}");
            // A signature would be that of another status.
            assert!(!answer.headers.contains_key(names::SIGNATURE), "{path} {status}");
            assert_eq!(header(&answer, names::REQUEST_ID), id);
            assert!(ran(&system.plain, &id) || ran(&system.engines, &id), "{path} {status}");
        }
    }
}

/// Guards against the same status of an answer that is too long to be buffered, whose head is forwarded first.
#[tokio::test]
async fn a_long_failure_of_a_target_does_not_promise_that_its_request_has_not_run() {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let body = "the reason ".repeat(20_000);
    let reply = Reply { status: "503 Service Unavailable", body: body.into(), end: End::Close };
    let target = UnframedTarget::start(&store, "i-1", "plain", reply).await;
    let instance = start_instance("a", &store.endpoint);
    until(|| instance.is_ready() && instance.target_count() == 1).await;
    let callers = instance.listen().callers.parse().unwrap();
    for path in ["/safe/", "/unsafe/"] {
        let answer = call(callers, CallerRequest::new(&format!("r-{path}"), path)).await.unwrap();
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{path}");
    }
    assert_eq!(target.requests(), 2);
}

/// The failure of a target whose status promises nothing is passed on as the target's own.
#[tokio::test]
async fn a_failure_of_a_target_is_not_replaced_by_a_refusal() {
    let system = start(&[Behaviour::Fail, Behaviour::Decline], &[]).await;
    check_not_run_answers(&system, &system.plain, "/safe/").await;
    check_not_run_answers(&system, &system.plain, "/unsafe/").await;
    let system = start(&[Behaviour::Fail], &[]).await;
    let answer = system.ask("r-1", "/unsafe/").await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(answer.headers.contains_key(names::SIGNATURE));
}

#[tokio::test]
async fn a_planned_stop_does_not_report_running_requests_as_not_run() {
    let system = start(&[Behaviour::RunAndHang], &[]).await;
    let request =
        CallerRequest::new("r-1", "/unsafe/").with_header("holdpoint-deadline-ms", "60000");
    let running = tokio::spawn(call(system.caller_address(), request));
    until(|| system.plain_runs() == 1).await;
    system.instance.stop().await;
    let answer = running.await.unwrap().expect("the instance answers");
    assert!(!promises_not_run(&answer), "{}", answer.status);
}

#[tokio::test]
async fn a_request_that_all_targets_declined_is_refused_and_never_runs() {
    let system = start(&[Behaviour::Decline; 2], &[Behaviour::Decline; 2]).await;
    for path in ["/safe/", "/unsafe/", "/story/", "/once/"] {
        let answer = system.ask(&format!("r-{path}"), path).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(promises_not_run(&answer));
    }
    assert_eq!(system.plain_runs() + system.engine_runs(), 0);
}
