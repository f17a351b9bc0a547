//! Predicted queues of later stages, from the work of requests that are already admitted.
//!
//! The batcher of a request's first stage admits it. The batchers of later stages report their queue and
//! throughput. Work admitted since the last report, and not there yet, is known only to the admitting
//! batcher, which records it by expected arrival and drains it at the reported throughput. Otherwise a fast
//! first stage would admit a burst that makes everything late at the second stage.
//!
//! A report replaces what was predicted up to then. This corrects errors such as admissions by other
//! instances and requests that ended early.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Millis, Name},
    returns::Returns,
};

/// Maximum age of a load report, in milliseconds. A report comes every 250 ms, and two may be lost. Without a
/// recent one, stages are assumed to take their usual time.
const MAX_REPORT_AGE_MS: Millis = 800;
/// Bucket width of the expected arrivals, in milliseconds: short compared to a call.
const BUCKET_MS: Millis = 10;
/// Upper bound of an expected arrival from now, in milliseconds; bounds the number of buckets.
const HORIZON_MS: Millis = 10_000;
/// How far ahead a queue is forecast for comparison with a later report, in milliseconds. Shorter than any
/// stage, so that everything that arrives by then is already recorded.
const FORECAST_MS: Millis = 150;
/// EWMA weight of the newest forecast error. Low, since calls of different sizes make queues uneven.
const RESIDUAL_WEIGHT: f64 = 0.2;
/// Time constant of the recent rate of admitted work, in milliseconds: a few calls long.
const RECENT_MS: f64 = 1000.0;
/// Time constant of the long-run rate of admitted work, in milliseconds: about as long as late requests may
/// take.
const LONG_RUN_MS: f64 = 4000.0;
/// Upper bound of the estimated time of a stage, in milliseconds.
const MAX_STAGE_MS: f64 = 60_000.0;
/// Upper bound of each value of a valid load report, in milliseconds or items.
const MAX_VALUE: f64 = 1e6;
/// Upper bound of the services tracked.
const MAX_SERVICES: usize = 256;

/// Load of a service's stage, as reported by the instance that batches it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageLoad {
    /// Throughput of its usable targets with full calls, in items per millisecond.
    pub per_ms: f64,
    /// Waiting items that can be in time.
    pub waiting: f64,
    /// Waiting items that will be late.
    pub late: f64,
    /// Recent time from the start of an item's call to its result, in milliseconds.
    pub call_ms: f64,
    /// The same for a full call, in milliseconds.
    pub full_ms: f64,
    /// Upper bound of the items in a call.
    pub most: f64,
    /// Recent mean of the actual minus the predicted time of items, in milliseconds.
    pub bias_ms: f64,
    /// Mean deviation from `bias_ms`, in milliseconds.
    pub spread_ms: f64,
}

impl StageLoad {
    /// Whether every value is finite and within its bounds.
    fn is_valid(&self) -> bool {
        let unsigned = [
            self.per_ms,
            self.waiting,
            self.late,
            self.call_ms,
            self.full_ms,
            self.most,
            self.spread_ms,
        ];
        let is_bounded = |it: &f64| it.is_finite() && (0.0..=MAX_VALUE).contains(it);
        unsigned.iter().all(is_bounded) && is_bounded(&self.bias_ms.abs())
    }

    /// Expected time of an item with `ahead` items waiting before it, in milliseconds.
    pub fn expected_ms(&self, ahead: f64) -> f64 {
        (self.reckoned_ms(ahead) + self.bias_ms).clamp(0.0, MAX_STAGE_MS)
    }

    /// The same from throughput and call times alone, without `bias_ms`.
    pub fn reckoned_ms(&self, ahead: f64) -> f64 {
        let fullness = (ahead / self.most.max(1.0)).min(1.0);
        let call = self.call_ms + fullness * (self.full_ms - self.call_ms).max(0.0);
        (ahead / self.per_ms + call).clamp(0.0, MAX_STAGE_MS)
    }
}

/// A later stage of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageAhead {
    /// Service of the stage.
    pub service: Name,
    /// Number of work items.
    pub pieces: u32,
    /// Number of the request's stages before it, including the current one.
    pub depth: u32,
    /// Usual time of the stage, used without a recent load report, in milliseconds.
    pub usual_ms: Millis,
}

