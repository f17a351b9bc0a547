//! Regions of the deployment as an instance sees them: which region serves a request, and which instance
//! there does batching and placement for a service.

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

/// Assumed round-trip time to another region, in milliseconds: that between regions of one continent.
pub(crate) const FAR_REGION_MS: u64 = 60;

/// State of the regions at this instance.
#[derive(Debug)]
pub(crate) struct Regions {
    targets: ArcSwap<ServiceRegions>,
    /// Capacity lent and borrowed between regions.
    pub(crate) spill: Spill,
}

impl Regions {
    /// Creates the state without targets.
    pub(crate) fn new(settings: &IngressSettings) -> Regions {
        let spill = Spill::new(settings.region_link_mbps);
        Regions { targets: ArcSwap::default(), spill }
    }

    /// Updates the usable targets of each region from the directory.
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

/// The region that serves a request, within its bounds: the own region if it has targets of all services
/// that the request needs, else another region that has them and a live instance. If there is none, the own
/// region or, if that is outside the bounds, the first allowed one.
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
    let fallback = || {
        let all = shared.topology.all().into_iter();
        let region = all.filter(|it| is_allowed(within, it)).find(|_| !is_own_allowed);
        region.unwrap_or(own).to_owned()
    };
    other_regions_serving(shared, route, service, within).next().unwrap_or_else(fallback)
}

/// Whether the bounds of a request allow a region.
fn is_allowed(within: &Within, region: &str) -> bool {
    within.as_ref().is_none_or(|it| it.allows_region(region))
}

/// The other regions within the request's bounds that have a live instance and targets of all services that
/// the request needs.
pub(crate) fn other_regions_serving<'a>(
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

/// The peer that does batching and placement for a service in a region; `None` if this instance does, also
/// for lack of a peer.
pub(crate) fn batcher_of(shared: &IngressShared, region: &str, service: &str) -> Option<String> {
    let owners = if shared.topology.is_split() { Owners::Of(region) } else { Owners::Any };
    shared.peers.batcher_of(owners, service)
}

/// Like [`batcher_of`], for a request with bounds: `None` also if the peer is outside the bounds or does not
/// support them.
pub(crate) fn owner_of(
    shared: &IngressShared,
    region: &str,
    service: &str,
    within: &Within,
) -> Option<String> {
    let owner = batcher_of(shared, region, service)?;
    let is_confined = |it: &Bounds| shared.peers.is_confined_to(&owner, it);
    within.as_ref().is_none_or(|it| is_confined(it)).then_some(owner)
}

/// The peer that does batching for a service in the own region; `None` if this instance does.
pub(crate) fn own_batcher_of(shared: &IngressShared, service: &str) -> Option<String> {
    batcher_of(shared, shared.topology.own_region(), service)
}

/// The region whose batcher tracks a result: that of the target at address `maker`, which produced it; the
/// own region if the target is not known.
pub(crate) fn keeper_region(shared: &IngressShared, maker: Option<&str>) -> Name {
    let own = || shared.topology.own_region().to_owned();
    if !shared.topology.is_split() {
        return own();
    }
    let domain = maker.and_then(|it| shared.target_at(it)).map(|it| it.domain);
    let region = domain.and_then(|it| shared.topology.region_of(&it).map(str::to_owned));
    region.unwrap_or_else(own)
}

/// Timeout of a call to a peer that works for a region; `near` is that of a call within the own region.
pub(crate) fn limit_for(shared: &IngressShared, region: &str, near: Duration) -> Duration {
    let is_own = !shared.topology.is_split() || region == shared.topology.own_region();
    if is_own { near } else { near + Duration::from_millis(FAR_REGION_MS) }
}
