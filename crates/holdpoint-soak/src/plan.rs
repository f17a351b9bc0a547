//! Plan of a soak, drawn from a seed: processes, callers and the schedule of faults.

use std::time::Duration;

use holdpoint_adapter_standin::{AnswerFault, PageFault};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Millis, answer_faults,
    callers::DEADLINE_MS,
    changes::{self, Change},
    odd_entries,
};

/// Number of plain targets, and of model targets.
pub(crate) const TARGETS: usize = 3;
/// Number of targets that run the encoding stages.
pub(crate) const ENCODERS: usize = 2;
/// Number of failure domains.
pub(crate) const DOMAINS: usize = 3;
/// Mean time between two faults or series of faults.
const FAULT_INTERVAL_MS: Millis = 250;
/// Upper bound on the duration of a fault, except limits and drain notices.
const MAX_FAULT_MS: Millis = 1500;
/// Number of limit announcements in a soak.
const LIMIT_COUNT: usize = 3;
/// Limits that targets announce, in requests per ten seconds.
const LIMITS_PER_10_S: [u32; 5] = [0, 5, 10, 50, 200];
/// Shortest time for which a limit is announced.
const MIN_LIMIT_MS: Millis = 1500;
/// Random stream for limits, kept apart so that the other faults of a seed do not depend on it.
const LIMITS_STREAM: u64 = 1;
/// Number of drain notices in a soak.
const DRAIN_COUNT: usize = 2;
/// Number of backoff notices in a soak.
const BACKOFF_COUNT: usize = 4;
/// Backoffs that targets request.
const BACKOFFS_MS: [Millis; 4] = [600, 1500, 3000, 5000];
/// Random stream for drain and backoff notices, kept apart as for limits.
const NOTICES_STREAM: u64 = 2;
/// Number of cuts of a process from all targets in a soak.
const CUT_COUNT: usize = 3;
/// Longest cut of a process from all targets.
const MAX_CUT_MS: Millis = 3000;
/// Random stream for cuts, kept apart as for limits.
const CUTS_STREAM: u64 = 3;
/// Number of crowds in a soak, and of processes that get a small share of a processor.
const CROWD_COUNT: usize = 2;
/// Longest crowd.
const MAX_CROWD_MS: Millis = 3000;
/// Number of callers for each process that read large answers slowly.
const SLOW_READERS_PER_PROCESS: usize = 3;
/// Bandwidth of the narrow links, in Mbit/s.
const NARROW_MBPS: f64 = 2.0;
/// Small share of a processor.
pub(crate) const SMALL_SHARE: f64 = 0.12;
/// Random stream for crowds, small shares and narrow links, kept apart as for limits.
const CROWDS_STREAM: u64 = 4;
/// Every seed that is a multiple of this gives a large soak.
const LARGE_SEED_INTERVAL: u64 = 10;

/// How a link fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Each chunk is delayed by this many milliseconds.
    Delay(Millis),
    /// All connections are reset.
    Reset,
    /// Data sent to the server is dropped.
    DropForward,
    /// Data sent by the server is dropped.
    DropReverse,
    /// Data is dropped in both directions.
    Blackhole,
    /// All connections are reset, and so are new ones.
    Refuse,
    /// New connections are reset; open ones live on.
    RefuseNew,
    /// Data on connections that are open at the start of the fault is dropped; new ones work.
    SilenceOpen,
}

/// How a target fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// Declines requests without running them.
    Declines,
    /// Runs requests and answers with an error.
    Fails,
    /// Runs requests and closes the connection.
    Disconnects,
    /// Runs requests and never answers.
    Hangs,
    /// Answers with the id of another request.
    SwapsId,
    /// Truncates answers, or ends streams after some events.
    Truncates,
}

