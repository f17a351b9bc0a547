//! The ingress configuration: which service answers a request, under which limits.
//!
//! A [`Configuration`] is one whole, immutable version. Routes are found by host and longest path
//! prefix, organisations by their key. [`newer`] is the only way from one version to the next, so
//! that no instance ever goes back.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{confinement::Confinement, ids::Name};

/// Version of a configuration; versions rise in uneven steps.
pub type Version = u64;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Any number of times.
    Free,
    /// At most once for each attempt of the caller.
    Once,
}

/// What the answers of a route are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// One whole body.
    Whole,
    /// A series of events, with the longest pause that is still in time.
    Events {
        /// Longest pause between events, in milliseconds.
        gap_ms: u64,
        /// Longest silence that callers bear, before the first event too, in milliseconds.
        silence_ms: u64,
    },
}

/// One stage of a route's graph.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageStep {
    /// Service whose targets make the results.
    pub service: Name,
    /// Indices of the stages whose results it needs.
    pub after: Vec<usize>,
    /// About how large one result is, in bytes.
    pub bytes: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressRoute {
    /// Name.
    pub name: Name,
    /// Host that it answers for, in lower case.
    pub host: String,
    /// Prefix of the paths that it answers for.
    pub prefix: String,
    /// Services that may answer, with their weights.
    pub services: Vec<(Name, u32)>,
    /// How often a request may run.
    pub repeat: Repeat,
    /// What its answers are.
    pub shape: Shape,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full worth, in milliseconds.
    pub target_ms: u64,
    /// Rank; 0 goes first.
    pub rank: u32,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Stages before the service itself.
    pub stages: Vec<StageStep>,
    /// Whether requests carry no organisation's key.
    pub is_anonymous: bool,
    /// Whether requests about the same subject should meet at the same target.
    pub is_sticky: bool,
    /// Regions in which its requests may be served.
    pub confinement: Confinement,
}

/// What the engines of a service can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens kept in memory.
    pub memory_tokens: u64,
}

/// How the targets of a service make results of a stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchLimits {
    /// Calls at work at once.
    pub calls: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Most pieces in one call.
    pub pieces: u32,
    /// Time of a call without its pieces, in milliseconds.
    pub call_ms: f64,
    /// Time of each piece, in milliseconds.
    pub piece_ms: f64,
    /// Room for results, in bytes.
    pub room_bytes: u64,
    /// How long a result is kept, in milliseconds.
    pub keep_ms: u64,
}

/// What the targets of a service carry as long as they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdLimits {
    /// Requests a second to one target.
    pub per_s: f64,
    /// How long a target is cold after its start, in milliseconds.
    pub start_ms: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Connections that each target takes from all callers together.
    pub max_connections: u32,
    /// Set where its cold targets carry less than others.
    pub cold: Option<ColdLimits>,
    /// Set where its targets are engines.
    pub engine: Option<EngineLimits>,
    /// Set where its targets make results of stages.
    pub batches: Option<BatchLimits>,
}

/// Most connections at rest to one target that an instance keeps.
const MOST_AT_REST: usize = 16;

impl Service {
    /// Connections at rest to one target that each of so many instances may keep, so that all together are no
    /// more than the target takes.
    pub fn at_rest(&self, instances: usize) -> usize {
        (self.max_connections as usize / instances.max(1)).min(MOST_AT_REST)
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenancy {
    /// Name.
    pub name: Name,
    /// Rank that a route's rank yields to.
    pub rank: Option<u32>,
    /// Regions in which its requests may be served.
    pub confinement: Confinement,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take, in milliseconds.
    pub head_ms: u64,
    /// How long a connection may rest, in milliseconds.
    pub idle_ms: u64,
}

/// Where a configuration has no limits, these hold.
impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 3000, idle_ms: 15_000 }
    }
}

/// One whole version of the ingress configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; 0 is none.
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
    /// Regions that routes and organisations name.
    confinements: Vec<Confinement>,
}

/// Why a request has no route or no organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route answers for its host and path.
    NoRoute,
    /// Its key is unknown or absent.
    BadKey,
}

impl Configuration {
    /// Makes a configuration of its parts. `organisations` is `None` where callers need no key.
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

    /// Finds the route of a request by its host, which may name a port, and its path.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<IngressRoute>, Denied> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.routes.get(&host).ok_or(Denied::NoRoute)?;
        routes.iter().find(|it| path.starts_with(&it.prefix)).ok_or(Denied::NoRoute)
    }

    /// Finds the organisation of a key; `None` where the route needs none.
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

    /// What routes and organisations are confined to; empty where none is.
    pub fn confinements(&self) -> &[Confinement] {
        &self.confinements
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl IngressRoute {
    /// Chooses the service of a request; the same id always goes to the same one.
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

    /// Longest time that a request may take whose caller waits for `patience`.
    pub fn time_limit(&self, patience: Option<Duration>) -> Duration {
        let timeout = Duration::from_millis(self.timeout_ms);
        patience.map_or(timeout, |it| it.min(timeout))
    }

    /// Rank of a request of an organisation.
    pub fn rank_for(&self, tenancy: Option<&Tenancy>) -> u32 {
        tenancy.and_then(|it| it.rank).unwrap_or(self.rank)
    }

    /// Regions in which a request of an organisation may be served: those that both allow.
    pub fn confinement_for(&self, tenancy: Option<&Tenancy>) -> Confinement {
        tenancy.map_or_else(|| self.confinement.clone(), |it| self.confinement.and(&it.confinement))
    }
}

/// Whether a configuration that was found may replace the one in force: only a later version may.
pub fn newer(in_force: Version, found: Version) -> bool {
    in_force < found
}
