//! Reads the configuration, peers and resources from the store, as long as this instance is one of its readers;
//! [`super::follow`] decides whether it is. After a failure, a topic is read anew as a whole. [`super::target_reader`]
//! reads the list of targets.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use holdpoint_adapter::store::{
    CONFIGURATION_KEY, INSTANCES_TOPIC, KeyedRecord, OPERATORS_TOPIC, RESOURCES_TOPIC,
    evacuated_domain,
};
use holdpoint_core::{
    epoch::{Epoch, LOST_TAIL_MS, Position},
    evacuation::{Evacuations, Order},
};
use holdpoint_platform::Instant;
use tokio::{sync::watch, time::sleep};

use crate::{
    events::{self, emit},
    ingress::{
        domains, follow,
        links::whole_millis,
        peers::Peer,
        quarantine, rollouts,
        shared::IngressShared,
        store::{Newest, StoreClient, StoreError},
    },
};

/// Long-poll wait for a new configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2500);
/// Long-poll wait for a change of peers or resources.
const PEERS_WAIT: Duration = Duration::from_millis(15_000);
/// Pause between two reads of peers, so that many changes, as after a restart of all instances, are read
/// together.
const PEERS_BATCH_DELAY: Duration = Duration::from_millis(300);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The same for an instance that reads only because it found no reader to follow.
const STANDBY_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Maximum number of times that this pause is doubled.
const MAX_STANDBY_DOUBLINGS: u32 = 2;
/// Maximum number of times that the pause before a list is read again is doubled that could not be read to its end. A new
/// configuration may be among what is read.
const MAX_CUT_DOUBLINGS: u32 = 2;
/// Range of the random factor of this pause, so that instances do not retry in step.
const JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Upper bound of the random delay before an instance writes its entry again after the store's return, so that
/// recently started instances do not all write at once.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1000);
/// Timeout of an append. It is longer than the 2 s for which the store queues an append before it refuses it:
/// a shorter timeout would add retries to the queue. With 0.6 s, 985 instances that started together made 16,700
/// calls in 12 s, where one each is needed.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2600);
/// Time without a new entry after which all instances that start together are assumed to have written theirs.
const QUIET_PERIOD: Duration = Duration::from_millis(400);
/// Maximum wait for these entries at the first start of the system.
const FIRST_START_TIMEOUT: Duration = Duration::from_millis(8000);
/// Which records of a topic a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Extent {
    /// Those after the last read.
    Changes,
    /// The newest ones of all keys.
    Snapshot,
    /// The newest ones of some keys, since the list could not be read to its end.
    PartialSnapshot,
}

/// Records of a topic from one read.
struct RecordBatch<'a> {
    records: &'a [KeyedRecord],
    /// Offset to continue from.
    next: u64,
    /// Epoch of the store in which they were read.
    epoch: Option<Epoch>,
    extent: Extent,
    /// Whether the store has recently returned from an older copy and may lack records that are being written
    /// again.
    may_lack: bool,
}

impl RecordBatch<'_> {
    fn is_snapshot(&self) -> bool {
        self.extent == Extent::Snapshot
    }

    /// Whether a key that is missing here has no record.
    fn is_complete(&self) -> bool {
        self.is_snapshot() && !self.may_lack
    }
}

/// Keeps the configuration and the evacuated failure domains up to date.
pub(crate) async fn follow_configuration(shared: Arc<IngressShared>) {
    let apply = |read: &RecordBatch<'_>| apply_orders(&shared, read);
    follow_topic(&shared, OPERATORS_TOPIC, (CONFIGURATION_WAIT, Duration::ZERO), apply).await;
}

/// Reads the newest configuration once.
pub(crate) async fn read_configuration(shared: &Arc<IngressShared>) {
    let begun = shared.clock.now();
    // Without a response, the caller goes on with the configuration that it has.
    let mut client = shared.store_client();
    if let Ok(newest) = client.newest(OPERATORS_TOPIC).await {
        let extent = record_newest(shared, OPERATORS_TOPIC, &newest);
        let may_lack = shared.epochs.is_settling();
        let Newest { records, next, .. } = newest;
        let epoch = client.position(next).epoch;
        apply_orders(shared, &RecordBatch { records: &records, next, epoch, extent, may_lack });
        if extent == Extent::Snapshot {
            shared.confirmation.record(begun);
        }
    }
}

