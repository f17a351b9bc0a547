//! Three batchers, one after the other, in virtual time.

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

/// Services in the order of their stages, with targets, pieces of a request, and sizes of calls.
const STAGES: [(&str, usize, u32, Sizes); 3] = [
    ("first", 18, 1, sizes(14, 9.2)),
    ("second", 15, 8, sizes(66, 1.9)),
    ("third", 21, 16, sizes(96, 1.3)),
];
const AIM_MS: u64 = 1600;
const DEADLINE_MS: u64 = 6000;
/// Time from the last stage's results to the first event.
const FIRST_EVENT_MS: u64 = 60;
/// How often batchers tell their load.
const TELL_MS: u64 = 250;
/// Time that each request to a batcher takes on its way.
const WAY_MS: u64 = 2;
const END_MS: u64 = 14_000;

const fn sizes(pieces: u32, piece_ms: f64) -> Sizes {
    Sizes { calls: 1, pieces, call_ms: 150.0, piece_ms, room_bytes: 0, keep_ms: 4000 }
}

/// What decides who is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// The first stage's queue alone, later ones by what they tell.
    FirstStage,
    /// The account of all stages.
    Chain,
    /// Credits that the later stages hand ahead with each word.
    Credits,
}

/// Requests and targets over time.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    /// From when on how many requests a second come.
    pub(crate) per_s: Vec<(u64, f64)>,
    /// From when until when a third of the second stage's targets is gone.
    pub(crate) gone: Option<(u64, u64)>,
    /// Worth of a late answer.
    pub(crate) late_worth: f64,
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) lost: u32,
}

impl Outcome {
    pub(crate) fn asked(&self) -> u32 {
        self.in_time + self.late + self.refused + self.lost
    }

    /// Worth in hundredths, a late answer being worth 15 of them.
    pub(crate) fn worth(&self) -> u32 {
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
    begun: u64,
    ends: u64,
}

struct Chain {
    way: Way,
    late_worth: f64,
    now: u64,
    batchers: Vec<Batcher>,
    promises: Promises,
    /// What each stage was last told to take, in milliseconds.
    told_ms: [u64; 3],
    credits: [f64; 3],
    arrived: HashMap<u64, u64>,
    /// Requests that were admitted late.
    late: HashSet<u64>,
    /// Pieces that are missing, by request and stage.
    missing: HashMap<(u64, usize), u32>,
    /// Pieces on their way to a batcher: when, request, stage.
    coming: Vec<(u64, u64, usize)>,
    running: Vec<Running>,
    next: u64,
    outcome: Outcome,
}

/// Plays a load; a third of the second stage's targets fail where the load says so.
pub(crate) fn play(load: &Load, way: Way) -> Outcome {
    let mut chain = Chain::new(way, load.late_worth);
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    for now in 0..END_MS + DEADLINE_MS {
        chain.now = now;
        let per_s = load.per_s.iter().rfind(|it| it.0 <= now).map_or(0.0, |it| it.1);
        if now < END_MS && rng.random_bool(per_s / 1000.0) {
            chain.ask();
        }
        let gone = load.gone.is_some_and(|it| (it.0..it.1).contains(&now));
        chain.step(gone);
    }
    chain.outcome.lost += chain.arrived.len() as u32;
    chain.outcome
}

impl Chain {
    fn new(way: Way, late_worth: f64) -> Chain {
        let mut chain = Chain {
            way,
            late_worth,
            now: 0,
            batchers: STAGES.iter().map(|it| Batcher::new(it.3)).collect(),
            promises: Promises::default(),
            told_ms: [200; 3],
            credits: [0.0; 3],
            arrived: HashMap::new(),
            late: HashSet::new(),
            missing: HashMap::new(),
            coming: Vec::new(),
            running: Vec::new(),
            next: 0,
            outcome: Outcome::default(),
        };
        for stage in 0..3 {
            chain.set_targets(stage, false);
        }
        chain
    }

    fn set_targets(&mut self, stage: usize, a_third_gone: bool) {
        let count = STAGES[stage].1;
        let names: Vec<String> = (0..count).map(|it| format!("t{it}")).collect();
        let left = if a_third_gone { count - count / 3 } else { count };
        let targets = names.iter().enumerate().map(|(it, name)| (name.as_str(), "d", left <= it));
        self.batchers[stage].set_targets(targets);
    }

