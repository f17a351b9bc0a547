//! What the tasks of one ingress instance share.

mod reads;

use std::{
    collections::{BTreeSet, HashSet},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use holdpoint_core::{
    backoffs::Backoffs,
    change_log::{ChangeLog, Revision},
    deadline::{Patience, Times},
    directory::{Change, Directory, TargetId, TargetInstance},
    ids::{Millis, Name},
    ingress::{Configuration, newer},
    topology::Topology,
};
use holdpoint_platform::{Clock, Instant};
use holdpoint_schema::ingress::IngressSettings;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    events::{self, emit},
    ingress::{
        batches::{Batches, StageLoads},
        changes::{PeerChanges, TargetChanges},
        confinement::Confinements,
        confirm::Confirmation,
        connections::Connections,
        declared::Declared,
        departures::{Departure, Departures},
        domains::Domains,
        limits::Limits,
        news::{News, TargetList},
        packed::{Packed, peer_hash},
        peer_service::PROTOCOL,
        peers::{Peer, Peers, own_capacity},
        pools::Pools,
        quarantine::{self, Quarantines},
        regions::Regions,
        releases::Releases,
        rollouts::Rollouts,
        store::Eras,
        unread::Unread,
    },
    metrics::Metrics,
    shared::{InFlight, Lazy},
};

/// How long a read of the store counts as fresh when a peer asks for what was read.
const FRESH: Duration = Duration::from_millis(1500);
/// Time after its start by which an instance knows configuration and targets, also where hundreds start
/// together.
const START: Duration = Duration::from_millis(2000);
/// Longest time that a peer is believed a stage to take, in milliseconds: as long as the longest time
/// limit of a route that states none.
const LONGEST_STAGE_MS: Millis = 60_000;
/// Changes of targets and peers that are kept for those who follow this instance.
const NEWS_KEPT: usize = 1024;

/// Changes from one in so many of all targets on are put in force by going over all targets.
const MANY_CHANGES: usize = 4;

/// What a list of targets was made of: the position in the news, the number of lapsed entries and, if
/// targets are cold, the second.
pub(crate) type ListState = (Revision, usize, Millis);

/// What the tasks of one ingress instance share.
pub(crate) struct IngressShared {
    pub(crate) settings: IngressSettings,
    pub(crate) topology: Topology,
    pub(crate) clock: Clock,
    begun: Instant,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) connections: Connections,
    pub(crate) pools: Pools,
    pub(crate) batches: Batches,
    pub(crate) releases: Releases,
    pub(crate) peers: Peers,
    /// Targets by region.
    pub(crate) regions: Regions,
    /// Failure domains that are evacuated.
    pub(crate) domains: Domains,
    /// What is known of requests that are confined to regions.
    pub(crate) confinements: Confinements,
    /// Versions that are rolled out.
    pub(crate) rollouts: Rollouts,
    /// Requests that end their targets.
    pub(crate) quarantines: Quarantines,
    /// Limits that targets name.
    pub(crate) limits: Limits,
    /// Targets that have asked this instance to back off.
    pub(crate) backoffs: Mutex<Backoffs>,
    /// Targets that have said in answers that they leave.
    pub(crate) departures: Departures,
    /// Policies and trials that operators declared.
    pub(crate) experiments: Declared,
    pub(crate) in_flight: Arc<InFlight>,
    /// Becomes true when callers' connections are to be closed.
    pub(crate) closing: watch::Sender<bool>,
    /// Becomes true when a planned stop is about to end and all that waits gets its final answer.
    pub(crate) answer_now: watch::Sender<bool>,
    /// Whether a planned stop has begun.
    pub(crate) is_leaving: AtomicBool,
    /// Times from the send of a stream to its first event, by route.
    pub(crate) first_times: Lazy<Mutex<Times>>,
    /// Patience that callers bring, by route.
    pub(crate) patiences: Lazy<Mutex<Patience>>,
    /// Sent whenever the machine has been suspended.
    woken: watch::Sender<()>,
    /// Eras of the store.
    pub(crate) eras: Arc<Eras>,
    /// When this instance last wrote its entry, in milliseconds; 0 is never.
    pub(crate) entry_written: AtomicU64,
    /// Raised whenever the store was silent, so that waiting reads begin anew.
    pub(crate) store_lost: Notify,
    /// Whether this instance reads the store by itself, or follows another that does.
    pub(crate) reading: watch::Sender<bool>,
    /// Whether the store was silent when it was last asked.
    pub(crate) is_store_silent: watch::Sender<bool>,
    /// Held while a later configuration that a peer has is taken over.
    pub(crate) catching_up: tokio::sync::Mutex<()>,
    /// Identifies this life of the process among those of all instances.
    pub(crate) life: u64,
    /// Sent whenever there is something new for those who follow this instance.
    pub(crate) has_news: watch::Sender<()>,
    news: Mutex<ChangeLog<News>>,
    /// When the configuration in force was last known to be the newest.
    pub(crate) confirmation: Confirmation,
    /// What is kept for callers who have not read it.
    pub(crate) unread: Unread,
    /// Whole lists as they are sent to peers.
    pub(crate) packed: Packed,
    /// Becomes true once the peers were read from the store, or could not be read.
    pub(crate) peers_known: watch::Sender<bool>,
    configuration: ArcSwap<Configuration>,
    /// The configuration in force as it was read, for peers.
    configuration_bytes: Mutex<Bytes>,
    directory: Mutex<Directory>,
    /// When the list of targets was last read from the store, in milliseconds; 0 is never.
    targets_read: AtomicU64,
    /// Since when this instance's reads of the list have not failed, in milliseconds; 0 where the
    /// last one did.
    steady_since: AtomicU64,
    /// Raised whenever entries were found to have lapsed.
    pub(crate) lapses_found: Notify,
    /// When the list was read before entries were found to have lapsed, in milliseconds.
    lapses_since: AtomicU64,
}

