//! The targets of a service: which may be called, how slow they are, what room they have.

use std::cmp::Reverse;

use super::{Batcher, pack::BACKLOG};
use crate::{
    choice::Load,
    directory::TargetId,
    ids::Millis,
    pieces::{Call, CallEnd},
    told_pace::ToldPace,
};

/// How long a target that failed gets no calls, in milliseconds; doubled with each failure.
const SUSPECT_MS: Millis = 500;
/// Longest time that a target is suspect, in milliseconds.
const LONGEST_SUSPECT_MS: Millis = 4000;
/// How long a target that was full, or had no room, gets no calls, in milliseconds.
const FULL_MS: Millis = 80;
/// Weight of the newest measurement of a target's slowness.
const NEWEST: f64 = 0.3;
/// A target that is so many times slower than the fastest gets work only while there is a
/// backlog.
pub(super) const SLOW: f64 = 2.0;
/// How many times longer than it was waited for a call is taken to last that was not answered.
const SILENT_SLOWNESS: f64 = 1.5;
/// Slowness above which a target counts as gone rather than slow; the users' targets slow down by up
/// to five times.
const MOST_SLOWNESS: f64 = 8.0;
/// How long a slow target rests before a call is tried there again, in milliseconds.
const SLOW_REST_MS: Millis = 2000;
/// How long a target counts as full that had no room although the account said so, in
/// milliseconds.
const UNKNOWN_ROOM_MS: Millis = 300;
/// How long a target counts as called by other instances too, after a sign of it, in milliseconds:
/// views of who batches a service differ for about as long as a silent peer is passed over.
const SHARED_MS: Millis = 2000;

#[derive(Clone, Debug, Default)]
pub(super) struct Target {
    pub(super) domain: String,
    pub(super) is_leaving: bool,
    /// Whether it gets only pieces that are confined to regions in which no other one makes them.
    pub(super) is_spare: bool,
    pub(super) calls: u32,
    pub(super) failures: u32,
    pub(super) suspect_until: Millis,
    /// How much longer its calls take than stated at its usual pace; 1 until measured.
    pub(super) slowness: f64,
    /// What it tells of its pace at this moment.
    pub(super) told: ToldPace,
    /// Room reserved by calls and taken by results, in bytes.
    pub(super) used_bytes: u64,
    /// When its last call ended.
    pub(super) idle_since: Millis,
    /// When the call that began last is expected to end.
    pub(super) busy_until: Millis,
    /// Until when it counts as called by other instances too.
    pub(super) shared_until: Millis,
    /// Until when it gets no calls, since it has got what it takes.
    pub(super) closed_until: Millis,
    /// Until when it gets no calls of this instance, which it has asked to back off.
    pub(super) backoff_until: Millis,
    /// Calls a second that it takes, where it names a limit.
    pub(super) per_s: Option<f64>,
}

impl Target {
    /// Whether it may be called again once its calls have ended.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        self.suspect_until <= now && self.closed_until <= now && self.backoff_until <= now
    }

    /// Calls that it makes in a millisecond where one takes so long.
    pub(super) fn calls_per_ms(&self, calls: f64, call_ms: f64) -> f64 {
        let most = self.per_s.map_or(f64::INFINITY, |it| it / 1000.0);
        (calls / call_ms).min(most)
    }

    /// How much longer its calls take than stated, at this moment.
    pub(super) fn slowness_at(&self, now: Millis) -> f64 {
        self.slowness * self.told.factor(now)
    }
}

#[derive(Clone, Debug)]
pub(super) struct Kept {
    pub(super) target: TargetId,
    pub(super) bytes: u64,
    pub(super) until: Millis,
}

impl Batcher {
    /// Ends a call. `results` has the handle of each piece's result, in their order; those of a
    /// call that did not answer are all absent.
    pub fn ended(&mut self, now: Millis, call: &Call, end: CallEnd, results: &[Option<&str>]) {
        let stated = self.sizes.stated_ms(call.pieces.len());
        let mut freed = 0;
        for (index, piece) in call.pieces.iter().enumerate() {
            match results.get(index).copied().flatten() {
                Some(handle) => {
                    let until = now + self.sizes.keep_ms;
                    let kept = Kept { target: call.target.clone(), bytes: piece.bytes, until };
                    self.keep(handle.to_owned(), kept);
                }
                None => freed += piece.bytes,
            }
        }
        let Some(target) = self.targets.get_mut(&call.target) else { return };
        target.calls = target.calls.saturating_sub(1);
        target.idle_since = now;
        target.used_bytes = target.used_bytes.saturating_sub(freed);
        match end {
            CallEnd::Answered(ms) => {
                let seen = ms as f64 / stated.max(1.0) / target.told.factor(now);
                target.slowness += NEWEST * (seen - target.slowness);
                target.failures = 0;
            }
            CallEnd::Full => target.suspect_until = now + FULL_MS,
            CallEnd::Failed | CallEnd::Silent(_) => {
                if let CallEnd::Silent(ms) = end {
                    // It may be slow and not gone: the next call gets the time that it needs.
                    let least = SILENT_SLOWNESS * ms as f64 / stated.max(1.0);
                    target.slowness = target.slowness.max(least).min(MOST_SLOWNESS);
                }
                let span = SUSPECT_MS << target.failures.min(4);
                target.suspect_until = now + span.min(LONGEST_SUSPECT_MS);
                target.failures += 1;
            }
        }
    }

