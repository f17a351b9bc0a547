//! Rate limit of cold targets. For some seconds after its start, or after its failure domain was restored,
//! a target handles few calls per second and fails under more.
//!
//! A cold target has the lowest load, so any load-based route would flood it. Each cold target therefore has
//! a token bucket. An instance that places all prompts of a service spends the whole rate; where each
//! instance decides for itself, each has an equal share.

use crate::ids::Millis;

/// Fraction of the rate spent by a single deciding instance. The rest is a margin for moments at which
/// instances disagree on which one decides.
const WHOLE_FRACTION: f64 = 0.85;
/// Fraction of the rate spent by all instances together where each decides. Lower, since their calls may
/// coincide.
const SHARED_FRACTION: f64 = 0.35;
/// Capacity of a bucket, in calls.
const CAPACITY: f64 = 1.0;

/// Share of a cold target's rate available to one decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// This instance decides for all.
    Whole,
    /// This many instances decide, each for itself.
    Of(usize),
}

impl Share {
    /// Calls per second to one target whose total rate is `per_s`.
    fn rate(self, per_s: f64) -> f64 {
        match self {
            Share::Whole => per_s * WHOLE_FRACTION,
            Share::Of(instances) => per_s * SHARED_FRACTION / instances.max(1) as f64,
        }
    }
}

/// Token bucket of one cold target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Credits {
    until: Millis,
    tokens: f64,
    updated: Millis,
}

impl Credits {
    /// Marks the target as cold until a time. `filled` is the initial level of the bucket, from 0 to 1.
    pub fn set_cold(&mut self, now: Millis, until: Millis, filled: f64) {
        if !self.is_cold(now) {
            (self.tokens, self.updated) = (filled, now);
        }
        self.until = until;
    }

    /// Whether the target is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Time until the target may get a call, in milliseconds; 0 if it may get one now.
    pub fn wait_ms(&self, now: Millis, per_s: f64, share: Share) -> Millis {
        let rate = share.rate(per_s);
        if !self.is_cold(now) || rate <= 0.0 {
            return 0;
        }
        let missing = (CAPACITY - self.tokens_at(now, rate)).max(0.0);
        ((1000.0 * missing / rate).ceil() as Millis).min(self.until - now)
    }

    /// Spends the token of one call.
    pub fn spend(&mut self, now: Millis, per_s: f64, share: Share) {
        if self.is_cold(now) {
            self.tokens = (self.tokens_at(now, share.rate(per_s)) - 1.0).max(0.0);
            self.updated = now;
        }
    }

    fn tokens_at(&self, now: Millis, rate: f64) -> f64 {
        let gained = now.saturating_sub(self.updated) as f64 * rate / 1000.0;
        (self.tokens + gained).min(CAPACITY)
    }
}
