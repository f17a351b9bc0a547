//! Reads the store, as long as this instance does so by itself: configuration, target instances,
//! peers. [`super::follow`] decides whether it does.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use holdpoint_adapter::{
    BadBody, instances,
    store::{
        CONFIGURATION_KEY, INSTANCES_TOPIC, KeyedRecord, OPERATORS_TOPIC, RESOURCES_TOPIC,
        TARGETS_TOPIC, evacuated_domain,
    },
};
use holdpoint_core::{
    directory::{Change, Directory, TargetId, TargetInstance},
    era::{Era, LOST_TAIL_MS, Position},
    evacuation::{Evacuations, Order},
    ids::Millis,
};
use holdpoint_platform::Instant;
use tokio::{sync::watch, time::sleep};

use crate::{
    events::{self, emit},
    ingress::{
        changes::TargetChanges,
        domains, follow,
        links::whole_millis,
        peers::Peer,
        quarantine, rollouts,
        shared::IngressShared,
        store::{StoreClient, StoreError},
    },
};

/// How long a read waits for a new configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2500);
/// How long a read waits for a change among the peers.
const PEERS_WAIT: Duration = Duration::from_millis(15_000);
/// How long changes of peers gather between two reads: each start of an instance is one, and after a
/// restart of all, each of hundreds would be a read by each reader.
const PEERS_GATHER: Duration = Duration::from_millis(300);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// The same of an instance that reads only since it found no other that does.
const STANDBY_PAUSE: Duration = Duration::from_millis(1000);
/// How often that pause is doubled at most.
const STANDBY_DOUBLINGS: u32 = 2;
/// Factors by which such a pause varies, so that not all ask together.
const JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Longest time that an instance waits before it writes its entry again: after the store's return, all that
/// have started of late do.
const WRITE_AGAIN: Duration = Duration::from_millis(1000);
/// How long the store may take to take an entry. It takes them one after the other and refuses those that would
/// wait for over 2 s. Given up after 0.6 s and written again, the entries of 985 instances that start together
/// stood in each other's way for 12 s: 16,700 calls where one each is needed.
const APPEND_LIMIT: Duration = Duration::from_millis(2600);
/// How long no entry has come for when all that start together have written theirs: the store takes one in 2 ms.
const QUIET: Duration = Duration::from_millis(400);
/// How long that is waited for at most.
const LONGEST_FIRST_START: Duration = Duration::from_millis(8000);
/// How long after the store's return an entry that lapsed may take to be written anew.
pub(crate) const LAPSE_MS: Millis = 2000;

/// Records of a topic that were read at once.
struct Read<'a> {
    records: &'a [KeyedRecord],
    /// Offset at which reading goes on.
    next: u64,
    /// Era of the store that they were read in.
    era: Option<Era>,
    /// Whether they are the newest of all keys, rather than what followed the last read.
    is_whole: bool,
    /// Whether the store may lack what is about to be written again, as it has come back from an older copy.
    may_lack: bool,
}

impl Read<'_> {
    /// Whether a key that is not among them has no record.
    fn names_all(&self) -> bool {
        self.is_whole && !self.may_lack
    }
}

/// Keeps the configuration and the evacuated failure domains up to date.
pub(crate) async fn follow_configuration(shared: Arc<IngressShared>) {
    let take = |read: &Read<'_>| take_orders(&shared, read);
    follow_topic(&shared, OPERATORS_TOPIC, (CONFIGURATION_WAIT, Duration::ZERO), take).await;
}

/// Reads the newest configuration once.
pub(crate) async fn read_configuration(shared: &Arc<IngressShared>) {
    let begun = shared.clock.now();
    // Without an answer, whoever asked for it goes on without.
    let mut client = client(shared);
    if let Ok((records, next)) = client.newest(OPERATORS_TOPIC).await {
        let may_lack = shared.eras.is_settling();
        let era = client.position(next).era;
        let read = Read { records: &records, next, era, is_whole: true, may_lack };
        take_orders(shared, &read);
        shared.confirmation.note(begun);
    }
}

/// Takes in what operators wrote: the failure domains that are evacuated, then the configuration, which
/// makes an instance ready.
fn take_orders(shared: &Arc<IngressShared>, read: &Read<'_>) {
    let orders: Vec<Order> = read.records.iter().filter_map(order).collect();
    let at = Position { era: read.era, offset: read.next };
    let newer = if read.is_whole {
        Evacuations::new(at, orders)
    } else {
        shared.domains.state().followed_by(read.next, &orders)
    };
    rollouts::take_orders(shared, read.records, at, read.is_whole);
    domains::take_over(shared, newer, "store");
    for record in read.records {
        if let (CONFIGURATION_KEY, Some(value)) = (record.key.as_str(), &record.value) {
            shared.offer_configuration(value, "store");
        }
    }
}

