//! A bounded log of changes, from which followers read those that they lack.

use std::collections::VecDeque;

/// Position in a [`ChangeLog`]: the number of changes before it.
pub type Revision = u64;

/// The newest changes, numbered from 0.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    changes: VecDeque<T>,
    end: Revision,
    capacity: usize,
}

impl<T: Clone> ChangeLog<T> {
    /// Makes an empty log that keeps at most `capacity` changes.
    pub fn new(capacity: usize) -> ChangeLog<T> {
        ChangeLog { changes: VecDeque::new(), end: 0, capacity }
    }

    /// Appends a change; evicts the oldest one if the log is full.
    pub fn push(&mut self, change: T) {
        if self.changes.len() == self.capacity {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.end += 1;
    }

    /// Position after the newest change.
    pub fn end(&self) -> Revision {
        self.end
    }

    /// Changes from a position on; `None` if some of them were evicted, or if the position is beyond
    /// the end.
    pub fn since(&self, from: Revision) -> Option<Vec<T>> {
        let behind = usize::try_from(self.end.checked_sub(from)?).ok()?;
        let skipped = self.changes.len().checked_sub(behind)?;
        Some(self.changes.iter().skip(skipped).cloned().collect())
    }
}
