//! Runs one stage of a request: chooses a target, calls it, and retries where that is allowed.
//!
//! A call that was never sent may always be retried. Any other failed call is retried only if it is
//! repeatable and the pool's retry budget has credit.

use std::{sync::Arc, time::Duration};

use holdpoint_core::{
    cold::Share,
    deadline::{Budget, budget},
    ids::{AttemptId, Millis},
    ledger::Begun,
    route::{Call, End, Load, NoTarget},
};
use holdpoint_platform::{
    CallError,
    target::{TargetCall, TargetInfo},
};
use holdpoint_schema::{
    caller::StageReport,
    peer::LeavingTarget,
    platform::Completion,
    resources::{Checks, Policy, Pool, PoolKind, Stage},
};
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::Input,
    events::{self, emit},
    metrics::label,
    shared::members_of,
    traffic::{
        PoolState, generate,
        job::{Fault, Job, Sink, StageDone, StageFailure},
    },
};

/// Maximum number of attempts at one stage, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// Pause before choosing a target again while all are at their concurrency limit.
const BUSY_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Length of the prompt prefix that is hashed, in bytes.
const PREFIX_BYTES: usize = 256;
/// Prompt bytes that count as one unit of work, the work of one generated token.
const BYTES_PER_UNIT: f64 = 160.0;
/// Fraction of the prompt's work that a cached prefix saves.
const PREFIX_SAVING: f64 = 0.5;
/// Timeout of an attempt that may be repeated, as a multiple of the pool's 95th percentile.
const TIMEOUT_FACTOR: u64 = 4;
/// Lower bound of that timeout, in milliseconds.
const MIN_ATTEMPT_MS: Millis = 250;

/// A stage that is being run.
pub(crate) struct StageRun<'a> {
    pub(crate) job: &'a Job,
    pub(crate) index: usize,
    pub(crate) stage: &'a Stage,
    pub(crate) pool: &'a Pool,
    pub(crate) state: Arc<PoolState>,
    pub(crate) inputs: Map<String, Value>,
    /// Expected work: tokens to generate, plus the prompt converted to tokens.
    pub(crate) units: f64,
    prompt_units: f64,
    pub(crate) prefix: Option<u64>,
    policy: Policy,
}

/// Result of one attempt, with what the target reported about itself.
pub(crate) struct AttemptResult {
    pub(crate) result: Result<Value, AttemptError>,
    pub(crate) info: TargetInfo,
}

/// Why one attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The call failed; another target may be tried where that is allowed.
    Call(CallError),
    /// The stream broke after part of it was sent to the caller, so it cannot be retried.
    Cut,
    /// The stream was handed over; the caller resumes it at another instance.
    Moved,
    /// The caller has disconnected.
    CallerGone,
}

/// Runs a stage; returns its result and the engine milliseconds that all attempts cost.
pub(crate) async fn run(
    job: &Job,
    index: usize,
    inputs: Map<String, Value>,
    sink: Option<&Sink>,
) -> (Result<StageDone, StageFailure>, u64) {
    let stage = &job.graph.spec.steps[index].stage;
    let failure = |target: &str, fault| StageFailure {
        stage: stage.name.clone(),
        target: target.to_owned(),
        fault,
    };
    let Some(pool) = job.view.catalog.pools.get(&stage.pool) else {
        return (Err(failure("", Fault::NoPool)), 0);
    };
    let work = StageRun::new(job, index, stage, &pool.spec, inputs);
    let mut cost = 0;
    let result = work.attempts(sink, &mut cost).await;
    (result.map_err(|(target, fault)| failure(&target, fault)), cost)
}

type Failed = (String, Fault);

