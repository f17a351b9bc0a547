//! Batches the pieces of a stage, from all requests, into calls at the targets of one service.
//!
//! A call costs a fixed time plus a little for each piece, and a target works on few calls at
//! once. So a target is given as many calls as it works on and no more: while one runs, pieces
//! gather here, where they can still be ordered. Pieces that can be in time go first, the nearest
//! due time before others; those that are late anyway follow by rank.

use std::collections::BTreeMap;

use crate::{directory::TargetId, ids::Millis};

/// Identifies a piece that was offered.
pub type Ticket = u64;

/// How long a target that failed gets no calls, in milliseconds; doubled with each failure.
const SUSPECT_MS: Millis = 500;
/// Longest time that a target is suspect, in milliseconds.
const LONGEST_SUSPECT_MS: Millis = 4000;

/// A piece that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Ticket.
    pub ticket: Ticket,
    /// Time by which its result should be there, for the request to be in time.
    pub due: Millis,
    /// Time after which its result helps nobody.
    pub deadline: Millis,
    /// Rank of its request; 0 goes first.
    pub rank: u32,
    /// Room that its result takes, in bytes.
    pub bytes: u64,
    /// Failure domain where its result is needed.
    pub domain: String,
}

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Target to call.
    pub target: TargetId,
    /// Pieces in it.
    pub tickets: Vec<Ticket>,
    /// Pieces that wait still.
    pub left: usize,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With an answer after this time, in milliseconds.
    Answered(Millis),
    /// The target was full and has done nothing.
    Full,
    /// The target failed or gave no answer.
    Failed,
}

/// Sizes of a service's calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// Calls at one target at once.
    pub calls: u32,
    /// Most pieces in one call.
    pub pieces: u32,
    /// Time of a call without its pieces, in milliseconds.
    pub call_ms: f64,
    /// Time of each piece, in milliseconds.
    pub piece_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct Target {
    domain: String,
    is_leaving: bool,
    calls: u32,
    failures: u32,
    suspect_until: Millis,
    /// How much longer its calls take than stated; 1 until measured.
    slowness: f64,
}

/// Batches for one service.
#[derive(Clone, Debug)]
pub struct Batcher {
    sizes: Sizes,
    waiting: Vec<Waiting>,
    targets: BTreeMap<TargetId, Target>,
}

/// Weight of the newest measurement of a target's slowness.
const NEWEST: f64 = 0.3;
/// A target that is so many times slower than the fastest gets work only when others are busy
/// for long.
const SLOW: f64 = 2.0;
/// Bytes of results below which it does not matter where they are made.
const NEAR_BYTES: u64 = 200_000;

impl Batcher {
    /// Makes a batcher with no targets yet.
    pub fn new(sizes: Sizes) -> Batcher {
        Batcher { sizes, waiting: Vec::new(), targets: BTreeMap::new() }
    }

    /// Puts other sizes in force.
    pub fn set_sizes(&mut self, sizes: Sizes) {
        self.sizes = sizes;
    }

