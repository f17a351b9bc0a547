//! The sends made for one request: the target of each, whether another one is allowed, and what its end says about its
//! target.

mod choice;
mod late_sends;
mod race;
mod send_end;

use std::{collections::HashMap, sync::Arc, time::Duration};

use holdpoint_core::{
    directory::{TargetId, TargetInstance},
    ids::{Millis, Name},
    route::{Call, CallOutcome, NoTarget},
};

pub(crate) use self::{
    choice::{Chosen, TargetChoice},
    late_sends::{ReplacementSearch, WatchedSend},
    race::{Race, RaceStep, RacingSend},
    send_end::SendEnd,
};
use crate::{
    events::{self, LoggedName, emit},
    ingress::{backoff, context::Context, dispatch::Handoff, limits, paths, stages},
    metrics::label,
};

/// Retry-After of a request whose service has no target, or only draining ones: about the time from the start
/// of a target until it is listed.
pub(crate) const NONE_LEFT_RETRY_MS: Millis = 1000;

/// Shortest Retry-After of work whose targets neither this instance nor a peer reaches, in milliseconds. A lost path
/// is probed about as often.
const NO_PATH_RETRY_MS: Millis = 1000;

/// Retry-After of such work, in milliseconds.
pub(crate) fn no_path_retry_ms() -> Millis {
    backoff::retry_after_ms(NO_PATH_RETRY_MS)
}

/// State of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendState {
    Running,
    /// It was abandoned, since its target was silent.
    Abandoned,
    /// It was cancelled, since an earlier one has answered.
    Overtaken,
    /// The target has not run the request.
    NotRun,
    Failed,
}

/// A send to a target.
#[derive(Debug)]
struct TriedSend {
    target: TargetId,
    handoff: Arc<Handoff>,
    state: SendState,
}

/// The sends made for one request, bounded by its route's attempts and the retry budget.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    tried: Vec<TriedSend>,
    /// Number of targets that may have run the request.
    sends: u32,
}

/// Why no further send is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopCause {
    /// No target is left for this request.
    NoTarget,
    /// The service has no target, or all are draining.
    NoneLeft,
    /// The route's attempts are used up.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// The deadline has passed.
    Time,
    /// The instance is shutting down.
    Stopping,
    /// Every target is in an evacuated failure domain.
    Evacuated,
    /// Every target is cold and has reached its present capacity.
    Cold,
    /// Every target has reached its rate limit; the request may be retried after this many milliseconds.
    Limited(Millis),
    /// Every target has asked this instance to back off; the request may be retried after this many
    /// milliseconds.
    BackingOff(Millis),
    /// No target is in the regions that the request is confined to.
    Confined,
    /// The request continues a stream that an unknown version began.
    UnknownVersion,
    /// No target runs the version that began the stream.
    VersionGone,
    /// The request is quarantined, since targets crashed under it.
    Quarantined,
    /// Neither this instance nor a peer reaches a target.
    NoPath,
}

impl StopCause {
    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            StopCause::NoTarget => "no-target",
            StopCause::NoneLeft => "none-left",
            StopCause::Attempts => "attempts-used",
            StopCause::Budget => "retry-budget",
            StopCause::Time => "time-over",
            StopCause::Stopping => "stopping",
            StopCause::Evacuated => "evacuated",
            StopCause::Cold => "cold",
            StopCause::Limited(_) => "limited",
            StopCause::BackingOff(_) => "backoff",
            StopCause::Confined => "confined",
            StopCause::UnknownVersion => "version-unknown",
            StopCause::VersionGone => "version-gone",
            StopCause::Quarantined => "quarantined",
            StopCause::NoPath => "no-path",
        }
    }

    /// Retry-After of a request that is refused for this cause; `usual` where the cause has no time of its own, `None`
    /// where a later request would not fare better.
    pub(crate) fn retry_after(self, usual: Duration) -> Option<Duration> {
        Some(match self {
            StopCause::UnknownVersion | StopCause::VersionGone => return None,
            StopCause::Limited(ms) | StopCause::BackingOff(ms) => {
                Duration::from_millis(ms).max(usual)
            }
            StopCause::NoneLeft => Duration::from_millis(NONE_LEFT_RETRY_MS),
            StopCause::NoPath => Duration::from_millis(no_path_retry_ms()),
            _ => usual,
        })
    }
}

