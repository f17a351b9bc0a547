//! Retry times for work whose targets have asked this instance to back off.

use std::time::Duration;

use holdpoint_core::ids::Millis;

/// Fraction of a backoff over which the retries of refused requests are spread.
const RETRY_SPREAD: f64 = 0.5;
/// Shortest time over which these retries are spread.
const MIN_SPREAD_MS: Millis = 250;
/// Time over which requests that waited for the end of a backoff are spread.
const WAIT_SPREAD_MS: Millis = 100;

/// Retry-After of a refused request, in milliseconds, where the first backoff ends in `soonest`. Randomised, so
/// that the end of a backoff causes no burst.
pub(crate) fn return_ms(soonest: Millis) -> Millis {
    let spread = ((soonest as f64 * RETRY_SPREAD) as Millis).max(MIN_SPREAD_MS);
    soonest + rand::random_range(0..=spread)
}

/// How long a request waits for the end of a backoff; `None` where that exceeds the wait that it allows.
pub(crate) fn wait(soonest: Millis, max_wait: Millis) -> Option<Duration> {
    let wait = soonest + rand::random_range(0..=WAIT_SPREAD_MS);
    (wait <= max_wait).then(|| Duration::from_millis(wait))
}
