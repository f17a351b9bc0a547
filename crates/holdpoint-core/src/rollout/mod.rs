//! Roll-outs: move a service's traffic to targets of a new version that run beside the old ones, with
//! a bound on the requests that an unproven version receives. A bad version is rolled back.
//!
//! [`order`] holds the operators' orders, [`exposure`] bounds the requests sent to the new version,
//! [`judge`] compares its answers with those of the old version, [`phase`] decides the course of a
//! roll-out, and [`gate`] applies it at each instance. See docs/design/rollouts.md.

pub mod exposure;
pub mod gate;
pub mod judge;
pub mod order;
pub mod phase;

pub use exposure::{Bound, Exposure, canary_targets, is_wanted};
pub use gate::{Gate, Lane, Word};
pub use judge::{Answer, Counts, Fault, Judge, Observations, RouteCounts, Verdict};
pub use order::{Order, OrderRecord, Orders, ToldOrders};
pub use phase::{Input, Phase, Reason, Rollout, State};
