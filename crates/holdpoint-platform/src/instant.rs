//! Monotonic points in time that include the time a machine is suspended.

use std::{
    ops::{Add, AddAssign, Sub},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// Duration of the suspensions that tests have simulated, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// A point in time like that of the standard library, but advancing while the machine is suspended:
/// cached data ages and callers wait during a suspension. Timers do not advance then, so code that
/// waits for a point in time must check again after the machine resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// Current time.
    pub fn now() -> Instant {
        let now = clock_gettime(ClockId::Boottime);
        let since = Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32);
        Instant(since + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed)))
    }

    /// Time elapsed since this instant; zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Instant::now() - self
    }

    /// Time elapsed since `earlier`; zero if that is later.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Simulates a suspension for the whole process, for tests. The standard library's clock and
    /// timers are not affected.
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
