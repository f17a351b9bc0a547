//! Remembers which software version began each stream, so that a stream is continued by no other version: within its
//! answer, and when its caller resumes it at any instance.
//!
//! While a service has targets of one version only, nothing is sent. As soon as it has several, each instance tells the
//! versions of its streams to a few others, the holders, which rendezvous hashing over the stream's key chooses. An
//! instance that a stream is resumed at asks them. The store keeps the same for the case that all instances are lost:
//! those that read the store read it once after their start. While a service has one version only, the store keeps that
//! version: all targets may be replaced while no instance runs.

mod version_records;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use holdpoint_adapter::{headers::CallerHead, store::STREAMS_TOPIC};
use holdpoint_core::{
    directory::{Directory, TargetInstance},
    event_split::EventId,
    ids::{Millis, Name},
    ingress::ResponseKind,
    stream_versions::{
        Continuation, StreamKey, StreamOrigin, StreamVersions, TargetVersion, VersionHistory,
    },
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Notify,
    time::{interval, sleep},
};

pub(crate) use self::version_records::apply_stored;
use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        changes::TargetChanges,
        context::Context,
        shared::IngressShared,
        store::{Newest, unix_ms},
    },
    metrics::label,
};

/// Number of instances that are told the origin of a stream.
const HOLDERS: usize = 3;
/// Number of instances that are asked for it, in each region: some holders may have ended, and other instances may have
/// joined since they were chosen.
const ASKED: usize = 5;
/// Delay before origins are sent, so that several go out together.
const SEND_DELAY: Duration = Duration::from_millis(5);
/// Time limit for a holder to answer, without its round-trip time.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for a read of the list of targets that a resumed stream waits for, without the round-trip time of the peer
/// that makes it.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a caller's timeout for which the origin of its stream is kept, in milliseconds.
const KEPT_AFTER_TIMEOUT_MS: Millis = 2000;
/// Longest time from the start of a stream to its resumption, in milliseconds.
const MAX_STREAM_MS: Millis = 30_000;
/// Interval at which the versions of the services are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1000);
/// Shortest interval at which an instance writes the origins of its streams to the store.
const STORE_INTERVAL: Duration = Duration::from_millis(500);
/// Most streams of one record in the store, a fifth of the largest record that it takes.
const MAX_RECORD_STREAMS: usize = 2048;
/// Number of instances from which on that interval grows with their number, which bounds the writes of all instances to
/// 500 per second.
const INSTANCES_PER_INTERVAL: usize = 250;

/// Record in the store of the streams that an instance began within one interval.
#[derive(Debug, Serialize, Deserialize)]
struct StoredStreams {
    /// Until when callers may resume them, in milliseconds of Unix time.
    until: Millis,
    /// Their keys, by the version that began them.
    streams: BTreeMap<TargetVersion, Vec<StreamKey>>,
}

/// Where the version that began a stream is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This instance sent the stream, or holds its origin.
    Own,
    /// A peer holds its origin.
    Peer,
    /// The service has had no other version for as long as the stream may have run.
    OnlyVersion,
}

impl Source {
    /// Name in the log and in metrics.
    fn name(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Peer => "peer",
            Source::OnlyVersion => "only-version",
        }
    }
}

/// The version that began a stream is not known, so that no target may continue it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnknownOrigin;

/// Origins of streams, and the versions of the services.
#[derive(Default)]
pub(crate) struct StreamOrigins {
    /// Streams that this instance has sent to targets.
    own: Mutex<StreamVersions>,
    /// Streams that peers have sent, and that this instance holds the origin of.
    held: Mutex<StreamVersions>,
    history: Mutex<VersionHistory>,
    /// Services that have had several versions within the longest time that a stream may run.
    mixed: Mutex<BTreeSet<Name>>,
    /// Origins that are still to be sent, by the address of their holder.
    outgoing: Mutex<HashMap<String, Vec<StreamOrigin>>>,
    has_outgoing: Notify,
    /// Records in the store on the versions of services, by key.
    stored: Mutex<BTreeMap<String, Bytes>>,
    /// When these records were last read, in milliseconds; 0 if not since the start.
    store_read: AtomicU64,
    /// Whether a list of targets was applied since the start.
    has_list: AtomicBool,
    /// When the history of versions was last interrupted, in milliseconds; 0 if not since the start. Versions may have
    /// come and gone before.
    interrupted_at: AtomicU64,
    /// Streams that have begun while their service had one version.
    begun: Mutex<StreamVersions>,
    /// Streams that have begun and are not written to the store yet.
    unstored: Mutex<Vec<StreamOrigin>>,
    /// Whether the streams in the store have been read.
    is_loaded: AtomicBool,
}

