//! How long callers' connections may have waited to be accepted.
//!
//! The kernel completes connections, and takes in their requests, also while this process does not run. No safe interface
//! tells when a connection was made, but each turn of the event loop accepts all that wait, so that one accepted now was
//! made after an earlier turn.

use std::time::Duration;

use holdpoint_platform::Instant;

/// Shortest time between two turns that count apart: a timer that was late fires several times in one turn.
const TURN_TIME: Duration = Duration::from_millis(20);

/// The last two turns of the event loop.
#[derive(Debug)]
pub(crate) struct Turns {
    previous: Instant,
    last: Instant,
}

impl Turns {
    /// Starts with a turn at present.
    pub(crate) fn new() -> Turns {
        let now = Instant::now();
        Turns { previous: now, last: now }
    }

    /// Records that the event loop has turned.
    pub(crate) fn record(&mut self) {
        if TURN_TIME <= self.last.elapsed() {
            self.previous = self.last;
            self.last = Instant::now();
        }
    }

    /// Longest time that a connection which is accepted now may have waited. The last turn may be the present one.
    pub(crate) fn longest_wait(&self) -> Duration {
        self.previous.elapsed()
    }
}
