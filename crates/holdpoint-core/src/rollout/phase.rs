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
        exposure::{Bound, canary_targets},
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
/// Time before the deadline at which the status has to be decided, in milliseconds: instances hear of it
/// within 200 ms, what runs at old targets ends, and a conditional write takes some 10 ms, a second one
/// 200 ms later.
const MARGIN_MS: Millis = 1000;
/// Time before the deadline at which operators are told at the latest, in milliseconds.
const LAST_TELL_MS: Millis = 400;
/// Time from the end of a roll-out until operators are told that it is completed, in milliseconds: all
/// instances have heard of it, and none sends anything to targets that are stopped then.
const TELL_MS: Millis = 300;
/// Time for which no target of the version may be there, in milliseconds.
const AWAY_MS: Millis = 3000;
/// Time after which a version that all targets have counts as the one in force, in milliseconds: the
/// list of targets is whole by then.
const IN_FORCE_MS: Millis = 1000;
/// Part of the bound that quotas come to at most, and the same before all traffic moves.
const QUOTA_PART: f64 = 0.9;
const LOADED_PART: f64 = 0.7;
/// Longest and shortest time for which few targets have their full load, in milliseconds, and the part of
/// an order's time that it is between.
const LONGEST_LOADED_MS: Millis = 3000;
const LEAST_LOADED_MS: Millis = 600;
const LOADED_SHARE: f64 = 0.2;
/// Permits with which that begins: about as many wait at instances for their next request.
const LOADED_START: f64 = 10.0;
/// Permits that are recorded ahead: each record is a call of the store, and what is left of them is lost
/// where the driver changes.
const RESERVE: u64 = 8;

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No target of the version is there.
    #[default]
    Waiting,
    /// The version gets the share of each instance.
    Canary,
    /// Few targets of the version get as much as each gets in the end, as far as quotas go.
    Loaded,
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
            Phase::Waiting | Phase::Canary | Phase::Loaded | Phase::Full => State::Running,
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
    /// Requests that it sends together, for which it needs as many permits.
    pub wants: u64,
    /// Answers.
    pub answers: Observations,
}

/// What the driver knows of one life of an instance.
#[derive(Clone, Debug, Default)]
struct Told {
    input: Input,
    /// Requests to the version, in all, that it may send.
    quota: u64,
    /// Those that it had sent when this driver first heard of it.
    first: u64,
}

impl Told {
    /// Requests to the version that it has sent or may send.
    fn given(&self) -> u64 {
        self.input.exposed.max(self.quota)
    }
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
    /// Permits that earlier drivers may have given.
    spent_before: u64,
    /// Permits that are recorded as given.
    reserve: u64,
    /// Requests that had reached the service, and permits that were given, when the phase began.
    entered: (u64, u64),
    /// Part of the version's targets that get requests before all traffic moves.
    few_part: f64,
}

impl Rollout {
    /// Begins a roll-out, or goes on with one whose driver is gone. What that one knew comes again from
    /// the instances; of permits that it recorded, all are taken to be spent.
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
            reserve: spent_before,
            entered: (0, 0),
            few_part: 0.0,
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

    /// Takes in when the time is over, as an earlier driver recorded or an instance knows; a later end is
    /// not believed.
    pub fn end_by(&mut self, until: Millis) {
        self.order.until = self.order.until.min(until);
    }

    /// Takes in what a life of an instance tells; each answer counts once however often it is told.
    pub fn tell(&mut self, now: Millis, instance: &str, life: u64, input: Input) {
        let first = input.exposed;
        let begun = || Told { first, quota: first, ..Told::default() };
        let told = self.told.entry((instance.to_owned(), life)).or_insert_with(begun);
        let is_older = input.reached < told.input.reached;
        if is_older {
            return;
        }
        self.judge.take(now, &input.answers.since(&told.input.answers));
        told.input = input;
    }

    /// Requests that have reached the service, and those among them that the version got or may get. What
    /// earlier drivers gave permits for counts as spent, though instances that got them may be gone.
    pub fn totals(&self) -> (u64, u64) {
        let reached = self.told.values().map(|it| it.input.reached).sum();
        let first: u64 = self.told.values().map(|it| it.first).sum();
        let later: u64 = self.told.values().map(|it| it.given() - it.first).sum();
        (reached, first.max(self.spent_before) + later)
    }

    /// Answers of the version, and the failures among them.
    pub fn answers(&self) -> (u64, u64) {
        self.judge.answers()
    }

    /// Routes from which answers are wanted most.
    pub fn wanted(&self) -> Vec<Name> {
        self.judge.wanted()
    }

    /// Requests to the version in all that a life of an instance may send. It gets permits as far as the
    /// phase goes, by its part of the requests; none is ever taken back.
    pub fn quota(&mut self, instance: &str, life: u64) -> u64 {
        let (reached, exposed) = self.totals();
        let left = (self.permits(reached) - exposed as f64).floor();
        let Some(told) = self.told.get_mut(&(instance.to_owned(), life)) else { return 0 };
        let before = told.quota.max(told.input.exposed);
        let unspent = before - told.input.exposed;
        // While the version is judged, whoever holds enough for its next request leaves the rest to
        // others.
        let is_served = self.phase != Phase::Full && told.input.wants <= unspent;
        if 1.0 <= left && !is_served {
            let part = told.input.reached as f64 / reached.max(1) as f64;
            // Rounded up as long as something is left: 86 parts of 60 requests are all under one.
            told.quota = before + (left * part).ceil().min(left) as u64;
        }
        told.quota
    }

