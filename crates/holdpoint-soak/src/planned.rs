//! Plans of planned work only: restarts, reloads and configurations beside crowds at processes that run late.

use std::{ops::RangeInclusive, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Millis,
    fleet::LINGER_MS,
    plan::{Fault, FaultKind, Plan},
};

/// Random stream for the stops of these plans, kept apart so that the other faults of a seed do not depend on them.
const STOPS_STREAM: u64 = 11;
/// Longest time between two stops.
const MAX_STOP_INTERVAL_MS: Millis = 1500;
/// Random stream for the stops of processes that are suspended meanwhile.
const LATE_STOPS_STREAM: u64 = 13;
/// Number of these stops in a soak.
pub(crate) const LATE_STOP_COUNT: usize = 4;
/// Mean time between these stops in a soak of nothing else.
const LATE_STOP_INTERVAL_MS: Millis = 400;
/// Number of callers for each process that connect some time before they send.
const EARLY_PER_PROCESS: usize = 6;
/// Longest time from the end of the time for which a stopping process still takes requests until its suspension.
const MAX_SUSPENSION_DELAY_MS: Millis = 60;
/// Shortest and longest suspension of a stopping process.
const SUSPENSION_MS: RangeInclusive<Millis> = 250..=700;

impl Plan {
    /// Draws a plan of planned work only, in which no target and no link fails, so that every answer has to be whole.
    pub fn draw_planned(seed: u64, length: Duration) -> Plan {
        let mut plan = Plan::draw(seed, length);
        plan.faults.retain(|it| it.kind.is_planned());
        let end = length.as_millis() as Millis;
        let stops = stops(seed, end, &plan);
        plan.faults.extend(stops);
        let late_stops = late_stops(seed, end, LATE_STOP_COUNT, plan.processes);
        plan.faults.extend(late_stops);
        plan.faults.sort_by_key(|it| it.at);
        plan.without_narrow_links()
    }

    /// Draws a plan of stops of processes that are suspended while they end. Its callers connect some time before they send, so
    /// that a process may have no request in flight when it learns of one.
    pub fn draw_late_stops(seed: u64, length: Duration) -> Plan {
        let mut plan = Plan::draw_planned(seed, length);
        let end = length.as_millis() as Millis;
        plan.faults = late_stops(seed, end, (end / LATE_STOP_INTERVAL_MS) as usize, plan.processes);
        plan.faults.sort_by_key(|it| it.at);
        plan.early_connections = EARLY_PER_PROCESS * plan.processes;
        (plan.callers, plan.slow_readers) = (0, 0);
        plan
    }

    /// Whether no fault breaks answers off.
    pub(crate) fn has_only_planned(&self) -> bool {
        self.link_mbps.is_none() && self.faults.iter().all(|it| it.kind.is_planned())
    }
}

impl FaultKind {
    pub(crate) fn is_planned(&self) -> bool {
        matches!(
            self,
            FaultKind::Stop(_)
                | FaultKind::LateStop { .. }
                | FaultKind::Reload(_)
                | FaultKind::Configure
                | FaultKind::Change(_)
                | FaultKind::Crowd(_)
                | FaultKind::CoarseShare(_)
        )
    }
}

/// Draws stops of any process, and for each crowd one of the crowded process, which runs late during the crowd.
fn stops(seed: u64, end: Millis, plan: &Plan) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STOPS_STREAM);
    let mut faults = Vec::new();
    let stop = |at, process| Fault { at, duration: 0, kind: FaultKind::Stop(process) };
    let mut at = rng.random_range(0..MAX_STOP_INTERVAL_MS);
    while at < end {
        faults.push(stop(at, rng.random_range(0..plan.processes)));
        at += rng.random_range(0..MAX_STOP_INTERVAL_MS);
    }
    for fault in &plan.faults {
        if let FaultKind::Crowd(process) = fault.kind {
            faults.push(Fault { kind: FaultKind::CoarseShare(process), ..*fault });
            faults.push(stop(fault.at + rng.random_range(0..fault.duration.max(1)), process));
        }
    }
    faults
}

/// Draws stops of processes that are suspended about when they close their connections, so that they learn late of the last
/// requests on them.
pub(crate) fn late_stops(seed: u64, end: Millis, count: usize, processes: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(LATE_STOPS_STREAM);
    let mut stop = || {
        let process = rng.random_range(0..processes);
        let after = LINGER_MS + rng.random_range(0..MAX_SUSPENSION_DELAY_MS);
        let (at, duration) = (rng.random_range(0..end.max(1)), rng.random_range(SUSPENSION_MS));
        Fault { at, duration, kind: FaultKind::LateStop { process, after } }
    };
    (0..count).map(|_| stop()).collect()
}
