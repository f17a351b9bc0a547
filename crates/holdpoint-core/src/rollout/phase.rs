//! The phases of one roll-out, decided by the instance that drives it.
//!
//! A version starts as a canary with a small quota until it is judged good. Shortly before the deadline
//! a good version gets a few targets' full load, then all traffic, within quotas that keep the total over
//! all instances below the bound. If it stays good, the roll-out is completed. A version that cannot be
//! judged is rolled back before the deadline.

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

/// Fraction of an order's time that is reserved for moving all traffic.
const FULL_TIME_SHARE: f64 = 0.2;
/// Maximum time reserved for that, in milliseconds. Requests at old targets finish within it.
const MAX_FULL_MS: Millis = 3000;
/// Minimum time for which all traffic has to go well, in milliseconds. It covers the time of answers and
/// the interval of the instances' reports.
const MIN_FULL_MS: Millis = 700;
/// Time before the deadline at which the outcome has to be decided, in milliseconds. It covers the write
/// to the store with one retry, the update of all instances and the end of requests at old targets.
const DECISION_MARGIN_MS: Millis = 1000;
/// Time before the deadline from which completion is published even if old targets are still busy, in
/// milliseconds.
const LATEST_PUBLISH_MS: Millis = 400;
/// Minimum time from the end of a roll-out until its completion is published, in milliseconds. By then
/// all instances have been updated and send nothing more to the old targets, which operators then stop.
const PUBLISH_DELAY_MS: Millis = 300;
/// Maximum time without any target of the version before it is rolled back, in milliseconds.
const MAX_ABSENCE_MS: Millis = 3000;
/// Time after which a version that all targets have counts as active, in milliseconds. The list of
/// targets is complete by then.
const DISCOVERY_MS: Millis = 1000;
/// Maximum fraction of the bound that is granted as quotas.
const QUOTA_SHARE: f64 = 0.9;
/// The same while a few targets run at full load.
const LOADED_QUOTA_SHARE: f64 = 0.7;
/// Maximum time for which a few targets run at full load, in milliseconds.
const MAX_LOADED_MS: Millis = 3000;
/// Minimum time for which a few targets run at full load, in milliseconds.
const MIN_LOADED_MS: Millis = 600;
/// Fraction of an order's time for which a few targets run at full load, between those two.
const LOADED_TIME_SHARE: f64 = 0.2;
/// Number of additional permits granted when that phase begins: about as many are held unused by
/// instances.
const LOADED_START_PERMITS: f64 = 10.0;
/// Number of permits that are recorded ahead of use. More saves writes to the store, but unused ones are
/// lost when the driver changes.
const RESERVE_AHEAD: u64 = 8;

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No target of the version is known.
    #[default]
    Waiting,
    /// A few targets of the version get a small share of requests, until it is judged.
    Canary,
    /// A few targets of the version get the load that each will have after completion, within quotas.
    Loaded,
    /// The version gets all traffic, within quotas.
    Full,
    /// The version gets all traffic.
    Completed,
    /// The version gets no requests.
    RolledBack,
}

/// State of a roll-out as published to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Not decided yet.
    Running,
    /// All traffic has moved; the old targets may stop.
    Completed,
    /// The version has been rolled back.
    RolledBack,
}

impl Phase {
    /// The state published for this phase.
    pub fn state(self) -> State {
        match self {
            Phase::Waiting | Phase::Canary | Phase::Loaded | Phase::Full => State::Running,
            Phase::Completed => State::Completed,
            Phase::RolledBack => State::RolledBack,
        }
    }

    /// Whether no other phase follows this one.
    pub fn is_final(self) -> bool {
        self.state() != State::Running
    }
}

/// Why a phase has begun.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// Targets of the version have joined.
    Targets,
    /// The version is as good as the old one.
    Good,
    /// The version served all traffic well.
    Moved,
    /// All targets have the version already.
    InForce,
    /// The version is worse than the old one.
    Bad(Fault),
    /// The version could not be judged good before the deadline.
    Unjudged,
    /// No target of the version is left.
    NoTargets,
    /// The order was withdrawn.
    Withdrawn,
}