/// The order for a failure domain that a record holds, if it is one.
fn order(record: &KeyedRecord) -> Option<Order> {
    let domain = evacuated_domain(&record.key)?.to_owned();
    Some(Order { offset: record.offset, domain, is_evacuated: record.value.is_some() })
}

/// Writes this instance's own entry and keeps the list of peers up to date.
pub(crate) async fn follow_peers(shared: Arc<IngressShared>) {
    let mut client = client(&shared);
    if append_entry(&shared, &mut client.with_timeout(APPEND_LIMIT)).await.is_err() {
        // Its seeds tell the others without it; they hear of this instance once the store takes its entry.
        tokio::spawn(append_until_taken(shared.clone()));
    }
    let has_learned = follow::learn_leaders(&shared).await || follow::learn_peers(&shared).await;
    if !has_learned && let Ok((records, next)) = client.newest(INSTANCES_TOPIC).await {
        take_peers(&shared, &records, true);
        if shared.settings.first_start && shared.peers.is_seed() {
            read_until_quiet(&shared, &mut client, next).await;
        }
        shared.peers.note_read();
    }
    drop(client);
    shared.peers_known.send_replace(true);
    let take = |read: &Read<'_>| {
        take_peers(&shared, read.records, read.names_all());
        if read.is_whole {
            shared.peers.note_read();
        }
    };
    follow_topic(&shared, INSTANCES_TOPIC, (PEERS_WAIT, PEERS_GATHER), take).await;
}

/// Reads the entries of those who start together with this instance, until no more come. Asked for the leaders
/// before, three seeds told 982 instances of none but themselves; nobody had read the store, and all did so by
/// themselves, with 44,000 calls in 12 s.
async fn read_until_quiet(shared: &IngressShared, client: &mut StoreClient, mut next: u64) {
    let until = Instant::now() + LONGEST_FIRST_START;
    while Instant::now() < until {
        sleep(PEERS_GATHER).await;
        let Ok(page) = client.read(INSTANCES_TOPIC, next, QUIET).await else { return };
        if page.records.is_empty() {
            return;
        }
        next = page.next;
        take_peers(shared, &page.records, false);
    }
}

/// Writes this instance's own entry once the store takes it.
async fn append_until_taken(shared: Arc<IngressShared>) {
    let mut client = client(&shared).with_timeout(APPEND_LIMIT);
    let mut failures = 0;
    while append_entry(&shared, &mut client).await.is_err() {
        sleep(pause(&shared, failures)).await;
        failures += 1;
    }
}

/// Writes this instance's own entry, which tells how far away the store is.
async fn append_entry(shared: &IngressShared, client: &mut StoreClient) -> Result<(), StoreError> {
    // Measured once: an entry that says the same is no news to anybody.
    if shared.peers.store_ms().is_none() {
        let trip = client.measure().await?;
        shared.peers.note_store_trip(whole_millis(trip));
    }
    let entry = shared.own_peer().entry();
    let appending = client.append(INSTANCES_TOPIC, &shared.settings.instance, entry.as_bytes());
    appending.await?;
    shared.entry_written.store(shared.clock.now().max(1), Ordering::Release);
    Ok(())
}

/// Writes again what this instance has written and the store may have lost, whenever it comes back from an
/// older copy, until the task is dropped.
pub(crate) async fn write_again(shared: Arc<IngressShared>) {
    let mut risen = shared.eras.risen();
    // The sender lives as long as the instance.
    while risen.changed().await.is_ok() {
        let detail = format!("era={}", shared.eras.newest().map_or(0, |it| it.0));
        emit(events::STORE_RETURNED, &shared.settings.instance, &detail);
        rollouts::store_returned(&shared);
        quarantine::store_returned(&shared);
        let written = shared.entry_written.load(Ordering::Acquire);
        if shared.clock.now() < written + LOST_TAIL_MS && !shared.peers.is_leaving() {
            sleep(WRITE_AGAIN.mul_f64(rand::random())).await;
            append_until_taken(shared.clone()).await;
        }
    }
}

/// Takes in entries of peers; where they are all that there are, the others have left.
fn take_peers(shared: &IngressShared, records: &[KeyedRecord], is_whole: bool) {
    let entries =
        records.iter().map(|it| (it.key.clone(), it.value.as_deref().and_then(Peer::parse)));
    shared.set_peers(entries.collect(), is_whole);
}

/// Keeps the resources up to date: policies and trials that operators declare, requests that are held.
pub(crate) async fn follow_resources(shared: Arc<IngressShared>) {
    let take = |read: &Read<'_>| {
        if read.names_all() {
            let is_named = |key: &str| read.records.iter().any(|it| it.key == key);
            let known = shared.experiments.all().into_iter();
            known.filter(|it| !is_named(&it.0)).for_each(|it| shared.set_resource(&it.0, None));
        }
        read.records.iter().for_each(|it| shared.set_resource(&it.key, it.value.clone()));
    };
    follow_topic(&shared, RESOURCES_TOPIC, (PEERS_WAIT, PEERS_GATHER), take).await;
}

