//! Answers of targets that go on without end, and sound targets that are silent for a while.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Store, Target, call, names, sample_configuration,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;

use crate::support::{
    CONDITION_TIMEOUT, event_stream, start_instance,
    unframed::{End, Reply, UnframedTarget},
    until,
};

/// Deadline that callers state, in milliseconds.
const DEADLINE_MS: &str = "1500";
/// Most bytes of an endless answer that a target may get rid of where nothing is forwarded: what the instance buffers,
/// and what the kernel holds for both ends.
const MAX_TAKEN_BYTES: usize = 16 << 20;
/// How long a caller waits that leaves early.
const CALLER_TIME: Duration = Duration::from_millis(300);
/// How long a sound target is silent.
const SILENCE: Duration = Duration::from_millis(1200);

/// An instance, two raw targets of a service, and an engine unless the service is that.
struct Fixture {
    _store: Store,
    instance: Ingress,
    targets: Vec<UnframedTarget>,
    _engine: Option<Target>,
}

async fn fixture(service: &str, body: &str, end: End) -> Fixture {
    fixture_of(service, Reply::ok(body, end)).await
}

async fn fixture_of(service: &str, reply: Reply) -> Fixture {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let mut targets = Vec::new();
    for id in ["i-1", "i-2"] {
        targets.push(UnframedTarget::start(&store, id, service, reply.clone()).await);
    }
    let engine = match service {
        "encode" => Some(Target::start("i-9", "engine", Behaviour::Events(3)).await),
        _ => None,
    };
    engine.iter().for_each(|it| store.put_target(it, false));
    let count = targets.len() + usize::from(engine.is_some());
    let instance = start_instance("a", &store.endpoint);
    until(|| instance.is_ready() && instance.target_count() == count).await;
    Fixture { _store: store, instance, targets, _engine: engine }
}

impl Fixture {
    async fn ask(&self, id: &str, path: &str) -> CallerAnswer {
        let request = CallerRequest::new(id, path)
            .with_header(names::DEADLINE, DEADLINE_MS)
            .with_items("2,0");
        let answered = call(self.instance.listen().callers.parse().unwrap(), request);
        let answered = tokio::time::timeout(CONDITION_TIMEOUT, answered).await;
        answered.expect("the answer ends").expect("the instance answers")
    }

    /// Waits until the instance has closed the connections of all endless answers; returns the bytes that it took.
    async fn until_closed(&self) -> usize {
        until(|| self.targets.iter().all(|it| it.endless() == 0)).await;
        self.targets.iter().map(UnframedTarget::endless_bytes).sum()
    }

    fn requests(&self) -> usize {
        self.targets.iter().map(UnframedTarget::requests).sum()
    }
}

/// Guards against heads without end that are buffered, or that hold a request beyond its deadline.
#[tokio::test]
async fn an_endless_head_ends_with_a_final_answer() {
    for (service, path) in [("plain", "/safe/"), ("plain", "/unsafe/"), ("engine", "/story/")] {
        let fixture = fixture(service, "", End::EndlessHead).await;
        let answer = fixture.ask("r-1", path).await;
        assert!(answer.status.is_server_error(), "{path}: {}", answer.status);
        assert_ne!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}: it may have run");
        assert!(answer.is_complete, "{path}");
        let taken = fixture.until_closed().await;
        assert!(taken < MAX_TAKEN_BYTES, "{path}: {taken} bytes");
        assert!(fixture.requests() <= 2, "{path}: {} requests", fixture.requests());
    }
}

/// Guards against parts of an answer's framing that are buffered without bound.
#[tokio::test]
async fn endless_framing_ends_with_a_final_answer() {
    for end in [End::EndlessLine, End::EndlessExtension, End::EndlessTrailers] {
        for (service, path) in [("plain", "/safe/"), ("plain", "/unsafe/"), ("engine", "/once/")] {
            let fixture = fixture(service, "the beginning", end).await;
            let answer = fixture.ask("r-1", path).await;
            assert!(answer.status.is_server_error(), "{end:?} {path}: {answer:?}");
            assert!(answer.is_complete, "{end:?} {path}");
            let taken = fixture.until_closed().await;
            assert!(taken < MAX_TAKEN_BYTES, "{end:?} {path}: {taken} bytes");
        }
    }
}

/// Guards against bytes that are taken after a whole answer, and against later requests that get them.
#[tokio::test]
async fn bytes_without_end_after_a_whole_answer_belong_to_no_request() {
    let fixture = fixture("plain", "the whole answer", End::EndlessTail).await;
    for round in 0..6 {
        let path = if round % 2 == 0 { "/safe/" } else { "/unsafe/" };
        let answer = fixture.ask(&format!("r-{round}"), path).await;
        assert_eq!(answer.status, StatusCode::OK, "round {round}");
        assert_eq!((&answer.body[..], answer.is_complete), (&b"the whole answer"[..], true));
    }
    let taken = fixture.until_closed().await;
    assert!(taken < MAX_TAKEN_BYTES, "{taken} bytes");
    assert_eq!(fixture.requests(), 6);
}

