//! One run of the simulation: an event queue in simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use holdpoint_core::{
    cold::Share,
    concurrency::{AdmissionRequest, Gate, Offer, Signal, Ticket},
    deadline::{Budget, Times, budget},
    retry::RetryBudget,
    route::{Call, CallOutcome, Load, Member, Router},
};
use holdpoint_schema::resources::{Policy, Route};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::policies::{
    Outcome, Scenario, Setup,
    engine::{self, Engine, Work},
    policy_of,
    workload::{Arrival, arrivals},
};

/// Maximum requests that one instance admits concurrently.
const MAX_IN_FLIGHT: usize = 1024;
/// Interval between checks for expired deferred requests.
const SWEEP_US: u64 = 10_000;
/// Delay after which a failing engine refuses a call.
const REFUSAL_DELAY_US: u64 = 3000;
/// Maximum attempts per request.
const MAX_ATTEMPTS: usize = 4;
/// Prompt tokens that count as one unit of work; a generated token counts as one.
const PROMPT_PER_UNIT: f64 = 40.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Route(usize),
    Deliver(usize, usize),
    StepEnd(usize, u64),
    Failed(usize, usize),
    Ended(usize, usize, u64),
    Dropped(usize, usize, u64),
    Sweep,
}

struct Request {
    arrival: Arrival,
    deadline_us: u64,
    tried: Vec<String>,
    sent_us: u64,
    first_sent_us: u64,
}

struct Instance {
    router: Router,
    gate: Gate,
    retries: RetryBudget,
    /// Times by class; each class stands for a pipeline.
    times: Vec<Times>,
    waiting: HashMap<Ticket, usize>,
}

pub(crate) struct Run<'a> {
    setup: &'a Setup,
    policy: Policy,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    /// Requests that the oracle has not placed yet.
    unplaced: Vec<usize>,
    rng: ChaCha8Rng,
    outcome: Outcome,
    open: usize,
}

