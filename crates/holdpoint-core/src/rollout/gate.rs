//! What one instance lets through to a version that is rolled out, by what the driver last told it.
//!
//! What the driver tells holds for a short time only, but for the end of a roll-out, which is final. An
//! instance that has heard nothing of late sends nothing to the version.

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

/// How long after an order's deadline its version is held back where it is not known to be completed and
/// no other version is left, and how long other versions are held back where it is, in milliseconds.
const FORGOTTEN_MS: Millis = 30_000;

/// What the driver of a roll-out tells an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Offset of the order.
    pub offset: Horizon,
    /// Where the roll-out stands.
    pub phase: Phase,
    /// Requests to the version in all that this life of the instance may send before the roll-out ends.
    pub quota: u64,
    /// Routes from which answers are wanted most.
    pub wanted: Vec<Name>,
}

/// Which targets a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// All.
    Any,
    /// Those of other versions.
    Old,
    /// Those of the version that is rolled out.
    New,
}

/// One service's roll-out as an instance sees it.
#[derive(Clone, Debug)]
pub struct Gate {
    order: Order,
    exposure: Exposure,
    answers: Observations,
    old_running: u64,
    wants: u64,
    word: Word,
    /// Until when what the driver told holds.
    until: Millis,
    is_withdrawn: bool,
}

impl Gate {
    /// Begins with an order.
    pub fn new(order: Order) -> Gate {
        Gate {
            order,
            exposure: Exposure::default(),
            answers: Observations::default(),
            old_running: 0,
            wants: 1,
            word: Word::default(),
            until: 0,
            is_withdrawn: false,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Takes in that its order is withdrawn: the version gets nothing more.
    pub fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    /// Takes in what the driver tells, which holds until a time.
    pub fn hear(&mut self, word: Word, until: Millis) {
        if word.offset == self.order.offset && !self.word.phase.is_final() {
            (self.word, self.until) = (word, until);
        }
    }

    /// Where the roll-out stands, as far as that still holds.
    pub fn phase(&self, now: Millis) -> Option<Phase> {
        let phase = self.word.phase;
        if self.is_withdrawn && phase != Phase::Completed {
            return Some(Phase::RolledBack);
        }
        (phase.is_final() || now < self.until).then_some(phase)
    }

    /// Whether requests may be under way to the version now.
    pub fn is_open(&self, now: Millis) -> bool {
        let phase = self.phase(now);
        matches!(phase, Some(Phase::Canary | Phase::Loaded | Phase::Full | Phase::Completed))
    }

    /// Chooses for a request, and spends what it needs; `draw` is from 0 to 1 and even.
    pub fn lane(&mut self, now: Millis, route: &str, draw: f64, has_old: bool) -> Lane {
        let lane = self.lane_for(now, 1, has_old);
        let is_drawn = match self.phase(now) {
            Some(Phase::Canary) => is_wanted(&self.word.wanted, route, draw),
            _ => true,
        };
        if lane == Lane::New && !is_drawn {
            return Lane::Old;
        }
        // Spent before a target is chosen, which may take a while: others are not to see it as free.
        if lane == Lane::New {
            self.exposed(1);
        }
        lane
    }

    /// Where so many requests may go together. [`Gate::exposed`] must follow where they go to
    /// the version.
    pub fn lane_for(&self, now: Millis, count: u64, has_old: bool) -> Lane {
        let or_old = |is_new| if is_new { Lane::New } else { Lane::Old };
        match self.phase(now) {
            Some(Phase::Canary | Phase::Loaded | Phase::Full) => {
                or_old(self.exposure.exposed + count <= self.word.quota)
            }
            // By then the old targets are gone, and others may come that have a later version.
            Some(Phase::Completed) if self.is_forgotten(now) => Lane::Any,
            Some(Phase::Completed) => Lane::New,
            // Nobody knows how it ended, and no other version is there to fall back on.
            _ if !has_old && self.is_forgotten(now) => Lane::Any,
            _ => Lane::Old,
        }
    }

    fn is_forgotten(&self, now: Millis) -> bool {
        self.order.until + FORGOTTEN_MS < now
    }

    /// Takes in how many requests go together, for which permits are needed.
    pub fn wants(&mut self, count: u64) {
        self.wants = count.max(1);
    }

    /// Counts requests as sent to the service, whichever the version.
    pub fn reached(&mut self, count: u64) {
        self.exposure.reached += count;
    }

    /// Counts requests as sent to the version.
    pub fn exposed(&mut self, count: u64) {
        self.exposure.exposed += count;
    }

    /// Counts a request that runs at an old target, until [`Gate::old_ended`].
    pub fn old_begun(&mut self) {
        self.old_running += 1;
    }

    /// Counts the end of such a request.
    pub fn old_ended(&mut self) {
        self.old_running = self.old_running.saturating_sub(1);
    }

    /// Takes in an answer of the version, or of another.
    pub fn answered(&mut self, route: &str, is_new: bool, answer: Answer) {
        self.answers.add(route, is_new, answer);
    }

    /// What the driver is told.
    pub fn input(&self) -> Input {
        Input {
            reached: self.exposure.reached,
            exposed: self.exposure.exposed,
            old_running: self.old_running,
            wants: self.wants,
            answers: self.answers.clone(),
        }
    }
}
