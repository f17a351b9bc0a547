//! What a target reports about itself in any answer: draining, backoff, rate limit and load.

use crate::{choice::Load, ids::Millis, target_limits::NamedLimit};

/// A target's report about itself in an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStatus {
    /// Whether the target is draining.
    pub is_draining: bool,
    /// Backoff that it requests from the sender.
    pub backoff: Backoff,
    /// Limit on the rate of requests from all instances together.
    pub limit: NamedLimit,
    /// Rejections per second, caused by all instances together, above which the target crashes; `None` if it states
    /// none.
    pub overload_limit: Option<f64>,
    /// Its load, if reported.
    pub load: Option<Load>,
}

/// The backoff that an answer requests when it refuses a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Backoff {
    /// No backoff.
    #[default]
    None,
    /// Backoff for this many milliseconds.
    For(Millis),
    /// Backoff for a time that cannot be parsed; holds the value as received.
    Invalid(String),
}

impl Backoff {
    /// Whether a backoff is requested, including one of unreadable length.
    pub fn is_requested(&self) -> bool {
        *self != Backoff::None
    }
}
