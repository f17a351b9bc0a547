//! How many requests a version may get that is not known to be good.
//!
//! The driver hands out permits, as a number of requests in all that a life of an instance may send,
//! against the requests that have truly reached the service by what all instances have told. A permit
//! counts as spent from when it is given, so that lost messages, killed or cut-off instances leave
//! permits unused and never spend one twice.

/// Part of the bound's share that is given out while the version is judged; the rest is for full load,
/// and for permits of a driver that is gone.
const AIM: f64 = 0.5;
/// Part of the slack that is given out at once, so that judging begins with the first requests.
const START_PART: f64 = 0.05;
/// Part of the requests of other routes that may spend a permit while answers from some routes are
/// wanted: with it, none of 100 good versions was left unjudged in 12 s for want of answers from a route
/// that has a fifth of the requests, without it 8 were.
const OTHERS_PART: f64 = 0.25;

/// The bound on the requests that a version may get which is not known to be good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Part of all requests that reach the service, from 0 to 1.
    pub share: f64,
    /// Requests beside that part.
    pub slack: f64,
}

impl Bound {
    /// Requests that a version may get of so many that reach the service.
    pub fn limit(&self, reached: u64) -> f64 {
        self.share * reached as f64 + self.slack
    }

    /// Requests for which permits are given out while the version is judged.
    pub fn judged(&self, reached: u64) -> f64 {
        AIM * self.share * reached as f64 + START_PART * self.slack
    }
}

/// What one instance has sent to a service since it saw an order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    /// Requests sent to the service, whichever the version.
    pub reached: u64,
    /// Requests sent to the new version.
    pub exposed: u64,
}

/// How many targets of a version get its part of the requests while it is not known to be good: so few
/// that each has the load of an old one, since a version may be bad under load only.
pub fn canary_targets(bound: &Bound, old: usize, new: usize) -> usize {
    let like_old = (AIM * bound.share * old as f64) as usize;
    like_old.clamp(1, new.max(1))
}

/// Whether a request of a route may spend a permit, where answers from some routes are wanted most;
/// `draw` is from 0 to 1 and even.
pub fn is_wanted(wanted: &[String], route: &str, draw: f64) -> bool {
    wanted.is_empty() || wanted.iter().any(|it| it == route) || draw < OTHERS_PART
}
