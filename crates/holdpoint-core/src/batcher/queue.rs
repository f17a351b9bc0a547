//! The order of the pieces that wait, and which of them are dropped.

use std::collections::HashSet;

use super::Batcher;
use crate::{
    ids::Millis,
    pieces::{Ticket, Waiting},
};

impl Batcher {
    /// Time that decides when a piece has its turn: its due time, as long as it can be in time, then
    /// its late one; earlier where its inputs expire before.
    pub(super) fn turn(&self, now: Millis, piece: &Waiting) -> Millis {
        let due = if self.is_late(now, piece) { piece.late_due } else { piece.due };
        let call_ms = self.sizes.stated_ms(1) as Millis;
        piece.inputs_until.map_or(due, |it| due.min(it + call_ms))
    }

    /// Time of the next call, in milliseconds: it carries what waits, as far as that fits.
    pub(super) fn next_call_ms(&self) -> Millis {
        let pieces = self.waiting.len().clamp(1, self.sizes.most());
        self.sizes.stated_ms(pieces) as Millis
    }

    /// Whether a piece would be late even if it went with the next call.
    pub(super) fn is_late(&self, now: Millis, piece: &Waiting) -> bool {
        piece.due < now + self.next_call_ms()
    }

    /// Orders what waits: what can be in time before what cannot, and the nearest turn first. Among what is
    /// made before it is late, a late piece would make another one late, and that one the next.
    pub(super) fn order(&mut self, now: Millis) {
        let next_call_ms = self.next_call_ms();
        let mut waiting = std::mem::take(&mut self.waiting);
        for piece in &mut waiting {
            piece.is_late = piece.due < now + next_call_ms;
            let due = if piece.is_late { piece.late_due } else { piece.due };
            let call_ms = self.sizes.stated_ms(1) as Millis;
            piece.turn = piece.inputs_until.map_or(due, |it| due.min(it + call_ms));
        }
        let key = |it: &Waiting| (it.is_late, it.turn, it.rank, it.group, it.ticket);
        // Little changes from one call to the next.
        if !waiting.is_sorted_by_key(key) {
            waiting.sort_by_key(key);
        }
        self.waiting = waiting;
    }

    /// Removes and returns the pieces that will not be made by their deadline, with all that wait of
    /// their groups: even if the targets make all that goes before them at the stated pace.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        self.order(now);
        let own_call = self.sizes.stated_ms(1);
        let gap = self.piece_gap(now);
        // Until then no target may be called.
        let from = now + self.backoff_ms(now).unwrap_or(0);
        let mut over = HashSet::new();
        let mut ahead = 0;
        for piece in &self.waiting {
            // What fits into the next call with it does not go before it.
            let before = if ahead < self.sizes.most() { 0.0 } else { ahead as f64 * gap };
            let made = from + (before + own_call) as Millis;
            if piece.deadline < made {
                over.insert(piece.group);
            } else if !over.contains(&piece.group) {
                ahead += 1;
            }
        }
        if over.is_empty() {
            return Vec::new();
        }
        let (over, kept) = self.waiting.drain(..).partition(|it| over.contains(&it.group));
        self.waiting = kept;
        over.into_iter().map(|it: Waiting| it.ticket).collect()
    }
}
