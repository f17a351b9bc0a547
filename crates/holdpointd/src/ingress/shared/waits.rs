//! What requests wait for: a point in time, the first state, and the end of a stop.

use std::time::Duration;

use holdpoint_platform::Instant;

use super::{IngressShared, START_TIMEOUT};
use crate::events::{self, emit};

impl IngressShared {
    /// Handles the end of a suspension of the machine.
    pub(crate) fn handle_resume(&self, suspended: Duration) {
        let detail = format!("suspended_ms={}", suspended.as_millis());
        emit(events::SUSPENDED, &self.settings.instance, &detail);
        self.resumed.send_replace(());
        // A pending long poll may return data as old as the suspension.
        self.store_lost.notify_waiters();
    }

    /// Waits until a point in time. Timers do not advance during a suspension, so the remaining time is computed
    /// again after one.
    pub(crate) async fn wait_until(&self, at: Instant) {
        let mut resumed = self.resumed.subscribe();
        loop {
            let left = at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            // The sender lives as long as the instance.
            let _ = tokio::time::timeout(left, resumed.changed()).await;
        }
    }

    /// Waits until pending requests must get a final response because the stop is near.
    pub(crate) async fn wait_for_final_answers(&self) {
        let mut answer_now = self.answer_now.subscribe();
        // The sender lives as long as the instance.
        let _ = answer_now.wait_for(|it| *it).await;
    }

    /// Waits until the time of a stop is over and answers that are still forwarded must be broken off.
    pub(crate) async fn wait_for_break_off(&self) {
        let mut break_off_now = self.break_off_now.subscribe();
        // The sender lives as long as the instance.
        let _ = break_off_now.wait_for(|it| *it).await;
    }

    /// Waits until a configuration and targets are known, for at most `START_TIMEOUT` after the start.
    pub(crate) async fn wait_until_started(&self) {
        let mut has_news = self.updated.subscribe();
        let is_started = async { while !self.has_started() && has_news.changed().await.is_ok() {} };
        let left = START_TIMEOUT.saturating_sub(self.started_at.elapsed());
        // The caller checks for itself whether it can go on.
        let _ = tokio::time::timeout(left, is_started).await;
    }
}
