//! The course of one roll-out, as the instance that drives it decides it.
//!
//! Until the version is found to be good it gets no more than each instance's own share. Shortly
//! before the deadline a good one gets all traffic, as far as a quota goes that keeps the sum over all
//! instances under the bound even then; if it stays good there, the roll-out is completed. A version
//! that cannot be judged is rolled back before the deadline.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    evacuation::Horizon,
    ids::{Millis, Name},
    rollout::{
        exposure::Bound,
        judge::{Fault, Judge, Observations, Verdict},
        order::Order,
    },
};

/// Part of an order's time that is kept for moving all traffic.
const FULL_PART: f64 = 0.2;
/// Longest time that is kept for that, in milliseconds: what runs at the old targets ends in it.
const LONGEST_FULL_MS: Millis = 3000;
/// Shortest time for which all traffic has to go well, in milliseconds: answers take part of it, and
/// come with reports of instances every 200 ms.
const LEAST_FULL_MS: Millis = 700;
/// Time before the deadline at which the status has to be decided, in milliseconds: a conditional write
/// takes some 10 ms, a second one after a change of the driver up to 300 ms.
const MARGIN_MS: Millis = 600;
/// Time for which no target of the version may be there, in milliseconds.
const AWAY_MS: Millis = 3000;
/// Time after which a version that all targets have counts as the one in force, in milliseconds: the
/// list of targets is whole by then.
const IN_FORCE_MS: Millis = 1000;
/// Part of the bound that quotas come to at most.
const QUOTA_PART: f64 = 0.9;

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No target of the version is there.
    #[default]
    Waiting,
    /// The version gets the share of each instance.
    Canary,
    /// The version gets all traffic, as far as quotas go.
    Full,
    /// The version gets all traffic.
    Completed,
    /// The version gets nothing.
    RolledBack,
}

/// What operators are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Neither of the others yet.
    Running,
    /// All traffic has moved; the old targets may stop.
    Completed,
    /// The version is taken back.
    RolledBack,
}

impl Phase {
    /// What operators are told of it.
    pub fn state(self) -> State {
        match self {
            Phase::Waiting | Phase::Canary | Phase::Full => State::Running,
            Phase::Completed => State::Completed,
            Phase::RolledBack => State::RolledBack,
        }
    }

    /// Whether nothing follows it.
    pub fn is_final(self) -> bool {
        self.state() != State::Running
    }
}

/// Why a phase has begun.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// Targets of the version are there.
    Targets,
    /// The version is as good as the old one.
    Good,
    /// All traffic has gone well.
    Moved,
    /// No target has another version.
    InForce,
    /// The version is worse.
    Bad(Fault),
    /// There were too few answers to judge it before the deadline.
    Unjudged,
    /// No target has the version.
    NoTargets,
    /// The order was withdrawn.
    Withdrawn,
}

/// What an instance tells the driver: all counts since it saw the order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Input {
    /// Requests that it sent to the service.
    pub reached: u64,
    /// Those among them that it sent to the version.
    pub exposed: u64,
    /// Requests of its own that still run at old targets.
    pub old_running: u64,
    /// Answers.
    pub answers: Observations,
}

/// What the driver knows of one life of an instance.
#[derive(Clone, Debug, Default)]
struct Told {
    input: Input,
    /// Requests to the version, in all, that it may have sent under quotas.
    quota: u64,
}

/// One roll-out as its driver sees it.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    bound: Bound,
    phase: Phase,
    since: Millis,
    begun: Millis,
    judge: Judge,
    told: BTreeMap<(Name, u64), Told>,
    /// Since when no target of the version has been there.
    away_since: Option<Millis>,
    had_old: bool,
    /// Requests that the version may have got under quotas that another driver gave.
    spent_before: u64,
}

