//! Simulation in virtual time of three batchers, one for each stage of a request.

use std::{
    collections::{HashMap, HashSet},
    iter::Sum,
};

use holdpoint_core::{
    admission::{FirstAsk, Objective, Verdict, decide},
    batcher::Batcher,
    pieces::{Call, CallEnd, Sizes, Waiting},
    promises::{Promises, StageAhead},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Services in the order of their stages: name, number of targets, items per request, limits of calls.
const STAGES: [(&str, usize, u32, Sizes); 3] = [
    ("first", 18, 1, sizes(14, 9.2)),
    ("second", 15, 8, sizes(66, 1.9)),
    ("third", 21, 16, sizes(96, 1.3)),
];
/// Response time up to which a request counts as served in time.
const OBJECTIVE_MS: u64 = 1600;
/// Response time after which a request counts as lost.
const DEADLINE_MS: u64 = 6000;
/// Time from the last stage's results to the first event.
const FIRST_EVENT_MS: u64 = 60;
/// Interval between load reports of the batchers.
const REPORT_MS: u64 = 250;
/// Network delay of each message to a batcher.
const DELAY_MS: u64 = 2;
/// Time at which requests stop arriving.
const LOAD_END_MS: u64 = 14_000;

const fn sizes(pieces: u32, piece_ms: f64) -> Sizes {
    Sizes { calls: 1, pieces, call_ms: 150.0, piece_ms, room_bytes: 0, keep_ms: 4000 }
}

/// Rule by which requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionMode {
    /// By the queue of the first stage and the usual times that later stages report.
    FirstStage,
    /// By the queue of the first stage and the work already admitted to later stages.
    AllStages,
    /// By credits that the later stages grant with each load report.
    Credits,
}

/// Rate of requests and availability of targets over time.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    /// Requests per second from each time on, as (time in ms, rate).
    pub(crate) per_s: Vec<(u64, f64)>,
    /// Start and end of a period in which a third of the second stage's targets takes no calls, in milliseconds.
    pub(crate) outage: Option<(u64, u64)>,
    /// Value of a late answer, relative to one in time.
    pub(crate) late_value: f64,
}

/// Number of requests by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) lost: u32,
}

impl Outcome {
    pub(crate) fn total(&self) -> u32 {
        self.in_time + self.late + self.refused + self.lost
    }

    /// Total value: 100 for each answer in time, 15 for each late one.
    pub(crate) fn value(&self) -> u32 {
        100 * self.in_time + 15 * self.late
    }
}

impl Sum for Outcome {
    fn sum<I: Iterator<Item = Outcome>>(all: I) -> Outcome {
        all.fold(Outcome::default(), |sum, it| Outcome {
            in_time: sum.in_time + it.in_time,
            late: sum.late + it.late,
            refused: sum.refused + it.refused,
            lost: sum.lost + it.lost,
        })
    }
}

struct Running {
    stage: usize,
    call: Call,
    started: u64,
    ends: u64,
}

struct Simulation {
    mode: AdmissionMode,
    late_value: f64,
    now: u64,
    batchers: Vec<Batcher>,
    promises: Promises,
    /// Usual time last reported for each stage, in milliseconds.
    reported_ms: [u64; 3],
    credits: [f64; 3],
    /// Arrival times of admitted requests, in milliseconds.
    arrived: HashMap<u64, u64>,
    /// Requests that were admitted late.
    late: HashSet<u64>,
    /// Number of items still to be processed, by request and stage.
    unfinished: HashMap<(u64, usize), u32>,
    /// Requests in transit to a batcher: arrival time, request, stage.
    in_transit: Vec<(u64, u64, usize)>,
    running: Vec<Running>,
    next: u64,
    outcome: Outcome,
}

/// Runs the simulation under a load.
pub(crate) fn simulate(load: &Load, mode: AdmissionMode) -> Outcome {
    let mut simulation = Simulation::new(mode, load.late_value);
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    for now in 0..LOAD_END_MS + DEADLINE_MS {
        simulation.now = now;
        let per_s = load.per_s.iter().rfind(|it| it.0 <= now).map_or(0.0, |it| it.1);
        if now < LOAD_END_MS && rng.random_bool(per_s / 1000.0) {
            simulation.arrive();
        }
        let is_outage = load.outage.is_some_and(|it| (it.0..it.1).contains(&now));
        simulation.step(is_outage);
    }
    simulation.outcome.lost += simulation.arrived.len() as u32;
    simulation.outcome
}

impl Simulation {
    fn new(mode: AdmissionMode, late_value: f64) -> Simulation {
        let mut simulation = Simulation {
            mode,
            late_value,
            now: 0,
            batchers: STAGES.iter().map(|it| Batcher::new(it.3)).collect(),
            promises: Promises::default(),
            reported_ms: [200; 3],
            credits: [0.0; 3],
            arrived: HashMap::new(),
            late: HashSet::new(),
            unfinished: HashMap::new(),
            in_transit: Vec::new(),
            running: Vec::new(),
            next: 0,
            outcome: Outcome::default(),
        };
        for stage in 0..3 {
            simulation.set_targets(stage, false);
        }
        simulation
    }

    fn set_targets(&mut self, stage: usize, is_outage: bool) {
        let count = STAGES[stage].1;
        let names: Vec<String> = (0..count).map(|it| format!("t{it}")).collect();
        let usable = if is_outage { count - count / 3 } else { count };
        let targets = names.iter().enumerate().map(|(it, name)| (name.as_str(), "d", usable <= it));
        self.batchers[stage].set_targets(targets);
    }

