//! Sends requests that the own region cannot serve in time to another region, as a whole and before any
//! work is done for them.
//!
//! The instance that received the request decides. It takes places (capacity for one work item each) for
//! the whole request from the owners of the services in its own region. These owners borrow places from
//! the owners in the other region.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::future::join_all;
use holdpoint_core::{
    ids::{Millis, Name},
    spill::{Borrower, LEASE_MS, Lease, Lender, LinkBudget, SpillEstimate, critical_path_ms},
    stage_graph::StageGraph,
};
use holdpoint_platform::Instant;
use parking_lot::Mutex;
use tokio::time::{interval, timeout};

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        context::Context,
        peers::TARGET_CHOICE_TIMEOUT,
        regions::{REGION_RTT_MS, batcher_of, call_timeout, other_regions_serving, own_batcher_of},
        shared::IngressShared,
        stages::{expected_stage_ms, first_event_ms, nominal_stage_ms},
    },
    metrics::label,
};

/// Interval at which missing places are requested from other regions.
const BORROW_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the bandwidth between regions that spilled requests may use. The rest is for state exchanged
/// between instances, and for requests that were sent there before.
const LINK_SHARE: f64 = 0.3;

/// A service and the other region that it is in.
type RemoteService = (Name, Name);

/// Capacity that an instance has lent and borrowed as the owner of services, and its budget of bandwidth to
/// other regions.
#[derive(Debug)]
pub(crate) struct Spill {
    lenders: Mutex<HashMap<Name, Lender>>,
    borrowers: Mutex<HashMap<RemoteService, Borrower>>,
    link: Mutex<LinkBudget>,
    link_mbps: f64,
}

impl Spill {
    /// Creates the state without leases; `link_mbps` of 0 means that the bandwidth is not configured.
    pub(crate) fn new(link_mbps: f64) -> Spill {
        Spill {
            lenders: Mutex::default(),
            borrowers: Mutex::default(),
            link: Mutex::new(LinkBudget::new(link_mbps, LINK_SHARE, 1)),
            link_mbps,
        }
    }

    /// Whether requests may go to another region for lack of capacity. This needs a configured bandwidth, as
    /// spilled requests on a saturated link would delay the state exchanged between instances.
    pub(crate) fn is_enabled(&self) -> bool {
        self.link_mbps != 0.0
    }

    /// Takes borrowed places at a service of another region; returns the usual duration of the stage there,
    /// in milliseconds, or `None` if too few places are left.
    pub(crate) fn take(&self, now: Millis, remote: RemoteService, places: u32) -> Option<Millis> {
        self.borrowers.lock().entry(remote).or_default().take(now, places)
    }

    /// Lends spare places of a service to another region; an empty lease if this instance is not the owner
    /// or the service has no stage.
    pub(crate) fn lend(&self, shared: &IngressShared, service: &str, wanted: u32) -> Lease {
        let now = shared.clock.now();
        let is_owner = own_batcher_of(shared, service).is_none();
        let state = shared.batches.lendable(shared, service, LEASE_MS).filter(|_| is_owner);
        let Some((spare, usual_ms)) = state else { return Lease::default() };
        let lease = {
            let mut lenders = self.lenders.lock();
            lenders.entry(service.to_owned()).or_default().lend(now, spare, wanted, usual_ms)
        };
        if lease.places != 0 {
            let detail = format!(
                "service={service} places={} wanted={wanted} spare={spare} usual_ms={usual_ms}",
                lease.places
            );
            emit(events::CAPACITY_LENT, &shared.settings.instance, &detail);
        }
        lease
    }

    /// Number of places to request from each service of other regions.
    fn wanted(&self, now: Millis) -> Vec<(RemoteService, u32)> {
        let borrowers = self.borrowers.lock();
        let wanted = borrowers.iter().map(|it| (it.0.clone(), it.1.wanted(now)));
        wanted.filter(|it| it.1 != 0).collect()
    }

