//! Tracks when the list of targets was read, and the entries that may have lapsed since.

use std::{sync::atomic::Ordering, time::Duration};

use holdpoint_core::{directory::TargetId, ids::Millis};
use tokio::time::timeout;

use super::{IngressShared, MAX_READ_AGE};

impl IngressShared {
    /// Records a read of the list of targets that was made `age_ms` ago.
    pub(crate) fn targets_were_read(&self, age_ms: Millis) {
        let read = self.clock.now().saturating_sub(age_ms);
        if self.targets_read.fetch_max(read, Ordering::AcqRel) == 0 {
            self.updated.send_replace(());
        }
    }

    /// Waits until the list of targets has been read for the first time, by this instance or the one
    /// that it follows.
    pub(crate) async fn first_read(&self) {
        let mut has_news = self.updated.subscribe();
        while self.targets_read.load(Ordering::Acquire) == 0 {
            // The sender lives as long as the instance.
            let _ = has_news.changed().await;
        }
    }

    /// Records when a successful read of the list by this instance began; `None` for a failed read or a pause.
    pub(crate) fn record_own_read(&self, begun: Option<Millis>) {
        match begun {
            Some(it) if self.steady_since.load(Ordering::Acquire) == 0 => {
                self.steady_since.store(it.max(1), Ordering::Release);
            }
            Some(_) => (),
            None => self.steady_since.store(0, Ordering::Release),
        }
    }

    /// Has the list of targets read now, and waits until a read that began after this call has been applied. Returns
    /// `false` if this instance does not read the store, or gets no answer in time.
    pub(crate) async fn read_now(&self, limit: Duration) -> bool {
        if !*self.reading.borrow() {
            return false;
        }
        let mut applied = self.read_applied.subscribe();
        let begun = self.reads_begun.load(Ordering::Acquire);
        self.read_wanted.notify_one();
        let read = applied.wait_for(|it| begun < *it);
        timeout(limit, read).await.is_ok_and(|it| it.is_ok())
    }

    /// Numbers a read of the list of targets that begins now.
    pub(crate) fn begin_read(&self) -> u64 {
        self.reads_begun.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Records that a read of the list has been applied, after which the list is complete.
    pub(crate) fn record_applied(&self, number: u64) {
        self.read_applied.send_replace(number);
    }

    /// For how long this instance has read the list without a failure, in milliseconds.
    pub(crate) fn steady_ms(&self) -> Option<Millis> {
        let since = self.steady_since.load(Ordering::Acquire);
        (since != 0).then(|| self.clock.now().saturating_sub(since))
    }

    /// Records that entries are missing that may have lapsed since the last read of the list.
    pub(crate) fn record_lapses(&self) {
        let read = self.targets_read.load(Ordering::Acquire);
        self.lapses_since.store(read, Ordering::Release);
        self.lapses_found.notify_one();
    }

    /// Targets whose entries may have lapsed, and the time since the last read before that, in milliseconds.
    pub(crate) fn lapses(&self) -> (Vec<TargetId>, Millis) {
        let lapsed = self.directory.lock().lapsed().cloned().collect();
        let since = self.lapses_since.load(Ordering::Acquire);
        (lapsed, self.clock.now().saturating_sub(since))
    }

    /// Age of the last read of the list of targets from the store, by this instance or the one that it
    /// follows, in milliseconds; `None` if it is too old to rely on.
    pub(crate) fn fresh_age(&self) -> Option<Millis> {
        let read = self.targets_read.load(Ordering::Acquire);
        let age = self.clock.now().saturating_sub(read);
        (read != 0 && age < MAX_READ_AGE.as_millis() as Millis).then_some(age)
    }
}
