//! Batches the pieces of a stage, from all requests, into calls at the targets of one service.
//!
//! A call costs a fixed time plus a little for each piece, and a target works on few calls at
//! once. So a target is given as many calls as it works on and no more: while one runs, pieces
//! gather here, where they can still be ordered: the nearest due time goes first. A piece that cannot
//! be in time any more has a later due time instead; so it lets those go first that can be in time, and
//! is made before its request ends. Pieces that will not be made by then even at the stated pace are
//! dropped at once. A request is admitted only where it is expected to be in time with all its stages, or
//! late although all that is offered meanwhile goes first. A large result is made in
//! the failure domain where it is needed, as long as its due time leaves room to wait for a target
//! there. The room that results take at each target is kept account of, from the call that makes
//! them until they are given up or their time is over.

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
    estimate::Judge,
    targets::{Kept, Target},
};

/// Batches for one service.
#[derive(Clone, Debug)]
pub struct Batcher {
    sizes: Sizes,
    waiting: Vec<Waiting>,
    targets: BTreeMap<TargetId, Target>,
    /// Results that take room, by handle.
    kept: HashMap<String, Kept>,
    /// When their time is over, the first one on top; some may have been given up meanwhile.
    expiries: BinaryHeap<Reverse<(Millis, String)>>,
    /// How many times longer pieces wait than predicted.
    lag: f64,
    /// How calls went of late.
    judge: Judge,
    /// Pieces that are offered.
    offered: RecentRate,
    /// When refused requests may come back.
    returns: Returns,
}

impl Batcher {
    /// Makes a batcher with no targets yet.
    pub fn new(sizes: Sizes) -> Batcher {
        Batcher {
            sizes,
            waiting: Vec::new(),
            targets: BTreeMap::new(),
            kept: HashMap::new(),
            expiries: BinaryHeap::new(),
            lag: 1.0,
            judge: Judge::default(),
            offered: RecentRate::default(),
            returns: Returns::default(),
        }
    }

    /// Sizes in force.
    pub fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// Puts other sizes in force.
    pub fn set_sizes(&mut self, sizes: Sizes) {
        self.sizes = sizes;
    }

    /// Takes in the service's targets: id, failure domain and whether it is leaving.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = (&'a str, &'a str, bool)>) {
        let mut old = std::mem::take(&mut self.targets);
        for (id, domain, is_leaving) in targets {
            self.targets.extend(old.remove_entry(id));
            self.put_target(id, domain, is_leaving);
        }
        // One that starts again under its id has all its room.
        let targets = &self.targets;
        self.kept.retain(|_, it| targets.contains_key(&it.target));
    }

    /// Takes in one target of the service, a new one or one that has changed.
    pub fn put_target(&mut self, id: &str, domain: &str, is_leaving: bool) {
        if !self.targets.contains_key(id) {
            self.targets.insert(id.to_owned(), Target { slowness: 1.0, ..Target::default() });
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        domain.clone_into(&mut target.domain);
        target.is_leaving = is_leaving;
        target.is_spare = false;
    }

    /// Takes in that a target is no longer one of the service's, and its results are gone.
    pub fn remove_target(&mut self, id: &str) {
        if self.targets.remove(id).is_some() {
            self.kept.retain(|_, it| it.target != id);
        }
    }

    /// Offers a piece.
    pub fn offer(&mut self, now: Millis, piece: Waiting) {
        // Pieces of one group are offered one after the other, and wait for the same time.
        let same = self.waiting.last().filter(|it| it.group == piece.group && it.offered == now);
        let predicted = same.map(|it| (it.predicted_wait, it.predicted_ms));
        let (predicted_wait, predicted_ms) = predicted
            .unwrap_or_else(|| (self.predicted_wait(now, piece.due), self.predict(now, &piece)));
        self.offered.count(now);
        let turn = self.turn(now, &piece);
        self.waiting.push(Waiting { offered: now, predicted_wait, predicted_ms, turn, ..piece });
    }

    /// Takes back all pieces that wait, for another instance to make.
    pub fn hand_over(&mut self) -> Vec<Ticket> {
        self.take_back(|_| true)
    }

    /// Takes back some of the pieces that wait.
    pub fn take_back(&mut self, is_taken: impl Fn(&Waiting) -> bool) -> Vec<Ticket> {
        self.waiting.extract_if(.., |it| is_taken(it)).map(|it| it.ticket).collect()
    }

    /// Takes back the pieces that are no longer wanted.
    pub fn retain(&mut self, is_wanted: impl Fn(Ticket) -> bool) {
        self.waiting.retain(|it| is_wanted(it.ticket));
    }

    /// Pieces that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Targets that may be called now or soon.
    pub fn usable(&self) -> usize {
        self.targets.values().filter(|it| !it.is_leaving).count()
    }

    /// Returns a call to make now, if there is one. [`Batcher::ended`] must follow.
    pub fn next(&mut self, now: Millis) -> Option<Call> {
        self.forget_kept(now);
        if self.waiting.is_empty() {
            return None;
        }
        self.free_targets(now).next()?;
        self.order(now);
        let (indices, target) = self.best_call(now)?;
        let pieces = self.take(&indices);
        self.learn_lag(now, &pieces);
        let chosen = self.targets.get_mut(&target)?;
        chosen.calls += 1;
        chosen.used_bytes += pieces.iter().map(|it| it.bytes).sum::<u64>();
        let call_ms = self.sizes.stated_ms(pieces.len()) * chosen.slowness_at(now).max(1.0);
        chosen.busy_until = now + call_ms as Millis;
        let used_bytes = chosen.used_bytes;
        let is_shared = now < chosen.shared_until;
        let (left, sizes) = (self.waiting.len(), self.sizes);
        Some(Call { target, pieces, left, used_bytes, sizes, is_shared })
    }

    /// Takes the pieces at some indices, which rise, in one pass over those that wait.
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
