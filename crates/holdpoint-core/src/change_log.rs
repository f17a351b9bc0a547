//! A bounded log of changes, for those who follow them.

use std::collections::VecDeque;

/// Position in a [`ChangeLog`]: the number of changes before it.
pub type Revision = u64;

/// The newest changes of something, numbered from 0.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    kept: VecDeque<T>,
    end: Revision,
    most: usize,
}

impl<T: Clone> ChangeLog<T> {
    /// Makes an empty log that keeps at most so many changes.
    pub fn new(most: usize) -> ChangeLog<T> {
        ChangeLog { kept: VecDeque::new(), end: 0, most }
    }

    /// Adds a change.
    pub fn push(&mut self, change: T) {
        if self.kept.len() == self.most {
            self.kept.pop_front();
        }
        self.kept.push_back(change);
        self.end += 1;
    }

    /// Position after the newest change.
    pub fn end(&self) -> Revision {
        self.end
    }

    /// Changes from a position on; `None` where some of them are no longer kept, or where the
    /// position is not one of this log's.
    pub fn since(&self, from: Revision) -> Option<Vec<T>> {
        let behind = usize::try_from(self.end.checked_sub(from)?).ok()?;
        let skipped = self.kept.len().checked_sub(behind)?;
        Some(self.kept.iter().skip(skipped).cloned().collect())
    }
}