    fn step(&mut self, is_outage: bool) {
        self.set_targets(1, is_outage);
        if self.now.is_multiple_of(REPORT_MS) {
            self.report_load();
        }
        let now = self.now;
        for ended in self.running.extract_if(.., |it| it.ends <= now).collect::<Vec<_>>() {
            self.ended(ended);
        }
        for (_, request, stage) in
            self.in_transit.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>()
        {
            self.offer(request, stage);
        }
        for stage in 0..3 {
            for request in self.batchers[stage].expire(now) {
                if self.arrived.remove(&(request / 100)).is_some() {
                    self.outcome.lost += 1;
                }
            }
            let active = &self.arrived;
            self.batchers[stage].retain(|it| active.contains_key(&(it / 100)));
            while let Some(call) = self.batchers[stage].next(now) {
                let ends = now + call.sizes.stated_ms(call.pieces.len()) as u64;
                self.running.push(Running { stage, call, started: now, ends });
            }
        }
    }

    fn report_load(&mut self) {
        for (stage, (service, ..)) in STAGES.iter().enumerate() {
            let load = self.batchers[stage].load(self.now);
            self.reported_ms[stage] = self.batchers[stage].usual_ms(self.now);
            // A queue that is processed within one call keeps targets busy.
            let most_waiting = load.per_ms * load.full_ms;
            self.credits[stage] = load.per_ms * REPORT_MS as f64 + most_waiting - load.waiting;
            assert!(self.promises.told(self.now, service, load));
        }
    }

    fn arrive(&mut self) {
        self.next += 1;
        let request = self.next;
        let ahead: Vec<StageAhead> = (1..3)
            .map(|stage| StageAhead {
                service: STAGES[stage].0.to_owned(),
                pieces: STAGES[stage].2,
                depth: stage as u32,
                usual_ms: self.reported_ms[stage],
            })
            .collect();
        let later_ms = self.reported_ms[1] + self.reported_ms[2] + FIRST_EVENT_MS;
        let due = (self.now + OBJECTIVE_MS).saturating_sub(later_ms);
        let query = FirstAsk {
            due,
            late_due: self.now + (DEADLINE_MS - later_ms.min(DEADLINE_MS)) / 3,
            pieces: 1,
            ahead: if self.mode == AdmissionMode::AllStages { &ahead } else { &[] },
            end: self.now + OBJECTIVE_MS - FIRST_EVENT_MS,
            deadline: self.now + DEADLINE_MS - FIRST_EVENT_MS,
            objective: Objective { late_worth: self.late_value },
        };
        let is_covered = self.mode != AdmissionMode::Credits
            || (1..3).all(|it| f64::from(STAGES[it].2) <= self.credits[it]);
        let verdict = decide(self.now, &self.batchers[0], &mut self.promises, &query);
        if matches!(verdict, Verdict::Refused { .. }) || !is_covered {
            self.outcome.refused += 1;
            return;
        }
        if self.mode == AdmissionMode::AllStages && matches!(verdict, Verdict::Late(_)) {
            self.late.insert(request);
        }
        for (credits, stage) in self.credits.iter_mut().zip(&STAGES) {
            *credits -= f64::from(stage.2);
        }
        self.arrived.insert(request, self.now);
        self.in_transit.push((self.now + DELAY_MS, request, 0));
    }

    fn offer(&mut self, request: u64, stage: usize) {
        let Some(arrived) = self.arrived.get(&request).copied() else { return };
        let later_ms = self.reported_ms[stage + 1..].iter().sum::<u64>() + FIRST_EVENT_MS;
        let deadline = (arrived + DEADLINE_MS).saturating_sub(later_ms);
        let remaining_ms = deadline.saturating_sub(self.now);
        let count = STAGES[stage].2;
        let due = (arrived + OBJECTIVE_MS).saturating_sub(later_ms);
        self.unfinished.insert((request, stage), count);
        for item in 0..count {
            let waiting = Waiting {
                ticket: 100 * request + u64::from(item),
                group: request,
                due: if self.late.contains(&request) { self.now } else { due },
                deadline,
                late_due: self.now + remaining_ms / (3 - stage as u64),
                ..Waiting::default()
            };
            self.batchers[stage].offer(self.now, waiting);
        }
    }

    fn ended(&mut self, running: Running) {
        let Running { stage, call, started, ends } = running;
        self.batchers[stage].judge(self.now, &call, ends - started);
        self.batchers[stage].ended(self.now, &call, CallEnd::Answered(ends - started), &[]);
        for item in &call.pieces {
            let unfinished =
                self.unfinished.get_mut(&(item.group, stage)).expect("the item was offered");
            *unfinished -= 1;
            if *unfinished == 0 {
                self.finish_stage(item.group, stage);
            }
        }
    }

    fn finish_stage(&mut self, request: u64, stage: usize) {
        if stage < 2 {
            self.in_transit.push((self.now + DELAY_MS, request, stage + 1));
            return;
        }
        let Some(arrived) = self.arrived.remove(&request) else { return };
        let elapsed = self.now + FIRST_EVENT_MS - arrived;
        if elapsed <= OBJECTIVE_MS {
            self.outcome.in_time += 1;
        } else if elapsed <= DEADLINE_MS {
            self.outcome.late += 1;
        } else {
            self.outcome.lost += 1;
        }
    }
}
