//! State shared by the tasks of one ingress instance.
//!
//! It holds the active configuration, the directory of targets, the peers and the log of changes for
//! followers, and applies each change to the modules that depend on it.

mod reads;
mod targets;
mod waits;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use holdpoint_core::{
    backoffs::Backoffs,
    change_log::{ChangeLog, Revision},
    deadline::{StatedTimeouts, Times},
    directory::{Change, Directory, TargetId, TargetInstance},
    ids::{Millis, Name},
    ingress::{Configuration, is_newer},
    overload::Overloads,
    topology::Topology,
};
use holdpoint_platform::{Clock, Instant};
use holdpoint_schema::ingress::IngressSettings;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        active_resources::ActiveResources,
        batches::{Batches, StageLoads},
        body_memory::BodyMemory,
        changes::{PeerChanges, TargetChanges},
        confinement::Confinements,
        confirm::Confirmation,
        connections::Connections,
        domains::Domains,
        drain_notices::{DrainNotice, DrainNotices},
        limits::Limits,
        own_load::OwnLoad,
        packed::{Packed, peer_hash},
        paths::Paths,
        peer_service::PROTOCOL,
        peers::{Peer, Peers, own_capacity},
        pools::Pools,
        quarantine::{self, Quarantines},
        regions::Regions,
        relay::Relays,
        releases::Releases,
        rollouts::Rollouts,
        store::StoreEpochs,
        stream_origins::{self, StreamOrigins},
        unread::UnreadBuffers,
        update_feed::{StateChange, TargetList},
    },
    metrics::Metrics,
    shared::{InFlight, LazyMap},
};

/// Age up to which a read of the list of targets counts as fresh.
const MAX_READ_AGE: Duration = Duration::from_millis(1500);
/// How long after the start requests wait for a configuration and targets.
const START_TIMEOUT: Duration = Duration::from_millis(2000);
/// Upper bound of the stage duration that a peer may report: the maximum timeout of a route that states none.
const MAX_STAGE_MS: Millis = 60_000;
/// Number of changes kept in the log for followers of this instance.
const MAX_KEPT_CHANGES: usize = 1024;

/// Sign of a drain notice of a target whose address another one has.
pub(crate) const MISDIRECTED_SIGN: &str = "misdirected";

/// All targets are applied anew if more than `1 / FULL_APPLY_RATIO` of them have changed.
const FULL_APPLY_RATIO: usize = 4;

/// Cache key of a serialised list of targets: the end of the change log, the number of lapsed entries and, if
/// any target is cold, the current second.
pub(crate) type ListKey = (Revision, usize, Millis);

