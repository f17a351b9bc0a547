//! Which of the pieces that wait go into a call, and at which target.

use std::collections::BTreeMap;

use super::{
    Batcher,
    near::{NearPiece, NearQueues},
    targets::{SLOW, Target},
};
use crate::{directory::TargetId, ids::Millis, pieces::Waiting};

/// Moved bytes below which it does not matter where a piece is made.
const NEAR_BYTES: u64 = 200_000;
/// Part of what the targets' next calls take, above which a service has a backlog: calls wait to be
/// worth their time, and slow targets are used too.
pub(super) const BACKLOG: f64 = 0.33;
/// A call of less than one in so many of its most pieces is small.
const SMALL_CALL: usize = 2;
/// How long a target of a service with a backlog waits for room for more than a small call, in
/// milliseconds. At 0, 85.3 in place of 85.0 % of the requests of 15 plays were in time, which is within
/// the noise.
const GATHER_MS: Millis = 80;

impl Batcher {
    /// Whether more waits than a part of what the targets' next calls take.
    pub(super) fn has_backlog(&self, part: f64) -> bool {
        part * f64::from(self.sizes.pieces) * (self.usable() as f64) < self.waiting.len() as f64
    }

    /// The best call that can be made now: the indices of its pieces, and its target. Of targets that would
    /// all take the same pieces, the fastest one is packed for, since in a fleet of thousands hardly any two
    /// idle ones differ.
    pub(super) fn best_call(&self, now: Millis) -> Option<(Vec<usize>, TargetId)> {
        let queues = self.near_queues(now);
        let waiting_bytes: u64 = self.waiting.iter().map(|it| it.bytes).sum();
        let mut kinds: BTreeMap<Kind<'_>, (&TargetId, &Target)> = BTreeMap::new();
        for (id, target) in self.free_targets(now) {
            let kind = Kind {
                domain: &target.domain,
                is_spare: target.is_leaving,
                room: self.room(target).min(waiting_bytes),
                slow: (SLOW <= target.slowness).then_some(id),
                has_gathered: has_gathered(now, target),
            };
            let best = kinds.entry(kind).or_insert((id, target));
            if (speed(now, best.1), best.0) < (speed(now, target), id) {
                *best = (id, target);
            }
        }
        let packed = kinds.into_values().map(|(id, it)| (self.pack(now, it, &queues), it, id));
        let best = packed.max_by_key(|it| (self.score(now, &it.0, it.1), it.2));
        best.filter(|it| !it.0.is_empty()).map(|it| (it.0, it.2.clone()))
    }

    /// Room that is left at a target for results, in bytes.
    fn room(&self, target: &Target) -> u64 {
        match self.sizes.room_bytes {
            0 => u64::MAX,
            it => it.saturating_sub(target.used_bytes),
        }
    }

    /// Indices of the pieces that a call at a target would take: whole groups, as far as they fit.
    fn pack(&self, now: Millis, target: &Target, queues: &NearQueues<'_>) -> Vec<usize> {
        let room = self.room(target);
        let indices = self.pack_into(now, target, room, queues);
        let is_small = indices.len() * SMALL_CALL < self.sizes.pieces as usize;
        if is_small && self.has_backlog(BACKLOG) && !has_gathered(now, target) {
            // Room comes back within the time of a small call, and then more fits in.
            return Vec::new();
        }
        indices
    }