    fn step(&mut self, a_third_gone: bool) {
        self.set_targets(1, a_third_gone);
        if self.now.is_multiple_of(TELL_MS) {
            self.tell();
        }
        let now = self.now;
        for ended in self.running.extract_if(.., |it| it.ends <= now).collect::<Vec<_>>() {
            self.ended(ended);
        }
        for (_, request, stage) in self.coming.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>()
        {
            self.offer(request, stage);
        }
        for stage in 0..3 {
            for request in self.batchers[stage].expire(now) {
                if self.arrived.remove(&(request / 100)).is_some() {
                    self.outcome.lost += 1;
                }
            }
            let wanted = &self.arrived;
            self.batchers[stage].retain(|it| wanted.contains_key(&(it / 100)));
            while let Some(call) = self.batchers[stage].next(now) {
                let ends = now + call.sizes.stated_ms(call.pieces.len()) as u64;
                self.running.push(Running { stage, call, begun: now, ends });
            }
        }
    }

    fn tell(&mut self) {
        for (stage, (service, ..)) in STAGES.iter().enumerate() {
            let load = self.batchers[stage].load(self.now);
            self.told_ms[stage] = self.batchers[stage].usual_ms(self.now);
            // A queue that is made within one call keeps targets busy.
            let most_waiting = load.per_ms * load.full_ms;
            self.credits[stage] = load.per_ms * TELL_MS as f64 + most_waiting - load.waiting;
            assert!(self.promises.told(self.now, service, load));
        }
    }

    fn ask(&mut self) {
        self.next += 1;
        let request = self.next;
        let ahead: Vec<StageAhead> = (1..3)
            .map(|stage| StageAhead {
                service: STAGES[stage].0.to_owned(),
                pieces: STAGES[stage].2,
                depth: stage as u32,
                usual_ms: self.told_ms[stage],
            })
            .collect();
        let after = self.told_ms[1] + self.told_ms[2] + FIRST_EVENT_MS;
        let due = (self.now + AIM_MS).saturating_sub(after);
        let ask = FirstAsk {
            due,
            late_due: self.now + (DEADLINE_MS - after.min(DEADLINE_MS)) / 3,
            pieces: 1,
            ahead: if self.way == Way::Chain { &ahead } else { &[] },
            end: self.now + AIM_MS - FIRST_EVENT_MS,
            deadline: self.now + DEADLINE_MS - FIRST_EVENT_MS,
            objective: Objective { late_worth: self.late_worth },
        };
        let is_covered = self.way != Way::Credits
            || (1..3).all(|it| f64::from(STAGES[it].2) <= self.credits[it]);
        let verdict = decide(self.now, &self.batchers[0], &mut self.promises, &ask);
        if matches!(verdict, Verdict::Refused { .. }) || !is_covered {
            self.outcome.refused += 1;
            return;
        }
        if self.way == Way::Chain && matches!(verdict, Verdict::Late(_)) {
            self.late.insert(request);
        }
        for (credits, stage) in self.credits.iter_mut().zip(&STAGES) {
            *credits -= f64::from(stage.2);
        }
        self.arrived.insert(request, self.now);
        self.coming.push((self.now + WAY_MS, request, 0));
    }

    fn offer(&mut self, request: u64, stage: usize) {
        let Some(arrived) = self.arrived.get(&request).copied() else { return };
        let after = self.told_ms[stage + 1..].iter().sum::<u64>() + FIRST_EVENT_MS;
        let deadline = (arrived + DEADLINE_MS).saturating_sub(after);
        let left = deadline.saturating_sub(self.now);
        let count = STAGES[stage].2;
        let due = (arrived + AIM_MS).saturating_sub(after);
        self.missing.insert((request, stage), count);
        for piece in 0..count {
            let waiting = Waiting {
                ticket: 100 * request + u64::from(piece),
                group: request,
                due: if self.late.contains(&request) { self.now } else { due },
                deadline,
                late_due: self.now + left / (3 - stage as u64),
                ..Waiting::default()
            };
            self.batchers[stage].offer(self.now, waiting);
        }
    }

    fn ended(&mut self, running: Running) {
        let Running { stage, call, begun, ends } = running;
        self.batchers[stage].judge(self.now, &call, ends - begun);
        self.batchers[stage].ended(self.now, &call, CallEnd::Answered(ends - begun), &[]);
        for piece in &call.pieces {
            let missing = self.missing.get_mut(&(piece.group, stage)).expect("it was offered");
            *missing -= 1;
            if *missing == 0 {
                self.made(piece.group, stage);
            }
        }
    }

    fn made(&mut self, request: u64, stage: usize) {
        if stage < 2 {
            self.coming.push((self.now + WAY_MS, request, stage + 1));
            return;
        }
        let Some(arrived) = self.arrived.remove(&request) else { return };
        let took = self.now + FIRST_EVENT_MS - arrived;
        if took <= AIM_MS {
            self.outcome.in_time += 1;
        } else if took <= DEADLINE_MS {
            self.outcome.late += 1;
        } else {
            self.outcome.lost += 1;
        }
    }
}
