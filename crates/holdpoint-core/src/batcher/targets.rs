//! State of a service's targets: whether they may be called, their slowness and their room for
//! results.

use std::{cmp::Reverse, collections::BTreeMap};

use super::{Batcher, pack::BACKLOG_FRACTION};
use crate::{
    choice::Load,
    directory::TargetId,
    ids::Millis,
    items::{Call, CallEnd},
    reported_pace::ReportedPace,
};

/// How long a target gets no calls after a failure, in milliseconds; doubled with each further
/// failure.
const EJECTION_MS: Millis = 500;
/// Upper bound of that time, in milliseconds.
const MAX_EJECTION_MS: Millis = 4000;
/// How long a target gets no calls after it was full or out of room, in milliseconds.
const FULL_EJECTION_MS: Millis = 80;
/// Weight of the newest call in the moving average of a target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Slowness, absolute or relative to the fastest target, from which a target counts as slow.
pub(super) const SLOW_RATIO: f64 = 2.0;
/// After a timeout, the call is assumed to need at least this multiple of the time waited.
const TIMEOUT_SLOWNESS: f64 = 1.5;
/// Upper bound of the slowness after a timeout, which also bounds the next timeout.
const MAX_SLOWNESS: f64 = 8.0;
/// Idle time after which a slow target gets a call again without a backlog, in milliseconds.
const SLOW_PROBE_MS: Millis = 2000;
/// How long a target counts as full after it rejected an item for which it should have had room, in
/// milliseconds.
const UNKNOWN_RESULTS_MS: Millis = 300;
/// How long a target counts as shared after a report of other instances' calls, in milliseconds.
/// Instances may disagree for about this long on which of them batches a service.
const SHARED_MS: Millis = 2000;

#[derive(Clone, Debug, Default)]
pub(super) struct Target {
    pub(super) domain: String,
    /// Whether it gets no new calls, for example because it is draining.
    pub(super) is_closed: bool,
    /// Whether it gets only confined items whose regions have no open target.
    pub(super) is_fallback: bool,
    /// Number of calls in progress.
    pub(super) calls: u32,
    /// Number of consecutive failures.
    pub(super) failures: u32,
    pub(super) ejected_until: Millis,
    /// Mean ratio of its call times to the nominal ones at its usual pace; 1 until measured.
    pub(super) slowness: f64,
    /// Its reported pace, relative to the usual one.
    pub(super) pace: ReportedPace,
    /// Room reserved by calls and used by results, in bytes.
    pub(super) used_bytes: u64,
    /// When its last call ended.
    pub(super) idle_since: Millis,
    /// When its latest call is expected to end.
    pub(super) busy_until: Millis,
    /// Until when it counts as called by other instances too.
    pub(super) shared_until: Millis,
    /// Until when it gets no calls because its rate limit is used up.
    pub(super) limited_until: Millis,
    /// Until when it gets no calls because it asked this instance to back off.
    pub(super) backoff_until: Millis,
    /// Its rate limit in calls per second, if it has one.
    pub(super) rate_limit: Option<f64>,
}

impl Target {
    /// Whether no ejection, rate limit or backoff prevents calls.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        self.ejected_until <= now && self.limited_until <= now && self.backoff_until <= now
    }

    /// Class of targets that get the same items: `None` for open ones, the failure domain for closed ones, whose items
    /// do not profit from faster targets elsewhere.
    fn class(&self) -> Option<&str> {
        self.is_closed.then_some(self.domain.as_str())
    }

    /// Calls per millisecond with `calls` calls of `call_ms` milliseconds at once, within its rate
    /// limit.
    pub(super) fn calls_per_ms(&self, calls: f64, call_ms: f64) -> f64 {
        let max_rate = self.rate_limit.map_or(f64::INFINITY, |it| it / 1000.0);
        (calls / call_ms).min(max_rate)
    }

    /// Ratio of its call times to the nominal ones at this moment.
    pub(super) fn slowness_at(&self, now: Millis) -> f64 {
        self.slowness * self.pace.factor(now)
    }
}

#[derive(Clone, Debug)]
pub(super) struct StoredResult {
    pub(super) target: TargetId,
    pub(super) bytes: u64,
    pub(super) until: Millis,
}

impl Batcher {
    /// Records the end of a call. `results` has the handle of each item's result, in the order of
    /// the items; it is empty or all `None` if the call was not answered.
    pub fn record_end(&mut self, now: Millis, call: &Call, end: CallEnd, results: &[Option<&str>]) {
        let nominal_ms = self.sizes.nominal_ms(call.items.len());
        let mut freed = 0;
        for (index, item) in call.items.iter().enumerate() {
            match results.get(index).copied().flatten() {
                Some(handle) => {
                    let until = now + self.sizes.keep_ms;
                    let stored =
                        StoredResult { target: call.target.clone(), bytes: item.bytes, until };
                    self.store(handle.to_owned(), stored);
                }
                None => freed += item.bytes,
            }
        }
        let Some(target) = self.targets.get_mut(&call.target) else { return };
        target.calls = target.calls.saturating_sub(1);
        target.idle_since = now;
        target.used_bytes = target.used_bytes.saturating_sub(freed);
        match end {
            CallEnd::Answered(ms) => {
                let ratio = ms as f64 / nominal_ms.max(1.0) / target.pace.factor(now);
                target.slowness += SLOWNESS_WEIGHT * (ratio - target.slowness);
                target.failures = 0;
            }
            CallEnd::Full => target.ejected_until = now + FULL_EJECTION_MS,
            CallEnd::Failed | CallEnd::TimedOut(_) => {
                if let CallEnd::TimedOut(ms) = end {
                    // It may be slow rather than down: the next call gets a longer timeout.
                    let min_slowness = TIMEOUT_SLOWNESS * ms as f64 / nominal_ms.max(1.0);
                    target.slowness = target.slowness.max(min_slowness).min(MAX_SLOWNESS);
                }
                let span = EJECTION_MS << target.failures.min(4);
                target.ejected_until = now + span.min(MAX_EJECTION_MS);
                target.failures += 1;
            }
        }
    }