/// Applies what operators wrote: rollouts and evacuated failure domains first, then the configuration, which
/// makes an instance ready.
fn apply_orders(shared: &Arc<IngressShared>, read: &RecordBatch<'_>) {
    let orders: Vec<Order> = read.records.iter().filter_map(parse_order).collect();
    // Orders may be missing from a part of the list, so that it says nothing about how far the log is known.
    let horizon = if read.extent == Extent::PartialSnapshot { 0 } else { read.next };
    let at = Position { epoch: read.epoch, offset: horizon };
    rollouts::apply_order_records(shared, read.records, at, read.is_snapshot());
    match read.extent {
        Extent::Snapshot => domains::apply_update(shared, Evacuations::new(at, orders), "store"),
        Extent::Changes => {
            let newer = shared.domains.state().followed_by(horizon, &orders);
            domains::apply_update(shared, newer, "store");
        }
        Extent::PartialSnapshot => domains::retain(shared, &orders),
    }
    for record in read.records {
        if let (CONFIGURATION_KEY, Some(value)) = (record.key.as_str(), &record.value) {
            shared.apply_configuration(value, "store");
        }
    }
}

/// Parses a record as an order for a failure domain; `None` if it is of another kind.
fn parse_order(record: &KeyedRecord) -> Option<Order> {
    let domain = evacuated_domain(&record.key)?.to_owned();
    Some(Order { offset: record.offset, domain, is_evacuated: record.value.is_some() })
}

/// Writes this instance's own entry and keeps the list of peers up to date.
pub(crate) async fn follow_peers(shared: Arc<IngressShared>) {
    let mut client = shared.store_client();
    if append_entry(&shared, &mut client.with_timeout(APPEND_TIMEOUT)).await.is_err() {
        // Seeds report the peers without it; peers learn of this instance once the store accepts its entry.
        tokio::spawn(append_with_retries(shared.clone()));
    }
    let has_learned = follow::learn_leaders(&shared).await || follow::learn_peers(&shared).await;
    if !has_learned && let Ok(newest) = client.newest(INSTANCES_TOPIC).await {
        let is_complete = record_newest(&shared, INSTANCES_TOPIC, &newest) == Extent::Snapshot;
        apply_peers(&shared, &newest.records, is_complete);
        if shared.settings.first_start && shared.peers.is_seed() {
            read_until_quiet(&shared, &mut client, newest.next).await;
        }
        if is_complete {
            shared.peers.mark_complete();
        }
    }
    drop(client);
    shared.peers_known.send_replace(true);
    let apply = |read: &RecordBatch<'_>| {
        apply_peers(&shared, read.records, read.is_complete());
        if read.is_snapshot() {
            shared.peers.mark_complete();
        }
    };
    follow_topic(&shared, INSTANCES_TOPIC, (PEERS_WAIT, PEERS_BATCH_DELAY), apply).await;
}

/// Reads the entries of instances that start together with this seed, until no more arrive. A seed that reported
/// the leaders earlier would report few peers, and the other instances would all read the store themselves.
async fn read_until_quiet(shared: &IngressShared, client: &mut StoreClient, mut next: u64) {
    let until = Instant::now() + FIRST_START_TIMEOUT;
    while Instant::now() < until {
        sleep(PEERS_BATCH_DELAY).await;
        let Ok(page) = client.read(INSTANCES_TOPIC, next, QUIET_PERIOD).await else { return };
        if page.records.is_empty() {
            return;
        }
        next = page.next;
        apply_peers(shared, &page.records, false);
    }
}

/// Writes this instance's own entry, with retries until the store accepts it.
async fn append_with_retries(shared: Arc<IngressShared>) {
    let mut client = shared.store_client().with_timeout(APPEND_TIMEOUT);
    let mut failures = 0;
    while append_entry(&shared, &mut client).await.is_err() {
        sleep(retry_delay(&shared, failures)).await;
        failures += 1;
    }
}