    fn receive(&self, asked_at: Millis, remote: RemoteService, lease: Lease) {
        self.borrowers.lock().entry(remote).or_default().receive(asked_at, lease);
    }

    /// Spends bytes of the link's budget; returns whether they were left.
    fn spend(&self, shared: &IngressShared, bytes: u64) -> bool {
        let mut link = self.link.lock();
        link.set_users(self.link_mbps, LINK_SHARE, shared.peers.own_region_count());
        link.spend(shared.clock.now(), bytes)
    }
}

/// Borrows missing places from other regions, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let mut tick = interval(BORROW_INTERVAL);
    loop {
        tick.tick().await;
        let now = shared.clock.now();
        let missing = shared.regions.spill.wanted(now).into_iter();
        join_all(missing.map(|(remote, wanted)| borrow(&shared, remote, wanted))).await;
    }
}

/// Requests places from the owner of a service in another region.
async fn borrow(shared: &Arc<IngressShared>, remote: RemoteService, wanted: u32) {
    let (service, region) = &remote;
    let Some(address) = batcher_of(shared, region, service) else { return };
    let limit = call_timeout(shared, region, TARGET_CHOICE_TIMEOUT);
    let asked_at = shared.clock.now();
    let res = shared.peers.lend(shared, &address, service, wanted, limit).await;
    let lease = res.unwrap_or_default();
    let detail = format!(
        "service={service} region={region} wanted={wanted} places={} usual_ms={}",
        lease.places, lease.usual_ms
    );
    emit(events::CAPACITY_REQUESTED, &shared.settings.instance, &detail);
    shared.regions.spill.receive(asked_at, remote, lease);
}

/// Sends a request to another region if it would be late in its own region and in time there.
pub(crate) async fn spill_if_late(ctx: &Context) {
    let Some(graph) = spillable_stages(ctx) else { return };
    let here = |stage: usize| expected_stage_ms(ctx, service_of(ctx, stage));
    let local_ms = first_event_ms(ctx) + critical_path_ms(&graph, &here);
    if left_ms(ctx) < local_ms {
        try_spill(ctx, &graph, local_ms).await;
    }
}

/// Sends a request that its own region has refused to another region, if it would be in time there. Returns
/// whether it was sent.
pub(crate) async fn spill_if_refused(ctx: &Context) -> bool {
    match spillable_stages(ctx) {
        Some(graph) => try_spill(ctx, &graph, Millis::MAX).await,
        None => false,
    }
}

/// The stages of a request that may be served in another region: no work was done for it, and it would be in
/// time there without queueing.
fn spillable_stages(ctx: &Context) -> Option<StageGraph> {
    let topology = &ctx.shared.topology;
    let is_own_region = topology.has_regions() && ctx.region() == topology.own_region();
    if !is_own_region
        || !ctx.shared.regions.spill.is_enabled()
        || ctx.is_spilled()
        || ctx.has_work_done()
        || ctx.route.stages.is_empty()
    {
        return None;
    }
    let graph = StageGraph::new(&ctx.route.stages, &ctx.head.item_counts);
    let min_ms = there_ms(ctx, &graph, |service| nominal_stage_ms(ctx, service));
    (!graph.is_empty() && min_ms <= left_ms(ctx)).then_some(graph)
}

fn service_of(ctx: &Context, stage: usize) -> &str {
    &ctx.route.stages[stage].service
}

fn left_ms(ctx: &Context) -> Millis {
    ctx.target_time_left().as_millis() as Millis
}

/// Time until the first event of a request served by another region, in milliseconds; `ms` is the duration of
/// a service's stage there.
fn there_ms(ctx: &Context, graph: &StageGraph, ms: impl Fn(&str) -> Millis) -> Millis {
    let stage = |stage: usize| ms(service_of(ctx, stage)) + REGION_RTT_MS;
    first_event_ms(ctx) + REGION_RTT_MS + critical_path_ms(graph, &stage)
}