    /// Records the load that a target reported with an answer: its running and queued calls, not
    /// counting the `answered` calls of this instance that ended with it. If that is more than this
    /// instance has in progress, another instance calls the target too. Missing inputs do not count
    /// as such a sign: they are lost when a target crashes, and treating the target as shared would
    /// keep inputs stored until calls end, which fills the room of the targets that produced them.
    pub fn record_load(&mut self, now: Millis, target: &str, load: Load, answered: u32) {
        let Some(found) = self.targets.get_mut(target) else { return };
        if let Some(it) = load.pace_percent {
            found.pace.record(now, it);
        }
        let calls = load.running + load.waiting;
        if found.calls.saturating_sub(answered) < calls {
            found.shared_until = now + SHARED_MS;
        }
    }

    /// Sets a target's rate limit in calls per second, if it has one, and until when it gets no
    /// calls.
    pub fn set_limit(&mut self, target: &str, rate_limit: Option<f64>, limited_until: Millis) {
        if let Some(it) = self.targets.get_mut(target) {
            (it.rate_limit, it.limited_until) = (rate_limit, limited_until);
        }
    }

    /// Sends a target no calls until this time, since it asked this instance to back off.
    pub fn back_off_until(&mut self, target: &str, until: Millis) {
        if let Some(it) = self.targets.get_mut(target) {
            it.backoff_until = until;
        }
    }

    /// Milliseconds until the first open target may be called, if all of them asked this instance
    /// to back off.
    pub fn backoff_ms(&self, now: Millis) -> Option<Millis> {
        let available = self.targets.values().filter(|it| !it.is_closed);
        let until = available.map(|it| it.backoff_until).min()?;
        (now < until).then(|| until - now)
    }

    /// Records that a target had no room for an item although its tracked usage left some.
    pub fn record_no_room(&mut self, now: Millis, target: &str) {
        let Some(found) = self.targets.get_mut(target) else { return };
        found.ejected_until = found.ejected_until.max(now + FULL_EJECTION_MS);
        // The room is used by results of other instances' calls, which expire.
        let unknown = self.sizes.room_bytes.saturating_sub(found.used_bytes);
        found.used_bytes += unknown;
        let until = now + UNKNOWN_RESULTS_MS;
        let stored = StoredResult { target: target.to_owned(), bytes: unknown, until };
        self.store(format!("unknown:{target}:{now}"), stored);
    }

    fn store(&mut self, handle: String, stored: StoredResult) {
        self.expiries.push(Reverse((stored.until, handle.clone())));
        self.results.insert(handle, stored);
    }

    /// Whether a result with this handle is stored.
    pub fn is_stored(&self, handle: &str) -> bool {
        self.results.contains_key(handle)
    }

    /// Records that a result was released at its target.
    pub fn record_released(&mut self, handle: &str) {
        let Some(stored) = self.results.remove(handle) else { return };
        if let Some(target) = self.targets.get_mut(&stored.target) {
            target.used_bytes = target.used_bytes.saturating_sub(stored.bytes);
        }
    }

    pub(super) fn evict_expired(&mut self, now: Millis) {
        while self.expiries.peek().is_some_and(|it| it.0.0 < now) {
            let Some(Reverse((until, handle))) = self.expiries.pop() else { return };
            // The same handle may have been stored again, with a later expiry.
            if self.results.get(&handle).is_some_and(|it| it.until == until) {
                self.record_released(&handle);
            }
        }
    }

    /// Timeout of a call with `items` items to a target, in milliseconds.
    pub fn timeout_ms(&self, now: Millis, target: &str, items: usize) -> Millis {
        let nominal_ms = self.sizes.nominal_ms(items);
        let slowness = self.targets.get(target).map_or(1.0, |it| it.slowness_at(now).max(1.0));
        (nominal_ms * (1.0 + slowness) + 300.0) as Millis
    }

    /// Targets that can take a call now. Slow targets are skipped while others that get the same items keep up.
    pub(super) fn free_targets(&self, now: Millis) -> impl Iterator<Item = (&TargetId, &Target)> {
        let calls = self.sizes.max_calls.max(1);
        let available = || self.targets.iter().filter(|it| !it.1.is_closed);
        let fallback = || self.fallback_targets();
        // Slowness of the fastest target of each class.
        let mut fastest: BTreeMap<Option<&str>, f64> = BTreeMap::new();
        for (_, it) in available().chain(fallback()).filter(|it| it.1.ejected_until <= now) {
            let lowest = fastest.entry(it.class()).or_insert(f64::INFINITY);
            *lowest = lowest.min(it.slowness);
        }
        let has_backlog = self.has_backlog(BACKLOG_FRACTION);
        available()
            .chain(fallback())
            .filter(move |it| it.1.is_open(now) && it.1.calls < calls)
            .filter(move |it| {
                let fastest = fastest.get(&it.1.class()).copied().unwrap_or(f64::INFINITY);
                let is_slow = SLOW_RATIO * fastest.max(1.0) <= it.1.slowness;
                has_backlog || !is_slow || it.1.idle_since + SLOW_PROBE_MS <= now
            })
    }
}