/// Writes this instance's own entry, which contains its round trip to the store.
async fn append_entry(shared: &IngressShared, client: &mut StoreClient) -> Result<(), StoreError> {
    // Measured once, so that the entry stays the same when it is written again.
    if shared.peers.store_ms().is_none() {
        let trip = client.measure_round_trip().await?;
        shared.peers.set_store_ms(whole_millis(trip));
    }
    let entry = shared.own_peer().entry();
    let appending = client.append(INSTANCES_TOPIC, &shared.settings.instance, entry.as_bytes());
    appending.await?;
    shared.entry_written.store(shared.clock.now().max(1), Ordering::Release);
    Ok(())
}

/// Writes records of this instance again that the store may have lost, whenever it returns from an older
/// copy, until the task is dropped.
pub(crate) async fn rewrite_records(shared: Arc<IngressShared>) {
    let mut increases = shared.epochs.increases();
    // The sender lives as long as the instance.
    while increases.changed().await.is_ok() {
        let detail = format!("era={}", shared.epochs.newest().map_or(0, |it| it.0));
        emit(events::STORE_ROLLED_BACK, &shared.settings.instance, &detail);
        rollouts::store_returned(&shared);
        quarantine::store_returned(&shared);
        let written = shared.entry_written.load(Ordering::Acquire);
        if shared.clock.now() < written + LOST_TAIL_MS && !shared.peers.is_draining() {
            sleep(MAX_REWRITE_DELAY.mul_f64(rand::random())).await;
            append_with_retries(shared.clone()).await;
        }
    }
}

/// Applies entries of peers; if they are complete, known peers without an entry have left.
fn apply_peers(shared: &IngressShared, records: &[KeyedRecord], is_complete: bool) {
    let entries =
        records.iter().map(|it| (it.key.clone(), it.value.as_deref().and_then(Peer::parse)));
    shared.set_peers(entries.collect(), is_complete);
}

/// Keeps the resources up to date: policies and experiments declared by operators, and quarantined requests.
pub(crate) async fn follow_resources(shared: Arc<IngressShared>) {
    let apply = |read: &RecordBatch<'_>| {
        if read.is_complete() {
            let is_named = |key: &str| read.records.iter().any(|it| it.key == key);
            let known = shared.experiments.all().into_iter();
            known.filter(|it| !is_named(&it.0)).for_each(|it| shared.set_resource(&it.0, None));
        }
        read.records.iter().for_each(|it| shared.set_resource(&it.key, it.value.clone()));
        if read.is_snapshot() {
            shared.origins.store_was_read(shared.clock.now());
        }
    };
    follow_topic(&shared, RESOURCES_TOPIC, (PEERS_WAIT, PEERS_BATCH_DELAY), apply).await;
}

/// Removes this instance's own entry.
pub(crate) async fn remove_own_entry(shared: &IngressShared) {
    let mut client = shared.store_client();
    // If the removal fails, peers find out by their calls that the instance does not answer.
    let _ = client.append(INSTANCES_TOPIC, &shared.settings.instance, &[]).await;
}

/// Pause before a list is read again after `reads` reads in a row that have not reached its end.
pub(super) fn cut_delay(reads: u32) -> Duration {
    RETRY_DELAY * (1 << reads.min(MAX_CUT_DOUBLINGS))
}

/// Logs what of a list could not be read, and returns which records it has.
pub(super) fn record_newest(shared: &IngressShared, topic: &str, newest: &Newest) -> Extent {
    let Newest { records, unreadable, cut, .. } = newest;
    let instance = &shared.settings.instance;
    if *unreadable != 0 {
        let detail = format!("topic={topic} items={unreadable} records={}", records.len());
        emit(events::ITEMS_UNREADABLE, instance, &detail);
    }
    let Some(cause) = cut else { return Extent::Snapshot };
    let detail = format!("topic={topic} records={} cause={cause:?}", records.len());
    emit(events::LIST_CUT, instance, &detail);
    Extent::PartialSnapshot
}

