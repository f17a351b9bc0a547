//! Serves a request by sends to targets.
//!
//! A send that is late is replaced by one to another target. It goes on while its replacement is prepared (the stages
//! run again, a target is chosen, a connection is made) and until that has answered, since its own response may be the
//! only one that the caller can get. Two targets work on one generation for a bounded time, after which the late send is
//! abandoned.

mod preparation;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use holdpoint_core::{
    directory::{TargetId, TargetInstance},
    route::CallOutcome,
    stream_versions::Continuation,
};
use holdpoint_platform::Instant;
use http::response::Parts;
use tokio::time::sleep;

use self::preparation::{ChosenSend, Preparation, Prepared, SharedResults};
use crate::ingress::{
    attempts::{
        Attempts, Chosen, Race, RaceStep, RacingSend, ReplacementSearch, SendEnd, StopCause,
        WatchedSend, count_late, end_send, record_late, record_resumed,
    },
    context::Context,
    dispatch::Handoff,
    limits::Permit,
    stages::INPUT_FETCH_TIME,
};

/// Most reruns of the stages for a request whose inputs its target cannot fetch.
const MAX_STAGE_RERUNS: u32 = 2;
/// First wait before a request returns to targets that it was sent to before; it doubles with each return.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);
/// Logged cause of a send that is abandoned, since its target is silent.
pub(crate) const SILENT_CAUSE: &str = "silent";
/// Logged cause of a send that is cancelled, since the one before it has answered.
const OVERTAKEN_CAUSE: &str = "overtaken";

/// Why a request has no answer.
pub(crate) enum Undelivered {
    /// The target answered with an error.
    Failed(Box<Parts>, Bytes),
    Stopped(StopCause),
    /// The results of its stages are missing.
    NoResults(&'static str),
    /// The stages are overloaded; the request may be retried after this time.
    Overload(Duration),
    /// The caller has disconnected.
    CallerGone,
}

impl Undelivered {
    /// Name in the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Undelivered::Failed(..) => "target-failed",
            Undelivered::Stopped(it) => it.name(),
            Undelivered::NoResults(it) => it,
            Undelivered::Overload(_) => "overload",
            Undelivered::CallerGone => "caller-gone",
        }
    }

    /// Whether a later send may succeed where the request has a target that it may be sent to again.
    fn is_passing(&self) -> bool {
        let Undelivered::Stopped(cause) = self else { return self.is_shortage() };
        !matches!(
            cause,
            StopCause::Time
                | StopCause::Stopping
                | StopCause::Confined
                | StopCause::UnknownVersion
                | StopCause::VersionGone
                | StopCause::Quarantined
        )
    }

    /// Whether there is too little of something that is free again later.
    fn is_shortage(&self) -> bool {
        match self {
            Undelivered::NoResults(_) | Undelivered::Overload(_) => true,
            Undelivered::Stopped(cause) => matches!(
                cause,
                StopCause::Budget
                    | StopCause::Limited(_)
                    | StopCause::BackingOff(_)
                    | StopCause::Cold
                    | StopCause::NoPath
            ),
            Undelivered::Failed(..) | Undelivered::CallerGone => false,
        }
    }
}

/// How a request is sent to a target.
pub(crate) struct SendPlan<T> {
    /// Sends the request, and waits for an answer.
    pub(crate) send: for<'a> fn(&'a Context, Outbound<'a>) -> BoxFuture<'a, SendEnd<T>>,
    /// Time after which a send is late.
    pub(crate) late_after: fn(&Context) -> Duration,
}

/// One send of a request.
pub(crate) struct Outbound<'a> {
    pub(crate) target: TargetInstance,
    pub(crate) permit: Permit,
    pub(crate) continuation: Option<&'a Continuation>,
    /// Handles of the results that the target fetches.
    pub(crate) inputs: Vec<String>,
    pub(crate) handoff: Arc<Handoff>,
}

/// An answer to a request, or the beginning of one.
pub(crate) struct Delivered<T> {
    pub(crate) target: TargetInstance,
    pub(crate) answer: T,
    /// Whether it comes from the send that was running before the delivery.
    pub(crate) is_same: bool,
}

