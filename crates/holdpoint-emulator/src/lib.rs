//! Runs a whole system in one process: stand-ins for the platform and the targets, instances of
//! the daemon, and callers that check every answer. Also holds the experiments on such systems.
//!
//! ```no_run
//! use holdpoint_emulator::{load, world::{Plan, World}};
//!
//! # async fn example() {
//! let world = World::start(&Plan::new(3)).await;
//! let tally = load::run(&world, &load::Mix::new(200, 16)).await;
//! assert_eq!(tally.broken(), 0);
//! # }
//! ```

pub mod caller;
pub mod capacity;
pub mod control;
pub mod faults;
pub mod load;
pub mod measure;
pub mod overhead;
pub mod plot;
pub mod policies;
pub mod running;
pub mod users;
pub mod world;