/// The sends of one request for a stream.
#[derive(Debug, Default)]
pub(crate) struct SentVersions {
    sends: u32,
    version: Option<TargetVersion>,
    /// Whether the request was sent to another version before.
    has_changed: bool,
    /// Addresses of the holders that were told a version.
    told: BTreeSet<String>,
}

impl StreamOrigins {
    /// Records changes of the directory.
    pub(crate) fn targets_changed(
        &self,
        now: Millis,
        directory: &Directory,
        changes: &TargetChanges,
    ) -> bool {
        let mut history = self.history.lock();
        for id in changes.ids() {
            match directory.get(id) {
                Some(it) => history.put(now, id, &it.service, &it.version),
                None => history.remove(now, id),
            }
        }
        drop(history);
        self.update_mixed(now)
    }

    /// Updates the services with several versions; returns whether there are new ones.
    fn update_mixed(&self, now: Millis) -> bool {
        let history = self.history.lock();
        let mut mixed = history.mixed(now, MAX_STREAM_MS);
        let single = history.single(now, MAX_STREAM_MS);
        drop(history);
        let is_contradicted = |it: &(Name, TargetVersion)| self.is_contradicted(&it.0, &it.1);
        mixed.extend(single.into_iter().filter(is_contradicted).map(|it| it.0));
        let mut known = self.mixed.lock();
        let is_new = !mixed.is_subset(&known);
        *known = mixed;
        is_new
    }

    fn is_mixed(&self, service: &str) -> bool {
        let mixed = self.mixed.lock();
        !mixed.is_empty() && mixed.contains(service)
    }

    /// Records in the store on the versions of services, by key.
    pub(crate) fn stored(&self) -> Vec<(String, Bytes)> {
        self.stored.lock().iter().map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// Records that all resources in the store have been read.
    pub(crate) fn store_was_read(&self, now: Millis) {
        self.store_read.store(now, Ordering::Release);
    }

    /// Whether all resources in the store have been read since the start.
    fn is_store_read(&self) -> bool {
        self.store_read.load(Ordering::Acquire) != 0
    }

    /// Records that a whole list of targets replaces the known one, which does not tell what has changed in between.
    pub(crate) fn list_was_replaced(&self, now: Millis) {
        if self.has_list.swap(true, Ordering::AcqRel) {
            self.interrupted_at.store(now, Ordering::Release);
        }
    }

    /// Whether the history has all versions that were listed while a stream may have run. What it lacks, the records in
    /// the store tell.
    fn is_history_known(&self, now: Millis, uptime: Duration) -> bool {
        let interrupted_at = self.interrupted_at.load(Ordering::Acquire);
        let is_long = match interrupted_at {
            0 => Duration::from_millis(MAX_STREAM_MS) < uptime,
            _ => interrupted_at + MAX_STREAM_MS < now,
        };
        let store_read = self.store_read.load(Ordering::Acquire);
        is_long || (store_read != 0 && interrupted_at <= store_read)
    }

    /// Holds the origins of a peer's streams.
    pub(crate) fn hold(&self, now: Millis, origins: Vec<StreamOrigin>) {
        let mut held = self.held.lock();
        origins.into_iter().for_each(|it| held.record(now, it));
    }

    /// The version that began a stream, if this instance has sent it or holds its origin.
    pub(crate) fn version_of(&self, now: Millis, key: StreamKey) -> Option<TargetVersion> {
        let own = self.own.lock().get(now, key).cloned();
        own.or_else(|| self.held.lock().get(now, key).cloned())
    }
}

/// Sends the origins of streams to their holders, and reviews the versions of the services, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let mut timer = interval(REVIEW_INTERVAL);
    let mut write_due = std::pin::pin!(sleep(STORE_INTERVAL));
    loop {
        tokio::select! {
            () = &mut write_due => {
                let every = store_interval(&shared);
                write_streams(&shared, every);
                write_due.set(sleep(every));
            }
            () = shared.origins.has_outgoing.notified() => {
                sleep(SEND_DELAY).await;
                let outgoing = std::mem::take(&mut *shared.origins.outgoing.lock());
                for (address, origins) in outgoing {
                    let shared = shared.clone();
                    tokio::spawn(async move {
                        // Other holders may know them if this one does not answer.
                        let _ = shared.peers.send_origins(&shared, &address, origins).await;
                    });
                }
            }
            _ = timer.tick() => review(&shared),
        }
    }
}