/// The sends of a request until one of them has answered.
pub(crate) struct Delivery<'a, T> {
    ctx: &'a Context,
    attempts: &'a mut Attempts,
    plan: SendPlan<T>,
    continuation: Option<&'a Continuation>,
    race: Race<'a, T>,
    results: Option<SharedResults>,
    reruns: u32,
    /// Number of sends to targets that the request was sent to before.
    returns: u32,
    /// Number of waits without a running send.
    waits: u32,
    /// Why no further send is made.
    stop: Option<Undelivered>,
    last_failure: Option<(Box<Parts>, Bytes)>,
}

impl<'a, T: Send + 'a> Delivery<'a, T> {
    /// `continuation` is set for a request that continues a stream.
    pub(crate) fn new(
        ctx: &'a Context,
        attempts: &'a mut Attempts,
        plan: SendPlan<T>,
        continuation: Option<&'a Continuation>,
    ) -> Delivery<'a, T> {
        Delivery {
            ctx,
            attempts,
            plan,
            continuation,
            race: Race::new(ctx.is_generation() || !ctx.route.stages.is_empty()),
            results: None,
            reruns: 0,
            returns: 0,
            waits: 0,
            stop: None,
            last_failure: None,
        }
    }

    /// Adds a running send that is late.
    pub(crate) fn with_late(
        mut self,
        target: &TargetInstance,
        response: BoxFuture<'a, SendEnd<T>>,
    ) -> Self {
        self.race.push(RacingSend {
            target: target.clone(),
            call: None,
            is_return: false,
            due: Instant::now(),
            spent: None,
            handoff: self.attempts.handoff_of(target).unwrap_or_default(),
            response,
        });
        self
    }

    /// Sends the request until a target has answered.
    pub(crate) async fn run(mut self) -> Result<Delivered<T>, Undelivered> {
        let version = self.continuation.map(|it| it.version.as_str());
        let mut late = ReplacementSearch::default();
        let mut preparing: Option<BoxFuture<'a, Prepared>> = None;
        loop {
            if self.race.is_empty() && preparing.is_none() {
                preparing = Some(self.prepare_only()?);
            }
            let followed = self.race.replaceable().filter(|_| self.ctx.is_repeatable());
            let followed = followed.map(WatchedSend::new);
            tokio::select! {
                biased;
                step = self.race.next() => match step {
                    RaceStep::Ended(index, send, end) => {
                        if let Some(it) = self.ended(index, send, end) {
                            return Ok(it);
                        }
                    }
                    RaceStep::Over(it) => {
                        let later = self.race.latest().map(|it| it.handoff.clone());
                        record_overlap(self.ctx, later.as_deref());
                        count_late(self.ctx, "abandoned");
                        self.abandon(&it);
                    }
                },
                it = wait_prepared(&mut preparing) => {
                    preparing = None;
                    self.begin(it);
                }
                target = wait_late(&mut late, self.ctx, self.attempts, (followed, version)),
                    if preparing.is_none() =>
                {
                    record_late(self.ctx, &target);
                    let again = [self.attempts.relayable(self.ctx), self.attempts.returnable(false)];
                    preparing = Some(self.prepare(Duration::ZERO, again.concat()));
                }
            }
        }
    }

    /// Prepares the next send while none is running.
    fn prepare_only(&mut self) -> Result<BoxFuture<'a, Prepared>, Undelivered> {
        let Some(why) = self.stop.take() else {
            return Ok(self.prepare(Duration::ZERO, Vec::new()));
        };
        let has_begun = self.ctx.has_answered();
        let again = self.attempts.returnable(has_begun);
        let wait = RETURN_INTERVAL.saturating_mul(factor(self.waits));
        let can_change =
            (has_begun && why.is_shortage()) || (why.is_passing() && !again.is_empty());
        if self.ctx.is_repeatable() && can_change && wait < self.ctx.left() {
            self.waits += 1;
            return Ok(self.prepare(wait, again));
        }
        Err(match self.last_failure.take() {
            Some((parts, body)) => Undelivered::Failed(parts, body),
            None => why,
        })
    }

    /// Prepares the next send, after a wait. It may go to the targets `again` although the request was sent there.
    fn prepare(&self, wait: Duration, again: Vec<TargetId>) -> BoxFuture<'a, Prepared> {
        let (ctx, attempts) = (self.ctx, &*self.attempts);
        let preparation = Preparation {
            ctx,
            version: self.continuation.map(|it| it.version.as_str()),
            results: self.results.clone(),
            tried: attempts.tried_targets(),
            may_repeat: attempts.may_repeat(ctx),
            is_repeated: attempts.is_repeated(),
            again,
        };
        Box::pin(async move {
            // A sleep of no time would still wait for the next tick of the timer.
            if !wait.is_zero() {
                sleep(wait).await;
            }
            preparation.run().await
        })
    }

    /// Begins a send that was prepared.
    fn begin(&mut self, prepared: Prepared) {
        let Prepared { results, chosen } = prepared;
        self.results = results;
        let begun = match chosen {
            Ok(it) => self.send(it).map_err(Undelivered::Stopped),
            Err(why) => Err(why),
        };
        if let Err(why) = begun {
            self.stop_with(why);
        }
    }

    /// Makes no further send for now, unless another one is still running.
    fn stop_with(&mut self, why: Undelivered) {
        if self.race.is_empty() {
            self.stop = Some(why);
        }
    }

    fn send(&mut self, send: ChosenSend) -> Result<(), StopCause> {
        let ctx = self.ctx;
        let ChosenSend { chosen, results, share } = send;
        let handoff: Arc<Handoff> = Arc::default();
        let bytes = results.lock().domain_bytes.clone();
        self.attempts.begin(ctx, self.continuation.is_some(), &chosen, (&bytes, &handoff));
        let spent = share.map(|it| {
            let now = ctx.shared.clock.now();
            it.spend(now);
            now
        });
        let Chosen { target, permit, is_return, .. } = chosen;
        let Some(call) = ctx.ledger.begin() else {
            end_send(ctx, &target, CallOutcome::Cancelled, StopCause::Stopping.name());
            return Err(StopCause::Stopping);
        };
        self.returns += u32::from(is_return);
        // Otherwise two targets that are slower than usual would get the request by turns, and never answer it.
        let late_after = (self.plan.late_after)(ctx).saturating_mul(factor(self.returns));
        let outbound = Outbound {
            target: target.clone(),
            permit,
            continuation: self.continuation,
            inputs: results.lock().inputs.clone(),
            handoff: handoff.clone(),
        };
        // The inputs that another send may still have to fetch are not released.
        let is_alone = self.race.is_empty();
        self.race.push(RacingSend {
            target,
            call: Some(call),
            is_return,
            spent,
            due: Instant::now() + late_after,
            handoff,
            response: Box::pin(send_inputs(ctx, self.plan.send, outbound, (results, is_alone))),
        });
        Ok(())
    }

    /// Records the end of a send. `index` is the number of running sends that began before it.
    fn ended(
        &mut self,
        index: usize,
        send: RacingSend<'a, T>,
        end: SendEnd<T>,
    ) -> Option<Delivered<T>> {
        let ctx = self.ctx;
        let RacingSend { target, call, is_return, handoff, spent, .. } = send;
        if let Some((outcome, cause)) = end.failure(ctx) {
            end_send(ctx, &target, outcome, cause);
        }
        let is_same = call.is_none();
        match end {
            SendEnd::Answered(answer) => {
                record_resumed(ctx, &target);
                let later = match self.race.latest() {
                    Some(it) if index == 0 => Some(it.handoff.clone()),
                    Some(_) => Some(handoff),
                    None => None,
                };
                record_overlap(ctx, later.as_deref());
                self.end_others(index);
                return Some(Delivered { target, answer, is_same });
            }
            SendEnd::Failed(parts, body) => {
                self.attempts.failed(&handoff);
                self.last_failure = Some((parts, body));
                self.stop_unless_repeatable();
            }
            SendEnd::Broken => {
                self.attempts.failed(&handoff);
                self.stop_unless_repeatable();
            }
            SendEnd::NotSent | SendEnd::Blocked(_) | SendEnd::NoPath => {
                if matches!(end, SendEnd::NoPath) {
                    self.stop_with(Undelivered::Stopped(StopCause::NoPath));
                }
                if let Some(it) = call {
                    it.never_sent();
                }
                // Otherwise sends to targets that are still listed after they ended would use up the budget of requests
                // that need a retry.
                if let Some(it) = spent {
                    ctx.pool.refund(it);
                }
                self.attempts.uncount(is_return);
                self.attempts.not_run(&handoff);
            }
            SendEnd::Declined(it) => {
                if let Some(call) = call {
                    call.declined(it.proof());
                }
                self.attempts.not_run(&handoff);
            }
            SendEnd::InputsGone(it) => {
                if let Some(call) = call {
                    call.declined(it.proof());
                }
                self.rerun_stages(&handoff, is_return);
            }
            SendEnd::BoundsChanged => {
                if let Some(it) = call {
                    it.never_sent();
                }
                self.rerun_stages(&handoff, is_return);
            }
        }
        None
    }

    fn stop_unless_repeatable(&mut self) {
        if !self.ctx.is_repeatable() {
            self.stop = Some(Undelivered::Stopped(StopCause::Attempts));
        }
    }

    /// Runs the stages again for the next send, since a target could not use their results.
    fn rerun_stages(&mut self, handoff: &Arc<Handoff>, is_return: bool) {
        self.attempts.uncount(is_return);
        self.attempts.not_run(handoff);
        self.results = None;
        self.reruns += 1;
        if MAX_STAGE_RERUNS < self.reruns {
            self.stop_with(Undelivered::NoResults("inputs-gone"));
        }
    }

    /// Ends the sends beside the one that has answered: `older` of them began before it.
    fn end_others(&mut self, older: usize) {
        for (index, send) in self.race.take_all().into_iter().enumerate() {
            if index < older {
                count_late(self.ctx, "replaced");
                self.abandon(&send);
            } else {
                self.attempts.overtaken(&send.handoff);
                end_send(self.ctx, &send.target, CallOutcome::Cancelled, OVERTAKEN_CAUSE);
            }
        }
    }

    /// Ends a send whose target is silent.
    fn abandon(&mut self, send: &RacingSend<'a, T>) {
        self.attempts.abandoned(&send.handoff);
        end_send(self.ctx, &send.target, CallOutcome::Failed, SILENT_CAUSE);
    }
}

