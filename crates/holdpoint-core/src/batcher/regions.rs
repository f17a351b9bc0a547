//! Items that are confined to regions: which targets may process them, and which items have no
//! target left.

use std::collections::HashSet;

use super::{Batcher, targets::Target};
use crate::{
    confinement::{Bounds, is_within},
    directory::TargetId,
    pieces::{Ticket, Waiting},
};

impl Batcher {
    /// Marks closed targets as fallback: they get only confined items whose regions have no open
    /// target.
    pub fn set_spare<'a>(&mut self, targets: impl Iterator<Item = &'a str>) {
        for id in targets {
            if let Some(it) = self.targets.get_mut(id) {
                it.is_fallback = true;
            }
        }
    }

    /// Whether any target may process items with these bounds.
    pub fn can_make(&self, within: Option<&Bounds>) -> bool {
        let is_open = |it: &Target| !it.is_closed || (it.is_fallback && within.is_some());
        self.targets.values().any(|it| is_open(it) && is_within(within, &it.domain))
    }

    /// Removes and returns the confined items that no remaining target may process.
    pub fn take_stranded(&mut self) -> Vec<Ticket> {
        if self.waiting.iter().all(|it| it.within.is_none()) {
            return Vec::new();
        }
        let available = self.targets.values().filter(|it| !it.is_closed || it.is_fallback);
        let domains: HashSet<&str> = available.map(|it| it.domain.as_str()).collect();
        let is_stranded = |it: &Waiting| !domains.iter().any(|domain| it.is_allowed(domain));
        self.waiting
            .extract_if(.., |it| it.within.is_some() && is_stranded(it))
            .map(|it| it.ticket)
            .collect()
    }

    /// Whether the regions of an item allow a target.
    pub(super) fn is_allowed(&self, item: &Waiting, target: &Target) -> bool {
        if !target.is_closed {
            return item.is_allowed(&target.domain);
        }
        let is_open = |it: &Target| !it.is_closed && item.is_allowed(&it.domain);
        let needs_fallback = item.within.is_some() && !self.targets.values().any(is_open);
        target.is_fallback && needs_fallback && item.is_allowed(&target.domain)
    }

    /// Fallback targets, if any confined item waits.
    pub(super) fn fallback_targets(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        let has_fallback = self.targets.values().any(|it| it.is_fallback);
        let is_needed = has_fallback && self.waiting.iter().any(|it| it.within.is_some());
        self.targets.iter().filter(move |it| is_needed && it.1.is_fallback)
    }
}
