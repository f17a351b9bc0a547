//! The sends made for one request: which target each goes to, and whether one more is allowed.

use std::time::Duration;

use holdpoint_core::{
    confinement::Confinement,
    directory::{TargetId, TargetInstance},
    ids::{Millis, Name},
    rollout::Lane,
    route::{Call, End, NoTarget},
};

use crate::{
    events::{self, emit},
    ingress::{
        backoff,
        context::Context,
        limits::{self, Assignment, Permit},
        peer_service::{LIMITS, PromptAsk},
        peers::PLACE_LIMIT,
        regions::{limit_for, owner_of},
        rollouts::Running,
        stages,
    },
    metrics::label,
};

/// When a request may come back whose service has no target that stays, in milliseconds: another one needs
/// about that long to be listed once it has started, and when one does is not known.
pub(crate) const NONE_LEFT_RETURN_MS: Millis = 1000;

/// The sends made for one request, within its attempts and the retry budget.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    tried: Vec<String>,
    sends: u32,
    /// The send that is under way, where a version is rolled out.
    running: Option<Running>,
}

/// A target that was chosen for a send.
struct Chosen {
    target: TargetInstance,
    permit: Permit,
    /// Why, for the log.
    reason: String,
}

/// Why no further send is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GiveUpCause {
    /// No target is left for this request.
    NoTarget,
    /// The service has no target that stays.
    NoneLeft,
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
    /// Every target has got what it takes; the request may come back in so many milliseconds.
    Limited(Millis),
    /// Every target has asked this instance to back off; the request may come back in so many milliseconds.
    BackingOff(Millis),
    /// No target is in the regions that the request is confined to.
    Confined,
    /// The request ended its targets.
    Quarantined,
}

