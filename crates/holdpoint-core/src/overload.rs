//! Targets that crash when they have to reject too many requests in a second, and say so in their answers.
//!
//! The instances share the rejections that such a target can bear: after one, an instance sends nothing there for its
//! share of the time. After that it sends one request at a time, and one more with each that is accepted.

use std::collections::HashMap;

use crate::{directory::TargetId, ids::Millis};

/// Part of the rejections that a target can bear that the pauses leave. The first ones come before any pause.
const PAUSED_SHARE: f64 = 0.5;
/// How long a request that ended without an answer keeps its place: the target may still reject it, and the limit holds
/// for a second.
const UNANSWERED_MS: Millis = 1000;
/// Longest pause after a rejection, in milliseconds.
const MAX_PAUSE_MS: Millis = 10_000;

#[derive(Clone, Debug)]
struct Guard {
    /// Requests that were sent and not yet accepted or rejected.
    pending: u32,
    /// Until when requests that ended without an answer keep their places.
    unanswered: Vec<Millis>,
    /// Most of these at a time.
    cap: u32,
    paused_until: Millis,
}

/// Whether a target may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It states no limit.
    Unlimited,
    /// It may, and the request is counted until [`Overloads::end`].
    Counted,
    /// Not now.
    Refused,
}

/// State of the targets that state an overload limit, on one instance.
#[derive(Clone, Debug, Default)]
pub struct Overloads {
    guards: HashMap<TargetId, Guard>,
}

impl Overloads {
    /// Counts a request as sent to a target.
    pub fn begin(&mut self, now: Millis, target: &str) -> Admission {
        let Some(guard) = self.guards.get_mut(target) else { return Admission::Unlimited };
        guard.unanswered.retain(|it| now < *it);
        if guard.cap as usize <= guard.pending as usize + guard.unanswered.len()
            || now < guard.paused_until
        {
            return Admission::Refused;
        }
        guard.pending += 1;
        Admission::Counted
    }

    /// Counts an admitted request as ended, with or without an answer.
    pub fn end(&mut self, now: Millis, target: &str, is_answered: bool) {
        if let Some(it) = self.guards.get_mut(target) {
            it.pending = it.pending.saturating_sub(1);
            if !is_answered {
                it.unanswered.push(now + UNANSWERED_MS);
            }
        }
    }

    /// Records an answer of a target, which states that it crashes if it has to reject more than `limit` requests per
    /// second from all instances, or states no limit. `share` is the number of requests that this instance may have
    /// there at a time, so that all instances together send no more than the target runs.
    pub fn record_accepted(&mut self, now: Millis, target: &str, limit: Option<f64>, share: u32) {
        if limit.is_none() {
            if !self.guards.is_empty() {
                self.guards.remove(target);
            }
            return;
        }
        let guard = self.guard_mut(target);
        // What was sent before the pause says nothing about the room after it.
        if guard.paused_until <= now {
            guard.cap = guard.cap.saturating_add(1).min(share.max(1));
        }
    }

    /// Records a rejection for want of room by a target with this limit. Returns the pause in milliseconds, given how
    /// many instances share the limit.
    pub fn record_rejected(
        &mut self,
        now: Millis,
        target: &str,
        limit: f64,
        instances: usize,
    ) -> Millis {
        let per_s = PAUSED_SHARE * limit / instances.max(1) as f64;
        let share_ms = (1000.0 / per_s).min(MAX_PAUSE_MS as f64);
        let guard = self.guard_mut(target);
        guard.cap = 1;
        // Each of several rejections at once uses up a share. The clock truncates the time of the rejection.
        let from = guard.paused_until.max(now);
        guard.paused_until = (from + share_ms.ceil() as Millis + 1).min(now + MAX_PAUSE_MS);
        guard.paused_until - now
    }

    /// Removes a target that is gone or has restarted.
    pub fn remove(&mut self, target: &str) {
        self.guards.remove(target);
    }

    fn guard_mut(&mut self, target: &str) -> &mut Guard {
        let new = || Guard { pending: 0, unanswered: Vec::new(), cap: u32::MAX, paused_until: 0 };
        self.guards.entry(target.to_owned()).or_insert_with(new)
    }
}
