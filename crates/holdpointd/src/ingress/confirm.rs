//! Confirms that the active configuration is the newest one before a request is denied by it.
//!
//! An instance with an outdated configuration would reject requests for a route or with a key that was
//! just added. An instance whose configuration was confirmed recently denies at once. Any other asks a
//! peer that has read the store, or the store itself; one query serves all waiting requests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use holdpoint_core::ids::Millis;

use crate::{
    events::{self, emit},
    ingress::{follow, shared::IngressShared, watch},
};

/// Validity of a confirmation. Longer than the interval of updates to followers, so that denials usually
/// need no query.
const VALIDITY_MS: Millis = 1000;
/// Longest wait of a request for a confirmation. Allows for queries to two peers and the store in another
/// region.
const TIMEOUT: Duration = Duration::from_millis(1000);

/// Time at which the active configuration was last confirmed as the newest one.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Milliseconds of the instance's clock; 0 is never.
    confirmed_at: AtomicU64,
    /// Start of the last query, successful or not, in milliseconds of the same clock.
    queried_at: AtomicU64,
    /// Held during a query, so that only one runs at a time.
    query_lock: tokio::sync::Mutex<()>,
}

impl Confirmation {
    /// Records that the active configuration was the newest one at `at`, in milliseconds of the clock.
    pub(crate) fn note(&self, at: Millis) {
        self.confirmed_at.fetch_max(at, Ordering::AcqRel);
    }

    fn is_confirmed_since(&self, at: Millis) -> bool {
        let confirmed = self.confirmed_at.load(Ordering::Acquire);
        confirmed != 0 && at <= confirmed
    }
}

/// Waits until the active configuration is confirmed as the newest one, or replaced by it. Returns `false`
/// if no peer or store answered in time.
pub(crate) async fn confirm(shared: &Arc<IngressShared>) -> bool {
    let confirmation = &shared.confirmation;
    let now = shared.clock.now();
    if confirmation.is_confirmed_since(now.saturating_sub(VALIDITY_MS).max(1)) {
        return true;
    }
    let queried = async {
        let _guard = confirmation.query_lock.lock().await;
        if confirmation.queried_at.load(Ordering::Acquire) < now.max(1) {
            confirmation.queried_at.store(shared.clock.now().max(1), Ordering::Release);
            query(shared).await;
        }
    };
    // Also after a timeout, another request's query may have confirmed it.
    let _ = tokio::time::timeout(TIMEOUT, queried).await;
    confirmation.is_confirmed_since(now.saturating_sub(VALIDITY_MS).max(1))
}

/// Asks peers that follow or read the store, then the store itself.
async fn query(shared: &Arc<IngressShared>) {
    let started_at = shared.clock.now();
    if follow::confirm_configuration(shared).await {
        shared.confirmation.note(started_at);
        return;
    }
    watch::read_configuration(shared).await;
    if !shared.confirmation.is_confirmed_since(started_at.max(1)) {
        let detail = format!("version={}", shared.configuration().version);
        emit(events::UNCONFIRMED, &shared.settings.instance, &detail);
    }
}
