//! Rate limits that targets announce, in requests per second from all instances together.
//!
//! One instance owns the rate-limit state of a target, and all others ask it before they send. A fixed share
//! for each instance would leave most of a small limit unused when requests arrive unevenly. The state is the
//! time of the last admitted request; the next one is admitted after the interval that the limit implies. A
//! new owner does not know what the previous one admitted, so it waits first.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    directory::TargetId,
    ids::{Millis, Name},
};

/// Minimum rate of requests to a target, per second. A target with a limit of zero still gets some, since only
/// its answers show that the limit has ended.
const MIN_PER_S: f64 = 0.1;
/// Maximum unused time that later requests may catch up on, in milliseconds, since requests arrive in bursts.
const BURST_MS: f64 = 100.0;
/// Minimum time for which a new owner admits nothing, in milliseconds. It covers the time for which
/// instances may disagree on the owner.
const TAKEOVER_WAIT_MS: Millis = 1000;
/// How long ended limits and limits of unknown targets are kept, in milliseconds: longer than updates take
/// to arrive.
const RETENTION_MS: Millis = 60_000;
/// Age from which a requester's limit counts as stale if the owner knows of none, in milliseconds. The
/// requester has missed that the limit ended.
const STALE_MS: Millis = 10_000;
/// Maximum time that a limit update takes between instances, in milliseconds.
const MAX_TRANSIT_MS: Millis = 100;
/// Maximum fraction of a limit that is admitted while another instance may own the state too, as during a
/// network partition.
const CONTESTED_SHARE: f64 = 0.5;

/// The limit announced in a target's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// No limit.
    #[default]
    Nothing,
    /// Requests per second.
    PerSecond(f64),
    /// A value that cannot be parsed; the known limit stays.
    Invalid,
}

/// Effect of an update on the known limit of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// No change.
    Nothing,
    /// The target has a limit now and had none before.
    Began,
    /// The limit has changed.
    Altered {
        /// The previous limit, in requests per second.
        before: f64,
    },
    /// The target has no limit any more.
    Ended,
}

/// Whether this instance is certain to be the only owner of the rate-limit states that it owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keeping {
    /// All candidates for ownership are reachable.
    Sure,
    /// Some candidates are unreachable, and may act as owners for other instances.
    Unsure {
        /// Number of reachable candidates, including this instance.
        reached: usize,
        /// Number of all candidates.
        of: usize,
    },
}

impl Keeping {
    fn share(self) -> f64 {
        match self {
            Keeping::Sure => 1.0,
            // The shares of all sides of a partition add up to at most the whole limit.
            Keeping::Unsure { reached, of } => {
                (reached.max(1) as f64 / of.max(1) as f64).min(CONTESTED_SHARE)
            }
        }
    }
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Slot {
    /// The target has no limit.
    Free,
    /// Admitted now, and counted against the limit.
    Taken,
    /// Refused; to be retried after this many milliseconds.
    Refused(Millis),
}

/// What a target currently admits, as known to an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance<'a> {
    /// The target.
    pub target: &'a str,
    /// Requests per second sent to it; `None` if it has no limit.
    pub per_s: Option<f64>,
    /// Until when no request is admitted, in milliseconds.
    pub closed_until: Millis,
}

/// The time span in which a target made an answer: after the request was sent and before the answer arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSpan {
    /// When the request was sent.
    pub sent: Millis,
    /// When the answer arrived.
    pub received: Millis,
}

/// An update on a target's limit, as sent between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: Name,
    /// Requests per second; `None` if the target has no limit any more.
    pub per_s: Option<f64>,
    /// Time since the request was sent whose answer announced the limit, in milliseconds.
    pub sent_ms: Millis,
    /// Time since that answer arrived, in milliseconds.
    pub age_ms: Millis,
}

impl LimitNews {
    /// Returns the time span of the answer by the receiver's clock, for an update received at `now`. The span
    /// starts earlier by the maximum transit time, which is not part of the ages sent.
    pub fn made(&self, now: Millis) -> AnswerSpan {
        let sent = now.saturating_sub(self.sent_ms + MAX_TRANSIT_MS);
        AnswerSpan { sent, received: now.saturating_sub(self.age_ms) }
    }
}

