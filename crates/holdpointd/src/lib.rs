//! The holdpoint daemon as a library. Demonstrations and tests use it to run several instances in one
//! process.
//!
//! ```no_run
//! use holdpointd::{Instance, settings};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = settings::load("examples/prairie-cellars.jsonc".as_ref())?;
//! let instance = Instance::start(settings)?;
//! println!("callers: http://{}", instance.addresses().callers);
//! instance.stop().await;
//! # Ok(())
//! # }
//! ```

mod control;
pub mod events;
pub mod ingress;
mod instance;
pub mod metrics;
mod operators;
pub mod peers;
mod serving;
pub mod settings;
mod shared;
mod traffic;

pub use crate::{
    instance::{Addresses, Instance, StartError, StopOutcome},
    shared::{Published, Shared},
    traffic::{BurnReport, Problem, ProblemKind, Report, TrialReport},
};
