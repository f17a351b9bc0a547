//! Which pieces wait for a target in the failure domain where their inputs lie.
//!
//! Moving large inputs costs, so a piece waits for a near target as long as that one makes it in time.
//! In a surge nothing is in time anywhere; then a piece moves only where another domain's queue is so
//! much shorter that the move saves the time of a call. So domains that are loaded alike exchange
//! nothing, and one that has lost its targets is helped by the others.

use crate::{ids::Millis, pieces::Sizes};

/// How much before its due time a piece is to be made at a near target, in milliseconds: calls end
/// about that much later than stated.
const MARGIN_MS: Millis = 50;

/// The targets of one failure domain, and what waits for them.
#[derive(Clone, Copy, Debug, Default)]
struct Near {
    targets: usize,
    /// When the first of them is expected to take a call.
    free_at: Millis,
    /// Pieces whose inputs lie here.
    waiting: usize,
}

impl Near {
    /// Adds a target that is expected to take a call at a time.
    fn add(&mut self, free_at: Millis) {
        self.targets += 1;
        self.free_at = self.free_at.min(free_at);
    }
}

/// What waits in each failure domain at a moment.
#[derive(Clone, Debug)]
pub(super) struct NearQueues<'a> {
    now: Millis,
    domains: Vec<(&'a str, Near)>,
    /// Time in which one target makes one piece in a full call, in milliseconds.
    piece_ms: f64,
    /// Time of a full call, in milliseconds.
    full_ms: f64,
    /// Time of a call of one piece, in milliseconds.
    call_ms: Millis,
}

/// A piece with large inputs, and how many stand before it for the same failure domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct NearPiece<'a> {
    pub(super) domain: &'a str,
    /// When it should be there, in time or, once that is over, late.
    pub(super) due: Millis,
    pub(super) ahead: usize,
}

impl<'a> NearQueues<'a> {
    /// Makes the queues of the domains of `targets`, each given with the time when it is expected to
    /// take a call, and of the pieces that wait, by the domain of their inputs.
    pub(super) fn new(
        now: Millis,
        sizes: &Sizes,
        targets: impl Iterator<Item = (&'a str, Millis)>,
        waiting: impl Iterator<Item = &'a str>,
    ) -> NearQueues<'a> {
        let mut domains: Vec<(&str, Near)> = Vec::new();
        for (domain, free_at) in targets {
            match domains.iter_mut().find(|it| it.0 == domain) {
                Some((_, it)) => it.add(free_at),
                None => domains.push((domain, Near { targets: 1, free_at, waiting: 0 })),
            }
        }
        for domain in waiting {
            if let Some((_, it)) = domains.iter_mut().find(|it| it.0 == domain) {
                it.waiting += 1;
            }
        }
        let full_ms = sizes.stated_ms(sizes.most());
        let call_ms = sizes.stated_ms(1) as Millis;
        NearQueues { now, domains, piece_ms: full_ms / sizes.most() as f64, full_ms, call_ms }
    }

    /// Whether a piece may be made by a free target of another domain than that of its inputs.
    pub(super) fn may_move(&self, piece: NearPiece<'_>, to: &str) -> bool {
        let Some(home) = self.of(piece.domain) else { return true };
        let there = self.of(to).unwrap_or_default();
        let home_ms = self.wait_ms(&home, piece.ahead);
        let there_ms = self.wait_ms(&there, there.waiting);
        let is_late = piece.due < self.now + home_ms as Millis + self.call_ms + MARGIN_MS;
        let is_saved = is_late && self.now + self.call_ms <= piece.due && there_ms < home_ms;
        is_saved || there_ms + self.full_ms < home_ms
    }

    fn of(&self, domain: &str) -> Option<Near> {
        self.domains.iter().find(|it| it.0 == domain).map(|it| it.1)
    }

    /// Wait of a piece for a domain's targets, where so many stand before it, in milliseconds.
    fn wait_ms(&self, near: &Near, ahead: usize) -> f64 {
        let free_ms = near.free_at.saturating_sub(self.now) as f64;
        free_ms + ahead as f64 * self.piece_ms / near.targets.max(1) as f64
    }
}