/// Estimated times of a request's stages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expected {
    /// Time until the last stage ends, in milliseconds.
    pub ms: f64,
    /// Expected error of `ms`, in milliseconds.
    pub spread_ms: f64,
    /// Time until the items of each later stage arrive, in milliseconds, in the order of the stages.
    pub arrivals: Vec<f64>,
    /// Service of the later stage with the longest wait, and that wait in milliseconds.
    pub longest_wait: Option<(Name, f64)>,
    /// Fraction of capacity that the recent rate of in-time work leaves spare, the lowest of all later stages.
    pub spare: f64,
    /// The same for the long-run rate.
    pub long_spare: f64,
    /// Time to serve the late work of the later stage with the most of it, in milliseconds.
    pub late_ms: f64,
}

/// Predicted queue of one service.
#[derive(Clone, Debug, Default)]
struct ServiceQueue {
    load: StageLoad,
    reported: Millis,
    /// Items expected to arrive after the report, by bucket of `BUCKET_MS`.
    arrivals: BTreeMap<Millis, f64>,
    /// Items of late requests admitted after the report.
    late: f64,
    /// Time that the queue was forecast for, and the forecast number of items.
    forecast: Option<(Millis, f64)>,
    /// EWMA of the reported minus the forecast queue, in items. Without a backlog it reflects the items that
    /// collect while targets run small calls.
    residual: f64,
    /// Items admitted in time per millisecond, recently and in the long run.
    recent_rate: AdmittedRate,
    long_rate: AdmittedRate,
    /// Retry times of the requests refused because of this service.
    returns: Returns,
}

/// Predicted queues of the later stages of requests admitted here.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    queues: HashMap<Name, ServiceQueue>,
}

impl Promises {
    /// Applies a load report of a service. Returns `false` if it is invalid, or new and too many services are
    /// tracked. A service without throughput is not tracked: its stages are assumed to take their usual time,
    /// since a target may be available again by then.
    pub fn told(&mut self, now: Millis, service: &str, load: StageLoad) -> bool {
        let is_new = !self.queues.contains_key(service);
        if !load.is_valid() || (is_new && MAX_SERVICES <= self.queues.len()) {
            return false;
        }
        if load.per_ms == 0.0 {
            self.queues.remove(service);
            return true;
        }
        let queue = self.queues.entry(service.to_owned()).or_default();
        queue.apply_report(now, load);
        true
    }

    /// Estimates the later stages of a request whose current stage takes `own_ms`.
    pub fn expect(&self, now: Millis, own_ms: f64, ahead: &[StageAhead]) -> Expected {
        let mut expected =
            Expected { ms: own_ms, spare: 1.0, long_spare: 1.0, ..Expected::default() };
        expected.arrivals = vec![own_ms; ahead.len()];
        let mut variance = 0.0;
        let deepest = ahead.iter().map(|it| it.depth).max().unwrap_or(0);
        for depth in 1..=deepest {
            let arrival = expected.ms;
            // Stages of the same depth run in parallel.
            for (index, stage) in ahead.iter().enumerate().filter(|it| it.1.depth == depth) {
                expected.arrivals[index] = arrival;
                let known = self.recent(now, &stage.service);
                let Some(queue) = known else {
                    expected.ms = expected.ms.max(arrival + stage.usual_ms as f64);
                    continue;
                };
                let waiting = queue.waiting_at(now + arrival as Millis);
                let ms = queue.load.expected_ms(waiting + f64::from(stage.pieces) / 2.0);
                expected.ms = expected.ms.max(arrival + ms);
                expected.add_stage(stage, queue, now, waiting);
                variance += queue.load.spread_ms.powi(2);
            }
        }
        expected.spread_ms = variance.sqrt();
        expected
    }

