//! What the tasks of one ingress instance share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use holdpoint_core::{
    deadline::Times,
    directory::{Change, Directory, TargetInstance},
    ids::Millis,
    ingress::{Configuration, newer},
};
use holdpoint_platform::Clock;
use holdpoint_schema::ingress::IngressSettings;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    events::{self, emit},
    ingress::{
        batches::Batches, connections::Connections, frees::Frees, peers::Peers, pools::Pools,
    },
    metrics::Metrics,
    shared::{InFlight, Lazy},
};

/// How long a read of the store counts as fresh when a peer asks for what was read.
const FRESH: Duration = Duration::from_millis(1500);

/// What the tasks of one ingress instance share.
pub(crate) struct IngressShared {
    pub(crate) settings: IngressSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) connections: Connections,
    pub(crate) pools: Pools,
    pub(crate) batches: Batches,
    pub(crate) frees: Frees,
    pub(crate) peers: Peers,
    pub(crate) in_flight: Arc<InFlight>,
    /// Becomes true when callers' connections are to be closed.
    pub(crate) closing: watch::Sender<bool>,
    /// Whether a planned stop has begun.
    pub(crate) is_leaving: AtomicBool,
    /// Times from the send of a stream to its first event, by route.
    pub(crate) first_times: Lazy<Mutex<Times>>,
    /// Raised whenever the store was silent, so that waiting reads begin anew.
    pub(crate) store_lost: Notify,
    configuration: ArcSwap<Configuration>,
    /// The configuration in force as it was read, for peers.
    configuration_bytes: Mutex<Bytes>,
    directory: Mutex<Directory>,
    /// When the list of targets was last read from the store, in milliseconds; 0 is never.
    targets_read: AtomicU64,
}

impl IngressShared {
    /// Makes the state of an instance that knows nothing yet.
    pub(crate) fn new(settings: IngressSettings) -> IngressShared {
        let connect = Duration::from_millis(settings.timing.connect_ms);
        IngressShared {
            clock: Clock::new(),
            metrics: Arc::new(Metrics::new()),
            connections: Connections::new(connect),
            pools: Pools::new(&settings),
            batches: Batches::default(),
            frees: Frees::default(),
            peers: Peers::new(&settings),
            in_flight: Arc::default(),
            closing: watch::channel(false).0,
            is_leaving: AtomicBool::new(false),
            first_times: Lazy::default(),
            store_lost: Notify::new(),
            configuration: ArcSwap::default(),
            configuration_bytes: Mutex::default(),
            directory: Mutex::default(),
            targets_read: AtomicU64::new(0),
            settings,
        }
    }

    /// Configuration in force.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        self.configuration.load_full()
    }

    /// The configuration in force as it was read.
    pub(crate) fn configuration_bytes(&self) -> Bytes {
        self.configuration_bytes.lock().clone()
    }

    /// Puts a configuration in force if it is later than the one in force.
    pub(crate) fn offer_configuration(&self, value: &Bytes, source: &str) {
        let found = match holdpoint_adapter::configuration::parse(value) {
            Ok(it) => it,
            Err(it) => {
                let detail = format!("source={source} bytes={} cause=\"{it}\"", value.len());
                emit(events::BAD_CONFIGURATION, &self.settings.instance, &detail);
                return;
            }
        };
        let in_force = self.configuration();
        if !newer(in_force.version, found.version) {
            return;
        }
        let detail = format!(
            "version={} before={} routes={} source={source}",
            found.version,
            in_force.version,
            found.route_count()
        );
        emit(events::CONFIGURED, &self.settings.instance, &detail);
        *self.configuration_bytes.lock() = value.clone();
        self.configuration.store(Arc::new(found));
        self.batches.configure(self);
    }

    /// Changes the directory, and takes the change in wherever it counts.
    pub(crate) fn change_directory(&self, change: impl FnOnce(&mut Directory) -> bool) {
        let mut directory = self.directory.lock();
        if !change(&mut directory) {
            return;
        }
        self.pools.set_targets(&directory);
        self.batches.set_targets(&directory);
        self.connections.retain(|it| directory.get(it).is_some());
    }

    /// Takes in one entry of a target instance.
    pub(crate) fn put_target(&self, directory: &mut Directory, entry: TargetInstance) -> bool {
        let (id, service) = (entry.id.clone(), entry.service.clone());
        let change = directory.put(entry);
        self.log_target(&id, &service, change, "store");
        change != Change::Nothing
    }

    /// Takes in a sign that a target instance is leaving, seen in an answer of its own.
    pub(crate) fn target_leaves(&self, id: &str, sign: &str) {
        self.change_directory(|it| {
            let change = it.leave(id);
            self.log_target(id, "", change, sign);
            change != Change::Nothing
        });
    }

    /// Writes what changed about a target instance to the log.
    pub(crate) fn log_target(&self, id: &str, service: &str, change: Change, sign: &str) {
        let event = match change {
            Change::Nothing => return,
            Change::Leaving => events::TARGET_LEAVING,
            Change::Joined | Change::Altered => events::TARGET_CHANGED,
        };
        let detail = format!("target={id} service={service} change={change:?} sign={sign}");
        emit(event, &self.settings.instance, &detail);
    }

    /// A target instance that is known and not leaving.
    pub(crate) fn staying_target(&self, id: &str) -> Option<TargetInstance> {
        self.directory.lock().get(id).filter(|it| !it.is_leaving).cloned()
    }

    /// The target instance at an address that makes results of stages, leaving or not.
    pub(crate) fn target_at(&self, address: &str) -> Option<TargetInstance> {
        self.directory.lock().all().find(|it| it.address == address).cloned()
    }

    /// All target instances, for a peer.
    pub(crate) fn targets(&self) -> Vec<TargetInstance> {
        self.directory.lock().all().cloned().collect()
    }

    /// Counts a read of the list of targets.
    pub(crate) fn targets_were_read(&self) {
        self.targets_read.store(self.clock.now(), Ordering::Release);
    }

    /// Whether the list of targets was read from the store just now.
    pub(crate) fn is_fresh(&self) -> bool {
        let read = self.targets_read.load(Ordering::Acquire);
        read != 0 && self.clock.now() < read + FRESH.as_millis() as Millis
    }

    /// Whether the balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving.load(Ordering::Acquire)
            && self.configuration.load().version != 0
            && !self.directory.lock().is_empty()
    }
}
