//! Failure domains that are evacuated, as this instance knows them, and what follows from a change.

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

/// How long a restored domain's targets are taken to be cold at least, in milliseconds: they may have
/// turned cold shortly before, and an entry that tells it is up to two seconds old.
const RESTORED_COLD_MS: Millis = 3000;

/// The failure domains that are evacuated.
#[derive(Debug, Default)]
pub(crate) struct Domains {
    state: Mutex<Evacuations>,
}

impl Domains {
    /// What is known.
    pub(crate) fn state(&self) -> Evacuations {
        self.state.lock().clone()
    }

    /// How far the log of orders is known.
    pub(crate) fn position(&self) -> Position {
        self.state.lock().position()
    }

    /// Whether a failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, domain: &str) -> bool {
        self.state.lock().is_evacuated(domain)
    }
}

/// Takes over what is newer of the domains that are evacuated: their targets get no new work from now
/// on, and what waits for them is placed elsewhere at once.
pub(crate) fn take_over(shared: &Arc<IngressShared>, newer: Evacuations, source: &str) {
    let now = shared.clock.now();
    let Some(changes) = shared.domains.state.lock().advance(now, newer) else { return };
    shared.has_news.send_replace(());
    put_in_force(shared, &changes, source);
}

/// Restores the domains that the store lacked when it came back, and whose orders nobody has written again.
pub(crate) fn settle(shared: &Arc<IngressShared>) {
    let changes = shared.domains.state.lock().settle(shared.clock.now());
    put_in_force(shared, &changes, "settled");
}

fn put_in_force(shared: &Arc<IngressShared>, changes: &[DomainChange], source: &str) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        log(shared, change, source);
        if !change.is_evacuated {
            hold_cold(shared, &change.domain);
        }
    }
    shared.apply_directory();
    pump_all(shared);
}

fn log(shared: &IngressShared, change: &DomainChange, source: &str) {
    let DomainChange { domain, is_evacuated } = change;
    let targets = shared.targets();
    let staying = || targets.iter().filter(|it| !it.is_leaving);
    let open = staying().filter(|it| !shared.domains.is_evacuated(&it.domain)).count();
    let detail = format!(
        "domain={domain} evacuated={is_evacuated} horizon={} its_targets={} open_targets={open} \
         targets={} source={source}",
        shared.domains.position().offset,
        staying().filter(|it| it.domain == *domain).count(),
        staying().count(),
    );
    emit(events::DOMAIN_CHANGED, &shared.settings.instance, &detail);
    let delta = if *is_evacuated { 1 } else { -1 };
    shared.metrics.evacuated_domains.add(delta, &[]);
}

fn hold_cold(shared: &IngressShared, domain: &str) {
    let configuration = shared.configuration();
    let its: Vec<_> = shared.targets().into_iter().filter(|it| it.domain == domain).collect();
    shared.hold_cold(its.iter().filter_map(|it| {
        let cold = configuration.services.get(&it.service)?.cold?;
        Some((it.id.as_str(), cold.start_ms.max(RESTORED_COLD_MS)))
    }));
}