    fn pack_into(
        &self,
        now: Millis,
        target: &Target,
        mut room: u64,
        queues: &NearQueues<'_>,
    ) -> Vec<usize> {
        let most = self.sizes.most();
        let mut indices = Vec::new();
        // Pieces passed so far, by the failure domain of their inputs.
        let mut passed: BTreeMap<&str, usize> = BTreeMap::new();
        let mut from = 0;
        let mut earliest_due = None;
        while from < self.waiting.len() && indices.len() < most {
            let group = self.waiting[from].group;
            let same = self.waiting[from..].iter().take_while(|it| it.group == group).count();
            let pieces = &self.waiting[from..from + same];
            let bytes: u64 = pieces.iter().map(|it| it.bytes).sum();
            let end = now + self.sizes.stated_ms(indices.len() + same) as Millis;
            // What is late does not make a call so long that it is late for others.
            let fits_in = !pieces[0].is_late || earliest_due.is_none_or(|it| end <= it);
            let is_shared_call = !indices.is_empty();
            let mut may_go = fits_in && self.may_go(now, &pieces[0], target);
            // Its target may end with it, and so would the pieces beside it.
            may_go &= !(pieces[0].is_alone && is_shared_call);
            if let Some(domain) = near_domain(&pieces[0]) {
                let ahead = passed.entry(domain).or_default();
                let piece = NearPiece { domain, due: pieces[0].turn, ahead: *ahead };
                *ahead += same;
                may_go &= domain == target.domain || queues.may_move(piece, &target.domain);
            }
            if may_go && bytes <= room && indices.len() + same <= most {
                room -= bytes;
                indices.extend(from..from + same);
                if !pieces[0].is_late {
                    earliest_due = earliest_due.into_iter().chain([pieces[0].due]).min();
                }
            } else if may_go && indices.is_empty() && self.must_split(same, bytes) {
                for (index, piece) in pieces.iter().enumerate().take(most) {
                    if room < piece.bytes {
                        break;
                    }
                    room -= piece.bytes;
                    indices.push(from + index);
                }
            }
            if pieces[0].is_alone && !is_shared_call && !indices.is_empty() {
                break;
            }
            from += same;
        }
        indices
    }

    /// Whether a group fits into no call as a whole.
    pub(super) fn must_split(&self, pieces: usize, bytes: u64) -> bool {
        let is_large = self.sizes.room_bytes != 0 && self.sizes.room_bytes < 2 * bytes;
        self.sizes.pieces as usize <= 2 * pieces || is_large
    }

    /// Whether a piece may be made at a target as slow as this one.
    fn may_go(&self, now: Millis, piece: &Waiting, target: &Target) -> bool {
        if !self.is_allowed(piece, target) {
            return false;
        }
        // Only what will be in time at a slow one, or nowhere.
        let slow_ms = (self.sizes.stated_ms(1) * target.slowness) as Millis;
        target.slowness < SLOW || self.sizes.is_late(now, piece) || now + slow_ms <= piece.due
    }

    /// What waits in each failure domain.
    pub(super) fn near_queues(&self, now: Millis) -> NearQueues<'_> {
        let usable = self.targets.values().filter(|it| !it.is_leaving && it.suspect_until <= now);
        let targets = usable.map(|it| (it.domain.as_str(), self.free_at(now, it)));
        NearQueues::new(now, &self.sizes, targets, self.waiting.iter().filter_map(near_domain))
    }

    /// When a target is expected to take its next call. One that is overdue is expected to take as long
    /// again as it is overdue.
    fn free_at(&self, now: Millis, target: &Target) -> Millis {
        if target.calls < self.sizes.calls.max(1) {
            return now;
        }
        let overdue = now.saturating_sub(target.busy_until);
        target.busy_until.max(now) + overdue
    }

    /// How good a call would be: the most pieces, then the most large ones in their failure
    /// domain, then the fastest target.
    fn score(&self, now: Millis, indices: &[usize], target: &Target) -> (usize, u64, i64) {
        let is_near = |it: &&Waiting| NEAR_BYTES <= it.near_bytes && it.domain == target.domain;
        let pieces = indices.iter().map(|it| &self.waiting[*it]);
        let near_bytes = pieces.filter(is_near).map(|it| it.near_bytes).sum();
        (indices.len(), near_bytes, speed(now, target))
    }
}

/// What decides which pieces a call at a target would take: targets that have it in common would take the
/// same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kind<'a> {
    domain: &'a str,
    /// Whether it gets only pieces that are confined.
    is_spare: bool,
    /// Room for results, as far as what waits could use it.
    room: u64,
    /// The target itself, where its pieces depend on how slow it is.
    slow: Option<&'a TargetId>,
    has_gathered: bool,
}

/// Whether a target has waited long enough for more than a small call.
fn has_gathered(now: Millis, target: &Target) -> bool {
    target.idle_since + GATHER_MS <= now
}

/// How fast a target is, in steps of a tenth: smaller differences are noise.
fn speed(now: Millis, target: &Target) -> i64 {
    -(target.slowness_at(now) * 10.0) as i64
}

/// Failure domain where a piece is best made; none where that does not matter.
fn near_domain(piece: &Waiting) -> Option<&str> {
    let is_bound = NEAR_BYTES <= piece.near_bytes && !piece.domain.is_empty();
    (is_bound && piece.is_allowed(&piece.domain)).then_some(piece.domain.as_str())
}
