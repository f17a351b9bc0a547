//! Points in time that count suspensions.

use std::{
    ops::{Add, AddAssign, Sub},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds that tests let pass as a suspension does.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// A point in time, as the one of the standard library, that goes on while the machine is suspended:
/// what was read before has grown old meanwhile, and callers have waited. Timers do not count a
/// suspension, so whoever waits for a point in time looks again once the machine is awake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The time now.
    pub fn now() -> Instant {
        let now = clock_gettime(ClockId::Boottime);
        let since = Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32);
        Instant(since + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed)))
    }

    /// Time since then; nothing where it lies ahead.
    pub fn elapsed(self) -> Duration {
        Instant::now() - self
    }

    /// Time since an earlier one; nothing where that is later.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Lets time pass for the whole process as a suspension does, for tests: the steady clock and its
    /// timers take no notice.
    #[doc(hidden)]
    pub fn suspend(time: Duration) {
        SUSPENDED_MS.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, time: Duration) -> Instant {
        Instant(self.0 + time)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, time: Duration) {
        self.0 += time;
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, time: Duration) -> Instant {
        Instant(self.0.saturating_sub(time))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.saturating_duration_since(earlier)
    }
}