impl Attempts {
    /// Whether the route's attempts allow another send.
    pub(crate) fn may_repeat(&self, ctx: &Context) -> bool {
        self.sends < ctx.route.attempts
    }

    /// Whether another send may follow, whichever its target is.
    pub(crate) fn check(ctx: &Context) -> Result<(), StopCause> {
        if ctx.left().is_zero() {
            return Err(StopCause::Time);
        }
        // The request may have been quarantined since its admission. Without this check, one that crashed its
        // last target would go on to crash the next.
        if ctx.quarantine_left().is_some() {
            return Err(StopCause::Quarantined);
        }
        if ctx.shared.paths.is_unreachable(ctx.shared.clock.now(), &ctx.service) {
            return Err(StopCause::NoPath);
        }
        Ok(())
    }

    /// The targets that the request was sent to.
    pub(crate) fn tried_targets(&self) -> Vec<TargetId> {
        self.tried.iter().map(|it| it.target.clone()).collect()
    }

    /// Targets of running sends that another way may reach: through a peer where their own path is lost, through another
    /// peer where the one that relays the send has failed.
    pub(crate) fn relayable(&self, ctx: &Context) -> Vec<TargetId> {
        let (now, relays) = (ctx.shared.clock.now(), ctx.shared.peers.relays());
        if relays.is_empty() {
            return Vec::new();
        }
        // A target whose latest send has just begun is not sent to again.
        let running = self.tried.iter().filter(|it| it.state == SendState::Running);
        let is_relayable = |it: &TriedSend| match it.handoff.peer() {
            Some(peer) => !relays.contains(&peer),
            None => it.handoff.at().is_some() && ctx.shared.paths.is_lost(now, &it.target),
        };
        let last: HashMap<&TargetId, bool> =
            running.map(|it| (&it.target, is_relayable(it))).collect();
        last.into_iter().filter(|it| it.1).map(|it| it.0.clone()).collect()
    }

    /// Targets that the request may be sent to again, unless it runs there: those whose sends were abandoned or
    /// overtaken, and those that have not run it if its answer `has_begun`, which only another send can complete.
    pub(crate) fn returnable(&self, has_begun: bool) -> Vec<TargetId> {
        let mut last = HashMap::new();
        for it in &self.tried {
            let state = last.entry(it.target.clone()).or_insert(it.state);
            if *state != SendState::Running {
                *state = it.state;
            }
        }
        let is_returnable = |state: SendState| match state {
            SendState::Abandoned | SendState::Overtaken => true,
            SendState::NotRun => has_begun,
            SendState::Running | SendState::Failed => false,
        };
        last.into_iter().filter_map(|it| is_returnable(it.1).then_some(it.0)).collect()
    }

    /// Counts a send to a chosen target.
    pub(crate) fn begin(
        &mut self,
        ctx: &Context,
        is_continued: bool,
        chosen: &Chosen,
        (inputs, handoff): (&[(Name, u64)], &Arc<Handoff>),
    ) {
        let Chosen { target, reason, is_return, .. } = chosen;
        // A return adds no target to those that the route's attempts bound.
        if !is_return {
            self.sends += 1;
        }
        ctx.begin_send(target);
        if !is_continued {
            ctx.record_stream_send(target);
        }
        let moved = Call { inputs, ..ctx.call(&[]) }.moved_bytes(&target.domain);
        let detail = format!(
            "id={} target={} target_version={} send={} moved_kb={}{} {reason}",
            LoggedName(&ctx.request.id),
            target.id,
            target.version,
            self.sends,
            moved / 1000,
            ctx.shared.limits.log_suffix(&target.id),
        );
        ctx.shared.metrics.moved_bytes.add(moved, &[label("to", "engine")]);
        emit(events::SENT, &ctx.shared.settings.instance, &detail);
        self.tried.push(TriedSend {
            target: target.id.clone(),
            handoff: handoff.clone(),
            state: SendState::Running,
        });
    }

