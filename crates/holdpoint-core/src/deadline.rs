//! Divides a request's deadline among its stages, and keeps the recent time statistics that this needs.

use hdrhistogram::Histogram;

use crate::ids::Millis;

/// Quantile of the callers' timeouts used as their upper end.
const UPPER_QUANTILE: f64 = 0.95;
/// Distance from the upper end of first attempts' timeouts to their lower end, as a multiple of that from the upper
/// end to the median: symmetric about the median, with a small margin.
const SPREAD_FACTOR: f64 = 2.2;
/// Widening of that distance at one sample, as a fraction. It shrinks with the square root of the number of samples,
/// as the error of a quantile does.
const SMALL_SAMPLE_FACTOR: f64 = 1.5;
/// Relative error allowed in a received timeout, transit time included.
const TIMEOUT_ERROR: f64 = 0.02;

/// Length of each of the two windows of measurements, in milliseconds.
const WINDOW_MS: Millis = 10_000;
/// Minimum number of measurements for a quantile.
const MIN_SAMPLES: u64 = 20;
/// Upper bound of a recorded time, in milliseconds.
const MAX_MS: u64 = 600_000;

/// Time constant of [`RecentRate`], in milliseconds: a few calls long, to follow the start and the end of a
/// surge.
const RATE_TIME_MS: f64 = 1000.0;
/// EWMA weight of the newest measurement in a [`RecentTime`].
const TIME_WEIGHT: f64 = 0.5;
/// Half-life of a [`RecentTime`] without new measurements, in milliseconds: shorter than a burst.
const HALF_LIFE_MS: f64 = 700.0;

/// Moving average of a time, which decays to the usual one without new measurements.
///
/// Without the decay, a long time that leads to refusals would persist, since refused requests are not
/// measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentTime {
    ms: f64,
    measured: Millis,
}

impl RecentTime {
    /// Records a time.
    pub fn record(&mut self, now: Millis, ms: Millis) {
        let newest = ms as f64;
        self.ms =
            if self.measured == 0 { newest } else { self.ms + TIME_WEIGHT * (newest - self.ms) };
        self.measured = now;
    }

    /// Age of the last measurement, in milliseconds; `None` without one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        (self.measured != 0).then(|| now.saturating_sub(self.measured))
    }

    /// The recent time, in milliseconds; decays to `usual`.
    pub fn get(&self, now: Millis, usual: Millis) -> Millis {
        if self.measured == 0 {
            return usual;
        }
        let trust = 0.5_f64.powf(now.saturating_sub(self.measured) as f64 / HALF_LIFE_MS);
        (trust * self.ms + (1.0 - trust) * usual as f64) as Millis
    }
}

/// Recent rate of an event, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentRate {
    per_ms: f64,
    counted: Millis,
}

impl RecentRate {
    /// Events per millisecond.
    pub fn at(&self, now: Millis) -> f64 {
        self.per_ms * (-(now.saturating_sub(self.counted) as f64) / RATE_TIME_MS).exp()
    }

    /// Counts an event.
    pub fn count(&mut self, now: Millis) {
        self.per_ms = self.at(now) + 1.0 / RATE_TIME_MS;
        self.counted = now;
    }
}

/// Distribution of the times of the last 10 to 20 s, in milliseconds.
#[derive(Clone, Debug)]
pub struct Times {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated: Millis,
}

impl Default for Times {
    fn default() -> Times {
        Times::new()
    }
}

impl Times {
    /// Creates an empty distribution.
    pub fn new() -> Times {
        let empty = Histogram::new_with_max(MAX_MS, 2).expect("constant bounds are valid");
        Times { current: empty.clone(), previous: empty, rotated: 0 }
    }

    /// Records a time.
    pub fn record(&mut self, now: Millis, ms: Millis) {
        self.rotate(now);
        self.current.saturating_record(ms.clamp(1, MAX_MS));
    }

    /// Number of measurements.
    fn len(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    /// The quantile `q`, from 0 to 1, in milliseconds; `None` with too few measurements.
    pub fn quantile(&self, q: f64) -> Option<Millis> {
        let newer = self.current.len();
        let older = self.previous.len();
        if newer + older < MIN_SAMPLES {
            return None;
        }
        let weighted = |it: &Histogram<u32>| it.value_at_quantile(q) as f64 * it.len() as f64;
        Some(
            ((weighted(&self.current) + weighted(&self.previous)) / (newer + older) as f64)
                as Millis,
        )
    }

    fn rotate(&mut self, now: Millis) {
        if now < self.rotated + WINDOW_MS {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.rotated = now;
    }
}

/// Timeouts that callers of a route state, used to detect likely retries.
///
/// A caller that retries states the remainder of its timeout. First attempts differ too; the upper half of the
/// timeouts is assumed to be first attempts, and their spread is assumed symmetric about the median.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    times: Times,
}

impl Patience {
    /// Records the timeout that a caller stated, in milliseconds.
    pub fn record(&mut self, now: Millis, ms: Millis) {
        self.times.record(now, ms);
    }

    /// Estimated time since the first attempt of a caller that states the timeout `ms`, in milliseconds. It is 0
    /// with too few samples, or where the timeout is within the range of first attempts.
    pub fn asked_before(&self, ms: Millis) -> Millis {
        let quantile = |it| self.times.quantile(it).map(|it| it as f64);
        let Some((high, median)) = quantile(UPPER_QUANTILE).zip(quantile(0.5)) else { return 0 };
        // With few samples the quantiles are uncertain, so the range of first attempts is wider.
        let factor = SPREAD_FACTOR * (1.0 + SMALL_SAMPLE_FACTOR / (self.times.len() as f64).sqrt());
        let lowest = high - factor * (high - median) - TIMEOUT_ERROR * high;
        if lowest <= ms as f64 { 0 } else { (median as Millis).saturating_sub(ms) }
    }
}

/// Time budget of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Budget {
    /// The stage may use this much, in milliseconds.
    Use(Millis),
    /// The request cannot end in time: less remains than the stages ahead need.
    Hopeless {
        /// Minimum time of the stages ahead, this one included, in milliseconds.
        need: Millis,
    },
}

/// Budget of a stage: the remaining time, less the time of the stages after it.
///
/// `own` and `later` are low quantiles (the 10th percentile) of the stages' times, in milliseconds, so that
/// a request is cancelled only if even a fast run would be late. `None` stands for an unknown time.
pub fn budget(remaining: Millis, own: Option<Millis>, later: &[Option<Millis>]) -> Budget {
    let after: Millis = later.iter().flatten().sum();
    let need = own.unwrap_or(0) + after;
    if remaining <= need {
        return Budget::Hopeless { need };
    }
    Budget::Use(remaining - after)
}
