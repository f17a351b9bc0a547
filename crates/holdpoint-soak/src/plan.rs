//! What a seed stands for: processes, callers, and faults at their moments.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Millis;

/// Plain targets and model targets, each.
pub(crate) const TARGETS: usize = 3;
/// Targets that make results of stages.
pub(crate) const ENCODERS: usize = 2;
/// Failure domains.
pub(crate) const DOMAINS: usize = 3;
/// Mean time between two faults or series of faults, in milliseconds.
const FAULT_EVERY: Millis = 250;
/// Longest time that a fault lasts, in milliseconds.
const LONGEST_FAULT: Millis = 1500;
/// Targets that name a limit in a soak, at most.
const LIMITS: usize = 3;
/// Limits that they name, in requests in ten seconds.
const LIMITS_PER_10_S: [u32; 5] = [0, 5, 10, 50, 200];
/// Shortest time for which they do, in milliseconds.
const SHORTEST_LIMIT: Millis = 1500;
/// Limits are drawn by themselves, so that the other faults of a seed stay what they are.
const LIMITS_STREAM: u64 = 1;
/// Targets that say in their answers that they leave, and targets that ask for a back-off, at most, in a soak.
const LEAVES: usize = 2;
const BACKOFFS: usize = 4;
/// Back-offs that they ask for, in milliseconds.
const BACKOFFS_MS: [Millis; 4] = [600, 1500, 3000, 5000];
/// What targets say of themselves is drawn by itself, as limits are.
const NOTICES_STREAM: u64 = 2;
/// Every so many seeds are large.
const LARGE_EVERY: u64 = 10;

/// How a link fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each part of what is sent is late by so many milliseconds.
    Delay(Millis),
    /// All connections are reset.
    Reset,
    /// What is sent towards the far side is lost.
    CutTo,
    /// What the far side sends is lost.
    CutBack,
    /// Nothing passes either way.
    Silence,
}

/// How a target fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// It declines requests.
    Declines,
    /// It runs requests and fails them.
    Fails,
    /// It runs requests and cuts the connection.
    Cuts,
    /// It runs requests and never answers.
    Hangs,
    /// It answers with the id of another request.
    Crosses,
    /// Its answers end early, or break off after some events.
    Breaks,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A process is asked to stop as planned, and started again.
    Stop(usize),
    /// A process is killed, and started again.
    Kill(usize),
    /// A process stands still.
    Pause(usize),
    /// A process is told that its settings have changed.
    Reload(usize),
    /// The link of a process to the store fails.
    StoreLink(usize, Way),
    /// The link of all processes to a target fails.
    TargetLink(usize, Way),
    /// The store refuses all calls, or is silent.
    StoreAway {
        /// Whether it is silent.
        is_silent: bool,
    },
    /// The store forgets its history.
    StoreForgets,
    /// A target fails.
    Target(usize, TargetFault),
    /// A target says that it leaves, and is back under the same id never again.
    TargetLeaves(usize),
    /// The operator evacuates a failure domain, and restores it.
    Evacuate(usize),
    /// The operator writes a configuration.
    Configure,
    /// A target says in its answers that it leaves; its entry in the store says so only at the end.
    SaysLeaving(usize),
    /// A target turns all requests away and asks for a back-off.
    AsksBackoff {
        /// The target.
        target: usize,
        /// How long, in milliseconds.
        ms: Millis,
    },
    /// A target names a limit.
    Limit {
        /// The target.
        target: usize,
        /// Requests that it takes in ten seconds.
        per_10_s: u32,
    },
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it begins.
    pub at: Millis,
    /// How long it lasts, where it lasts.
    pub lasts: Millis,
    /// What happens.
    pub kind: Kind,
}

/// One soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed that it was drawn from.
    pub seed: u64,
    /// Processes.
    pub processes: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// How long faults are made.
    pub length: Duration,
    /// Faults in the order of their beginning.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a plan. Every tenth seed has as many processes and callers as a small machine bears.
    pub fn draw(seed: u64, length: Duration) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_large = seed.is_multiple_of(LARGE_EVERY);
        let processes = if is_large { 16 } else { rng.random_range(2..=6) };
        let callers = if is_large { 160 } else { rng.random_range(6..=32) };
        let end = length.as_millis() as Millis;
        let mut faults = Vec::new();
        let mut at = rng.random_range(0..2 * FAULT_EVERY);
        while at < end {
            series(&mut rng, at, processes, &mut faults);
            at += rng.random_range(0..2 * FAULT_EVERY);
        }
        faults.retain(|it| it.at < end);
        faults.extend(limits(seed, end));
        faults.extend(notices(seed, end));
        faults.sort_by_key(|it| it.at);
        Plan { seed, processes, callers, length, faults }
    }
}

