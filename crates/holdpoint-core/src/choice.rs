//! Inputs and outputs of routing: members of a pool, calls and decisions.

use holdpoint_schema::resources::Route;

use crate::{
    cold::Share,
    confinement::Bounds,
    ids::{Millis, Name},
};

/// A target of a pool, from the pool's configuration and the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Whether it is draining, by any drain notice.
    pub leaving: bool,
    /// Whether it gets no calls because its failure domain is evacuated. Its learned state is kept.
    pub held: bool,
}

/// Load as a target reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that are running.
    pub running: u32,
    /// Calls that are queued.
    pub waiting: u32,
    /// Current time per unit of work in percent of the usual time, if reported.
    pub pace_percent: Option<u32>,
}

/// A call to route.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Expected work, in a unit shared by all calls of the pool.
    pub work: f64,
    /// Part of the work that a cached prefix saves.
    pub prefix_work: f64,
    /// Hash of the prompt's prefix, where the target caches prefixes.
    pub prefix: Option<u64>,
    /// Addresses of the targets already tried for this call.
    pub tried: &'a [String],
    /// Upper bound of this instance's calls in flight to one target.
    pub cap: u32,
    /// Share of a cold target's rate available to this decision.
    pub share: Share,
    /// Bytes that the target fetches before it starts, with the failure domain that stores them.
    pub inputs: &'a [(Name, u64)],
    /// Whether this instance sends the call itself, rather than a peer for which it chooses.
    pub is_own: bool,
    /// Bounds of its targets, if its request is confined to regions.
    pub within: Option<&'a Bounds>,
}

impl Call<'_> {
    /// Bytes fetched from other failure domains if a target in `domain` serves the call.
    pub fn moved_bytes(&self, domain: &str) -> u64 {
        self.inputs.iter().filter(|it| it.0 != domain).map(|it| it.1).sum()
    }
}

/// Explains why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reason {
    /// Route that chose it.
    pub route: Route,
    /// Number of targets compared.
    pub compared: usize,
    /// Number of targets left out as ejected.
    pub ejected: usize,
    /// Predicted time of the call at the target, in milliseconds; 0 for routes without prediction.
    pub predicted: f64,
    /// Whether the prompt's prefix was expected in the target's cache.
    pub prefix_hit: bool,
}

/// A routing decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Address of the target.
    pub address: String,
    /// Why.
    pub reason: Reason,
}

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// The pool has no target, or only draining ones.
    Empty,
    /// Every target was tried for this call.
    Tried,
    /// Every target has reached the cap on calls in flight.
    Full,
    /// The failure domain of every target is evacuated.
    Evacuated,
    /// The call is confined to regions without a target.
    Confined,
    /// Every target has reached its rate limit; the shortest wait, in milliseconds.
    Limited(Millis),
    /// Every target has asked this instance to back off; the shortest wait, in milliseconds.
    BackingOff(Millis),
    /// Every target is cold and has reached its rate; the shortest wait, in milliseconds.
    Cold(Millis),
}

/// Outcome of a call at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// Complete response after this time, in milliseconds.
    Whole(Millis),
    /// Failure of the target.
    Failed,
    /// Cancelled here, through no fault of the target.
    Dropped,
}