/// State shared by the tasks of one ingress instance.
pub(crate) struct IngressShared {
    pub(crate) settings: IngressSettings,
    pub(crate) topology: Topology,
    pub(crate) clock: Clock,
    started_at: Instant,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) connections: Connections,
    /// What this instance carries.
    pub(crate) own_load: OwnLoad,
    /// Paths of this instance to the targets.
    pub(crate) paths: Paths,
    /// Requests relayed for peers, and peers that relay.
    pub(crate) relays: Relays,
    pub(crate) pools: Pools,
    pub(crate) batches: Batches,
    pub(crate) releases: Releases,
    pub(crate) peers: Peers,
    /// Targets by region.
    pub(crate) regions: Regions,
    /// Evacuated failure domains.
    pub(crate) domains: Domains,
    /// State of requests that are confined to regions.
    pub(crate) confinements: Confinements,
    /// Rollouts of versions.
    pub(crate) rollouts: Rollouts,
    /// Quarantined requests.
    pub(crate) quarantines: Quarantines,
    /// Rate limits reported by targets.
    pub(crate) limits: Limits,
    /// Targets that have asked this instance to back off.
    pub(crate) backoffs: Mutex<Backoffs>,
    /// Targets that crash if they have to reject too many requests.
    pub(crate) overloads: Mutex<Overloads>,
    /// Drain notices received in responses of targets.
    pub(crate) departures: DrainNotices,
    /// Software versions that began streams.
    pub(crate) origins: StreamOrigins,
    /// Policies and experiments declared by operators.
    pub(crate) experiments: ActiveResources,
    pub(crate) in_flight: Arc<InFlight>,
    /// Open connections of callers and relaying peers that have carried a request.
    pub(crate) used_connections: Arc<InFlight>,
    /// Calls of peers whose answers are not written yet.
    pub(crate) served_calls: Arc<InFlight>,
    /// Becomes true when callers' connections must be closed.
    pub(crate) closing: watch::Sender<bool>,
    /// Becomes true shortly before the end of a planned stop: all pending requests get a final response.
    pub(crate) answer_now: watch::Sender<bool>,
    /// Whether answers that are still forwarded must be broken off because the stop is over.
    pub(crate) break_off_now: watch::Sender<bool>,
    /// Whether a planned stop has begun.
    pub(crate) is_draining: AtomicBool,
    /// Time to the first event of a stream, by route.
    pub(crate) first_times: LazyMap<Mutex<Times>>,
    /// Times from the arrival of requests to the end of their whole answers, by route.
    pub(crate) answer_times: LazyMap<Mutex<Times>>,
    /// When requests without an answer get a final one, once a planned stop has begun.
    pub(crate) final_answers_at: OnceLock<Instant>,
    /// Timeouts stated by callers, by route.
    pub(crate) stated_timeouts: LazyMap<Mutex<StatedTimeouts>>,
    /// Notified when the machine resumes from a suspension.
    resumed: watch::Sender<()>,
    /// Newest known epoch of the store.
    pub(crate) epochs: Arc<StoreEpochs>,
    /// When this instance last wrote its own entry to the store, in milliseconds; 0 if never.
    pub(crate) entry_written: AtomicU64,
    /// Notified when the store did not answer: pending long polls start over.
    pub(crate) store_lost: Notify,
    /// Whether this instance reads the store itself rather than following a peer.
    pub(crate) reading: watch::Sender<bool>,
    /// Whether the store failed to answer the last read of the list of targets.
    pub(crate) is_store_silent: watch::Sender<bool>,
    /// Held while a newer configuration is fetched from a peer.
    pub(crate) catching_up: tokio::sync::Mutex<()>,
    /// Random id of this incarnation of the process.
    pub(crate) incarnation: u64,
    /// Notified when there is an update for followers of this instance.
    pub(crate) updated: watch::Sender<()>,
    changes: Mutex<ChangeLog<StateChange>>,
    /// When the active configuration was last confirmed to be the newest.
    pub(crate) confirmation: Confirmation,
    /// Response data that callers have not read yet.
    pub(crate) unread: UnreadBuffers,
    /// Memory for the bodies of requests.
    pub(crate) bodies: BodyMemory,
    /// Compressed lists for peers.
    pub(crate) packed: Packed,
    /// Becomes true once the first attempt to learn the peers, from seeds or the store, has ended.
    pub(crate) peers_known: watch::Sender<bool>,
    configuration: ArcSwap<Configuration>,
    /// The active configuration as it was read, for peers.
    configuration_bytes: Mutex<Bytes>,
    directory: Mutex<Directory>,
    /// When the list of targets was last read from the store, in milliseconds; 0 if never.
    targets_read: AtomicU64,
    /// Until when draining targets may get requests that continue streams, in milliseconds.
    drained: Mutex<HashMap<TargetId, Millis>>,
    /// Start of the current run of successful reads of the list by this instance, in milliseconds; 0 if
    /// the last read failed.
    steady_since: AtomicU64,
    /// Notified when lapsed entries are found.
    pub(crate) lapses_found: Notify,
    /// Time of the last read before lapsed entries were found, in milliseconds.
    lapses_since: AtomicU64,
    /// Number of reads of the list of targets, or its changes, that this instance has begun.
    reads_begun: AtomicU64,
    /// Number of the newest of these reads that has been applied; 0 if there is none.
    read_applied: watch::Sender<u64>,
    /// Notified when the list of targets is to be read at once.
    pub(crate) read_wanted: Notify,
}

