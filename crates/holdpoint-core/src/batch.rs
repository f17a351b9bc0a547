//! Group commit: one append carries every entry that waited while the last one was under way.

use crate::ids::Millis;

/// Gathers entries for one stream and says when to append them.
#[derive(Debug)]
pub struct Batcher<T> {
    interval_ms: Millis,
    most: usize,
    waiting: Vec<T>,
    in_flight: bool,
    last: Option<Millis>,
}

impl<T> Batcher<T> {
    /// Makes a batcher whose appends lie at least `interval_ms` apart and carry at most `most`
    /// entries.
    pub fn new(interval_ms: Millis, most: usize) -> Batcher<T> {
        Batcher {
            interval_ms,
            most: most.max(1),
            waiting: Vec::new(),
            in_flight: false,
            last: None,
        }
    }

    /// Least time between two appends to one of `streams` streams that share a rate.
    pub fn interval(streams: u32, appends_per_second: u32) -> Millis {
        1000 * u64::from(streams) / u64::from(appends_per_second.max(1))
    }

    /// Adds an entry.
    pub fn push(&mut self, entry: T) {
        self.waiting.push(entry);
    }

    /// Number of entries that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether no append is under way.
    pub fn is_settled(&self) -> bool {
        !self.in_flight
    }

    /// When the next append may start; `None` while one is under way or nothing waits.
    pub fn due(&self) -> Option<Millis> {
        if self.in_flight || self.waiting.is_empty() {
            return None;
        }
        Some(self.last.map_or(0, |it| it + self.interval_ms))
    }

    /// Takes the entries of the next append where it is due.
    pub fn take(&mut self, now: Millis) -> Option<Vec<T>> {
        if now < self.due()? {
            return None;
        }
        self.in_flight = true;
        self.last = Some(now);
        let n = self.waiting.len().min(self.most);
        Some(self.waiting.drain(..n).collect())
    }

    /// Ends the append under way, which has landed.
    pub fn landed(&mut self) {
        self.in_flight = false;
    }
}
