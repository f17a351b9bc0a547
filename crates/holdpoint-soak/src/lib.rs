//! Randomized soak test of the platform's ingress: real daemon processes run against stand-ins of
//! the platform while external faults are injected, repeatedly and concurrently.
//!
//! A seed determines a [`Plan`]: the number of processes and callers, and the schedule of faults.
//! The [`Invariant`]s are checked against what callers and targets observe, never against what the
//! processes report about themselves.
//!
//! Not covered: wall-clock steps (the daemon does not read the wall clock) and partitions between
//! peers.
//!
//! ```no_run
//! use holdpoint_soak::{Builds, Plan, run};
//!
//! # async fn example() {
//! let plan = Plan::draw(7, std::time::Duration::from_secs(5));
//! let verdict = run(&plan, &Builds::new("target/release/holdpointd")).await.unwrap();
//! assert!(verdict.is_passed(), "{verdict}");
//! # }
//! ```

mod answer_faults;
mod answer_verdict;
mod answers;
mod builds;
mod caller_connection;
mod callers;
mod changes;
mod cut_answers;
mod early_connections;
mod faults;
mod fleet;
mod large_senders;
mod link;
mod notices;
mod odd_entries;
mod pauses;
mod plan;
mod planned;
mod proxy;
mod recovery;
mod slow_readers;
mod stalls;
mod verdict;

pub use crate::{
    answer_verdict::{AnswerCounts, FaultyAnswers, judge_endless, judge_silent},
    answers::{Excuses, judge_answers},
    builds::{Builds, StartError},
    callers::{Attempt, Outcome, Resumed, Route},
    changes::Change,
    cut_answers::{CutAnswer, Stops, judge_cut, judge_cut_lines},
    fleet::run,
    large_senders::{LargeRequest, judge_large},
    link::Link,
    notices::{Arrival, Notices, judge_notices},
    plan::{Fault, FaultKind, LinkFault, Plan, TargetFault},
    proxy::Proxy,
    verdict::{EventTimes, Finding, Invariant, Verdict, judge, judge_crowds, judge_with_faulty},
};

/// Milliseconds since the start of a soak.
pub type Millis = u64;
