//! When pieces will be made, and how well that was predicted.

use super::{Batcher, targets::Target};
use crate::{
    ids::Millis,
    pieces::{Call, Waiting},
    promises::StageLoad,
};

/// Part of the targets' time up to which what is not used may be lent to another region.
const LENT_PART: f64 = 0.8;
/// Bounds of how much longer pieces wait than predicted.
const LAG_BOUNDS: (f64, f64) = (1.0, 6.0);
/// Weight of the newest measurement of that.
const NEWEST_LAG: f64 = 0.1;
/// Least part of the targets' time that is taken to be left for late pieces.
const LEAST_SPARE: f64 = 0.05;
/// Age of the last call at which what was measured of calls has lost half its weight, in milliseconds: a few
/// calls of a service with work.
const TRUST_MS: f64 = 700.0;
/// Weight of the newest call in what is judged and measured of calls: some ten calls, which a service with
/// a backlog makes within the time of one.
const NEWEST_CALL: f64 = 0.1;

/// What was predicted for the pieces of a call, and what came, in the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// Time from the offer to the result as it was predicted, in milliseconds.
    pub predicted_ms: f64,
    /// The time that it took.
    pub took_ms: f64,
}

/// How calls went of late, as their pieces saw it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Judge {
    /// Sum of pieces times the time of their call, and of pieces, both fading.
    piece_ms: f64,
    pieces: f64,
    /// Part of a call's most pieces that calls carry while there is a backlog.
    fill: Option<f64>,
    /// How much longer than predicted pieces took, in milliseconds.
    bias_ms: f64,
    /// Mean distance from that, in milliseconds.
    spread_ms: f64,
    /// When a call was answered last.
    answered: Millis,
    /// When a call was answered last of whose pieces some were predicted.
    judged: Millis,
}

impl Judge {
    /// Takes in a call that was answered after `ms`.
    fn answered(&mut self, now: Millis, call: &Call, ms: Millis) -> Option<Judgement> {
        self.answered = now;
        let keep = 1.0 - NEWEST_CALL;
        let pieces = call.pieces.len() as f64;
        self.piece_ms = keep * self.piece_ms + pieces * ms as f64;
        self.pieces = keep * self.pieces + pieces;
        let most = call.sizes.most();
        if call.has_backlog() {
            let fill = pieces / most as f64;
            let before = self.fill.unwrap_or(fill);
            self.fill = Some(before + NEWEST_CALL * (fill - before));
        }
        let judged = || call.pieces.iter().filter_map(|it| Some((it, it.predicted_ms?)));
        let count = judged().count() as f64;
        if count == 0.0 {
            return None;
        }
        let predicted = judged().map(|it| it.1).sum::<f64>() / count;
        let took = judged().map(|it| now.saturating_sub(it.0.offered) as f64).sum::<f64>() / count;
        let error = took - predicted;
        let judgement = Judgement { predicted_ms: predicted + self.bias_ms, took_ms: took };
        self.judged = now;
        // A piece is likelier to go with a large call than with a small one.
        let newest = (count / self.pieces).min(1.0);
        self.bias_ms += newest * (error - self.bias_ms);
        self.spread_ms += newest * ((error - self.bias_ms).abs() - self.spread_ms);
        Some(judgement)
    }

    /// How much the times of calls count. They fade: a long time that leads to refusals would stay for good
    /// else, since what is refused is not measured.
    fn trust(&self, now: Millis) -> f64 {
        trust(now.saturating_sub(self.answered))
    }

    /// How much the errors of predictions count. Where all are late there are none, however many calls are
    /// answered, and what was found last must not keep everything late.
    fn trust_in_errors(&self, now: Millis) -> f64 {
        trust(now.saturating_sub(self.judged))
    }

    /// Time of a piece's call, where it is `usual` without any measurement, in milliseconds.
    fn call_ms(&self, now: Millis, usual: f64) -> f64 {
        if self.pieces < 1.0 {
            return usual;
        }
        usual + self.trust(now) * (self.piece_ms / self.pieces - usual)
    }
}

