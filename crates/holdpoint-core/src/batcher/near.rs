//! Decides which items wait for a target in their preferred failure domain.
//!
//! Moving large inputs or results between domains is expensive, so an item waits for a target in
//! its own domain unless it would be late there and on time elsewhere, or another domain's queue is
//! shorter by more than the time of a full call. So equally loaded domains exchange few items, and a
//! domain that lost its targets gets help.

use crate::{ids::Millis, pieces::Sizes};

/// Margin before the due time by which a target in the item's own domain must finish, in
/// milliseconds; calls often end later than their nominal time.
const DUE_MARGIN_MS: Millis = 50;

/// Targets of one failure domain and the items that prefer them.
#[derive(Clone, Copy, Debug, Default)]
struct DomainQueue {
    targets: usize,
    /// When the first target is expected to be free.
    free_at: Millis,
    /// Items that prefer this domain.
    waiting: usize,
}

impl DomainQueue {
    /// Adds a target that is expected to be free at `free_at`.
    fn add(&mut self, free_at: Millis) {
        self.targets += 1;
        self.free_at = self.free_at.min(free_at);
    }
}

/// Targets of every failure domain and the items that prefer them, at one moment.
#[derive(Clone, Debug)]
pub(super) struct DomainQueues<'a> {
    now: Millis,
    domains: Vec<(&'a str, DomainQueue)>,
    /// Time per item of one target in a full call, in milliseconds.
    item_ms: f64,
    /// Time of a full call, in milliseconds.
    full_ms: f64,
    /// Time of a call with one item, in milliseconds.
    call_ms: Millis,
}

/// An item with a preferred failure domain, and the number of items ahead of it for that domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct DomainItem<'a> {
    pub(super) domain: &'a str,
    /// Due time, or the later one once the item cannot be on time.
    pub(super) due: Millis,
    pub(super) ahead: usize,
}

impl<'a> DomainQueues<'a> {
    /// Creates the queues from `targets`, given as failure domain and time at which the target is
    /// expected to be free, and from the preferred domains of the waiting items.
    pub(super) fn new(
        now: Millis,
        sizes: &Sizes,
        targets: impl Iterator<Item = (&'a str, Millis)>,
        waiting: impl Iterator<Item = &'a str>,
    ) -> DomainQueues<'a> {
        let mut domains: Vec<(&str, DomainQueue)> = Vec::new();
        for (domain, free_at) in targets {
            match domains.iter_mut().find(|it| it.0 == domain) {
                Some((_, it)) => it.add(free_at),
                None => domains.push((domain, DomainQueue { targets: 1, free_at, waiting: 0 })),
            }
        }
        for domain in waiting {
            if let Some((_, it)) = domains.iter_mut().find(|it| it.0 == domain) {
                it.waiting += 1;
            }
        }
        let full_ms = sizes.stated_ms(sizes.max_items());
        let call_ms = sizes.stated_ms(1) as Millis;
        DomainQueues { now, domains, item_ms: full_ms / sizes.max_items() as f64, full_ms, call_ms }
    }

    /// Whether an item may go to a free target outside its preferred domain.
    pub(super) fn may_move(&self, item: DomainItem<'_>, to: &str) -> bool {
        let Some(home) = self.queue_of(item.domain) else { return true };
        let there = self.queue_of(to).unwrap_or_default();
        let home_ms = self.wait_ms(&home, item.ahead);
        let there_ms = self.wait_ms(&there, there.waiting);
        let is_late = item.due < self.now + home_ms as Millis + self.call_ms + DUE_MARGIN_MS;
        let is_saved = is_late && self.now + self.call_ms <= item.due && there_ms < home_ms;
        is_saved || there_ms + self.full_ms < home_ms
    }

    fn queue_of(&self, domain: &str) -> Option<DomainQueue> {
        self.domains.iter().find(|it| it.0 == domain).map(|it| it.1)
    }

    /// Waiting time of an item with `ahead` items before it at a domain's targets, in milliseconds.
    fn wait_ms(&self, queue: &DomainQueue, ahead: usize) -> f64 {
        let free_ms = queue.free_at.saturating_sub(self.now) as f64;
        free_ms + ahead as f64 * self.item_ms / queue.targets.max(1) as f64
    }
}