/// Pause after a failed call that followed `failures` other failed ones. Instances that are not readers back off
/// exponentially, as readers notice the store's return for all.
pub(super) fn retry_delay(shared: &IngressShared, failures: u32) -> Duration {
    if shared.peers.sources().is_reader {
        return RETRY_DELAY;
    }
    let jitter = rand::random_range(JITTER);
    (STANDBY_RETRY_DELAY * (1 << failures.min(MAX_STANDBY_DOUBLINGS))).mul_f64(jitter)
}

/// Waits after a failed read of a topic: for a pause, and until the list of targets can be read again. Only the
/// reads of that list probe the store during an outage, which spares it the calls for the other topics: 295 instances
/// made 5,972 calls instead of 13,191 in 48 s with an outage of 8 s.
async fn wait_for_store(shared: &IngressShared) {
    let mut silent = shared.is_store_silent.subscribe();
    sleep(RETRY_DELAY).await;
    // The sender lives as long as the instance.
    let _ = silent.wait_for(|it| !*it).await;
}

/// Follows a topic whose records rarely change, until the task is dropped. A read waits for a record for `wait`;
/// before the next read, a pause of `batch_delay` lets records accumulate.
async fn follow_topic(
    shared: &Arc<IngressShared>,
    topic: &'static str,
    (wait, batch_delay): (Duration, Duration),
    apply: impl Fn(&RecordBatch<'_>),
) {
    let mut client = shared.store_client();
    let mut reading = shared.reading.subscribe();
    let mut offset: Option<u64> = None;
    let mut is_incomplete = false;
    let mut cut_reads = 0;
    loop {
        if is_interrupted(&mut reading) {
            offset = None;
            client.reset();
            wait_until_reading(&mut reading).await;
        }
        if is_incomplete && !shared.epochs.is_settling() {
            (offset, is_incomplete) = (None, false);
        }
        let wait = if is_incomplete { wait.min(RETRY_DELAY) } else { wait };
        let read = async {
            match offset {
                None => client.newest(topic).await.map(|it| {
                    let extent = record_newest(shared, topic, &it);
                    (it.records, it.next, extent)
                }),
                Some(from) => {
                    let page = client.read(topic, from, wait).await;
                    page.map(|it| (it.records, it.next, Extent::Changes))
                }
            }
        };
        let outcome = tokio::select! {
            it = read => it,
            () = shared.store_lost.notified(), if offset.is_some() => Err(StoreError::Silent),
            () = wait_until_paused(&mut reading) => continue,
        };
        match outcome {
            Ok((records, next, extent)) => {
                let may_lack = offset.is_none() && shared.epochs.is_settling();
                is_incomplete |= may_lack;
                let epoch = client.position(next).epoch;
                apply(&RecordBatch { records: &records, next, epoch, extent, may_lack });
                if extent == Extent::PartialSnapshot {
                    sleep(cut_delay(cut_reads)).await;
                    cut_reads += 1;
                    continue;
                }
                cut_reads = 0;
                offset = Some(next);
                sleep(batch_delay).await;
            }
            Err(StoreError::Returned) => offset = None,
            Err(_) => {
                client.reset();
                offset = None;
                tokio::select! {
                    () = wait_for_store(shared) => (),
                    () = wait_until_paused(&mut reading) => (),
                }
            }
        }
    }
}

/// Whether this instance does not read the store, or has paused reading it since the last call. Updates from
/// peers during a pause may be older than what it had read, so everything has to be read anew.
pub(super) fn is_interrupted(reading: &mut watch::Receiver<bool>) -> bool {
    // The sender lives as long as the instance.
    let has_changed = reading.has_changed().unwrap_or(false);
    !*reading.borrow_and_update() || has_changed
}

pub(super) async fn wait_until_reading(reading: &mut watch::Receiver<bool>) {
    // The sender lives as long as the instance.
    let _ = reading.wait_for(|it| *it).await;
}

async fn wait_until_paused(reading: &mut watch::Receiver<bool>) {
    let _ = reading.wait_for(|it| !*it).await;
}