    /// Takes in the service's targets: id, failure domain and whether it is leaving.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = (&'a str, &'a str, bool)>) {
        let mut old = std::mem::take(&mut self.targets);
        for (id, domain, is_leaving) in targets {
            let mut target =
                old.remove(id).unwrap_or_else(|| Target { slowness: 1.0, ..Target::default() });
            target.domain = domain.to_owned();
            target.is_leaving = is_leaving;
            self.targets.insert(id.to_owned(), target);
        }
    }

    /// Offers a piece.
    pub fn offer(&mut self, piece: Waiting) {
        self.waiting.push(piece);
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

    /// Time until one more piece would be made if it came now, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        let targets = self.usable().max(1) as f64;
        let full_call =
            self.sizes.call_ms + self.sizes.piece_ms * f64::from(self.sizes.pieces.max(1));
        let calls_ahead = self.waiting.len() as f64 / f64::from(self.sizes.pieces.max(1));
        self.sizes.call_ms + self.sizes.piece_ms + calls_ahead * full_call / targets
    }

    /// Removes and returns the pieces that can no longer be made in time for their deadline.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        let least = (self.sizes.call_ms + self.sizes.piece_ms) as Millis;
        let is_over = |it: &Waiting| it.deadline < now + least;
        let over = self.waiting.iter().filter(|it| is_over(it)).map(|it| it.ticket).collect();
        self.waiting.retain(|it| !is_over(it));
        over
    }

    /// Returns a call to make now, if there is one. [`Batcher::ended`] must follow.
    pub fn next(&mut self, now: Millis) -> Option<Call> {
        if self.waiting.is_empty() {
            return None;
        }
        let free = self.free_targets(now);
        if free.is_empty() {
            return None;
        }
        let take = (self.sizes.pieces.max(1) as usize).min(self.waiting.len());
        let call_ms = (self.sizes.call_ms + self.sizes.piece_ms * take as f64) as Millis;
        self.waiting.sort_by_key(|it| {
            let is_late = it.due < now + call_ms;
            (is_late, if is_late { it.rank } else { 0 }, it.due, it.ticket)
        });
        let target = self.best_target(&free, &self.waiting[..take]);
        let tickets = self.waiting.drain(..take).map(|it| it.ticket).collect();
        let chosen = self.targets.get_mut(&target)?;
        chosen.calls += 1;
        Some(Call { target, tickets, left: self.waiting.len() })
    }

    /// Ends a call of so many pieces.
    pub fn ended(&mut self, now: Millis, target: &str, pieces: usize, end: CallEnd) {
        let stated = self.sizes.call_ms + self.sizes.piece_ms * pieces as f64;
        let Some(target) = self.targets.get_mut(target) else { return };
        target.calls = target.calls.saturating_sub(1);
        match end {
            CallEnd::Answered(ms) => {
                let seen = ms as f64 / stated.max(1.0);
                target.slowness += NEWEST * (seen - target.slowness);
                target.failures = 0;
            }
            CallEnd::Full => target.suspect_until = now + SUSPECT_MS / 5,
            CallEnd::Failed => {
                let span = SUSPECT_MS << target.failures.min(4);
                target.suspect_until = now + span.min(LONGEST_SUSPECT_MS);
                target.failures += 1;
            }
        }
    }

    /// Longest time that a call of so many pieces at a target is waited for, in milliseconds.
    pub fn patience_ms(&self, target: &str, pieces: usize) -> Millis {
        let stated = self.sizes.call_ms + self.sizes.piece_ms * pieces as f64;
        let slowness = self.targets.get(target).map_or(1.0, |it| it.slowness.max(1.0));
        (stated * (1.0 + slowness) + 300.0) as Millis
    }

    /// Time at which a suspect target may be tried again, if pieces wait for one.
    pub fn next_time(&self) -> Option<Millis> {
        if self.waiting.is_empty() {
            return None;
        }
        let idle = self.targets.values().filter(|it| !it.is_leaving && it.calls < self.sizes.calls);
        idle.map(|it| it.suspect_until).min()
    }

    /// Targets that may take a call now. One much slower than the fastest is left out while the
    /// others keep up.
    fn free_targets(&self, now: Millis) -> Vec<TargetId> {
        let calls = self.sizes.calls.max(1);
        let staying = || self.targets.iter().filter(|it| !it.1.is_leaving);
        let fastest = staying()
            .filter(|it| it.1.suspect_until <= now)
            .map(|it| it.1.slowness)
            .fold(f64::INFINITY, f64::min);
        let is_behind = self.sizes.pieces as usize * self.usable() / 2 < self.waiting.len();
        staying()
            .filter(|it| it.1.suspect_until <= now && it.1.calls < calls)
            .filter(|it| is_behind || it.1.slowness < SLOW * fastest || it.1.slowness < SLOW)
            .map(|it| it.0.clone())
            .collect()
    }

    /// The free target in the failure domain where most bytes are needed; the fastest of equals.
    fn best_target(&self, free: &[TargetId], pieces: &[Waiting]) -> TargetId {
        let near_bytes = |domain: &str| -> u64 {
            pieces
                .iter()
                .filter(|it| NEAR_BYTES <= it.bytes && it.domain == domain)
                .map(|it| it.bytes)
                .sum()
        };
        let score = |id: &&TargetId| {
            let target = &self.targets[*id];
            (near_bytes(&target.domain), -(target.slowness * 10.0) as i64)
        };
        free.iter().max_by_key(score).cloned().unwrap_or_default()
    }
}