/// Rate-limit state of a target.
#[derive(Clone, Copy, Debug, Default)]
struct RateState {
    /// Since when this instance owns it; `None` if it does not.
    since: Option<Millis>,
    /// When the last request was admitted, or could have been at the earliest, in milliseconds.
    last: f64,
}

/// The known limit of a target.
#[derive(Clone, Debug)]
struct Limit {
    service: Name,
    /// Requests per second; `None` once the target has no limit any more.
    per_s: Option<f64>,
    /// When the answer with this limit was made.
    made: AnswerSpan,
    /// Whether this instance has received such an answer itself.
    is_observed: bool,
    rate: RateState,
    /// Until when the owner has refused further requests.
    refused_until: Millis,
}

impl Limit {
    /// Requests per second that are sent; `None` if there is no limit.
    fn sent_per_s(&self) -> Option<f64> {
        self.per_s.map(|it| it.max(MIN_PER_S))
    }

    /// Time between requests in milliseconds; `None` if there is no limit.
    fn interval_ms(&self, keeping: Keeping) -> Option<f64> {
        Some(1000.0 / (self.sent_per_s()? * keeping.share()))
    }

    /// When the next request is admitted, in milliseconds; in the past if time was left unused.
    fn next(&self, now: Millis, interval: f64) -> f64 {
        let since = self.rate.since.unwrap_or(now);
        // The previous owner may have admitted a request just before the takeover.
        let start = since as f64 + interval.max(TAKEOVER_WAIT_MS as f64);
        (self.rate.last + interval).max(start).max(now as f64 - BURST_MS)
    }

    /// Until when no further request is admitted, as known to this instance.
    fn closed_until(&self, now: Millis, keeping: Keeping) -> Millis {
        let Some(interval) = self.interval_ms(keeping) else { return 0 };
        match self.rate.since {
            Some(_) => self.next(now, interval).ceil() as Millis,
            None => self.refused_until,
        }
    }
}

/// The limits of targets known to an instance.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    limits: HashMap<TargetId, Limit>,
}

impl TargetLimits {
    /// Applies the limit announced in an answer that this instance received.
    pub fn observe(
        &mut self,
        made: AnswerSpan,
        (id, service): (&str, &str),
        named: NamedLimit,
    ) -> Change {
        let change = match named {
            NamedLimit::PerSecond(it) => self.learn(made, (id, service), Some(it)),
            NamedLimit::Nothing if self.limits.contains_key(id) => {
                self.learn(made, (id, service), None)
            }
            NamedLimit::Nothing | NamedLimit::Invalid => return Change::Nothing,
        };
        if let Some(it) = self.limits.get_mut(id) {
            it.is_observed = true;
        }
        change
    }

    /// Applies a limit in requests per second, or the absence of one, from an answer made in the span `made`.
    /// Answers may arrive out of order: if the spans of this answer and the last one overlap, the lower limit
    /// applies, since it is unknown which is newer.
    pub fn learn(
        &mut self,
        made: AnswerSpan,
        (id, service): (&str, &str),
        per_s: Option<f64>,
    ) -> Change {
        let Some(limit) = self.limits.get_mut(id) else {
            let (service, rate) = (service.to_owned(), RateState::default());
            let limit = Limit { service, per_s, made, is_observed: false, rate, refused_until: 0 };
            self.limits.insert(id.to_owned(), limit);
            return if per_s.is_some() { Change::Began } else { Change::Nothing };
        };
        let most = |it: Option<f64>| it.unwrap_or(f64::INFINITY);
        let known = limit.made;
        let is_earlier = made.received < known.sent;
        let is_later = known.received <= made.sent;
        if is_earlier || (!is_later && most(limit.per_s) < most(per_s)) {
            return Change::Nothing;
        }
        limit.made = AnswerSpan {
            sent: known.sent.max(made.sent),
            received: known.received.max(made.received),
        };
        match (std::mem::replace(&mut limit.per_s, per_s), per_s) {
            (Some(before), Some(now)) if before != now => Change::Altered { before },
            (None, Some(_)) => Change::Began,
            (Some(_), None) => Change::Ended,
            _ => Change::Nothing,
        }
    }