impl IngressShared {
    /// Makes the state of an instance that knows nothing yet.
    pub(crate) fn new(settings: IngressSettings) -> IngressShared {
        let connect = Duration::from_millis(settings.timing.connect_ms);
        let eras = Arc::new(Eras::default());
        IngressShared {
            clock: Clock::new(),
            topology: Topology::new(&settings.region, settings.regions.clone()),
            begun: Instant::now(),
            metrics: Arc::new(Metrics::new()),
            connections: Connections::new(connect),
            pools: Pools::new(&settings),
            batches: Batches::default(),
            releases: Releases::default(),
            peers: Peers::new(&settings),
            regions: Regions::new(&settings),
            domains: Domains::default(),
            confinements: Confinements::default(),
            rollouts: Rollouts::new(&settings, eras.clone()),
            quarantines: Quarantines::default(),
            limits: Limits::default(),
            backoffs: Mutex::default(),
            departures: Departures::default(),
            experiments: Declared::default(),
            in_flight: Arc::default(),
            closing: watch::channel(false).0,
            answer_now: watch::channel(false).0,
            is_leaving: AtomicBool::new(false),
            first_times: Lazy::default(),
            patiences: Lazy::default(),
            woken: watch::channel(()).0,
            eras,
            entry_written: AtomicU64::new(0),
            store_lost: Notify::new(),
            reading: watch::channel(false).0,
            is_store_silent: watch::channel(false).0,
            catching_up: tokio::sync::Mutex::default(),
            life: rand::random(),
            has_news: watch::channel(()).0,
            news: Mutex::new(ChangeLog::new(NEWS_KEPT)),
            confirmation: Confirmation::default(),
            unread: Unread::new(settings.machine.memory_mb),
            packed: Packed::default(),
            peers_known: watch::channel(false).0,
            configuration: ArcSwap::default(),
            configuration_bytes: Mutex::default(),
            directory: Mutex::default(),
            targets_read: AtomicU64::new(0),
            steady_since: AtomicU64::new(0),
            lapses_found: Notify::new(),
            lapses_since: AtomicU64::new(0),
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
            "version={} before={} routes={} bytes={} source={source}",
            found.version,
            in_force.version,
            found.route_count(),
            value.len()
        );
        emit(events::CONFIGURED, &self.settings.instance, &detail);
        *self.configuration_bytes.lock() = value.clone();
        self.configuration.store(Arc::new(found));
        self.pools.configure(&self.configuration());
        self.connections.configure(&self.configuration(), self.peers.instance_count());
        self.batches.configure(self);
        self.confinements.configured(self, &in_force, &self.configuration());
        self.has_news.send_replace(());
    }

