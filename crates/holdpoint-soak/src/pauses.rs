//! Plans in which all targets are sound, but pause for a while or decline, beside stops, reloads and configurations.

use std::{ops::RangeInclusive, time::Duration};

use holdpoint_adapter_standin::{AnswerFault, SilentPoint};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Millis,
    changes::Change,
    plan::{ENCODERS, Fault, FaultKind, Plan, TARGETS, TargetFault},
    planned::{LATE_STOP_COUNT, late_stops},
    verdict::EVENTS,
};

/// Deadline that requests carry, longer than some pauses in a row.
const DEADLINE_MS: Millis = 8000;
/// Random stream for pauses, kept apart so that the other faults of a seed do not depend on them.
const PAUSES_STREAM: u64 = 12;
/// Longest time between two periods with pauses.
const MAX_INTERVAL_MS: Millis = 600;
/// Shortest and longest period in which all answers of a target pause.
const PERIOD_MS: RangeInclusive<Millis> = 100..=1200;
/// Shortest and longest pause.
const PAUSE_MS: RangeInclusive<Millis> = 300..=3000;
/// Longest time between two stops, and between two reloads.
const MAX_STOP_INTERVAL_MS: Millis = 3000;

impl Plan {
    /// Draws a plan in which sound targets pause, alone or many at a time, while others decline, beside planned work.
    pub fn draw_paused(seed: u64, length: Duration) -> Plan {
        let mut plan = Plan::draw(seed, length).without_narrow_links();
        plan.deadline_ms = DEADLINE_MS;
        plan.large_senders = plan.processes;
        let end = length.as_millis() as Millis;
        let is_kept = |it: &FaultKind| match it {
            FaultKind::Crowd(_) => false,
            it => it.is_planned(),
        };
        plan.faults.retain(|it| is_kept(&it.kind));
        plan.faults.iter_mut().for_each(lengthen);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(PAUSES_STREAM);
        let pauses = pauses(&mut rng, end);
        plan.faults.extend(pauses);
        plan.faults.extend(late_stops(seed, end, LATE_STOP_COUNT, plan.processes));
        for kind in [FaultKind::Stop, FaultKind::Reload] {
            let mut at = rng.random_range(0..MAX_STOP_INTERVAL_MS);
            while at < end {
                let kind = kind(rng.random_range(0..plan.processes));
                plan.faults.push(Fault { at, duration: 0, kind });
                at += rng.random_range(0..MAX_STOP_INTERVAL_MS);
            }
        }
        plan.faults.sort_by_key(|it| it.at);
        plan
    }

    /// Removes stops.
    pub fn without_stops(mut self) -> Plan {
        let is_stop =
            |it: &FaultKind| matches!(it, FaultKind::Stop(_) | FaultKind::LateStop { .. });
        self.faults.retain(|it| !is_stop(&it.kind));
        self
    }

    /// Whether targets pause or decline at most, and no link fails, so that no answer has to end early.
    pub(crate) fn has_only_sound(&self) -> bool {
        let is_sound = |it: &FaultKind| {
            let is_pause =
                matches!(it, FaultKind::Answers { fault: AnswerFault::Silent { .. }, .. });
            is_pause || matches!(it, FaultKind::Target(_, TargetFault::Declines)) || it.is_planned()
        };
        self.link_mbps.is_none() && self.faults.iter().all(|it| is_sound(&it.kind))
    }
}

/// Makes the timeout of a change as long as the deadline.
fn lengthen(fault: &mut Fault) {
    if let FaultKind::Change(Change::Timeout(ms)) = &mut fault.kind {
        *ms += DEADLINE_MS;
    }
}

/// Draws periods in which targets of one service, or all targets, pause.
fn pauses(rng: &mut ChaCha8Rng, end: Millis) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = rng.random_range(0..MAX_INTERVAL_MS);
    while at < end {
        let duration = rng.random_range(PERIOD_MS);
        let time = rng.random_range(PAUSE_MS);
        let point = match rng.random_range(0..=EVENTS as usize + 2) {
            0 => SilentPoint::InHead,
            part => SilentPoint::Before(part - 1),
        };
        let fault = AnswerFault::Silent { point, time: Duration::from_millis(time) };
        let pause = |target| Fault { at, duration, kind: FaultKind::Answers { target, fault } };
        let decline = |target| {
            let kind = FaultKind::Target(target, TargetFault::Declines);
            Fault { at, duration: duration + time, kind }
        };
        let targets: Vec<usize> = match rng.random_range(0..4) {
            0 => (0..TARGETS).collect(),
            1 | 2 => (TARGETS..2 * TARGETS).collect(),
            _ => (2 * TARGETS..2 * TARGETS + ENCODERS).collect(),
        };
        let one = targets[rng.random_range(0..targets.len())];
        let others = targets.iter().copied().filter(|it| *it != one);
        match rng.random_range(0..6) {
            0 => faults.push(pause(one)),
            1 => faults.extend(targets.iter().copied().map(pause)),
            2 => faults.extend((0..2 * TARGETS + ENCODERS).map(pause)),
            // The others are full.
            _ => {
                faults.push(pause(one));
                faults.extend(others.map(decline));
            }
        }
        at += rng.random_range(0..MAX_INTERVAL_MS);
    }
    faults
}
