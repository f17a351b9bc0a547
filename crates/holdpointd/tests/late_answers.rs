//! A late second answer to one request arrives in the place of the answer to the next, for which nothing in it counts.

mod support;

use holdpoint_adapter_standin::{
    CallerAnswer, CallerRequest, Store, call, names, sample_configuration,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;

use crate::support::{
    event_stream, header,
    late_answers::{LateTarget, PendingAnswer, SecondAnswer},
    start_instance, until,
};

/// Statuses that state that a request has not run and never will.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// An instance, and two targets of a service, one of which sends a second answer.
struct Fixture {
    instance: Ingress,
    targets: Vec<LateTarget>,
    second_answer: PendingAnswer,
    store: Store,
}

async fn fixture(service: &str) -> Fixture {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let (mut targets, second_answer) = (Vec::new(), PendingAnswer::default());
    for id in ["i-1", "i-2"] {
        targets.push(LateTarget::start(&store, id, service, &second_answer).await);
    }
    let instance = start_instance("a", &store.endpoint);
    until(|| instance.is_ready() && instance.target_count() == 2).await;
    Fixture { instance, targets, second_answer, store }
}

impl Fixture {
    async fn ask(&self, id: &str, path: &str) -> CallerAnswer {
        let callers = self.instance.listen().callers.parse().unwrap();
        call(callers, CallerRequest::new(id, path)).await.expect("the instance answers")
    }

    /// Number of runs of a request at all targets.
    fn runs(&self, id: &str) -> usize {
        self.targets.iter().flat_map(LateTarget::runs).filter(|it| it == id).count()
    }

    /// Sends requests until one meets the second answer; returns its id and its answer.
    async fn meet(&self, second_answer: SecondAnswer, path: &str) -> (String, CallerAnswer) {
        *self.second_answer.lock() = Some(second_answer);
        // The fourth request at the latest reuses a connection.
        for round in 0..4 {
            let id = format!("r-{round}");
            let answer = self.ask(&id, path).await;
            if self.second_answer.lock().is_none() {
                return (id, answer);
            }
            assert_eq!(answer.status, StatusCode::OK);
        }
        panic!("no request reused a connection");
    }

    /// Checks that the target that ran a request first still gets requests, by leaving it as the only one.
    async fn assert_in_use(&self, id: &str, path: &str) {
        let has_run = |it: &&LateTarget| it.runs().iter().any(|it| it == id);
        let used = self.targets.iter().find(has_run).expect("a target ran the request");
        let other = self.targets.iter().find(|it| !std::ptr::eq(*it, used)).unwrap();
        other.drain(&self.store);
        until(|| self.instance.target_count() == 1).await;
        for round in 0..4 {
            let id = format!("later-{round}");
            let answer = self.ask(&id, path).await;
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(header(&answer, names::REQUEST_ID), id);
            assert!(used.runs().contains(&id));
        }
    }
}

/// Guards against an order that is carried out twice: its caller is told that it has not run, while its target runs it.
async fn assert_second_answers_prove_nothing(service: &str, path: &str) {
    for second_answer in names::MISLEADING_ANSWERS {
        let fixture = fixture(service).await;
        let (id, answer) = fixture.meet(second_answer, path).await;
        assert!(!NOT_RUN.contains(&answer.status), "{second_answer:?}: {}", answer.status);
        assert_eq!(fixture.runs(&id), 1, "{second_answer:?}");
        fixture.assert_in_use(&id, path).await;
    }
}

#[tokio::test]
async fn an_order_is_not_refused_by_a_late_answer_to_the_request_before_it() {
    assert_second_answers_prove_nothing("plain", "/unsafe/").await;
}

#[tokio::test]
async fn a_stream_that_runs_once_is_not_refused_by_a_late_answer_to_the_request_before_it() {
    assert_second_answers_prove_nothing("engine", "/once/").await;
}

#[tokio::test]
async fn a_request_that_may_be_repeated_gets_its_own_answer_after_a_late_one() {
    for second_answer in names::MISLEADING_ANSWERS {
        let fixture = fixture("plain").await;
        let (id, answer) = fixture.meet(second_answer, "/safe/").await;
        assert_eq!(answer.status, StatusCode::OK, "{second_answer:?}");
        assert_eq!(header(&answer, names::REQUEST_ID), id);
        assert_eq!(answer.body, event_stream(0, 1));
        assert_eq!(fixture.runs(&id), 2, "{second_answer:?}");
    }
}
