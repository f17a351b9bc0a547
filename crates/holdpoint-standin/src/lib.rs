//! In-process stand-ins for the platform and for targets, with fault injection.
//!
//! Each listens on a free loopback port and counts what it actually ran, so that a test can
//! compare the answers that a caller received with what happened.
//!
//! ```
//! # let runtime = tokio::runtime::Runtime::new().unwrap();
//! # runtime.block_on(async {
//! use holdpoint_standin::log::LogStandin;
//!
//! let log = LogStandin::start().await;
//! log.faults().outage = true;
//! assert!(log.address().starts_with("127.0.0.1:"));
//! # });
//! ```

pub mod list;
pub mod log;
pub mod relay;
pub mod serve;
pub mod tally;
pub mod target;
