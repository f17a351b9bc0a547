//! Streams whose bytes a faulty target spoils. Nothing that was passed on may come again.

mod support;

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Store, Target, call, names, sample_configuration,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;

use crate::support::{
    event_stream, start_instance,
    unframed::{End, Reply, UnframedTarget},
    until,
};

/// Number of events of a whole stream.
const EVENTS: u64 = 6;
/// Requests of one test: some of them meet the faulty target first.
const ROUNDS: usize = 12;

/// An instance, a target whose streams are spoiled and then broken off, and a sound one.
struct Fixture {
    _store: Store,
    instance: Ingress,
    faulty: UnframedTarget,
    _sound: Target,
}

async fn fixture(spoiled: &[u8]) -> Fixture {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let reply = Reply::ok(spoiled, End::Reset);
    let faulty = UnframedTarget::start(&store, "i-1", "engine", reply).await;
    let sound = Target::start("i-2", "engine", Behaviour::Events(EVENTS)).await;
    store.put_target(&sound, false);
    let instance = start_instance("a", &store.endpoint);
    until(|| instance.is_ready() && instance.target_count() == 2).await;
    Fixture { _store: store, instance, faulty, _sound: sound }
}

impl Fixture {
    async fn send(&self, request: CallerRequest) -> CallerAnswer {
        let callers = self.instance.listen().callers.parse().unwrap();
        call(callers, request).await.expect("the instance answers")
    }

    /// Bodies of the answers to requests that may be resumed, which all have to be whole.
    async fn whole_bodies(&self) -> Vec<Vec<u8>> {
        let mut bodies = Vec::new();
        for round in 0..ROUNDS {
            let answer = self.send(CallerRequest::new(&format!("r-{round}"), "/story/")).await;
            assert_eq!(answer.status, StatusCode::OK, "round {round}");
            assert!(answer.is_complete, "round {round}: {answer:?}");
            bodies.push(answer.body.to_vec());
        }
        assert!(0 < self.faulty.requests(), "the faulty target got no request");
        bodies
    }
}

/// Ids of the events of an answer.
fn ids(body: &[u8]) -> Vec<u64> {
    let lines = body.split(|it| *it == b'\n').filter_map(|it| it.strip_prefix(b"id: "));
    lines.map(|it| std::str::from_utf8(it).unwrap().parse().unwrap()).collect()
}

/// Guards against an event that comes again because its id was not read beside text that is no UTF-8.
#[tokio::test]
async fn an_event_with_spoiled_text_does_not_come_twice() {
    let spoiled = [event_stream(0, 2).as_bytes(), b"id: 2\ndata: \xf1\x8e\xff\n\n"].concat();
    let fixture = fixture(&spoiled).await;
    for body in fixture.whole_bodies().await {
        assert_eq!(ids(&body), (0..EVENTS).collect::<Vec<_>>());
    }
}

/// A stream whose event 2 is spoiled.
fn spoiled_at_2(event: &str) -> Vec<u8> {
    let rest = event_stream(3, 5);
    format!("{}{event}{rest}", event_stream(0, 2)).into_bytes()
}

/// Guards against a stream that begins anew within its answer, since the id of its last event could not be sent on.
#[tokio::test]
async fn a_stream_goes_on_before_an_event_whose_id_cannot_be_used() {
    let text = "data: part 2\n\n";
    for spoiled in [
        format!("id: 2\u{1}\n{text}"),
        format!("id: 2\u{e9}\n{text}"),
        format!("id:\n{text}"),
        format!("ix: 2\n{text}"),
        text.to_owned(),
        format!("id: 2\ndata: part 2\nid: 3\n{text}"),
    ] {
        let fixture = fixture(&spoiled_at_2(&spoiled)).await;
        for body in fixture.whole_bodies().await {
            let body = String::from_utf8(body).unwrap();
            assert_eq!(body, event_stream(0, EVENTS), "{spoiled:?}");
        }
    }
}

/// Guards against events that come again, from a target that repeats them or begins anew.
#[tokio::test]
async fn an_event_that_a_target_repeats_does_not_come_twice() {
    for repeated in [event_stream(1, 2), event_stream(0, 2)] {
        let fixture = fixture(&spoiled_at_2(&repeated)).await;
        for body in fixture.whole_bodies().await {
            assert_eq!(body, event_stream(0, EVENTS).as_bytes(), "{repeated:?}");
        }
    }
}

/// Guards against two joined runs at the caller: a target that does not heed the last event begins anew.
#[tokio::test]
async fn a_stream_that_its_caller_resumes_does_not_begin_anew() {
    let fixture = fixture(event_stream(0, EVENTS).as_bytes()).await;
    fixture.faulty.set_reply(event_stream(0, EVENTS), End::Close);
    for round in 0..ROUNDS {
        let request = CallerRequest::new(&format!("r-{round}"), "/story/")
            .with_header(names::LAST_EVENT, "2");
        let answer = fixture.send(request).await;
        assert_eq!(answer.status, StatusCode::OK, "round {round}");
        assert_eq!(answer.body, event_stream(3, EVENTS), "round {round}");
    }
    assert!(0 < fixture.faulty.requests(), "the faulty target got no request");
}

/// Guards against an answer with an event twice that ends as complete, where no other target may continue it.
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_cut_before_a_repeated_event() {
    let fixture = fixture(&spoiled_at_2(&event_stream(1, 2))).await;
    fixture.faulty.set_reply(spoiled_at_2(&event_stream(1, 2)), End::Close);
    let mut cut = 0;
    for round in 0..ROUNDS {
        let answer = fixture.send(CallerRequest::new(&format!("r-{round}"), "/once/")).await;
        assert_eq!(answer.status, StatusCode::OK, "round {round}");
        let whole = if answer.is_complete { EVENTS } else { 2 };
        assert_eq!(answer.body, event_stream(0, whole), "round {round}");
        cut += usize::from(!answer.is_complete);
    }
    assert_eq!(cut, fixture.faulty.requests());
    assert!(0 < cut, "the faulty target got no request");
}
