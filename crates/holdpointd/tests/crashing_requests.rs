//! Requests that end each target that begins to run them, and their innocent neighbours.
//!
//! Engines ended one after the other, 44 of them under requests with one path, caller and body. Each end
//! broke off a dozen other requests. The request came again from its caller, under a new id and at any
//! instance, and the instances themselves sent it to the next engine after each end. Nothing
//! remembered what it had done, so it was sent 22 times more later than three seconds after the third end:
//!
//! ```text
//! E700 sent to a target: id=… target=(first) send=1
//! E701 send failed: id=… target=(first) cause=broken
//! E700 sent to a target: id=… target=(second) send=2
//! E701 send failed: id=… target=(second) cause=broken
//! ```

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Gate, Store, Target, call,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;

use crate::support::{System, header, start, start_instance, until};

const DEADLY: &str = "deadly";
/// Ends of targets after which a request is not sent to any more.
const ENDS: usize = 3;
/// How long a target that has ended takes to start again.
const RESTART: Duration = Duration::from_millis(60);

/// How targets that have ended start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    SameId,
    NewId,
}

/// Three instances before targets that a deadly request ends, and that start again.
struct Fleet {
    system: System,
    others: Vec<(Ingress, Gate)>,
}

async fn fleet(plain: &[Behaviour], engines: &[Behaviour], restart: Restart) -> Fleet {
    let system = start(plain, engines).await;
    let mut others = Vec::new();
    for name in ["b", "c"] {
        let gate = system.store.open_gate().await;
        others.push((start_instance(name, &gate), gate));
    }
    let fleet = Fleet { system, others };
    let count = plain.len() + engines.len() + 1;
    until(|| fleet.instances().all(|it| it.peer_count() == 2 && it.target_count() == count)).await;
    let targets = fleet.targets();
    targets.iter().for_each(|it| it.set_deadly(DEADLY));
    for it in targets {
        tokio::spawn(keep_up(fleet.system.store.clone(), it, restart));
    }
    fleet
}

/// Starts a target again whenever it has ended.
async fn keep_up(store: Store, mut target: Target, restart: Restart) {
    for life in 1.. {
        while target.is_up() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(RESTART).await;
        let id = match restart {
            Restart::SameId => target.id.clone(),
            Restart::NewId => {
                store.drop_target(&target.id);
                format!("{}-{life}", target.id)
            }
        };
        target.start_again(&id);
        store.put_target(&target, false);
    }
}

impl Fleet {
    fn instances(&self) -> impl Iterator<Item = &Ingress> {
        std::iter::once(&self.system.instance).chain(self.others.iter().map(|it| &it.0))
    }

    fn targets(&self) -> Vec<Target> {
        let System { plain, engines, encoder, .. } = &self.system;
        plain.iter().chain(engines).chain([encoder]).cloned().collect()
    }

    /// Sends of the deadly request that reached a target.
    fn deadly_runs(&self) -> usize {
        let runs = self.targets().iter().flat_map(Target::runs).collect::<Vec<_>>();
        runs.iter().filter(|it| it.body == DEADLY).count()
    }

    /// Sends a request to the instance of a number, counted round.
    async fn send(&self, instance: usize, request: CallerRequest) -> CallerAnswer {
        let instance = self.instances().nth(instance % 3).expect("there are three");
        let callers = instance.listen().callers.parse().unwrap();
        call(callers, request).await.expect("there is an answer")
    }

    /// Has the deadly request come again until it has ended so many targets, and be known for that.
    async fn end_targets(&self, path: &str) {
        for round in 0..20 {
            if ENDS <= self.deadly_runs() {
                break;
            }
            self.send(round, deadly(&format!("r-{round}"), path)).await;
        }
        assert!(ENDS <= self.deadly_runs());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

fn deadly(id: &str, path: &str) -> CallerRequest {
    CallerRequest::new(id, path).with_body(DEADLY)
}

/// A refusal that tells truly that nothing has run, and when to come back.
fn assert_refused(answer: &CallerAnswer) {
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let seconds: f64 = header(answer, "retry-after").parse().unwrap();
    assert!(10.0 < seconds, "it comes back much later: {seconds}");
}

#[tokio::test]
async fn a_request_that_ends_its_targets_is_sent_no_more() {
    for restart in [Restart::NewId, Restart::SameId] {
        let fleet = fleet(&[], &[Behaviour::Events(20); 6], restart).await;
        fleet.end_targets("/story/x").await;
        let before = fleet.deadly_runs();
        assert!(before <= ENDS + 1, "{restart:?}: {before} runs, the last two perhaps at once");
        for round in 0..9 {
            let answer = fleet.send(round, deadly(&format!("s-{round}"), "/story/x")).await;
            assert_refused(&answer);
        }
        assert_eq!(fleet.deadly_runs(), before, "{restart:?}");
        // The same body from elsewhere in the system is another request.
        let other = CallerRequest::new("o-1", "/story/y").with_body("input");
        assert_eq!(fleet.send(0, other).await.status, StatusCode::OK);
    }
}
