//! Three instances that share targets, and the answers that callers of each received.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use holdpoint_adapter_standin::{Behaviour, CallerAnswer, CallerRequest, Endpoint, call};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use tokio::task::JoinSet;

use super::{System, start};

/// Interval between two requests.
pub const PAUSE: Duration = Duration::from_millis(25);

pub struct Fleet {
    pub system: System,
    pub others: Vec<(Ingress, Endpoint)>,
}

/// A request and its answer, as seen by the caller.
pub struct Exchange {
    /// Index of the instance that received the request.
    pub instance: usize,
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: CallerAnswer,
}

impl Exchange {
    pub fn is_served(&self) -> bool {
        self.answer.status == StatusCode::OK && self.answer.is_complete
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

    /// The gates through which the instances reach the store, in the order of the instances.
    pub fn gates(&self) -> impl Iterator<Item = &Endpoint> {
        std::iter::once(&self.system.store.endpoint).chain(self.others.iter().map(|it| &it.1))
    }

    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances().map(|it| it.listen().callers.parse().unwrap()).collect()
    }

    /// Sends requests to the instances in turn for this time. Each id begins with `name`.
    pub async fn send_for(
        &self,
        time: Duration,
        name: &str,
        request: impl Fn(usize, &str) -> CallerRequest,
    ) -> Vec<Exchange> {
        let addresses = self.caller_addresses();
        let mut exchanges = JoinSet::new();
        for round in 0..(time.as_millis() / PAUSE.as_millis()) as usize {
            let (instance, id) = (round % addresses.len(), format!("{name}-{round}"));
            let (request, address) = (request(round, &id), addresses[instance]);
            exchanges.spawn(async move {
                let sent = Instant::now();
                let answer = call(address, request).await.expect("the instance answers");
                Exchange { instance, id, sent, ended: Instant::now(), answer }
            });
            tokio::time::sleep(PAUSE).await;
        }
        exchanges.join_all().await
    }
}
