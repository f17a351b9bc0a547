//! Evacuated failure domains, as this instance knows them. Applies changes to routing and batching and logs
//! them.

use std::sync::Arc;

use holdpoint_core::{
    era::Position,
    evacuation::{DomainChange, Evacuations},
    ids::Millis,
};
use parking_lot::Mutex;

use crate::{
    events::{self, emit},
    ingress::{batches::pump_all, shared::IngressShared},
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
pub(crate) fn take_over(shared: &Arc<IngressShared>, newer: Evacuations, source: &str) {
    let now = shared.clock.now();
    let Some(changes) = shared.domains.state.lock().advance(now, newer) else { return };
    shared.has_news.send_replace(());
    apply_changes(shared, &changes, source);
}

/// Restores the domains whose orders were missing from the store after a rollback and were not written again
/// in time.
pub(crate) fn settle(shared: &Arc<IngressShared>) {
    let changes = shared.domains.state.lock().settle(shared.clock.now());
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
    pump_all(shared);
}

fn log(shared: &IngressShared, change: &DomainChange, source: &str) {
    let DomainChange { domain, is_evacuated } = change;
    let targets = shared.targets();
    let active = || targets.iter().filter(|it| !it.is_leaving);
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
    let its: Vec<_> = shared.targets().into_iter().filter(|it| it.domain == domain).collect();
    shared.hold_cold(its.iter().filter_map(|it| {
        let cold = configuration.services.get(&it.service)?.cold?;
        Some((it.id.as_str(), cold.start_ms.max(MIN_COLD_MS)))
    }));
}
