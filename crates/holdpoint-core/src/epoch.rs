//! Epochs of the store's log.
//!
//! The store may be restored from a copy some seconds old; later writes are lost then, and their offsets are
//! assigned again. Each restore starts a new epoch, and a position is an epoch and an offset in it. Positions
//! are ordered by epoch first. A position without an epoch, as instances of earlier versions report it, is
//! compared by its offset only.

use serde::{Deserialize, Serialize};

use crate::ids::Millis;

/// How long entries that a restored store lacks are kept, in milliseconds: operators and targets write theirs again
/// within about two seconds, instances within one.
pub const SETTLE_MS: Millis = 5000;
/// Age up to which acknowledged writes may be lost by a restore of the store, in milliseconds.
pub const LOST_TAIL_MS: Millis = 60_000;

/// Number of an epoch; each restore from an older copy starts the next one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// A position in the log: an offset and its epoch, if known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Epoch of the offset.
    pub epoch: Option<Epoch>,
    /// Number of records before it.
    pub offset: u64,
}

impl Position {
    /// Whether this position is later than another one.
    pub fn is_after(self, other: Position) -> bool {
        match self.epoch.zip(other.epoch) {
            Some((mine, theirs)) if mine != theirs => theirs < mine,
            _ => other.offset < self.offset,
        }
    }

    /// Whether the store was restored between another position and this one.
    pub fn is_of_later_epoch(self, other: Position) -> bool {
        self.epoch.zip(other.epoch).is_some_and(|(mine, theirs)| theirs < mine)
    }
}

/// Epoch of a response compared with the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochOrder {
    /// Both are the same, or one of them is unknown.
    Same,
    /// The store was restored: earlier reads no longer describe its contents.
    Newer,
    /// The response is from an earlier epoch.
    Older,
}

/// Compares the epoch of a response with the known one.
pub fn compare_epochs(known: Option<Epoch>, reported: Option<Epoch>) -> EpochOrder {
    match known.zip(reported) {
        Some((known, reported)) if known < reported => EpochOrder::Newer,
        Some((known, reported)) if reported < known => EpochOrder::Older,
        _ => EpochOrder::Same,
    }
}
