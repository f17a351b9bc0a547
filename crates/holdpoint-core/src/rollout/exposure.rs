//! How many requests an instance may send to a version that is not known to be good.
//!
//! Each instance spends a share of the requests that it has itself sent to the service since it saw
//! the order, so the sum over all instances is under the share of what has reached the service at every
//! moment, without any message: cut off, killed or started instances change nothing in that. Beside the
//! share each begins with a part of a request, and all these parts together are under the slack; without
//! them, 86 instances with 2 requests a second each would send nothing for 10 s.

/// Part of the bound that is aimed for; the rest is for requests that are counted nowhere, as those of
/// instances that were killed, or sent before an instance knew the order.
const AIM: f64 = 0.5;
/// Part of the slack that the first parts of all instances come to at most.
const FIRST_PART: f64 = 0.9;

/// Part of the requests of other routes that may spend what is free while answers from some routes are
/// wanted: with it, none of 100 good versions was left unjudged in 12 s for want of answers from a route
/// that has a fifth of the requests, without it 8 were.
const OTHERS_PART: f64 = 0.25;

/// Whether a request of a route may spend what is free, where answers from some routes are wanted most;
/// `draw` is from 0 to 1 and even.
pub fn is_wanted(wanted: &[String], route: &str, draw: f64) -> bool {
    wanted.is_empty() || wanted.iter().any(|it| it == route) || draw < OTHERS_PART
}

/// The bound on the requests that a version may get which is not known to be good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Part of all requests that reach the service, from 0 to 1.
    pub share: f64,
    /// Requests beside that part.
    pub slack: f64,
}

impl Bound {
    /// The part of a request that the instance of a rank among so many begins with: spread evenly, so
    /// that they send their first ones one after the other.
    pub fn first_part(&self, rank: usize, instances: usize) -> f64 {
        let instances = instances.max(1) as f64;
        let widest = (2.0 * FIRST_PART * self.slack / instances).min(1.0);
        widest * (rank as f64 + 0.5).min(instances) / instances
    }

    /// Requests that a version may get of so many that reach the service.
    pub fn limit(&self, reached: u64) -> f64 {
        self.share * reached as f64 + self.slack
    }
}

/// What one instance has sent to a service since it saw an order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    first_part: f64,
    reached: u64,
    exposed: u64,
}

impl Exposure {
    /// Begins to count, with a part of a request. An instance that finds an order at its start has
    /// none: its former life may have spent it.
    pub fn new(first_part: f64) -> Exposure {
        Exposure { first_part, ..Exposure::default() }
    }

    /// Counts requests as sent to the service, whichever the version.
    pub fn reach(&mut self, count: u64) {
        self.reached += count;
    }

    /// How many requests may go to the new version now.
    pub fn free(&self, bound: &Bound) -> u64 {
        let earned = self.first_part + AIM * bound.share * self.reached as f64;
        (earned.floor() as u64).saturating_sub(self.exposed)
    }

    /// Spends as many, if they are free; whether they were.
    pub fn spend(&mut self, bound: &Bound, count: u64) -> bool {
        let is_free = count <= self.free(bound);
        self.exposed += if is_free { count } else { 0 };
        is_free
    }

    /// Counts requests as sent to the new version although nothing was free, as after a verdict.
    pub fn expose(&mut self, count: u64) {
        self.exposed += count;
    }

    /// Requests sent to the service.
    pub fn reached(&self) -> u64 {
        self.reached
    }

    /// Requests sent to the new version.
    pub fn exposed(&self) -> u64 {
        self.exposed
    }
}
