//! A request in flight to a service with an active roll-out.

use std::{sync::Arc, time::Duration};

use holdpoint_core::{directory::TargetInstance, rollout::Answer};

use holdpoint_platform::Instant;

use crate::{
    ingress::{context::Context, rollouts::version_label, shared::IngressShared},
    metrics::label,
};

/// Counts a request as in flight until it is dropped. A request dropped without an answer after the time
/// in which answers are due counts as silent: its caller has disconnected, or its deadline has passed.
pub(crate) struct InFlightSend {
    shared: Arc<IngressShared>,
    target: TargetInstance,
    route: String,
    is_new: bool,
    begun: Instant,
    due: Duration,
    id: String,
}

impl std::fmt::Debug for InFlightSend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").field("target", &self.target.id).finish_non_exhaustive()
    }
}

impl InFlightSend {
    /// Counts a request as sent; `None` if the service has no roll-out.
    pub(crate) fn begin(ctx: &Context, target: &TargetInstance) -> Option<InFlightSend> {
        let rollouts = &ctx.shared.rollouts;
        if !rollouts.is_active() {
            return None;
        }
        let mut local = rollouts.local.lock();
        let it = local.get_mut(&target.service)?;
        let is_new = target.version == it.gate.order().version;
        it.gate.count_reached(1);
        it.unanswered.insert((ctx.request.id.clone(), target.id.clone()));
        if !is_new {
            it.gate.begin_old();
        }
        let labels = [label("service", target.service.as_str()), version_label(is_new)];
        ctx.shared.metrics.rollout_sends.add(1, &labels);
        Some(InFlightSend {
            shared: ctx.shared.clone(),
            target: target.clone(),
            route: ctx.route.name.clone(),
            is_new,
            begun: Instant::now(),
            due: ctx.target_time(),
            id: ctx.request.id.clone(),
        })
    }
}

impl Drop for InFlightSend {
    fn drop(&mut self) {
        let mut local = self.shared.rollouts.local.lock();
        let Some(it) = local.get_mut(&self.target.service) else { return };
        if !self.is_new {
            it.gate.end_old();
        }
        let key = (self.id.clone(), self.target.id.clone());
        if it.unanswered.remove(&key) && self.due <= self.begun.elapsed() {
            it.gate.record_answer(&self.route, self.is_new, Answer::TimedOut);
        }
    }
}
