//! Keeps the list of targets up to date while this instance reads the store.

use std::{sync::Arc, time::Duration};

use holdpoint_adapter::{
    BadBody, instances,
    store::{KeyedRecord, TARGETS_TOPIC},
};
use holdpoint_core::{
    directory::{Change, Directory, TargetId, TargetInstance},
    ids::Millis,
};
use holdpoint_platform::Instant;
use tokio::time::sleep;

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        changes::TargetChanges,
        shared::IngressShared,
        store::{StoreClient, StoreError},
        store_reader::{
            Extent, cut_delay, is_interrupted, record_newest, retry_delay, wait_until_reading,
        },
    },
};

/// Shortest pause between two reads of the list of targets, so that one serves many requests that want it.
const WANTED_READ_DELAY: Duration = Duration::from_millis(20);
/// How long a target is kept after the store's return while its lapsed entry may be written again, in milliseconds.
pub(super) const LAPSE_GRACE_MS: Millis = 2000;

/// Keeps the list of targets up to date.
pub(crate) async fn follow_targets(shared: Arc<IngressShared>) {
    let mut client = shared.store_client();
    let mut reading = shared.reading.subscribe();
    let mut position = ListPosition::default();
    let mut lapse = Lapse::default();
    let mut failures = 0;
    loop {
        if is_interrupted(&mut reading) {
            (position, lapse, failures) = (ListPosition::default(), Lapse::default(), 0);
            client.reset();
            shared.record_own_read(None);
            wait_until_reading(&mut reading).await;
        }
        let (begun, number) = (shared.clock.now(), shared.begin_read());
        match read_targets(&shared, &mut client, &mut position, &lapse).await {
            Ok(()) => {
                // A list that may lack targets is no proof for anybody.
                let is_complete = position.cut.is_none();
                if is_complete {
                    shared.targets_were_read(0);
                    shared.record_applied(number);
                }
                shared.record_own_read(is_complete.then_some(begun));
                record_store_result(&shared, None);
                failures = 0;
                lapse.store_answered(&shared);
                wait_for_poll(&shared).await;
            }
            Err(StoreError::Returned) => {
                // Targets whose entries the store has lost write them again.
                lapse.was_unavailable = true;
                position = ListPosition::default();
            }
            Err(it) => {
                record_store_result(&shared, Some(it));
                shared.record_own_read(None);
                lapse.was_unavailable |= it != StoreError::Gone;
                // A read from the old offset would replay the changes since, and bring back for a moment
                // targets that peers have already reported as removed.
                position = ListPosition::default();
                shared.store_lost.notify_waiters();
                sleep(retry_delay(&shared, failures)).await;
                failures += 1;
            }
        }
    }
}

/// Waits until the list of targets is to be read again: after the interval of polls, or earlier if a read is wanted.
async fn wait_for_poll(shared: &IngressShared) {
    let interval = Duration::from_millis(shared.settings.store.poll_ms);
    let least = interval.min(WANTED_READ_DELAY);
    sleep(least).await;
    tokio::select! {
        () = sleep(interval - least) => (),
        () = shared.read_wanted.notified() => (),
    }
}

/// How far the list of targets is known.
#[derive(Clone, Copy, Debug, Default)]
struct ListPosition {
    /// Offset from which changes are read; `None` if the whole list is to be read.
    offset: Option<u64>,
    /// Set if the list could not be read to its end.
    cut: Option<CutList>,
}

/// A list that could not be read to its end.
#[derive(Clone, Copy, Debug)]
struct CutList {
    /// When it is read again.
    retry_at: Instant,
    /// Number of reads in a row that have not reached its end.
    reads: u32,
}

impl ListPosition {
    /// Offset from which changes are read now.
    fn due_offset(&self) -> Option<u64> {
        self.offset.filter(|_| self.cut.is_none_or(|it| Instant::now() < it.retry_at))
    }

    fn after_snapshot(&self, next: u64, is_complete: bool) -> ListPosition {
        let reads = self.cut.map_or(0, |it| it.reads);
        let cut = (!is_complete)
            .then(|| CutList { retry_at: Instant::now() + cut_delay(reads), reads: reads + 1 });
        ListPosition { offset: Some(next), cut }
    }
}