    /// Whether the next send is one of those that the retry budget bounds.
    pub(crate) fn is_repeated(&self) -> bool {
        self.sends != 0
    }

    /// The running send to a target.
    pub(crate) fn handoff_of(&self, target: &TargetInstance) -> Option<Arc<Handoff>> {
        let is_running = |it: &&TriedSend| it.target == target.id && it.state == SendState::Running;
        self.tried.iter().rfind(is_running).map(|it| it.handoff.clone())
    }

    fn set_state(&mut self, handoff: &Arc<Handoff>, state: SendState) {
        let send = self.tried.iter_mut().find(|it| Arc::ptr_eq(&it.handoff, handoff));
        if let Some(it) = send {
            it.state = state;
        }
    }

    /// Whether the last send to a target failed there.
    pub(crate) fn has_failed(&self, target: &TargetInstance) -> bool {
        let last = self.tried.iter().rfind(|it| it.target == target.id);
        last.is_some_and(|it| it.state == SendState::Failed)
    }

    /// Records that a send was abandoned, since its target is silent.
    pub(crate) fn abandoned(&mut self, handoff: &Arc<Handoff>) {
        self.set_state(handoff, SendState::Abandoned);
    }

    /// Records that a send was cancelled, since an earlier one has answered.
    pub(crate) fn overtaken(&mut self, handoff: &Arc<Handoff>) {
        handoff.cancel();
        self.set_state(handoff, SendState::Overtaken);
    }

    /// Records that a target has not run the request.
    pub(crate) fn not_run(&mut self, handoff: &Arc<Handoff>) {
        self.set_state(handoff, SendState::NotRun);
    }

    /// Records that a send failed at its target.
    pub(crate) fn failed(&mut self, handoff: &Arc<Handoff>) {
        self.set_state(handoff, SendState::Failed);
    }

    /// Uncounts a send that its target has not run.
    pub(crate) fn uncount(&mut self, is_return: bool) {
        self.sends = self.sends.saturating_sub(u32::from(!is_return));
    }
}

/// Failure domain of the target that the request is likely to go to after its stages; empty where that is
/// not known. An error means that the stages would run in vain.
pub(crate) fn likely_domain(ctx: &Context) -> Result<Name, StopCause> {
    let now = ctx.shared.clock.now();
    if ctx.shared.paths.is_unreachable(now, &ctx.service) {
        return Err(StopCause::NoPath);
    }
    let (within, region) = (ctx.within(), ctx.call_region());
    let call = Call { within: within.as_deref(), ..ctx.call(&[]) };
    let likely = ctx.pool.choose(now, None, &call, region.as_deref(), &ctx.shared);
    match likely {
        Err(NoTarget::Empty) => return Err(StopCause::NoneLeft),
        Err(NoTarget::Evacuated) => return Err(StopCause::Evacuated),
        Err(NoTarget::Confined) => return Err(StopCause::Confined),
        // A shorter backoff may end while the stages run.
        Err(NoTarget::BackingOff(ms))
            if stages::expected_total_ms(ctx) + ctx.longest_wait_ms() < ms =>
        {
            return Err(StopCause::BackingOff(backoff::retry_after_ms(ms)));
        }
        _ => (),
    }
    let limited_ms = match likely {
        Err(NoTarget::Limited(ms)) => ms,
        _ => ctx.pool.refused_ms(now),
    };
    if ctx.longest_wait_ms() < limited_ms {
        let placers = ctx.shared.peers.instance_count();
        let ms = limits::return_ms(&ctx.shared, &ctx.pool, limited_ms, placers);
        return Err(StopCause::Limited(ms));
    }
    let target = likely.ok().and_then(|it| ctx.open_target(&it.address));
    Ok(target.map_or(String::new(), |it| it.domain))
}

