//! Pieces that are confined to regions: which targets may make them, and which pieces have none left.

use std::collections::HashSet;

use super::{Batcher, targets::Target};
use crate::{
    confinement::{Bounds, is_within},
    directory::TargetId,
    pieces::{Ticket, Waiting},
};

impl Batcher {
    /// Takes in which of the targets that get no more calls are kept for pieces that are confined to
    /// regions in which no other target makes them.
    pub fn set_spare<'a>(&mut self, targets: impl Iterator<Item = &'a str>) {
        for id in targets {
            if let Some(it) = self.targets.get_mut(id) {
                it.is_spare = true;
            }
        }
    }

    /// Whether there is a target that makes pieces with these bounds.
    pub fn can_make(&self, within: Option<&Bounds>) -> bool {
        let is_open = |it: &Target| !it.is_leaving || (it.is_spare && within.is_some());
        self.targets.values().any(|it| is_open(it) && is_within(within, &it.domain))
    }

    /// Takes back the confined pieces whose regions have no target left.
    pub fn take_stranded(&mut self) -> Vec<Ticket> {
        if self.waiting.iter().all(|it| it.within.is_none()) {
            return Vec::new();
        }
        let staying = self.targets.values().filter(|it| !it.is_leaving || it.is_spare);
        let domains: HashSet<&str> = staying.map(|it| it.domain.as_str()).collect();
        let is_stranded = |it: &Waiting| !domains.iter().any(|domain| it.is_allowed(domain));
        self.waiting
            .extract_if(.., |it| it.within.is_some() && is_stranded(it))
            .map(|it| it.ticket)
            .collect()
    }

    /// Whether a target may make a piece, as far as regions go.
    pub(super) fn is_allowed(&self, piece: &Waiting, target: &Target) -> bool {
        if !target.is_leaving {
            return piece.is_allowed(&target.domain);
        }
        let is_open = |it: &Target| !it.is_leaving && piece.is_allowed(&it.domain);
        let needs_spare = piece.within.is_some() && !self.targets.values().any(is_open);
        target.is_spare && needs_spare && piece.is_allowed(&target.domain)
    }

    /// Spare targets, where a piece waits that may need one.
    pub(super) fn spare_targets(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        let has_spare = self.targets.values().any(|it| it.is_spare);
        let is_needed = has_spare && self.waiting.iter().any(|it| it.within.is_some());
        self.targets.iter().filter(move |it| is_needed && it.1.is_spare)
    }
}
