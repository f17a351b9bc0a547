//! Regions of the deployment as an instance sees them: which one serves a request, and which instance
//! batches and places for a service there.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use holdpoint_core::{
    directory::Directory, evacuation::Evacuations, ids::Name, ingress::IngressRoute,
    regions::ServiceRegions, topology::Topology,
};

use crate::ingress::{peers::Owners, shared::IngressShared};

/// Time that the way to another region and back takes, in milliseconds, until it is measured: that
/// between regions of one continent.
pub(crate) const FAR_REGION_MS: u64 = 60;

/// What an instance knows of the regions.
#[derive(Debug, Default)]
pub(crate) struct Regions {
    targets: ArcSwap<ServiceRegions>,
}

impl Regions {
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
}

/// The region that serves a request: the own one where it has targets of all services that the request
/// needs, else another one that has them, and an instance to batch and place there.
pub(crate) fn home(shared: &IngressShared, route: &IngressRoute, service: &str) -> Name {
    let topology = &shared.topology;
    let own = topology.own_region();
    if !topology.is_split() {
        return own.to_owned();
    }
    let stages = route.stages.iter().map(|it| it.service.as_str());
    let services: Vec<&str> = stages.chain(std::iter::once(service)).collect();
    let others = topology.all().into_iter().filter(|it| *it != own);
    let regions = std::iter::once(own).chain(others);
    let may_serve = |region: &str| region == own || shared.peers.has_live_in(region);
    let targets = shared.regions.targets.load();
    targets.home(regions, &services, may_serve).unwrap_or(own).to_owned()
}

/// The peer that batches and places for a service in a region; `None` where this instance does, also
/// since there is nobody else.
pub(crate) fn batcher_of(shared: &IngressShared, region: &str, service: &str) -> Option<String> {
    let owners = if shared.topology.is_split() { Owners::Of(region) } else { Owners::Any };
    shared.peers.batcher_of(owners, service)
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
