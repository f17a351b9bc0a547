//! Routing: selects the target of a pool that serves a call.
//!
//! A router sees a subset of its pool, whose size the policy bounds. The `predicted` route estimates
//! the time of a call at each target: this instance's own calls in flight are exact, the load that the
//! target reported decays with the age of the report, and the time per unit of work is learned for
//! each target.

mod affinity;
mod members;
mod predict;

use std::collections::{HashMap, HashSet};

use holdpoint_schema::resources::{Policy, Route};
use rand::{Rng, RngExt};

pub use crate::choice::{Call, CallOutcome, Choice, Load, Member, NoTarget, Reason};
use crate::{
    cold::{ColdBucket, Share},
    concurrency::Signal,
    confinement::is_within,
    ids::Millis,
    reported_pace::ReportedPace,
    subset::weight,
    topology::Topology,
};

use self::{
    affinity::Holders,
    predict::{Mean, prefix_trust, update_pace},
};

/// Maximum number of prefixes tracked for one target.
const MAX_PREFIXES: usize = 512;
/// Upper bound of the prefill time per unit of work, in milliseconds. The default of the mean pace, used
/// until calls have been measured, is far higher.
const MAX_PREFILL_PACE_MS: f64 = 0.05;
/// Upper bound of the doublings of the ejection time.
const MAX_EJECT_DOUBLINGS: u32 = 5;

#[derive(Clone, Debug)]
struct Report {
    at: Millis,
    /// Calls of other instances that were running or waiting.
    other_calls: f64,
    /// Whether calls were waiting.
    has_queue: bool,
}

#[derive(Clone, Debug, Default)]
struct Target {
    address: String,
    /// Hash of the address, for its rendezvous weight.
    hash: u64,
    domain: String,
    /// Region of the failure domain; empty if there is only one region.
    region: String,
    in_flight: u32,
    work: f64,
    report: Option<Report>,
    /// Milliseconds per unit of work, without queueing; 0 if unknown.
    pace: f64,
    /// Number of calls to the pool that had been measured when the pace was, including that one.
    measured_at: u64,
    /// Whether so many other calls were measured since that the pace needs a new measurement.
    is_outdated: bool,
    /// Momentary slowdown that the target reports.
    slowdown: ReportedPace,
    /// Calls that the target runs concurrently, inferred from its reports; 0 if unknown.
    slots: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    prefixes: HashMap<u64, Millis>,
    /// When the prefill of the prompts placed there ends, in milliseconds.
    prefill_until: f64,
    /// Limits its calls while it is cold.
    credits: ColdBucket,
    /// Gets no calls before this time, since its rate limit over all instances is reached.
    limited_until: Millis,
    /// Gets no calls of this instance before this time, since it has asked this instance to back off.
    backoff_until: Millis,
}

impl Target {
    fn record_failure(&mut self, now: Millis, eject_failures: u32, eject_ms: Millis) {
        self.failures += 1;
        if eject_failures <= self.failures {
            let doublings = self.ejections.min(MAX_EJECT_DOUBLINGS);
            self.ejected_until = now + (eject_ms << doublings);
            self.ejections += 1;
            self.failures = eject_failures.saturating_sub(1);
        }
    }
}

/// Routes the calls of one instance to the targets of one pool.
#[derive(Debug)]
pub struct Router {
    salt: String,
    domain: String,
    policy: Policy,
    members: HashMap<String, Member>,
    targets: Vec<Target>,
    /// Positions of the targets, by address.
    index: HashMap<String, usize>,
    /// State of targets whose failure domain is evacuated, kept for their return.
    evacuated: HashMap<String, Target>,
    /// Calls per second allowed to a cold target; 0 for no limit.
    cold_per_s: f64,
    /// Mean of the calls of other instances that each target last reported.
    other_calls: Mean,
    /// Mean of the known paces.
    paces: Mean,
    /// Number of calls that were measured.
    measured: u64,
    holders: Holders,
    next_turn: usize,
    topology: Topology,
    /// Round-trip time to another region, in milliseconds.
    far_region_ms: f64,
}

