//! One request on its way: what is known of it, the sends made for it, how it ended.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use holdpoint_adapter::headers::{Added, CallerHead};
use holdpoint_core::{
    directory::TargetInstance,
    ids::{Millis, Name},
    ingress::{IngressRoute, Repeat, Shape, Version},
    ledger::Ledger,
    route::{Call, End, NoTarget},
};
use parking_lot::Mutex;

use crate::{
    events::{self, emit},
    ingress::{
        connections::Care,
        peer_service::PromptAsk,
        pools::Pool,
        send::{CallerRequest, left},
        shared::IngressShared,
    },
    metrics::label,
    shared::Working,
};

/// Work of a generation before its first token, in tokens read.
const GENERATION_BASE: f64 = 2000.0;

/// Part of a route's time that a caller who asks for the first time waits at least.
const FIRST_ASK: f64 = 0.97;

/// One request on its way.
pub(crate) struct Context {
    pub(crate) shared: Arc<IngressShared>,
    pub(crate) request: CallerRequest,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<IngressRoute>,
    pub(crate) service: Name,
    pub(crate) pool: Arc<Pool>,
    pub(crate) organisation: Option<Name>,
    pub(crate) rank: u32,
    pub(crate) version: Version,
    pub(crate) arrived: Instant,
    /// When the request gets its final answer at the latest.
    pub(crate) until: Instant,
    pub(crate) ledger: Ledger,
    end: Mutex<EndLine>,
    _working: Working,
}

/// What the line at the end of a request says.
#[derive(Clone, Debug, Default)]
struct EndLine {
    status: u16,
    cause: &'static str,
    target: String,
    sends: u32,
    first_ms: u64,
    stages_ms: u64,
    longest_gap_ms: u64,
}

/// The parts that a context is made of.
pub(crate) struct Parts {
    pub(crate) request: CallerRequest,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<IngressRoute>,
    pub(crate) service: Name,
    pub(crate) organisation: Option<Name>,
    pub(crate) rank: u32,
    pub(crate) version: Version,
    pub(crate) arrived: Instant,
    pub(crate) working: Working,
}

impl Context {
    /// Makes the context of a request that was read and found to be allowed.
    pub(crate) fn new(shared: Arc<IngressShared>, parts: Parts) -> Context {
        let limit = parts.route.time_limit(parts.head.patience);
        let pool = shared.pools.of(&parts.service);
        pool.request(shared.clock.now(), &shared.pools.terms());
        Context {
            shared,
            request: parts.request,
            head: parts.head,
            route: parts.route,
            service: parts.service,
            pool,
            organisation: parts.organisation,
            rank: parts.rank,
            version: parts.version,
            arrived: parts.arrived,
            until: parts.arrived + limit,
            ledger: Ledger::new(),
            end: Mutex::default(),
            _working: parts.working,
        }
    }

    /// Time left until the final answer is due.
    pub(crate) fn left(&self) -> Duration {
        left(self.until)
    }

    /// Time within which an answer earns its full worth.
    pub(crate) fn target_time(&self) -> Duration {
        Duration::from_millis(self.route.target_ms)
    }

    /// Whether the request may run again.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Free
    }

    /// Whether its caller has likely asked before: it waits for less than the route allows.
    pub(crate) fn has_asked_before(&self) -> bool {
        let timeout = Duration::from_millis(self.route.timeout_ms);
        self.head.patience.is_some_and(|it| it < timeout.mul_f64(FIRST_ASK))
    }

    /// How carefully connections are chosen for it.
    pub(crate) fn care(&self) -> Care {
        if self.is_repeatable() { Care::Usual } else { Care::Once }
    }

    /// What the system adds to the request for a target.
    pub(crate) fn added<'a>(
        &'a self,
        target: &'a TargetInstance,
        last_event: Option<&'a str>,
        inputs: &'a [String],
    ) -> Added<'a> {
        let is_generation = matches!(self.route.shape, Shape::Events { .. });
        Added {
            target: &target.id,
            left: self.left(),
            organisation: self.organisation.as_deref(),
            last_event,
            inputs,
            urgency: is_generation.then_some(self.rank.min(9)),
        }
    }

    /// The request as routing sees it.
    pub(crate) fn call<'a>(&self, tried: &'a [String]) -> Call<'a> {
        let prompt = &self.head.prompt;
        let is_generation = !prompt.parts.is_empty();
        let work =
            if is_generation { GENERATION_BASE + f64::from(prompt.tokens_to_read()) } else { 1.0 };
        Call {
            work,
            prefix_work: f64::from(prompt.shared_tokens()),
            prefix: prompt.affinity(),
            tried,
            cap: u32::MAX,
        }
    }

    /// Notes how long the stages took.
    pub(crate) fn note_stages(&self, begun: Instant) {
        self.end.lock().stages_ms = begun.elapsed().as_millis() as u64;
    }

    /// Whether it was sent to a target already.
    pub(crate) fn was_sent(&self) -> bool {
        self.end.lock().sends != 0
    }

    /// Notes that a target began to answer.
    pub(crate) fn note_first(&self) {
        self.end.lock().first_ms = self.arrived.elapsed().as_millis() as u64;
    }

    /// Time from a send to the first event that so many of a hundred streams of the route keep, in
    /// milliseconds; `None` where too few were measured.
    pub(crate) fn first_event_ms(&self, percent: u32) -> Option<Millis> {
        let times = self.shared.first_times.of(&self.route.name, Default::default);
        times.lock().quantile(f64::from(percent) / 100.0)
    }

    /// Takes in the time from a send to the first event.
    pub(crate) fn first_event_took(&self, ms: Millis) {
        let times = self.shared.first_times.of(&self.route.name, Default::default);
        times.lock().record(self.shared.clock.now(), ms);
    }

    /// Notes a pause between two events that were passed on.
    pub(crate) fn note_gap(&self, gap: Duration) {
        let mut end = self.end.lock();
        end.longest_gap_ms = end.longest_gap_ms.max(gap.as_millis() as u64);
    }

    /// Notes how the request ends; the last note counts.
    pub(crate) fn note_end(&self, status: u16, cause: &'static str) {
        let mut end = self.end.lock();
        end.status = status;
        end.cause = cause;
    }

    fn note_send(&self, target: &str) {
        let mut end = self.end.lock();
        target.clone_into(&mut end.target);
        end.sends += 1;
    }
}

