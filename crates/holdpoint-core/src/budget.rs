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
        (self.resends.len() + 1) as f64 <= allowed
    }

    /// Spends one resent call; `false` if the budget is exhausted.
    pub fn spend(&mut self, now: Millis, terms: &Terms) -> bool {
        let is_allowed = self.can_spend(now, terms);
        if is_allowed {
            self.resends.push_back(now);
        }
        is_allowed
    }

    /// Returns the last resent call to the budget, since it reached no target.
    pub fn refund(&mut self) {
        self.resends.pop_back();
    }
}

fn remove_expired(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|it| *it + window_ms < now) {
        times.pop_front();
    }
}