impl GiveUpCause {
    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            GiveUpCause::NoTarget => "no-target",
            GiveUpCause::NoneLeft => "none-left",
            GiveUpCause::Attempts => "attempts-used",
            GiveUpCause::Budget => "retry-budget",
            GiveUpCause::Time => "time-over",
            GiveUpCause::Stopping => "stopping",
            GiveUpCause::Evacuated => "evacuated",
            GiveUpCause::Cold => "cold",
            GiveUpCause::Limited(_) => "limited",
            GiveUpCause::BackingOff(_) => "backoff",
            GiveUpCause::Confined => "confined",
            GiveUpCause::Quarantined => "quarantined",
        }
    }

    /// When a request that is refused for it may come back, where that is not known to be later than usual.
    pub(crate) fn return_after(self, usual: Duration) -> Duration {
        match self {
            GiveUpCause::Limited(ms) | GiveUpCause::BackingOff(ms) => {
                Duration::from_millis(ms).max(usual)
            }
            GiveUpCause::NoneLeft => Duration::from_millis(NONE_LEFT_RETURN_MS),
            _ => usual,
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
    ) -> Result<(TargetInstance, Permit), GiveUpCause> {
        if ctx.left().is_zero() {
            return Err(GiveUpCause::Time);
        }
        if !self.may_repeat(ctx) {
            return Err(GiveUpCause::Attempts);
        }
        // It may have ended its last target by now: without this look, a request that was admitted goes on to
        // end the next one.
        if ctx.held_for().is_some() {
            return Err(GiveUpCause::Quarantined);
        }
        self.running = None;
        let Chosen { target, permit, reason } = self.choose_in_lane(ctx, inputs).await?;
        let now = ctx.shared.clock.now();
        if self.sends != 0 && !ctx.pool.spend(now, &ctx.shared.pools.terms()) {
            return Err(GiveUpCause::Budget);
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
        Ok((target, permit))
    }

    /// Chooses a target among those of the version that the request may go to. Where none of a version
    /// that is rolled out can be had, it goes to another version, unless the roll-out is over.
    async fn choose_in_lane(
        &mut self,
        ctx: &Context,
        inputs: &[(Name, u64)],
    ) -> Result<Chosen, GiveUpCause> {
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
        chosen.map(|it| Chosen { reason: format!("{} rollout={lane:?}", it.reason), ..it })
    }

    /// Chooses a target, with the reason for the log. Prompts are placed by one instance for all,
    /// since an engine that reads a long prompt holds up all that run there, whoever sent them.
    async fn choose(
        &mut self,
        ctx: &Context,
        inputs: &[(Name, u64)],
    ) -> Result<Chosen, GiveUpCause> {
        let chosen = self.choose_at_peer(ctx, inputs).await?;
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
            let choosing =
                limits::choose(&ctx.shared, &ctx.pool, policy.as_deref(), &call, region.as_deref());
            let (choice, permit) = match choosing.await {
                Ok(it) => it,
                Err(NoTarget::Limited(ms)) if ms <= ctx.longest_wait_ms() => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    continue;
                }
                Err(NoTarget::Limited(ms)) => {
                    let deciders = if decides { 1 } else { ctx.shared.peers.instance_count() };
                    let ms = limits::return_ms(&ctx.shared, &ctx.pool, ms, deciders);
                    return Err(GiveUpCause::Limited(ms));
                }
                Err(NoTarget::BackingOff(ms)) => match backoff::wait(ms, ctx.longest_wait_ms()) {
                    Some(it) => {
                        tokio::time::sleep(it).await;
                        continue;
                    }
                    None => return Err(GiveUpCause::BackingOff(backoff::return_ms(ms))),
                },
                Err(NoTarget::Cold(ms)) if ctx.may_wait_for(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    continue;
                }
                Err(NoTarget::Cold(_)) => return Err(GiveUpCause::Cold),
                Err(NoTarget::Evacuated) => return Err(GiveUpCause::Evacuated),
                Err(NoTarget::Confined) => return Err(GiveUpCause::Confined),
                Err(NoTarget::Empty) => return Err(GiveUpCause::NoneLeft),
                Err(NoTarget::Tried | NoTarget::Full) => return Err(GiveUpCause::NoTarget),
            };
            if let Some(target) = ctx.open_target(&choice.address) {
                let reason = format!(
                    "compared={} ejected={} predicted_ms={:.0} prefix={}",
                    choice.reason.compared,
                    choice.reason.ejected,
                    choice.reason.predicted,
                    choice.reason.prefix_hit
                );
                return Ok(Chosen { target, permit, reason });
            }
            self.tried.push(choice.address);
        }
    }

    /// Has the instance that places the prompts of the service choose; `None` where that is this one, or it
    /// does not answer.
    async fn choose_at_peer(
        &self,
        ctx: &Context,
        inputs: &[(Name, u64)],
    ) -> Result<Option<Chosen>, GiveUpCause> {
        let mut ejected = ctx.pool.ejected(ctx.shared.clock.now());
        loop {
            let (within, region) = (ctx.within(), ctx.region());
            let owner = owner_of(&ctx.shared, &region, &ctx.service, &within);
            let Some((prompt, address)) = self.prompt_ask(ctx, inputs, &ejected).zip(owner) else {
                return Ok(None);
            };
            let is_free = within.is_none() && prompt.avoided.is_empty();
            let limit = limit_for(&ctx.shared, &region, PLACE_LIMIT);
            let peers = &ctx.shared.peers;
            let assignment = if peers.protocol_of(&address) < LIMITS {
                let placed = peers.place(&ctx.shared, &address, &ctx.service, prompt, limit);
                placed.await.map(|target| Assignment::To { target, is_taken: false })
            } else {
                let ask = (prompt, ctx.longest_wait_ms());
                peers.assign(&ctx.shared, &address, &ctx.service, ask, limit).await
            };
            match assignment {
                Some(Assignment::To { target, is_taken }) => {
                    let Some(target) = ctx.open_target(&target) else { return Ok(None) };
                    let permit = if is_taken {
                        Ok(Permit::assigned())
                    } else {
                        limits::ask(&ctx.shared, &target).await
                    };
                    let reason = format!("placed_by={address}");
                    // Whoever placed it has not heard of its limit yet, and does now.
                    return Ok(permit.ok().map(|permit| Chosen { target, permit, reason }));
                }
                // Better one that has failed of late than none.
                Some(Assignment::Wait(_) | Assignment::Later { .. }) if !ejected.is_empty() => {
                    ejected.clear();
                }
                Some(Assignment::Wait(ms)) if ms <= ctx.longest_wait_ms() => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                }
                Some(Assignment::Wait(ms)) => return Err(GiveUpCause::Limited(ms)),
                Some(Assignment::Later { soonest_ms, return_ms }) => {
                    // It may be refused only since it may not go elsewhere.
                    if is_free {
                        ctx.pool.refuse_for(ctx.shared.clock.now(), soonest_ms);
                    }
                    return Err(GiveUpCause::Limited(return_ms));
                }
                Some(Assignment::Nowhere) | None => return Ok(None),
            }
        }
    }

    /// What whoever places prompts has to know of this one, where some targets are left out; `None` where it
    /// is none.
    fn prompt_ask(
        &self,
        ctx: &Context,
        inputs: &[(Name, u64)],
        ejected: &[TargetId],
    ) -> Option<PromptAsk> {
        let call = ctx.call(&self.tried);
        let mut avoided: Vec<TargetId> = ejected.iter().chain(&self.tried).cloned().collect();
        // Whoever places it does not know whom they have asked to back off.
        let now = ctx.shared.clock.now();
        let backoffs = ctx.shared.backoffs.lock();
        avoided.extend(backoffs.of_service(now, &ctx.service).map(|it| it.0.clone()));
        drop(backoffs);
        let confinement = ctx.within().map_or_else(Confinement::default, |it| it.confinement());
        Some(PromptAsk {
            work: call.work,
            prefix_work: call.prefix_work,
            prefix: call.prefix?,
            avoided,
            policy: ctx.arm.as_ref().map(|it| it.policy.clone()),
            inputs: inputs.to_vec(),
            confinement,
        })
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

/// Failure domain of the target that a request is likely to go to once its stages are made. An error tells that they
/// would be made for nothing.
pub(crate) fn likely_domain(ctx: &Context) -> Result<Name, GiveUpCause> {
    let now = ctx.shared.clock.now();
    let (within, region) = (ctx.within(), ctx.call_region());
    let call = Call { within: within.as_deref(), ..ctx.call(&[]) };
    let likely = ctx.pool.choose(now, None, &call, region.as_deref(), &ctx.shared);
    match likely {
        Err(NoTarget::Empty) => return Err(GiveUpCause::NoneLeft),
        Err(NoTarget::Evacuated) => return Err(GiveUpCause::Evacuated),
        Err(NoTarget::Confined) => return Err(GiveUpCause::Confined),
        // It ends while the stages are made, perhaps.
        Err(NoTarget::BackingOff(ms))
            if stages::usual_total_ms(ctx) + ctx.longest_wait_ms() < ms =>
        {
            return Err(GiveUpCause::BackingOff(backoff::return_ms(ms)));
        }
        _ => (),
    }
    let limited_ms = match likely {
        Err(NoTarget::Limited(ms)) => ms,
        _ => ctx.pool.refused_ms(now),
    };
    if ctx.longest_wait_ms() < limited_ms {
        let deciders = ctx.shared.peers.instance_count();
        let ms = limits::return_ms(&ctx.shared, &ctx.pool, limited_ms, deciders);
        return Err(GiveUpCause::Limited(ms));
    }
    let target = likely.ok().and_then(|it| ctx.open_target(&it.address));
    Ok(target.map_or(String::new(), |it| it.domain))
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
