//! The decision logic of holdpoint as plain structs and functions.
//!
//! Nothing here does I/O, reads a clock or creates random numbers: times and random generators are
//! arguments, so that tests can reproduce any decision.
//!
//! ```
//! use holdpoint_core::ledger::Ledger;
//!
//! // A ledger proves that a request has not run only if no call was sent under it.
//! let ledger = Ledger::new();
//! let call = ledger.begin().expect("the ledger is open");
//! call.never_sent();
//! assert!(ledger.close().is_ok());
//! assert!(ledger.begin().is_none(), "a closed ledger admits no calls");
//! ```

pub mod admission;
pub mod admitted_work;
pub mod assemble;
pub mod backoffs;
pub mod batch;
pub mod batcher;
pub mod budget;
pub mod burn;
pub mod capacity;
pub mod catalog;
pub mod change_log;
pub mod choice;
pub mod claims;
pub mod cold;
pub mod concurrency;
pub mod confinement;
pub mod deadline;
pub mod directory;
pub mod epoch;
pub mod evacuation;
pub mod event_split;
pub mod experiments;
pub mod fold;
pub mod ids;
pub mod ingress;
pub mod intake;
pub mod items;
pub mod ledger;
pub mod lifecycle;
pub mod liveness;
pub mod membership;
pub mod overload;
pub mod pipeline;
pub mod placement;
pub mod prelude;
pub mod prompt;
pub mod quarantine;
pub mod queue_delay;
pub mod reach;
pub mod readers;
pub mod regions;
pub mod reported_pace;
pub mod retry;
pub mod retry_times;
pub mod rollout;
pub mod route;
pub mod snapshot;
pub mod spill;
pub mod stage_graph;
pub mod stream_versions;
pub mod subset;
pub mod target_limits;
pub mod target_status;
pub mod text;
pub mod token;
pub mod topology;
pub mod trial;
