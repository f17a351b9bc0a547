//! Queueing delay on the own link, from the round trips to many remote addresses.
//!
//! A single long round trip may be the fault of its remote address or of the path to it. If even the shortest of several
//! recent ones is far longer than usual, what they have in common delays them: the link or the processor of this instance.

use std::collections::HashMap;

/// Fewest round trips in a window from which its delay is known.
const MIN_COUNT: u32 = 3;
/// Most remotes that are remembered; beyond, all are measured anew, so that those that are gone take no memory.
const MAX_REMOTES: usize = 4096;
/// Growth of the usual round trip with each measurement, so that it follows a path that has become longer.
const DRIFT: f64 = 1.02;

/// Collects round trips.
#[derive(Clone, Debug, Default)]
pub struct QueueDelay {
    /// Usual round trip by remote, in milliseconds.
    usual: HashMap<String, f64>,
    /// Number of round trips in the current window, and the remote of the first one.
    count: u32,
    first: String,
    has_several: bool,
    /// Least delay of the window beyond the usual round trip, in milliseconds.
    least: f64,
}

impl QueueDelay {
    /// Records a round trip of this many milliseconds to a remote: a peer, or a failure domain.
    pub fn record(&mut self, remote: &str, ms: f64) {
        let delay = match self.usual.get_mut(remote) {
            Some(usual) => {
                *usual = ms.min(DRIFT * *usual);
                ms - *usual
            }
            None => {
                if MAX_REMOTES <= self.usual.len() {
                    self.usual.clear();
                }
                self.usual.insert(remote.to_owned(), ms);
                0.0
            }
        };
        if self.count == 0 {
            (self.first, self.least, self.has_several) = (remote.to_owned(), delay, false);
        }
        self.has_several |= self.first != remote;
        self.least = self.least.min(delay);
        self.count += 1;
    }

    /// Ends the window and returns its delay in milliseconds, once it has enough round trips to several remotes.
    pub fn take(&mut self) -> Option<f64> {
        if self.count < MIN_COUNT || !self.has_several {
            return None;
        }
        self.count = 0;
        Some(self.least)
    }

    /// Ends the window without a delay.
    pub fn discard(&mut self) {
        self.count = 0;
    }
}
