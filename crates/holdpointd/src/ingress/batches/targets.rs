//! The targets of one service, as its batcher gets them.

use std::collections::BTreeMap;

use holdpoint_core::directory::{TargetId, TargetInstance};

/// A target as the batchers know it.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) domain: String,
    /// Whether it gets no more calls.
    pub(super) is_closed: bool,
    /// Whether only the evacuation of its failure domain keeps it from work.
    is_held: bool,
}

impl Known {
    pub(super) fn new(target: &TargetInstance, is_evacuated: bool, is_far: bool) -> Known {
        let is_held = is_evacuated && !target.is_leaving;
        let is_closed = target.is_leaving || is_held || is_far;
        Known { domain: target.domain.clone(), is_closed, is_held }
    }
}

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Targets {
    pub(super) known: BTreeMap<TargetId, Known>,
    /// Those that get no calls here only since they stand in another region.
    pub(super) far: Vec<TargetId>,
    /// How many get calls, and how many only an evacuation keeps from work.
    open: usize,
    held: usize,
}

impl Targets {
    pub(super) fn put(&mut self, id: &str, known: Known) {
        self.remove(id);
        self.open += usize::from(!known.is_closed);
        self.held += usize::from(known.is_held);
        self.known.insert(id.to_owned(), known);
    }

    pub(super) fn remove(&mut self, id: &str) -> bool {
        let Some(it) = self.known.remove(id) else { return false };
        self.open -= usize::from(!it.is_closed);
        self.held -= usize::from(it.is_held);
        true
    }

    /// Whether none is left but such that leave.
    pub(super) fn all_leave(&self) -> bool {
        self.held == 0 && self.open == 0
    }

    /// Whether none is left, since all that stay stand in evacuated failure domains.
    pub(super) fn is_evacuated(&self) -> bool {
        self.held != 0 && self.open == 0
    }
}