    /// Sets whether this instance owns the rate-limit state of a target.
    pub fn keep(&mut self, now: Millis, id: &str, is_owner: bool) {
        let Some(limit) = self.limits.get_mut(id) else { return };
        match (limit.rate.since, is_owner) {
            (None, true) => limit.rate = RateState { since: Some(now), last: f64::NEG_INFINITY },
            (Some(_), false) => {
                limit.rate.since = None;
                limit.refused_until = 0;
            }
            _ => (),
        }
    }

    /// Admits a request to a target if the limit allows one now. The caller must be the owner of the state.
    pub fn take(&mut self, now: Millis, id: &str, keeping: Keeping) -> Slot {
        self.keep(now, id, true);
        let Some(limit) = self.limits.get_mut(id) else { return Slot::Free };
        let Some(interval) = limit.interval_ms(keeping) else { return Slot::Free };
        let next = limit.next(now, interval);
        let wait = (next - now as f64).ceil();
        if 0.0 < wait {
            return Slot::Refused(wait as Millis);
        }
        limit.rate.last = next;
        Slot::Taken
    }

    /// Whether a requester's limit is stale, as judged by this instance as the owner.
    pub fn is_stale(&self, update: &LimitNews) -> bool {
        !self.limits.contains_key(&update.target) && STALE_MS <= update.age_ms
    }

    /// Records that the owner of a target's state admits nothing for `ms` milliseconds.
    pub fn refused(&mut self, now: Millis, id: &str, ms: Millis) {
        if let Some(it) = self.limits.get_mut(id) {
            it.refused_until = now + ms;
        }
    }

    /// The allowances of a service's targets that have a limit or had one recently.
    pub fn allowances<'a>(
        &'a self,
        now: Millis,
        service: &'a str,
        keeping: Keeping,
    ) -> impl Iterator<Item = Allowance<'a>> {
        let its = self.limits.iter().filter(move |it| it.1.service == service);
        its.map(move |(target, it)| Allowance {
            target,
            per_s: it.sent_per_s(),
            closed_until: it.closed_until(now, keeping),
        })
    }

    /// Total requests per second sent to a service's targets that have a limit.
    pub fn total_per_s(&self, service: &str) -> f64 {
        let its = self.limits.values().filter(|it| it.service == service);
        its.filter_map(Limit::sent_per_s).sum()
    }

    /// Drops the limit of a target that has left or restarted.
    pub fn remove(&mut self, id: &str) {
        self.limits.remove(id);
    }

    /// Removes old entries of ended limits and of unknown targets.
    pub fn forget(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        let is_new = |it: &Limit| now < it.made.received + RETENTION_MS;
        self.limits.retain(|id, it| is_new(it) || (it.per_s.is_some() && is_known(id)));
    }

    /// Whether this instance owns the rate-limit state of any target.
    pub fn keeps_any(&self) -> bool {
        self.limits.values().any(|it| it.rate.since.is_some())
    }

    /// Whether no limit is known, neither current nor ended.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Whether a target has a limit.
    pub fn is_limited(&self, id: &str) -> bool {
        self.per_s(id).is_some()
    }

    /// Whether this instance has received an answer with the target's limit itself, not only updates of peers.
    pub fn is_observed(&self, id: &str) -> bool {
        self.limits.get(id).is_some_and(|it| it.is_observed)
    }

    /// The limit of a target in requests per second, if it has one.
    pub fn per_s(&self, id: &str) -> Option<f64> {
        self.limits.get(id)?.per_s
    }

    /// Ids of all targets that have a limit or had one recently.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.limits.keys()
    }

    /// The update on a target's limit to send to other instances; `None` if no limit is known.
    pub fn news(&self, now: Millis, id: &str) -> Option<LimitNews> {
        let limit = self.limits.get(id)?;
        let ago = |at: Millis| now.saturating_sub(at);
        Some(LimitNews {
            target: id.to_owned(),
            service: limit.service.clone(),
            per_s: limit.per_s,
            sent_ms: ago(limit.made.sent),
            age_ms: ago(limit.made.received),
        })
    }
}