    /// Changes the directory, and takes the changes in wherever they count.
    pub(crate) fn change_directory(&self, change: impl FnOnce(&mut Directory, &mut TargetChanges)) {
        let mut directory = self.directory.lock();
        let mut changes = TargetChanges::default();
        change(&mut directory, &mut changes);
        if changes.is_empty() {
            return;
        }
        changes.log(&self.settings.instance, &directory);
        let joined = changes.joined().filter_map(|it| directory.get(it));
        joined.for_each(|it| self.confinements.check(self, &it.domain));
        for it in changes.joined().filter_map(|it| directory.get(it)) {
            self.backoffs.lock().new_life(&it.id, it.born);
        }
        let now = self.clock.now();
        self.hold_joined(now, &mut directory, &changes);
        self.tell(changes.ids().map(|id| match directory.get(id) {
            Some(it) => {
                let cold_left_ms = Some(directory.cold_left(now, id));
                News::Target(TargetInstance { cold_left_ms, ..it.clone() })
            }
            None => News::TargetGone(id.clone()),
        }));
        // Whatever is known of the lives before goes, as with targets that are gone.
        let restarted: HashSet<&str> = changes.restarted().map(String::as_str).collect();
        for id in &restarted {
            self.pools.remove_target(id);
            self.batches.remove_target(id);
        }
        for id in changes.ids() {
            if restarted.contains(id.as_str()) || directory.get(id).is_none() {
                self.limits.remove(id);
            }
        }
        self.apply_changes(&directory, changes.ids());
        let is_kept = |it: &str| directory.get(it).is_some() && !restarted.contains(it);
        self.connections.retain(is_kept);
    }