/// An instance's report to the driver; all counts are totals since it saw the order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Input {
    /// Number of requests sent to the service, whichever the version.
    pub reached: u64,
    /// Number of requests among them sent to the version.
    pub exposed: u64,
    /// Number of the instance's requests that still run at old targets.
    pub old_running: u64,
    /// Number of permits needed at once, for requests that are sent together.
    pub wants: u64,
    /// Answers received.
    pub answers: Observations,
}

/// The driver's state for one incarnation of an instance.
#[derive(Clone, Debug, Default)]
struct InstanceState {
    input: Input,
    /// Total number of requests that it may send to the version.
    quota: u64,
    /// Number of requests sent to the version by its first report to this driver.
    first_exposed: u64,
}

impl InstanceState {
    /// The number of requests to the version that it has sent or may send.
    fn granted(&self) -> u64 {
        self.input.exposed.max(self.quota)
    }
}

/// The driver's state of one roll-out.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    bound: Bound,
    phase: Phase,
    phase_since: Millis,
    started_at: Millis,
    judge: Judge,
    instances: BTreeMap<(Name, u64), InstanceState>,
    /// Since when the version has had no target.
    absent_since: Option<Millis>,
    had_old: bool,
    /// Number of permits that earlier drivers may have granted.
    inherited_permits: u64,
    /// Number of permits recorded as granted.
    reserve: u64,
    /// Requests that had reached the service, and permits granted, when the phase began.
    entry_totals: (u64, u64),
    /// Fraction of the version's targets that get requests before all traffic moves.
    canary_share: f64,
}