    /// Permits that may have been given out, of so many requests that reached the service: what the phase
    /// goes to, as far as it is recorded.
    fn permits(&self, reached: u64) -> f64 {
        self.aim(reached).min(self.reserve as f64)
    }

    /// Permits that the phase goes to.
    fn aim(&self, reached: u64) -> f64 {
        let limit = self.bound.limit(reached);
        let (reached_before, given_before) = self.entered;
        let since = reached.saturating_sub(reached_before) as f64;
        match self.phase {
            Phase::Canary => self.bound.judged(reached),
            Phase::Loaded => (LOADED_PART * limit)
                .min(given_before as f64 + self.few_part * since + LOADED_START),
            Phase::Full => QUOTA_PART * limit,
            Phase::Waiting | Phase::Completed | Phase::RolledBack => 0.0,
        }
    }

    /// How many permits have to be recorded as given, before more are; `None` where enough are. They are
    /// recorded ahead, so that a driver that takes over knows of all that were given.
    pub fn reserve_due(&self) -> Option<u64> {
        let (reached, given) = self.totals();
        let aim = self.aim(reached) as u64;
        let is_short = self.reserve < aim && self.reserve < given + RESERVE / 2;
        is_short.then_some(aim.max(given) + RESERVE)
    }

    /// Takes in that so many permits are recorded as given.
    pub fn reserved(&mut self, count: u64) {
        self.reserve = self.reserve.max(count);
    }

    /// Permits that are recorded as given.
    pub fn reserve(&self) -> u64 {
        self.reserve
    }

    /// The phase that has to begin now, if one has, given the targets of the version and the others
    /// that may get work. It begins with [`Rollout::enter`], once it is recorded.
    pub fn next(&mut self, now: Millis, new: usize, old: usize) -> Option<(Phase, Reason)> {
        if self.phase.is_final() {
            return None;
        }
        self.had_old |= old != 0;
        self.few_part = canary_targets(&self.bound, old, new) as f64 / new.max(1) as f64;
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
            Phase::Loaded => self.after_loaded(now),
            _ => self.after_full(now),
        }
    }

    fn after_canary(&self, now: Millis) -> Option<(Phase, Reason)> {
        let is_good = self.judge.verdict() == Verdict::Good;
        if is_good && self.loaded_from() <= now {
            return Some((Phase::Loaded, Reason::Good));
        }
        let is_late = self.latest() <= now + LEAST_FULL_MS + LEAST_LOADED_MS;
        is_late.then_some((Phase::RolledBack, Reason::Unjudged))
    }

    fn after_loaded(&self, now: Millis) -> Option<(Phase, Reason)> {
        let is_good = self.judge.verdict() == Verdict::Good;
        let has_lasted = self.since + LEAST_LOADED_MS <= now;
        if is_good && has_lasted && self.full_from() <= now {
            return Some((Phase::Full, Reason::Good));
        }
        let is_late = self.latest() <= now + LEAST_FULL_MS;
        (is_late && !is_good).then_some((Phase::RolledBack, Reason::Unjudged))
    }

    fn after_full(&self, now: Millis) -> Option<(Phase, Reason)> {
        let is_good = self.judge.verdict() == Verdict::Good;
        let has_lasted = self.since + LEAST_FULL_MS <= now;
        let is_idle = self.is_idle();
        let is_last = self.latest() <= now;
        if has_lasted && is_good && (is_idle || is_last) {
            return Some((Phase::Completed, Reason::Moved));
        }
        (is_last && !is_good).then_some((Phase::RolledBack, Reason::Unjudged))
    }

    /// Whether nothing runs at old targets, as far as instances have told.
    fn is_idle(&self) -> bool {
        self.told.values().all(|it| it.input.old_running == 0)
    }

    /// Whether operators may be told where it stands. When they hear that it is completed, they stop the
    /// old targets, with what runs there.
    pub fn may_tell(&self, now: Millis) -> bool {
        let is_heard = self.since + TELL_MS <= now;
        let is_last = self.order.until <= now + LAST_TELL_MS;
        self.phase != Phase::Completed || (is_heard && (is_last || self.is_idle()))
    }

    /// Begins a phase.
    pub fn enter(&mut self, now: Millis, phase: Phase) {
        if !self.phase.is_final() {
            (self.phase, self.since) = (phase, now);
            self.entered = self.totals();
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

    /// When few targets get their full load at the earliest.
    fn loaded_from(&self) -> Millis {
        let kept = (LOADED_SHARE * self.order.duration_ms as f64) as Millis;
        self.full_from().saturating_sub(kept.clamp(LEAST_LOADED_MS, LONGEST_LOADED_MS))
    }

    /// When the roll-out has to be decided.
    fn latest(&self) -> Millis {
        self.order.until.saturating_sub(MARGIN_MS)
    }
}
