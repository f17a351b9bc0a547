//! Compares routing and admission policies in a discrete-event simulation.
//!
//! Routers, gates and retry budgets are those of the daemon. Only the engines are modelled: each has
//! a queue, a batch that generates one token per call and step, and a cache of prompt prefixes.
//! All policies see the same arrivals.

mod engine;
mod run;
mod workload;

use holdpoint_core::trial::{Interval, wilson};
use holdpoint_schema::resources::{Policy, Route};
use serde::Serialize;

pub use crate::policies::workload::{ARMOR, PRAIRIE, User};

/// A policy under comparison: how requests are routed and admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Arm {
    /// Name in tables.
    pub name: &'static str,
    /// Route; `None` for the oracle, a central scheduler that knows the state of all engines.
    #[serde(skip)]
    pub route: Option<Route>,
    /// Whether the gate admits, defers or refuses requests.
    pub admits: bool,
}

/// Arms under comparison: the default, the baselines, and the oracle as upper bound.
pub const ARMS: [Arm; 7] = [
    Arm { name: "predicted", route: Some(Route::Predicted), admits: true },
    Arm { name: "two-choices", route: Some(Route::TwoChoices), admits: true },
    Arm { name: "least-loaded", route: Some(Route::LeastLoaded), admits: true },
    Arm { name: "round-robin", route: Some(Route::RoundRobin), admits: true },
    Arm { name: "random", route: Some(Route::Random), admits: true },
    Arm { name: "two-choices, no gate", route: Some(Route::TwoChoices), admits: false },
    Arm { name: "knows everything", route: None, admits: true },
];

/// Fault during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// No fault.
    None,
    /// The stage before generation takes ten times as long.
    SlowStage,
    /// A tenth of the engines refuse every call.
    FailingTenth,
    /// A quarter of the engines are three times slower.
    SlowQuarter,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Workload.
    pub user: &'static User,
    /// Arm.
    pub arm: Arm,
    /// Offered load, as a percentage of the engines' capacity.
    pub load: u32,
    /// Fault.
    pub scenario: Scenario,
    /// Seed of arrivals and decisions.
    pub seed: u64,
    /// Entry instances, each with its own router and gate.
    pub instances: usize,
    /// Duration of the arrivals, in seconds.
    pub seconds: u64,
}

/// Result of one run, or the sum of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Requests offered.
    pub offered: u64,
    /// Requests answered whole and in time.
    pub attained: u64,
    /// Requests refused before they used any engine time.
    pub refused: u64,
    /// Engine time used, in milliseconds.
    pub engine_ms: u64,
    /// Engine time used on requests not answered in time, in milliseconds.
    pub wasted_ms: u64,
    /// Retries.
    pub retries: u64,
    /// Duration of the arrivals, in seconds.
    pub seconds: u64,
}

impl Outcome {
    /// Share of requests attained, with its confidence interval.
    pub fn attainment(&self) -> Interval {
        wilson(self.attained, self.offered)
    }

    /// Requests attained per second.
    pub fn goodput(&self) -> f64 {
        self.attained as f64 / self.seconds.max(1) as f64
    }

    /// Engine time per attained request, in milliseconds.
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

/// Runs each setup with the seeds 1 to `seeds` in parallel, and sums the outcomes of each setup.
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

/// Default policy with a route.
fn policy_of(route: Route) -> Policy {
    Policy { route, ..holdpoint_core::catalog::default_policy() }
}
