//! Credits for targets that are cold: for some seconds after its start, or after its failure domain was
//! restored, a target carries few calls a second and collapses under more.
//!
//! The emptiest target is the cold one, so any route by load would flood it. Each cold target therefore
//! has a token bucket. One instance that places all prompts of a service spends its whole rate; where
//! each instance decides for itself, each has an equal share.

use crate::ids::Millis;

/// Part of the rate that one instance spends for all; the rest is left for instances whose view of who
/// decides differs for a moment.
const WHOLE_PART: f64 = 0.85;
/// The same where all instances spend shares: shares that come due together make more than the mean.
const SHARED_PART: f64 = 0.35;
/// Calls that a bucket holds at most.
const MOST: f64 = 1.0;

/// The part of a cold target's rate that one decision may draw on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// This instance decides for all.
    Whole,
    /// So many instances decide, each for itself.
    Of(usize),
}

impl Share {
    /// Calls a second to one target that carries `per_s`.
    fn rate(self, per_s: f64) -> f64 {
        match self {
            Share::Whole => per_s * WHOLE_PART,
            Share::Of(instances) => per_s * SHARED_PART / instances.max(1) as f64,
        }
    }
}

/// Credits of one cold target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Credits {
    until: Millis,
    tokens: f64,
    at: Millis,
}

impl Credits {
    /// Takes in until when the target is cold. `filled` is the part of a call, from 0 to 1, that the
    /// bucket begins with.
    pub fn set_cold(&mut self, now: Millis, until: Millis, filled: f64) {
        if !self.is_cold(now) {
            (self.tokens, self.at) = (filled, now);
        }
        self.until = until;
    }

    /// Whether the target is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }

    /// How long the target gets no call, in milliseconds; 0 where it may have one now.
    pub fn wait_ms(&self, now: Millis, per_s: f64, share: Share) -> Millis {
        let rate = share.rate(per_s);
        if !self.is_cold(now) || rate <= 0.0 {
            return 0;
        }
        let missing = (MOST - self.tokens_at(now, rate)).max(0.0);
        ((1000.0 * missing / rate).ceil() as Millis).min(self.until - now)
    }

    /// Spends the credit of one call.
    pub fn spend(&mut self, now: Millis, per_s: f64, share: Share) {
        if self.is_cold(now) {
            self.tokens = (self.tokens_at(now, share.rate(per_s)) - 1.0).max(0.0);
            self.at = now;
        }
    }

    fn tokens_at(&self, now: Millis, rate: f64) -> f64 {
        let gained = now.saturating_sub(self.at) as f64 * rate / 1000.0;
        (self.tokens + gained).min(MOST)
    }
}
