//! Policies judged: the real routers, gates and retry budgets of several instances before small
//! models of the engines, in manual time, on the same arrivals.
//!
//! An engine is a batch that advances all its calls by one token a step, a queue, and a cache of
//! prefixes. Nothing else is modelled: the decisions are the code that serves.

mod engine;
mod run;
mod workload;

use holdpoint_core::trial::{Interval, wilson};
use holdpoint_schema::resources::{Policy, Route};
use serde::Serialize;

pub use crate::policies::workload::{ARMOR, PRAIRIE, User};

/// How requests are routed and admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Arm {
    /// Name in tables.
    pub name: &'static str,
    /// Route; `None` for the scheduler that knows everything.
    #[serde(skip)]
    pub route: Option<Route>,
    /// Whether the gate decides what runs, waits or is refused.
    pub admits: bool,
}

/// Arms that are compared: the default first, then the baselines, then the bound.
pub const ARMS: [Arm; 7] = [
    Arm { name: "predicted", route: Some(Route::Predicted), admits: true },
    Arm { name: "two-choices", route: Some(Route::TwoChoices), admits: true },
    Arm { name: "least-loaded", route: Some(Route::LeastLoaded), admits: true },
    Arm { name: "round-robin", route: Some(Route::RoundRobin), admits: true },
    Arm { name: "random", route: Some(Route::Random), admits: true },
    Arm { name: "two-choices, no gate", route: Some(Route::TwoChoices), admits: false },
    Arm { name: "knows everything", route: None, admits: true },
];

/// What is wrong while a run lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Nothing.
    None,
    /// The stage before generation takes ten times as long.
    SlowStage,
    /// A tenth of the engines fail every call at once.
    FailingTenth,
    /// A quarter of the engines take three times as long for a step.
    SlowQuarter,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Workload.
    pub user: &'static User,
    /// Arm.
    pub arm: Arm,
    /// Offered load as a percentage of what the engines can do.
    pub load: u32,
    /// Trouble.
    pub trouble: Trouble,
    /// Seed of arrivals and decisions.
    pub seed: u64,
    /// Entry instances, each with its own router and gate.
    pub instances: usize,
    /// Length of the arrivals, in seconds.
    pub seconds: u64,
}

/// What came of one run, or of several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Requests offered.
    pub offered: u64,
    /// Answered whole and in time.
    pub attained: u64,
    /// Refused before anything was spent on them.
    pub refused: u64,
    /// Engine milliseconds spent.
    pub engine_ms: u64,
    /// Engine milliseconds spent on requests that did not attain.
    pub wasted_ms: u64,
    /// Attempts after the first one.
    pub retries: u64,
    /// Seconds of arrivals.
    pub seconds: u64,
}

impl Outcome {
    /// Attainment with its interval.
    pub fn attainment(&self) -> Interval {
        wilson(self.attained, self.offered)
    }

    /// Requests attained a second.
    pub fn goodput(&self) -> f64 {
        self.attained as f64 / self.seconds.max(1) as f64
    }

    /// Engine milliseconds for each request attained.
    pub fn cost(&self) -> f64 {
        self.engine_ms as f64 / self.attained.max(1) as f64
    }

    /// Adds another run.
    pub fn add(&mut self, other: &Outcome) {
        self.offered += other.offered;
        self.attained += other.attained;
        self.refused += other.refused;
        self.engine_ms += other.engine_ms;
        self.wasted_ms += other.wasted_ms;
        self.retries += other.retries;
        self.seconds += other.seconds;
    }
}

/// Runs a setup.
pub fn run(setup: &Setup) -> Outcome {
    run::Run::new(setup).run()
}

/// Runs a setup with each of the seeds, on as many threads as the machine has.
pub fn run_all(setups: &[Setup], seeds: u64) -> Vec<Outcome> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let done = parking_lot::Mutex::new(vec![Outcome::default(); setups.len()]);
    let threads = std::thread::available_parallelism().map_or(1, |it| it.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let job = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(setup) = setups.get(job / seeds as usize) else { return };
                    let seed = 1 + (job % seeds as usize) as u64;
                    let outcome = run(&Setup { seed, ..*setup });
                    done.lock()[job / seeds as usize].add(&outcome);
                }
            });
        }
    });
    done.into_inner()
}

/// Policy of an arm, with the defaults of its parameters.
fn policy_of(route: Route) -> Policy {
    Policy { route, ..holdpoint_core::catalog::default_policy() }
}