/// Waits until a send is late and another one is possible; returns its target.
async fn wait_late(
    late: &mut ReplacementSearch,
    ctx: &Context,
    attempts: &Attempts,
    (followed, version): (Option<WatchedSend>, Option<&str>),
) -> TargetInstance {
    let Some(send) = followed else { return std::future::pending().await };
    late.wait_replaceable(ctx, attempts, &send, version).await;
    send.target
}

/// Records for how long two sends ran, the later one of which was handed over at `later`.
fn record_overlap(ctx: &Context, later: Option<&Handoff>) {
    if let Some(it) = later.and_then(Handoff::at) {
        ctx.shared.metrics.overlap.record(it.elapsed().as_millis() as f64, &[]);
    }
}

/// Factor of a time that doubles each time.
fn factor(times: u32) -> u32 {
    1 << times.min(u32::BITS - 1)
}

async fn wait_prepared(preparing: &mut Option<BoxFuture<'_, Prepared>>) -> Prepared {
    match preparing {
        Some(it) => it.await,
        None => std::future::pending().await,
    }
}

/// Sends the request, and releases its inputs once the target has had time to fetch them, which it does before
/// it reads the prompt. The targets that store them get room for other results early.
async fn send_inputs<'a, T>(
    ctx: &'a Context,
    send: fn(&'a Context, Outbound<'a>) -> BoxFuture<'a, SendEnd<T>>,
    outbound: Outbound<'a>,
    (results, may_release): (SharedResults, bool),
) -> SendEnd<T> {
    if !results.lock().match_bounds(&ctx.within()) {
        return SendEnd::BoundsChanged;
    }
    let keeps_inputs =
        !may_release || outbound.inputs.is_empty() || ctx.pool.has_queue(&outbound.target.id);
    let mut sending = send(ctx, outbound);
    if keeps_inputs {
        return sending.await;
    }
    tokio::select! {
        it = &mut sending => it,
        () = sleep(INPUT_FETCH_TIME) => {
            results.lock().release();
            sending.await
        }
    }
}
