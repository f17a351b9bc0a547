//! Regions of the deployment as an instance sees them: which one serves a request, and which instance
//! batches and places for a service there.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use holdpoint_core::{
    confinement::{Bounds, Within},
    directory::Directory,
    evacuation::Evacuations,
    ids::Name,
    ingress::IngressRoute,
    regions::ServiceRegions,
    topology::Topology,
};

use holdpoint_schema::ingress::IngressSettings;

use crate::ingress::{peers::Owners, shared::IngressShared, spill::Spill};

/// Time that the way to another region and back takes, in milliseconds, until it is measured: that
/// between regions of one continent.
pub(crate) const FAR_REGION_MS: u64 = 60;

/// What an instance knows of the regions.
#[derive(Debug)]
pub(crate) struct Regions {
    targets: ArcSwap<ServiceRegions>,
    /// What was lent and borrowed between regions.
    pub(crate) spill: Spill,
}

impl Regions {
    /// Makes the regions of an instance that knows no targets yet.
    pub(crate) fn new(settings: &IngressSettings) -> Regions {
        let spill = Spill::new(settings.region_link_mbps);
        Regions { targets: ArcSwap::default(), spill }
    }

    /// Takes in the targets of all services.
    pub(crate) fn set_targets(
        &self,
        directory: &Directory,
        evacuations: &Evacuations,
        topology: &Topology,
    ) {
        if !topology.is_split() {
            return;
        }
        let is_usable = |domain: &str| !evacuations.is_evacuated(domain);
        let usable = directory.all().filter(|it| !it.is_leaving && is_usable(&it.domain));
        let located =
            usable.filter_map(|it| Some((it.service.as_str(), topology.region_of(&it.domain)?)));
        self.targets.store(Arc::new(ServiceRegions::new(located)));
    }

    /// Whether a region has usable targets of all services that a request needs.
    fn serves(&self, region: &str, route: &IngressRoute, service: &str) -> bool {
        let stages = route.stages.iter().map(|it| it.service.as_str());
        let services: Vec<&str> = stages.chain(std::iter::once(service)).collect();
        self.targets.load().serves(region, &services)
    }
}

/// The region that serves a request: the own one where it has targets of all services that the request
/// needs, else another one that has them, and an instance to batch and place there.
/// Only regions within the request's bounds are asked.
pub(crate) fn home(
    shared: &IngressShared,
    route: &IngressRoute,
    service: &str,
    within: &Within,
) -> Name {
    let own = shared.topology.own_region();
    if !shared.topology.is_split() {
        return own.to_owned();
    }
    let is_own_allowed = is_allowed(within, own);
    if is_own_allowed && shared.regions.serves(own, route, service) {
        return own.to_owned();
    }
    let usual = || {
        let all = shared.topology.all().into_iter();
        let region = all.filter(|it| is_allowed(within, it)).find(|_| !is_own_allowed);
        region.unwrap_or(own).to_owned()
    };
    others_that_serve(shared, route, service, within).next().unwrap_or_else(usual)
}

/// Whether a request with some bounds may be served in a region.
fn is_allowed(within: &Within, region: &str) -> bool {
    within.as_ref().is_none_or(|it| it.allows_region(region))
}

/// The other regions that have targets of all services that a request needs, and an instance to batch
/// and place there, within the request's bounds.
pub(crate) fn others_that_serve<'a>(
    shared: &'a IngressShared,
    route: &'a IngressRoute,
    service: &'a str,
    within: &'a Within,
) -> impl Iterator<Item = Name> + 'a {
    let others = shared.topology.all().into_iter();
    let others = others.filter(|it| *it != shared.topology.own_region());
    let serves = |it: &&str| is_allowed(within, it) && shared.regions.serves(it, route, service);
    others.filter(move |it| serves(it) && shared.peers.has_live_in(it)).map(str::to_owned)
}

/// The peer that batches and places for a service in a region; `None` where this instance does, also
/// since there is nobody else.
pub(crate) fn batcher_of(shared: &IngressShared, region: &str, service: &str) -> Option<String> {
    let owners = if shared.topology.is_split() { Owners::Of(region) } else { Owners::Any };
    shared.peers.batcher_of(owners, service)
}

/// The same for a request with some bounds: a peer outside of them, or one that would not keep to them,
/// is not asked.
pub(crate) fn owner_of(
    shared: &IngressShared,
    region: &str,
    service: &str,
    within: &Within,
) -> Option<String> {
    let owner = batcher_of(shared, region, service)?;
    let may_work = |it: &Bounds| shared.peers.is_confined_to(&owner, it);
    within.as_ref().is_none_or(|it| may_work(it)).then_some(owner)
}

/// The peer that batches for a service in this instance's region; `None` where this instance does.
pub(crate) fn own_batcher_of(shared: &IngressShared, service: &str) -> Option<String> {
    batcher_of(shared, shared.topology.own_region(), service)
}

/// The region whose batcher keeps account of a result, by the address of the target that made it: the
/// target's own.
pub(crate) fn keeper_region(shared: &IngressShared, maker: Option<&str>) -> Name {
    let own = || shared.topology.own_region().to_owned();
    if !shared.topology.is_split() {
        return own();
    }
    let domain = maker.and_then(|it| shared.target_at(it)).map(|it| it.domain);
    let region = domain.and_then(|it| shared.topology.region_of(&it).map(str::to_owned));
    region.unwrap_or_else(own)
}

/// Time limit of a call to whoever works for a region, where one within the own region has `near`.
pub(crate) fn limit_for(shared: &IngressShared, region: &str, near: Duration) -> Duration {
    let is_own = !shared.topology.is_split() || region == shared.topology.own_region();
    if is_own { near } else { near + Duration::from_millis(FAR_REGION_MS) }
}
