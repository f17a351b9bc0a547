//! Another target may reuse an address: each call names its intended target, and a 421 from another one counts as
//! not run. Otherwise a stale address sends work to the wrong target.

mod support;

use holdpoint_adapter_standin::{Behaviour, CallerRequest, Target, names};
use http::StatusCode;

use crate::support::{event_stream, start, until};

#[tokio::test]
async fn requests_items_resumed_streams_and_releases_name_their_intended_target() {
    let engines = [Behaviour::BreakAfter(3), Behaviour::BreakAfter(3)];
    let system = start(&[Behaviour::Answer], &engines).await;
    assert_eq!(system.ask("r-1", "/safe/").await.status, StatusCode::OK);
    assert_eq!(system.ask("r-2", "/unsafe/").await.status, StatusCode::OK);
    system.engines.iter().for_each(|it| it.set_behaviour(Behaviour::Events(2)));
    let staged = CallerRequest::new("r-3", "/staged/").with_items("2,1");
    assert_eq!(system.send(staged).await.status, StatusCode::OK);
    // The stream breaks at the engine that is chosen first, and is resumed at the other.
    system.engines.iter().for_each(|it| it.set_behaviour(Behaviour::BreakAfter(3)));
    drop(system.ask("r-4", "/story/").await);
    let paths = |it: &Target| it.addressed().into_iter().map(|it| it.0).collect::<Vec<_>>();
    until(|| paths(&system.encoder).contains(&names::RELEASE_PATH.to_owned())).await;
    let resumed = system.engines.iter().flat_map(Target::runs);
    let resumed = resumed.filter(|it| it.headers.contains_key("last-event-id"));
    assert_eq!(resumed.count(), 1);
    assert!(paths(&system.encoder).contains(&names::RUN_PATH.to_owned()));
    for target in system.plain.iter().chain(&system.engines).chain([&system.encoder]) {
        let meant = target.addressed();
        assert!(!meant.is_empty());
        assert!(meant.iter().all(|it| it.1 == target.id), "{meant:?}");
    }
}

/// A stopped target that is still listed, although `successor` has its address now.
fn stale_entry(successor: &Target, id: &str, service: &str) -> Target {
    let mut stale = successor.clone();
    (stale.id, stale.service) = (id.to_owned(), service.to_owned());
    stale
}

#[tokio::test]
async fn a_request_that_reaches_another_target_counts_as_not_run() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    // The encoder has the former address of a plain target.
    system.store.put_target(&stale_entry(&system.encoder, "i-gone", "plain"), false);
    until(|| system.instance.target_count() == 3).await;
    let answer = system.ask("r-1", "/unsafe/").await;
    assert_eq!(
        answer.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "503 states that the request has not run"
    );
    assert_eq!(system.encoder.runs().len(), 0);
    let plain = Target::start("i-plain", "plain", Behaviour::Answer).await;
    system.store.put_target(&plain, false);
    until(|| system.instance.target_count() == 3).await;
    assert_eq!(system.ask("r-2", "/unsafe/").await.status, StatusCode::OK);
    assert_eq!(plain.runs().len(), 1);
}

#[tokio::test]
async fn a_stream_and_items_that_reach_another_target_are_sent_to_the_right_one() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    let plain = Target::start("i-plain", "plain", Behaviour::Answer).await;
    system.store.put_target(&stale_entry(&plain, "i-gone-engine", "engine"), false);
    system.store.put_target(&stale_entry(&plain, "i-gone-encoder", "encode"), false);
    until(|| system.instance.target_count() == 4).await;
    for id in 0..4 {
        let request = CallerRequest::new(&format!("r-{id}"), "/staged/").with_items("2,1");
        let answer = system.send(request).await;
        assert_eq!((answer.status, answer.body), (StatusCode::OK, event_stream(0, 2).into()));
    }
    assert_eq!(plain.runs().len() + plain.batches().len(), 0);
    assert_eq!(system.engine_runs(), 4);
}

/// Guards against releases that are sent to a target of another service, which has the address of the results' maker now.
#[tokio::test]
async fn results_are_not_released_at_a_target_of_another_service() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    // The successor is known first, so that it is found first at the address.
    system.store.drop_target(&system.encoder.id);
    until(|| system.instance.target_count() == 1).await;
    system.store.put_target(&stale_entry(&system.encoder, "i-successor", "plain"), false);
    until(|| system.instance.target_count() == 2).await;
    system.store.put_target(&system.encoder, false);
    until(|| system.instance.target_count() == 3).await;
    let staged = CallerRequest::new("r-1", "/staged/").with_items("2,1");
    assert_eq!(system.send(staged).await.status, StatusCode::OK);
    let releases = || {
        let all = system.encoder.addressed().into_iter();
        all.filter(|it| it.0 == names::RELEASE_PATH).map(|it| it.1).collect::<Vec<_>>()
    };
    until(|| !releases().is_empty()).await;
    assert!(releases().iter().all(|it| *it == system.encoder.id), "{:?}", releases());
}
