//! Evacuated failure domains, as this instance knows them. Applies changes to routing and batching and logs
//! them.

use std::sync::Arc;

use holdpoint_core::{
    epoch::Position,
    evacuation::{DomainChange, Evacuations, Order},
    ids::Millis,
};
use parking_lot::Mutex;

use crate::{
    events::{self, emit},
    ingress::{batches::start_all_calls, shared::IngressShared},
};

/// Least time for which targets of a restored domain are treated as cold. They may have become cold shortly
/// before, and the entries that report it arrive with a delay.
const MIN_COLD_MS: Millis = 3000;

/// The failure domains that are evacuated.
#[derive(Debug, Default)]
pub(crate) struct Domains {
    state: Mutex<Evacuations>,
}

impl Domains {
    /// Copy of the known state.
    pub(crate) fn state(&self) -> Evacuations {
        self.state.lock().clone()
    }

    /// Position in the log of orders up to which it is known.
    pub(crate) fn position(&self) -> Position {
        self.state.lock().position()
    }

    /// Whether a failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, domain: &str) -> bool {
        self.state.lock().is_evacuated(domain)
    }
}

/// Applies a state of the evacuations if it is newer. Targets of evacuated domains get no new work, and work
/// that is queued for them is placed elsewhere at once.
pub(crate) fn apply_update(shared: &Arc<IngressShared>, newer: Evacuations, source: &str) {
    let now = shared.clock.now();
    let Some(changes) = shared.domains.state.lock().advance(now, newer) else { return };
    shared.updated.send_replace(());
    apply_changes(shared, &changes, source);
}

/// Keeps the domains evacuated for a while that orders name, where other orders may not be known.
pub(crate) fn retain(shared: &Arc<IngressShared>, orders: &[Order]) {
    let changes = shared.domains.state.lock().retain(shared.clock.now(), orders);
    apply_changes(shared, &changes, "store");
}

/// Restores the domains whose orders were missing from the store after a rollback and were not written again
/// in time.
pub(crate) fn settle(shared: &Arc<IngressShared>) {
    let changes = shared.domains.state.lock().restore_expired(shared.clock.now());
    apply_changes(shared, &changes, "settled");
}

fn apply_changes(shared: &Arc<IngressShared>, changes: &[DomainChange], source: &str) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        log(shared, change, source);
        if !change.is_evacuated {
            mark_cold(shared, &change.domain);
        }
    }
    shared.apply_directory();
    start_all_calls(shared);
}

fn log(shared: &IngressShared, change: &DomainChange, source: &str) {
    let DomainChange { domain, is_evacuated } = change;
    let targets = shared.targets();
    let active = || targets.iter().filter(|it| !it.is_draining);
    let open = active().filter(|it| !shared.domains.is_evacuated(&it.domain)).count();
    let detail = format!(
        "domain={domain} evacuated={is_evacuated} horizon={} its_targets={} open_targets={open} \
         targets={} source={source}",
        shared.domains.position().offset,
        active().filter(|it| it.domain == *domain).count(),
        active().count(),
    );
    emit(events::DOMAIN_CHANGED, &shared.settings.instance, &detail);
    let delta = if *is_evacuated { 1 } else { -1 };
    shared.metrics.evacuated_domains.add(delta, &[]);
}

/// Treats all targets of a domain as cold for a while.
fn mark_cold(shared: &IngressShared, domain: &str) {
    let configuration = shared.configuration();
    let targets: Vec<_> = shared.targets().into_iter().filter(|it| it.domain == domain).collect();
    shared.assume_cold(targets.iter().filter_map(|it| {
        let cold = configuration.services.get(&it.service)?.cold?;
        Some((it.id.as_str(), cold.start_ms.max(MIN_COLD_MS)))
    }));
}
