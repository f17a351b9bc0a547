//! Addresses are used again by other targets: whatever is sent names the target that is meant, and 421,
//! from one that is not meant, counts as not run.

mod support;

use holdpoint_adapter_standin::{Behaviour, CallerRequest, Target, names};
use http::StatusCode;

use crate::support::{start, story, until};

#[tokio::test]
async fn sends_pieces_resumed_streams_and_releases_name_the_target_that_is_meant() {
    let engines = [Behaviour::BreakAfter(3), Behaviour::BreakAfter(3)];
    let system = start(&[Behaviour::Answer], &engines).await;
    assert_eq!(system.ask("r-1", "/safe/").await.status, StatusCode::OK);
    assert_eq!(system.ask("r-2", "/unsafe/").await.status, StatusCode::OK);
    system.engines.iter().for_each(|it| it.set_behaviour(Behaviour::Events(2)));
    let staged = CallerRequest::new("r-3", "/staged/").with_pieces("2,1");
    assert_eq!(system.send(staged).await.status, StatusCode::OK);
    // The stream breaks off at whichever engine has it first, and goes on at the other.
    system.engines.iter().for_each(|it| it.set_behaviour(Behaviour::BreakAfter(3)));
    drop(system.ask("r-4", "/story/").await);
    let paths = |it: &Target| it.meant().into_iter().map(|it| it.0).collect::<Vec<_>>();
    until(|| paths(&system.encoder).contains(&names::RELEASE_PATH.to_owned())).await;
    let resumed = system.engines.iter().flat_map(Target::runs);
    let resumed = resumed.filter(|it| it.headers.contains_key("last-event-id"));
    assert_eq!(resumed.count(), 1);
    assert!(paths(&system.encoder).contains(&names::PIECES_PATH.to_owned()));
    for target in system.plain.iter().chain(&system.engines).chain([&system.encoder]) {
        let meant = target.meant();
        assert!(!meant.is_empty());
        assert!(meant.iter().all(|it| it.1 == target.id), "{meant:?}");
    }
}

/// The list names a target that is gone; another one has its address.
fn gone(at: &Target, id: &str, service: &str) -> Target {
    let mut gone = at.clone();
    (gone.id, gone.service) = (id.to_owned(), service.to_owned());
    gone
}

#[tokio::test]
async fn a_request_that_meets_another_target_has_not_run() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    // The encoder has the address that a plain target had.
    system.store.put_target(&gone(&system.encoder, "i-gone", "plain"), false);
    until(|| system.instance.target_count() == 3).await;
    let answer = system.ask("r-1", "/unsafe/").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "a promise that it has not run");
    assert_eq!(system.encoder.runs().len(), 0);
    let plain = Target::start("i-plain", "plain", Behaviour::Answer).await;
    system.store.put_target(&plain, false);
    until(|| system.instance.target_count() == 3).await;
    assert_eq!(system.ask("r-2", "/unsafe/").await.status, StatusCode::OK);
    assert_eq!(plain.runs().len(), 1);
}

#[tokio::test]
async fn a_stream_and_pieces_that_meet_another_target_go_to_the_right_one() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    let plain = Target::start("i-plain", "plain", Behaviour::Answer).await;
    system.store.put_target(&gone(&plain, "i-gone-engine", "engine"), false);
    system.store.put_target(&gone(&plain, "i-gone-encoder", "encode"), false);
    until(|| system.instance.target_count() == 4).await;
    for id in 0..4 {
        let request = CallerRequest::new(&format!("r-{id}"), "/staged/").with_pieces("2,1");
        let answer = system.send(request).await;
        assert_eq!((answer.status, answer.body), (StatusCode::OK, story(0, 2).into()));
    }
    assert_eq!(plain.runs().len() + plain.batches().len(), 0);
    assert_eq!(system.engine_runs(), 4);
}