impl<'a> StageRun<'a> {
    fn new(
        job: &'a Job,
        index: usize,
        stage: &'a Stage,
        pool: &'a Pool,
        inputs: Map<String, Value>,
    ) -> StageRun<'a> {
        let catalog = &job.view.catalog;
        let own = catalog.policy(&pool.policy);
        let settings = &job.shared.settings;
        let state =
            job.shared.traffic.pools.of(&stage.pool, || PoolState::new(settings, own.clone()));
        state.refresh(&members_of(&job.view.targets, &stage.pool), &own);
        let policy = job.trial.as_ref().map_or(own, |it| it.policy.clone());
        let prompt = (pool.kind == PoolKind::Engine).then(|| prompt(&inputs));
        let prompt_units = prompt.as_ref().map_or(0.0, |it| it.len() as f64 / BYTES_PER_UNIT);
        let tokens = prompt.as_ref().map_or(1.0, |_| f64::from(stage.max_tokens));
        let head = |it: &String| xxh3_64(&it.as_bytes()[..it.len().min(PREFIX_BYTES)]);
        let prefix = prompt.as_ref().map(head);
        let units = tokens + prompt_units;
        StageRun { job, index, stage, pool, state, inputs, units, prompt_units, prefix, policy }
    }

    async fn attempts(&self, sink: Option<&Sink>, cost: &mut u64) -> Result<StageDone, Failed> {
        let started = self.job.shared.clock.now();
        self.state.retries.lock().first(self.policy.retry_percent);
        let mut tried: Vec<String> = Vec::new();
        let mut last = Fault::Late;
        for attempt in 0..MAX_ATTEMPTS {
            let left = self.budget().ok_or_else(|| (String::new(), last_or_late(&last)))?;
            let address = match self.choose(&tried).await {
                Ok(it) => it,
                Err(NoTarget::Tried) => return Err((tried.pop().unwrap_or_default(), last)),
                Err(it) => return Err((String::new(), Fault::NoTarget(it))),
            };
            let begun = self.begin().ok_or_else(|| (address.clone(), Fault::Closed))?;
            let sent_at = self.job.shared.clock.now();
            let limit = self.attempt_timeout(left, attempt);
            let attempted = self.attempt(&address, attempt, limit, sink).await;
            *cost += self.record_end(&address, sent_at, &attempted);
            match attempted.result {
                Ok(output) => return Ok(self.stage_done(output, &address, started, *cost)),
                Err(AttemptError::Cut) => return Err((address, Fault::Cut)),
                Err(AttemptError::Moved) => return Err((address, Fault::Moved)),
                Err(AttemptError::CallerGone) => return Err((address, Fault::CallerGone)),
                Err(AttemptError::Call(error)) => {
                    last = Fault::Failed(error);
                    if error.is_never_sent() {
                        if let Some(it) = begun {
                            it.never_sent();
                        }
                    } else if !self.may_repeat() || !self.state.retries.lock().spend() {
                        return Err((address, last));
                    }
                    tried.push(address);
                }
            }
        }
        Err((tried.pop().unwrap_or_default(), last))
    }

    /// Time that this stage may take, in milliseconds; `None` if it cannot finish by the deadline.
    fn budget(&self) -> Option<Millis> {
        let graph = &self.job.graph.spec;
        let times = self.job.state.times.lock();
        let low = |index: usize| {
            let name = &graph.steps[index].stage.name;
            times.get(name).and_then(|it| it.quantile(0.1))
        };
        let chain = graph.chain_from(self.index);
        let later: Vec<Option<Millis>> = chain.iter().skip(1).map(|it| low(*it)).collect();
        match budget(self.job.remaining(), low(self.index), &later) {
            Budget::Use(it) => Some(it),
            Budget::Hopeless { .. } => None,
        }
    }

    /// Timeout of one attempt. An attempt that may be repeated leaves time for another in case its
    /// target hangs; the last attempt gets all the remaining time.
    fn attempt_timeout(&self, left: Millis, attempt: u32) -> Duration {
        let usual = self.state.times.lock().quantile(0.95);
        let early = usual.map_or(left / 2, |it| (TIMEOUT_FACTOR * it).max(MIN_ATTEMPT_MS));
        let is_last = attempt + 1 == MAX_ATTEMPTS || !self.may_repeat();
        Duration::from_millis(if is_last { left } else { early.min(left) })
    }

    /// Whether a call that may have reached a target can be repeated.
    fn may_repeat(&self) -> bool {
        self.stage.repeatable || self.pool.checks != Checks::Nothing
    }

    async fn choose(&self, tried: &[String]) -> Result<String, NoTarget> {
        let shared = &self.job.shared;
        loop {
            let chosen = {
                let call = self.call(tried);
                let mut router = self.state.router.lock();
                let now = shared.clock.now();
                let chosen = router.choose(now, &self.policy, &call, &mut rand::rng());
                if let Ok(it) = &chosen {
                    router.sent(now, &it.address, &call);
                }
                chosen
            };
            match chosen {
                Ok(it) => return Ok(it.address),
                Err(NoTarget::Full) if 0 < self.job.remaining() => {
                    tokio::time::sleep(BUSY_RETRY_INTERVAL).await;
                }
                Err(it) => return Err(it),
            }
        }
    }

    fn call<'b>(&self, tried: &'b [String]) -> Call<'b> {
        Call {
            work: self.units,
            prefix_work: self.prompt_units * PREFIX_SAVING,
            prefix: self.prefix,
            tried,
            cap: self.pool.concurrency,
            share: Share::Whole,
            inputs: &[],
            is_own: true,
            within: None,
        }
    }

    /// Records the attempt in the request's ledger if calls of this stage count; `None` if the
    /// ledger is closed.
    #[allow(clippy::option_option)]
    fn begin(&self) -> Option<Option<Begun<'a>>> {
        if !self.job.is_counted(self.index) {
            return Some(None);
        }
        self.job.ledger.begin().map(Some)
    }

    async fn attempt(
        &self,
        address: &str,
        attempt: u32,
        limit: Duration,
        sink: Option<&Sink>,
    ) -> AttemptResult {
        let id = AttemptId {
            incarnation: self.job.shared.incarnation.clone(),
            call: self.job.call,
            stage: u32::try_from(self.index).unwrap_or(u32::MAX),
            attempt,
        };
        if self.pool.kind == PoolKind::Engine {
            let completion = Completion {
                model: self.pool.model.clone(),
                prompt: prompt(&self.inputs),
                max_tokens: self.stage.max_tokens,
                stream: true,
            };
            return generate::attempt(self, address, &id, &completion, limit, sink).await;
        }
        let checks = self.pool.checks;
        let key = self.job.key.as_deref().filter(|_| checks != Checks::Nothing);
        let call = TargetCall {
            address,
            path: &self.pool.path,
            attempt: &id,
            key,
            token: self.job.token.filter(|_| checks == Checks::Token),
            inputs: &self.inputs,
            limit,
        };
        let (result, info) = self.job.shared.targets.call(&call).await;
        AttemptResult { result: result.map_err(AttemptError::Call), info }
    }

    /// Records the end of an attempt in the router, metrics and control thread; returns its cost in
    /// engine milliseconds.
    fn record_end(&self, address: &str, sent_at: Millis, attempted: &AttemptResult) -> u64 {
        let shared = &self.job.shared;
        let now = shared.clock.now();
        let took = now.saturating_sub(sent_at);
        let (end, name) = match attempted.result {
            Ok(_) => (End::Whole(took), "whole"),
            Err(AttemptError::Call(CallError::NotConnected)) => (End::Failed, "not-sent"),
            Err(AttemptError::Call(_)) | Err(AttemptError::Cut) => (End::Failed, "failed"),
            Err(AttemptError::Moved) | Err(AttemptError::CallerGone) => (End::Dropped, "dropped"),
        };
        let labels = [label("pool", self.stage.pool.clone()), label("end", name)];
        shared.metrics.attempts.add(1, &labels);
        if attempted.result == Err(AttemptError::Call(CallError::Crossed)) {
            shared.metrics.crossed.add(1, &[label("pool", self.stage.pool.clone())]);
            emit(events::CROSSED, &shared.settings.instance, address);
        }
        let mut router = self.state.router.lock();
        router.ended(now, address, self.units, end);
        if let Some(it) = &attempted.info.load {
            self.job.record_load(it);
            let load = Load { running: it.running, waiting: it.waiting, pace_percent: None };
            router.report(now, address, load);
        }
        if attempted.info.is_draining {
            router.leave(address);
            drop(router);
            let incarnation = attempted.info.incarnation.clone().unwrap_or_default();
            let notice = LeavingTarget { address: address.to_owned(), incarnation };
            // A full channel drops this notice only; the target's next response repeats it.
            drop(shared.control.try_send(Input::TargetLeaving(notice)));
        }
        match attempted.info.cost_ms {
            0 if attempted.result.is_err() => took,
            it => it,
        }
    }

    fn stage_done(&self, output: Value, address: &str, started: Millis, cost: u64) -> StageDone {
        let now = self.job.shared.clock.now();
        let ms = now.saturating_sub(started);
        self.state.times.lock().record(now, ms);
        let mut times = self.job.state.times.lock();
        times.entry(self.stage.name.clone()).or_default().record(now, ms);
        let (name, target) = (self.stage.name.clone(), address.to_owned());
        StageDone { output, report: StageReport { name, target, ms, cost } }
    }
}

/// Prompt of a generation: the input `prompt` if it is a string and the only input, else all inputs
/// as JSON.
pub(crate) fn prompt(inputs: &Map<String, Value>) -> String {
    match inputs.get("prompt") {
        Some(Value::String(it)) if inputs.len() == 1 => it.clone(),
        _ => Value::Object(inputs.clone()).to_string(),
    }
}

fn last_or_late(last: &Fault) -> Fault {
    match last {
        Fault::Failed(_) => last.clone(),
        _ => Fault::Late,
    }
}
