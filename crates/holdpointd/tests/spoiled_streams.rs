//! Streams whose bytes a faulty target spoils. Nothing that was passed on may come again.

mod support;

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Store, Target, call, sample_configuration,
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
    let reply = Reply { body: spoiled.to_vec(), end: End::Reset };
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