impl Rollout {
    /// Begins a roll-out, or goes on with one whose driver is gone. What that one knew comes again from
    /// the instances; of quotas that it may have given, all are taken to be spent.
    pub fn new(now: Millis, order: Order, bound: Bound, spent_before: u64) -> Rollout {
        Rollout {
            order,
            bound,
            phase: Phase::Waiting,
            since: now,
            begun: now,
            judge: Judge::default(),
            told: BTreeMap::new(),
            away_since: None,
            had_old: false,
            spent_before,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Its order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Offset of its order.
    pub fn offset(&self) -> Horizon {
        self.order.offset
    }

    /// Takes over a final phase that was recorded, whatever this driver had found.
    pub fn end(&mut self, now: Millis, phase: Phase) {
        if phase.is_final() {
            (self.phase, self.since) = (phase, now);
        }
    }

    /// Takes in when the time is over, as an earlier driver recorded; a later end is not believed.
    pub fn end_by(&mut self, until: Millis) {
        self.order.until = self.order.until.min(until);
    }

    /// Takes in what a life of an instance tells; each answer counts once however often it is told.
    pub fn tell(&mut self, now: Millis, instance: &str, life: u64, input: Input) {
        let told = self.told.entry((instance.to_owned(), life)).or_default();
        let is_older = input.reached < told.input.reached;
        if is_older {
            return;
        }
        self.judge.take(now, &input.answers.since(&told.input.answers));
        told.input = input;
    }

    /// Requests that have reached the service, and those among them that the version got or may get,
    /// as far as they are known.
    pub fn totals(&self) -> (u64, u64) {
        let reached = self.told.values().map(|it| it.input.reached).sum();
        let exposed: u64 = self.told.values().map(|it| it.input.exposed.max(it.quota)).sum();
        (reached, exposed.max(self.spent_before))
    }

    /// Answers of the version, and the failures among them.
    pub fn answers(&self) -> (u64, u64) {
        self.judge.answers()
    }

    /// Routes from which answers are wanted most.
    pub fn wanted(&self) -> Vec<Name> {
        self.judge.wanted()
    }

    /// Requests to the version in all that a life of an instance may send while all traffic moves. Its
    /// share of what is left under the bound; it is never taken back.
    pub fn quota(&mut self, instance: &str, life: u64) -> u64 {
        let (reached, exposed) = self.totals();
        let left = QUOTA_PART * self.bound.limit(reached) - exposed as f64;
        let Some(told) = self.told.get_mut(&(instance.to_owned(), life)) else { return 0 };
        if self.phase == Phase::Full && 0.0 < left {
            let part = told.input.reached as f64 / reached.max(1) as f64;
            let before = told.quota.max(told.input.exposed);
            told.quota = before + (left * part).floor() as u64;
        }
        told.quota
    }

    /// Most requests that the version gets under quotas given now.
    pub fn most_exposed(&self) -> u64 {
        let (reached, exposed) = self.totals();
        exposed.max((QUOTA_PART * self.bound.limit(reached)) as u64)
    }

    /// The phase that has to begin now, if one has, given the targets of the version and the others
    /// that may get work. It begins with [`Rollout::enter`], once it is recorded.
    pub fn next(&mut self, now: Millis, new: usize, old: usize) -> Option<(Phase, Reason)> {
        if self.phase.is_final() {
            return None;
        }
        self.had_old |= old != 0;
        if let Verdict::Bad(fault) = self.judge.verdict() {
            return Some((Phase::RolledBack, Reason::Bad(fault)));
        }
        if new != 0 {
            self.away_since = None;
        }
        let is_last = self.latest() <= now;
        if new == 0 {
            let since = *self.away_since.get_or_insert(now);
            let is_away = self.phase != Phase::Waiting && since + AWAY_MS <= now;
            return (is_last || is_away).then_some((Phase::RolledBack, Reason::NoTargets));
        }
        match self.phase {
            Phase::Waiting if old == 0 && !self.had_old => {
                let is_sure = self.begun + IN_FORCE_MS <= now;
                is_sure.then_some((Phase::Completed, Reason::InForce))
            }
            Phase::Waiting if is_last => Some((Phase::RolledBack, Reason::Unjudged)),
            Phase::Waiting => Some((Phase::Canary, Reason::Targets)),
            Phase::Canary => self.after_canary(now),
            _ => self.after_full(now),
        }
    }

    fn after_canary(&self, now: Millis) -> Option<(Phase, Reason)> {
        let is_good = self.judge.verdict() == Verdict::Good;
        if is_good && self.full_from() <= now && now + LEAST_FULL_MS <= self.order.until {
            return Some((Phase::Full, Reason::Good));
        }
        let is_late = self.latest() <= now + LEAST_FULL_MS;
        is_late.then_some((Phase::RolledBack, Reason::Unjudged))
    }

    fn after_full(&self, now: Millis) -> Option<(Phase, Reason)> {
        let is_good = self.judge.verdict() == Verdict::Good;
        let has_lasted = self.since + LEAST_FULL_MS <= now;
        let is_idle = self.told.values().all(|it| it.input.old_running == 0);
        let is_last = self.latest() <= now;
        if has_lasted && is_good && (is_idle || is_last) {
            return Some((Phase::Completed, Reason::Moved));
        }
        (is_last && !is_good).then_some((Phase::RolledBack, Reason::Unjudged))
    }

    /// Begins a phase.
    pub fn enter(&mut self, now: Millis, phase: Phase) {
        if !self.phase.is_final() {
            (self.phase, self.since) = (phase, now);
        }
    }

    /// Ends the roll-out of an order that was withdrawn, if it has not ended.
    pub fn withdrawn(&self) -> Option<(Phase, Reason)> {
        (!self.phase.is_final()).then_some((Phase::RolledBack, Reason::Withdrawn))
    }

    /// When all traffic moves at the earliest: as late as it can, since a version may turn bad.
    fn full_from(&self) -> Millis {
        let kept = (FULL_PART * self.order.duration_ms as f64) as Millis;
        self.latest().saturating_sub(kept.clamp(LEAST_FULL_MS, LONGEST_FULL_MS))
    }

    /// When the roll-out has to be decided.
    fn latest(&self) -> Millis {
        self.order.until.saturating_sub(MARGIN_MS)
    }
}