    /// Records the later stages of an admitted request, at the arrivals of `expected`.
    pub fn promise(
        &mut self,
        now: Millis,
        ahead: &[StageAhead],
        expected: &Expected,
        is_late: bool,
    ) {
        for (stage, arrival) in ahead.iter().zip(&expected.arrivals) {
            let Some(queue) = self.queues.get_mut(&stage.service) else { continue };
            let items = f64::from(stage.pieces);
            if is_late {
                queue.late += items;
                continue;
            }
            let arrival = (*arrival as Millis).min(HORIZON_MS);
            *queue.arrivals.entry((now + arrival) / BUCKET_MS).or_default() += items;
            queue.recent_rate.count(now, items, RECENT_MS);
            queue.long_rate.count(now, items, LONG_RUN_MS);
        }
    }

    /// Retry delay of a request refused because of a service's queue, in milliseconds: at least `excess`, and
    /// after the requests refused before it, at the service's throughput.
    pub fn return_ms(&mut self, now: Millis, service: &str, excess: Millis, items: u32) -> Millis {
        let Some(queue) = self.queues.get_mut(service) else { return excess };
        queue.returns.take(now, excess, f64::from(items) / queue.load.per_ms)
    }

    /// Items admitted for a service that no load report covers yet, in time and late ones together.
    pub fn outstanding(&self, service: &str) -> f64 {
        self.queues.get(service).map_or(0.0, |it| it.arrivals.values().sum::<f64>() + it.late)
    }

    fn recent(&self, now: Millis, service: &str) -> Option<&ServiceQueue> {
        self.queues.get(service).filter(|it| now <= it.reported + MAX_REPORT_AGE_MS)
    }
}

impl Expected {
    fn add_stage(&mut self, stage: &StageAhead, queue: &ServiceQueue, now: Millis, waiting: f64) {
        let per_ms = queue.load.per_ms;
        let wait = waiting / per_ms;
        if self.longest_wait.as_ref().is_none_or(|it| it.1 < wait) {
            self.longest_wait = Some((stage.service.clone(), wait));
        }
        self.spare = self.spare.min(1.0 - queue.recent_rate.at(now, RECENT_MS) / per_ms);
        let long_spare = 1.0 - queue.long_rate.at(now, LONG_RUN_MS) / per_ms;
        self.long_spare = self.long_spare.min(long_spare);
        self.late_ms = self.late_ms.max((queue.load.late + queue.late) / per_ms);
    }
}

impl ServiceQueue {
    fn apply_report(&mut self, now: Millis, load: StageLoad) {
        if let Some((_, predicted)) = self.forecast.take_if(|it| it.0 <= now) {
            self.residual += RESIDUAL_WEIGHT * (load.waiting - predicted - self.residual);
        }
        self.load = load;
        self.reported = now;
        self.late = 0.0;
        self.arrivals = self.arrivals.split_off(&(now / BUCKET_MS + 1));
        if self.forecast.is_none() {
            let at = now + FORECAST_MS;
            self.forecast = Some((at, self.modelled_at(at)));
        }
    }

    /// Predicted number of waiting items at a time, corrected by the recent forecast error.
    fn waiting_at(&self, at: Millis) -> f64 {
        (self.modelled_at(at) + self.residual).max(0.0)
    }

    fn modelled_at(&self, at: Millis) -> f64 {
        let mut waiting = self.load.waiting;
        let mut time = self.reported;
        for (bucket, items) in &self.arrivals {
            let arrival = bucket * BUCKET_MS;
            if at < arrival {
                break;
            }
            waiting = self.drained(waiting, time, arrival) + items;
            time = time.max(arrival);
        }
        self.drained(waiting, time, at)
    }

    fn drained(&self, waiting: f64, from: Millis, to: Millis) -> f64 {
        (waiting - to.saturating_sub(from) as f64 * self.load.per_ms).max(0.0)
    }
}

/// Recent rate of admitted items, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct AdmittedRate {
    per_ms: f64,
    counted: Millis,
}

impl AdmittedRate {
    fn at(&self, now: Millis, decay_ms: f64) -> f64 {
        self.per_ms * (-(now.saturating_sub(self.counted) as f64) / decay_ms).exp()
    }

    fn count(&mut self, now: Millis, items: f64, decay_ms: f64) {
        self.per_ms = self.at(now, decay_ms) + items / decay_ms;
        self.counted = now;
    }
}
