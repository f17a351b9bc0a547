//! Inputs that pieces which were asked for together have in common.

use std::sync::atomic::{AtomicUsize, Ordering};

use holdpoint_core::{confinement::Within, ids::Name, quarantine::Fingerprint};
use parking_lot::Mutex;

use crate::ingress::{piece_ask::PieceAsk, shared::IngressShared};

/// Inputs of pieces that were asked for together.
#[derive(Debug)]
pub(super) struct GroupInputs {
    /// Pieces whose target has not fetched its inputs yet.
    pub(super) unfetched: AtomicUsize,
    used_up: Mutex<Vec<(Name, String)>>,
    /// What their request is confined to.
    pub(super) within: Within,
    /// Their request.
    pub(super) fingerprint: Option<Fingerprint>,
}

impl GroupInputs {
    pub(super) fn new(asks: &mut [PieceAsk], within: Within) -> GroupInputs {
        let fingerprint = asks.first().and_then(|it| it.fingerprint);
        let used_up = asks.first_mut().map(|it| std::mem::take(&mut it.used_up));
        GroupInputs {
            fingerprint,
            unfetched: AtomicUsize::new(asks.len()),
            used_up: Mutex::new(used_up.unwrap_or_default()),
            within,
        }
    }

    /// Counts a piece whose target has its inputs, and gives the inputs up if it was the last one.
    pub(super) fn fetched(&self, shared: &IngressShared) {
        if self.unfetched.fetch_sub(1, Ordering::AcqRel) != 1 {
            return;
        }
        let used_up = std::mem::take(&mut *self.used_up.lock());
        let release = |(service, handle): (Name, String)| {
            shared.releases.release(&service, handle);
        };
        used_up.into_iter().for_each(release);
    }
}
