//! When the list of targets was read, and which entries may have lapsed meanwhile.

use std::sync::atomic::Ordering;

use holdpoint_core::{directory::TargetId, ids::Millis};

use super::{FRESH, IngressShared};

impl IngressShared {
    /// Counts a read of the list of targets, made so long ago.
    pub(crate) fn targets_were_read(&self, age_ms: Millis) {
        let read = self.clock.now().saturating_sub(age_ms);
        if self.targets_read.fetch_max(read, Ordering::AcqRel) == 0 {
            self.has_news.send_replace(());
        }
    }

    /// Waits until the list of targets has been read for the first time, by this instance or the one
    /// that it follows.
    pub(crate) async fn first_read(&self) {
        let mut has_news = self.has_news.subscribe();
        while self.targets_read.load(Ordering::Acquire) == 0 {
            // The sender lives as long as the instance.
            let _ = has_news.changed().await;
        }
    }

    /// Counts a read of the list by this instance itself, begun at a time, or one that failed.
    pub(crate) fn note_own_read(&self, begun: Option<Millis>) {
        match begun {
            Some(it) if self.steady_since.load(Ordering::Acquire) == 0 => {
                self.steady_since.store(it.max(1), Ordering::Release);
            }
            Some(_) => (),
            None => self.steady_since.store(0, Ordering::Release),
        }
    }

    /// For how long this instance's reads of the list have not failed, in milliseconds.
    pub(crate) fn steady_ms(&self) -> Option<Millis> {
        let since = self.steady_since.load(Ordering::Acquire);
        (since != 0).then(|| self.clock.now().saturating_sub(since))
    }

    /// Takes in that entries are missing that may have lapsed since the list was last read.
    pub(crate) fn note_lapses(&self) {
        let read = self.targets_read.load(Ordering::Acquire);
        self.lapses_since.store(read, Ordering::Release);
        self.lapses_found.notify_one();
    }

    /// Targets whose entries may have lapsed, and the span in which they did, in milliseconds.
    pub(crate) fn lapses(&self) -> (Vec<TargetId>, Millis) {
        let lapsed = self.directory.lock().lapsed().cloned().collect();
        let since = self.lapses_since.load(Ordering::Acquire);
        (lapsed, self.clock.now().saturating_sub(since))
    }

    /// How long ago the list of targets was read from the store, by this instance or the one that
    /// it follows, in milliseconds; `None` where that is too long ago to rely on it.
    pub(crate) fn fresh_age(&self) -> Option<Millis> {
        let read = self.targets_read.load(Ordering::Acquire);
        let age = self.clock.now().saturating_sub(read);
        (read != 0 && age < FRESH.as_millis() as Millis).then_some(age)
    }
}
