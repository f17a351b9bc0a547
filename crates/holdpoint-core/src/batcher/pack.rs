//! Selects the waiting items and the target of the next call.

use std::collections::BTreeMap;

use super::{
    Batcher,
    near::{DomainItem, DomainQueues},
    targets::{SLOW_RATIO, Target},
};
use crate::{directory::TargetId, ids::Millis, pieces::Waiting};

/// Bytes to move between failure domains below which an item has no preferred one.
const MIN_NEAR_BYTES: u64 = 200_000;
/// Fraction of the items that the targets' next calls can carry above which a service has a
/// backlog: small calls are delayed, and slow targets are used too.
pub(super) const BACKLOG_FRACTION: f64 = 0.33;
/// A call with fewer than the allowed number of items divided by this is small.
const SMALL_CALL_DIVISOR: usize = 2;
/// How long an idle target of a service with a backlog delays a small call, in milliseconds.
const SMALL_CALL_DELAY_MS: Millis = 80;

impl Batcher {
    /// Whether more items wait than this fraction of what the targets' next calls can carry.
    pub(super) fn has_backlog(&self, fraction: f64) -> bool {
        fraction * f64::from(self.sizes.pieces) * (self.usable() as f64) < self.waiting.len() as f64
    }

    /// The best call that can be made now: the indices of its items, and its target. Only the
    /// fastest of the targets that would take the same items is considered, since in large fleets
    /// most idle targets are alike.
    pub(super) fn best_call(&self, now: Millis) -> Option<(Vec<usize>, TargetId)> {
        let queues = self.domain_queues(now);
        let waiting_bytes: u64 = self.waiting.iter().map(|it| it.bytes).sum();
        let mut classes: BTreeMap<TargetClass<'_>, (&TargetId, &Target)> = BTreeMap::new();
        for (id, target) in self.free_targets(now) {
            let class = TargetClass {
                domain: &target.domain,
                is_fallback: target.is_closed,
                room: self.room(target).min(waiting_bytes),
                slow: (SLOW_RATIO <= target.slowness).then_some(id),
                has_waited: has_waited(now, target),
            };
            let best = classes.entry(class).or_insert((id, target));
            if (speed(now, best.1), best.0) < (speed(now, target), id) {
                *best = (id, target);
            }
        }
        let packed = classes.into_values().map(|(id, it)| (self.pack(now, it, &queues), it, id));
        let best = packed.max_by_key(|it| (self.score(now, &it.0, it.1), it.2));
        best.filter(|it| !it.0.is_empty()).map(|it| (it.0, it.2.clone()))
    }

    /// Free room for results at a target, in bytes.
    fn room(&self, target: &Target) -> u64 {
        match self.sizes.room_bytes {
            0 => u64::MAX,
            it => it.saturating_sub(target.used_bytes),
        }
    }

    /// Indices of the items that a call to a target would carry: whole groups, as far as they fit.
    fn pack(&self, now: Millis, target: &Target, queues: &DomainQueues<'_>) -> Vec<usize> {
        let room = self.room(target);
        let indices = self.pack_into(now, target, room, queues);
        let is_small = indices.len() * SMALL_CALL_DIVISOR < self.sizes.pieces as usize;
        if is_small && self.has_backlog(BACKLOG_FRACTION) && !has_waited(now, target) {
            // Results are released within the time of a small call, and then more items fit.
            return Vec::new();
        }
        indices
    }

