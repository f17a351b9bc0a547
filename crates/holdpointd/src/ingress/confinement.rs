//! Confinement of requests to regions: the current bounds of each request, and its refusal when no region
//! within them can serve it.

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
    events::{self, LoggedName, emit},
    ingress::{answer::Answer, context::Context, send::CallerRequest, shared::IngressShared},
};

/// Retry-After of a request whose regions have no target for it, in milliseconds. The time until one joins
/// is not known.
pub(crate) const RETRY_AFTER_MS: Millis = 1000;
/// Most names of unknown regions, and of failure domains without a region, that a process logs.
const MAX_LOGGED_NAMES: usize = 64;

/// State of confinement at this instance.
#[derive(Debug)]
pub(crate) struct Confinements {
    /// Signalled when the configuration changes, if the new or the previous one confines any requests.
    changed: watch::Sender<()>,
    /// Names already logged as unknown.
    logged_names: Mutex<BTreeSet<Name>>,
}

impl Default for Confinements {
    fn default() -> Confinements {
        Confinements { changed: watch::channel(()).0, logged_names: Mutex::default() }
    }
}

impl Confinements {
    /// Handles a change of the configuration: logs unknown names, and makes requests check their bounds.
    pub(crate) fn configuration_changed(
        &self,
        shared: &IngressShared,
        before: &Configuration,
        now: &Configuration,
    ) {
        if before.confinements().is_empty() && now.confinements().is_empty() {
            return;
        }
        for it in now.confinements() {
            it.unknown(&shared.topology).for_each(|it| self.log_unknown(shared, "region", it));
        }
        shared.targets().iter().for_each(|it| self.check_domain(shared, &it.domain));
        self.changed.send_replace(());
    }

    /// Logs a target's failure domain that is in no region, if the configuration confines any requests.
    pub(crate) fn check_domain(&self, shared: &IngressShared, domain: &str) {
        let is_known = shared.topology.region_of(domain).is_some_and(|it| !it.is_empty());
        if !is_known && !shared.configuration().confinements().is_empty() {
            self.log_unknown(shared, "domain", domain);
        }
    }

    fn log_unknown(&self, shared: &IngressShared, kind: &str, name: &str) {
        let mut logged = self.logged_names.lock();
        if MAX_LOGGED_NAMES <= logged.len() || !logged.insert(format!("{kind}={name}")) {
            return;
        }
        let detail = format!("{kind}={name} known_regions={}", shared.topology.all().join(","));
        emit(events::REGION_UNKNOWN, &shared.settings.instance, &detail);
    }
}

/// The bounds of one request: those at its arrival, and those of the newest configuration seen.
#[derive(Debug)]
pub(crate) struct RequestBounds {
    at_arrival: Within,
    newest: Mutex<(Version, Within)>,
}

impl RequestBounds {
    /// Creates the bounds of a request that arrives under this version of the configuration.
    pub(crate) fn new(version: Version, within: Within) -> RequestBounds {
        RequestBounds { at_arrival: within.clone(), newest: Mutex::new((version, within)) }
    }

    /// The bounds at the arrival of the request.
    pub(crate) fn at_arrival(&self) -> &Within {
        &self.at_arrival
    }

    /// The bounds under the active configuration.
    fn now(&self, shared: &IngressShared, request: &CallerRequest, key: Option<&str>) -> Within {
        let configuration = shared.configuration();
        let mut newest = self.newest.lock();
        if newest.0 < configuration.version {
            // If it no longer allows the request, the previous bounds still apply.
            let within = match stated_bounds(&configuration, shared, request, key) {
                Some(it) => it,
                None => newest.1.clone(),
            };
            *newest = (configuration.version, within);
        }
        newest.1.clone()
    }
}

/// The bounds of a request under a configuration; `None` if that has no route or organisation for it.
fn stated_bounds(
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
    /// Host from the request; empty if there is none.
    pub(crate) fn host(&self) -> &str {
        let host = self.headers.get(header::HOST).and_then(|it| it.to_str().ok());
        host.or_else(|| self.path.host()).unwrap_or_default()
    }
}

impl Context {
    /// Current bounds for the request's targets and for the instances that work on it.
    pub(crate) fn within(&self) -> Within {
        self.bounds.now(&self.shared, &self.request, self.head.key.as_deref())
    }

    /// The target, if it may get new work of the request.
    pub(crate) fn open_target(&self, id: &str) -> Option<TargetInstance> {
        let target = self.shared.open_target(id)?;
        self.within().is_none_or(|it| it.allows(&target.domain)).then_some(target)
    }

    /// Waits until the request's bounds differ from `from`.
    pub(crate) async fn wait_bounds_change(&self, from: &Within) {
        let mut changed = self.shared.confinements.changed.subscribe();
        // The sender lives as long as the instance.
        while self.within() == *from && changed.changed().await.is_ok() {}
    }

    /// Refuses the request if its regions have no target for it or for one of its stages.
    pub(crate) fn refuse_confined(&self) -> Option<Answer> {
        let within = self.within()?;
        let graph = StageGraph::new(&self.route.stages, &self.head.item_counts);
        let steps = self.route.stages.iter().enumerate();
        let staged = steps.filter(|it| graph.items(it.0) != 0).map(|it| &it.1.service);
        let mut services = once(&self.service).chain(staged);
        let unserved = services.find(|it| !self.shared.can_serve(it, &within))?;
        log_refused(&self.shared, &self.request.id, unserved, &within);
        Some(self.final_answer("confined", Duration::from_millis(RETRY_AFTER_MS)))
    }
}

impl IngressShared {
    /// Whether a service has a target within the bounds that may get new work.
    fn can_serve(&self, service: &str, within: &Bounds) -> bool {
        let targets = self.targets();
        let mut usable = targets.iter().filter(|it| it.service == service && !it.is_draining);
        usable.any(|it| within.allows(&it.domain) && !self.domains.is_evacuated(&it.domain))
    }
}

/// Logs that a request is refused since its regions have no target of a service.
pub(crate) fn log_refused(shared: &IngressShared, request: &str, service: &str, within: &Bounds) {
    let detail = format!(
        "id={} service={service} regions={} return_ms={RETRY_AFTER_MS}",
        LoggedName(request),
        within.regions()
    );
    emit(events::CONFINED, &shared.settings.instance, &detail);
}
