//! Batches the work items of a stage, from all requests, into calls to the targets of one service.
//!
//! A call has a fixed cost plus a small cost per item, and a target runs few calls at once, so
//! items queue here while calls run. Items are ordered by due time; items that will miss it get a
//! later due time and yield to those that can be on time, and items that cannot meet their deadline
//! are dropped. Items with large inputs or results prefer targets in the failure domain of these,
//! and calls stay within each target's room for results.

mod estimate;
mod near;
mod pack;
mod queue;
mod regions;
mod targets;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use crate::{
    deadline::RecentRate,
    directory::TargetId,
    ids::Millis,
    pieces::{Call, Sizes, Ticket, Waiting},
    returns::Returns,
};

pub use self::estimate::Judgement;
use self::{
    estimate::CallStats,
    targets::{StoredResult, Target},
};

/// Queue of work items and state of the targets of one service.
#[derive(Clone, Debug)]
pub struct Batcher {
    sizes: Sizes,
    waiting: Vec<Waiting>,
    targets: BTreeMap<TargetId, Target>,
    /// Results that are stored at targets, by handle.
    results: HashMap<String, StoredResult>,
    /// Expiry times of results, the earliest on top; some of the results may already be released.
    expiries: BinaryHeap<Reverse<(Millis, String)>>,
    /// Ratio of actual to predicted waiting time, as a moving average.
    lag: f64,
    /// Moving averages over answered calls.
    call_stats: CallStats,
    /// Recent rate of offered items.
    offer_rate: RecentRate,
    /// Times at which refused requests may retry.
    returns: Returns,
}

impl Batcher {
    /// Creates a batcher without targets.
    pub fn new(sizes: Sizes) -> Batcher {
        Batcher {
            sizes,
            waiting: Vec::new(),
            targets: BTreeMap::new(),
            results: HashMap::new(),
            expiries: BinaryHeap::new(),
            lag: 1.0,
            call_stats: CallStats::default(),
            offer_rate: RecentRate::default(),
            returns: Returns::default(),
        }
    }

    /// Limits and nominal costs of the service's calls.
    pub fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// Replaces the limits and nominal costs of the service's calls.
    pub fn set_sizes(&mut self, sizes: Sizes) {
        self.sizes = sizes;
    }

    /// Replaces the service's targets, given as id, failure domain and whether the target gets no
    /// new calls.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = (&'a str, &'a str, bool)>) {
        let mut old = std::mem::take(&mut self.targets);
        for (id, domain, is_closed) in targets {
            self.targets.extend(old.remove_entry(id));
            self.put_target(id, domain, is_closed);
        }
        // A target that restarts under the same id has all its room.
        let targets = &self.targets;
        self.results.retain(|_, it| targets.contains_key(&it.target));
    }

    /// Adds or updates a target.
    pub fn put_target(&mut self, id: &str, domain: &str, is_closed: bool) {
        if !self.targets.contains_key(id) {
            self.targets.insert(id.to_owned(), Target { slowness: 1.0, ..Target::default() });
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        domain.clone_into(&mut target.domain);
        target.is_closed = is_closed;
        target.is_fallback = false;
    }

    /// Removes a target and its stored results.
    pub fn remove_target(&mut self, id: &str) {
        if self.targets.remove(id).is_some() {
            self.results.retain(|_, it| it.target != id);
        }
    }

    /// Adds an item to the queue.
    pub fn offer(&mut self, now: Millis, item: Waiting) {
        // Items of one group are offered together, so they share one prediction.
        let same = self.waiting.last().filter(|it| it.group == item.group && it.offered == now);
        let predicted = same.map(|it| (it.predicted_wait, it.predicted_ms));
        let (predicted_wait, predicted_ms) = predicted
            .unwrap_or_else(|| (self.predicted_wait(now, item.due), self.predict(now, &item)));
        self.offer_rate.count(now);
        let effective_due = self.effective_due(now, &item);
        self.waiting.push(Waiting {
            offered: now,
            predicted_wait,
            predicted_ms,
            effective_due,
            ..item
        });
    }

    /// Removes and returns all waiting items, for another instance to process.
    pub fn hand_over(&mut self) -> Vec<Ticket> {
        self.take_back(|_| true)
    }

    /// Removes and returns the waiting items for which `is_taken` is true.
    pub fn take_back(&mut self, is_taken: impl Fn(&Waiting) -> bool) -> Vec<Ticket> {
        self.waiting.extract_if(.., |it| is_taken(it)).map(|it| it.ticket).collect()
    }

    /// Removes the waiting items for which `is_wanted` is false.
    pub fn retain(&mut self, is_wanted: impl Fn(Ticket) -> bool) {
        self.waiting.retain(|it| is_wanted(it.ticket));
    }

    /// Number of waiting items.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of targets that are not closed, including those that are busy or backing off.
    pub fn usable(&self) -> usize {
        self.targets.values().filter(|it| !it.is_closed).count()
    }

    /// Returns the next call to make, if any. The caller must report its end to [`Batcher::ended`].
    pub fn next(&mut self, now: Millis) -> Option<Call> {
        self.evict_expired(now);
        if self.waiting.is_empty() {
            return None;
        }
        self.free_targets(now).next()?;
        self.order(now);
        let (indices, target) = self.best_call(now)?;
        let items = self.take(&indices);
        self.update_lag(now, &items);
        let chosen = self.targets.get_mut(&target)?;
        chosen.calls += 1;
        chosen.used_bytes += items.iter().map(|it| it.bytes).sum::<u64>();
        let call_ms = self.sizes.stated_ms(items.len()) * chosen.slowness_at(now).max(1.0);
        chosen.busy_until = now + call_ms as Millis;
        let used_bytes = chosen.used_bytes;
        let is_shared = now < chosen.shared_until;
        let (left, sizes) = (self.waiting.len(), self.sizes);
        Some(Call { target, pieces: items, left, used_bytes, sizes, is_shared })
    }

    /// Removes the items at the given ascending indices from the queue, in one pass.
    pub(super) fn take(&mut self, indices: &[usize]) -> Vec<Waiting> {
        let mut next = indices.iter().copied().peekable();
        let mut index = 0;
        let taken = self.waiting.extract_if(.., |_| {
            let is_taken = next.next_if_eq(&index).is_some();
            index += 1;
            is_taken
        });
        taken.collect()
    }
}
