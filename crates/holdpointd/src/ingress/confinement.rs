//! Requests that are confined to regions: what binds each of them now, and when none can serve it.

use std::{collections::BTreeSet, iter::once, sync::Arc, time::Duration};

use holdpoint_core::{
    confinement::{Bounds, Within},
    directory::TargetInstance,
    ids::{Millis, Name},
    ingress::{Configuration, Version},
    stage_graph::StageGraph,
};
use http::header;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    events::{self, emit},
    ingress::{answer::Answer, context::Context, send::CallerRequest, shared::IngressShared},
};

/// When a request may come back whose regions have no target for it, in milliseconds. When one joins
/// there is not known.
pub(crate) const RETURN_MS: Millis = 1000;
/// Most names of unknown regions and of domains without one that are logged by a process.
const MOST_NAMED: usize = 64;

/// What this instance keeps about confinement.
#[derive(Debug)]
pub(crate) struct Confinements {
    /// Sent whenever a configuration comes into force and it or the one before confines anyone.
    changed: watch::Sender<()>,
    /// Names that were logged as unknown.
    named: Mutex<BTreeSet<Name>>,
}

/// Nothing is logged yet.
impl Default for Confinements {
    fn default() -> Confinements {
        Confinements { changed: watch::channel(()).0, named: Mutex::default() }
    }
}

impl Confinements {
    /// Takes in that a configuration has replaced another.
    pub(crate) fn configured(
        &self,
        shared: &IngressShared,
        before: &Configuration,
        now: &Configuration,
    ) {
        if before.confinements().is_empty() && now.confinements().is_empty() {
            return;
        }
        for it in now.confinements() {
            it.unknown(&shared.topology).for_each(|it| self.name(shared, "region", it));
        }
        shared.targets().iter().for_each(|it| self.check(shared, &it.domain));
        self.changed.send_replace(());
    }

    /// Logs a target's failure domain that is outside all regions, as far as that matters.
    pub(crate) fn check(&self, shared: &IngressShared, domain: &str) {
        let is_known = shared.topology.region_of(domain).is_some_and(|it| !it.is_empty());
        if !is_known && !shared.configuration().confinements().is_empty() {
            self.name(shared, "domain", domain);
        }
    }

    fn name(&self, shared: &IngressShared, kind: &str, name: &str) {
        let mut named = self.named.lock();
        if MOST_NAMED <= named.len() || !named.insert(format!("{kind}={name}")) {
            return;
        }
        let detail = format!("{kind}={name} known_regions={}", shared.topology.all().join(","));
        emit(events::REGION_UNKNOWN, &shared.settings.instance, &detail);
    }
}

/// The bounds of one request, as the configuration of a version states them.
#[derive(Debug)]
pub(crate) struct RequestBounds {
    at_arrival: Within,
    newest: Mutex<(Version, Within)>,
}

impl RequestBounds {
    /// Makes the bounds that a version of the configuration states.
    pub(crate) fn new(version: Version, within: Within) -> RequestBounds {
        RequestBounds { at_arrival: within.clone(), newest: Mutex::new((version, within)) }
    }

    /// The bounds when it came.
    pub(crate) fn at_arrival(&self) -> &Within {
        &self.at_arrival
    }

    /// The bounds that the configuration in force states.
    fn now(&self, shared: &IngressShared, request: &CallerRequest, key: Option<&str>) -> Within {
        let configuration = shared.configuration();
        let mut newest = self.newest.lock();
        if newest.0 < configuration.version {
            // Where it allows the request no longer, what bound it when it came still does.
            let within = match allowed(&configuration, shared, request, key) {
                Some(it) => it,
                None => newest.1.clone(),
            };
            *newest = (configuration.version, within);
        }
        newest.1.clone()
    }
}

/// The bounds that a configuration states for a request; `None` where it has no route or organisation
/// for it.
fn allowed(
    configuration: &Configuration,
    shared: &IngressShared,
    request: &CallerRequest,
    key: Option<&str>,
) -> Option<Within> {
    let route = configuration.route(request.host(), request.path.path()).ok()?;
    let organisation = configuration.organisation(route, key).ok()?;
    Some(route.confinement_for(organisation.map(Arc::as_ref)).bounds(&shared.topology))
}

impl CallerRequest {
    /// Host that the caller named; empty where it named none.
    pub(crate) fn host(&self) -> &str {
        let host = self.headers.get(header::HOST).and_then(|it| it.to_str().ok());
        host.or_else(|| self.path.host()).unwrap_or_default()
    }
}

impl Context {
    /// What the request's targets, and the instances that work for it, must be within.
    pub(crate) fn within(&self) -> Within {
        self.bounds.now(&self.shared, &self.request, self.head.key.as_deref())
    }

    /// A target that may get new work of the request.
    pub(crate) fn open_target(&self, id: &str) -> Option<TargetInstance> {
        let target = self.shared.open_target(id)?;
        self.within().is_none_or(|it| it.allows(&target.domain)).then_some(target)
    }

    /// Waits until the request's bounds are others.
    pub(crate) async fn bounds_change(&self, from: &Within) {
        let mut changed = self.shared.confinements.changed.subscribe();
        // The sender lives as long as the instance.
        while self.within() == *from && changed.changed().await.is_ok() {}
    }

    /// Refuses the request where its regions have no target for it or for one of its stages.
    pub(crate) fn refuse_confined(&self) -> Option<Answer> {
        let within = self.within()?;
        let graph = StageGraph::new(&self.route.stages, &self.head.pieces);
        let steps = self.route.stages.iter().enumerate();
        let staged = steps.filter(|it| graph.pieces(it.0) != 0).map(|it| &it.1.service);
        let mut services = once(&self.service).chain(staged);
        let lacking = services.find(|it| !self.shared.can_serve(it, &within))?;
        log_refused(&self.shared, &self.request.id, lacking, &within);
        Some(self.give_up("confined", Duration::from_millis(RETURN_MS)))
    }
}

impl IngressShared {
    /// Whether a service has a target within some bounds that may get new work.
    fn can_serve(&self, service: &str, within: &Bounds) -> bool {
        let targets = self.targets();
        let mut its = targets.iter().filter(|it| it.service == service && !it.is_leaving);
        its.any(|it| within.allows(&it.domain) && !self.domains.is_evacuated(&it.domain))
    }
}

/// Logs that the regions of a request have no target of a service.
pub(crate) fn log_refused(shared: &IngressShared, request: &str, service: &str, within: &Bounds) {
    let detail = format!(
        "id={request} service={service} regions={} return_ms={RETURN_MS}",
        within.regions()
    );
    emit(events::CONFINED, &shared.settings.instance, &detail);
}