/// Guards against informational answers without end that hold a connection beyond the request's deadline.
#[tokio::test]
async fn endless_informational_answers_end_with_a_final_answer() {
    for (service, path) in [("plain", "/safe/"), ("plain", "/unsafe/"), ("engine", "/story/")] {
        let fixture = fixture(service, "", End::EndlessInformation).await;
        let answer = fixture.ask("r-1", path).await;
        assert!(answer.status.is_server_error(), "{path}: {}", answer.status);
        assert!(answer.is_complete, "{path}");
        fixture.until_closed().await;
    }
}

/// Guards against bodies without end that hold a request beyond its deadline, or pass for whole ones.
#[tokio::test]
async fn an_endless_body_ends_with_its_deadline() {
    for path in ["/safe/", "/unsafe/"] {
        let fixture = fixture("plain", "the beginning", End::EndlessBody).await;
        let answer = fixture.ask("r-1", path).await;
        assert!(!answer.is_complete, "{path}: {}", answer.status);
        fixture.until_closed().await;
        assert_eq!(fixture.requests(), 1, "{path}");
    }
}

/// Guards against an event without end that is buffered until the memory is used up.
#[tokio::test]
async fn an_event_without_end_is_not_buffered_without_bound() {
    for begun in [0, 2] {
        let fixture = fixture("engine", &event_stream(0, begun), End::EndlessBody).await;
        let answer = fixture.ask("r-1", "/once/").await;
        assert!(answer.status == StatusCode::OK || answer.status.is_server_error());
        assert_eq!(answer.is_complete, begun == 0, "after {begun} events: {answer:?}");
        assert_eq!(answer.status.is_server_error(), begun == 0, "after {begun} events");
        let taken = fixture.until_closed().await;
        assert!(taken < MAX_TAKEN_BYTES, "after {begun} events: {taken} bytes");
    }
}

/// Guards against an error of a stream's target whose body is collected without bound.
#[tokio::test]
async fn an_endless_error_of_a_stream_ends_with_a_final_answer() {
    let status = "500 Internal Server Error";
    let reply = Reply { status, body: Vec::new(), end: End::EndlessBody };
    let fixture = fixture_of("engine", reply).await;
    let answer = fixture.ask("r-1", "/once/").await;
    assert!(answer.status.is_server_error(), "{}", answer.status);
    assert!(answer.is_complete);
    let taken = fixture.until_closed().await;
    assert!(taken < MAX_TAKEN_BYTES, "{taken} bytes");
    assert_eq!(fixture.requests(), 1);
}

/// Guards against an endless answer that is read on after its caller has left.
#[tokio::test]
async fn an_endless_answer_ends_with_its_caller() {
    for path in ["/safe/", "/unsafe/"] {
        let fixture = fixture("plain", "the beginning", End::EndlessBody).await;
        let callers = fixture.instance.listen().callers.parse().unwrap();
        let request = CallerRequest::new("r-1", path).with_header(names::DEADLINE, "60000");
        let asked = tokio::time::timeout(CALLER_TIME, call(callers, request)).await;
        assert!(asked.is_err(), "{path}: the answer has no end");
        fixture.until_closed().await;
        assert_eq!(fixture.requests(), 1, "{path}");
    }
}

/// Guards against an endless answer to a call for work items that is collected without bound.
#[tokio::test]
async fn an_endless_answer_of_a_stage_ends_with_a_final_answer() {
    for end in [End::EndlessBody, End::EndlessHead] {
        let fixture = fixture("encode", "", end).await;
        let answer = fixture.ask("r-1", "/staged/").await;
        assert!(answer.status.is_server_error(), "{end:?}: {}", answer.status);
        assert!(answer.is_complete, "{end:?}");
        let taken = fixture.until_closed().await;
        assert!(taken < MAX_TAKEN_BYTES, "{end:?}: {taken} bytes");
    }
}

/// Guards against silence that is taken for an end of the target.
#[tokio::test]
async fn a_sound_target_that_is_silent_for_a_while_is_waited_for() {
    let end = End::SilentBefore(SILENCE);
    let whole = fixture("plain", "the whole answer", end).await;
    let answer = whole.ask("r-1", "/unsafe/").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!((&answer.body[..], answer.is_complete), (&b"the whole answer"[..], true));
    assert_eq!(whole.requests(), 1);
    let stream = fixture("engine", &event_stream(0, 4), end).await;
    let answer = stream.ask("r-1", "/once/").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!((answer.body, answer.is_complete), (event_stream(0, 4).into(), true));
    assert_eq!(stream.requests(), 1);
}
