//! Answers of targets with neither a length nor chunks, which end with their connection.

mod support;

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Store, call, names, sample_configuration,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;

use crate::support::{
    event_stream, start_instance,
    unframed::{End, Reply, UnframedTarget},
    until,
};

/// An instance, and two targets of a service.
struct Fixture {
    store: Store,
    instance: Ingress,
    targets: Vec<UnframedTarget>,
}

async fn fixture(service: &str, body: &str) -> Fixture {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let mut targets = Vec::new();
    for id in ["i-1", "i-2"] {
        let reply = Reply::ok(body, End::Close);
        targets.push(UnframedTarget::start(&store, id, service, reply).await);
    }
    let instance = start_instance("a", &store.endpoint);
    until(|| instance.is_ready() && instance.target_count() == 2).await;
    Fixture { store, instance, targets }
}

impl Fixture {
    async fn send(&self, request: CallerRequest) -> CallerAnswer {
        let callers = self.instance.listen().callers.parse().unwrap();
        call(callers, request).await.expect("the instance answers")
    }

    fn set_reply(&self, body: &str, end: End) {
        self.targets.iter().for_each(|it| it.set_reply(body, end));
    }

    fn requests(&self) -> usize {
        self.targets.iter().map(UnframedTarget::requests).sum()
    }
}

/// Guards against whole answers that are held back or cut, and connections that are used again after their end.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_forwarded_whole() {
    let fixture = fixture("plain", "the whole answer").await;
    for round in 0..6 {
        let path = if round % 2 == 0 { "/safe/" } else { "/unsafe/" };
        let answer = fixture.send(CallerRequest::new(&format!("r-{round}"), path)).await;
        assert_eq!(answer.status, StatusCode::OK, "round {round}");
        assert!(answer.is_complete);
        assert_eq!(answer.body, "the whole answer");
    }
    assert_eq!(fixture.requests(), 6, "none was sent again");
}

/// Guards against answers that a reset has cut and that are taken for whole ones.
#[tokio::test]
async fn an_answer_whose_connection_is_reset_is_not_complete() {
    let fixture = fixture("plain", "").await;
    fixture.set_reply("half of", End::Reset);
    for (id, path) in [("r-1", "/safe/"), ("r-2", "/unsafe/")] {
        let answer = fixture.send(CallerRequest::new(id, path)).await;
        assert!(answer.status != StatusCode::OK || !answer.is_complete, "{path}: {answer:?}");
    }
    assert_eq!(fixture.requests(), 2 + 1, "the one that may be repeated was sent twice");
}

/// Guards against streams that are broken off although their connection has ended after a whole event.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_whole() {
    let fixture = fixture("engine", &event_stream(0, 4)).await;
    for round in 0..4 {
        let answer = fixture.send(CallerRequest::new(&format!("r-{round}"), "/story/")).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_complete, "round {round}");
        assert_eq!(answer.body, event_stream(0, 4));
    }
}

/// Guards against streams that end inside an event, or with a reset, and are taken for whole ones.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_continued() {
    for (body, end) in [
        (event_stream(0, 2) + "id: 2\ndata: pa", End::Close),
        (event_stream(0, 2) + "id: 2\ndata: pa", End::Reset),
        (event_stream(0, 2), End::Reset),
    ] {
        let fixture = fixture("engine", &body).await;
        fixture.set_reply(&body, end);
        let answer = fixture.send(CallerRequest::new("r-1", "/story/")).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(!answer.is_complete, "{end:?}: both targets have broken it off");
        let last_events: Vec<String> =
            fixture.targets.iter().flat_map(|it| it.header_values(names::LAST_EVENT)).collect();
        assert_eq!(last_events, ["1"], "{end:?}: the second target continues after the last event");
        assert_eq!(fixture.requests(), 2);
    }
}

/// Guards against results of stages that are lost since their answer has no length.
#[tokio::test]
async fn results_of_stages_may_end_with_their_connection() {
    let items = r#"{"items":[{"handle":"127.0.0.1:9/1"},{"handle":"127.0.0.1:9/2"}]}"#;
    let fixture = fixture("encode", items).await;
    let engine = holdpoint_adapter_standin::Target::start("i-9", "engine", Behaviour::Events(3));
    let engine = engine.await;
    fixture.store.put_target(&engine, false);
    until(|| fixture.instance.target_count() == 3).await;
    let request = CallerRequest::new("r-1", "/staged/").with_items("2,0");
    let answer = fixture.send(request).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.body, event_stream(0, 3));
    // Half of the results are none.
    fixture.set_reply(&items[..40], End::Close);
    let request = CallerRequest::new("r-2", "/staged/").with_items("2,0");
    let answer = fixture.send(request).await;
    assert_ne!(answer.status, StatusCode::OK);
}