/// How much a measurement of an age counts.
fn trust(age: Millis) -> f64 {
    0.5_f64.powf(age as f64 / TRUST_MS)
}

impl Batcher {
    /// Time in which so many more pieces would be made that are due at a time, in milliseconds:
    /// after the call that ends next, after those that are due before them, in a call of their own.
    pub fn expected_ms(&self, now: Millis, due: Millis, pieces: usize) -> Millis {
        let own_call = self.sizes.stated_ms(pieces.min(self.sizes.most()));
        (self.lag * self.predicted_wait(now, due) + own_call) as Millis
    }

    /// Time in which a piece would be made that has as much time as is usual here, in milliseconds.
    pub fn usual_ms(&self, now: Millis) -> Millis {
        let load = self.load(now);
        load.expected_ms(load.waiting) as Millis
    }

    /// The load, as it is told to those who admit requests that come here later.
    pub fn load(&self, now: Millis) -> StageLoad {
        let late = self.waiting.iter().filter(|it| self.is_late(now, it)).count();
        self.load_with(now, (self.waiting.len() - late) as f64, late as f64)
    }

    fn load_with(&self, now: Millis, waiting: f64, late: f64) -> StageLoad {
        let most = self.sizes.most();
        let full = self.judge.fill.map_or(most as f64, |it| it * most as f64).max(1.0);
        let full_ms = self.sizes.call_ms + self.sizes.piece_ms * full;
        let usable = || {
            // One that was only full, or had no room for a while, has not lost its capacity.
            let has_failed = move |it: &Target| it.failures != 0 && now < it.suspect_until;
            let is_usable =
                move |it: &&Target| !it.is_leaving && !has_failed(it) && it.backoff_until <= now;
            self.targets.values().filter(is_usable)
        };
        let calls = f64::from(self.sizes.calls.max(1));
        let slowness_of = |it: &Target| it.slowness_at(now).max(1.0);
        let per_ms =
            usable().map(|it| full * it.calls_per_ms(calls, full_ms * slowness_of(it))).sum();
        let slowness = usable().map(slowness_of).sum::<f64>() / usable().count().max(1) as f64;
        let trust = self.judge.trust_in_errors(now);
        let usual_call = self.sizes.stated_ms(most.div_ceil(2));
        StageLoad {
            per_ms,
            waiting,
            late,
            call_ms: self.judge.call_ms(now, usual_call),
            full_ms: full_ms * slowness.max(1.0),
            most: full,
            bias_ms: trust * self.judge.bias_ms,
            spread_ms: trust * self.judge.spread_ms,
        }
    }

    /// Time in which a piece that is offered now will be made, in milliseconds; `None` where it will be late
    /// and stands aside for others.
    pub(super) fn predict(&self, now: Millis, piece: &Waiting) -> Option<f64> {
        if self.is_late(now, piece) {
            return None;
        }
        let ahead = self.ahead(now, piece.due) as f64;
        Some(self.load_with(now, ahead, 0.0).reckoned_ms(ahead))
    }

    /// Time in which so many more pieces that are due at a time would be made, as pieces went of late, with how
    /// far the truth may well be from that; in milliseconds.
    pub(crate) fn likely_ms(&self, now: Millis, due: Millis, pieces: usize) -> (f64, f64) {
        let ahead = self.ahead(now, due) as f64;
        let load = self.load_with(now, ahead, 0.0);
        (load.expected_ms(ahead + pieces as f64 / 2.0), load.spread_ms)
    }

    /// Time in which what goes before a piece that is due at a time is made, in milliseconds.
    pub(crate) fn wait_ms(&self, now: Millis, due: Millis) -> f64 {
        self.ahead(now, due) as f64 * self.piece_gap(now)
    }

    /// Takes in how long an answered call took; returns how well that was predicted where any of its pieces
    /// was not late.
    pub fn judge(&mut self, now: Millis, call: &Call, ms: Millis) -> Option<Judgement> {
        self.judge.answered(now, call, ms)
    }

