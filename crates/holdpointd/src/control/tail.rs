//! Follows streams of the log, sends their records to the control thread, and appends records.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use holdpoint_core::{
    fold::State,
    ids::{Millis, Offset},
    snapshot::{self, BadSnapshot},
};
use holdpoint_platform::{
    ListClient,
    log::{Batch, ReadError, ReadRecord},
};
use holdpoint_schema::records::{Body, Record, Snapshot};

use crate::{
    control::Input,
    events::{self, emit},
    metrics::label,
    shared::Shared,
};

/// Name of the control stream.
pub(crate) const CONTROL: &str = "control";
/// Name of the stream of snapshots.
pub(crate) const SNAPSHOTS: &str = "snapshots";
/// Maximum number of records in one read.
const MAX_RECORDS: usize = 512;
/// Number of snapshot parts in one read.
const PARTS_PER_READ: u64 = 16;
/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time limit for a peer to send its state.
const PEER_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2000);

/// Result of restoring state from the snapshots in the log.
enum StartState {
    /// State of the newest usable snapshot.
    Restored(Box<State>),
    /// No usable snapshot covers the expired records.
    Gap,
    /// The log does not answer.
    Silent,
}

/// Follows the control stream. Starts at its first record, at a snapshot if records have expired, or at a
/// peer's state if the log does not answer.
pub(crate) async fn follow_control(shared: Arc<Shared>) {
    let mut next: Offset = 1;
    let mut has_state = false;
    let mut wait = Duration::ZERO;
    loop {
        let asked_at = shared.clock.now();
        match read(&shared, CONTROL, next, wait).await {
            Ok(batch) => {
                has_state = true;
                wait = next_wait(&shared, &batch);
                next = batch.records.last().map_or(next, |it| it.offset + 1);
                if shared.control.send(Input::Records { batch, asked_at }).await.is_err() {
                    return;
                }
            }
            Err(ReadError::Expired { first }) => match restore(&shared, first).await {
                StartState::Restored(state) => {
                    has_state = true;
                    next = state.offset() + 1;
                    let input = Input::Adopt { state, from_peer: false, asked_at };
                    if shared.control.send(input).await.is_err() {
                        return;
                    }
                }
                StartState::Gap => {
                    emit(events::GAP, &shared.settings.instance, &format!("before {first}"));
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                StartState::Silent => tokio::time::sleep(RETRY_DELAY).await,
            },
            Err(ReadError::Unavailable) => {
                if shared.control.send(Input::LogSilent).await.is_err() {
                    return;
                }
                if !has_state && let Some(state) = state_from_peer(&shared).await {
                    has_state = true;
                    next = state.offset() + 1;
                    let input = Input::Adopt { state: Box::new(state), from_peer: true, asked_at };
                    drop(shared.control.send(input).await);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Follows a claim stream from its oldest record. Expired records are older than any acceptable key.
pub(crate) async fn follow_claims(shared: Arc<Shared>, stream: u32) {
    let name = claim_stream(stream);
    let mut next: Offset = 1;
    let mut wait = Duration::ZERO;
    loop {
        match read(&shared, &name, next, wait).await {
            Ok(batch) => {
                wait = next_wait(&shared, &batch);
                next = batch.records.last().map_or(next, |it| it.offset + 1);
                if shared.control.send(Input::ClaimRecords { stream, batch }).await.is_err() {
                    return;
                }
            }
            Err(ReadError::Expired { first }) => next = first,
            Err(ReadError::Unavailable) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Appends a record, retrying with the same record id until the log acknowledges it.
pub(crate) async fn append(shared: &Shared, stream: &str, record: &Record) -> Offset {
    let mut pause = Duration::from_millis(10);
    loop {
        let appended = shared.log.append(stream, record).await;
        shared.metrics.appends.add(1, &[label("stream", stream)]);
        if let Ok(it) = appended {
            return it;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(Duration::from_millis(500));
    }
}

/// Name of a claim stream.
pub(crate) fn claim_stream(stream: u32) -> String {
    format!("claims-{stream}")
}

/// Time for which the next read waits for a record: zero until the end of the stream is reached. A read
/// confirms the head as of the time it was sent, so several must fit into `confirm_ms`.
fn next_wait(shared: &Shared, batch: &Batch) -> Duration {
    if batch.records.len() == MAX_RECORDS {
        return Duration::ZERO;
    }
    Duration::from_millis(shared.settings.timing.confirm_ms / 4)
}

async fn read(
    shared: &Shared,
    stream: &str,
    from: Offset,
    wait: Duration,
) -> Result<Batch, ReadError> {
    let batch = shared.log.read(stream, from, MAX_RECORDS, wait).await?;
    let bytes = batch.records.iter().map(|it| it.bytes as u64).sum();
    shared.metrics.log_bytes.add(bytes, &[label("direction", "in")]);
    Ok(batch)
}

/// Restores the newest usable snapshot that covers all records before `first`, the oldest that is kept.
async fn restore(shared: &Shared, first: Offset) -> StartState {
    let parts = match snapshot_parts(shared).await {
        Ok(it) => it,
        Err(ReadError::Unavailable) => return StartState::Silent,
        Err(ReadError::Expired { .. }) => return StartState::Gap,
    };
    let mut snapshots: BTreeMap<(Offset, &str), Vec<&Snapshot>> = BTreeMap::new();
    for part in parts.iter().filter(|it| first <= it.offset + 1) {
        snapshots.entry((part.offset, &part.hash)).or_default().push(part);
    }
    for parts in snapshots.into_values().rev() {
        match snapshot::restore(parts) {
            Ok(it) => return StartState::Restored(Box::new(it)),
            // The newest snapshot may be incomplete while its parts are still being appended.
            Err(BadSnapshot::Parts) => (),
            Err(it) => emit(events::BAD_SNAPSHOT, &shared.settings.instance, &format!("{it:?}")),
        }
    }
    StartState::Gap
}

/// Reads the snapshot stream backwards until it has all parts of one snapshot.
async fn snapshot_parts(shared: &Shared) -> Result<Vec<Snapshot>, ReadError> {
    let end = read(shared, SNAPSHOTS, Offset::MAX, Duration::ZERO).await?;
    let mut parts: Vec<Snapshot> = Vec::new();
    let mut before = end.next;
    while end.first < before && !has_complete(&parts) {
        let from = end.first.max(before.saturating_sub(PARTS_PER_READ));
        let batch = read(shared, SNAPSHOTS, from, Duration::ZERO).await?;
        let older = batch.records.into_iter().filter(|it| it.offset < before);
        parts.extend(older.filter_map(snapshot_in));
        before = from;
    }
    Ok(parts)
}

fn has_complete(parts: &[Snapshot]) -> bool {
    parts.iter().any(|part| {
        let same = |it: &&Snapshot| it.offset == part.offset && it.hash == part.hash;
        let mut found: Vec<u32> = parts.iter().filter(same).map(|it| it.part).collect();
        found.sort_unstable();
        found.dedup();
        found.len() == part.parts as usize
    })
}

fn snapshot_in(read: ReadRecord) -> Option<Snapshot> {
    match read.record?.body {
        Body::Snapshot(it) => Some(it),
        Body::Change(_) | Body::Lease(_) | Body::Claims(_) => None,
    }
}

/// Fetches the state of all listed instances and returns the newest.
async fn state_from_peer(shared: &Shared) -> Option<State> {
    let timeout = Duration::from_millis(shared.settings.timing.log_timeout_ms);
    let mut list = ListClient::new(shared.http.clone(), &shared.settings.platform.list, timeout);
    let listing = list.read().await.ok()??;
    let mut newest: Option<State> = None;
    for instance in listing.instances.iter().filter(|it| it.name != shared.settings.instance) {
        let call = shared.peers.call(
            &instance.peers,
            PEER_SNAPSHOT_TIMEOUT,
            |client, context| async move { client.snapshot(context).await },
        );
        let Ok(Some(found)) = call.await else { continue };
        let Ok(state) = snapshot::restore([&found]) else { continue };
        if newest.as_ref().is_none_or(|it| it.offset() < state.offset()) {
            newest = Some(state);
        }
    }
    newest
}

/// Creates a record of this instance with the current time.
pub(crate) fn record(shared: &Shared, seq: u64, body: Body) -> Record {
    let at: Millis = shared.clock.now();
    Record { writer: shared.incarnation.clone(), seq, at, body }
}