impl Rollout {
    /// Starts a roll-out, or resumes one from a failed driver. Instances report their counts again. All
    /// permits that earlier drivers recorded count as spent.
    pub fn new(now: Millis, order: Order, bound: Bound, inherited_permits: u64) -> Rollout {
        Rollout {
            order,
            bound,
            phase: Phase::Waiting,
            phase_since: now,
            started_at: now,
            judge: Judge::default(),
            instances: BTreeMap::new(),
            absent_since: None,
            had_old: false,
            inherited_permits,
            reserve: inherited_permits,
            entry_totals: (0, 0),
            canary_share: 0.0,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The order that is rolled out.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Offset of the order, which identifies it.
    pub fn offset(&self) -> Horizon {
        self.order.offset
    }

    /// Adopts a final phase read from the store, which overrides this driver's own decision.
    pub fn end(&mut self, now: Millis, phase: Phase) {
        if phase.is_final() {
            (self.phase, self.phase_since) = (phase, now);
        }
    }

    /// Applies a deadline that an earlier driver recorded or an instance reported, if it is earlier than
    /// the known one.
    pub fn end_by(&mut self, until: Millis) {
        self.order.until = self.order.until.min(until);
    }

    /// Records the report of an incarnation of an instance. Repeated and late reports count nothing twice.
    pub fn tell(&mut self, now: Millis, instance: &str, incarnation: u64, input: Input) {
        let first_exposed = input.exposed;
        let first_report =
            || InstanceState { first_exposed, quota: first_exposed, ..InstanceState::default() };
        let state =
            self.instances.entry((instance.to_owned(), incarnation)).or_insert_with(first_report);
        let is_older = input.reached < state.input.reached;
        if is_older {
            return;
        }
        self.judge.take(now, &input.answers.since(&state.input.answers));
        state.input = input;
    }

    /// Returns the number of requests that have reached the service, and of those that the version received
    /// or may still receive. Permits of earlier drivers count as spent, even if their instances are gone.
    pub fn totals(&self) -> (u64, u64) {
        let reached = self.instances.values().map(|it| it.input.reached).sum();
        let first_exposed: u64 = self.instances.values().map(|it| it.first_exposed).sum();
        let later: u64 = self.instances.values().map(|it| it.granted() - it.first_exposed).sum();
        (reached, first_exposed.max(self.inherited_permits) + later)
    }

    /// The number of answers of the version, and of failures among them.
    pub fn answers(&self) -> (u64, u64) {
        self.judge.answers()
    }

    /// Routes on which the version is not yet known to be good.
    pub fn wanted(&self) -> Vec<Name> {
        self.judge.wanted()
    }

    /// Raises the quota of an incarnation of an instance if the phase allows, and returns it: the total
    /// number of requests that it may send to the version. New permits are granted in proportion to the
    /// instance's share of requests, and never revoked.
    pub fn quota(&mut self, instance: &str, incarnation: u64) -> u64 {
        let (reached, exposed) = self.totals();
        let left = (self.grant_limit(reached) - exposed as f64).floor();
        let Some(state) = self.instances.get_mut(&(instance.to_owned(), incarnation)) else {
            return 0;
        };
        let before = state.quota.max(state.input.exposed);
        let unspent = before - state.input.exposed;
        // Until all traffic moves, an instance with enough permits for its next request gets no more.
        let is_served = self.phase != Phase::Full && state.input.wants <= unspent;
        if 1.0 <= left && !is_served {
            let share = state.input.reached as f64 / reached.max(1) as f64;
            // Rounded up, since with many instances each share may be below one permit.
            state.quota = before + (left * share).ceil().min(left) as u64;
        }
        state.quota
    }

    /// The number of permits that may be granted in total: the goal of the phase, up to the number recorded.
    fn grant_limit(&self, reached: u64) -> f64 {
        self.permit_goal(reached).min(self.reserve as f64)
    }

    /// The total number of permits that the phase aims to grant.
    fn permit_goal(&self, reached: u64) -> f64 {
        let limit = self.bound.limit(reached);
        let (reached_before, granted_before) = self.entry_totals;
        let since = reached.saturating_sub(reached_before) as f64;
        match self.phase {
            Phase::Canary => self.bound.canary_limit(reached),
            Phase::Loaded => (LOADED_QUOTA_SHARE * limit)
                .min(granted_before as f64 + self.canary_share * since + LOADED_START_PERMITS),
            Phase::Full => QUOTA_SHARE * limit,
            Phase::Waiting | Phase::Completed | Phase::RolledBack => 0.0,
        }
    }

    /// The total number of permits to record before more are granted; `None` if enough are recorded. They
    /// are recorded ahead, so that a driver that takes over knows of all granted ones.
    pub fn reserve_due(&self) -> Option<u64> {
        let (reached, granted) = self.totals();
        let goal = self.permit_goal(reached) as u64;
        let is_short = self.reserve < goal && self.reserve < granted + RESERVE_AHEAD / 2;
        is_short.then_some(goal.max(granted) + RESERVE_AHEAD)
    }

    /// Confirms that `count` permits in total have been recorded as granted.
    pub fn reserved(&mut self, count: u64) {
        self.reserve = self.reserve.max(count);
    }

    /// The number of permits recorded as granted.
    pub fn reserve(&self) -> u64 {
        self.reserve
    }

    /// The phase that is due now, if any, and its reason, given how many targets of the new version and of
    /// old ones may get work. The caller records it where needed, then calls [`Rollout::enter`].
    pub fn next(&mut self, now: Millis, new: usize, old: usize) -> Option<(Phase, Reason)> {
        if self.phase.is_final() {
            return None;
        }
        self.had_old |= old != 0;
        self.canary_share = canary_targets(&self.bound, old, new) as f64 / new.max(1) as f64;
        if let Verdict::Bad(fault) = self.judge.verdict() {
            return Some((Phase::RolledBack, Reason::Bad(fault)));
        }
        if new != 0 {
            self.absent_since = None;
        }
        let is_due = self.decision_deadline() <= now;
        if new == 0 {
            let since = *self.absent_since.get_or_insert(now);
            let is_absent = self.phase != Phase::Waiting && since + MAX_ABSENCE_MS <= now;
            return (is_due || is_absent).then_some((Phase::RolledBack, Reason::NoTargets));
        }
        match self.phase {
            Phase::Waiting if old == 0 && !self.had_old => {
                let is_settled = self.started_at + DISCOVERY_MS <= now;
                is_settled.then_some((Phase::Completed, Reason::InForce))
            }
            Phase::Waiting if is_due => Some((Phase::RolledBack, Reason::Unjudged)),
            Phase::Waiting => Some((Phase::Canary, Reason::Targets)),
            Phase::Canary => self.after_canary(now),
            Phase::Loaded => self.after_loaded(now),
            _ => self.after_full(now),
        }
    }

    fn after_canary(&self, now: Millis) -> Option<(Phase, Reason)> {
        let is_good = self.judge.verdict() == Verdict::Good;
        if is_good && self.earliest_loaded() <= now {
            return Some((Phase::Loaded, Reason::Good));
        }
        let is_too_late = self.decision_deadline() <= now + MIN_FULL_MS + MIN_LOADED_MS;
        is_too_late.then_some((Phase::RolledBack, Reason::Unjudged))
    }

    fn after_loaded(&self, now: Millis) -> Option<(Phase, Reason)> {
        let is_good = self.judge.verdict() == Verdict::Good;
        let has_lasted = self.phase_since + MIN_LOADED_MS <= now;
        if is_good && has_lasted && self.earliest_full() <= now {
            return Some((Phase::Full, Reason::Good));
        }
        let is_too_late = self.decision_deadline() <= now + MIN_FULL_MS;
        (is_too_late && !is_good).then_some((Phase::RolledBack, Reason::Unjudged))
    }

    fn after_full(&self, now: Millis) -> Option<(Phase, Reason)> {
        let is_good = self.judge.verdict() == Verdict::Good;
        let has_lasted = self.phase_since + MIN_FULL_MS <= now;
        let is_old_idle = self.is_old_idle();
        let is_due = self.decision_deadline() <= now;
        if has_lasted && is_good && (is_old_idle || is_due) {
            return Some((Phase::Completed, Reason::Moved));
        }
        (is_due && !is_good).then_some((Phase::RolledBack, Reason::Unjudged))
    }

    /// Whether no instance reports requests that run at old targets.
    fn is_old_idle(&self) -> bool {
        self.instances.values().all(|it| it.input.old_running == 0)
    }

    /// Whether the state may be published. Completion is delayed while old targets are busy, since operators
    /// stop them once it is published.
    pub fn may_tell(&self, now: Millis) -> bool {
        let is_propagated = self.phase_since + PUBLISH_DELAY_MS <= now;
        let is_due = self.order.until <= now + LATEST_PUBLISH_MS;
        self.phase != Phase::Completed || (is_propagated && (is_due || self.is_old_idle()))
    }

    /// Enters a phase unless the current one is final.
    pub fn enter(&mut self, now: Millis, phase: Phase) {
        if !self.phase.is_final() {
            (self.phase, self.phase_since) = (phase, now);
            self.entry_totals = self.totals();
        }
    }

    /// The phase that is due since the order was withdrawn; `None` if the roll-out has already ended.
    pub fn withdrawn(&self) -> Option<(Phase, Reason)> {
        (!self.phase.is_final()).then_some((Phase::RolledBack, Reason::Withdrawn))
    }

    /// The earliest time for all traffic to move. It is as late as possible, since a version may turn bad.
    fn earliest_full(&self) -> Millis {
        let reserved = (FULL_TIME_SHARE * self.order.duration_ms as f64) as Millis;
        self.decision_deadline().saturating_sub(reserved.clamp(MIN_FULL_MS, MAX_FULL_MS))
    }

    /// The earliest time for a few targets to get their full load.
    fn earliest_loaded(&self) -> Millis {
        let reserved = (LOADED_TIME_SHARE * self.order.duration_ms as f64) as Millis;
        self.earliest_full().saturating_sub(reserved.clamp(MIN_LOADED_MS, MAX_LOADED_MS))
    }

    /// When the outcome has to be decided at the latest.
    fn decision_deadline(&self) -> Millis {
        self.order.until.saturating_sub(DECISION_MARGIN_MS)
    }
}