/// Removes services that have had a single version for long, and keeps the records in the store up to date.
fn review(shared: &Arc<IngressShared>) {
    let (origins, now) = (&shared.origins, shared.clock.now());
    if origins.update_mixed(now) {
        tell_all(shared);
    }
    version_records::write_due(shared, now);
    let may_load =
        *shared.reading.borrow() && shared.uptime() < Duration::from_millis(MAX_STREAM_MS);
    if may_load && origins.has_recent_record() && !origins.is_loaded.swap(true, Ordering::AcqRel) {
        tokio::spawn(load_streams(shared.clone()));
    }
}

/// Interval at which this instance writes the origins of its streams to the store.
fn store_interval(shared: &IngressShared) -> Duration {
    STORE_INTERVAL * (1 + shared.peers.instance_count() / INSTANCES_PER_INTERVAL) as u32
}

/// Writes the streams that have begun since the last time to the store. The keys of an instance are used in turn, so that
/// a record is overwritten once its streams have ended, also after a restart.
fn write_streams(shared: &Arc<IngressShared>, every: Duration) {
    let streams: Vec<StreamOrigin> = {
        let mut unstored = shared.origins.unstored.lock();
        let count = unstored.len().min(MAX_RECORD_STREAMS);
        unstored.drain(..count).collect()
    };
    let Some(left_ms) = streams.iter().map(|it| it.left_ms).max() else { return };
    let now = unix_ms();
    let mut by_version: BTreeMap<TargetVersion, Vec<StreamKey>> = BTreeMap::new();
    for it in streams {
        by_version.entry(it.version).or_default().push(it.key);
    }
    let record = StoredStreams { until: now + left_ms, streams: by_version };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let every = every.as_millis() as Millis;
    let slot = now / every % (MAX_STREAM_MS / every).max(1);
    let key = format!("{}/{slot}", shared.settings.instance);
    let shared = shared.clone();
    tokio::spawn(async move {
        // Without the store, the holders still know.
        let _ = shared.store_client().append(STREAMS_TOPIC, &key, &value).await;
    });
}

/// Reads the streams that all instances have written to the store.
async fn load_streams(shared: Arc<IngressShared>) {
    let newest = shared.store_client().newest(STREAMS_TOPIC).await;
    if !newest.as_ref().is_ok_and(|it| it.cut.is_none()) {
        // The next review tries again.
        shared.origins.is_loaded.store(false, Ordering::Release);
    }
    let Ok(Newest { records, .. }) = newest else { return };
    let (now, unix_now) = (shared.clock.now(), unix_ms());
    let mut held = shared.origins.held.lock();
    for value in records.into_iter().filter_map(|it| it.value) {
        let Ok(StoredStreams { until, streams }) = serde_json::from_slice(&value) else { continue };
        let left_ms = until.saturating_sub(unix_now);
        if left_ms == 0 {
            continue;
        }
        for (version, keys) in streams {
            for key in keys {
                held.record(now, StreamOrigin { key, version: version.clone(), send: 0, left_ms });
            }
        }
    }
}

/// Tells the holders and the store the origins of all streams of this instance, when a service begins to have several
/// versions. The store gets those that have begun, whose version is final.
pub(crate) fn tell_all(shared: &IngressShared) {
    let (origins, now) = (&shared.origins, shared.clock.now());
    let own: Vec<StreamOrigin> = origins.own.lock().all(now).collect();
    own.iter().for_each(|it| drop(tell(shared, it)));
    let begun = std::mem::take(&mut *origins.begun.lock());
    origins.unstored.lock().extend(begun.all(now));
}

/// Queues the origin of a stream for its holders; returns their addresses.
fn tell(shared: &IngressShared, origin: &StreamOrigin) -> Vec<String> {
    let holders = shared.peers.holders_to_tell(origin.key, HOLDERS);
    let mut outgoing = shared.origins.outgoing.lock();
    for it in &holders {
        outgoing.entry(it.clone()).or_default().push(origin.clone());
    }
    drop(outgoing);
    shared.origins.has_outgoing.notify_one();
    holders
}

/// Id of an event in the log.
pub(crate) fn name_of_event(id: Option<EventId>) -> String {
    id.map_or_else(|| "none".to_owned(), |it| it.to_string())
}

