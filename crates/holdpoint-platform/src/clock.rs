//! The one clock of the project, in milliseconds.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use holdpoint_core::ids::Millis;

use crate::Instant;

/// Tells the time, in milliseconds since the Unix epoch; it never goes back.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    /// Wall-clock time at start, then the clock that goes on in a suspension.
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
    /// Makes a clock that follows the system's.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = Millis::try_from(wall.as_millis()).unwrap_or(Millis::MAX);
        Clock { source: Source::System { start, since: Instant::now() } }
    }

    /// Makes a clock that stands at `start` until it is advanced.
    pub fn with_manual(start: Millis) -> Clock {
        Clock { source: Source::Manual(Arc::new(AtomicU64::new(start))) }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        match &self.source {
            Source::System { start, since } => start + since.elapsed().as_millis() as Millis,
            Source::Manual(now) => now.load(Ordering::Acquire),
        }
    }

    /// Advances a manual clock; a system clock takes no notice.
    pub fn advance(&self, ms: Millis) {
        if let Source::Manual(now) = &self.source {
            now.fetch_add(ms, Ordering::AcqRel);
        }
    }
}
