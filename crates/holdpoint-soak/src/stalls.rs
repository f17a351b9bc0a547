//! When the soak itself did not run, so that its callers saw ends late.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::time::{Instant, sleep_until};

use crate::{Millis, fleet::Clock};

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest stall that is recorded.
const MIN_STALL: Duration = Duration::from_millis(5);

/// Time spans in which the soak did not run.
pub(crate) type Stalls = Arc<Mutex<Vec<RangeInclusive<Millis>>>>;

/// Records stalls until the task is dropped.
pub(crate) async fn record(clock: Clock, stalls: Stalls) {
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        sleep_until(due).await;
        if MIN_STALL <= due.elapsed() {
            stalls.lock().push(clock.at(due.into_std())..=clock.now());
        }
    }
}
