//! Clock of all components, in milliseconds; can be advanced by hand in tests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use holdpoint_core::ids::Millis;

use crate::Instant;

/// Monotonic clock, in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    /// Wall-clock time at start plus the time elapsed since, suspensions included.
    System {
        start: Millis,
        since: Instant,
    },
    Manual(Arc<AtomicU64>),
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// Creates a clock that starts at the system's wall-clock time.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = Millis::try_from(wall.as_millis()).unwrap_or(Millis::MAX);
        Clock { source: Source::System { start, since: Instant::now() } }
    }

    /// Creates a clock that stays at `start` until it is advanced.
    pub fn with_manual(start: Millis) -> Clock {
        Clock { source: Source::Manual(Arc::new(AtomicU64::new(start))) }
    }

    /// Current time.
    pub fn now(&self) -> Millis {
        match &self.source {
            Source::System { start, since } => start + since.elapsed().as_millis() as Millis,
            Source::Manual(now) => now.load(Ordering::Acquire),
        }
    }

    /// Advances a manual clock; has no effect on a system clock.
    pub fn advance(&self, ms: Millis) {
        if let Source::Manual(now) = &self.source {
            now.fetch_add(ms, Ordering::AcqRel);
        }
    }
}
