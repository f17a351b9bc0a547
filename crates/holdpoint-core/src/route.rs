//! Routing: which target of a pool serves a call.
//!
//! A router sees a subset of its pool whose size does not grow with the pool. The `predicted`
//! route weighs what it knows of each target by how old it is: the calls of its own in flight are
//! exact, the load that the target reported fades with the age of the report, and the time a unit
//! of work takes is learned for each target.

mod affinity;
mod members;
mod predict;

use std::collections::{HashMap, HashSet};

use holdpoint_schema::resources::{Policy, Route};
use rand::{Rng, RngExt};

pub use crate::choice::{Call, Choice, End, Load, Member, NoTarget, Reason};
use crate::{
    admit::Signal,
    cold::{Credits, Share},
    confinement::is_within,
    ids::Millis,
    subset::weight,
    told_pace::ToldPace,
    topology::Topology,
};

use self::{
    affinity::Holders,
    predict::{Mean, learn_pace, prefix_trust},
};

/// Most prefixes remembered for one target.
const PREFIXES: usize = 512;
/// Longest time to read one unit of work, in milliseconds, as long as little was measured.
const LONGEST_READ_PACE: f64 = 0.05;
/// Longest ejection as a multiple of the first one.
const EJECT_DOUBLINGS: u32 = 5;

#[derive(Clone, Debug)]
struct Report {
    at: Millis,
    /// Calls of other instances that ran or waited there.
    others: f64,
    /// Whether calls waited there.
    has_queue: bool,
}

#[derive(Clone, Debug, Default)]
struct Target {
    address: String,
    /// Hash of the address, from which the target's weight for a prefix is made.
    hash: u64,
    domain: String,
    /// Region that it stands in; empty where there is only one.
    region: String,
    in_flight: u32,
    work: f64,
    report: Option<Report>,
    /// Milliseconds that one unit of work takes once it runs, at its usual pace; 0 if unknown.
    pace: f64,
    /// What it tells of its pace at this moment.
    told: ToldPace,
    /// Calls that it runs at once, as far as its reports have shown; 0 if unknown.
    slots: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    prefixes: HashMap<u64, Millis>,
    /// When it will have read the prompts placed there, in milliseconds.
    reads_until: f64,
    /// What it carries as long as it is cold.
    credits: Credits,
    /// Until when it gets no calls, since it has got what it takes from all instances.
    closed_until: Millis,
    /// Until when it gets no calls of this instance, which it has asked to back off.
    backoff_until: Millis,
}

/// Routes the calls of one instance to one pool.
#[derive(Debug)]
pub struct Router {
    salt: String,
    domain: String,
    policy: Policy,
    known: HashMap<String, Member>,
    targets: Vec<Target>,
    /// Positions of the targets, by address.
    index: HashMap<String, usize>,
    /// What was learned of the targets that are held back.
    held: HashMap<String, Target>,
    /// Calls a second that a cold target carries; 0 where that is not bounded.
    cold_per_s: f64,
    /// What others had at the targets when these last reported.
    others: Mean,
    /// Paces of the targets, as far as they are known.
    paces: Mean,
    holders: Holders,
    turn: usize,
    topology: Topology,
    /// What another region adds, there and back, in milliseconds.
    far_region_ms: f64,
}

impl Router {
    /// Makes a router of the instance `salt`, which stands in `domain`.
    pub fn new(salt: &str, domain: &str, policy: Policy) -> Router {
        Router {
            salt: salt.to_owned(),
            domain: domain.to_owned(),
            policy,
            known: HashMap::new(),
            targets: Vec::new(),
            index: HashMap::new(),
            held: HashMap::new(),
            cold_per_s: 0.0,
            others: Mean::default(),
            paces: Mean::default(),
            holders: Holders::default(),
            turn: 0,
            topology: Topology::default(),
            far_region_ms: 0.0,
        }
    }

    /// Has it know the regions, the others of which are so many milliseconds away, there and back.
    pub fn with_topology(mut self, topology: Topology, far_region_ms: f64) -> Router {
        self.topology = topology;
        self.far_region_ms = far_region_ms;
        self
    }

    /// Policy in force.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Puts another policy in force; what was learned of the targets is kept.
    pub fn set_policy(&mut self, policy: Policy) {
        if self.policy.subset != policy.subset {
            self.known.clear();
        }
        self.policy = policy;
    }

    /// Takes in how many calls a second a cold target carries; 0 where that is not bounded.
    pub fn set_cold_rate(&mut self, per_s: f64) {
        self.cold_per_s = per_s;
    }