/// Kind of a fault or planned event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A process is stopped gracefully (SIGTERM) and restarted.
    Stop(usize),
    /// A process is stopped gracefully, and suspended while it ends.
    LateStop {
        /// The process.
        process: usize,
        /// Time from the request to stop until the suspension.
        after: Millis,
    },
    /// A process is killed (SIGKILL) and restarted.
    Kill(usize),
    /// A process is suspended (SIGSTOP) and resumed.
    Pause(usize),
    /// A process is asked to reload its settings (SIGHUP).
    Reload(usize),
    /// The link between a process and the store fails.
    StoreLink(usize, LinkFault),
    /// The link between all processes and a target fails.
    TargetLink(usize, LinkFault),
    /// The links between a process and all targets fail.
    ProcessCut(usize, LinkFault),
    /// The store rejects all calls or does not answer.
    StoreOutage {
        /// Whether it does not answer, rather than rejecting calls.
        is_silent: bool,
    },
    /// The store compacts its history.
    StoreCompaction,
    /// A target fails.
    Target(usize, TargetFault),
    /// A target is marked as draining in the store and never returns under the same id.
    TargetDrains(usize),
    /// The operator evacuates a failure domain and later restores it.
    Evacuate(usize),
    /// The operator publishes a configuration.
    Configure,
    /// The operator publishes a configuration of a series.
    Change(Change),
    /// Most new connections go to one process, and callers open more.
    Crowd(usize),
    /// A process gets a small share of its processor.
    SmallShare(usize),
    /// A process gets a small share of its processor in long slices, so that much waits for it in between.
    CoarseShare(usize),
    /// A target announces in its answers that it is draining; its store entry follows only at the
    /// end of the fault.
    DrainNotice(usize),
    /// A target rejects all requests and requests a backoff.
    BackoffNotice {
        /// The target.
        target: usize,
        /// Requested backoff, in milliseconds.
        ms: Millis,
    },
    /// The answers of a target are faulty.
    Answers {
        /// The target.
        target: usize,
        /// The fault.
        fault: AnswerFault,
    },
    /// Odd entries stand in the lists of the store.
    OddEntries {
        /// Number of items of a page.
        page_items: usize,
        /// How pages after the first one fail.
        page_fault: PageFault,
    },
    /// A target announces a rate limit.
    Limit {
        /// The target.
        target: usize,
        /// Limit, in requests per ten seconds.
        per_10_s: u32,
    },
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Start time.
    pub at: Millis,
    /// Duration in milliseconds; unused by instantaneous faults.
    pub duration: Millis,
    /// Kind of fault.
    pub kind: FaultKind,
}

/// Plan of one soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of processes.
    pub processes: usize,
    /// Number of callers, each with one request at a time.
    pub callers: usize,
    /// Number of callers that read large answers slowly.
    pub slow_readers: usize,
    /// Number of callers that connect some time before they send a request.
    pub early_connections: usize,
    /// Number of callers that send requests with too large bodies.
    pub large_senders: usize,
    /// Deadline that requests carry.
    pub deadline_ms: Millis,
    /// Period in which faults start.
    pub length: Duration,
    /// Whether engines run different versions of their software.
    pub has_versions: bool,
    /// Bandwidth of the link of each process, in Mbit/s; unlimited if `None`.
    pub link_mbps: Option<f64>,
    /// Faults in order of their start times.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a plan from a seed. Seeds that are multiples of ten give large soaks.
    pub fn draw(seed: u64, length: Duration) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_large = seed.is_multiple_of(LARGE_SEED_INTERVAL);
        let processes = if is_large { 16 } else { rng.random_range(2..=6) };
        let callers = if is_large { 160 } else { rng.random_range(6..=32) };
        let end = length.as_millis() as Millis;
        let mut faults = Vec::new();
        let mut at = rng.random_range(0..2 * FAULT_INTERVAL_MS);
        while at < end {
            series(&mut rng, at, processes, &mut faults);
            at += rng.random_range(0..2 * FAULT_INTERVAL_MS);
        }
        faults.retain(|it| it.at < end);
        faults.extend(limits(seed, end));
        faults.extend(notices(seed, end));
        faults.extend(cuts(seed, end, processes));
        let (crowds, link_mbps) = crowds(seed, end, processes);
        faults.extend(crowds);
        faults.extend(changes::draw(seed, end));
        faults.extend(answer_faults::draw(seed, end));
        faults.extend(odd_entries::draw(seed, end));
        faults.sort_by_key(|it| it.at);
        // Their answers would fill narrow links.
        let slow_readers =
            if link_mbps.is_some() { 0 } else { SLOW_READERS_PER_PROCESS * processes };
        Plan {
            seed,
            processes,
            callers,
            slow_readers,
            early_connections: 0,
            large_senders: 0,
            deadline_ms: DEADLINE_MS,
            length,
            has_versions: true,
            link_mbps,
            faults,
        }
    }

    /// Draws a plan in which crowds meet no other fault than small shares of processors, so that what callers of a crowd
    /// read can be compared with what they read before.
    pub fn draw_crowds(seed: u64, length: Duration) -> Plan {
        let mut plan = Plan::draw(seed, length);
        plan.slow_readers = 0;
        plan.faults.retain(|it| matches!(it.kind, FaultKind::Crowd(_) | FaultKind::SmallShare(_)));
        // The processes that are small are so from the start.
        plan.faults.iter_mut().filter(|it| !it.is_crowd()).for_each(|it| it.at = 0);
        plan
    }
}

