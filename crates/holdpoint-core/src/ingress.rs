//! The ingress configuration: which service answers a request, under which limits.
//!
//! A [`Configuration`] is one complete, immutable version. Routes are found by host and longest path
//! prefix, organisations by their key. An instance replaces its version only if [`newer`] allows it, so it
//! never returns to an older one.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{confinement::Confinement, ids::Name};

/// Version of a configuration; versions increase, but not always by 1.
pub type Version = u64;

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Any number of times.
    Free,
    /// At most once for each attempt by the caller.
    Once,
}

/// Form of the responses of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// A single body.
    Whole,
    /// A stream of events.
    Events {
        /// Longest pause between events that still counts as timely, in milliseconds.
        gap_ms: u64,
        /// Longest pause that callers tolerate, including that before the first event, in milliseconds.
        silence_ms: u64,
    },
}

/// One stage of a route's graph.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageStep {
    /// Service whose targets compute the results.
    pub service: Name,
    /// Indices of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub bytes: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressRoute {
    /// Name.
    pub name: Name,
    /// Host that it matches, in lower case.
    pub host: String,
    /// Path prefix that it matches.
    pub prefix: String,
    /// Services that may answer, with their weights.
    pub services: Vec<(Name, u32)>,
    /// How often a request may be executed.
    pub repeat: Repeat,
    /// Form of its responses.
    pub shape: Shape,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Latency up to which a response has its full value, in milliseconds.
    pub target_ms: u64,
    /// Priority rank; 0 is served first.
    pub rank: u32,
    /// Largest number of targets that one request may be sent to.
    pub attempts: u32,
    /// Stages before the service itself.
    pub stages: Vec<StageStep>,
    /// Whether requests need no organisation's key.
    pub is_anonymous: bool,
    /// Whether requests about the same subject should be sent to the same target.
    pub is_sticky: bool,
    /// Regions in which its requests may be served.
    pub confinement: Confinement,
}

/// Limits of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens kept in memory.
    pub memory_tokens: u64,
}

/// Limits and costs of batched calls to the targets of a service, for results of a stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchLimits {
    /// Calls processed concurrently.
    pub calls: u32,
    /// Calls that may be queued.
    pub queue: u32,
    /// Largest number of items in one call.
    pub pieces: u32,
    /// Fixed time of a call, without its items, in milliseconds.
    pub call_ms: f64,
    /// Additional time for each item, in milliseconds.
    pub piece_ms: f64,
    /// Storage for results, in bytes.
    pub room_bytes: u64,
    /// How long a result is kept, in milliseconds.
    pub keep_ms: u64,
}

/// Limits of the targets of a service while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdLimits {
    /// Requests per second to one target.
    pub per_s: f64,
    /// Time for which a target is cold after its start, in milliseconds.
    pub start_ms: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Connections that each target accepts from all instances together.
    pub max_connections: u32,
    /// Set if its cold targets have lower limits.
    pub cold: Option<ColdLimits>,
    /// Set if its targets are engines.
    pub engine: Option<EngineLimits>,
    /// Set if its targets compute results of stages.
    pub batches: Option<BatchLimits>,
}

/// Largest number of idle connections to one target that an instance keeps.
const MAX_IDLE_CONNECTIONS: usize = 16;

impl Service {
    /// Idle connections to one target that each of `instances` instances may keep, so that all together don't
    /// exceed the limit of the target.
    pub fn at_rest(&self, instances: usize) -> usize {
        (self.max_connections as usize / instances.max(1)).min(MAX_IDLE_CONNECTIONS)
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenancy {
    /// Name.
    pub name: Name,
    /// Priority rank that overrides a route's.
    pub rank: Option<u32>,
    /// Regions in which its requests may be served.
    pub confinement: Confinement,
}

/// Limits on the size and duration of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a head, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

/// Limits for a configuration that states none.
impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 3000, idle_ms: 15_000 }
    }
}

