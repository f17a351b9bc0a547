//! What a target says of itself in an answer, whatever the answer is to.

use crate::{choice::Load, ids::Millis, target_limits::NamedLimit};

/// What a target says of itself in an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it says that it is leaving.
    pub is_leaving: bool,
    /// Whether it asks the sender to back off.
    pub backoff: Backoff,
    /// What it says of the requests that it takes from all instances together.
    pub limit: NamedLimit,
    /// Its load, where told.
    pub load: Option<Load>,
}

/// Whether an answer that turns a request away asks its sender to back off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Backoff {
    /// It does not.
    #[default]
    None,
    /// It does, for so many milliseconds.
    For(Millis),
    /// It does, for a time that cannot be read.
    Invalid(String),
}

impl Backoff {
    /// Whether it does.
    pub fn is_requested(&self) -> bool {
        *self != Backoff::None
    }
}
