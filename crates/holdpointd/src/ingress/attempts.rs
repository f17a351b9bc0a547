//! The sends made for one request: which target each goes to, and whether one more is allowed.

use std::time::Duration;

use holdpoint_core::{
    confinement::Confinement,
    directory::TargetInstance,
    ids::Name,
    rollout::Lane,
    route::{Call, End, NoTarget},
};

use crate::{
    events::{self, emit},
    ingress::{
        context::Context,
        peer_service::PromptAsk,
        peers::PLACE_LIMIT,
        regions::{limit_for, owner_of},
        rollouts::Running,
    },
    metrics::label,
};

/// The sends made for one request, within its attempts and the retry budget.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    tried: Vec<String>,
    sends: u32,
    /// The send that is under way, where a version is rolled out.
    running: Option<Running>,
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
    /// No target is in the regions that the request is confined to.
    Confined,
    /// The request ended its targets.
    Quarantined,
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
            NoSend::Confined => "confined",
            NoSend::Quarantined => "quarantined",
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
        // It may have ended its last target by now: without this look, a request that was admitted goes on to
        // end the next one.
        if ctx.held_for().is_some() {
            return Err(NoSend::Quarantined);
        }
        self.running = None;
        let (target, reason) = self.choose_in_lane(ctx, inputs).await?;
        let now = ctx.shared.clock.now();
        if self.sends != 0 && !ctx.pool.spend(now, &ctx.shared.pools.terms()) {
            return Err(NoSend::Budget);
        }
        self.sends += 1;
        self.running = Running::begin(ctx, &target);
        ctx.pool.sent(now, &target.id, &ctx.call(&[]));
        ctx.note_send(&target.id);
        let moved = Call { inputs, ..ctx.call(&[]) }.moved_bytes(&target.domain);
        let detail = format!(
            "id={} target={} send={} moved_kb={}{} {reason}",
            ctx.request.id,
            target.id,
            self.sends,
            moved / 1000,
            ctx.shared.limits.shown(&target.id),
        );
        ctx.shared.metrics.moved_bytes.add(moved, &[label("to", "engine")]);
        emit(events::SENT, &ctx.shared.settings.instance, &detail);
        self.tried.push(target.id.clone());
        Ok(target)
    }

    /// Chooses a target among those of the version that the request may go to. Where none of a version
    /// that is rolled out can be had, it goes to another version, unless the roll-out is over.
    async fn choose_in_lane(
        &mut self,
        ctx: &Context,
        inputs: &[(Name, u64)],
    ) -> Result<(TargetInstance, String), NoSend> {
        let rollouts = &ctx.shared.rollouts;
        let now = ctx.shared.clock.now();
        let lane = rollouts.lane(now, &ctx.service, &ctx.route.name);
        if lane == Lane::Any {
            return self.choose(ctx, inputs).await;
        }
        let tried = self.tried.clone();
        self.tried.extend(rollouts.closed(now, &ctx.service, lane));
        let mut chosen = self.choose(ctx, inputs).await;
        if chosen.is_err() && lane == Lane::New {
            self.tried = tried.clone();
            self.tried.extend(rollouts.closed(now, &ctx.service, Lane::Old));
            chosen = self.choose(ctx, inputs).await;
        }
        self.tried = tried;
        chosen.map(|(target, reason)| (target, format!("{reason} rollout={lane:?}")))
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
            let within = ctx.within();
            let share = ctx.shared.pools.share(decides);
            let call = Call { share, inputs, within: within.as_deref(), ..ctx.call(&self.tried) };
            let (policy, region) = (ctx.policy(), ctx.call_region());
            let now = ctx.shared.clock.now();
            let choice = match ctx.pool.place(now, policy.as_deref(), &call, region.as_deref()) {
                Ok(it) => it,
                Err(NoTarget::Cold(ms)) if ctx.may_wait_for(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    continue;
                }
                Err(NoTarget::Cold(_)) => return Err(NoSend::Cold),
                Err(NoTarget::Evacuated) => return Err(NoSend::Evacuated),
                Err(NoTarget::Confined) => return Err(NoSend::Confined),
                Err(NoTarget::Empty | NoTarget::Tried | NoTarget::Full) => {
                    return Err(NoSend::NoTarget);
                }
            };
            if let Some(target) = ctx.open_target(&choice.address) {
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
        let (within, region) = (ctx.within(), ctx.region());
        let address = owner_of(&ctx.shared, &region, &ctx.service, &within)?;
        let mut avoided = ctx.pool.ejected(ctx.shared.clock.now());
        avoided.extend(self.tried.iter().cloned());
        let policy = ctx.arm.as_ref().map(|it| it.policy.clone());
        let (work, prefix_work) = (call.work, call.prefix_work);
        let confinement = within.map_or_else(Confinement::default, |it| it.confinement());
        let inputs = inputs.to_vec();
        let ask = PromptAsk { work, prefix_work, prefix, avoided, policy, inputs, confinement };
        let limit = limit_for(&ctx.shared, &region, PLACE_LIMIT);
        let placed = ctx.shared.peers.place(&ctx.shared, &address, &ctx.service, ask, limit);
        let chosen = placed.await?;
        let target = ctx.open_target(&chosen)?;
        Some((target, format!("placed_by={address}")))
    }

    /// Takes back a send that its target has not run.
    pub(crate) fn take_back(&mut self) {
        self.sends = self.sends.saturating_sub(1);
    }

    /// Takes back a send of which no byte has left. Without its part of the retry budget, targets that are
    /// listed for seconds after their end took that from the requests which were to go on elsewhere.
    pub(crate) fn never_sent(&mut self, ctx: &Context) {
        self.take_back();
        if self.sends != 0 {
            ctx.pool.take_back();
        }
    }
}

/// Ends a send in the books of its pool, with a line in the log unless it went well.
pub(crate) fn end_send(ctx: &Context, target: &TargetInstance, end: End, cause: &'static str) {
    let is_slow = || ctx.pool.is_slow(ctx.shared.clock.now(), &target.id);
    // Two of them in a row would take a target out that has only said that it is slow.
    let end = if cause == "silent" && is_slow() { End::Dropped } else { end };
    ctx.pool.ended(ctx.shared.clock.now(), &target.id, ctx.call(&[]).work, end);
    ctx.shared.rollouts.answered(ctx, target, end, cause);
    let labels = [label("service", ctx.service.as_str()), label("end", cause)];
    ctx.shared.metrics.attempts.add(1, &labels);
    if !matches!(end, End::Whole(_)) {
        let detail = format!(
            "id={} target={} cause={cause} ms={} fingerprint={}",
            ctx.request.id,
            target.id,
            ctx.ms_since_send(),
            ctx.fingerprint()
        );
        emit(events::SEND_FAILED, &ctx.shared.settings.instance, &detail);
    }
}
