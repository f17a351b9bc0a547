//! What routing is asked and what it answers: targets as their pool gives them, calls, decisions.

use holdpoint_schema::resources::Route;

use crate::{
    cold::Share,
    confinement::Bounds,
    ids::{Millis, Name},
};

/// A target as the pool and the instance list give it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// IP number and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Whether any sign says that it is leaving.
    pub leaving: bool,
    /// Whether it gets no calls although it stays, since its failure domain is evacuated. What was
    /// learned of it is kept.
    pub held: bool,
}

/// Load as a target reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that it runs.
    pub running: u32,
    /// Calls that wait in its queue.
    pub waiting: u32,
    /// How long work takes there at this moment, in hundredths of the usual time, where it tells that.
    pub pace_percent: Option<u32>,
}

/// A call to route.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Work expected, in any unit that is the same for all calls of the pool.
    pub work: f64,
    /// Part of the work that a cached prefix saves.
    pub prefix_work: f64,
    /// Hash of the prompt's prefix, where the target caches prefixes.
    pub prefix: Option<u64>,
    /// Targets already tried for this call.
    pub tried: &'a [String],
    /// Calls in flight to one target that this instance allows itself.
    pub cap: u32,
    /// Part of what a cold target carries that this decision may draw on.
    pub share: Share,
    /// Bytes that the target fetches before it begins, by the failure domain that they lie in.
    pub inputs: &'a [(Name, u64)],
    /// Whether this instance sends the call itself, rather than a peer for which it chooses.
    pub is_own: bool,
    /// What its targets must be within, where its request is confined to regions.
    pub within: Option<&'a Bounds>,
}

impl Call<'_> {
    /// Bytes that come from other failure domains where a target of `domain` serves the call.
    pub fn moved_bytes(&self, domain: &str) -> u64 {
        self.inputs.iter().filter(|it| it.0 != domain).map(|it| it.1).sum()
    }
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reason {
    /// Route that chose it.
    pub route: Route,
    /// Targets that were compared.
    pub compared: usize,
    /// Targets that were left out as ejected.
    pub ejected: usize,
    /// Predicted time of the call at the target, in milliseconds; 0 for routes that predict none.
    pub predicted: f64,
    /// Whether the prompt's prefix was expected in the target's cache.
    pub prefix_hit: bool,
}

/// A decision.
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
    /// The pool has no target that is not leaving.
    Empty,
    /// Every target was tried for this call.
    Tried,
    /// Every target has as many calls in flight as it may.
    Full,
    /// Every target is held back, since its failure domain is evacuated.
    Evacuated,
    /// The call is confined to regions in which there is no target for it.
    Confined,
    /// Every target has got what it takes for so many milliseconds.
    Limited(Millis),
    /// Every target has asked this instance to back off, for so many milliseconds at least.
    BackingOff(Millis),
    /// Every target is cold and carries no more for so many milliseconds.
    Cold(Millis),
}

/// How a call at a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// A whole answer after this time, in milliseconds.
    Whole(Millis),
    /// A failure of the target.
    Failed,
    /// Given up here, for no fault of the target.
    Dropped,
}