/// One complete version of the ingress configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; 0 means that there is none.
    pub version: Version,
    /// Services by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<IngressRoute>>>,
    /// Organisations by key.
    organisations: HashMap<String, Arc<Tenancy>>,
    has_organisations: bool,
    confinements: Vec<Confinement>,
}

/// Why a request has no route or no organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route matches its host and path.
    NoRoute,
    /// Its key is unknown or missing.
    BadKey,
}

impl Configuration {
    /// Makes a configuration of its parts. `organisations` is `None` if callers need no key.
    pub fn new(
        version: Version,
        routes: Vec<IngressRoute>,
        services: Vec<Service>,
        limits: CallerLimits,
        organisations: Option<Vec<(Tenancy, Vec<String>)>>,
    ) -> Configuration {
        let of_organisations = organisations.iter().flatten().map(|it| &it.0.confinement);
        let confinements = routes.iter().map(|it| &it.confinement).chain(of_organisations);
        let mut confinements: Vec<Confinement> =
            confinements.filter(|it| !it.is_free()).cloned().collect();
        confinements.dedup();
        let mut by_host: HashMap<String, Vec<Arc<IngressRoute>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let has_organisations = organisations.is_some();
        let mut keys = HashMap::new();
        for (tenancy, its_keys) in organisations.unwrap_or_default() {
            let tenancy = Arc::new(tenancy);
            keys.extend(its_keys.into_iter().map(|it| (it, tenancy.clone())));
        }
        Configuration {
            version,
            services: services.into_iter().map(|it| (it.name.clone(), Arc::new(it))).collect(),
            limits,
            routes: by_host,
            organisations: keys,
            has_organisations,
            confinements,
        }
    }

    /// Finds the route of a request by its host, which may include a port, and its path.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<IngressRoute>, Denied> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.routes.get(&host).ok_or(Denied::NoRoute)?;
        routes.iter().find(|it| path.starts_with(&it.prefix)).ok_or(Denied::NoRoute)
    }

    /// Finds the organisation of a key; `None` if the route needs none.
    pub fn organisation(
        &self,
        route: &IngressRoute,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Tenancy>>, Denied> {
        if !self.has_organisations || route.is_anonymous {
            return Ok(None);
        }
        let found = key.and_then(|it| self.organisations.get(it));
        found.map(Some).ok_or(Denied::BadKey)
    }

    /// Restrictions of routes and organisations to regions; empty if there are none.
    pub fn confinements(&self) -> &[Confinement] {
        &self.confinements
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl IngressRoute {
    /// Chooses the service of a request by weight; the same request id always gets the same one.
    pub fn service_of(&self, request_id: &str) -> Option<&str> {
        let total: u64 = self.services.iter().map(|it| u64::from(it.1)).sum();
        if total == 0 {
            return self.services.first().map(|it| it.0.as_str());
        }
        let mut left = xxh3_64(request_id.as_bytes()) % total;
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }

    /// Longest time that a request may take if its caller tolerates `max_latency`.
    pub fn time_limit(&self, max_latency: Option<Duration>) -> Duration {
        let timeout = Duration::from_millis(self.timeout_ms);
        max_latency.map_or(timeout, |it| it.min(timeout))
    }

    /// Rank of a request of an organisation.
    pub fn rank_for(&self, tenancy: Option<&Tenancy>) -> u32 {
        tenancy.and_then(|it| it.rank).unwrap_or(self.rank)
    }

    /// Regions in which a request of an organisation may be served: those that both the route and the
    /// organisation allow.
    pub fn confinement_for(&self, tenancy: Option<&Tenancy>) -> Confinement {
        tenancy.map_or_else(|| self.confinement.clone(), |it| self.confinement.and(&it.confinement))
    }
}

/// Whether version `found` may replace the active version: it must be a later one.
pub fn newer(active: Version, found: Version) -> bool {
    active < found
}