    /// Takes in until when a target is cold, in milliseconds.
    pub fn set_cold(&mut self, now: Millis, address: &str, until: Millis) {
        // Instances begin with different parts of a call, so that their first ones do not come together.
        let filled = weight(&self.salt, address) as f64 / u64::MAX as f64;
        if let Some(it) = self.target(address) {
            it.credits.set_cold(now, until, filled);
        }
    }

    /// Counts a call against what the target carries as long as it is cold.
    pub fn spend_cold(&mut self, now: Millis, address: &str, share: Share) {
        let per_s = self.cold_per_s;
        if let Some(it) = self.target(address) {
            it.credits.spend(now, per_s, share);
        }
    }

    /// Gives a target no calls until a time, in milliseconds.
    pub fn close_until(&mut self, address: &str, until: Millis) {
        if let Some(it) = self.target(address) {
            it.closed_until = until;
        }
    }

    /// Gives a target none of this instance's own calls until a time, in milliseconds.
    pub fn back_off_until(&mut self, address: &str, until: Millis) {
        if let Some(it) = self.target(address) {
            it.backoff_until = until;
        }
    }

    /// Number of targets that calls may go to.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether calls have nowhere to go.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Calls in flight to all targets.
    pub fn in_flight(&self) -> u32 {
        self.targets.iter().map(|it| it.in_flight).sum()
    }