impl Router {
    /// Creates a router of the instance named `salt` in the failure domain `domain`.
    pub fn new(salt: &str, domain: &str, policy: Policy) -> Router {
        Router {
            salt: salt.to_owned(),
            domain: domain.to_owned(),
            policy,
            members: HashMap::new(),
            targets: Vec::new(),
            index: HashMap::new(),
            evacuated: HashMap::new(),
            cold_per_s: 0.0,
            other_calls: Mean::default(),
            paces: Mean::default(),
            measured: 0,
            holders: Holders::default(),
            next_turn: 0,
            topology: Topology::default(),
            far_region_ms: 0.0,
        }
    }

    /// Sets the regions and the round-trip time to another region, in milliseconds.
    pub fn with_topology(mut self, topology: Topology, far_region_ms: f64) -> Router {
        self.topology = topology;
        self.far_region_ms = far_region_ms;
        self
    }

    /// Active policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Replaces the policy; learned state of the targets is kept.
    pub fn set_policy(&mut self, policy: Policy) {
        if self.policy.subset != policy.subset {
            self.members.clear();
        }
        self.policy = policy;
    }

    /// Sets the calls per second allowed to a cold target; 0 for no limit.
    pub fn set_cold_rate(&mut self, per_s: f64) {
        self.cold_per_s = per_s;
    }

    /// Marks a target as cold until a time, in milliseconds.
    pub fn set_cold(&mut self, now: Millis, address: &str, until: Millis) {
        // Instances start with different bucket levels, so that their first calls do not coincide.
        let filled = weight(&self.salt, address) as f64 / u64::MAX as f64;
        if let Some(it) = self.target_mut(address) {
            it.credits.set_cold(now, until, filled);
        }
    }

    /// Charges a call to the token bucket of a cold target.
    pub fn spend_cold(&mut self, now: Millis, address: &str, share: Share) {
        let per_s = self.cold_per_s;
        if let Some(it) = self.target_mut(address) {
            it.credits.spend(now, per_s, share);
        }
    }

    /// Excludes a target until a time, in milliseconds.
    pub fn limit_until(&mut self, address: &str, until: Millis) {
        if let Some(it) = self.target_mut(address) {
            it.limited_until = until;
        }
    }

    /// Excludes a target for calls that this instance sends itself until a time, in milliseconds.
    pub fn back_off_until(&mut self, address: &str, until: Millis) {
        if let Some(it) = self.target_mut(address) {
            it.backoff_until = until;
        }
    }

    /// Number of targets that are routed to.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target to route to.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Calls in flight to all targets.
    pub fn in_flight(&self) -> u32 {
        self.targets.iter().map(|it| it.in_flight).sum()
    }

