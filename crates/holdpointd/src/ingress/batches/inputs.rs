//! Inputs shared by items that were requested together.

use std::sync::atomic::{AtomicUsize, Ordering};

use holdpoint_core::{confinement::Within, ids::Name, quarantine::Fingerprint};
use parking_lot::Mutex;

use crate::ingress::{piece_ask::PieceAsk, shared::IngressShared};

/// State shared by items that were requested together.
#[derive(Debug)]
pub(super) struct GroupInputs {
    /// Number of items whose target has not fetched the inputs yet.
    pub(super) unfetched: AtomicUsize,
    releasable: Mutex<Vec<(Name, String)>>,
    /// Bounds that their request is confined to.
    pub(super) within: Within,
    /// Fingerprint of their request.
    pub(super) fingerprint: Option<Fingerprint>,
}

impl GroupInputs {
    pub(super) fn new(requests: &mut [PieceAsk], within: Within) -> GroupInputs {
        let fingerprint = requests.first().and_then(|it| it.fingerprint);
        let releasable = requests.first_mut().map(|it| std::mem::take(&mut it.releasable));
        GroupInputs {
            fingerprint,
            unfetched: AtomicUsize::new(requests.len()),
            releasable: Mutex::new(releasable.unwrap_or_default()),
            within,
        }
    }

    /// Counts an item whose target has fetched the inputs, and releases them after the last one.
    pub(super) fn record_fetched(&self, shared: &IngressShared) {
        if self.unfetched.fetch_sub(1, Ordering::AcqRel) != 1 {
            return;
        }
        let releasable = std::mem::take(&mut *self.releasable.lock());
        let release = |(service, handle): (Name, String)| {
            shared.releases.release(&service, handle);
        };
        releasable.into_iter().for_each(release);
    }
}