/// Limits that targets name, each for a good part of the soak, one after the other or at once.
fn limits(seed: u64, end: Millis) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(LIMITS_STREAM);
    let mut limit = || {
        let at = rng.random_range(0..end.max(1));
        let lasts = rng.random_range(SHORTEST_LIMIT..SHORTEST_LIMIT + end.max(1));
        let target = rng.random_range(0..2 * TARGETS + ENCODERS);
        let per_10_s = LIMITS_PER_10_S[rng.random_range(0..LIMITS_PER_10_S.len())];
        Fault { at, lasts, kind: Kind::Limit { target, per_10_s } }
    };
    (0..LIMITS).map(|_| limit()).collect()
}

/// Targets that leave and say so in their answers, and targets that ask for back-offs.
fn notices(seed: u64, end: Millis) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(NOTICES_STREAM);
    let mut faults = Vec::new();
    for index in 0..LEAVES + BACKOFFS {
        let at = rng.random_range(0..end.max(1));
        let target = rng.random_range(0..2 * TARGETS + ENCODERS);
        let (kind, lasts) = if index < LEAVES {
            (Kind::SaysLeaving(target), rng.random_range(500..end.max(1000)))
        } else {
            let ms = BACKOFFS_MS[rng.random_range(0..BACKOFFS_MS.len())];
            (Kind::AsksBackoff { target, ms }, rng.random_range(50..LONGEST_FAULT))
        };
        faults.push(Fault { at, lasts, kind });
    }
    faults
}

impl Plan {
    /// Leaves out what targets say in their answers of leaving and back-offs.
    pub fn without_notices(mut self) -> Plan {
        let is_notice = |it: &Kind| matches!(it, Kind::SaysLeaving(_) | Kind::AsksBackoff { .. });
        self.faults.retain(|it| !is_notice(&it.kind));
        self
    }

    /// Leaves out all that targets say of themselves: earlier builds read nothing of it.
    pub fn without_limits(self) -> Plan {
        let mut plan = self.without_notices();
        plan.faults.retain(|it| !matches!(it.kind, Kind::Limit { .. }));
        plan
    }
}

/// A fault, or the same one several times in quick succession.
fn series(rng: &mut impl Rng, at: Millis, processes: usize, faults: &mut Vec<Fault>) {
    let kind = kind(rng, processes);
    let times = if rng.random_bool(0.25) { rng.random_range(2..=4) } else { 1 };
    let mut at = at;
    for _ in 0..times {
        let lasts = rng.random_range(50..LONGEST_FAULT);
        faults.push(Fault { at, lasts, kind });
        at += rng.random_range(20..600);
    }
}

fn kind(rng: &mut impl Rng, processes: usize) -> Kind {
    let process = rng.random_range(0..processes);
    let target = rng.random_range(0..2 * TARGETS);
    match rng.random_range(0..22) {
        0..=2 => Kind::Stop(process),
        3 | 4 => Kind::Kill(process),
        5 | 6 => Kind::Pause(process),
        7 => Kind::Reload(process),
        8 | 9 => Kind::StoreLink(process, way(rng)),
        10 | 11 => Kind::TargetLink(rng.random_range(0..2 * TARGETS + ENCODERS), way(rng)),
        12 => Kind::StoreAway { is_silent: rng.random_bool(0.5) },
        13 => Kind::StoreForgets,
        14..=16 => Kind::Target(target, target_fault(rng)),
        17 => Kind::TargetLeaves(target),
        18 | 19 => Kind::Evacuate(rng.random_range(0..DOMAINS)),
        _ => Kind::Configure,
    }
}

fn way(rng: &mut impl Rng) -> Way {
    match rng.random_range(0..5) {
        0 => Way::Delay(rng.random_range(5..200)),
        1 => Way::Reset,
        2 => Way::CutTo,
        3 => Way::CutBack,
        _ => Way::Silence,
    }
}

fn target_fault(rng: &mut impl Rng) -> TargetFault {
    match rng.random_range(0..6) {
        0 => TargetFault::Declines,
        1 => TargetFault::Fails,
        2 => TargetFault::Cuts,
        3 => TargetFault::Hangs,
        4 => TargetFault::Crosses,
        _ => TargetFault::Breaks,
    }
}