    /// Takes targets to be cold that have started since the list was first read, and do not tell
    /// whether they are.
    fn hold_joined(&self, now: Millis, directory: &mut Directory, changes: &TargetChanges) {
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
                directory.hold_cold(now, id, it.start_ms);
            }
        }
    }

    /// Takes targets to be cold for so many milliseconds each.
    pub(crate) fn hold_cold<'a>(&self, targets: impl Iterator<Item = (&'a str, Millis)>) {
        let now = self.clock.now();
        let mut directory = self.directory.lock();
        targets.for_each(|(id, ms)| directory.hold_cold(now, id, ms));
    }

    /// Puts the directory and the evacuated domains in force wherever they count.
    pub(crate) fn apply_directory(&self) {
        self.apply(&self.directory.lock());
    }

    /// Puts changes of some targets in force. What that costs grows with them, not with the directory: done
    /// for all of 10,000 targets with each change, it took an instance with a tenth of a core a part of it
    /// that grew with the fleet.
    fn apply_changes<'a>(&self, directory: &Directory, ids: impl Iterator<Item = &'a TargetId>) {
        let ids: BTreeSet<&str> = ids.map(String::as_str).collect();
        if self.topology.is_split() || directory.len() < MANY_CHANGES * ids.len() {
            // Whether a target of one region is used may depend on those of another.
            return self.apply(directory);
        }
        let evacuations = self.domains.state();
        self.rollouts.set_targets(directory, &evacuations);
        for id in ids {
            let found = directory.get(id);
            let is_held = found.is_some_and(|it| evacuations.is_evacuated(&it.domain));
            let cold_until = directory.cold_until(id);
            self.pools.put_target(self.clock.now(), id, found, (is_held, cold_until));
            self.batches.put_target(id, found, is_held);
        }
    }

    fn apply(&self, directory: &Directory) {
        let evacuations = self.domains.state();
        self.rollouts.set_targets(directory, &evacuations);
        self.pools.set_targets(self.clock.now(), directory, &evacuations);
        self.batches.set_targets(directory, &evacuations, &self.topology);
        self.regions.set_targets(directory, &evacuations, &self.topology);
    }

    /// Tells those who follow this instance what is new.
    fn tell(&self, news: impl Iterator<Item = News>) {
        let mut kept = self.news.lock();
        news.for_each(|it| kept.push(it));
        drop(kept);
        self.has_news.send_replace(());
    }

    /// What is new from a position on, and the position after it; no news where they are no longer
    /// kept.
    pub(crate) fn news_since(&self, from: Revision) -> (Option<Vec<News>>, Revision) {
        let news = self.news.lock();
        (news.since(from), news.end())
    }

    /// Takes in entries of peers; one without a peer has left. Where they are all that there are, so
    /// have the peers that they do not name.
    pub(crate) fn set_peers(&self, mut entries: Vec<(Name, Option<Peer>)>, is_whole: bool) {
        if is_whole {
            let named: HashSet<&str> = entries.iter().map(|it| it.0.as_str()).collect();
            let known = self.peers.all().into_iter().map(|it| it.0);
            let left: Vec<Name> = known.filter(|it| !named.contains(it.as_str())).collect();
            entries.extend(left.into_iter().map(|it| (it, None)));
        }
        entries.retain(|(name, peer)| self.peers.set(name, peer.clone()));
        let mut changes = PeerChanges::default();
        for (name, peer) in &entries {
            changes.note(name, peer.as_ref().map(|it| it.address.clone()));
        }
        if changes.is_empty() {
            return;
        }
        let known = self.peers.instance_count();
        self.pools.set_instances(known);
        self.connections.configure(&self.configuration(), known);
        changes.log(&self.settings.instance, known);
        self.tell(entries.into_iter().map(|(name, peer)| News::Peer(name, peer)));
    }

    /// Takes in how long stages take at services, and their load, as the instances that batch them tell.
    pub(crate) fn take_stage_loads(&self, told: StageLoads) {
        let now = self.clock.now();
        for (service, ms) in &told.times {
            self.pools.of(now, service).stage_takes(now, (*ms).min(LONGEST_STAGE_MS));
        }
        self.batches.told(self, now, told.loads);
    }

    /// All resources in the store by key: what operators declared, and the requests that are held.
    pub(crate) fn resources(&self) -> Vec<(String, Bytes)> {
        let mut resources = self.experiments.all();
        resources.extend(self.quarantines.stored());
        resources
    }

    /// Takes in a resource, or that it was dropped.
    pub(crate) fn set_resource(&self, key: &str, value: Option<Bytes>) {
        if let Some(is_new) = quarantine::set_stored(self, key, value.clone()) {
            if is_new {
                self.tell(std::iter::once(News::Resource(key.to_owned(), value)));
            }
            return;
        }
        match self.experiments.set(key, value.clone()) {
            Ok(false) => (),
            Ok(true) => {
                let detail = format!("key={key} is_dropped={}", value.is_none());
                emit(events::DECLARED, &self.settings.instance, &detail);
                self.tell(std::iter::once(News::Resource(key.to_owned(), value)));
            }
            Err(it) => {
                let detail = format!("key={key} cause=\"{it}\"");
                emit(events::BAD_RESOURCE, &self.settings.instance, &detail);
            }
        }
    }

    /// All instances, for a peer: the peers that are known, and this one unless it is leaving.
    pub(crate) fn instances(&self) -> Vec<(Name, Peer)> {
        let mut instances = self.peers.all();
        if !self.is_leaving.load(Ordering::Acquire) {
            instances.push((self.settings.instance.clone(), self.own_peer()));
        }
        instances
    }

    /// Sum of the hashes of all instances, as [`Self::instances`] lists them.
    pub(crate) fn instances_digest(&self) -> u64 {
        let own = if self.is_leaving.load(Ordering::Acquire) {
            0
        } else {
            peer_hash(&self.settings.instance, &self.own_peer())
        };
        self.peers.digest().wrapping_add(own)
    }

    /// This instance as a peer of others.
    pub(crate) fn own_peer(&self) -> Peer {
        Peer {
            address: self.settings.listen.peers.clone(),
            life: format!("{:x}", self.life),
            capacity: own_capacity(&self.settings),
            protocol: PROTOCOL,
            domain: self.settings.domain.clone(),
            store_ms: self.peers.store_ms(),
        }
    }

    /// Hash of all target instances that are known, as peers of earlier versions compare it.
    pub(crate) fn digest(&self) -> u64 {
        self.directory.lock().digest()
    }

    /// Sum of the hashes of all target instances that are known.
    pub(crate) fn targets_sum(&self) -> u64 {
        self.directory.lock().sum()
    }

    /// Takes in a sign of leaving that did not come from a target's entry.
    pub(crate) fn target_leaves(&self, departure: &Departure, sign: &'static str) -> Change {
        let mut change = Change::Nothing;
        self.change_directory(|directory, changes| {
            change = directory.leave(&departure.target, departure.born);
            changes.note(departure.target.clone(), change, sign);
        });
        change
    }

    /// A target instance that is known.
    pub(crate) fn target(&self, id: &str) -> Option<TargetInstance> {
        self.directory.lock().get(id).cloned()
    }

    /// A target instance that is known and may get new work: it is not leaving, its failure domain is
    /// not evacuated, and its version is not held back.
    pub(crate) fn open_target(&self, id: &str) -> Option<TargetInstance> {
        let found = self.directory.lock().get(id).filter(|it| !it.is_leaving).cloned();
        let found = found.filter(|it| !self.domains.is_evacuated(&it.domain));
        found.filter(|it| self.rollouts.is_open(self.clock.now(), it))
    }

    /// How much longer a target gets nothing of this instance, which it has asked to back off, in milliseconds.
    pub(crate) fn backoff_ms(&self, target: &TargetInstance) -> Millis {
        self.backoffs.lock().left(self.clock.now(), (&target.id, &target.service))
    }

    /// Whether a target has started again under its id since it was chosen: what an answer says concerns the life
    /// before.
    pub(crate) fn is_of_former_life(&self, target: &TargetInstance) -> bool {
        self.directory.lock().is_former_life(&target.id, target.born)
    }

    /// Whether a target is cold.
    pub(crate) fn is_cold(&self, id: &str) -> bool {
        self.directory.lock().cold_left(self.clock.now(), id) != 0
    }

    /// The target instance at an address that makes results of stages, leaving or not.
    pub(crate) fn target_at(&self, address: &str) -> Option<TargetInstance> {
        let configuration = self.configuration();
        // Another writer's entry may name the same address under a service that there is not.
        let is_its = |it: &&TargetInstance| configuration.services.contains_key(&it.service);
        self.directory.lock().at(address).find(is_its).cloned()
    }

    /// All target instances, leaving ones included.
    pub(crate) fn targets(&self) -> Vec<TargetInstance> {
        self.directory.lock().all().cloned().collect()
    }

    /// The list of target instances for peers, as JSON; made anew when something has changed.
    pub(crate) fn target_list(&self) -> Bytes {
        self.target_list_with_state().1
    }

    /// The same, with what it was made of.
    pub(crate) fn target_list_with_state(&self) -> (ListState, Bytes) {
        let directory = self.directory.lock();
        let now = self.clock.now();
        // How much longer targets are cold is told to the second.
        let second = directory.cold(now).next().map_or(0, |_| now / 1000);
        let state = (self.news.lock().end(), directory.lapsed().count(), second);
        let mut made = self.packed.plain.lock();
        match &*made {
            Some((of, list)) if *of == state => (state, list.clone()),
            _ => {
                let list =
                    serde_json::to_vec(&TargetList::new(now, &directory)).unwrap_or_default();
                let list = Bytes::from(list);
                *made = Some((state, list.clone()));
                (state, list)
            }
        }
    }

    /// Takes in that the machine has been suspended for so long.
    pub(crate) fn woken_after(&self, suspended: Duration) {
        let detail = format!("suspended_ms={}", suspended.as_millis());
        emit(events::WOKEN, &self.settings.instance, &detail);
        self.woken.send_replace(());
        // What a waiting read hears now may be as old as the suspension.
        self.store_lost.notify_waiters();
    }

    /// Waits until a point in time. Timers leave a suspension out, so it looks again after one.
    pub(crate) async fn wait_until(&self, at: Instant) {
        let mut woken = self.woken.subscribe();
        loop {
            let left = at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            // The sender lives as long as the instance.
            let _ = tokio::time::timeout(left, woken.changed()).await;
        }
    }

    /// Waits until all that has no answer yet gets its final one.
    pub(crate) async fn stop_nears(&self) {
        let mut answer_now = self.answer_now.subscribe();
        // The sender lives as long as the instance.
        let _ = answer_now.wait_for(|it| *it).await;
    }

    /// Waits until there are a configuration and targets, as long as the start of this instance is not
    /// overdue.
    pub(crate) async fn started(&self) {
        let mut has_news = self.has_news.subscribe();
        let is_started = async { while !self.has_started() && has_news.changed().await.is_ok() {} };
        let left = START.saturating_sub(self.begun.elapsed());
        // Whoever waited finds out by itself whether it may go on.
        let _ = tokio::time::timeout(left, is_started).await;
    }

    /// Whether the balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving.load(Ordering::Acquire) && self.has_started()
    }

    /// Whether a configuration and targets are known.
    pub(crate) fn has_started(&self) -> bool {
        self.configuration.load().version != 0 && !self.directory.lock().is_empty()
    }
}