    /// Chooses a target for a call. [`Router::sent`] must follow where the call is made.
    ///
    /// `policy` may differ from the router's own where a trial has given the request to an arm.
    pub fn choose(
        &mut self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoTarget> {
        self.choose_in(now, policy, call, None, rng)
    }

    /// Chooses a target for a call as [`Router::choose`] does, in a region as long as a target is left
    /// there.
    pub fn choose_in(
        &mut self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        region: Option<&str>,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoTarget> {
        if self.targets.is_empty() {
            let is_held = self.known.values().any(|it| it.held && !it.leaving);
            return Err(if is_held { NoTarget::Evacuated } else { NoTarget::Empty });
        }
        let (candidates, ejected) = self.candidates(now, policy, call, region)?;
        let route = policy.route;
        let (index, compared) = match route {
            Route::Random => (candidates[rng.random_range(0..candidates.len())], 1),
            Route::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                (candidates[self.turn % candidates.len()], 1)
            }
            Route::LeastLoaded => (self.least(&candidates, rng), candidates.len()),
            Route::TwoChoices => {
                let drawn = draw(&candidates, 2, rng);
                (self.least(&drawn, rng), drawn.len())
            }
            Route::Predicted => self.least_predicted(now, policy, call, &candidates, rng),
            Route::Affinity => self.least_by_affinity(now, policy, call, candidates, rng),
        };
        let target = &self.targets[index];
        let trust = prefix_trust(target, call, now);
        let predicts = matches!(route, Route::Predicted | Route::Affinity);
        let predicted = if predicts { self.predict(now, policy, call, target, trust) } else { 0.0 };
        let prefix_hit = trust > 0.5;
        let reason = Reason { route, compared, ejected, predicted, prefix_hit };
        Ok(Choice { address: target.address.clone(), reason })
    }

    /// Counts a call as sent to a target.
    pub fn sent(&mut self, now: Millis, address: &str, call: &Call<'_>) {
        let Some(target) = self.target(address) else { return };
        target.in_flight += 1;
        target.work += call.work;
        if let Some(prefix) = call.prefix {
            remember(target, prefix, now);
            self.holders.note(now, prefix, address);
        }
    }

    /// Counts a prompt as placed at a target, by whichever instance: the target is to hold its
    /// prefix, and reads it before what comes later.
    pub fn placed(&mut self, now: Millis, address: &str, call: &Call<'_>) {
        let Some(prefix) = call.prefix else { return };
        let pace = self.mean_pace().min(LONGEST_READ_PACE);
        let Some(target) = self.target(address) else { return };
        let unread = call.work - call.prefix_work * prefix_trust(target, call, now);
        target.reads_until = target.reads_until.max(now as f64) + unread * pace;
        remember(target, prefix, now);
        self.holders.note(now, prefix, address);
    }

    /// Targets that get no calls for a while.
    pub fn ejected(&self, now: Millis) -> Vec<String> {
        let is_ejected = |it: &&Target| now < it.ejected_until;
        self.targets.iter().filter(is_ejected).map(|it| it.address.clone()).collect()
    }

    /// Counts a call as ended. A failure in a row of failures may eject the target.
    pub fn ended(&mut self, now: Millis, address: &str, work: f64, end: End) {
        let (eject_failures, eject_ms) = (self.policy.eject_failures, self.policy.eject_ms);
        let found = self.found(address);
        // The way to another region says nothing of the target's pace.
        let way = found.filter(|it| self.is_far(it)).map_or(0.0, |_| self.far_region_ms) as Millis;
        let mut paces = self.paces;
        let Some(target) = self.target(address) else { return };
        match end {
            End::Whole(ms) => {
                let before = target.known_pace();
                learn_pace(now, target, work, ms.saturating_sub(way));
                paces.replace(before, target.known_pace());
                target.failures = 0;
                target.ejections = 0;
            }
            End::Failed => {
                target.failures += 1;
                if eject_failures <= target.failures {
                    let doublings = target.ejections.min(EJECT_DOUBLINGS);
                    target.ejected_until = now + (eject_ms << doublings);
                    target.ejections += 1;
                    target.failures = eject_failures.saturating_sub(1);
                }
            }
            End::Dropped => (),
        }
        target.in_flight = target.in_flight.saturating_sub(1);
        target.work = (target.work - work).max(0.0);
        self.paces = paces;
    }

    /// Takes in a load report that a target made at `at`.
    pub fn report(&mut self, at: Millis, address: &str, load: Load) {
        let mut all_others = self.others;
        let Some(target) = self.target(address) else { return };
        if target.report.as_ref().is_some_and(|it| at < it.at) {
            return;
        }
        if let Some(it) = load.pace_percent {
            target.told.told(at, it);
        }
        let running = f64::from(load.running);
        // A queue shows where the limit is; without one there is room for more than runs.
        let is_queued = Signal::Clear < Signal::of_load(load.running, load.waiting);
        target.slots = if is_queued { running } else { target.slots.max(running + 1.0) };
        let all = running + f64::from(load.waiting);
        let others = (all - f64::from(target.in_flight)).max(0.0);
        all_others.replace(target.report.as_ref().map(|it| it.others), Some(others));
        target.report = Some(Report { at, others, has_queue: load.waiting != 0 });
        self.others = all_others;
    }

    /// Whether a target has told that work takes so long there that a silence is no failure of it.
    pub fn is_slow(&self, now: Millis, address: &str) -> bool {
        self.found(address).is_some_and(|it| it.told.is_slow(now))
    }

    /// Whether calls waited at a target when it last reported.
    pub fn has_queue(&self, address: &str) -> bool {
        self.found(address).and_then(|it| it.report.as_ref()).is_some_and(|it| it.has_queue)
    }

    fn found(&self, address: &str) -> Option<&Target> {
        self.index.get(address).map(|it| &self.targets[*it])
    }

    fn target(&mut self, address: &str) -> Option<&mut Target> {
        self.index.get(address).map(|it| &mut self.targets[*it])
    }

    /// Targets that the call may go to, and how many were left out as ejected. At most the part
    /// of the pool above the floor is left out, the longest ejected ones first.
    fn candidates(
        &self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        region: Option<&str>,
    ) -> Result<(Vec<usize>, usize), NoTarget> {
        let allowed = |it: &usize| is_within(call.within, &self.targets[*it].domain);
        if !(0..self.targets.len()).any(|it| allowed(&it)) {
            return Err(NoTarget::Confined);
        }
        let tried: HashSet<&str> = call.tried.iter().map(String::as_str).collect();
        let untried = |it: &usize| !tried.contains(self.targets[*it].address.as_str());
        let all: Vec<usize> = (0..self.targets.len()).filter(allowed).filter(untried).collect();
        let (all, pool) = self.in_region(all, region);
        if all.is_empty() {
            return Err(NoTarget::Tried);
        }
        let free = |it: &usize| self.targets[*it].in_flight < call.cap;
        let open: Vec<usize> = all.into_iter().filter(free).collect();
        if open.is_empty() {
            return Err(NoTarget::Full);
        }
        let limited_ms = |it: &usize| self.targets[*it].closed_until.saturating_sub(now);
        let backoff_ms = |it: &usize| {
            let until = if call.is_own { self.targets[*it].backoff_until } else { 0 };
            until.saturating_sub(now)
        };
        let closed_ms = |it: &usize| limited_ms(it).max(backoff_ms(it));
        if let Some(soonest) = open.iter().min_by_key(|it| closed_ms(it))
            && 0 < closed_ms(soonest)
        {
            let ms = closed_ms(soonest);
            let is_limited = backoff_ms(soonest) < ms;
            return Err(if is_limited { NoTarget::Limited(ms) } else { NoTarget::BackingOff(ms) });
        }
        let open: Vec<usize> = open.into_iter().filter(|it| closed_ms(it) == 0).collect();
        let cold_ms =
            |it: &usize| self.targets[*it].credits.wait_ms(now, self.cold_per_s, call.share);
        let soonest = open.iter().map(cold_ms).min().unwrap_or(0);
        if 0 < soonest {
            return Err(NoTarget::Cold(soonest));
        }
        let open: Vec<usize> = open.into_iter().filter(|it| cold_ms(it) == 0).collect();
        let (mut fit, mut ejected): (Vec<usize>, Vec<usize>) =
            open.into_iter().partition(|it| self.targets[*it].ejected_until <= now);
        let floor = (pool as f64 * policy.eject_floor).ceil() as usize;
        ejected.sort_by_key(|it| std::cmp::Reverse(self.targets[*it].ejected_until));
        while fit.is_empty() || (fit.len() < floor && !ejected.is_empty()) {
            let Some(soonest) = ejected.pop() else { break };
            fit.push(soonest);
        }
        Ok((fit, ejected.len()))
    }

    /// Those of some targets that stand in a region, and how many there are in all; every one where
    /// none of them does.
    fn in_region(&self, targets: Vec<usize>, region: Option<&str>) -> (Vec<usize>, usize) {
        let is_there = |it: &Target| region.is_none_or(|region| it.region == region);
        if !targets.iter().any(|it| is_there(&self.targets[*it])) {
            return (targets, self.targets.len());
        }
        let there = targets.into_iter().filter(|it| is_there(&self.targets[*it])).collect();
        (there, self.targets.iter().filter(|it| is_there(it)).count())
    }

    fn least(&self, candidates: &[usize], rng: &mut impl Rng) -> usize {
        lowest(candidates, rng, |it| {
            let target = &self.targets[it];
            let reported = target.report.as_ref().map_or(0.0, |it| it.others);
            reported + f64::from(target.in_flight)
        })
    }

    fn least_predicted(
        &self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        candidates: &[usize],
        rng: &mut impl Rng,
    ) -> (usize, usize) {
        let mut drawn = draw(candidates, policy.choices.max(1) as usize, rng);
        // A target that holds the prefix is always compared: drawing it by luck alone would
        // waste the cache in a large pool.
        let holder = candidates
            .iter()
            .copied()
            .filter(|it| !drawn.contains(it))
            .max_by(|a, b| {
                let trust = |it: &usize| prefix_trust(&self.targets[*it], call, now);
                trust(a).total_cmp(&trust(b))
            })
            .filter(|it| 0.0 < prefix_trust(&self.targets[*it], call, now));
        drawn.extend(holder);
        let best = lowest(&drawn, rng, |it| {
            let target = &self.targets[it];
            self.predict(now, policy, call, target, prefix_trust(target, call, now))
        });
        (best, drawn.len())
    }
}

/// Region of a failure domain; empty where there is only one, or it is not known.
fn region(topology: &Topology, domain: &str) -> String {
    let known = topology.region_of(domain).filter(|_| topology.is_split());
    known.unwrap_or_default().to_owned()
}

fn remember(target: &mut Target, prefix: u64, now: Millis) {
    if PREFIXES <= target.prefixes.len() && !target.prefixes.contains_key(&prefix) {
        let oldest = target.prefixes.iter().min_by_key(|it| *it.1).map(|it| *it.0);
        oldest.and_then(|it| target.prefixes.remove(&it));
    }
    target.prefixes.insert(prefix, now);
}

/// Draws `n` of the candidates without repetition.
fn draw(candidates: &[usize], n: usize, rng: &mut impl Rng) -> Vec<usize> {
    if candidates.len() <= n {
        return candidates.to_vec();
    }
    let mut rest = candidates.to_vec();
    (0..n).map(|_| rest.swap_remove(rng.random_range(0..rest.len()))).collect()
}

/// The candidate of lowest score; ties are broken by chance, so that instances do not all choose
/// the same one.
fn lowest(candidates: &[usize], rng: &mut impl Rng, score: impl Fn(usize) -> f64) -> usize {
    let mut best = candidates[0];
    let mut best_score = f64::INFINITY;
    let mut ties = 0;
    for &candidate in candidates {
        let found = score(candidate);
        if found < best_score {
            (best, best_score, ties) = (candidate, found, 1);
        } else if found == best_score {
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = candidate;
            }
        }
    }
    best
}