impl IngressShared {
    /// Creates the state of an instance without configuration, targets and peers.
    pub(crate) fn new(settings: IngressSettings) -> IngressShared {
        let metrics = Arc::new(Metrics::new());
        let epochs = Arc::new(StoreEpochs::default());
        let own_load = OwnLoad::new(&settings.machine);
        let traffic = own_load.traffic.clone();
        IngressShared {
            clock: Clock::new(),
            topology: Topology::new(&settings.region, settings.regions.clone()),
            started_at: Instant::now(),
            connections: Connections::new(&settings, metrics.clone(), &traffic),
            own_load,
            paths: Paths::default(),
            relays: Relays::default(),
            metrics,
            pools: Pools::new(&settings),
            batches: Batches::default(),
            releases: Releases::default(),
            peers: Peers::new(&settings),
            regions: Regions::new(&settings),
            domains: Domains::default(),
            confinements: Confinements::default(),
            rollouts: Rollouts::new(&settings, epochs.clone(), traffic.store),
            quarantines: Quarantines::default(),
            limits: Limits::default(),
            backoffs: Mutex::default(),
            overloads: Mutex::default(),
            departures: DrainNotices::default(),
            origins: StreamOrigins::default(),
            experiments: ActiveResources::default(),
            in_flight: Arc::default(),
            used_connections: Arc::default(),
            served_calls: Arc::default(),
            closing: watch::channel(false).0,
            answer_now: watch::channel(false).0,
            break_off_now: watch::channel(false).0,
            is_draining: AtomicBool::new(false),
            first_times: LazyMap::default(),
            answer_times: LazyMap::default(),
            final_answers_at: OnceLock::new(),
            stated_timeouts: LazyMap::default(),
            resumed: watch::channel(()).0,
            epochs,
            entry_written: AtomicU64::new(0),
            store_lost: Notify::new(),
            reading: watch::channel(false).0,
            is_store_silent: watch::channel(false).0,
            catching_up: tokio::sync::Mutex::default(),
            incarnation: rand::random(),
            updated: watch::channel(()).0,
            changes: Mutex::new(ChangeLog::new(MAX_KEPT_CHANGES)),
            confirmation: Confirmation::default(),
            unread: UnreadBuffers::new(settings.machine.memory_mb),
            bodies: BodyMemory::new(settings.machine.memory_mb),
            packed: Packed::default(),
            peers_known: watch::channel(false).0,
            configuration: ArcSwap::default(),
            configuration_bytes: Mutex::default(),
            directory: Mutex::default(),
            targets_read: AtomicU64::new(0),
            drained: Mutex::default(),
            steady_since: AtomicU64::new(0),
            lapses_found: Notify::new(),
            lapses_since: AtomicU64::new(0),
            reads_begun: AtomicU64::new(0),
            read_applied: watch::channel(0).0,
            read_wanted: Notify::new(),
            settings,
        }
    }

