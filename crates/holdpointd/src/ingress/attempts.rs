//! The sends made for one request: which target each goes to, and whether one more is allowed.

use std::time::Duration;

use holdpoint_core::{
    directory::TargetInstance,
    ids::Name,
    route::{Call, End, NoTarget},
};

use crate::{
    events::{self, emit},
    ingress::{
        context::Context,
        peer_service::PromptAsk,
        peers::PLACE_LIMIT,
        regions::{batcher_of, limit_for},
    },
    metrics::label,
};

/// The sends made for one request, within its attempts and the retry budget.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    tried: Vec<String>,
    sends: u32,
}

/// Why no further send is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSend {
    /// No target is left.
    NoTarget,
    /// The route's attempts are used up.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// The time is over.
    Time,
    /// The instance is about to end.
    Stopping,
    /// Every target stands in an evacuated failure domain.
    Evacuated,
    /// Every target is cold and carries no more for now.
    Cold,
}

impl NoSend {
    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            NoSend::NoTarget => "no-target",
            NoSend::Attempts => "attempts-used",
            NoSend::Budget => "retry-budget",
            NoSend::Time => "time-over",
            NoSend::Stopping => "stopping",
            NoSend::Evacuated => "evacuated",
            NoSend::Cold => "cold",
        }
    }
}

impl Attempts {
    /// Whether one more send would be within the route's attempts.
    pub(crate) fn may_repeat(&self, ctx: &Context) -> bool {
        self.sends < ctx.route.attempts
    }

    /// Chooses the target of the next send and counts the send. `inputs` are the bytes that the target
    /// fetches, by the failure domain that they lie in.
    pub(crate) async fn next(
        &mut self,
        ctx: &Context,
        inputs: &[(Name, u64)],
    ) -> Result<TargetInstance, NoSend> {
        if ctx.left().is_zero() {
            return Err(NoSend::Time);
        }
        if !self.may_repeat(ctx) {
            return Err(NoSend::Attempts);
        }
        let (target, reason) = self.choose(ctx, inputs).await?;
        let now = ctx.shared.clock.now();
        if self.sends != 0 && !ctx.pool.spend(now, &ctx.shared.pools.terms()) {
            return Err(NoSend::Budget);
        }
        self.sends += 1;
        ctx.pool.sent(now, &target.id, &ctx.call(&[]));
        ctx.note_send(&target.id);
        let moved = Call { inputs, ..ctx.call(&[]) }.moved_bytes(&target.domain);
        let detail = format!(
            "id={} target={} send={} moved_kb={} {reason}",
            ctx.request.id,
            target.id,
            self.sends,
            moved / 1000
        );
        ctx.shared.metrics.moved_bytes.add(moved, &[label("to", "engine")]);
        emit(events::SENT, &ctx.shared.settings.instance, &detail);
        self.tried.push(target.id.clone());
        Ok(target)
    }

    /// Chooses a target, with the reason for the log. Prompts are placed by one instance for all,
    /// since an engine that reads a long prompt holds up all that run there, whoever sent them.
    async fn choose(
        &mut self,
        ctx: &Context,
        inputs: &[(Name, u64)],
    ) -> Result<(TargetInstance, String), NoSend> {
        let chosen = self.choose_at_peer(ctx, inputs).await;
        let place = if chosen.is_some() { "peer" } else { "here" };
        ctx.shared.metrics.placements.add(1, &[label("by", place)]);
        if let Some(it) = chosen {
            return Ok(it);
        }
        loop {
            let decides = ctx.decides();
            let share = ctx.shared.pools.share(decides);
            let call = Call { share, inputs, ..ctx.call(&self.tried) };
            let policy = ctx.policy();
            let now = ctx.shared.clock.now();
            let choice = match ctx.pool.place(now, policy.as_deref(), &call, ctx.call_region()) {
                Ok(it) => it,
                Err(NoTarget::Cold(ms)) if ctx.may_wait_for(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    continue;
                }
                Err(NoTarget::Cold(_)) => return Err(NoSend::Cold),
                Err(NoTarget::Evacuated) => return Err(NoSend::Evacuated),
                Err(NoTarget::Empty | NoTarget::Tried | NoTarget::Full) => {
                    return Err(NoSend::NoTarget);
                }
            };
            if let Some(target) = ctx.shared.open_target(&choice.address) {
                let reason = format!(
                    "compared={} ejected={} predicted_ms={:.0} prefix={}",
                    choice.reason.compared,
                    choice.reason.ejected,
                    choice.reason.predicted,
                    choice.reason.prefix_hit
                );
                return Ok((target, reason));
            }
            self.tried.push(choice.address);
        }
    }

    async fn choose_at_peer(
        &self,
        ctx: &Context,
        inputs: &[(Name, u64)],
    ) -> Option<(TargetInstance, String)> {
        let call = ctx.call(&self.tried);
        let prefix = call.prefix?;
        let address = batcher_of(&ctx.shared, &ctx.region, &ctx.service)?;
        let mut avoided = ctx.pool.ejected(ctx.shared.clock.now());
        avoided.extend(self.tried.iter().cloned());
        let policy = ctx.arm.as_ref().map(|it| it.policy.clone());
        let (work, prefix_work) = (call.work, call.prefix_work);
        let inputs = inputs.to_vec();
        let ask = PromptAsk { work, prefix_work, prefix, avoided, policy, inputs };
        let limit = limit_for(&ctx.shared, &ctx.region, PLACE_LIMIT);
        let placed = ctx.shared.peers.place(&ctx.shared, &address, &ctx.service, ask, limit);
        let chosen = placed.await?;
        let target = ctx.shared.open_target(&chosen)?;
        Some((target, format!("placed_by={address}")))
    }

    /// Takes back a send of which no byte has left.
    pub(crate) fn take_back(&mut self) {
        self.sends = self.sends.saturating_sub(1);
    }
}

/// Ends a send in the books of its pool, with a line in the log unless it went well.
pub(crate) fn end_send(ctx: &Context, target: &TargetInstance, end: End, cause: &'static str) {
    ctx.pool.ended(ctx.shared.clock.now(), &target.id, ctx.call(&[]).work, end);
    let labels = [label("service", ctx.service.as_str()), label("end", cause)];
    ctx.shared.metrics.attempts.add(1, &labels);
    if !matches!(end, End::Whole(_)) {
        let detail = format!("id={} target={} cause={cause}", ctx.request.id, target.id);
        emit(events::SEND_FAILED, &ctx.shared.settings.instance, &detail);
    }
}
