//! When an instance asks a peer whether it is there.
//!
//! A peer that works for this instance is asked several times a second, so that its silence is noticed within
//! the time that a request can spare. In a large fleet each instance has few requests, and hundreds of them
//! use the same few owners of services: asked all the time, an owner answered 985 instances four times a
//! second each, whatever there was to do. So a peer is asked only while something is expected of it. Who
//! comes back to one that has rested asks it in the moment of the next call.

use crate::ids::Millis;

/// How long after its last use a peer is still asked, in milliseconds: a request comes back to the same owners
/// with its next stage or its release within about that time.
const LINGER_MS: Millis = 1000;
/// How long a connection to a peer that nothing is expected of is kept, in milliseconds.
const KEEP_MS: Millis = 30_000;

/// What is expected of a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// Calls to it under way.
    pub calls: usize,
    /// When it was last used.
    pub used: Millis,
    /// Whether it is relied on without calls, as between the owners of services, which tell each other their
    /// load.
    pub is_standing: bool,
}

/// What to do about a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Ask whether it is there.
    Ask,
    /// Wait.
    Rest,
    /// Close the connection.
    Close,
}

/// What is due about a peer with a connection.
pub fn duty(now: Millis, its: Use) -> Duty {
    let rested = now.saturating_sub(its.used);
    match () {
        () if its.is_standing || its.calls != 0 || rested <= LINGER_MS => Duty::Ask,
        () if rested < KEEP_MS => Duty::Rest,
        () => Duty::Close,
    }
}

/// Whether a peer that is used now was used so long ago that it was not asked any more.
pub fn has_rested(now: Millis, used: Millis) -> bool {
    LINGER_MS < now.saturating_sub(used)
}
