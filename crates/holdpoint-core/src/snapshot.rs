//! Snapshots of control state: a pure function of a prefix of the log, with offset and hash.

use holdpoint_schema::records::Snapshot;

use crate::{fold::State, ids::sha256_hex};

/// A snapshot that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadSnapshot {
    /// The state does not match its hash.
    Hash,
    /// The state cannot be read.
    Format,
    /// The state is of another offset than the snapshot says.
    Offset,
}

/// Takes a snapshot of a state.
pub fn take(state: &State) -> Snapshot {
    let text = serde_json::to_string(state).expect("a state has string keys only");
    Snapshot { offset: state.offset(), hash: sha256_hex(text.as_bytes()), state: text }
}

/// Reads the state out of a snapshot.
pub fn restore(snapshot: &Snapshot) -> Result<State, BadSnapshot> {
    if sha256_hex(snapshot.state.as_bytes()) != snapshot.hash {
        return Err(BadSnapshot::Hash);
    }
    let state: State = serde_json::from_str(&snapshot.state).map_err(|_| BadSnapshot::Format)?;
    if state.offset() != snapshot.offset {
        return Err(BadSnapshot::Offset);
    }
    Ok(state)
}

/// Whether this instance should try to append a snapshot now.
///
/// Any instance may; a duplicate is harmless. Rank 0 goes first and each later rank waits one
/// step more, so that a dead first writer is replaced without agreement.
pub fn is_due(records_since: u64, age_ms: u64, retention_ms: u64, rank: usize) -> bool {
    const RECORDS: u64 = 256;
    const STEPS: u64 = 16;
    if records_since == 0 {
        return false;
    }
    let step = retention_ms / STEPS;
    let wait = step * (rank as u64).min(STEPS / 2 - 1);
    let by_age = retention_ms / 4 + wait <= age_ms;
    let by_count = RECORDS * (1 + rank as u64) <= records_since;
    by_age || by_count
}
