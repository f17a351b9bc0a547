//! Targets that name a limit: so many requests a second, from all instances together.
//!
//! An engine in need named a limit of one a second and went on getting four, from six of eight instances. Each
//! passed its answers on and sent as before: in the next eight seconds it got 28 requests, 26 of them first
//! sends, and 25 were placed by the instance that places for all. Four of these seconds held 13 from instances
//! that had passed on such an answer, where a limit of one bears eleven.

mod support;

use std::{net::SocketAddr, time::Duration};

use holdpoint_adapter_standin::{Behaviour, CallerAnswer, CallerRequest, Gate, Target, call};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use tokio::task::JoinSet;

use crate::support::{System, start, start_instance, until};

/// How long callers keep asking: more than the four seconds in which a target counts.
const ASKING: Duration = Duration::from_millis(6000);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// Three instances before the same targets.
struct Fleet {
    system: System,
    others: Vec<(Ingress, Gate)>,
}

async fn fleet(plain: &[Behaviour], engines: &[Behaviour]) -> Fleet {
    let system = start(plain, engines).await;
    let mut others = Vec::new();
    for name in ["b", "c"] {
        let gate = system.store.open_gate().await;
        others.push((start_instance(name, &gate), gate));
    }
    let fleet = Fleet { system, others };
    let count = plain.len() + engines.len() + 1;
    until(|| fleet.instances().all(|it| it.peer_count() == 2 && it.target_count() == count)).await;
    fleet
}

impl Fleet {
    fn instances(&self) -> impl Iterator<Item = &Ingress> {
        std::iter::once(&self.system.instance).chain(self.others.iter().map(|it| &it.0))
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.instances().map(|it| it.listen().callers.parse().unwrap()).collect()
    }

    /// Sends requests to the instances in turn, again and again.
    async fn ask(&self, request: impl Fn(usize) -> CallerRequest) -> Vec<CallerAnswer> {
        let callers = self.callers();
        let mut asked = JoinSet::new();
        let rounds = (ASKING.as_millis() / PAUSE.as_millis()) as usize;
        for round in 0..rounds {
            asked.spawn(call(callers[round % callers.len()], request(round)));
            tokio::time::sleep(PAUSE).await;
        }
        asked.join_all().await.into_iter().map(|it| it.expect("there is an answer")).collect()
    }
}

fn assert_kept(target: &Target) {
    assert_eq!(target.limit_excess(), None);
    assert!(target.arrivals().len() >= 3, "it gets what it takes");
}

fn assert_served(answers: &[CallerAnswer]) {
    let served = answers.iter().filter(|it| it.status == StatusCode::OK && it.is_whole).count();
    assert_eq!(served, answers.len(), "the other targets take what the limited one does not");
}

#[tokio::test]
async fn a_limit_that_a_target_names_holds_for_all_instances_together() {
    let fleet = fleet(&[Behaviour::Answer; 3], &[Behaviour::Events(3); 3]).await;
    let limited = [&fleet.system.plain[0], &fleet.system.engines[0]];
    limited.iter().for_each(|it| it.set_limit(Some(1.0)));
    let answers = fleet
        .ask(|round| {
            let id = format!("r-{round}");
            match round % 4 {
                0 => CallerRequest::new(&id, "/safe/x"),
                1 => CallerRequest::new(&id, "/unsafe/x"),
                2 => CallerRequest::new(&id, "/once/x"),
                _ => {
                    let parts = format!("{:x}:800,{round:x}:10", round % 5);
                    CallerRequest::new(&id, "/story/x").with_prompt(&parts)
                }
            }
        })
        .await;
    limited.into_iter().for_each(assert_kept);
    assert_served(&answers);
}
