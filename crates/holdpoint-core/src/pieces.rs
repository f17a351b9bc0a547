//! Pieces of stages, the calls that carry them, and how large and long these are.

use crate::{
    confinement::{Within, is_within},
    directory::TargetId,
    ids::Millis,
};

/// Identifies a piece that was offered.
pub type Ticket = u64;

/// A piece that waits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Waiting {
    /// Ticket.
    pub ticket: Ticket,
    /// Pieces of one group are wanted together: a result of one is of no use, and only takes room,
    /// until all are made.
    pub group: u64,
    /// Time by which its result should be there, for the request to be in time.
    pub due: Millis,
    /// Time by which its result must be there, for the request to be served at all.
    pub deadline: Millis,
    /// Time by which it is made once it cannot be in time any more. Before its deadline, so that the
    /// stages after it, and whatever goes wrong there, have a part of the time that is left.
    pub late_due: Millis,
    /// Rank of its request; 0 goes first.
    pub rank: u32,
    /// Room that its result takes, in bytes.
    pub bytes: u64,
    /// Failure domain that most of its inputs come from or its result goes to; any where empty.
    pub domain: String,
    /// Bytes that are moved between failure domains if it is made in another one.
    pub near_bytes: u64,
    /// When the results that it is made from expire at their makers; never where it has none.
    pub inputs_until: Option<Millis>,
    /// What its target must be within, where its request is confined to regions.
    pub within: Within,
    /// Whether its call carries no pieces of other requests.
    pub is_alone: bool,
    /// When it was offered; set by the batcher.
    pub offered: Millis,
    /// Wait predicted then, in milliseconds; set by the batcher.
    pub predicted_wait: f64,
    /// Time in which it was predicted to be made, in milliseconds; none where it was late already; set by the
    /// batcher.
    pub predicted_ms: Option<f64>,
    /// Whether it cannot be in time any more; set by the batcher.
    pub is_late: bool,
    /// Time that decides when it has its turn; set by the batcher.
    pub turn: Millis,
}

impl Waiting {
    /// Whether it may be made in a failure domain.
    pub(crate) fn is_allowed(&self, domain: &str) -> bool {
        is_within(self.within.as_deref(), domain)
    }
}

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Target to call.
    pub target: TargetId,
    /// Pieces in it.
    pub pieces: Vec<Waiting>,
    /// Pieces that wait still.
    pub left: usize,
    /// Room taken at the target, these pieces included, in bytes.
    pub used_bytes: u64,
    /// Sizes that it was made by.
    pub sizes: Sizes,
    /// Whether other instances were seen to call the target of late, so that the call may wait there.
    pub is_shared: bool,
}

impl Call {
    /// Whether as much waits behind it as another call carries.
    pub fn has_backlog(&self) -> bool {
        self.sizes.most() <= self.left
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With an answer after this time, in milliseconds.
    Answered(Millis),
    /// The target was full and has done nothing.
    Full,
    /// The target failed.
    Failed,
    /// The target gave no answer within this time, in milliseconds.
    Silent(Millis),
}

/// Sizes of a service's calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// Calls at one target at once.
    pub calls: u32,
    /// Most pieces in one call.
    pub pieces: u32,
    /// Time of a call without its pieces, in milliseconds.
    pub call_ms: f64,
    /// Time of each piece, in milliseconds.
    pub piece_ms: f64,
    /// Room for results at one target, in bytes; 0 where it is not bounded.
    pub room_bytes: u64,
    /// How long a result is kept, in milliseconds.
    pub keep_ms: Millis,
}

impl Sizes {
    /// Most pieces in one call; one where the configuration says none.
    pub(crate) fn most(&self) -> usize {
        self.pieces.max(1) as usize
    }

    /// Whether a piece would be late even if a call of its own began now.
    pub(crate) fn is_late(&self, now: Millis, piece: &Waiting) -> bool {
        piece.due < now + self.stated_ms(1) as Millis
    }

    /// Time of a call with so many pieces at a target of the usual speed, in milliseconds.
    pub fn stated_ms(&self, pieces: usize) -> f64 {
        self.call_ms + self.piece_ms * pieces as f64
    }
}