/// Sends a request to another region if places, time and bandwidth permit. Returns whether it was sent.
async fn try_spill(ctx: &Context, graph: &StageGraph, local_ms: Millis) -> bool {
    let shared = &ctx.shared;
    let within = ctx.within();
    let region = other_regions_serving(shared, &ctx.route, &ctx.service, &within).next();
    let Some(region) = region else {
        return false;
    };
    let places = places(graph, |it| service_of(ctx, it));
    let Some(times) = take_places(shared, &region, &places).await else {
        log_not_spilled(ctx, &region, local_ms, None, "places");
        return false;
    };
    let remote_ms = there_ms(ctx, graph, |it| times.get(it).copied().unwrap_or(0));
    let left_ms = left_ms(ctx);
    if !(SpillEstimate { left_ms, local_ms, remote_ms }).should_spill() {
        log_not_spilled(ctx, &region, local_ms, Some(remote_ms), "gain");
        return false;
    }
    let bytes = ctx.request.body.len() as u64;
    if !shared.regions.spill.spend(shared, bytes) {
        log_not_spilled(ctx, &region, local_ms, Some(remote_ms), "link");
        return false;
    }
    let detail = format!(
        "id={} region={region} here_ms={} there_ms={remote_ms} left_ms={left_ms} bytes={bytes}",
        LoggedName(&ctx.request.id),
        ms_or_none(Some(local_ms).filter(|it| *it != Millis::MAX)),
    );
    emit(events::SPILLED, &shared.settings.instance, &detail);
    let labels = [label("region", region.clone()), label("outcome", "sent")];
    shared.metrics.spills.add(1, &labels);
    shared.metrics.region_bytes.add(bytes, &[label("kind", "spill")]);
    ctx.spill_to(region);
    true
}

/// A time as logged; `none` if it is not known.
fn ms_or_none(ms: Option<Millis>) -> String {
    ms.map_or("none".to_owned(), |it| it.to_string())
}

/// Logs and counts that a request was not sent to another region, with the cause.
fn log_not_spilled(
    ctx: &Context,
    region: &str,
    local_ms: Millis,
    remote_ms: Option<Millis>,
    cause: &'static str,
) {
    let detail = format!(
        "id={} region={region} cause={cause} here_ms={} there_ms={} left_ms={}",
        LoggedName(&ctx.request.id),
        ms_or_none(Some(local_ms).filter(|it| *it != Millis::MAX)),
        ms_or_none(remote_ms),
        ctx.target_time_left().as_millis()
    );
    emit(events::NOT_SPILLED, &ctx.shared.settings.instance, &detail);
    let labels = [label("region", region.to_owned()), label("outcome", cause)];
    ctx.shared.metrics.spills.add(1, &labels);
}

/// Number of places that a request needs at each service.
fn places<'a>(graph: &StageGraph, service: impl Fn(usize) -> &'a str) -> HashMap<&'a str, u32> {
    let mut places = HashMap::new();
    for stage in (0..graph.len()).filter(|it| graph.items(*it) != 0) {
        *places.entry(service(stage)).or_default() += graph.items(stage);
    }
    places
}

/// Takes places at all services from their owners in this region. Returns the usual duration of each
/// service's stage in the other region, in milliseconds, or `None` if places are missing. Places that were
/// taken and not used expire with their leases.
async fn take_places<'a>(
    shared: &Arc<IngressShared>,
    region: &str,
    places: &HashMap<&'a str, u32>,
) -> Option<HashMap<&'a str, Millis>> {
    let until = Instant::now() + TARGET_CHOICE_TIMEOUT;
    let taken = places.iter().map(|(service, count)| async move {
        let (service, count) = (*service, *count);
        let remote = (service.to_owned(), region.to_owned());
        let ms = match own_batcher_of(shared, service) {
            None => shared.regions.spill.take(shared.clock.now(), remote, count),
            Some(address) => {
                let limit = until.saturating_duration_since(Instant::now());
                let call = shared.peers.borrow(shared, &address, remote, count, limit);
                timeout(limit, call).await.ok().flatten()
            }
        };
        Some((service, ms?))
    });
    join_all(taken).await.into_iter().collect()
}