impl<'a> Run<'a> {
    pub(crate) fn new(setup: &'a Setup) -> Run<'a> {
        let user = setup.user;
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let weight: f64 = user.classes.iter().map(|it| f64::from(it.weight)).sum();
        let mean = |of: &dyn Fn(&crate::policies::workload::Class) -> u32| {
            user.classes.iter().map(|it| f64::from(it.weight) * f64::from(of(it))).sum::<f64>()
                / weight
        };
        let capacity = engine::capacity(mean(&|it| it.prompt), mean(&|it| it.output));
        let rate = capacity * user.engines as f64 * f64::from(setup.load) / 100.0;
        let arrivals = arrivals(user, rate, setup.seconds, setup.instances, &mut rng);
        let policy = policy_of(setup.arm.route.unwrap_or(Route::Predicted));
        let instances = (0..setup.instances).map(|it| instance(setup, it, &policy)).collect();
        let slow = |it: usize| setup.scenario == Scenario::SlowQuarter && it.is_multiple_of(4);
        let engine = |it| Engine::new(if slow(it) { 3 } else { 1 });
        let mut run = Run {
            setup,
            policy,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::with_capacity(arrivals.len()),
            instances,
            engines: (0..user.engines).map(engine).collect(),
            unplaced: Vec::new(),
            rng,
            outcome: Outcome { seconds: setup.seconds, ..Outcome::default() },
            open: arrivals.len(),
        };
        for (index, arrival) in arrivals.into_iter().enumerate() {
            let deadline_us = arrival.at_us + arrival.class.timeout_ms * 1000;
            run.schedule(arrival.at_us, Event::Arrive(index));
            run.requests.push(Request {
                arrival,
                deadline_us,
                tried: Vec::new(),
                sent_us: 0,
                first_sent_us: 0,
            });
        }
        run.schedule(SWEEP_US, Event::Sweep);
        run
    }

    pub(crate) fn run(mut self) -> Outcome {
        self.outcome.offered = self.requests.len() as u64;
        while 0 < self.open
            && let Some(Reverse((at, _, event))) = self.events.pop()
        {
            self.now_us = at;
            match event {
                Event::Arrive(it) => self.arrive(it),
                Event::Route(it) => self.route(it),
                Event::Deliver(it, engine) => self.deliver(it, engine),
                Event::StepEnd(engine, took) => self.step_end(engine, took),
                Event::Failed(it, engine) => self.failed(it, engine),
                Event::Ended(it, engine, spent) => self.ended(it, engine, spent),
                Event::Dropped(it, engine, spent) => self.dropped(it, engine, spent),
                Event::Sweep => self.sweep(),
            }
        }
        self.outcome
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1000
    }

    fn is_oracle(&self) -> bool {
        self.setup.arm.route.is_none()
    }

    fn arrive(&mut self, index: usize) {
        if self.is_oracle() {
            let pre_stage = self.pre_stage_us();
            return self.schedule(self.now_us + pre_stage, Event::Route(index));
        }
        if !self.setup.arm.admits {
            return self.start(index);
        }
        let now = self.now_ms();
        let request = &self.requests[index];
        let instance = &mut self.instances[request.arrival.instance];
        let admission = AdmissionRequest {
            organisation: ORGANISATIONS[request.arrival.organisation],
            share: 1,
            cap: u32::MAX,
            deadline: request.deadline_us / 1000,
            service_ms: instance.times[request.arrival.kind].quantile(0.5).unwrap_or(0),
        };
        match instance.gate.offer(now, &admission) {
            Offer::Admit => self.start(index),
            Offer::Defer(ticket) => drop(instance.waiting.insert(ticket, index)),
            Offer::Refuse { .. } => self.refuse(),
        }
    }

    fn refuse(&mut self) {
        self.outcome.refused += 1;
        self.open -= 1;
    }

    fn pre_stage_us(&self) -> u64 {
        let factor = if self.setup.scenario == Scenario::SlowStage { 10 } else { 1 };
        self.setup.user.pre_stage_us * factor
    }

    /// Runs the stage before generation; routing follows.
    fn start(&mut self, index: usize) {
        let pre_stage = self.pre_stage_us();
        self.requests[index].first_sent_us = self.now_us;
        self.schedule(self.now_us + pre_stage, Event::Route(index));
    }

    fn route(&mut self, index: usize) {
        if self.is_oracle() {
            self.unplaced.push(index);
            return self.place_unplaced();
        }
        let now = self.now_ms();
        let request = &self.requests[index];
        let instance = &mut self.instances[request.arrival.instance];
        let left = request.deadline_us.saturating_sub(self.now_us) / 1000;
        let is_hopeless = matches!(
            budget(left, instance.times[request.arrival.kind].quantile(0.1), &[]),
            Budget::TooLate { .. }
        );
        if is_hopeless || MAX_ATTEMPTS <= request.tried.len() {
            return self.abandon(index);
        }
        let call = call(request);
        let chosen = instance.router.choose(now, &self.policy, &call, &mut self.rng);
        let Ok(choice) = chosen else { return self.abandon(index) };
        instance.router.sent(now, &choice.address, &call);
        if request.tried.is_empty() {
            instance.retries.record_first(self.policy.retry_percent);
        }
        let engine: usize = choice.address[1..].parse().unwrap_or(0);
        let delay = self.network_us(request.arrival.instance, engine);
        self.requests[index].sent_us = self.now_us;
        self.schedule(self.now_us + delay, Event::Deliver(index, engine));
    }

    fn abandon(&mut self, index: usize) {
        self.open -= 1;
        self.release_gate(index, Signal::Unknown);
    }

    fn network_us(&self, instance: usize, engine: usize) -> u64 {
        if instance % 4 == engine % 4 { 100 } else { self.setup.user.cross_domain_us }
    }

    fn deliver(&mut self, index: usize, engine: usize) {
        let is_failing = self.setup.scenario == Scenario::FailingTenth && engine.is_multiple_of(10);
        if is_failing {
            return self.schedule(self.now_us + REFUSAL_DELAY_US, Event::Failed(index, engine));
        }
        let request = &self.requests[index];
        self.engines[engine].waiting.push_back(Work {
            request: index,
            prompt: request.arrival.class.prompt,
            left: request.arrival.class.output,
            prefix: request.arrival.prefix,
            deadline_us: request.deadline_us,
            used_us: 0,
        });
        self.step_begin(engine);
    }

    fn step_begin(&mut self, engine: usize) {
        let it = &mut self.engines[engine];
        if it.is_stepping || (it.waiting.is_empty() && it.running.is_empty()) {
            return;
        }
        let (took, dropped) = it.begin_step(self.now_us);
        it.is_stepping = !it.running.is_empty();
        let is_stepping = it.is_stepping;
        self.drop_all(&dropped, engine);
        if is_stepping {
            self.schedule(self.now_us + took, Event::StepEnd(engine, took));
        }
    }

    fn step_end(&mut self, engine: usize, took: u64) {
        self.engines[engine].is_stepping = false;
        let result = self.engines[engine].end_step(self.now_us, took);
        for work in &result.completed {
            let delay = self.network_us(self.requests[work.request].arrival.instance, engine);
            self.schedule(self.now_us + delay, Event::Ended(work.request, engine, work.used_us));
        }
        self.drop_all(&result.dropped, engine);
        self.step_begin(engine);
        if self.is_oracle() {
            self.place_unplaced();
        }
    }

    fn drop_all(&mut self, dropped: &[Work], engine: usize) {
        for work in dropped {
            self.schedule(self.now_us, Event::Dropped(work.request, engine, work.used_us));
        }
    }

    fn ended(&mut self, index: usize, engine: usize, spent_us: u64) {
        self.open -= 1;
        let is_on_time = self.now_us <= self.requests[index].deadline_us;
        self.outcome.engine_ms += spent_us / 1000;
        if is_on_time {
            self.outcome.attained += 1;
        } else {
            self.outcome.wasted_ms += spent_us / 1000;
        }
        if self.is_oracle() {
            return;
        }
        let now = self.now_ms();
        let request = &self.requests[index];
        let took = (self.now_us - request.sent_us) / 1000;
        let all = (self.now_us - request.first_sent_us) / 1000;
        let instance = &mut self.instances[request.arrival.instance];
        let address = address(engine);
        instance.times[request.arrival.kind].record(now, all);
        instance.router.ended(now, &address, call(request).work, CallOutcome::Completed(took));
        let running = self.engines[engine].running.len() as u32;
        let waiting = self.engines[engine].waiting.len() as u32;
        instance.router.apply_report(now, &address, Load { running, waiting, pace_percent: None });
        self.release_gate(index, Signal::of_load(running, waiting));
    }

    fn dropped(&mut self, index: usize, engine: usize, spent_us: u64) {
        self.open -= 1;
        self.outcome.engine_ms += spent_us / 1000;
        self.outcome.wasted_ms += spent_us / 1000;
        if self.is_oracle() {
            return;
        }
        let now = self.now_ms();
        let request = &self.requests[index];
        let instance = &mut self.instances[request.arrival.instance];
        instance.router.ended(now, &address(engine), call(request).work, CallOutcome::Cancelled);
        let running = self.engines[engine].running.len() as u32;
        let waiting = self.engines[engine].waiting.len() as u32;
        self.release_gate(index, Signal::of_load(running, waiting));
    }

    fn failed(&mut self, index: usize, engine: usize) {
        if self.is_oracle() {
            self.unplaced.push(index);
            return self.place_unplaced();
        }
        let now = self.now_ms();
        let request = &mut self.requests[index];
        let instance = &mut self.instances[request.arrival.instance];
        let address = address(engine);
        instance.router.ended(now, &address, call(request).work, CallOutcome::Failed);
        request.tried.push(address);
        if instance.retries.spend() {
            self.outcome.retries += 1;
            self.route(index);
        } else {
            self.abandon(index);
        }
    }

    fn release_gate(&mut self, index: usize, signal: Signal) {
        if !self.setup.arm.admits {
            return;
        }
        let now = self.now_ms();
        let arrival = self.requests[index].arrival;
        let name = ORGANISATIONS[arrival.organisation];
        let tickets = self.instances[arrival.instance].gate.done(now, name, signal);
        for ticket in tickets {
            if let Some(it) = self.instances[arrival.instance].waiting.remove(&ticket) {
                self.start(it);
            }
        }
    }

    fn sweep(&mut self) {
        let now = self.now_ms();
        for index in 0..self.instances.len() {
            for ticket in self.instances[index].gate.expire(now) {
                if self.instances[index].waiting.remove(&ticket).is_some() {
                    self.refuse();
                }
            }
        }
        self.schedule(self.now_us + SWEEP_US, Event::Sweep);
    }

    /// Places requests as the oracle does: only on free slots, shortest first. Requests that cannot
    /// meet their deadline are refused. Prefers fast engines, then those with the prefix cached,
    /// then the smallest backlog.
    fn place_unplaced(&mut self) {
        loop {
            let free: Vec<usize> = (0..self.engines.len())
                .filter(|it| {
                    let failing =
                        self.setup.scenario == Scenario::FailingTenth && it.is_multiple_of(10);
                    let engine = &self.engines[*it];
                    !failing && engine.running.len() + engine.waiting.len() < engine::SLOTS
                })
                .collect();
            if free.is_empty() {
                return;
            }
            let now = self.now_us;
            let before = self.unplaced.len();
            let requests = &self.requests;
            self.unplaced.retain(|it| {
                let request = &requests[*it];
                now + u64::from(request.arrival.class.output) * 7000 <= request.deadline_us
            });
            for _ in self.unplaced.len()..before {
                self.refuse();
            }
            // Shortest first completes the most requests under overload.
            let shortest = |it: &usize| {
                let class = self.requests[*it].arrival.class;
                (class.output, class.prompt, self.requests[*it].deadline_us)
            };
            let next =
                self.unplaced.iter().enumerate().min_by_key(|it| shortest(it.1)).map(|it| it.0);
            let Some(position) = next else { return };
            let index = self.unplaced.swap_remove(position);
            let prefix = self.requests[index].arrival.prefix;
            let best = free.into_iter().min_by_key(|it| {
                let engine = &self.engines[*it];
                (engine.slowness, !engine.has_prefix(prefix), engine.backlog())
            });
            if let Some(engine) = best {
                self.requests[index].sent_us = now;
                self.deliver(index, engine);
            }
        }
    }
}

const ORGANISATIONS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn address(engine: usize) -> String {
    format!("e{engine}")
}

fn call(request: &Request) -> Call<'_> {
    let class = request.arrival.class;
    let prompt = f64::from(class.prompt) / PROMPT_PER_UNIT;
    let work = f64::from(class.output) + prompt;
    let prefix_work = work * 0.5;
    Call {
        work,
        prefix_work,
        prefix: Some(request.arrival.prefix),
        tried: &request.tried,
        cap: 256,
        share: Share::Whole,
        inputs: &[],
        is_own: true,
        within: None,
    }
}

fn instance(setup: &Setup, index: usize, policy: &Policy) -> Instance {
    let member = |it: usize| Member {
        address: address(it),
        domain: format!("d{}", it % 4),
        is_draining: false,
        is_evacuated: false,
    };
    let members: Vec<Member> = (0..setup.user.engines).map(member).collect();
    let mut router = Router::new(&format!("i{index}"), &format!("d{}", index % 4), policy.clone());
    router.set_members(&members);
    Instance {
        router,
        gate: Gate::new(MAX_IN_FLIGHT),
        retries: RetryBudget::new(),
        times: vec![Times::new(); setup.user.classes.len()],
        waiting: HashMap::new(),
    }
}
