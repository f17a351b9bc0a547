//! Which of the pieces that wait go into a call, and at which target.

use super::{
    Batcher,
    targets::{SLOW, Target},
};
use crate::{ids::Millis, pieces::Waiting};

/// Moved bytes below which it does not matter where a piece is made.
const NEAR_BYTES: u64 = 200_000;
/// A piece waits for a target in its failure domain until its due time is this near, in
/// milliseconds.
const NEAR_SLACK_MS: Millis = 300;
/// Part of what the targets' next calls take, above which a service has a backlog: calls wait to be
/// worth their time, and slow targets are used too.
pub(super) const BACKLOG: f64 = 0.33;
/// The same above which pieces are made wherever a target is free.
const LONG_BACKLOG: f64 = 0.6;
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

    /// Indices of the pieces that a call at a target would take: whole groups, as far as they fit.
    pub(super) fn pack(&self, now: Millis, id: &str) -> Vec<usize> {
        let Some(target) = self.targets.get(id) else { return Vec::new() };
        let room = match self.sizes.room_bytes {
            0 => u64::MAX,
            it => it.saturating_sub(target.used_bytes),
        };
        let indices = self.pack_into(now, target, room);
        let is_small = indices.len() * SMALL_CALL < self.sizes.pieces as usize;
        let has_waited = target.idle_since + GATHER_MS <= now;
        if is_small && self.has_backlog(BACKLOG) && !has_waited {
            // Room comes back within the time of a small call, and then more fits in.
            return Vec::new();
        }
        indices
    }

    pub(super) fn pack_into(&self, now: Millis, target: &Target, mut room: u64) -> Vec<usize> {
        let most = self.sizes.most();
        let mut indices = Vec::new();
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
            let may_go = fits_in && self.may_go(now, &pieces[0], target);
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
            from += same;
        }
        indices
    }

    /// Whether a group fits into no call as a whole.
    pub(super) fn must_split(&self, pieces: usize, bytes: u64) -> bool {
        let is_large = self.sizes.room_bytes != 0 && self.sizes.room_bytes < 2 * bytes;
        self.sizes.pieces as usize <= 2 * pieces || is_large
    }

    /// Whether a piece may be made at a target, or waits for one where its result is needed.
    pub(super) fn may_go(&self, now: Millis, piece: &Waiting, target: &Target) -> bool {
        if SLOW <= target.slowness {
            // Only what will be in time there, or nowhere.
            let slow_ms = (self.sizes.stated_ms(1) * target.slowness) as Millis;
            if !self.sizes.is_late(now, piece) && piece.due < now + slow_ms {
                return false;
            }
        }
        let is_anywhere = piece.near_bytes < NEAR_BYTES || piece.domain.is_empty();
        if is_anywhere || piece.domain == target.domain || self.has_backlog(LONG_BACKLOG) {
            return true;
        }
        let call_ms = self.sizes.stated_ms(1) as Millis;
        let is_urgent = piece.due < now + call_ms + NEAR_SLACK_MS;
        let is_near =
            |it: &Target| it.domain == piece.domain && !it.is_leaving && it.suspect_until <= now;
        is_urgent || !self.targets.values().any(is_near)
    }

    /// How good a call would be: the most pieces, then the most large ones in their failure
    /// domain, then the fastest target.
    pub(super) fn score(&self, indices: &[usize], id: &str) -> (usize, u64, i64) {
        let Some(target) = self.targets.get(id) else { return (0, 0, 0) };
        let is_near = |it: &&Waiting| NEAR_BYTES <= it.near_bytes && it.domain == target.domain;
        let pieces = indices.iter().map(|it| &self.waiting[*it]);
        let near_bytes = pieces.filter(is_near).map(|it| it.near_bytes).sum();
        (indices.len(), near_bytes, -(target.slowness * 10.0) as i64)
    }
}
