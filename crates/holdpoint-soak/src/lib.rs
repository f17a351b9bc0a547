//! A randomized soak of the platform's ingress: real processes of the daemon before stand-ins of
//! the platform, under faults from outside that come in series and overlap.
//!
//! A seed gives a [`Plan`]: how many processes and callers, and which faults at which moments. The
//! promises are judged by what callers and targets have seen, never by what the processes say of
//! themselves: nothing that may run once runs twice, nothing reported as not run has run, no answer
//! is another request's or looks whole when it is not, no planned stop cuts off what has run, and
//! after the last fault every process serves the newest configuration.
//!
//! Not covered: steps of the time of day (the daemon reads none) and cuts between peers.
//!
//! ```no_run
//! use holdpoint_soak::{Builds, Plan, run};
//!
//! # async fn example() {
//! let plan = Plan::draw(7, std::time::Duration::from_secs(5));
//! let verdict = run(&plan, &Builds::new("target/release/holdpointd")).await.unwrap();
//! assert!(verdict.is_kept(), "{verdict}");
//! # }
//! ```

mod callers;
mod faults;
mod fleet;
mod notices;
mod plan;
mod proxy;
mod verdict;

pub use crate::{
    callers::{Attempt, Outcome, Route},
    fleet::{Builds, CannotStart, run},
    notices::{Arrival, Notices, judge_notices},
    plan::{Fault, Kind, Plan, TargetFault, Way},
    verdict::{Finding, Kills, Promise, Verdict, judge},
};

/// Milliseconds since the start of a soak.
pub type Millis = u64;