    /// The active configuration.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        self.configuration.load_full()
    }

    /// The active configuration as it was read.
    pub(crate) fn configuration_bytes(&self) -> Bytes {
        self.configuration_bytes.lock().clone()
    }

    /// Applies a configuration if it is newer than the active one; logs one that is invalid.
    pub(crate) fn apply_configuration(&self, value: &Bytes, source: &str) {
        let found = match holdpoint_adapter::configuration::parse(value) {
            Ok(it) => it,
            Err(it) => {
                let detail = format!("source={source} bytes={} cause=\"{it}\"", value.len());
                emit(events::BAD_CONFIGURATION, &self.settings.instance, &detail);
                return;
            }
        };
        let current = self.configuration();
        if !is_newer(current.version, found.version) {
            return;
        }
        let detail = format!(
            "version={} before={} routes={} bytes={} source={source}",
            found.version,
            current.version,
            found.route_count(),
            value.len()
        );
        emit(events::CONFIGURED, &self.settings.instance, &detail);
        *self.configuration_bytes.lock() = value.clone();
        self.configuration.store(Arc::new(found));
        self.pools.configure(&self.configuration());
        self.connections.configure(&self.configuration(), self.peers.instance_count());
        self.batches.configure(self);
        self.confinements.configuration_changed(self, &current, &self.configuration());
        self.updated.send_replace(());
    }

    /// Changes the directory and applies the changes to all modules that depend on it.
    pub(crate) fn change_directory(&self, change: impl FnOnce(&mut Directory, &mut TargetChanges)) {
        let mut directory = self.directory.lock();
        let mut changes = TargetChanges::default();
        change(&mut directory, &mut changes);
        if changes.is_empty() {
            return;
        }
        changes.log(&self.settings.instance, &directory);
        self.record_drained(&directory, &changes);
        if self.origins.targets_changed(self.clock.now(), &directory, &changes) {
            stream_origins::tell_all(self);
        }
        let joined = changes.joined().filter_map(|it| directory.get(it));
        joined.for_each(|it| self.confinements.check_domain(self, &it.domain));
        for it in changes.joined().filter_map(|it| directory.get(it)) {
            self.backoffs.lock().set_incarnation(&it.id, it.born);
        }
        let now = self.clock.now();
        self.assume_joined_cold(now, &mut directory, &changes);
        self.publish(changes.ids().map(|id| match directory.get(id) {
            Some(it) => {
                let cold_left_ms = Some(directory.cold_left(now, id));
                StateChange::Target(TargetInstance { cold_left_ms, ..it.clone() })
            }
            None => StateChange::TargetGone(id.clone()),
        }));
        // State of earlier incarnations is dropped, as for removed targets.
        let restarted: HashSet<&str> = changes.restarted().map(String::as_str).collect();
        for id in &restarted {
            self.pools.remove_target(id);
            self.batches.remove_target(id);
        }
        for id in changes.ids() {
            if restarted.contains(id.as_str()) || directory.get(id).is_none() {
                self.limits.remove(id);
                self.paths.remove(id);
                self.overloads.lock().remove(id);
            }
        }
        self.apply_changes(&directory, changes.ids());
        let is_kept = |it: &str| directory.get(it).is_some() && !restarted.contains(it);
        self.connections.retain(is_kept);
    }

    /// Treats targets as cold that joined after the first read of the list and do not report whether
    /// they are.
    fn assume_joined_cold(&self, now: Millis, directory: &mut Directory, changes: &TargetChanges) {
        if self.targets_read.load(Ordering::Acquire) == 0 {
            return;
        }
        let configuration = self.configuration();
        for id in changes.joined() {
            let Some(it) = directory.get(id).filter(|it| it.cold_left_ms.is_none()) else {
                continue;
            };
            let cold = configuration.services.get(&it.service).and_then(|it| it.cold);
            if let Some(it) = cold {
                directory.assume_cold(now, id, it.start_ms);
            }
        }
    }

    /// Treats each target as cold for the given number of milliseconds.
    pub(crate) fn assume_cold<'a>(&self, targets: impl Iterator<Item = (&'a str, Millis)>) {
        let now = self.clock.now();
        let mut directory = self.directory.lock();
        targets.for_each(|(id, ms)| directory.assume_cold(now, id, ms));
    }

    /// Applies the directory and the evacuated domains to all modules that depend on them.
    pub(crate) fn apply_directory(&self) {
        self.apply(&self.directory.lock());
    }

    /// Applies changes of some targets. The cost grows with the number of changes, not with the size of the
    /// directory, unless regions are configured or many targets have changed.
    fn apply_changes<'a>(&self, directory: &Directory, ids: impl Iterator<Item = &'a TargetId>) {
        let ids: BTreeSet<&str> = ids.map(String::as_str).collect();
        if self.topology.has_regions() || directory.len() < FULL_APPLY_RATIO * ids.len() {
            // Whether a target of one region is used may depend on the targets of another region.
            return self.apply(directory);
        }
        let evacuations = self.domains.state();
        self.rollouts.set_targets(directory, &evacuations);
        for id in ids {
            let found = directory.get(id);
            let is_evacuated = found.is_some_and(|it| evacuations.is_evacuated(&it.domain));
            let cold_until = directory.cold_until(id);
            self.pools.put_target(self.clock.now(), id, found, (is_evacuated, cold_until));
            self.batches.put_target(id, found, is_evacuated);
        }
    }

    fn apply(&self, directory: &Directory) {
        let evacuations = self.domains.state();
        self.rollouts.set_targets(directory, &evacuations);
        self.pools.set_targets(self.clock.now(), directory, &evacuations);
        self.batches.set_targets(directory, &evacuations, &self.topology);
        self.regions.set_targets(directory, &evacuations, &self.topology);
    }

    /// Adds updates to the change log and wakes the followers of this instance.
    fn publish(&self, changes: impl Iterator<Item = StateChange>) {
        let mut log = self.changes.lock();
        changes.for_each(|it| log.push(it));
        drop(log);
        self.updated.send_replace(());
    }

    /// Changes since a revision, and the revision after them; `None` instead of changes that are no longer
    /// in the log.
    pub(crate) fn changes_since(&self, from: Revision) -> (Option<Vec<StateChange>>, Revision) {
        let changes = self.changes.lock();
        (changes.since(from), changes.end())
    }

    /// Applies entries of peers; `None` stands for a peer that has left. If the entries are complete, known
    /// peers without an entry have left as well.
    pub(crate) fn set_peers(&self, mut entries: Vec<(Name, Option<Peer>)>, is_complete: bool) {
        if is_complete {
            let named: HashSet<&str> = entries.iter().map(|it| it.0.as_str()).collect();
            let known = self.peers.all().into_iter().map(|it| it.0);
            let left: Vec<Name> = known.filter(|it| !named.contains(it.as_str())).collect();
            entries.extend(left.into_iter().map(|it| (it, None)));
        }
        entries.retain(|(name, peer)| self.peers.set(name, peer.clone()));
        let mut changes = PeerChanges::default();
        for (name, peer) in &entries {
            changes.record(name, peer.as_ref().map(|it| it.address.clone()));
        }
        if changes.is_empty() {
            return;
        }
        let known = self.peers.instance_count();
        self.pools.set_instances(known);
        self.connections.configure(&self.configuration(), known);
        changes.log(&self.settings.instance, known);
        self.publish(entries.into_iter().map(|(name, peer)| StateChange::Peer(name, peer)));
    }

    /// Applies stage durations and loads reported by the instances that batch the services' calls.
    pub(crate) fn apply_stage_loads(&self, reported: StageLoads) {
        let now = self.clock.now();
        for (service, ms) in &reported.times {
            self.pools.of(now, service).record_stage_time(now, (*ms).min(MAX_STAGE_MS));
        }
        self.batches.apply_loads(self, now, reported.loads);
    }

    /// All resources in the store by key: declarations of operators, quarantined requests, and services with several
    /// software versions.
    pub(crate) fn resources(&self) -> Vec<(String, Bytes)> {
        let mut resources = self.experiments.all();
        resources.extend(self.quarantines.stored());
        resources.extend(self.origins.stored());
        resources
    }

    /// Applies a new value of a resource, or its removal; logs one that is invalid.
    pub(crate) fn set_resource(&self, key: &str, value: Option<Bytes>) {
        let of_quarantine = quarantine::apply_stored(self, key, value.clone());
        let applied =
            of_quarantine.or_else(|| stream_origins::apply_stored(self, key, value.clone()));
        if let Some(is_new) = applied {
            if is_new {
                self.publish(std::iter::once(StateChange::Resource(key.to_owned(), value)));
            }
            return;
        }
        match self.experiments.set(key, value.clone()) {
            Ok(false) => (),
            Ok(true) => {
                let detail = format!("key={} is_dropped={}", LoggedName(key), value.is_none());
                emit(events::DECLARED, &self.settings.instance, &detail);
                self.publish(std::iter::once(StateChange::Resource(key.to_owned(), value)));
            }
            Err(it) => {
                let detail = format!("key={} cause=\"{it}\"", LoggedName(key));
                emit(events::BAD_RESOURCE, &self.settings.instance, &detail);
            }
        }
    }

    /// All instances, for a peer: the known peers, and this instance unless it is draining.
    pub(crate) fn instances(&self) -> Vec<(Name, Peer)> {
        let mut instances = self.peers.all();
        if !self.is_draining.load(Ordering::Acquire) {
            instances.push((self.settings.instance.clone(), self.own_peer()));
        }
        instances
    }

    /// Sum of the hashes of all instances, as [`Self::instances`] lists them.
    pub(crate) fn instances_digest(&self) -> u64 {
        let own = if self.is_draining.load(Ordering::Acquire) {
            0
        } else {
            peer_hash(&self.settings.instance, &self.own_peer())
        };
        self.peers.digest().wrapping_add(own)
    }

    /// This instance's own entry as a peer.
    pub(crate) fn own_peer(&self) -> Peer {
        Peer {
            address: self.settings.listen.peers.clone(),
            incarnation: format!("{:x}", self.incarnation),
            capacity: own_capacity(&self.settings),
            protocol: PROTOCOL,
            domain: self.settings.domain.clone(),
            store_ms: self.peers.store_ms(),
        }
    }

    /// Hash of all known targets, as compared by peers of earlier versions.
    pub(crate) fn digest(&self) -> u64 {
        self.directory.lock().digest()
    }

    /// Sum of the hashes of all known targets.
    pub(crate) fn targets_sum(&self) -> u64 {
        self.directory.lock().sum()
    }

    /// Applies a drain notice that did not come from a target's entry.
    pub(crate) fn mark_draining(&self, departure: &DrainNotice, sign: &'static str) -> Change {
        let mut change = Change::Nothing;
        self.change_directory(|directory, changes| {
            change = directory.mark_draining(&departure.target, departure.born);
            changes.record(departure.target.clone(), change, sign);
        });
        if sign == MISDIRECTED_SIGN {
            self.drained.lock().remove(&departure.target);
        }
        change
    }

    /// All targets, draining ones included.
    pub(crate) fn targets(&self) -> Vec<TargetInstance> {
        self.directory.lock().all().cloned().collect()
    }

    /// The list of targets for peers, as JSON; cached until it changes.
    pub(crate) fn target_list(&self) -> Bytes {
        self.target_list_with_key().1
    }

    /// The same, with its cache key.
    pub(crate) fn target_list_with_key(&self) -> (ListKey, Bytes) {
        let directory = self.directory.lock();
        let now = self.clock.now();
        // The remaining cold time of targets is reported to the second.
        let second = directory.cold(now).next().map_or(0, |_| now / 1000);
        let key = (self.changes.lock().end(), directory.lapsed().count(), second);
        let mut cached = self.packed.plain.lock();
        match &*cached {
            Some((cached_key, list)) if *cached_key == key => (key, list.clone()),
            _ => {
                let list =
                    serde_json::to_vec(&TargetList::new(now, &directory)).unwrap_or_default();
                let list = Bytes::from(list);
                *cached = Some((key, list.clone()));
                (key, list)
            }
        }
    }

    /// Whether the load balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining.load(Ordering::Acquire) && self.has_started()
    }

    /// Time since the start of this instance.
    pub(crate) fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether a configuration and targets are known.
    pub(crate) fn has_started(&self) -> bool {
        self.configuration.load().version != 0 && !self.directory.lock().is_empty()
    }
}
