//! What the control thread and the traffic threads share.

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

/// Control state as the traffic threads see it: one of these serves a request from start to end.
#[derive(Clone, Debug)]
pub struct Published {
    /// Phase of the instance's life.
    pub phase: Phase,
    /// Offset in force.
    pub offset: Offset,
    /// Typed resources.
    pub catalog: Catalog,
    /// Targets by pool, declared and listed.
    pub targets: Arc<BTreeMap<Name, Arc<Vec<Member>>>>,
    /// Writer of each claim stream: its peer address, or `None` for this instance.
    pub claim_writers: Arc<Vec<Option<String>>>,
    /// Instances known.
    pub instances: Arc<Vec<InstanceStatus>>,
    /// Peer addresses of the other live instances.
    pub peers: Arc<Vec<String>>,
}

impl Published {
    /// What is in force before anything is known.
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

/// What all threads of one instance share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Keys of resume tokens.
    pub token_keys: Vec<TokenKey>,
    /// Control state in force.
    pub published: ArcSwap<Published>,
    /// Way to the control thread.
    pub(crate) control: mpsc::Sender<Input>,
    /// HTTP client.
    pub http: Http,
    /// Log client.
    pub log: LogClient,
    /// Client of plain targets.
    pub targets: TargetClient,
    /// Client of engines.
    pub engines: EngineClient,
    /// Connections to peers.
    pub peers: PeerPool,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Time until which the head of the log counts as confirmed. The traffic threads look at it
    /// themselves: after a pause they may run before the control thread does.
    pub serve_until: AtomicU64,
    /// Whether a planned stop has begun.
    pub is_leaving: AtomicBool,
    /// Work in flight.
    pub in_flight: Arc<InFlight>,
    /// Becomes true once streams are to be handed over.
    pub hand_over: watch::Sender<bool>,
    /// State of the traffic threads.
    pub traffic: Traffic,
    /// Next request sequence.
    pub calls: AtomicU64,
}

impl Shared {
    /// Control state in force now.
    pub fn now(&self) -> Arc<Published> {
        self.published.load_full()
    }

    /// Whether new work may be taken now.
    pub fn may_serve(&self, published: &Published) -> bool {
        let until = self.serve_until.load(Ordering::Acquire);
        published.phase == Phase::Ready && self.clock.now() <= until
    }

    /// Whether the balancer may send work here.
    pub fn is_ready(&self, published: &Published) -> bool {
        !self.is_leaving.load(Ordering::Acquire) && self.may_serve(published)
    }

    /// Next request sequence.
    pub fn next_call(&self) -> u64 {
        self.calls.fetch_add(1, Ordering::Relaxed)
    }
}

/// Counts work in flight, so that a planned stop can wait for it.
#[derive(Debug, Default)]
pub struct InFlight {
    count: AtomicUsize,
    ended: Notify,
}

/// One piece of work in flight; it ends when dropped.
#[derive(Debug)]
pub struct Working {
    in_flight: Arc<InFlight>,
}

impl InFlight {
    /// Counts a piece of work.
    pub fn start(self: &Arc<Self>) -> Working {
        self.count.fetch_add(1, Ordering::AcqRel);
        Working { in_flight: self.clone() }
    }

    /// Pieces of work in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Waits until nothing is in flight.
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

impl Drop for Working {
    fn drop(&mut self) {
        self.in_flight.count.fetch_sub(1, Ordering::AcqRel);
        self.in_flight.ended.notify_waiters();
    }
}

/// Members of a pool by its name, or none.
pub(crate) fn members_of(
    targets: &BTreeMap<Name, Arc<Vec<Member>>>,
    pool: &str,
) -> Arc<Vec<Member>> {
    targets.get(pool).cloned().unwrap_or_default()
}

/// A map from names to state made when first asked for.
#[derive(Debug)]
pub(crate) struct Lazy<T> {
    map: parking_lot::RwLock<HashMap<Name, Arc<T>>>,
}

impl<T> Default for Lazy<T> {
    fn default() -> Lazy<T> {
        Lazy { map: parking_lot::RwLock::default() }
    }
}

impl<T> Lazy<T> {
    /// State of a name.
    pub(crate) fn of(&self, name: &str, make: impl FnOnce() -> T) -> Arc<T> {
        if let Some(it) = self.map.read().get(name) {
            return it.clone();
        }
        self.map.write().entry(name.to_owned()).or_insert_with(|| Arc::new(make())).clone()
    }

    /// All names with their state.
    pub(crate) fn all(&self) -> Vec<(Name, Arc<T>)> {
        self.map.read().iter().map(|(name, it)| (name.clone(), it.clone())).collect()
    }
}

/// Waits until a flag is raised, or its owner is gone.
pub(crate) async fn raised(flag: &mut watch::Receiver<bool>) {
    drop(flag.wait_for(|it| *it).await);
}
