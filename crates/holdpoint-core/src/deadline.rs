//! One deadline over many stages: what each may use, and when to give up.

use hdrhistogram::Histogram;

use crate::ids::Millis;

/// Quantile of the patience that is taken for its upper end.
const HIGH_PATIENCE: f64 = 0.95;
/// How far the lowest patience of those who ask first lies below the upper end, in parts of the way from there to the
/// middle: as far below the middle as the upper end is above, and a tenth more.
const SPREAD_BELOW: f64 = 2.2;
/// How much wider the spread is taken to be where little is known, as a part for one measurement; it goes with the
/// root of their number, as errors of a quantile do.
const FEW: f64 = 1.5;
/// Part of a patience by which what is read of it may be wrong, the way of the request included.
const PATIENCE_ERROR: f64 = 0.02;

/// How long one half of the measurements is gathered, in milliseconds.
const TURN_MS: Millis = 10_000;
/// Fewest measurements that a quantile is taken from.
const LEAST: u64 = 20;
/// Longest time measured, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// Time over which a [`RecentRate`] counts, in milliseconds: a few calls, so that a surge is noticed while
/// it grows and forgotten soon after its end.
const RATE_MS: f64 = 1000.0;
/// Weight of the newest measurement in a [`RecentTime`]. Bursts last for seconds, and so does what
/// is remembered.
const NEWEST: f64 = 0.5;
/// Age at which what a [`RecentTime`] remembers has lost half its weight, in milliseconds.
const TRUST_MS: f64 = 700.0;

/// A time as it was of late; it fades into the usual one when nothing is measured any more.
///
/// Without that, a long time that leads to refusals would stay for good: what is refused is not
/// measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentTime {
    ms: f64,
    measured: Millis,
}

impl RecentTime {
    /// Records a time.
    pub fn record(&mut self, now: Millis, ms: Millis) {
        let seen = ms as f64;
        self.ms = if self.measured == 0 { seen } else { self.ms + NEWEST * (seen - self.ms) };
        self.measured = now;
    }

    /// How long ago a time was recorded, in milliseconds; none where there was none.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        (self.measured != 0).then(|| now.saturating_sub(self.measured))
    }

    /// The time of late, where it usually is `usual`, in milliseconds.
    pub fn get(&self, now: Millis, usual: Millis) -> Millis {
        if self.measured == 0 {
            return usual;
        }
        let trust = 0.5_f64.powf(now.saturating_sub(self.measured) as f64 / TRUST_MS);
        (trust * self.ms + (1.0 - trust) * usual as f64) as Millis
    }
}

/// How often something happens of late; older events count less and less.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentRate {
    per_ms: f64,
    counted: Millis,
}

impl RecentRate {
    /// Events a millisecond.
    pub fn at(&self, now: Millis) -> f64 {
        self.per_ms * (-(now.saturating_sub(self.counted) as f64) / RATE_MS).exp()
    }

    /// Counts an event.
    pub fn count(&mut self, now: Millis) {
        self.per_ms = self.at(now) + 1.0 / RATE_MS;
        self.counted = now;
    }
}

/// Times of the last ten to twenty seconds, in milliseconds.
#[derive(Clone, Debug)]
pub struct Times {
    now: Histogram<u32>,
    before: Histogram<u32>,
    turned: Millis,
}

impl Default for Times {
    fn default() -> Times {
        Times::new()
    }
}

impl Times {
    /// Makes an empty record of times.
    pub fn new() -> Times {
        let empty = Histogram::new_with_max(LONGEST_MS, 2).expect("the bounds are constants");
        Times { now: empty.clone(), before: empty, turned: 0 }
    }

    /// Records a time.
    pub fn record(&mut self, now: Millis, ms: Millis) {
        self.turn(now);
        self.now.saturating_record(ms.clamp(1, LONGEST_MS));
    }

    /// Number of measurements.
    fn len(&self) -> u64 {
        self.now.len() + self.before.len()
    }

    /// A quantile, from 0 to 1; `None` where too little was measured.
    pub fn quantile(&self, q: f64) -> Option<Millis> {
        let newer = self.now.len();
        let older = self.before.len();
        if newer + older < LEAST {
            return None;
        }
        let part = |it: &Histogram<u32>| it.value_at_quantile(q) as f64 * it.len() as f64;
        Some(((part(&self.now) + part(&self.before)) / (newer + older) as f64) as Millis)
    }

    fn turn(&mut self, now: Millis) {
        if now < self.turned + TURN_MS {
            return;
        }
        std::mem::swap(&mut self.now, &mut self.before);
        self.now.reset();
        self.turned = now;
    }
}

/// Patience that callers of a route bring, from which it is told who has likely asked before.
///
/// A caller that comes back brings what is left of its patience. Callers differ in that by themselves: the upper
/// half of what comes is theirs who ask for the first time, and tells how far they spread below the middle.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    times: Times,
}

impl Patience {
    /// Records the patience of a caller, in milliseconds.
    pub fn record(&mut self, now: Millis, ms: Millis) {
        self.times.record(now, ms);
    }

    /// How long ago a caller with so much patience has likely asked first, in milliseconds: none as long as little
    /// is known, or one that asks for the first time may bring as much.
    pub fn asked_before(&self, ms: Millis) -> Millis {
        let quantile = |it| self.times.quantile(it).map(|it| it as f64);
        let Some((high, middle)) = quantile(HIGH_PATIENCE).zip(quantile(0.5)) else { return 0 };
        // Of few callers the middle and the upper end are known by and by only.
        let below = SPREAD_BELOW * (1.0 + FEW / (self.times.len() as f64).sqrt());
        let lowest = high - below * (high - middle) - PATIENCE_ERROR * high;
        if lowest <= ms as f64 { 0 } else { (middle as Millis).saturating_sub(ms) }
    }
}

/// What a stage may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Budget {
    /// The stage may use this much, in milliseconds.
    Use(Millis),
    /// The request cannot end in time: what remains is below what the stages ahead need.
    Hopeless {
        /// What the stages ahead need at the least, in milliseconds.
        need: Millis,
    },
}

/// Budget of a stage: what remains, less what the stages after it usually take.
///
/// `own` and `later` are low quantiles (the tenth of a hundred): a request is given up only when
/// even a good run could not save it. The caller keeps the whole of what remains for a last stage.
pub fn budget(remaining: Millis, own: Option<Millis>, later: &[Option<Millis>]) -> Budget {
    let after: Millis = later.iter().flatten().sum();
    let need = own.unwrap_or(0) + after;
    if remaining <= need {
        return Budget::Hopeless { need };
    }
    Budget::Use(remaining - after)
}