/// Drops this instance's own entry.
pub(crate) async fn leave_peers(shared: &IngressShared) {
    let mut client = client(shared);
    // An entry that stays is found to be silent by whoever asks there.
    let _ = client.append(INSTANCES_TOPIC, &shared.settings.instance, &[]).await;
}

/// Keeps the list of target instances up to date.
pub(crate) async fn follow_targets(shared: Arc<IngressShared>) {
    let mut client = client(&shared);
    let mut reading = shared.reading.subscribe();
    let mut offset = None;
    let mut lapse = Lapse::default();
    let mut failures = 0;
    loop {
        if has_paused(&mut reading) {
            (offset, lapse, failures) = (None, Lapse::default(), 0);
            client.reset();
            shared.note_own_read(None);
            raised(&mut reading).await;
        }
        let begun = shared.clock.now();
        match read_targets(&shared, &mut client, offset, &lapse).await {
            Ok(next) => {
                offset = next;
                shared.targets_were_read(0);
                shared.note_own_read(Some(begun));
                note_store(&shared, None);
                failures = 0;
                lapse.store_answered(&shared);
                sleep(Duration::from_millis(shared.settings.store.poll_ms)).await;
            }
            Err(StoreError::Returned) => {
                // Targets whose entries it lacks write them again.
                lapse.is_away = true;
                offset = None;
            }
            Err(it) => {
                note_store(&shared, Some(it));
                shared.note_own_read(None);
                lapse.is_away |= it != StoreError::Gone;
                // What happened meanwhile is history: read in its order, it would bring back for a
                // moment what others have told to be gone.
                offset = None;
                shared.store_lost.notify_waiters();
                sleep(pause(&shared, failures)).await;
                failures += 1;
            }
        }
    }
}

/// Whether entries that are gone may have lapsed while the store was away.
#[derive(Clone, Copy, Debug, Default)]
struct Lapse {
    is_away: bool,
    /// Until when entries may take to come back; 0 where none lapsed.
    until: Millis,
}

impl Lapse {
    fn store_answered(&mut self, shared: &IngressShared) {
        let now = shared.clock.now();
        if std::mem::take(&mut self.is_away) {
            self.until = now + LAPSE_MS;
        } else if self.until <= now {
            self.until = 0;
        }
    }
}

fn note_store(shared: &IngressShared, failure: Option<StoreError>) {
    let was_silent = shared.is_store_silent.send_replace(failure.is_some());
    match failure {
        Some(it) if !was_silent => {
            emit(events::STORE_SILENT, &shared.settings.instance, &format!("cause={it:?}"));
        }
        None if was_silent => emit(events::STORE_BACK, &shared.settings.instance, ""),
        _ => (),
    }
}

/// Pause after so many calls that failed in a row and one more. Readers notice the store's return for
/// all, so the others, who read by themselves only since no reader was served, ask less and less.
fn pause(shared: &IngressShared, failures: u32) -> Duration {
    if shared.peers.sources().is_reader {
        return PAUSE;
    }
    let jitter = rand::random_range(JITTER);
    (STANDBY_PAUSE * (1 << failures.min(STANDBY_DOUBLINGS))).mul_f64(jitter)
}

/// Waits after a read of a topic that failed: for a pause, and until the list of targets can be read
/// again. One topic is enough to notice the store's return: 295 instances made 5,972 calls in place of
/// 13,191 in 48 s with an outage of 8 s, counted at the store, the doubled pause included.
async fn store_answers(shared: &IngressShared) {
    let mut silent = shared.is_store_silent.subscribe();
    sleep(PAUSE).await;
    // The sender lives as long as the instance.
    let _ = silent.wait_for(|it| !*it).await;
}

