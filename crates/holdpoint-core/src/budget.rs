//! A retry budget that all instances share without coordination.
//!
//! Within any window, a service may receive resent calls up to a ratio of its requests plus a slack, over
//! all instances. Each instance spends the ratio of its own requests and an equal share of the slack, so
//! the sum over all instances stays within the limit.

use std::collections::VecDeque;

use crate::ids::Millis;

/// Fraction of the allowance that is spent, so that windows with other start times stay within it too.
const USED_FRACTION: f64 = 0.6;

/// Parameters of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Resent calls allowed per request.
    pub ratio: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: Millis,
    /// Resent calls allowed in addition, for all instances together.
    pub slack: f64,
    /// Instances that share the slack.
    pub instances: usize,
}

/// Counts the requests for one service and the calls resent to it, on one instance.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget {
    requests: VecDeque<Millis>,
    resends: VecDeque<Millis>,
    /// Resent calls that are being prepared.
    reserved: usize,
}

impl SharedBudget {
    /// Counts a request for the service.
    pub fn request(&mut self, now: Millis, terms: &Terms) {
        remove_expired(&mut self.requests, now, terms.window_ms);
        self.requests.push_back(now);
    }

    /// Whether the budget allows a resent call.
    pub fn can_spend(&mut self, now: Millis, terms: &Terms) -> bool {
        remove_expired(&mut self.requests, now, terms.window_ms);
        remove_expired(&mut self.resends, now, terms.window_ms);
        let share = terms.slack / terms.instances.max(1) as f64;
        let allowed = USED_FRACTION * (terms.ratio * self.requests.len() as f64 + share);
        (self.resends.len() + self.reserved + 1) as f64 <= allowed
    }

    /// Spends one resent call; `false` if the budget is exhausted.
    pub fn spend(&mut self, now: Millis, terms: &Terms) -> bool {
        let is_allowed = self.reserve(now, terms);
        if is_allowed {
            self.spend_reserved(now);
        }
        is_allowed
    }

    /// Reserves a resent call that is being prepared; `false` if the budget is exhausted.
    pub fn reserve(&mut self, now: Millis, terms: &Terms) -> bool {
        let is_allowed = self.can_spend(now, terms);
        self.reserved += usize::from(is_allowed);
        is_allowed
    }

    /// Spends a reserved call, which is sent now.
    pub fn spend_reserved(&mut self, now: Millis) {
        self.cancel_reserved();
        self.resends.push_back(now);
    }

    /// Returns a reserved call that is not sent.
    pub fn cancel_reserved(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns a call that was spent at `sent`, since it reached no target.
    pub fn refund(&mut self, sent: Millis) {
        if let Some(it) = self.resends.iter().rposition(|it| *it == sent) {
            self.resends.remove(it);
        }
    }
}

fn remove_expired(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|it| *it + window_ms < now) {
        times.pop_front();
    }
}