/// Whether missing entries may have lapsed while the store was unavailable.
#[derive(Clone, Copy, Debug, Default)]
struct Lapse {
    was_unavailable: bool,
    /// Until when targets with missing entries are kept, in milliseconds; 0 if no entry may have lapsed.
    until: Millis,
}

impl Lapse {
    fn store_answered(&mut self, shared: &IngressShared) {
        let now = shared.clock.now();
        if std::mem::take(&mut self.was_unavailable) {
            self.until = now + LAPSE_GRACE_MS;
        } else if self.until <= now {
            self.until = 0;
        }
    }
}

fn record_store_result(shared: &IngressShared, failure: Option<StoreError>) {
    let was_silent = shared.is_store_silent.send_replace(failure.is_some());
    match failure {
        Some(it) if !was_silent => {
            emit(events::STORE_SILENT, &shared.settings.instance, &format!("cause={it:?}"));
        }
        None if was_silent => emit(events::STORE_BACK, &shared.settings.instance, ""),
        _ => (),
    }
}

/// Reads the list of targets, or its changes. What of the list is read holds, also if the rest cannot be read; only a
/// complete list tells which targets have left.
async fn read_targets(
    shared: &IngressShared,
    client: &mut StoreClient,
    position: &mut ListPosition,
    lapse: &Lapse,
) -> Result<(), StoreError> {
    let Some(from) = position.due_offset() else {
        let newest = client.newest(TARGETS_TOPIC).await?;
        let is_complete = record_newest(shared, TARGETS_TOPIC, &newest) == Extent::Snapshot;
        let now = shared.clock.now();
        shared.origins.list_was_replaced(now);
        let records = newest.records.iter();
        let entries: Vec<_> = records.filter_map(|it| read_entry(shared, it)).collect();
        shared.change_directory(|directory, changes| {
            let missing = if is_complete { directory.missing_from(&entries) } else { Vec::new() };
            for id in missing {
                apply_removal(shared, directory, changes, id, lapse);
            }
            entries.into_iter().for_each(|it| changes.put(directory, now, it, "store"));
            expire(shared, directory, changes);
        });
        *position = position.after_snapshot(newest.next, is_complete);
        return Ok(());
    };
    let page = client.read(TARGETS_TOPIC, from, Duration::ZERO).await?;
    shared.change_directory(|directory, changes| {
        page.records.iter().for_each(|it| apply_target(shared, directory, changes, it, lapse));
        expire(shared, directory, changes);
    });
    position.offset = Some(page.next);
    Ok(())
}

/// Parses the entry of a target; logs one that is invalid and treats it as missing.
fn read_entry(shared: &IngressShared, record: &KeyedRecord) -> Option<TargetInstance> {
    let read = instances::parse(record);
    let note = |it: &BadBody| {
        let detail = format!("target={} cause=\"{it}\"", LoggedName(&record.key));
        emit(events::BAD_ENTRY, &shared.settings.instance, &detail);
    };
    read.inspect_err(note).ok().flatten()
}

/// Applies one record of the list.
fn apply_target(
    shared: &IngressShared,
    directory: &mut Directory,
    changes: &mut TargetChanges,
    record: &KeyedRecord,
    lapse: &Lapse,
) {
    match read_entry(shared, record) {
        Some(entry) => changes.put(directory, shared.clock.now(), entry, "store"),
        None => apply_removal(shared, directory, changes, record.key.clone(), lapse),
    }
}

fn apply_removal(
    shared: &IngressShared,
    directory: &mut Directory,
    changes: &mut TargetChanges,
    id: TargetId,
    lapse: &Lapse,
) {
    let now = shared.clock.now();
    let until = if lapse.was_unavailable { now + LAPSE_GRACE_MS } else { lapse.until };
    if until <= now {
        return changes.remove(directory, now, id, "gone");
    }
    if directory.lapsed().next().is_none() {
        shared.record_lapses();
    }
    let change = directory.lapse(&id, until);
    let detail = format!("target={} kept_ms={} change={change:?}", LoggedName(&id), until - now);
    emit(events::TARGET_LAPSED, &shared.settings.instance, &detail);
    changes.record(id, change, "lapsed");
}

/// Removes targets whose lapsed entries were not written again in time.
fn expire(shared: &IngressShared, directory: &mut Directory, changes: &mut TargetChanges) {
    for id in directory.expire(shared.clock.now()) {
        changes.record(id, Change::Leaving, "lapsed");
    }
}
