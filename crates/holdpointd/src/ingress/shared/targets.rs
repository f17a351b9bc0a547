//! Look-ups of single targets and of what is known about them.

use std::sync::atomic::Ordering;

use holdpoint_core::{
    directory::{Directory, TargetInstance},
    ids::Millis,
};
use parking_lot::MutexGuard;

use super::IngressShared;
use crate::ingress::changes::TargetChanges;

/// Time before the end of a target's drain at which it gets no more requests, so that they arrive in time, in
/// milliseconds.
const DRAIN_MARGIN_MS: Millis = 300;

impl IngressShared {
    /// The known targets.
    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock()
    }

    /// A known target.
    pub(crate) fn target(&self, id: &str) -> Option<TargetInstance> {
        self.directory.lock().get(id).cloned()
    }

    /// Number of targets of a service that are routed to.
    pub(crate) fn pool_size(&self, service: &str) -> usize {
        self.pools.of(self.clock.now(), service).len()
    }

    /// A known target that may get new work: it is not draining, its failure domain is not evacuated, and
    /// its version is not held back by a rollout.
    pub(crate) fn open_target(&self, id: &str) -> Option<TargetInstance> {
        let found = self.directory.lock().get(id).filter(|it| !it.is_draining).cloned();
        let found = found.filter(|it| !self.domains.is_evacuated(&it.domain));
        found.filter(|it| self.rollouts.is_open(self.clock.now(), it))
    }

    /// A known target that may get a request which only its version can serve: also one that drains, for a while.
    pub(crate) fn open_or_draining_target(&self, id: &str) -> Option<TargetInstance> {
        let drained_until = self.drained.lock().get(id).copied().unwrap_or(0);
        if drained_until <= self.clock.now() {
            return self.open_target(id);
        }
        let found = self.directory.lock().get(id).cloned();
        let found = found.filter(|it| !self.domains.is_evacuated(&it.domain));
        found.filter(|it| self.rollouts.is_open(self.clock.now(), it))
    }

    /// Records until when targets that drain may get requests. The store may have taken their entries right after the
    /// last read of the list.
    pub(super) fn record_drained(&self, directory: &Directory, changes: &TargetChanges) {
        let drain_ms = self.settings.timing.drain_ms;
        let read = self.targets_read.load(Ordering::Acquire);
        if drain_ms == 0 || read == 0 {
            return;
        }
        let mut drained = self.drained.lock();
        for id in changes.ids() {
            match directory.get(id) {
                Some(it) if it.is_draining => {
                    let until = read + drain_ms.saturating_sub(DRAIN_MARGIN_MS);
                    drained.entry(id.clone()).or_insert(until);
                }
                _ => drop(drained.remove(id)),
            }
        }
    }

    /// Remaining backoff that a target has requested from this instance, in milliseconds.
    pub(crate) fn backoff_ms(&self, target: &TargetInstance) -> Millis {
        self.backoffs.lock().remaining_ms(self.clock.now(), (&target.id, &target.service))
    }

    /// Whether a target has restarted under its id since it was chosen, so that a response concerns its former
    /// incarnation.
    pub(crate) fn is_of_former_incarnation(&self, target: &TargetInstance) -> bool {
        self.directory.lock().is_former_incarnation(&target.id, target.born)
    }

    /// Whether a target is cold.
    pub(crate) fn is_cold(&self, id: &str) -> bool {
        self.directory.lock().cold_left(self.clock.now(), id) != 0
    }

    /// The target of a service at an address, draining or not. A target of another service may have the same address.
    pub(crate) fn target_of_at(&self, service: &str, address: &str) -> Option<TargetInstance> {
        self.directory.lock().at(address).find(|it| it.service == service).cloned()
    }

    /// The target at an address, draining or not, whose service is configured.
    pub(crate) fn target_at(&self, address: &str) -> Option<TargetInstance> {
        let configuration = self.configuration();
        // An entry of an unknown service may name the same address.
        let is_its = |it: &&TargetInstance| configuration.services.contains_key(&it.service);
        self.directory.lock().at(address).find(is_its).cloned()
    }
}