impl IngressShared {
    /// Ids of the targets of a service that run another version than the given one.
    pub(crate) fn targets_of_other_versions(&self, service: &str, version: &str) -> Vec<String> {
        let directory = self.directory();
        let others = directory.of_service(service).filter(|it| it.version != version);
        others.map(|it| it.id.clone()).collect()
    }

    /// Whether a service has a target of a version that may continue a stream.
    pub(crate) fn has_open_version(&self, service: &str, version: &str) -> bool {
        let ids = self.targets_of_version(service, version);
        ids.iter().any(|it| self.open_or_draining_target(it).is_some())
    }

    /// Ids of the targets of a service that run this version.
    pub(crate) fn targets_of_version(&self, service: &str, version: &str) -> Vec<String> {
        let directory = self.directory();
        let of_version = directory.of_service(service).filter(|it| it.version == version);
        of_version.map(|it| it.id.clone()).collect()
    }
}

impl Context {
    /// The stream that the request begins or resumes.
    fn stream_key(&self) -> StreamKey {
        let attempt = self.head.first_attempt.as_deref().unwrap_or(&self.request.id);
        StreamKey::new(self.organisation.as_deref().unwrap_or_default(), attempt)
    }

    fn stream_origin(&self, sent: &SentVersions, version: &str) -> StreamOrigin {
        let timeout = self.head.timeout.unwrap_or_else(|| self.left());
        let left_ms = timeout.saturating_sub(self.arrived.elapsed()).as_millis() as Millis;
        StreamOrigin {
            key: self.stream_key(),
            version: version.to_owned(),
            send: sent.sends,
            left_ms: left_ms + KEPT_AFTER_TIMEOUT_MS,
        }
    }

    /// Records that a request that begins a stream is sent to a target. Its holders know the version before the first
    /// event, which takes the target longer.
    pub(crate) fn record_stream_send(&self, target: &TargetInstance) {
        if !self.is_repeatable() || !matches!(self.route.response, ResponseKind::Events { .. }) {
            return;
        }
        let mut sent = self.sent_versions.lock();
        sent.sends += 1;
        sent.has_changed |= sent.version.as_ref().is_some_and(|it| *it != target.version);
        sent.version = Some(target.version.clone());
        let origin = self.stream_origin(&sent, &target.version);
        self.shared.origins.own.lock().record(self.shared.clock.now(), origin.clone());
        if self.shared.origins.is_mixed(&self.service) {
            sent.told.extend(tell(&self.shared, &origin));
        }
    }

    /// Version of the latest send of a stream that has not begun, if its service has several: what holders were told of it
    /// stays true where the same version answers.
    pub(crate) fn sent_version(&self) -> Option<TargetVersion> {
        let is_mixed = self.shared.origins.is_mixed(&self.service);
        self.sent_versions.lock().version.clone().filter(|_| is_mixed)
    }

    /// Records that the first event of a stream is about to be forwarded, so that its version is final.
    pub(crate) fn record_stream_start(&self) {
        let sent = self.sent_versions.lock();
        let Some(version) = &sent.version else { return };
        let (origins, origin) = (&self.shared.origins, self.stream_origin(&sent, version));
        if origins.is_mixed(&self.service) {
            origins.unstored.lock().push(origin);
        } else {
            origins.begun.lock().record(self.shared.clock.now(), origin);
        }
    }

    /// Whether all holders know the version that begins the stream. They may have been told another one before, which
    /// must not be found later.
    pub(crate) async fn confirm_origin(&self, target: &TargetInstance) -> bool {
        let is_latest = self.sent_versions.lock().version.as_ref() == Some(&target.version);
        if !is_latest {
            // An earlier send has answered, and the holders were told the version of a later one.
            self.record_stream_send(target);
        }
        let (origin, mut holders) = {
            let sent = self.sent_versions.lock();
            let Some(version) = sent.version.as_ref().filter(|_| sent.has_changed) else {
                return true;
            };
            (self.stream_origin(&sent, version), sent.told.clone())
        };
        let shared = &self.shared;
        holders.extend(shared.peers.holders_to_tell(origin.key, HOLDERS));
        let told = holders.iter().map(|address| {
            let origins = vec![origin.clone()];
            async move {
                let is_told = shared.peers.send_origins(shared, address, origins).await.is_ok();
                // A peer that has left knows of no stream.
                is_told || !shared.peers.all().iter().any(|it| it.1.address == *address)
            }
        });
        let told: FuturesUnordered<_> = told.collect();
        told.all(|it| async move { it }).await
    }

