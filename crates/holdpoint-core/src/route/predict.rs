//! Predicts the time of a call at a target, in milliseconds.

use holdpoint_schema::resources::Policy;

use super::{Call, Router, Target};
use crate::ids::Millis;

/// EWMA weight of the newest pace measurement.
const PACE_WEIGHT: f64 = 0.1;
/// Fraction by which each call in the batch lengthens the others.
const BATCH_COST: f64 = 0.015;
/// Number of measured calls of a pool, per target, after which a pace is outdated. A target that gets no calls because
/// of its pace is then tried again.
const PACE_LIFETIME_CALLS: u64 = 50;
/// Fraction of the mean pace within which a target's pace is treated as the mean.
const PACE_TOLERANCE: f64 = 0.4;
/// Added time of a target in another failure domain, in milliseconds.
const OTHER_DOMAIN_MS: f64 = 2.0;
/// Half-life of the trust that a target still caches a prefix, in milliseconds.
const PREFIX_HALF_LIFE_MS: f64 = 30_000.0;
/// Weight of a target's outstanding prefill time, which delays all calls that run there.
const PREFILL_WEIGHT: f64 = 3.5;
/// Cost of a megabyte of inputs fetched from another failure domain, in milliseconds. More than the time it
/// takes, since such traffic is also billed.
const TRANSFER_MS_PER_MB: f64 = 33.0;
const BYTES_PER_MB: f64 = 1e6;

impl Router {
    /// Predicted cost of a call at a target, in milliseconds: queueing, its work at the target's pace
    /// slowed by the batch, outstanding prefill, distance and transfer of inputs. `trust`,
    /// from 0 to 1, is how far the target is trusted to cache the prefix.
    pub(super) fn predict(
        &self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        target: &Target,
        trust: f64,
    ) -> f64 {
        let load = f64::from(target.in_flight) + self.other_calls(now, policy, target);
        let pace = self.pace_of(target) * target.slowdown.factor(now);
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
        // Outstanding prefill delays this call and all that run there.
        let prefill = match call.prefix {
            Some(_) => PREFILL_WEIGHT * (target.prefill_until - now as f64).max(0.0),
            None => 0.0,
        };
        let transfer = TRANSFER_MS_PER_MB * call.moved_bytes(&target.domain) as f64 / BYTES_PER_MB;
        run + wait + prefill + self.distance_ms(target) + transfer
    }

    /// Added time for the distance to a target, in milliseconds.
    fn distance_ms(&self, target: &Target) -> f64 {
        if self.is_remote(target) {
            self.far_region_ms
        } else if target.domain == self.domain {
            0.0
        } else {
            OTHER_DOMAIN_MS
        }
    }

    /// Whether a target is in another region.
    pub(super) fn is_remote(&self, target: &Target) -> bool {
        self.topology.has_regions() && target.region != self.topology.own_region()
    }

    /// Calls of other instances at a target: its report, decaying with age to the mean of all
    /// targets. Decay to zero would make a target without recent reports look idle and attract all
    /// instances.
    pub(super) fn other_calls(&self, now: Millis, policy: &Policy, target: &Target) -> f64 {
        let mean = self.other_calls.get().unwrap_or(0.0);
        let Some(report) = &target.report else { return mean };
        let age = now.saturating_sub(report.at) as f64;
        let trust = 0.5_f64.powf(age / policy.report_trust_ms as f64);
        trust * report.other_calls + (1.0 - trust) * mean
    }

    /// Pace of a target, or the mean pace where it is unknown, outdated or close to the mean. Small differences are
    /// noise, and following them would concentrate calls on one target. An outdated pace counts while a call runs there,
    /// so that one call at a time measures it anew.
    pub(super) fn pace_of(&self, target: &Target) -> f64 {
        let mean = self.mean_pace();
        let is_distinct = mean * PACE_TOLERANCE < (target.pace - mean).abs();
        let is_usable = target.pace != 0.0 && (!target.is_outdated || target.in_flight != 0);
        if is_usable && is_distinct { target.pace } else { mean }
    }

    /// Marks the paces of targets that got no calls while many others were measured. A target that was measured at a bad
    /// moment would otherwise seem slow forever, since only calls can show that it is not.
    pub(super) fn mark_outdated_paces(&mut self) {
        let targets = self.targets.len() as u64;
        // Amortizes the pass over all targets.
        if !self.measured.is_multiple_of(targets.max(1)) {
            return;
        }
        let oldest = self.measured.saturating_sub(PACE_LIFETIME_CALLS * targets);
        for target in self.targets.iter_mut().filter(|it| it.measured_at < oldest) {
            self.paces.replace(target.known_pace(), None);
            target.is_outdated = true;
        }
    }

    pub(super) fn mean_pace(&self) -> f64 {
        self.paces.get().unwrap_or(1.0)
    }
}

impl Target {
    /// Pace, if known and not outdated.
    pub(super) fn known_pace(&self) -> Option<f64> {
        (0.0 < self.pace && !self.is_outdated).then_some(self.pace)
    }
}

/// A mean that is updated incrementally, since it is needed for each target that is compared.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    /// Replaces one value by another; `None` for no value.
    pub(super) fn replace(&mut self, before: Option<f64>, after: Option<f64>) {
        self.count = self.count + u32::from(after.is_some()) - u32::from(before.is_some());
        self.sum += after.unwrap_or(0.0) - before.unwrap_or(0.0);
        if self.count == 0 {
            self.sum = 0.0;
        }
    }

    /// The mean; `None` without values.
    pub(super) fn get(self) -> Option<f64> {
        (self.count != 0).then(|| self.sum / f64::from(self.count))
    }
}

/// Updates the pace of a target from the time of a call, divided by the slowdown that its queue, its batch and
/// its reported pace explain. The reported pace is divided out because `predict` multiplies by it again.
pub(super) fn update_pace(now: Millis, target: &mut Target, work: f64, ms: Millis) {
    let other_calls = target.report.as_ref().map_or(0.0, |it| it.other_calls);
    let load = f64::from(target.in_flight) + other_calls;
    let queued = if target.slots == 0.0 { 1.0 } else { (load / target.slots).max(1.0) };
    let slowdown = queued * (1.0 + BATCH_COST * load.min(target.slots.max(1.0)));
    let slowdown = slowdown * target.slowdown.factor(now);
    let measured = (ms as f64).max(0.1) / (work.max(0.001) * slowdown);
    let is_outdated = std::mem::take(&mut target.is_outdated);
    target.pace = if target.pace == 0.0 || is_outdated {
        measured
    } else {
        target.pace + PACE_WEIGHT * (measured - target.pace)
    };
}

/// Trust that the target caches the call's prefix, from 0 to 1; decays with the time since its last use.
pub(super) fn prefix_trust(target: &Target, call: &Call<'_>, now: Millis) -> f64 {
    let Some(measured) = call.prefix.and_then(|it| target.prefixes.get(&it)) else { return 0.0 };
    0.5_f64.powf(now.saturating_sub(*measured) as f64 / PREFIX_HALF_LIFE_MS)
}