    fn pack_into(
        &self,
        now: Millis,
        target: &Target,
        mut room: u64,
        queues: &DomainQueues<'_>,
    ) -> Vec<usize> {
        let max_items = self.sizes.max_items();
        let mut indices = Vec::new();
        // Items visited so far, by their preferred failure domain.
        let mut passed: BTreeMap<&str, usize> = BTreeMap::new();
        let mut from = 0;
        let mut earliest_due = None;
        while from < self.waiting.len() && indices.len() < max_items {
            let group = self.waiting[from].group;
            let group_len = self.waiting[from..].iter().take_while(|it| it.group == group).count();
            let items = &self.waiting[from..from + group_len];
            let bytes: u64 = items.iter().map(|it| it.bytes).sum();
            let end = now + self.sizes.stated_ms(indices.len() + group_len) as Millis;
            // A late item must not make the call too long for those on time.
            let fits = !items[0].is_late || earliest_due.is_none_or(|it| end <= it);
            let is_shared_call = !indices.is_empty();
            let mut is_eligible = fits && self.is_eligible(now, &items[0], target);
            // The target may crash on it, which would fail all other items of the call.
            is_eligible &= !(items[0].is_alone && is_shared_call);
            if let Some(domain) = preferred_domain(&items[0]) {
                let ahead = passed.entry(domain).or_default();
                let item = DomainItem { domain, due: items[0].effective_due, ahead: *ahead };
                *ahead += group_len;
                is_eligible &= domain == target.domain || queues.may_move(item, &target.domain);
            }
            if is_eligible && bytes <= room && indices.len() + group_len <= max_items {
                room -= bytes;
                indices.extend(from..from + group_len);
                if !items[0].is_late {
                    earliest_due = earliest_due.into_iter().chain([items[0].due]).min();
                }
            } else if is_eligible && indices.is_empty() && self.may_split(group_len, bytes) {
                for (index, item) in items.iter().enumerate().take(max_items) {
                    if room < item.bytes {
                        break;
                    }
                    room -= item.bytes;
                    indices.push(from + index);
                }
            }
            if items[0].is_alone && !is_shared_call && !indices.is_empty() {
                break;
            }
            from += group_len;
        }
        indices
    }

    /// Whether a group may be split because it needs at least half of a call or over half of the room.
    pub(super) fn may_split(&self, items: usize, bytes: u64) -> bool {
        let is_large = self.sizes.room_bytes != 0 && self.sizes.room_bytes < 2 * bytes;
        self.sizes.pieces as usize <= 2 * items || is_large
    }

    /// Whether an item may go to a target, by its regions and the target's slowness.
    fn is_eligible(&self, now: Millis, item: &Waiting, target: &Target) -> bool {
        if !self.is_allowed(item, target) {
            return false;
        }
        // A slow target gets only items that it can finish on time, or that are late at any target.
        let slow_ms = (self.sizes.stated_ms(1) * target.slowness) as Millis;
        target.slowness < SLOW_RATIO || self.sizes.is_late(now, item) || now + slow_ms <= item.due
    }

    /// Targets of every failure domain and the items that prefer them.
    pub(super) fn domain_queues(&self, now: Millis) -> DomainQueues<'_> {
        let usable = self.targets.values().filter(|it| !it.is_closed && it.ejected_until <= now);
        let targets = usable.map(|it| (it.domain.as_str(), self.free_at(now, it)));
        DomainQueues::new(
            now,
            &self.sizes,
            targets,
            self.waiting.iter().filter_map(preferred_domain),
        )
    }

    /// When a target is expected to be free. An overdue call is expected to take as much longer as
    /// it is overdue already.
    fn free_at(&self, now: Millis, target: &Target) -> Millis {
        if target.calls < self.sizes.calls.max(1) {
            return now;
        }
        let overdue = now.saturating_sub(target.busy_until);
        target.busy_until.max(now) + overdue
    }

    /// Rank of a call: by the number of items, then by the bytes that need not move between failure
    /// domains, then by the speed of the target.
    fn score(&self, now: Millis, indices: &[usize], target: &Target) -> (usize, u64, i64) {
        let is_near = |it: &&Waiting| MIN_NEAR_BYTES <= it.near_bytes && it.domain == target.domain;
        let items = indices.iter().map(|it| &self.waiting[*it]);
        let near_bytes = items.filter(is_near).map(|it| it.near_bytes).sum();
        (indices.len(), near_bytes, speed(now, target))
    }
}

/// Properties that determine which items a call to a target carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TargetClass<'a> {
    domain: &'a str,
    /// Whether it gets only confined items.
    is_fallback: bool,
    /// Free room for results, limited to what the waiting items need.
    room: u64,
    /// The target itself, if it is slow: its items then depend on its exact slowness.
    slow: Option<&'a TargetId>,
    has_waited: bool,
}

/// Whether a target has been idle long enough for a small call.
fn has_waited(now: Millis, target: &Target) -> bool {
    target.idle_since + SMALL_CALL_DELAY_MS <= now
}

/// Speed of a target in steps of a tenth, since smaller differences are noise.
fn speed(now: Millis, target: &Target) -> i64 {
    -(target.slowness_at(now) * 10.0) as i64
}

/// Failure domain where an item should be processed; `None` if too few bytes would move, or its
/// regions exclude that domain.
fn preferred_domain(item: &Waiting) -> Option<&str> {
    let is_large = MIN_NEAR_BYTES <= item.near_bytes && !item.domain.is_empty();
    (is_large && item.is_allowed(&item.domain)).then_some(item.domain.as_str())
}
