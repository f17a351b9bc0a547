//! Three instances before the same targets, and what callers of each saw.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use holdpoint_adapter_standin::{Behaviour, CallerAnswer, CallerRequest, Gate, call};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use tokio::task::JoinSet;

use super::{System, start};

/// Time between two requests.
pub const PAUSE: Duration = Duration::from_millis(25);

pub struct Fleet {
    pub system: System,
    pub others: Vec<(Ingress, Gate)>,
}

/// A request as its caller saw it.
pub struct Asked {
    /// Index of the instance that was asked.
    pub instance: usize,
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: CallerAnswer,
}

impl Asked {
    pub fn is_served(&self) -> bool {
        self.answer.status == StatusCode::OK && self.answer.is_whole
    }
}

pub async fn fleet(plain: &[Behaviour], engines: &[Behaviour]) -> Fleet {
    let system = start(plain, engines).await;
    let others = system.start_others(&["b", "c"]).await;
    Fleet { system, others }
}

impl Fleet {
    pub fn instances(&self) -> impl Iterator<Item = &Ingress> {
        std::iter::once(&self.system.instance).chain(self.others.iter().map(|it| &it.0))
    }

    /// The ways of the instances to the store.
    pub fn gates(&self) -> impl Iterator<Item = &Gate> {
        std::iter::once(&self.system.store.gate).chain(self.others.iter().map(|it| &it.1))
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances().map(|it| it.listen().callers.parse().unwrap()).collect()
    }

    /// Sends requests to the instances in turn, again and again. Each id begins with `name`.
    pub async fn ask(
        &self,
        time: Duration,
        name: &str,
        request: impl Fn(usize, &str) -> CallerRequest,
    ) -> Vec<Asked> {
        let callers = self.callers();
        let mut asked = JoinSet::new();
        for round in 0..(time.as_millis() / PAUSE.as_millis()) as usize {
            let (instance, id) = (round % callers.len(), format!("{name}-{round}"));
            let (request, address) = (request(round, &id), callers[instance]);
            asked.spawn(async move {
                let sent = Instant::now();
                let answer = call(address, request).await.expect("there is an answer");
                Asked { instance, id, sent, ended: Instant::now(), answer }
            });
            tokio::time::sleep(PAUSE).await;
        }
        asked.join_all().await
    }
}