/// Records that a running send is late, which counts as a failure of its target, so that other requests avoid the target.
pub(crate) fn record_late(ctx: &Context, target: &TargetInstance) {
    let (end, _) = judge(ctx, target, (CallOutcome::Failed, "silent"));
    ctx.record_late(&target.id, end == CallOutcome::Failed);
    count_late(ctx, "late");
}

/// Records that the target of a late send has answered.
pub(crate) fn record_resumed(ctx: &Context, target: &TargetInstance) {
    if !ctx.record_resumed(&target.id) {
        return;
    }
    let (id, ms) = (&ctx.request.id, ctx.ms_since_send(&target.id));
    let detail = format!("id={} target={} ms={ms}", LoggedName(id), target.id);
    emit(events::SEND_RESUMED, &ctx.shared.settings.instance, &detail);
    count_late(ctx, "answered");
}

/// Counts what becomes of a late send.
pub(crate) fn count_late(ctx: &Context, state: &'static str) {
    let labels = [label("service", ctx.service.as_str()), label("state", state)];
    ctx.shared.metrics.late_sends.add(1, &labels);
}

/// What the end of a send says about its target, and its cause for the log.
fn judge(
    ctx: &Context,
    target: &TargetInstance,
    (end, cause): (CallOutcome, &'static str),
) -> (CallOutcome, &'static str) {
    let now = ctx.shared.clock.now();
    // A lost path says nothing about the target or its version.
    let is_cut = || ctx.shared.paths.is_cut(&target.id);
    match (end, cause) {
        // While the own link or processor is full, all targets seem slow or silent.
        (CallOutcome::Failed, "silent" | "not-sent") if ctx.shared.own_load.is_strained(now) => {
            (CallOutcome::Cancelled, "own-delay")
        }
        (CallOutcome::Failed, "silent" | "broken" | "not-sent") if is_cut() => {
            (CallOutcome::Cancelled, "path-lost")
        }
        // Two timeouts in a row would eject a target that has announced that it is slow.
        (CallOutcome::Failed, "silent") if ctx.pool.is_slow(now, &target.id) => {
            (CallOutcome::Cancelled, cause)
        }
        it => it,
    }
}

/// Records the end of a send in its pool, and logs it unless the send succeeded.
pub(crate) fn end_send(
    ctx: &Context,
    target: &TargetInstance,
    end: CallOutcome,
    cause: &'static str,
) {
    let (end, cause) = judge(ctx, target, (end, cause));
    let is_strained = ctx.shared.own_load.is_strained(ctx.shared.clock.now());
    let learned = match end {
        CallOutcome::Completed(_) if is_strained => CallOutcome::Cancelled,
        it => it,
    };
    let ms = ctx.end_send(target, learned, |ctx| {
        ctx.shared.rollouts.send_ended(ctx, target, end, cause);
    });
    let labels = [label("service", ctx.service.as_str()), label("end", cause)];
    ctx.shared.metrics.attempts.add(1, &labels);
    if !matches!(end, CallOutcome::Completed(_)) {
        let parts = ctx.head.prompt.shared_parts().iter().map(|it| format!("{:x}", it.id));
        let detail = format!(
            "id={} target={} cause={cause} ms={} heard_ms={} fingerprint={} parts={}",
            LoggedName(&ctx.request.id),
            target.id,
            ms,
            paths::heard_ms(&ctx.shared, &target.id),
            ctx.fingerprint(),
            parts.collect::<Vec<_>>().join(",")
        );
        emit(events::SEND_FAILED, &ctx.shared.settings.instance, &detail);
    }
}
