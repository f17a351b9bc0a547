//! Clients for the platform's services and for targets. They make calls only; routing and retries
//! are up to their users.
//!
//! ```
//! use holdpoint_platform::clock::Clock;
//!
//! let clock = Clock::with_manual(1_000);
//! clock.advance(250);
//! assert_eq!(clock.now(), 1_250);
//! ```

pub mod clock;
pub mod engine;
pub mod http;
pub mod instant;
pub mod list;
pub mod log;
pub mod operators;
pub mod target;

pub use crate::{
    clock::Clock,
    engine::EngineClient,
    http::{CallError, Http},
    instant::Instant,
    list::ListClient,
    log::LogClient,
    operators::OperatorClient,
    target::TargetClient,
};