/// Draws the limits that targets announce; they may overlap.
fn limits(seed: u64, end: Millis) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(LIMITS_STREAM);
    let mut limit = || {
        let at = rng.random_range(0..end.max(1));
        let duration = rng.random_range(MIN_LIMIT_MS..MIN_LIMIT_MS + end.max(1));
        let target = rng.random_range(0..2 * TARGETS + ENCODERS);
        let per_10_s = LIMITS_PER_10_S[rng.random_range(0..LIMITS_PER_10_S.len())];
        Fault { at, duration, kind: FaultKind::Limit { target, per_10_s } }
    };
    (0..LIMIT_COUNT).map(|_| limit()).collect()
}

/// Draws the drain and backoff notices that targets send in their answers.
fn notices(seed: u64, end: Millis) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(NOTICES_STREAM);
    let mut faults = Vec::new();
    for index in 0..DRAIN_COUNT + BACKOFF_COUNT {
        let at = rng.random_range(0..end.max(1));
        let target = rng.random_range(0..2 * TARGETS + ENCODERS);
        let (kind, duration) = if index < DRAIN_COUNT {
            (FaultKind::DrainNotice(target), rng.random_range(500..end.max(1000)))
        } else {
            let ms = BACKOFFS_MS[rng.random_range(0..BACKOFFS_MS.len())];
            (FaultKind::BackoffNotice { target, ms }, rng.random_range(50..MAX_FAULT_MS))
        };
        faults.push(Fault { at, duration, kind });
    }
    faults
}

/// Draws the cuts of single processes from all targets; they may overlap.
fn cuts(seed: u64, end: Millis, processes: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(CUTS_STREAM);
    let mut cut = || {
        let at = rng.random_range(0..end.max(1));
        let duration = rng.random_range(200..MAX_CUT_MS);
        let process = rng.random_range(0..processes);
        let how = match rng.random_range(0..5) {
            0 => LinkFault::DropForward,
            1 => LinkFault::DropReverse,
            2 => LinkFault::Blackhole,
            3 => LinkFault::RefuseNew,
            _ => LinkFault::Refuse,
        };
        Fault { at, duration, kind: FaultKind::ProcessCut(process, how) }
    };
    (0..CUT_COUNT).map(|_| cut()).collect()
}

/// Draws crowds, small shares of processors, and the bandwidth of the links.
fn crowds(seed: u64, end: Millis, processes: usize) -> (Vec<Fault>, Option<f64>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(CROWDS_STREAM);
    let link_mbps = rng.random_bool(0.5).then_some(NARROW_MBPS);
    let mut faults = Vec::new();
    for index in 0..CROWD_COUNT {
        // Crowds do not overlap.
        let span = end / CROWD_COUNT as Millis;
        let duration = rng.random_range(span / 4..=(span / 2).clamp(1, MAX_CROWD_MS));
        let at = index as Millis * span + rng.random_range(span / 4..=span / 2);
        let process = rng.random_range(0..processes);
        faults.push(Fault { at, duration, kind: FaultKind::Crowd(process) });
        if rng.random_bool(0.5) {
            faults.push(Fault { at: at / 2, duration: end, kind: FaultKind::SmallShare(process) });
        }
    }
    (faults, link_mbps)
}

impl Fault {
    /// Whether it is a crowd.
    pub(crate) fn is_crowd(&self) -> bool {
        matches!(self.kind, FaultKind::Crowd(_))
    }
}

impl Plan {
    /// Whether processes connect to targets from addresses of their own.
    pub(crate) fn has_sources(&self) -> bool {
        let is_cut = |it: &Fault| matches!(it.kind, FaultKind::ProcessCut(..));
        self.link_mbps.is_some() || self.faults.iter().any(is_cut)
    }

    /// Whether answers of targets are faulty.
    pub(crate) fn has_answer_faults(&self) -> bool {
        self.faults.iter().any(|it| matches!(it.kind, FaultKind::Answers { .. }))
    }

    /// Removes the faults of targets' answers, and odd entries.
    pub fn without_answer_faults(mut self) -> Plan {
        let is_removed =
            |it: &FaultKind| matches!(it, FaultKind::Answers { .. } | FaultKind::OddEntries { .. });
        self.faults.retain(|it| !is_removed(&it.kind));
        self
    }

    /// Removes cuts of processes from targets, the versions of the engines, crowds, small shares of processors and narrow
    /// links, series of configurations and slow readers, and what [`Plan::without_answer_faults`] removes.
    pub fn without_cuts(self) -> Plan {
        let mut plan = self.without_answer_faults();
        plan.remove_cuts();
        plan
    }

