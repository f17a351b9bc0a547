//! Decides at one instance which requests go to a version that is being rolled out.
//!
//! The driver's updates are leases: each is valid for a short time, except that the end of a roll-out is
//! final. An instance without a valid update sends nothing to the new version.

use serde::{Deserialize, Serialize};

use crate::{
    evacuation::Horizon,
    ids::{Millis, Name},
    rollout::{
        exposure::{Exposure, is_wanted},
        judge::{Answer, Observations},
        order::Order,
        phase::{Input, Phase},
    },
};

/// How long after its deadline an order still restricts targets, in milliseconds. After that, a version
/// not known to be completed may be used if no other is left, and a completed one no longer excludes others.
const ORDER_GRACE_MS: Millis = 30_000;

/// An update from the driver of a roll-out to an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Offset of the order.
    pub offset: Horizon,
    /// Current phase of the roll-out.
    pub phase: Phase,
    /// Total number of requests that this incarnation of the instance may send to the version before the
    /// roll-out ends.
    pub quota: u64,
    /// Routes that need more answers; requests on other routes spend permits less often.
    pub wanted: Vec<Name>,
}

/// Which targets a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Targets of any version.
    Any,
    /// Targets of other versions only.
    Old,
    /// Targets of the version that is being rolled out only.
    New,
}

/// The state of one service's roll-out at an instance.
#[derive(Clone, Debug)]
pub struct Gate {
    order: Order,
    exposure: Exposure,
    answers: Observations,
    old_running: u64,
    needed_permits: u64,
    update: Word,
    /// When the driver's update expires.
    valid_until: Millis,
    is_withdrawn: bool,
}

impl Gate {
    /// Creates a gate that is closed until the driver's first update.
    pub fn new(order: Order) -> Gate {
        Gate {
            order,
            exposure: Exposure::default(),
            answers: Observations::default(),
            old_running: 0,
            needed_permits: 1,
            update: Word::default(),
            valid_until: 0,
            is_withdrawn: false,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Marks the order as withdrawn: unless completed, the version receives no more requests.
    pub fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    /// Applies an update from the driver that is valid until a time. Updates for other orders, and those
    /// that follow a final one, are ignored.
    pub fn hear(&mut self, update: Word, until: Millis) {
        if update.offset == self.order.offset && !self.update.phase.is_final() {
            (self.update, self.valid_until) = (update, until);
        }
    }

    /// The current phase; `None` if the driver's last update has expired.
    pub fn phase(&self, now: Millis) -> Option<Phase> {
        let phase = self.update.phase;
        if self.is_withdrawn && phase != Phase::Completed {
            return Some(Phase::RolledBack);
        }
        (phase.is_final() || now < self.valid_until).then_some(phase)
    }

    /// Whether requests may be in flight to the version now.
    pub fn is_open(&self, now: Millis) -> bool {
        let phase = self.phase(now);
        matches!(phase, Some(Phase::Canary | Phase::Loaded | Phase::Full | Phase::Completed))
    }

    /// Chooses a lane for a request and spends its permit if it needs one; `draw` is uniform in 0 to 1.
    pub fn lane(&mut self, now: Millis, route: &str, draw: f64, has_old: bool) -> Lane {
        let lane = self.lane_for(now, 1, has_old);
        let is_selected = match self.phase(now) {
            Some(Phase::Canary) => is_wanted(&self.update.wanted, route, draw),
            _ => true,
        };
        if lane == Lane::New && !is_selected {
            return Lane::Old;
        }
        // The permit is spent before a target is chosen, so that no concurrent request takes it meanwhile.
        if lane == Lane::New {
            self.exposed(1);
        }
        lane
    }

    /// Returns the lane for `count` requests that are sent together. If they go to the new version, the
    /// caller must count them by [`Gate::exposed`].
    pub fn lane_for(&self, now: Millis, count: u64, has_old: bool) -> Lane {
        let new_or_old = |is_new| if is_new { Lane::New } else { Lane::Old };
        match self.phase(now) {
            Some(Phase::Canary | Phase::Loaded | Phase::Full) => {
                new_or_old(self.exposure.exposed + count <= self.update.quota)
            }
            // The old targets have stopped by then, and targets of a later version may have joined.
            Some(Phase::Completed) if self.is_expired(now) => Lane::Any,
            Some(Phase::Completed) => Lane::New,
            // The outcome is unknown, and there is no other version to fall back on.
            _ if !has_old && self.is_expired(now) => Lane::Any,
            _ => Lane::Old,
        }
    }

    fn is_expired(&self, now: Millis) -> bool {
        self.order.until + ORDER_GRACE_MS < now
    }

    /// Sets how many permits the next group of requests needs.
    pub fn wants(&mut self, count: u64) {
        self.needed_permits = count.max(1);
    }

    /// Counts requests as sent to the service, whichever the version.
    pub fn reached(&mut self, count: u64) {
        self.exposure.reached += count;
    }

    /// Counts requests as sent to the version.
    pub fn exposed(&mut self, count: u64) {
        self.exposure.exposed += count;
    }

    /// Counts a request that starts at an old target, until [`Gate::old_ended`].
    pub fn old_begun(&mut self) {
        self.old_running += 1;
    }

    /// Counts the end of such a request.
    pub fn old_ended(&mut self) {
        self.old_running = self.old_running.saturating_sub(1);
    }

    /// Records an answer of the new version or of an old one.
    pub fn answered(&mut self, route: &str, is_new: bool, answer: Answer) {
        self.answers.add(route, is_new, answer);
    }

    /// The report for the driver.
    pub fn input(&self) -> Input {
        Input {
            reached: self.exposure.reached,
            exposed: self.exposure.exposed,
            old_running: self.old_running,
            wants: self.needed_permits,
            answers: self.answers.clone(),
        }
    }
}
