//! Group commit: one append carries all entries that arrived while the previous one was in
//! progress.

use crate::ids::Millis;

/// Collects entries for one stream and decides when to append them.
#[derive(Debug)]
pub struct Batcher<T> {
    interval_ms: Millis,
    max_entries: usize,
    waiting: Vec<T>,
    in_flight: bool,
    last_start: Option<Millis>,
}

impl<T> Batcher<T> {
    /// Creates a batcher whose appends start at least `interval_ms` apart and carry at most
    /// `max_entries` entries.
    pub fn new(interval_ms: Millis, max_entries: usize) -> Batcher<T> {
        Batcher {
            interval_ms,
            max_entries: max_entries.max(1),
            waiting: Vec::new(),
            in_flight: false,
            last_start: None,
        }
    }

    /// Minimum time between two appends to one of `streams` streams that share a rate limit, in
    /// milliseconds.
    pub fn interval(streams: u32, appends_per_second: u32) -> Millis {
        1000 * u64::from(streams) / u64::from(appends_per_second.max(1))
    }

    /// Adds an entry.
    pub fn push(&mut self, entry: T) {
        self.waiting.push(entry);
    }

    /// Number of waiting entries.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether no append is in progress.
    pub fn is_settled(&self) -> bool {
        !self.in_flight
    }

    /// When the next append may start; `None` while one is in progress or no entry waits.
    pub fn due(&self) -> Option<Millis> {
        if self.in_flight || self.waiting.is_empty() {
            return None;
        }
        Some(self.last_start.map_or(0, |it| it + self.interval_ms))
    }

    /// Takes the entries of the next append, if it is due.
    pub fn take(&mut self, now: Millis) -> Option<Vec<T>> {
        if now < self.due()? {
            return None;
        }
        self.in_flight = true;
        self.last_start = Some(now);
        let n = self.waiting.len().min(self.max_entries);
        Some(self.waiting.drain(..n).collect())
    }

    /// Records that the append in progress has completed.
    pub fn landed(&mut self) {
        self.in_flight = false;
    }
}
