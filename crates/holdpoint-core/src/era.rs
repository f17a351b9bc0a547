//! Eras of the store's log: it may come back from a copy some seconds old. What was written since is gone,
//! and the offsets of that are given out again.
//!
//! A position is therefore an era and an offset in it. Of two positions of one era the larger offset is the
//! later one; of two eras the later era, whatever the offsets. Whoever does not tell an era, as an instance
//! of an earlier version does, is taken to be in the same one.

use serde::{Deserialize, Serialize};

use crate::ids::Millis;

/// How long after the store's return what it lacks is kept: operators and targets write theirs again within
/// about two seconds, and instances theirs within one. In milliseconds.
pub const SETTLE_MS: Millis = 5000;
/// How far back the store may lose what it had taken, in milliseconds: the copies are some seconds old.
pub const LOST_TAIL_MS: Millis = 60_000;

/// An era; each return from an older copy begins the next one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A position in the log: the number of records before it, in an era where that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Era that it is of.
    pub era: Option<Era>,
    /// Records before it.
    pub offset: u64,
}

impl Position {
    /// Whether more is known at this position than at another one.
    pub fn is_after(self, other: Position) -> bool {
        match self.era.zip(other.era) {
            Some((own, others)) if own != others => others < own,
            _ => other.offset < self.offset,
        }
    }

    /// Whether the log has come back from an older copy between another position and this one.
    pub fn is_of_later_era(self, other: Position) -> bool {
        self.era.zip(other.era).is_some_and(|(own, others)| others < own)
    }
}

/// What an answer's era says to one who has heard of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is the era that is known, or the first one that is heard of.
    Same,
    /// The store has come back: nothing that was read before says what it holds now.
    Risen,
    /// The answer is of an era that is over.
    Over,
}

/// Compares the era of an answer with the one that is known.
pub fn heard(known: Option<Era>, told: Option<Era>) -> Heard {
    match known.zip(told) {
        Some((known, told)) if known < told => Heard::Risen,
        Some((known, told)) if told < known => Heard::Over,
        _ => Heard::Same,
    }
}
