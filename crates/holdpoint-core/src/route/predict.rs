//! How long a call would take at a target.

use holdpoint_schema::resources::Policy;

use super::{Call, Router, Target};
use crate::ids::Millis;

/// Weight of the newest measurement of a target's speed.
const NEWEST: f64 = 0.1;
/// What each call in the batch adds to the time of the others, as a part of it.
const BATCH_COST: f64 = 0.015;
/// Paces that differ from the mean by less than this part of it count as the same.
const SAME_PACE: f64 = 0.4;
/// What another failure domain adds, in milliseconds.
const FAR_MS: f64 = 2.0;
/// Age at which a remembered prefix has lost half its weight, in milliseconds.
const PREFIX_TRUST_MS: f64 = 30_000.0;
/// Weight of the time for which a target still reads prompts, since what is read holds up all that run
/// there. With 3.5, and 8 for `REREAD_WEIGHT`, 82.5 % of 43,882 generations in four plays of 48 s at 61 to 86
/// instances were in time, with 1.5 and 4 82.1 %; as many tokens were read again.
const READ_WEIGHT: f64 = 3.5;
/// What a megabyte of inputs that comes from another failure domain counts, in milliseconds: it is paid
/// for like some 200 tokens that are read again, at `REREAD_WEIGHT`.
const MOVED_WEIGHT: f64 = 33.0;
const BYTES_IN_MB: f64 = 1e6;

impl Router {
    /// Predicted time of a call at a target: its work at the target's pace, slowed a little by
    /// each call in the batch, after a wait for those that stand before it in the queue.
    pub(super) fn predict(
        &self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        target: &Target,
        trust: f64,
    ) -> f64 {
        let load = f64::from(target.in_flight) + self.others(now, policy, target);
        let pace = self.pace_of(target) * target.told.factor(now);
        let slots = if target.slots == 0.0 { load + 1.0 } else { target.slots };
        let ahead = (load + 1.0 - slots).max(0.0);
        let mean_work = if target.in_flight == 0 {
            call.work
        } else {
            target.work / f64::from(target.in_flight)
        };
        let wait = ahead * mean_work * pace / slots.max(1.0);
        let saved = call.prefix_work * trust;
        let run = (call.work - saved) * pace * (1.0 + BATCH_COST * load);
        // What is being read holds up both this call and, step by step, all that run there.
        let reads = match call.prefix {
            Some(_) => READ_WEIGHT * (target.reads_until - now as f64).max(0.0),
            None => 0.0,
        };
        let moved = MOVED_WEIGHT * call.moved_bytes(&target.domain) as f64 / BYTES_IN_MB;
        run + wait + reads + self.way_ms(target) + moved
    }

    /// What the distance to a target adds, in milliseconds.
    fn way_ms(&self, target: &Target) -> f64 {
        if self.is_far(target) {
            self.far_region_ms
        } else if target.domain == self.domain {
            0.0
        } else {
            FAR_MS
        }
    }

    /// Whether a target stands in another region.
    pub(super) fn is_far(&self, target: &Target) -> bool {
        self.topology.is_split() && target.region != self.topology.own_region()
    }

    /// Calls of other instances at a target: what it reported, fading with the age of the report
    /// into the mean of all targets. Fading into nothing would make a target that has not been
    /// heard of for long look empty, and draw everyone to it.
    pub(super) fn others(&self, now: Millis, policy: &Policy, target: &Target) -> f64 {
        let mean = self.others.get().unwrap_or(0.0);
        let Some(report) = &target.report else { return mean };
        let age = now.saturating_sub(report.at) as f64;
        let trust = 0.5_f64.powf(age / policy.report_trust_ms as f64);
        trust * report.others + (1.0 - trust) * mean
    }

    /// Pace of a target; the mean of all where it is unknown or not clearly another. Small
    /// differences are noise, and following them sends everyone to the target that was lucky.
    pub(super) fn pace_of(&self, target: &Target) -> f64 {
        let mean = self.mean_pace();
        let is_clear = mean * SAME_PACE < (target.pace - mean).abs();
        if target.pace != 0.0 && is_clear { target.pace } else { mean }
    }

    pub(super) fn mean_pace(&self) -> f64 {
        self.paces.get().unwrap_or(1.0)
    }
}

impl Target {
    /// Pace, where it is known.
    pub(super) fn known_pace(&self) -> Option<f64> {
        (0.0 < self.pace).then_some(self.pace)
    }
}

/// A mean that is kept up to date value by value. Summed up anew for each target that is compared, the mean
/// pace of 5,634 engines took 32 million additions a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    /// Puts a value in the place of another, where there are any.
    pub(super) fn replace(&mut self, before: Option<f64>, after: Option<f64>) {
        self.count = self.count + u32::from(after.is_some()) - u32::from(before.is_some());
        self.sum += after.unwrap_or(0.0) - before.unwrap_or(0.0);
        if self.count == 0 {
            self.sum = 0.0;
        }
    }

    /// The mean; `None` of no values.
    pub(super) fn get(self) -> Option<f64> {
        (self.count != 0).then(|| self.sum / f64::from(self.count))
    }
}

/// Learns the pace from a call's time, less the wait that the queue of its time explains.
/// What the target has told of its pace is taken out, so that a moment in which it was slow does not count
/// twice when the next call is predicted.
pub(super) fn learn_pace(now: Millis, target: &mut Target, work: f64, ms: Millis) {
    let others = target.report.as_ref().map_or(0.0, |it| it.others);
    let load = f64::from(target.in_flight) + others;
    let queued = if target.slots == 0.0 { 1.0 } else { (load / target.slots).max(1.0) };
    let slowed = queued * (1.0 + BATCH_COST * load.min(target.slots.max(1.0)));
    let slowed = slowed * target.told.factor(now);
    let seen = (ms as f64).max(0.1) / (work.max(0.001) * slowed);
    target.pace =
        if target.pace == 0.0 { seen } else { target.pace + NEWEST * (seen - target.pace) };
}

/// How far the target may be trusted to hold the call's prefix, from 0 to 1.
pub(super) fn prefix_trust(target: &Target, call: &Call<'_>, now: Millis) -> f64 {
    let Some(seen) = call.prefix.and_then(|it| target.prefixes.get(&it)) else { return 0.0 };
    0.5_f64.powf(now.saturating_sub(*seen) as f64 / PREFIX_TRUST_MS)
}