/// Follows a topic whose records rarely change, for good: a read waits for a record for the first of two
/// times, and in the second one records gather before the next read.
async fn follow_topic(
    shared: &Arc<IngressShared>,
    topic: &str,
    (wait, gather): (Duration, Duration),
    take: impl Fn(&Read<'_>),
) {
    let mut client = client(shared);
    let mut reading = shared.reading.subscribe();
    let mut offset: Option<u64> = None;
    let mut is_lacking = false;
    loop {
        if has_paused(&mut reading) {
            offset = None;
            client.reset();
            raised(&mut reading).await;
        }
        if is_lacking && !shared.eras.is_settling() {
            (offset, is_lacking) = (None, false);
        }
        let wait = if is_lacking { wait.min(PAUSE) } else { wait };
        let read = async {
            match offset {
                None => client.newest(topic).await,
                Some(from) => client.read(topic, from, wait).await.map(|it| (it.records, it.next)),
            }
        };
        let outcome = tokio::select! {
            it = read => it,
            () = shared.store_lost.notified(), if offset.is_some() => Err(StoreError::Silent),
            () = lowered(&mut reading) => continue,
        };
        match outcome {
            Ok((records, next)) => {
                let is_whole = offset.is_none();
                let may_lack = is_whole && shared.eras.is_settling();
                is_lacking |= may_lack;
                let era = client.position(next).era;
                take(&Read { records: &records, next, era, is_whole, may_lack });
                offset = Some(next);
                sleep(gather).await;
            }
            Err(StoreError::Returned) => offset = None,
            Err(_) => {
                client.reset();
                offset = None;
                tokio::select! {
                    () = store_answers(shared) => (),
                    () = lowered(&mut reading) => (),
                }
            }
        }
    }
}

/// Whether this instance does not read the store, or has not for a moment: what it was told by others
/// meanwhile may be older than what it had read, so it has to read everything anew.
fn has_paused(reading: &mut watch::Receiver<bool>) -> bool {
    // The sender lives as long as the instance.
    let has_changed = reading.has_changed().unwrap_or(false);
    !*reading.borrow_and_update() || has_changed
}

async fn raised(reading: &mut watch::Receiver<bool>) {
    // The sender lives as long as the instance.
    let _ = reading.wait_for(|it| *it).await;
}

async fn lowered(reading: &mut watch::Receiver<bool>) {
    let _ = reading.wait_for(|it| !*it).await;
}

async fn read_targets(
    shared: &IngressShared,
    client: &mut StoreClient,
    offset: Option<u64>,
    lapse: &Lapse,
) -> Result<Option<u64>, StoreError> {
    let Some(from) = offset else {
        let (records, end) = client.newest(TARGETS_TOPIC).await?;
        let now = shared.clock.now();
        let entries: Vec<_> = records.iter().filter_map(|it| read_entry(shared, it)).collect();
        shared.change_directory(|directory, changes| {
            for id in directory.unnamed(&entries) {
                take_gone(shared, directory, changes, id, lapse);
            }
            entries.into_iter().for_each(|it| changes.put(directory, now, it, "store"));
            expire(shared, directory, changes);
        });
        return Ok(Some(end));
    };
    let page = client.read(TARGETS_TOPIC, from, Duration::ZERO).await?;
    shared.change_directory(|directory, changes| {
        page.records.iter().for_each(|it| take_target(shared, directory, changes, it, lapse));
        expire(shared, directory, changes);
    });
    Ok(Some(page.next))
}

/// Reads the entry of a target; one that cannot be read names none.
fn read_entry(shared: &IngressShared, record: &KeyedRecord) -> Option<TargetInstance> {
    let read = instances::parse(record);
    let note = |it: &BadBody| {
        let detail = format!("target={} cause=\"{it}\"", record.key);
        emit(events::BAD_ENTRY, &shared.settings.instance, &detail);
    };
    read.inspect_err(note).ok().flatten()
}

/// Takes in one record of the list.
fn take_target(
    shared: &IngressShared,
    directory: &mut Directory,
    changes: &mut TargetChanges,
    record: &KeyedRecord,
    lapse: &Lapse,
) {
    match read_entry(shared, record) {
        Some(entry) => changes.put(directory, shared.clock.now(), entry, "store"),
        None => take_gone(shared, directory, changes, record.key.clone(), lapse),
    }
}

fn take_gone(
    shared: &IngressShared,
    directory: &mut Directory,
    changes: &mut TargetChanges,
    id: TargetId,
    lapse: &Lapse,
) {
    let now = shared.clock.now();
    let until = if lapse.is_away { now + LAPSE_MS } else { lapse.until };
    if until <= now {
        return changes.remove(directory, now, id, "gone");
    }
    if directory.lapsed().next().is_none() {
        shared.note_lapses();
    }
    let change = directory.lapse(&id, until);
    let detail = format!("target={id} kept_ms={} change={change:?}", until - now);
    emit(events::TARGET_LAPSED, &shared.settings.instance, &detail);
    changes.note(id, change, "lapsed");
}

/// Removes the targets whose entries lapsed and did not come back.
fn expire(shared: &IngressShared, directory: &mut Directory, changes: &mut TargetChanges) {
    for id in directory.expire(shared.clock.now()) {
        changes.note(id, Change::Leaving, "lapsed");
    }
}

fn client(shared: &IngressShared) -> StoreClient {
    let store = &shared.settings.store;
    let timeout = Duration::from_millis(store.timeout_ms);
    StoreClient::new(&store.address, timeout, shared.eras.clone())
}
