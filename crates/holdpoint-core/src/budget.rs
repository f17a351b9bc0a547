//! A retry budget that all instances share without talking.
//!
//! The rule is one for the whole system: within any window, a service may receive no more second
//! sends than a ratio of its requests, plus a slack. Each instance spends the ratio of its own
//! requests and an equal part of the slack, so the sum over all instances keeps the rule.

use std::collections::VecDeque;

use crate::ids::Millis;

/// Part of the allowance that is used, so that windows that begin elsewhere keep the rule too.
const MARGIN: f64 = 0.6;

/// Terms of the rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Second sends for each request.
    pub ratio: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: Millis,
    /// Second sends allowed beside the ratio, for all instances together.
    pub slack: f64,
    /// Instances that share the slack.
    pub instances: usize,
}

/// Counts the requests for one service and the second sends to it, on one instance.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl SharedBudget {
    /// Counts a request for the service.
    pub fn request(&mut self, now: Millis, terms: &Terms) {
        forget(&mut self.requests, now, terms.window_ms);
        self.requests.push_back(now);
    }

    /// Spends a second send where the budget has it.
    pub fn spend(&mut self, now: Millis, terms: &Terms) -> bool {
        forget(&mut self.requests, now, terms.window_ms);
        forget(&mut self.repeats, now, terms.window_ms);
        let share = terms.slack / terms.instances.max(1) as f64;
        let allowed = MARGIN * (terms.ratio * self.requests.len() as f64 + share);
        if allowed < (self.repeats.len() + 1) as f64 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Takes back the second send that was spent last: it has reached no target.
    pub fn take_back(&mut self) {
        self.repeats.pop_back();
    }
}

fn forget(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|it| *it + window_ms < now) {
        times.pop_front();
    }
}