impl Drop for Context {
    fn drop(&mut self) {
        let end = self.end.lock().clone();
        let cause = if end.cause.is_empty() { "caller-gone" } else { end.cause };
        let ms = self.arrived.elapsed().as_millis() as u64;
        let detail = format!(
            "id={} route={} version={} service={} target={} sends={} status={} cause={cause} \
             stages_ms={} first_ms={} gap_ms={} ms={ms} aim_ms={}",
            self.request.id,
            self.route.name,
            self.version,
            self.service,
            end.target,
            end.sends,
            end.status,
            end.stages_ms,
            end.first_ms,
            end.longest_gap_ms,
            self.route.target_ms,
        );
        emit(events::REQUEST_ENDED, &self.shared.settings.instance, &detail);
        let labels = [label("route", self.route.name.as_str()), label("outcome", cause)];
        self.shared.metrics.requests.add(1, &labels);
        let first = if end.first_ms == 0 { ms } else { end.first_ms };
        self.shared.metrics.latency.record(first as f64, &labels[..1]);
    }
}

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
}

impl NoSend {
    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            NoSend::NoTarget => "no-target",
            NoSend::Attempts => "attempts-used",
            NoSend::Budget => "retry-budget",
            NoSend::Time => "time-over",
        }
    }
}

impl Attempts {
    /// Whether one more send would be within the route's attempts.
    pub(crate) fn may_repeat(&self, ctx: &Context) -> bool {
        self.sends < ctx.route.attempts
    }

    /// Chooses the target of the next send and counts the send.
    pub(crate) async fn next(&mut self, ctx: &Context) -> Result<TargetInstance, NoSend> {
        if ctx.left().is_zero() {
            return Err(NoSend::Time);
        }
        if !self.may_repeat(ctx) {
            return Err(NoSend::Attempts);
        }
        let (target, reason) = self.choose(ctx).await?;
        let now = ctx.shared.clock.now();
        if self.sends != 0 && !ctx.pool.spend(now, &ctx.shared.pools.terms()) {
            return Err(NoSend::Budget);
        }
        self.sends += 1;
        ctx.pool.sent(now, &target.id, &ctx.call(&[]));
        ctx.note_send(&target.id);
        let detail =
            format!("id={} target={} send={} {reason}", ctx.request.id, target.id, self.sends);
        emit(events::SENT, &ctx.shared.settings.instance, &detail);
        self.tried.push(target.id.clone());
        Ok(target)
    }

    /// Chooses a target, with the reason for the log. Prompts are placed by one instance for all,
    /// since an engine that reads a long prompt holds up all that run there, whoever sent them.
    async fn choose(&mut self, ctx: &Context) -> Result<(TargetInstance, String), NoSend> {
        let chosen = self.choose_at_peer(ctx).await;
        let place = if chosen.is_some() { "peer" } else { "here" };
        ctx.shared.metrics.placements.add(1, &[label("by", place)]);
        if let Some(it) = chosen {
            return Ok(it);
        }
        loop {
            let call = ctx.call(&self.tried);
            let choice = ctx.pool.place(ctx.shared.clock.now(), &call);
            let choice = choice.map_err(|it| match it {
                NoTarget::Empty | NoTarget::Tried | NoTarget::Full => NoSend::NoTarget,
            })?;
            if let Some(target) = ctx.shared.staying_target(&choice.address) {
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

    async fn choose_at_peer(&self, ctx: &Context) -> Option<(TargetInstance, String)> {
        let call = ctx.call(&self.tried);
        let prefix = call.prefix?;
        let address = ctx.shared.peers.batcher_of(&ctx.service)?;
        let mut avoided = ctx.pool.ejected(ctx.shared.clock.now());
        avoided.extend(self.tried.iter().cloned());
        let ask = PromptAsk { work: call.work, prefix_work: call.prefix_work, prefix, avoided };
        let chosen = ctx.shared.peers.place(&ctx.shared, &address, &ctx.service, ask).await?;
        let target = ctx.shared.staying_target(&chosen)?;
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
