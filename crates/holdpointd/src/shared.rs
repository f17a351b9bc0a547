//! State shared by the control thread and the traffic threads. The control thread publishes immutable
//! snapshots of its state, which requests read without locks.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use holdpoint_core::{
    catalog::Catalog,
    ids::{Incarnation, Name, Offset},
    route::Member,
    token::TokenKey,
};
use holdpoint_platform::{Clock, EngineClient, Http, LogClient, TargetClient};
use holdpoint_schema::{caller::InstanceStatus, peer::Phase, settings::Settings};
use tokio::sync::{Notify, mpsc, watch};

use crate::{control::Input, metrics::Metrics, peers::PeerPool, traffic::Traffic};

/// Snapshot of control state for the traffic threads. A request uses one snapshot from start to end.
#[derive(Clone, Debug)]
pub struct Published {
    /// Lifecycle phase of the instance.
    pub phase: Phase,
    /// Offset of the log up to which records are applied.
    pub offset: Offset,
    /// Typed resources.
    pub catalog: Catalog,
    /// Targets by pool: declared ones and those in the platform's list.
    pub targets: Arc<BTreeMap<Name, Arc<Vec<Member>>>>,
    /// Writer of each claim stream: its peer address, or `None` for this instance.
    pub claim_writers: Arc<Vec<Option<String>>>,
    /// Known instances.
    pub instances: Arc<Vec<InstanceStatus>>,
    /// Peer addresses of the other live instances.
    pub peers: Arc<Vec<String>>,
}

impl Published {
    /// State before anything has been read from the log.
    pub fn new() -> Published {
        Published {
            phase: Phase::Starting,
            offset: 0,
            catalog: Catalog::default(),
            targets: Arc::default(),
            claim_writers: Arc::default(),
            instances: Arc::default(),
            peers: Arc::default(),
        }
    }
}

impl Default for Published {
    fn default() -> Published {
        Published::new()
    }
}

/// State shared by all threads of one instance.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Keys for resume tokens.
    pub token_keys: Vec<TokenKey>,
    /// Current control state.
    pub published: ArcSwap<Published>,
    /// Sender of inputs to the control thread.
    pub(crate) control: mpsc::Sender<Input>,
    /// HTTP client.
    pub http: Http,
    /// Log client.
    pub log: LogClient,
    /// Client for plain targets.
    pub targets: TargetClient,
    /// Client for engines.
    pub engines: EngineClient,
    /// Connections to peers.
    pub peers: PeerPool,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Time until which the head of the log counts as confirmed, in milliseconds of the clock. The traffic
    /// threads check it themselves, since after a pause they may run before the control thread does.
    pub serve_until: AtomicU64,
    /// Whether a planned stop has begun.
    pub is_draining: AtomicBool,
    /// Requests in flight.
    pub in_flight: Arc<InFlight>,
    /// Set to true when streams must be handed over.
    pub hand_over: watch::Sender<bool>,
    /// State of the traffic threads.
    pub traffic: Traffic,
    /// Next sequence number of a request.
    pub next_call: AtomicU64,
}

impl Shared {
    /// Current control state.
    pub fn published(&self) -> Arc<Published> {
        self.published.load_full()
    }

    /// Whether new requests may be accepted.
    pub fn may_serve(&self, published: &Published) -> bool {
        let until = self.serve_until.load(Ordering::Acquire);
        published.phase == Phase::Ready && self.clock.now() <= until
    }

    /// Whether the load balancer may send requests to this instance.
    pub fn is_ready(&self, published: &Published) -> bool {
        !self.is_draining.load(Ordering::Acquire) && self.may_serve(published)
    }

    /// Takes the next sequence number of a request.
    pub fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }
}

/// Counts requests in flight, so that a planned stop can wait for them.
#[derive(Debug, Default)]
pub struct InFlight {
    count: AtomicUsize,
    ended: Notify,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<InFlight>,
}

impl InFlight {
    /// Counts a request as in flight.
    pub fn start(self: &Arc<Self>) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { in_flight: self.clone() }
    }

    /// Number of requests in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.count.fetch_sub(1, Ordering::AcqRel);
        self.in_flight.ended.notify_waiters();
    }
}

/// Members of a pool; empty if the pool is unknown.
pub(crate) fn members_of(
    targets: &BTreeMap<Name, Arc<Vec<Member>>>,
    pool: &str,
) -> Arc<Vec<Member>> {
    targets.get(pool).cloned().unwrap_or_default()
}

/// A map from names to values created on first use.
#[derive(Debug)]
pub(crate) struct LazyMap<T> {
    map: parking_lot::RwLock<HashMap<Name, Arc<T>>>,
}

impl<T> Default for LazyMap<T> {
    fn default() -> LazyMap<T> {
        LazyMap { map: parking_lot::RwLock::default() }
    }
}

impl<T> LazyMap<T> {
    /// Returns the value of a name and creates it if absent.
    pub(crate) fn get_or_create(&self, name: &str, make: impl FnOnce() -> T) -> Arc<T> {
        if let Some(it) = self.map.read().get(name) {
            return it.clone();
        }
        self.map.write().entry(name.to_owned()).or_insert_with(|| Arc::new(make())).clone()
    }

    /// All names with their values.
    pub(crate) fn all(&self) -> Vec<(Name, Arc<T>)> {
        self.map.read().iter().map(|(name, it)| (name.clone(), it.clone())).collect()
    }
}

/// Waits until a flag is true or its sender is dropped.
pub(crate) async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    drop(flag.wait_for(|it| *it).await);
}
