//! Roll-outs: a service's traffic moves to targets of another version, started beside the old ones,
//! under a bounded exposure; a bad version is taken back.
//!
//! [`order`] knows what operators have ordered, [`exposure`] how many requests an instance may send to
//! the new version, [`judge`] whether its answers are as good as those of the old one, and [`phase`]
//! what follows from all that. docs/design/rollouts.md has the reasons.

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
