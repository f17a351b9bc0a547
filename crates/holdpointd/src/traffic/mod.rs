//! Handles callers' requests: admission, claims, the stages of a pipeline, and the response.
//!
//! Holds the state of the traffic threads, by pool, pipeline and trial.

mod admission;
mod callers;
mod claim;
mod generate;
mod job;
mod problem;
mod report;
mod resume;
mod running;
mod sse;
mod stage;

use std::collections::BTreeMap;

use holdpoint_core::{
    burn::Burn,
    deadline::Times,
    ids::Name,
    retry::RetryBudget,
    route::{Member, Router},
    trial::ArmStats,
};
use holdpoint_schema::{resources::Policy, settings::Settings};
use parking_lot::Mutex;
use std::sync::Arc;

use crate::shared::Lazy;

pub(crate) use crate::traffic::{
    admission::expire_waiting,
    callers::router,
    report::{local_report, merged_report},
};
pub use crate::traffic::{
    problem::{Problem, ProblemKind},
    report::{BurnReport, Report, TrialReport},
};

/// State of the traffic threads.
#[derive(Debug)]
pub struct Traffic {
    admission: admission::Admission,
    pools: Lazy<PoolState>,
    pipelines: Lazy<PipelineState>,
    trials: Lazy<Mutex<BTreeMap<Name, ArmStats>>>,
}

impl Traffic {
    /// Creates the state of an instance that has not served a request.
    pub fn new(settings: &Settings) -> Traffic {
        Traffic {
            admission: admission::Admission::new(settings.limits.concurrency as usize),
            pools: Lazy::default(),
            pipelines: Lazy::default(),
            trials: Lazy::default(),
        }
    }
}

/// State of one pool, shared by the traffic threads.
#[derive(Debug)]
struct PoolState {
    router: Mutex<Router>,
    /// Members that the router was last given.
    members: Mutex<Arc<Vec<Member>>>,
    retries: Mutex<RetryBudget>,
    times: Mutex<Times>,
}

impl PoolState {
    fn new(settings: &Settings, policy: Policy) -> PoolState {
        PoolState {
            router: Mutex::new(Router::new(&settings.instance, &settings.domain, policy)),
            members: Mutex::default(),
            retries: Mutex::default(),
            times: Mutex::default(),
        }
    }

    /// Updates the router's members and policy where they have changed.
    fn refresh(&self, members: &Arc<Vec<Member>>, policy: &Policy) {
        let mut known = self.members.lock();
        let mut router = self.router.lock();
        if router.policy() != policy {
            router.set_policy(policy.clone());
            router.set_members(members);
        }
        if !Arc::ptr_eq(&known, members) {
            router.set_members(members);
            *known = members.clone();
        }
    }
}

/// State of one pipeline, shared by the traffic threads.
#[derive(Debug, Default)]
struct PipelineState {
    /// Durations of the stages, by name.
    times: Mutex<BTreeMap<Name, Times>>,
    burn: Mutex<Burn>,
}
