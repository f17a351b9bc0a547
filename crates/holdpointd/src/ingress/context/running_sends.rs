//! The sends of a request that run at their targets.

use holdpoint_core::{
    directory::{TargetId, TargetInstance},
    ids::Millis,
    route::CallOutcome,
};
use holdpoint_platform::Instant;

use super::Context;
use crate::ingress::rollouts::InFlightSend;

/// A send that counts as running at its target.
pub(super) struct RunningSend {
    pub(super) target: TargetId,
    begun: Instant,
    is_late: bool,
    /// Whether it was counted as a failure, since it is late.
    is_counted: bool,
    /// Counts the send for a roll-out until it is dropped.
    #[expect(dead_code, reason = "held for its drop")]
    rollout: Option<InFlightSend>,
}

impl Context {
    /// Counts a send as running at its target until [`Context::end_send`], or until the request is dropped.
    pub(crate) fn begin_send(&self, target: &TargetInstance) {
        self.pool.record_sent(self.shared.clock.now(), &target.id, &self.call(&[]));
        let rollout = InFlightSend::begin(self, target);
        let running = RunningSend {
            target: target.id.clone(),
            begun: Instant::now(),
            is_late: false,
            is_counted: false,
            rollout,
        };
        self.running.lock().push(running);
        let mut end = self.end.lock();
        target.id.clone_into(&mut end.target);
        end.sends += 1;
        drop(end);
        self.unserved.lock().take();
    }

    /// Records that the running send to a target is late, and counts it as a failure once if `is_failure`.
    pub(crate) fn record_late(&self, target: &str, is_failure: bool) {
        let mut running = self.running.lock();
        let Some(send) = running.iter_mut().find(|it| it.target == target) else { return };
        send.is_late = true;
        if is_failure && !send.is_counted {
            send.is_counted = true;
            self.pool.record_late(self.shared.clock.now(), target);
        }
    }

    /// Records that the running send to a target was answered; returns whether it was late. It does not count as a
    /// failure any longer.
    pub(crate) fn record_resumed(&self, target: &str) -> bool {
        let mut running = self.running.lock();
        let Some(send) = running.iter_mut().find(|it| it.target == target) else { return false };
        if std::mem::take(&mut send.is_counted) {
            self.pool.record_resumed(target);
        }
        std::mem::take(&mut send.is_late)
    }

    /// Time since the running send to a target began, in milliseconds.
    pub(crate) fn ms_since_send(&self, target: &str) -> Millis {
        let running = self.running.lock();
        let begun = running.iter().find(|it| it.target == target).map(|it| it.begun);
        begun.map_or(0, |it| it.elapsed().as_millis() as Millis)
    }

    /// Ends the running send to a target, and calls `record` before the send counts as ended for a roll-out. Returns
    /// how long the send ran, in milliseconds.
    pub(crate) fn end_send(
        &self,
        target: &TargetInstance,
        outcome: CallOutcome,
        record: impl FnOnce(&Context),
    ) -> Millis {
        let mut running = self.running.lock();
        let index = running.iter().position(|it| it.target == target.id);
        let ended = index.map(|it| running.swap_remove(it));
        drop(running);
        if let Some(it) = &ended {
            let is_repeated = it.is_counted && outcome == CallOutcome::Failed;
            let outcome = if is_repeated { CallOutcome::Cancelled } else { outcome };
            let (now, work) = (self.shared.clock.now(), self.call(&[]).work);
            self.pool.record_end(now, &target.id, work, outcome);
        }
        record(self);
        ended.map_or(0, |it| it.begun.elapsed().as_millis() as Millis)
    }
}
