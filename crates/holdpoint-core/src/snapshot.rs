//! Snapshots of control state: a pure function of a prefix of the log, with offset and hash.
//!
//! A snapshot goes into a stream of its own, in parts that any log takes as records, and a mark
//! without state goes into the control stream. With whole snapshots in the control stream every
//! node read every one of them; see docs/CAPACITY.md.

use holdpoint_schema::records::Snapshot;

use crate::{fold::State, ids::sha256_hex};

/// Most bytes of state in one part.
pub const PART_BYTES: usize = 256 << 10;

/// A snapshot that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadSnapshot {
    /// A part is missing.
    Parts,
    /// The state does not match its hash.
    Hash,
    /// The state cannot be read.
    Format,
    /// The state is of another offset than the snapshot says.
    Offset,
}

/// Takes a snapshot of a state, in parts of up to `part_bytes`.
pub fn take(state: &State, part_bytes: usize) -> Vec<Snapshot> {
    let text = serde_json::to_string(state).expect("a state has string keys only");
    let hash = sha256_hex(text.as_bytes());
    let pieces = pieces(&text, part_bytes.max(4));
    let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    let part = |(part, piece): (u32, &str)| Snapshot {
        offset: state.offset(),
        hash: hash.clone(),
        part,
        parts,
        state: piece.to_owned(),
    };
    (0..).zip(pieces).map(part).collect()
}

/// The mark of a snapshot in the control stream.
pub fn mark(of: &Snapshot) -> Snapshot {
    Snapshot { part: 0, parts: 0, state: String::new(), ..of.clone() }
}

/// Reads the state out of the parts of one snapshot, in any order and with repetitions.
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
/// Any instance may; a duplicate is harmless. Rank 0 goes first and each later rank waits one
/// step more, so that a dead first writer is replaced without agreement.
pub fn is_due(records_since: u64, age_ms: u64, retention_ms: u64, rank: usize) -> bool {
    const STEPS: u64 = 16;
    if records_since == 0 {
        return false;
    }
    let step = retention_ms / STEPS;
    let wait = step * (rank as u64).min(STEPS / 2 - 1);
    retention_ms / 4 + wait <= age_ms
}

fn pieces(text: &str, bytes: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while bytes < rest.len() {
        let mut end = bytes;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, after) = rest.split_at(end);
        pieces.push(piece);
        rest = after;
    }
    pieces.push(rest);
    pieces
}