    fn remove_cuts(&mut self) {
        let is_left = |it: &FaultKind| {
            matches!(
                it,
                FaultKind::ProcessCut(..)
                    | FaultKind::Crowd(_)
                    | FaultKind::SmallShare(_)
                    | FaultKind::Change(_)
            )
        };
        self.faults.retain(|it| !is_left(&it.kind));
        self.link_mbps = None;
        self.has_versions = false;
        self.slow_readers = 0;
    }

    /// Removes narrow links, which leave no room for slow readers.
    pub(crate) fn without_narrow_links(mut self) -> Plan {
        self.link_mbps = None;
        self.slow_readers = SLOW_READERS_PER_PROCESS * self.processes;
        self
    }

    /// Smallest share of a processor that a process gets.
    pub(crate) fn cpu_share(&self, process: usize) -> f64 {
        let small = [FaultKind::SmallShare(process), FaultKind::CoarseShare(process)];
        let is_its = |it: &Fault| small.contains(&it.kind);
        if self.faults.iter().any(is_its) { SMALL_SHARE } else { 1.0 }
    }

    /// Whether nothing but crowds and small shares of processors is injected.
    pub(crate) fn has_only_crowds(&self) -> bool {
        let is_other = |it: &Fault| !it.is_crowd() && !matches!(it.kind, FaultKind::SmallShare(_));
        self.faults.iter().any(Fault::is_crowd) && !self.faults.iter().any(is_other)
    }

    /// Removes drain and backoff notices, and what [`Plan::without_cuts`] removes.
    pub fn without_notices(self) -> Plan {
        let mut plan = self.without_cuts();
        plan.remove_notices();
        plan
    }

    fn remove_notices(&mut self) {
        let is_notice = |it: &FaultKind| {
            matches!(it, FaultKind::DrainNotice(_) | FaultKind::BackoffNotice { .. })
        };
        self.faults.retain(|it| !is_notice(&it.kind));
    }

    /// Removes limits, drain notices and backoff notices, which former builds do not support.
    pub fn without_limits(self) -> Plan {
        let mut plan = self.without_notices();
        plan.faults.retain(|it| !matches!(it.kind, FaultKind::Limit { .. }));
        plan
    }
}

/// Draws a fault, or a series of the same fault in quick succession.
fn series(rng: &mut impl Rng, at: Millis, processes: usize, faults: &mut Vec<Fault>) {
    let kind = kind(rng, processes);
    let times = if rng.random_bool(0.25) { rng.random_range(2..=4) } else { 1 };
    let mut at = at;
    for _ in 0..times {
        let duration = rng.random_range(50..MAX_FAULT_MS);
        faults.push(Fault { at, duration, kind });
        at += rng.random_range(20..600);
    }
}

fn kind(rng: &mut impl Rng, processes: usize) -> FaultKind {
    let process = rng.random_range(0..processes);
    let target = rng.random_range(0..2 * TARGETS);
    match rng.random_range(0..22) {
        0..=2 => FaultKind::Stop(process),
        3 | 4 => FaultKind::Kill(process),
        5 | 6 => FaultKind::Pause(process),
        7 => FaultKind::Reload(process),
        8 | 9 => FaultKind::StoreLink(process, link_fault(rng)),
        10 | 11 => {
            FaultKind::TargetLink(rng.random_range(0..2 * TARGETS + ENCODERS), link_fault(rng))
        }
        12 => FaultKind::StoreOutage { is_silent: rng.random_bool(0.5) },
        13 => FaultKind::StoreCompaction,
        14..=16 => FaultKind::Target(target, target_fault(rng)),
        17 => FaultKind::TargetDrains(target),
        18 | 19 => FaultKind::Evacuate(rng.random_range(0..DOMAINS)),
        _ => FaultKind::Configure,
    }
}

fn link_fault(rng: &mut impl Rng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Delay(rng.random_range(5..200)),
        1 => LinkFault::Reset,
        2 => LinkFault::DropForward,
        3 => LinkFault::DropReverse,
        _ => LinkFault::Blackhole,
    }
}

fn target_fault(rng: &mut impl Rng) -> TargetFault {
    match rng.random_range(0..6) {
        0 => TargetFault::Declines,
        1 => TargetFault::Fails,
        2 => TargetFault::Disconnects,
        3 => TargetFault::Hangs,
        4 => TargetFault::SwapsId,
        _ => TargetFault::Truncates,
    }
}