    /// Chooses a target for a call. The caller must call [`Router::sent`] when it sends the call.
    ///
    /// `policy` differs from the router's own for a request in an arm of a trial.
    pub fn choose(
        &mut self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoTarget> {
        self.choose_in(now, policy, call, None, rng)
    }

    /// Like [`Router::choose`], but prefers the targets of a region. The other regions are used only
    /// where that region has no target left to try.
    pub fn choose_in(
        &mut self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        region: Option<&str>,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoTarget> {
        if self.targets.is_empty() {
            let is_evacuated = self.members.values().any(|it| it.is_evacuated && !it.is_draining);
            return Err(if is_evacuated { NoTarget::Evacuated } else { NoTarget::Empty });
        }
        let (candidates, ejected) = self.candidates(now, policy, call, region)?;
        let route = policy.route;
        let (index, compared) = match route {
            Route::Random => (candidates[rng.random_range(0..candidates.len())], 1),
            Route::RoundRobin => {
                self.next_turn = self.next_turn.wrapping_add(1);
                (candidates[self.next_turn % candidates.len()], 1)
            }
            Route::LeastLoaded => (self.least_loaded(&candidates, rng), candidates.len()),
            Route::TwoChoices => {
                let sampled = sample(&candidates, 2, rng);
                (self.least_loaded(&sampled, rng), sampled.len())
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
        let Some(target) = self.target_mut(address) else { return };
        target.in_flight += 1;
        target.work += call.work;
        if let Some(prefix) = call.prefix {
            track_prefix(target, prefix, now);
            self.holders.record(now, prefix, address);
        }
    }

    /// Records that an instance, this one or another, has placed a prompt at a target. The target is
    /// expected to cache its prefix, and prefills it before later prompts.
    pub fn record_placed(&mut self, now: Millis, address: &str, call: &Call<'_>) {
        let Some(prefix) = call.prefix else { return };
        let pace = self.mean_pace().min(MAX_PREFILL_PACE_MS);
        let Some(target) = self.target_mut(address) else { return };
        let uncached = call.work - call.prefix_work * prefix_trust(target, call, now);
        target.prefill_until = target.prefill_until.max(now as f64) + uncached * pace;
        track_prefix(target, prefix, now);
        self.holders.record(now, prefix, address);
    }

    /// Addresses of the targets that are ejected as outliers.
    pub fn ejected(&self, now: Millis) -> Vec<String> {
        let is_ejected = |it: &&Target| now < it.ejected_until;
        self.targets.iter().filter(is_ejected).map(|it| it.address.clone()).collect()
    }

    /// Records the end of a call. Consecutive failures eject the target.
    pub fn ended(&mut self, now: Millis, address: &str, work: f64, end: CallOutcome) {
        let (eject_failures, eject_ms) = (self.policy.eject_failures, self.policy.eject_ms);
        let known = self.target(address);
        // The round trip to another region is not part of the target's pace.
        let distance_ms =
            known.filter(|it| self.is_remote(it)).map_or(0.0, |_| self.far_region_ms) as Millis;
        let mut paces = self.paces;
        let measured = self.measured + 1;
        let Some(target) = self.target_mut(address) else { return };
        match end {
            CallOutcome::Completed(ms) => {
                let before = target.known_pace();
                update_pace(now, target, work, ms.saturating_sub(distance_ms));
                paces.replace(before, target.known_pace());
                target.measured_at = measured;
                target.failures = 0;
                target.ejections = 0;
            }
            CallOutcome::Failed => target.record_failure(now, eject_failures, eject_ms),
            CallOutcome::Cancelled => (),
        }
        target.in_flight = target.in_flight.saturating_sub(1);
        target.work = (target.work - work).max(0.0);
        self.paces = paces;
        if let CallOutcome::Completed(_) = end {
            self.measured = measured;
            self.mark_outdated_paces();
        }
    }

    /// Counts a call that goes on as a failure, since the target is silent.
    pub fn late(&mut self, now: Millis, address: &str) {
        let (eject_failures, eject_ms) = (self.policy.eject_failures, self.policy.eject_ms);
        if let Some(it) = self.target_mut(address) {
            it.record_failure(now, eject_failures, eject_ms);
        }
    }

    /// Takes back that a call was counted as late, since the target has answered it. The target is not ejected for
    /// its silence any longer.
    pub fn resumed(&mut self, address: &str) {
        if let Some(it) = self.target_mut(address) {
            it.failures = 0;
            it.ejected_until = 0;
        }
    }

    /// Applies a load report that a target made at `at`; older reports than the last one are ignored.
    pub fn apply_report(&mut self, at: Millis, address: &str, load: Load) {
        let mut mean_others = self.other_calls;
        let Some(target) = self.target_mut(address) else { return };
        if target.report.as_ref().is_some_and(|it| at < it.at) {
            return;
        }
        if let Some(it) = load.pace_percent {
            target.slowdown.record(at, it);
        }
        let running = f64::from(load.running);
        // A queue means that all slots are in use; without one there is at least one more.
        let is_queued = Signal::Clear < Signal::of_load(load.running, load.waiting);
        target.slots = if is_queued { running } else { target.slots.max(running + 1.0) };
        let total = running + f64::from(load.waiting);
        let other_calls = (total - f64::from(target.in_flight)).max(0.0);
        mean_others.replace(target.report.as_ref().map(|it| it.other_calls), Some(other_calls));
        target.report = Some(Report { at, other_calls, has_queue: load.waiting != 0 });
        self.other_calls = mean_others;
    }

    /// Whether a target has reported such a slowdown that a late answer does not count as a failure.
    pub fn is_slow(&self, now: Millis, address: &str) -> bool {
        self.target(address).is_some_and(|it| it.slowdown.is_slow(now))
    }

    /// Whether calls were waiting at a target when it last reported.
    pub fn has_queue(&self, address: &str) -> bool {
        self.target(address).and_then(|it| it.report.as_ref()).is_some_and(|it| it.has_queue)
    }

    fn target(&self, address: &str) -> Option<&Target> {
        self.index.get(address).map(|it| &self.targets[*it])
    }

    fn target_mut(&mut self, address: &str) -> Option<&mut Target> {
        self.index.get(address).map(|it| &mut self.targets[*it])
    }

    /// Targets eligible for the call, and the number left out as ejected. Where too few are left for
    /// the policy's floor, ejected ones are used, those whose ejection ends first before others.
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
        let limited_ms = |it: &usize| self.targets[*it].limited_until.saturating_sub(now);
        let backoff_ms = |it: &usize| {
            let until = if call.is_own { self.targets[*it].backoff_until } else { 0 };
            until.saturating_sub(now)
        };
        let blocked_ms = |it: &usize| limited_ms(it).max(backoff_ms(it));
        if let Some(soonest) = open.iter().min_by_key(|it| blocked_ms(it))
            && 0 < blocked_ms(soonest)
        {
            let ms = blocked_ms(soonest);
            let is_limited = backoff_ms(soonest) < ms;
            return Err(if is_limited { NoTarget::Limited(ms) } else { NoTarget::BackingOff(ms) });
        }
        let open: Vec<usize> = open.into_iter().filter(|it| blocked_ms(it) == 0).collect();
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

    /// The given targets that are in a region, and the number of the pool's targets there. Where none
    /// of the given ones is there, returns all of them and the size of the pool.
    fn in_region(&self, targets: Vec<usize>, region: Option<&str>) -> (Vec<usize>, usize) {
        let is_inside = |it: &Target| region.is_none_or(|region| it.region == region);
        if !targets.iter().any(|it| is_inside(&self.targets[*it])) {
            return (targets, self.targets.len());
        }
        let inside = targets.into_iter().filter(|it| is_inside(&self.targets[*it])).collect();
        (inside, self.targets.iter().filter(|it| is_inside(it)).count())
    }

    fn least_loaded(&self, candidates: &[usize], rng: &mut impl Rng) -> usize {
        lowest_score(candidates, rng, |it| {
            let target = &self.targets[it];
            let reported = target.report.as_ref().map_or(0.0, |it| it.other_calls);
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
        let mut sampled = sample(candidates, policy.choices.max(1) as usize, rng);
        // The target most likely to cache the prefix is always compared: in a large pool a random
        // sample would rarely include it.
        let holder = candidates
            .iter()
            .copied()
            .filter(|it| !sampled.contains(it))
            .max_by(|a, b| {
                let trust = |it: &usize| prefix_trust(&self.targets[*it], call, now);
                trust(a).total_cmp(&trust(b))
            })
            .filter(|it| 0.0 < prefix_trust(&self.targets[*it], call, now));
        sampled.extend(holder);
        let best = lowest_score(&sampled, rng, |it| {
            let target = &self.targets[it];
            self.predict(now, policy, call, target, prefix_trust(target, call, now))
        });
        (best, sampled.len())
    }
}

/// Region of a failure domain; empty where there is only one region or it is unknown.
fn region(topology: &Topology, domain: &str) -> String {
    let known = topology.region_of(domain).filter(|_| topology.has_regions());
    known.unwrap_or_default().to_owned()
}

fn track_prefix(target: &mut Target, prefix: u64, now: Millis) {
    if MAX_PREFIXES <= target.prefixes.len() && !target.prefixes.contains_key(&prefix) {
        let oldest = target.prefixes.iter().min_by_key(|it| *it.1).map(|it| *it.0);
        oldest.and_then(|it| target.prefixes.remove(&it));
    }
    target.prefixes.insert(prefix, now);
}

/// Samples `n` of the candidates without replacement.
fn sample(candidates: &[usize], n: usize, rng: &mut impl Rng) -> Vec<usize> {
    if candidates.len() <= n {
        return candidates.to_vec();
    }
    let mut remaining = candidates.to_vec();
    (0..n).map(|_| remaining.swap_remove(rng.random_range(0..remaining.len()))).collect()
}

/// The candidate of lowest score. Ties are broken at random, so that instances do not all choose the
/// same one.
fn lowest_score(
    candidates: &[usize],
    rng: &mut impl Rng,
    score_of: impl Fn(usize) -> f64,
) -> usize {
    let mut best = candidates[0];
    let mut best_score = f64::INFINITY;
    let mut ties = 0;
    for &candidate in candidates {
        let score = score_of(candidate);
        if score < best_score {
            (best, best_score, ties) = (candidate, score, 1);
        } else if score == best_score {
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = candidate;
            }
        }
    }
    best
}