    /// How the request continues a stream; `None` if it begins one.
    ///
    /// # Errors
    ///
    /// If the version that began the stream is not known.
    pub(crate) async fn find_continuation(&self) -> Result<Option<Continuation>, UnknownOrigin> {
        let CallerHead { first_attempt, .. } = &self.head;
        let last_event = self.head.last_event.value().copied();
        if last_event.is_none() && first_attempt.is_none() {
            return Ok(None);
        }
        let found = self.find_origin().await;
        let detail = format!(
            "id={} first_attempt={} last_event={} version={} known_by={}",
            LoggedName(&self.request.id),
            LoggedName(first_attempt.as_deref().unwrap_or("none")),
            name_of_event(last_event),
            found.as_ref().map_or("unknown", |it| it.0.as_str()),
            found.as_ref().map_or("none", |it| it.1.name()),
        );
        emit(events::STREAM_RESUMED, &self.shared.settings.instance, &detail);
        let known_by = found.as_ref().map_or("none", |it| it.1.name());
        let labels = [label("service", self.service.as_str()), label("known_by", known_by)];
        self.shared.metrics.resumed_streams.add(1, &labels);
        let (version, _) = found.ok_or(UnknownOrigin)?;
        Ok(Some(Continuation { version, last_event }))
    }

    async fn find_origin(&self) -> Option<(TargetVersion, Source)> {
        let shared = &self.shared;
        let key = self.stream_key();
        if let Some(it) = shared.origins.version_of(shared.clock.now(), key) {
            return Some((it, Source::Own));
        }
        let mut addresses: BTreeSet<String> =
            shared.peers.holders_to_ask(key, ASKED).into_iter().collect();
        // After a loss of all instances, only those that read the store may know it.
        addresses.extend(shared.peers.sources().readers);
        let asked = addresses.into_iter().map(|address| {
            let asking = async move {
                let version = shared.peers.stream_version(shared, &address, key, ASK_TIMEOUT).await;
                version.map(|it| (it, Source::Peer))
            };
            asking.boxed()
        });
        // Silence of a peer is no answer: it may be the one that knows the stream.
        let only = async {
            only_version_anywhere(shared, &self.service).await.map(|it| (it, Source::OnlyVersion))
        };
        let mut answers: FuturesUnordered<_> = asked.chain([only.boxed()]).collect();
        while let Some(it) = answers.next().await {
            if it.is_some() {
                return it;
            }
        }
        None
    }
}

/// The only version that a service has had for as long as a stream may run, by a list of targets that was read after this
/// call: by this instance, or by a peer that reads the store. An older list may lack the version that began the stream.
async fn only_version_anywhere(
    shared: &Arc<IngressShared>,
    service: &str,
) -> Option<TargetVersion> {
    // A version that is known here already needs no read.
    shared.listed_only_version(service)?;
    let readers = shared.peers.sources().readers.into_iter();
    let asked = readers.map(|address| {
        let asking =
            async move { shared.peers.only_version(shared, &address, service, READ_TIMEOUT).await };
        asking.boxed()
    });
    let own = only_version(shared, service).boxed();
    let mut answers: FuturesUnordered<_> = asked.chain([own]).collect();
    while let Some(it) = answers.next().await {
        if it.is_some() {
            return it;
        }
    }
    None
}

/// The same by a list that this instance reads from the store now; `None` if it does not read the store.
pub(crate) async fn only_version(shared: &IngressShared, service: &str) -> Option<TargetVersion> {
    shared.listed_only_version(service)?;
    let is_read = shared.read_now(READ_TIMEOUT).await;
    // Targets whose entries the store has lost are still writing them again.
    if !is_read || shared.epochs.is_settling() {
        return None;
    }
    let is_known = shared.origins.is_history_known(shared.clock.now(), shared.uptime());
    is_known.then(|| shared.listed_only_version(service))?
}

impl IngressShared {
    /// The only version that a service has had for as long as a stream may run, as far as this instance knows.
    fn listed_only_version(&self, service: &str) -> Option<TargetVersion> {
        let now = self.clock.now();
        let only = self.origins.history.lock().only(now, service, MAX_STREAM_MS)?;
        (!self.origins.is_contradicted(service, &only)).then_some(only)
    }
}
