//! When work comes back whose targets have asked this instance to back off.

use std::time::Duration;

use holdpoint_core::ids::Millis;

/// Part of a back-off over which those come back who were refused.
const RETURN_SPREAD: f64 = 0.5;
/// The shortest such time, in milliseconds.
const LEAST_SPREAD_MS: Millis = 250;
/// Time over which requests go on that have waited for the end of a back-off, in milliseconds.
const WAIT_SPREAD_MS: Millis = 100;

/// When a request may come back that is refused, in milliseconds, where the first target takes some again in
/// `soonest`: spread out, so that the end of a back-off brings no burst.
pub(crate) fn return_ms(soonest: Millis) -> Millis {
    let spread = ((soonest as f64 * RETURN_SPREAD) as Millis).max(LEAST_SPREAD_MS);
    soonest + rand::random_range(0..=spread)
}

/// How long a request waits for the end of a back-off, where it has the time.
pub(crate) fn wait(soonest: Millis, patience: Millis) -> Option<Duration> {
    let wait = soonest + rand::random_range(0..=WAIT_SPREAD_MS);
    (wait <= patience).then(|| Duration::from_millis(wait))
}
