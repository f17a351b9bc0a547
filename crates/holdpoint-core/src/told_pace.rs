//! Current pace of a target, estimated from what it reports with its answers.
//!
//! Targets share their machines with others, so the pace changes many times a second, and a report
//! is outdated when the next call starts. So the pace during that call is predicted by a moving
//! average of the reports, which decays to the usual pace as it ages.

use crate::ids::Millis;

/// Time constant of the moving average, in milliseconds: about the duration of a stage's call.
const AVERAGING_MS: f64 = 400.0;
/// Age at which the average has lost half its weight, in milliseconds.
const HALF_LIFE_MS: f64 = 1000.0;
/// Bounds of reported values, as multiples of the usual time.
const FACTOR_RANGE: (f64, f64) = (0.2, 10.0);
/// Multiple of the usual time from which a timeout means a slow target and not a failed one.
const SLOW_FACTOR: f64 = 1.5;

/// Moving average of a target's reported pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldPace {
    /// As a multiple of the usual time.
    mean: f64,
    updated: Option<Millis>,
}

impl ToldPace {
    /// Records a report, in percent of the usual time.
    pub fn told(&mut self, now: Millis, percent: u32) {
        let reported = (f64::from(percent) / 100.0).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        let weight = match self.updated {
            None => 1.0,
            Some(at) => 1.0 - (-(now.saturating_sub(at).max(1) as f64) / AVERAGING_MS).exp(),
        };
        self.mean += weight * (reported - self.mean);
        self.updated = Some(now);
    }

    /// Expected multiple of the usual time; 1 without reports.
    pub fn factor(&self, now: Millis) -> f64 {
        let Some(at) = self.updated else { return 1.0 };
        let weight = 0.5_f64.powf(now.saturating_sub(at) as f64 / HALF_LIFE_MS);
        1.0 + weight * (self.mean - 1.0)
    }

    /// Whether the target reported itself so slow that a timeout is no failure.
    pub fn is_slow(&self, now: Millis) -> bool {
        SLOW_FACTOR <= self.factor(now)
    }
}
