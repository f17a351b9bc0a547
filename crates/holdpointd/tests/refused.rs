//! Statuses that promise a request has not run and never will: 408, 421, 429 and 503 of the system's own.
//! None is given for a request that a target ran, whatever happened to its answer.

mod support;

use holdpoint_adapter_standin::{Behaviour, CallerAnswer, CallerRequest, Target, call, names};
use http::StatusCode;

use crate::support::{System, start, until};

/// Whether an answer says that its request has not run.
fn says_not_run(answer: &CallerAnswer) -> bool {
    let is_own = !answer.headers.contains_key(names::SIGNATURE);
    is_own && [408, 421, 429, 503].contains(&answer.status.as_u16())
}

fn ran(targets: &[Target], id: &str) -> bool {
    targets.iter().flat_map(Target::runs).any(|it| it.request == id)
}

/// Sends requests, which are short of time; none that ran is answered as if it had not.
async fn check(system: &System, targets: &[Target], path: &str) {
    for id in 0..8 {
        let id = format!("r-{path}-{id}");
        let request = CallerRequest::new(&id, path).with_header(names::DEADLINE, "500");
        let answer = system.send(request).await;
        assert!(!(ran(targets, &id) && says_not_run(&answer)), "{path} {id}: {}", answer.status);
    }
}

/// Ways in which a target runs a request and its answer is lost.
const LOST: [Behaviour; 5] = [
    Behaviour::RunAndCut,
    Behaviour::RunAndHang,
    Behaviour::Cross,
    Behaviour::Unsigned,
    Behaviour::CutBody,
];

#[tokio::test]
async fn a_whole_answer_that_was_lost_is_never_called_not_run() {
    for lost in LOST {
        let system = start(&[lost, Behaviour::Decline], &[]).await;
        check(&system, &system.plain, "/safe/").await;
        check(&system, &system.plain, "/unsafe/").await;
        assert_ne!(system.plain[0].runs().len(), 0, "{lost:?}");
    }
}

#[tokio::test]
async fn a_stream_that_was_lost_before_its_first_event_is_never_called_not_run() {
    for lost in [Behaviour::RunAndCut, Behaviour::RunAndHang, Behaviour::Cross] {
        let system = start(&[], &[lost, Behaviour::Decline]).await;
        check(&system, &system.engines, "/story/").await;
        check(&system, &system.engines, "/once/").await;
        assert_ne!(system.engine_runs(), 0, "{lost:?}");
    }
}

/// What a target answers of its own is passed on as its own.
#[tokio::test]
async fn a_failure_of_a_target_is_not_replaced_by_a_refusal() {
    let system = start(&[Behaviour::Fail, Behaviour::Decline], &[]).await;
    check(&system, &system.plain, "/safe/").await;
    check(&system, &system.plain, "/unsafe/").await;
}

#[tokio::test]
async fn a_planned_stop_does_not_call_not_run_what_a_target_works_on() {
    let system = start(&[Behaviour::RunAndHang], &[]).await;
    let request =
        CallerRequest::new("r-1", "/unsafe/").with_header("holdpoint-deadline-ms", "60000");
    let running = tokio::spawn(call(system.callers(), request));
    until(|| system.plain_runs() == 1).await;
    system.instance.stop().await;
    let answer = running.await.unwrap().expect("there is an answer");
    assert!(!says_not_run(&answer), "{}", answer.status);
}

#[tokio::test]
async fn what_no_target_ran_is_refused_and_stays_so() {
    let system = start(&[Behaviour::Decline; 2], &[Behaviour::Decline; 2]).await;
    for path in ["/safe/", "/unsafe/", "/story/", "/once/"] {
        let answer = system.ask(&format!("r-{path}"), path).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(says_not_run(&answer));
    }
    assert_eq!(system.plain_runs() + system.engine_runs(), 0);
}