    /// Takes in the calls that a target worked on or had in its queue as it answered. So many calls of this
    /// instance have ended with the answer, and are no part of its load. More than are known here are another instance's. Inputs that are gone
    /// are no sign of one: they go with a target that crashed, and counted as a sign they would have inputs
    /// kept until the ends of calls, which fills the makers' room.
    pub fn told_load(&mut self, now: Millis, target: &str, load: Load, answered: u32) {
        let Some(found) = self.targets.get_mut(target) else { return };
        if let Some(it) = load.pace_percent {
            found.told.told(now, it);
        }
        let calls = load.running + load.waiting;
        if found.calls.saturating_sub(answered) < calls {
            found.shared_until = now + SHARED_MS;
        }
    }

    /// Takes in how many calls a second a target takes, if it names a limit, and until when it gets none.
    pub fn set_limit(&mut self, target: &str, per_s: Option<f64>, closed_until: Millis) {
        if let Some(it) = self.targets.get_mut(target) {
            (it.per_s, it.closed_until) = (per_s, closed_until);
        }
    }

    /// Gives a target no calls until a time, in milliseconds, since it has asked this instance to back off.
    pub fn back_off_until(&mut self, target: &str, until: Millis) {
        if let Some(it) = self.targets.get_mut(target) {
            it.backoff_until = until;
        }
    }

    /// In how many milliseconds the first target may be called, where all that stay have asked this instance to
    /// back off.
    pub fn backoff_ms(&self, now: Millis) -> Option<Millis> {
        let staying = self.targets.values().filter(|it| !it.is_leaving);
        let until = staying.map(|it| it.backoff_until).min()?;
        (now < until).then(|| until - now)
    }

    /// Takes in that a target had no room for a piece, although it should have had.
    pub fn no_room(&mut self, now: Millis, target: &str) {
        let Some(found) = self.targets.get_mut(target) else { return };
        found.suspect_until = found.suspect_until.max(now + FULL_MS);
        // Results that another instance had made there are unknown here; they go with time.
        let unknown = self.sizes.room_bytes.saturating_sub(found.used_bytes);
        found.used_bytes += unknown;
        let until = now + UNKNOWN_ROOM_MS;
        let kept = Kept { target: target.to_owned(), bytes: unknown, until };
        self.keep(format!("unknown:{target}:{now}"), kept);
    }

    fn keep(&mut self, handle: String, kept: Kept) {
        self.expiries.push(Reverse((kept.until, handle.clone())));
        self.kept.insert(handle, kept);
    }

    /// Takes in that a result was given up at its maker.
    pub fn released(&mut self, handle: &str) {
        let Some(kept) = self.kept.remove(handle) else { return };
        if let Some(target) = self.targets.get_mut(&kept.target) {
            target.used_bytes = target.used_bytes.saturating_sub(kept.bytes);
        }
    }

    pub(super) fn forget_kept(&mut self, now: Millis) {
        while self.expiries.peek().is_some_and(|it| it.0.0 < now) {
            let Some(Reverse((until, handle))) = self.expiries.pop() else { return };
            // A handle that was kept anew meanwhile has a later time.
            if self.kept.get(&handle).is_some_and(|it| it.until == until) {
                self.released(&handle);
            }
        }
    }

    /// Longest time that a call of so many pieces at a target is waited for, in milliseconds.
    pub fn patience_ms(&self, now: Millis, target: &str, pieces: usize) -> Millis {
        let stated = self.sizes.stated_ms(pieces);
        let slowness = self.targets.get(target).map_or(1.0, |it| it.slowness_at(now).max(1.0));
        (stated * (1.0 + slowness) + 300.0) as Millis
    }

    /// Targets that may take a call now. One much slower than the fastest is left out while the
    /// others keep up.
    pub(super) fn free_targets(&self, now: Millis) -> impl Iterator<Item = (&TargetId, &Target)> {
        let calls = self.sizes.calls.max(1);
        let staying = || self.targets.iter().filter(|it| !it.1.is_leaving);
        let fastest = staying()
            .filter(|it| it.1.suspect_until <= now)
            .map(|it| it.1.slowness)
            .fold(f64::INFINITY, f64::min);
        let has_backlog = self.has_backlog(BACKLOG);
        staying()
            .chain(self.spare_targets())
            .filter(move |it| it.1.is_open(now) && it.1.calls < calls)
            .filter(move |it| {
                let is_slow = SLOW * fastest.max(1.0) <= it.1.slowness;
                has_backlog || !is_slow || it.1.idle_since + SLOW_REST_MS <= now
            })
    }
}
