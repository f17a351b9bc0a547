//! Targets that respond late. Guards against sends that are abandoned although no other target can take the request.

mod support;

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, FaultProfile, PausingStream, Target, call,
};
use http::StatusCode;

use crate::support::{event_stream, start, until};

/// Time after which the target responds, in milliseconds: longer than half of the routes' target time, after which a
/// send is abandoned for another target.
const LATE_MS: u64 = 250;

/// Guards against a caller that gets a 502 although the only target begins its stream a little later.
#[tokio::test]
async fn a_stream_that_begins_late_is_whole_where_no_other_target_is_left() {
    let late = PausingStream { count: 4, pause_before: 0, pause_ms: LATE_MS };
    let system = start(&[], &[Behaviour::Pausing(late)]).await;
    let answer = system.ask("r-1", "/story/").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_complete);
    assert_eq!(answer.body, event_stream(0, 4));
    assert_eq!(system.engine_runs(), 1);
}

/// Guards against a caller that gets a 502 although the only target answers a little later.
#[tokio::test]
async fn a_late_answer_is_delivered_where_no_other_target_is_left() {
    let late = FaultProfile { slow_ms: LATE_MS, ..FaultProfile::failures(100) };
    let system = start(&[Behaviour::Faulty(late)], &[]).await;
    let answer = system.ask("r-1", "/safe/").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_complete);
    assert_eq!(system.plain_runs(), 1);
}

/// Guards against a request that stays at a silent target although another one has joined since.
#[tokio::test]
async fn a_silent_target_is_abandoned_once_another_one_joins() {
    let system = start(&[Behaviour::RunAndHang], &[Behaviour::RunAndHang]).await;
    for (path, service, behaviour) in
        [("/safe/", "plain", Behaviour::Answer), ("/story/", "engine", Behaviour::Events(4))]
    {
        let before = system.plain_runs() + system.engine_runs();
        let request = CallerRequest::new(&format!("r-{service}"), path);
        let asking = tokio::spawn(call(system.caller_address(), request));
        until(|| system.plain_runs() + system.engine_runs() == before + 1).await;
        let joined = Target::start(&format!("i-joined-{service}"), service, behaviour).await;
        system.store.put_target(&joined, false);
        let answer = asking.await.unwrap().expect("there is an answer");
        assert_eq!(answer.status, StatusCode::OK, "{path}");
        assert!(answer.is_complete, "{path}");
        assert_eq!(joined.runs().len(), 1, "{path}");
    }
}
