//! Bounds the number of requests that an unproven version receives.
//!
//! The driver of a roll-out grants each incarnation of an instance a quota: the total number of requests
//! that it may send to the version. The sum of quotas is bounded by the requests that instances report
//! as having reached the service. A permit counts as spent once granted, so lost messages and crashed or
//! partitioned instances leave permits unused and never spend one twice.

/// Fraction of the bound's share that is granted while the version is judged. The rest is reserved for
/// full load and for permits granted by an earlier driver.
const JUDGED_SHARE: f64 = 0.5;
/// Fraction of the slack that is granted at once, so that judging starts with the first requests.
const INITIAL_SLACK_SHARE: f64 = 0.05;
/// Fraction of requests on other routes that may spend a permit while some routes need more answers.
/// Without it, busy routes use up the permits that a rarely used route needs to be judged in time: with a route
/// that has a fifth of the requests, 8 of 100 good versions were left unjudged after 12 s, and none with it.
const OTHER_ROUTES_RATE: f64 = 0.25;

/// The bound on the requests that an unproven version may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Fraction of all requests that reach the service, from 0 to 1.
    pub share: f64,
    /// Requests allowed in addition to that fraction.
    pub slack: f64,
}

impl Bound {
    /// The number of requests that a version may receive when `reached` have reached the service.
    pub fn limit(&self, reached: u64) -> f64 {
        self.share * reached as f64 + self.slack
    }

    /// The number of permits granted while the version is judged.
    pub fn canary_limit(&self, reached: u64) -> f64 {
        JUDGED_SHARE * self.share * reached as f64 + INITIAL_SLACK_SHARE * self.slack
    }
}

/// Requests that one instance has sent to a service since it saw an order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    /// Requests sent to the service, whichever the version.
    pub reached: u64,
    /// Requests sent to the new version.
    pub exposed: u64,
}

/// The number of targets that receive an unproven version's requests. It is kept small enough for each
/// to have the load of an old target, since a version may fail under load only.
pub fn canary_targets(bound: &Bound, old: usize, new: usize) -> usize {
    let count = (JUDGED_SHARE * bound.share * old as f64) as usize;
    count.clamp(1, new.max(1))
}

/// Whether a request on `route` may spend a permit while more answers are needed from the `wanted`
/// routes; `draw` is uniform in 0 to 1.
pub fn may_spend_permit(wanted: &[String], route: &str, draw: f64) -> bool {
    wanted.is_empty() || wanted.iter().any(|it| it == route) || draw < OTHER_ROUTES_RATE
}
