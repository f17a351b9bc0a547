//! Makes sure that the configuration in force is the newest one before a request is denied by it.
//!
//! A request on a route, or with a key, that was added a moment ago is refused for good by an instance
//! that has not heard of it. One that has heard of late that there is nothing newer denies at once; any
//! other asks a peer that has read the store, or the store, once for all requests that wait.

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

/// How long a confirmation counts, in milliseconds: followers are told every 400 ms, so that a usual
/// denial costs no call.
const CONFIRMED_MS: Millis = 1000;
/// How long a request that would be denied waits for one at most: two peers and the store, at the
/// distance of another region.
const LIMIT: Duration = Duration::from_millis(1000);

/// When the configuration in force was last known to be the newest one.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// In milliseconds; 0 is never.
    at: AtomicU64,
    /// When somebody began to ask last, whatever came of it, in milliseconds.
    tried: AtomicU64,
    /// Held while somebody asks.
    asking: tokio::sync::Mutex<()>,
}

impl Confirmation {
    /// Takes in that the configuration in force was the newest one at a time.
    pub(crate) fn note(&self, at: Millis) {
        self.at.fetch_max(at, Ordering::AcqRel);
    }

    fn is_since(&self, at: Millis) -> bool {
        let confirmed = self.at.load(Ordering::Acquire);
        confirmed != 0 && at <= confirmed
    }
}

/// Waits until the configuration in force is known to be the newest one, or was replaced by it; `false`
/// where nobody could be asked in time.
pub(crate) async fn confirm(shared: &Arc<IngressShared>) -> bool {
    let confirmation = &shared.confirmation;
    let now = shared.clock.now();
    if confirmation.is_since(now.saturating_sub(CONFIRMED_MS).max(1)) {
        return true;
    }
    let asked = async {
        let _one = confirmation.asking.lock().await;
        if confirmation.tried.load(Ordering::Acquire) < now.max(1) {
            confirmation.tried.store(shared.clock.now().max(1), Ordering::Release);
            ask(shared).await;
        }
    };
    // Whoever waited finds out by itself whether that was enough.
    let _ = tokio::time::timeout(LIMIT, asked).await;
    confirmation.is_since(now.saturating_sub(CONFIRMED_MS).max(1))
}

/// Asks peers that follow the store or read it, then the store itself.
async fn ask(shared: &Arc<IngressShared>) {
    let begun = shared.clock.now();
    if follow::confirm_configuration(shared).await {
        shared.confirmation.note(begun);
        return;
    }
    watch::read_configuration(shared).await;
    if !shared.confirmation.is_since(begun.max(1)) {
        let detail = format!("version={}", shared.configuration().version);
        emit(events::UNCONFIRMED, &shared.settings.instance, &detail);
    }
}
