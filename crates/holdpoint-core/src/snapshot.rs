//! Snapshots of control state: a pure function of a prefix of the log, with offset and hash.
//!
//! A snapshot is written to a stream of its own, in parts that fit into log records, and a mark without
//! state to the control stream. So instances that only follow the control stream don't read the snapshots.

use holdpoint_schema::records::Snapshot;

use crate::{fold::State, ids::sha256_hex};

/// Largest size of the state in one part, in bytes.
pub const PART_BYTES: usize = 256 << 10;

/// Why a snapshot cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadSnapshot {
    /// A part is missing.
    Parts,
    /// The state does not match its hash.
    Hash,
    /// The state cannot be read.
    Format,
    /// The offset of the state differs from that of the snapshot.
    Offset,
}

/// Takes a snapshot of a state, in parts of up to `part_bytes` bytes.
pub fn take(state: &State, part_bytes: usize) -> Vec<Snapshot> {
    let text = serde_json::to_string(state).expect("a state has string keys only");
    let hash = sha256_hex(text.as_bytes());
    let chunks = chunks(&text, part_bytes.max(4));
    let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let part = |(part, chunk): (u32, &str)| Snapshot {
        offset: state.offset(),
        hash: hash.clone(),
        part,
        parts,
        state: chunk.to_owned(),
    };
    (0..).zip(chunks).map(part).collect()
}

/// Returns the mark of a snapshot for the control stream.
pub fn mark(of: &Snapshot) -> Snapshot {
    Snapshot { part: 0, parts: 0, state: String::new(), ..of.clone() }
}

/// Restores the state from the parts of one snapshot, which may be in any order and repeated.
pub fn restore<'a>(found: impl IntoIterator<Item = &'a Snapshot>) -> Result<State, BadSnapshot> {
    let mut parts: Vec<&Snapshot> = found.into_iter().collect();
    parts.sort_by_key(|it| it.part);
    parts.dedup_by_key(|it| it.part);
    let first = *parts.first().ok_or(BadSnapshot::Parts)?;
    if parts.len() != first.parts as usize {
        return Err(BadSnapshot::Parts);
    }
    let text: String = parts.iter().map(|it| it.state.as_str()).collect();
    if sha256_hex(text.as_bytes()) != first.hash {
        return Err(BadSnapshot::Hash);
    }
    let state: State = serde_json::from_str(&text).map_err(|_| BadSnapshot::Format)?;
    if state.offset() != first.offset {
        return Err(BadSnapshot::Offset);
    }
    Ok(state)
}

/// Whether this instance should try to append a snapshot now.
///
/// Any instance may append one, and duplicates are harmless. Rank 0 is the first and each later rank waits
/// one step longer, so that a failed writer is replaced without coordination.
pub fn is_due(records_since: u64, age_ms: u64, retention_ms: u64, rank: usize) -> bool {
    /// Number of steps into which the retention period is divided.
    const STEPS: u64 = 16;
    if records_since == 0 {
        return false;
    }
    let step = retention_ms / STEPS;
    let wait = step * (rank as u64).min(STEPS / 2 - 1);
    retention_ms / 4 + wait <= age_ms
}

fn chunks(text: &str, bytes: usize) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut rest = text;
    while bytes < rest.len() {
        let mut end = bytes;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (chunk, after) = rest.split_at(end);
        chunks.push(chunk);
        rest = after;
    }
    chunks.push(rest);
    chunks
}
