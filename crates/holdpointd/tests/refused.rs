//! Statuses 408, 421, 429 and 503 from the system itself promise that a request has not run and never will.
//! Guards against such a status for a request that a target ran and whose answer was lost.

mod support;

use holdpoint_adapter_standin::{Behaviour, CallerAnswer, CallerRequest, Target, call, names};
use http::StatusCode;

use crate::support::{System, start, until};

/// Whether an answer promises that its request has not run.
fn promises_not_run(answer: &CallerAnswer) -> bool {
    let is_own = !answer.headers.contains_key(names::SIGNATURE);
    is_own && [408, 421, 429, 503].contains(&answer.status.as_u16())
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

/// The answer of a target is passed on as the target's own.
#[tokio::test]
async fn a_failure_of_a_target_is_not_replaced_by_a_refusal() {
    let system = start(&[Behaviour::Fail, Behaviour::Decline], &[]).await;
    check_not_run_answers(&system, &system.plain, "/safe/").await;
    check_not_run_answers(&system, &system.plain, "/unsafe/").await;
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
