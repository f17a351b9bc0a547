//! The targets of one service, with the reasons why they get no calls.

use std::collections::BTreeMap;

use holdpoint_core::directory::{TargetId, TargetInstance};

/// State of a target that the batchers need.
#[derive(Clone, Debug)]
pub(super) struct KnownTarget {
    pub(super) domain: String,
    /// Whether it gets no new calls.
    pub(super) is_closed: bool,
    /// Whether it gets no calls because its failure domain is evacuated, though it is not draining.
    is_suspended: bool,
}

impl KnownTarget {
    pub(super) fn new(target: &TargetInstance, is_evacuated: bool, is_far: bool) -> KnownTarget {
        let is_suspended = is_evacuated && !target.is_leaving;
        let is_closed = target.is_leaving || is_suspended || is_far;
        KnownTarget { domain: target.domain.clone(), is_closed, is_suspended }
    }
}

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Targets {
    pub(super) known: BTreeMap<TargetId, KnownTarget>,
    /// Open targets that get no calls because they are in another region.
    pub(super) far: Vec<TargetId>,
    /// Number of targets that get calls.
    open: usize,
    /// Number of suspended targets.
    suspended: usize,
}

impl Targets {
    pub(super) fn put(&mut self, id: &str, known: KnownTarget) {
        self.remove(id);
        self.open += usize::from(!known.is_closed);
        self.suspended += usize::from(known.is_suspended);
        self.known.insert(id.to_owned(), known);
    }

    pub(super) fn remove(&mut self, id: &str) -> bool {
        let Some(it) = self.known.remove(id) else { return false };
        self.open -= usize::from(!it.is_closed);
        self.suspended -= usize::from(it.is_suspended);
        true
    }

    /// Whether all targets are draining: none is open or suspended.
    pub(super) fn all_draining(&self) -> bool {
        self.suspended == 0 && self.open == 0
    }

    /// Whether no target is open and some are suspended by an evacuation.
    pub(super) fn is_evacuated(&self) -> bool {
        self.suspended != 0 && self.open == 0
    }
}
