//! Instances whose links to the targets can be cut one by one, while callers, peers and the store reach them.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Endpoint, Store, Target, call, sample_configuration,
};
use holdpoint_soak::{LinkFault, Proxy};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use tokio::task::JoinSet;

use super::{start_from, until};

/// Interval between two requests.
const PAUSE: Duration = Duration::from_millis(20);

pub struct ProxiedTarget {
    pub target: Target,
    pub proxy: Proxy,
}

pub struct CutFleet {
    pub store: Store,
    pub targets: Vec<ProxiedTarget>,
    pub instances: Vec<(Ingress, Endpoint)>,
}

/// A request and its answer, as seen by the caller.
pub struct Exchange {
    pub instance: usize,
    pub id: String,
    pub took: Duration,
    pub answer: Option<CallerAnswer>,
}

impl Exchange {
    pub fn is_served(&self) -> bool {
        let is_whole = |it: &CallerAnswer| it.status == StatusCode::OK && it.is_complete;
        self.answer.as_ref().is_some_and(is_whole)
    }
}

fn source(instance: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, instance as u8 + 1))
}

/// Starts instances and four targets of each service.
pub async fn cut_fleet(instances: usize, engines: Behaviour) -> CutFleet {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let mut fleet = CutFleet { store, targets: Vec::new(), instances: Vec::new() };
    for (service, behaviour) in
        [("plain", Behaviour::Answer), ("engine", engines), ("encode", Behaviour::Answer)]
    {
        for index in 0..4 {
            let target = Target::start(&format!("i-{service}-{index}"), service, behaviour).await;
            let proxy = Proxy::start(target.address).await;
            let target = target.with_address(proxy.address);
            fleet.store.put_target_in(&target, "z1", 0);
            fleet.targets.push(ProxiedTarget { target, proxy });
        }
    }
    for index in 0..instances {
        let gate = fleet.store.open_endpoint().await;
        let instance = start_from(&format!("p{index}"), &gate, source(index));
        fleet.instances.push((instance, gate));
    }
    let count = fleet.targets.len();
    let is_complete = |it: &Ingress| it.peer_count() == instances - 1 && it.target_count() == count;
    until(|| fleet.instances.iter().all(|it| it.0.is_ready() && is_complete(&it.0))).await;
    fleet
}

impl CutFleet {
    /// Cuts an instance off from the targets of these services, or heals the cut.
    pub fn set_cut(&self, instance: usize, services: &[&str], how: Option<LinkFault>) {
        let of_services = |it: &&ProxiedTarget| services.contains(&it.target.service.as_str());
        for it in self.targets.iter().filter(of_services) {
            it.proxy.set_from(source(instance), how);
        }
    }

    pub fn targets_of(&self, service: &str) -> impl Iterator<Item = &Target> {
        self.targets.iter().map(|it| &it.target).filter(move |it| it.service == service)
    }

    pub fn callers(&self, instance: usize) -> SocketAddr {
        self.instances[instance].0.listen().callers.parse().unwrap()
    }

    /// Sends requests to the instances in turn for this time.
    pub async fn send_for(
        &self,
        time: Duration,
        request: impl Fn(usize, &str) -> CallerRequest,
    ) -> Vec<Exchange> {
        let mut exchanges = JoinSet::new();
        let begun = Instant::now();
        for round in 0.. {
            if time <= begun.elapsed() {
                break;
            }
            let (instance, id) = (round % self.instances.len(), format!("r-{round}"));
            let (request, address) = (request(round, &id), self.callers(instance));
            exchanges.spawn(async move {
                let sent = Instant::now();
                let answer = call(address, request).await;
                Exchange { instance, id, took: sent.elapsed(), answer }
            });
            tokio::time::sleep(PAUSE).await;
        }
        exchanges.join_all().await
    }
}
