//! Order of the waiting items, and expiry of those that cannot meet their deadline.

use std::collections::HashSet;

use super::Batcher;
use crate::{
    ids::Millis,
    pieces::{Ticket, Waiting},
};

impl Batcher {
    /// Time by which items are ordered: the due time, or the later one if that cannot be met, or
    /// earlier if the inputs expire.
    pub(super) fn effective_due(&self, now: Millis, item: &Waiting) -> Millis {
        let due = if self.is_late(now, item) { item.late_due } else { item.due };
        let call_ms = self.sizes.stated_ms(1) as Millis;
        item.inputs_until.map_or(due, |it| due.min(it + call_ms))
    }

    /// Time of the next call, in milliseconds, with as many of the waiting items as fit.
    pub(super) fn next_call_ms(&self) -> Millis {
        let items = self.waiting.len().clamp(1, self.sizes.max_items());
        self.sizes.stated_ms(items) as Millis
    }

    /// Whether an item would be late even in the next call.
    pub(super) fn is_late(&self, now: Millis, item: &Waiting) -> bool {
        item.due < now + self.next_call_ms()
    }

    /// Sorts the queue: items that can be on time first, each part by effective due time. Late
    /// items placed among the others would make those late in turn.
    pub(super) fn order(&mut self, now: Millis) {
        let next_call_ms = self.next_call_ms();
        let mut waiting = std::mem::take(&mut self.waiting);
        for item in &mut waiting {
            item.is_late = item.due < now + next_call_ms;
            let due = if item.is_late { item.late_due } else { item.due };
            let call_ms = self.sizes.stated_ms(1) as Millis;
            item.effective_due = item.inputs_until.map_or(due, |it| due.min(it + call_ms));
        }
        let key = |it: &Waiting| (it.is_late, it.effective_due, it.rank, it.group, it.ticket);
        // The order rarely changes between calls.
        if !waiting.is_sorted_by_key(key) {
            waiting.sort_by_key(key);
        }
        self.waiting = waiting;
    }

    /// Removes and returns the items that cannot meet their deadline even at the targets' nominal
    /// pace, with all waiting items of their groups.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        self.order(now);
        let own_call = self.sizes.stated_ms(1);
        let gap = self.item_interval(now);
        // All targets may be backing off until then.
        let start = now + self.backoff_ms(now).unwrap_or(0);
        let mut expired = HashSet::new();
        let mut ahead = 0;
        for item in &self.waiting {
            // Items that fit into the same call cause no wait.
            let wait = if ahead < self.sizes.max_items() { 0.0 } else { ahead as f64 * gap };
            let finish = start + (wait + own_call) as Millis;
            if item.deadline < finish {
                expired.insert(item.group);
            } else if !expired.contains(&item.group) {
                ahead += 1;
            }
        }
        if expired.is_empty() {
            return Vec::new();
        }
        let (expired, kept) = self.waiting.drain(..).partition(|it| expired.contains(&it.group));
        self.waiting = kept;
        expired.into_iter().map(|it: Waiting| it.ticket).collect()
    }
}
