//! Work items of stages, the calls that carry them, and the limits and costs of these calls.

use crate::{
    confinement::{Within, is_within},
    directory::TargetId,
    ids::Millis,
};

/// Identifies a work item that was offered to a batcher.
pub type Ticket = u64;

/// A work item in the queue of a batcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Waiting {
    /// Ticket.
    pub ticket: Ticket,
    /// Group of items that are needed together: their results are of no use, and only take room,
    /// until the whole group is complete.
    pub group: u64,
    /// Time by which its result is needed for the request to be on time.
    pub due: Millis,
    /// Time by which its result is needed for the request to be served at all.
    pub deadline: Millis,
    /// Due time that applies once `due` cannot be met. It is earlier than the deadline, to leave
    /// time for later stages and retries.
    pub late_due: Millis,
    /// Rank of its request; items with equal due times go in ascending order.
    pub rank: u32,
    /// Room that its result needs, in bytes.
    pub bytes: u64,
    /// Failure domain that holds most of its inputs or receives its result; empty if it has no
    /// preference.
    pub domain: String,
    /// Bytes that move between failure domains if it is processed outside `domain`.
    pub near_bytes: u64,
    /// When its first input expires; `None` if it has no inputs.
    pub inputs_until: Option<Millis>,
    /// Bounds for its target, if its request is confined to regions.
    pub within: Within,
    /// Whether it must not share a call with items of other requests.
    pub is_alone: bool,
    /// When it was offered; set by the batcher.
    pub offered: Millis,
    /// Wait predicted at that time, in milliseconds; set by the batcher.
    pub predicted_wait: f64,
    /// Time to its completion predicted at that time, in milliseconds; `None` if it was late
    /// already. Set by the batcher.
    pub predicted_ms: Option<f64>,
    /// Whether it can no longer be on time; set by the batcher.
    pub is_late: bool,
    /// Time by which items are ordered; set by the batcher.
    pub effective_due: Millis,
}

impl Waiting {
    /// Whether it may be processed in a failure domain.
    pub(crate) fn is_allowed(&self, domain: &str) -> bool {
        is_within(self.within.as_deref(), domain)
    }
}

/// A call to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Target to call.
    pub target: TargetId,
    /// Items of the call.
    pub pieces: Vec<Waiting>,
    /// Number of items left in the queue.
    pub left: usize,
    /// Room reserved and used at the target, including these items, in bytes.
    pub used_bytes: u64,
    /// Limits and nominal costs that applied when the call was planned.
    pub sizes: Sizes,
    /// Whether other instances recently called the target too, so that the call may queue there.
    pub is_shared: bool,
}

impl Call {
    /// Whether enough items wait for another full call.
    pub fn has_backlog(&self) -> bool {
        self.sizes.max_items() <= self.left
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered after this time, in milliseconds.
    Answered(Millis),
    /// The target was full and did not start the call.
    Full,
    /// The target failed.
    Failed,
    /// The target did not answer within this time, in milliseconds.
    Silent(Millis),
}

/// Limits and nominal costs of a service's calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// Maximum number of concurrent calls to one target.
    pub calls: u32,
    /// Maximum number of items in one call.
    pub pieces: u32,
    /// Fixed time of a call, in milliseconds.
    pub call_ms: f64,
    /// Additional time of each item, in milliseconds.
    pub piece_ms: f64,
    /// Room for results at one target, in bytes; 0 if unlimited.
    pub room_bytes: u64,
    /// How long a target stores a result, in milliseconds.
    pub keep_ms: Millis,
}

impl Sizes {
    /// Maximum number of items in one call, at least 1.
    pub(crate) fn max_items(&self) -> usize {
        self.pieces.max(1) as usize
    }

    /// Whether an item would be late even if a call of its own started now.
    pub(crate) fn is_late(&self, now: Millis, item: &Waiting) -> bool {
        item.due < now + self.stated_ms(1) as Millis
    }

    /// Nominal time of a call with `items` items, in milliseconds.
    pub fn stated_ms(&self, items: usize) -> f64 {
        self.call_ms + self.piece_ms * items as f64
    }
}
