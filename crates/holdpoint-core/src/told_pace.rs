//! How long work takes at a target at this moment, as the target tells it.
//!
//! Targets share their machines with others, so the figure changes many times a second, and an answer tells
//! it as it was when the answer was made. The next call begins later and lasts for a while, so what counts
//! for it is a mean over some figures, which fades into the usual pace as it ages.

use crate::ids::Millis;

/// Time over which figures are averaged, in milliseconds: about that of a stage's call, over which the figure
/// changes several times.
const MEAN_MS: f64 = 400.0;
/// Age at which what was told has lost half its weight, in milliseconds.
const TRUST_MS: f64 = 1000.0;
/// Bounds of a figure that is believed, as a multiple of the usual time.
const BOUNDS: (f64, f64) = (0.2, 10.0);
/// Multiple of the usual time from which on a silence says that the target is slow, not that it has failed.
const SLOW: f64 = 1.5;

/// What a target has told of its pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldPace {
    /// Mean of the figures, as a multiple of the usual time.
    mean: f64,
    at: Option<Millis>,
}

impl ToldPace {
    /// Takes in how long work takes at a moment, in hundredths of the usual time.
    pub fn told(&mut self, now: Millis, percent: u32) {
        let figure = (f64::from(percent) / 100.0).clamp(BOUNDS.0, BOUNDS.1);
        let newest = match self.at {
            None => 1.0,
            Some(at) => 1.0 - (-(now.saturating_sub(at).max(1) as f64) / MEAN_MS).exp(),
        };
        self.mean += newest * (figure - self.mean);
        self.at = Some(now);
    }

    /// How much longer than usual work is expected to take: 1 where nothing was told.
    pub fn factor(&self, now: Millis) -> f64 {
        let Some(at) = self.at else { return 1.0 };
        let trust = 0.5_f64.powf(now.saturating_sub(at) as f64 / TRUST_MS);
        1.0 + trust * (self.mean - 1.0)
    }

    /// Whether the target has told of late that work takes so long there that a silence is no failure.
    pub fn is_slow(&self, now: Millis) -> bool {
        SLOW <= self.factor(now)
    }
}