    /// Part of the targets' time that is left by what is offered of late.
    pub(crate) fn spare(&self, now: Millis) -> f64 {
        (1.0 - self.offered.at(now) * self.piece_gap(now)).max(LEAST_SPARE)
    }

    /// Pieces that the targets can make within a time beside those that wait and those that are offered
    /// as of late, where a part of their time is kept for what comes unforeseen.
    pub fn lendable(&self, now: Millis, ms: Millis) -> u32 {
        if self.usable() == 0 {
            return 0;
        }
        let made = LENT_PART * ms as f64 / self.piece_gap(now);
        (made - self.offered.at(now) * ms as f64 - self.waiting() as f64).max(0.0) as u32
    }

    /// Whether so many more pieces can be made by their due time, or by their late one although all that
    /// is offered meanwhile goes first. An error is the time in which they would be made.
    pub fn admit(
        &self,
        now: Millis,
        due: Millis,
        late_due: Millis,
        pieces: usize,
    ) -> Result<(), Millis> {
        let expected = self.expected_ms(now, due, pieces);
        if now + expected <= due {
            return Ok(());
        }
        let late = self.expected_ms(now, late_due, pieces) as f64 / self.spare(now);
        if now + late as Millis <= late_due { Ok(()) } else { Err(expected) }
    }

    /// When a request that was refused may come back, in milliseconds: once there is room for its
    /// pieces, and after those that were refused before it.
    pub fn return_ms(&mut self, now: Millis, due: Millis, pieces: usize) -> Millis {
        let excess = (now + self.expected_ms(now, due, pieces)).saturating_sub(due.max(now));
        let gap_ms = pieces as f64 * self.piece_gap(now);
        self.returns.take(now, excess, gap_ms)
    }

    /// Time in which the targets make one piece where calls are full, in milliseconds.
    pub(super) fn piece_gap(&self, now: Millis) -> f64 {
        let usable =
            |it: &&Target| !it.is_leaving && it.suspect_until <= now && it.backoff_until <= now;
        let most = self.sizes.most();
        let full_ms = self.sizes.stated_ms(most);
        let calls_per_ms: f64 =
            self.targets.values().filter(usable).map(|it| it.calls_per_ms(1.0, full_ms)).sum();
        let calls_per_ms = if calls_per_ms == 0.0 { 1.0 / full_ms } else { calls_per_ms };
        1.0 / (calls_per_ms * most as f64)
    }

    /// Pieces that have their turn before one that is due at a time.
    fn ahead(&self, now: Millis, due: Millis) -> usize {
        let is_late = due < now + self.next_call_ms();
        let is_ahead = |it: &&Waiting| match (self.is_late(now, it), is_late) {
            (true, false) => false,
            (false, true) => true,
            _ => it.turn <= due,
        };
        self.waiting.iter().filter(is_ahead).count()
    }

    /// Wait of one more piece, as far as the targets' stated times explain it, in milliseconds.
    pub(super) fn predicted_wait(&self, now: Millis, due: Millis) -> f64 {
        let usable = |it: &&Target| !it.is_leaving && it.is_open(now);
        let is_free = self.targets.values().filter(usable).any(|it| it.calls < self.sizes.calls);
        if is_free && self.waiting.is_empty() {
            return 0.0;
        }
        (self.sizes.most() + self.ahead(now, due)) as f64 * self.piece_gap(now)
    }

    /// Learns how much longer pieces wait than predicted, from those of a call.
    pub(super) fn learn_lag(&mut self, now: Millis, pieces: &[Waiting]) {
        // What is late has stood aside for others; its wait says nothing of theirs.
        for piece in pieces.iter().filter(|it| !self.sizes.is_late(now, it)) {
            let waited = now.saturating_sub(piece.offered) as f64;
            let seen = (waited / piece.predicted_wait.max(20.0)).clamp(LAG_BOUNDS.0, LAG_BOUNDS.1);
            self.lag += NEWEST_LAG * (seen - self.lag);
        }
    }
}
