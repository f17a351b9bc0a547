//! Reads streams of the log and hands their records to the control thread.

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
/// Most records in one read.
const LIMIT: usize = 512;
/// Parts of snapshots that are read at once, from the newest back.
const PARTS_AT_ONCE: u64 = 16;
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a peer may take to send its state.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(2000);

/// Where a new instance starts.
enum Start {
    /// State of a snapshot in the log, and the records read after it.
    Restored(Box<State>),
    /// Nothing covers the records that have expired.
    Gap,
    /// The log does not answer.
    Silent,
}

/// Follows the control stream, from the beginning, a snapshot or a peer's state.
pub(crate) async fn control(shared: Arc<Shared>) {
    let mut next: Offset = 1;
    let mut has_state = false;
    let mut wait = Duration::ZERO;
    loop {
        let asked = shared.clock.now();
        match read(&shared, CONTROL, next, wait).await {
            Ok(batch) => {
                has_state = true;
                wait = wait_after(&shared, &batch);
                next = batch.records.last().map_or(next, |it| it.offset + 1);
                if shared.control.send(Input::Records { batch, asked }).await.is_err() {
                    return;
                }
            }
            Err(ReadError::Expired { first }) => match restore(&shared, first).await {
                Start::Restored(state) => {
                    has_state = true;
                    next = state.offset() + 1;
                    let input = Input::Adopt { state, from_peer: false, asked };
                    if shared.control.send(input).await.is_err() {
                        return;
                    }
                }
                Start::Gap => {
                    emit(events::GAP, &shared.settings.instance, &format!("before {first}"));
                    tokio::time::sleep(PAUSE).await;
                }
                Start::Silent => tokio::time::sleep(PAUSE).await,
            },
            Err(ReadError::Silent) => {
                if shared.control.send(Input::LogSilent).await.is_err() {
                    return;
                }
                if !has_state && let Some(state) = from_peer(&shared).await {
                    has_state = true;
                    next = state.offset() + 1;
                    let input = Input::Adopt { state: Box::new(state), from_peer: true, asked };
                    drop(shared.control.send(input).await);
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Follows a claim stream from its oldest record. What has expired is older than any key.
pub(crate) async fn claims(shared: Arc<Shared>, stream: u32) {
    let name = claim_stream(stream);
    let mut next: Offset = 1;
    let mut wait = Duration::ZERO;
    loop {
        match read(&shared, &name, next, wait).await {
            Ok(batch) => {
                wait = wait_after(&shared, &batch);
                next = batch.records.last().map_or(next, |it| it.offset + 1);
                if shared.control.send(Input::ClaimRecords { stream, batch }).await.is_err() {
                    return;
                }
            }
            Err(ReadError::Expired { first }) => next = first,
            Err(ReadError::Silent) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Appends a record until the log says that it has landed, always under the same record id.
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

/// How long the next read waits for a record: not at all until the end of the stream was seen
/// once, since whoever follows an empty stream must know at once that it is empty. A read confirms
/// the head as of when it was asked, so several must fit into the bound.
fn wait_after(shared: &Shared, batch: &Batch) -> Duration {
    if batch.records.len() == LIMIT {
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
    let batch = shared.log.read(stream, from, LIMIT, wait).await?;
    let bytes = batch.records.iter().map(|it| it.bytes as u64).sum();
    shared.metrics.log_bytes.add(bytes, &[label("direction", "in")]);
    Ok(batch)
}

/// Finds the newest usable snapshot that reaches to the oldest record still kept.
async fn restore(shared: &Shared, first: Offset) -> Start {
    let parts = match snapshot_parts(shared).await {
        Ok(it) => it,
        Err(ReadError::Silent) => return Start::Silent,
        Err(ReadError::Expired { .. }) => return Start::Gap,
    };
    let mut snapshots: BTreeMap<(Offset, &str), Vec<&Snapshot>> = BTreeMap::new();
    for part in parts.iter().filter(|it| first <= it.offset + 1) {
        snapshots.entry((part.offset, &part.hash)).or_default().push(part);
    }
    for parts in snapshots.into_values().rev() {
        match snapshot::restore(parts) {
            Ok(it) => return Start::Restored(Box::new(it)),
            // The newest one may still be on its way into the log.
            Err(BadSnapshot::Parts) => (),
            Err(it) => emit(events::BAD_SNAPSHOT, &shared.settings.instance, &format!("{it:?}")),
        }
    }
    Start::Gap
}

/// Reads the end of the stream of snapshots, back to the last whole one.
async fn snapshot_parts(shared: &Shared) -> Result<Vec<Snapshot>, ReadError> {
    let end = read(shared, SNAPSHOTS, Offset::MAX, Duration::ZERO).await?;
    let mut parts: Vec<Snapshot> = Vec::new();
    let mut before = end.next;
    while end.first < before && !has_whole(&parts) {
        let from = end.first.max(before.saturating_sub(PARTS_AT_ONCE));
        let batch = read(shared, SNAPSHOTS, from, Duration::ZERO).await?;
        let older = batch.records.into_iter().filter(|it| it.offset < before);
        parts.extend(older.filter_map(snapshot_in));
        before = from;
    }
    Ok(parts)
}

fn has_whole(parts: &[Snapshot]) -> bool {
    parts.iter().any(|one| {
        let same = |it: &&Snapshot| it.offset == one.offset && it.hash == one.hash;
        let mut found: Vec<u32> = parts.iter().filter(same).map(|it| it.part).collect();
        found.sort_unstable();
        found.dedup();
        found.len() == one.parts as usize
    })
}

fn snapshot_in(read: ReadRecord) -> Option<Snapshot> {
    match read.record?.body {
        Body::Snapshot(it) => Some(it),
        Body::Change(_) | Body::Lease(_) | Body::Claims(_) => None,
    }
}

/// Asks the listed instances for their state and takes the newest.
async fn from_peer(shared: &Shared) -> Option<State> {
    let timeout = Duration::from_millis(shared.settings.timing.log_timeout_ms);
    let mut list = ListClient::new(shared.http.clone(), &shared.settings.platform.list, timeout);
    let listing = list.read().await.ok()??;
    let mut newest: Option<State> = None;
    for instance in listing.instances.iter().filter(|it| it.name != shared.settings.instance) {
        let call =
            shared.peers.call(&instance.peers, SNAPSHOT_LIMIT, |client, context| async move {
                client.snapshot(context).await
            });
        let Ok(Some(found)) = call.await else { continue };
        let Ok(state) = snapshot::restore([&found]) else { continue };
        if newest.as_ref().is_none_or(|it| it.offset() < state.offset()) {
            newest = Some(state);
        }
    }
    newest
}

/// Time as a record carries it.
pub(crate) fn record(shared: &Shared, seq: u64, body: Body) -> Record {
    let at: Millis = shared.clock.now();
    Record { writer: shared.incarnation.clone(), seq, at, body }
}
