//! Sends requests that the own region cannot serve in time to another region, whole and before any
//! work was done for them.
//!
//! The instance that a caller has reached decides. It takes places for all pieces of the request from
//! the owners of the services in its own region, which borrow them from the owners in the other one.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::future::join_all;
use holdpoint_core::{
    ids::{Millis, Name},
    spill::{Borrower, LEASE_MS, Lease, Lender, LinkBudget, Prospect, chain_ms},
    stage_graph::StageGraph,
};
use holdpoint_platform::Instant;
use parking_lot::Mutex;
use tokio::time::{interval, timeout};

use crate::{
    events::{self, emit},
    ingress::{
        context::Context,
        peers::PLACE_LIMIT,
        regions::{FAR_REGION_MS, batcher_of, limit_for, others_that_serve, own_batcher_of},
        shared::IngressShared,
        stages::{first_event_ms, stage_ms, usual_ms},
    },
    metrics::label,
};

/// How often places that are wanted are asked for in another region.
const EXCHANGE: Duration = Duration::from_millis(100);
/// Part of the link between regions that requests of another region may use; the rest is for the
/// instances' state, and for what was sent there before.
const LINK_SHARE: f64 = 0.3;

/// A service of another region.
type Elsewhere = (Name, Name);

/// What an instance has lent and borrowed as the owner of services, and what it may send to another
/// region.
#[derive(Debug)]
pub(crate) struct Spill {
    lenders: Mutex<HashMap<Name, Lender>>,
    borrowers: Mutex<HashMap<Elsewhere, Borrower>>,
    link: Mutex<LinkBudget>,
    link_mbps: f64,
}

impl Spill {
    /// Makes the state of an instance that has lent and borrowed nothing; a link of 0 Mbit/s is one that
    /// is not stated.
    pub(crate) fn new(link_mbps: f64) -> Spill {
        Spill {
            lenders: Mutex::default(),
            borrowers: Mutex::default(),
            link: Mutex::new(LinkBudget::new(link_mbps, LINK_SHARE, 1)),
            link_mbps,
        }
    }

    /// Whether requests go to another region for want of capacity: only where the link between them is
    /// stated, since on a busy one they would hold up the instances' state.
    pub(crate) fn is_on(&self) -> bool {
        self.link_mbps != 0.0
    }

    /// Takes places at a service of another region that were borrowed; how long the stage takes there.
    pub(crate) fn take(&self, now: Millis, elsewhere: Elsewhere, places: u32) -> Option<Millis> {
        self.borrowers.lock().entry(elsewhere).or_default().take(now, places)
    }

    /// Lends places of a service to another region.
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
            emit(events::PLACES_LENT, &shared.settings.instance, &detail);
        }
        lease
    }

    /// What is wanted of other regions.
    fn wanted(&self, now: Millis) -> Vec<(Elsewhere, u32)> {
        let borrowers = self.borrowers.lock();
        let wanted = borrowers.iter().map(|it| (it.0.clone(), it.1.wanted(now)));
        wanted.filter(|it| it.1 != 0).collect()
    }

    fn receive(&self, asked_at: Millis, elsewhere: Elsewhere, lease: Lease) {
        self.borrowers.lock().entry(elsewhere).or_default().receive(asked_at, lease);
    }

    /// Spends bytes of the link to another region, if this instance may.
    fn spend(&self, shared: &IngressShared, bytes: u64) -> bool {
        let mut link = self.link.lock();
        link.set_users(self.link_mbps, LINK_SHARE, shared.peers.near_count());
        link.spend(shared.clock.now(), bytes)
    }
}

/// Borrows what is wanted of other regions, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let mut tick = interval(EXCHANGE);
    loop {
        tick.tick().await;
        let now = shared.clock.now();
        let asked = shared.regions.spill.wanted(now).into_iter();
        join_all(asked.map(|(elsewhere, wanted)| borrow(&shared, elsewhere, wanted))).await;
    }
}

/// Asks the owner of a service in another region for places.
async fn borrow(shared: &Arc<IngressShared>, elsewhere: Elsewhere, wanted: u32) {
    let (service, region) = &elsewhere;
    let Some(address) = batcher_of(shared, region, service) else { return };
    let limit = limit_for(shared, region, PLACE_LIMIT);
    let asked_at = shared.clock.now();
    let lent = shared.peers.lend(shared, &address, service, wanted, limit).await;
    let lease = lent.unwrap_or_default();
    let detail = format!(
        "service={service} region={region} wanted={wanted} places={} usual_ms={}",
        lease.places, lease.usual_ms
    );
    emit(events::PLACES_BORROWED, &shared.settings.instance, &detail);
    shared.regions.spill.receive(asked_at, elsewhere, lease);
}

/// Has another region serve a request that would be late in its own one and in time there.
pub(crate) async fn leave_if_late(ctx: &Context) {
    let Some(graph) = may_leave(ctx) else { return };
    let here = |stage: usize| usual_ms(ctx, service_of(ctx, stage));
    let here_ms = first_event_ms(ctx) + chain_ms(&graph, &here);
    if left_ms(ctx) < here_ms {
        leave(ctx, &graph, here_ms).await;
    }
}

/// Has another region serve a request that was refused in its own one and would be in time there;
/// whether one does.
pub(crate) async fn leave_if_refused(ctx: &Context) -> bool {
    match may_leave(ctx) {
        Some(graph) => leave(ctx, &graph, Millis::MAX).await,
        None => false,
    }
}

/// The stages of a request that may be served in another region: no work was done for it, and it may
/// be in time there where nothing waits.
fn may_leave(ctx: &Context) -> Option<StageGraph> {
    let topology = &ctx.shared.topology;
    let is_here = topology.is_split() && ctx.region() == topology.own_region();
    if !is_here
        || !ctx.shared.regions.spill.is_on()
        || ctx.is_spilled()
        || ctx.has_begun()
        || ctx.route.stages.is_empty()
    {
        return None;
    }
    let graph = StageGraph::new(&ctx.route.stages, &ctx.head.pieces);
    let least = there_ms(ctx, &graph, |service| stage_ms(ctx, service));
    (!graph.is_empty() && least <= left_ms(ctx)).then_some(graph)
}

fn service_of(ctx: &Context, stage: usize) -> &str {
    &ctx.route.stages[stage].service
}

fn left_ms(ctx: &Context) -> Millis {
    ctx.left_of_target().as_millis() as Millis
}

/// Time until the first event of a request that another region serves, whose stages take `ms` there.
fn there_ms(ctx: &Context, graph: &StageGraph, ms: impl Fn(&str) -> Millis) -> Millis {
    let stage = |stage: usize| ms(service_of(ctx, stage)) + FAR_REGION_MS;
    first_event_ms(ctx) + FAR_REGION_MS + chain_ms(graph, &stage)
}

/// Takes places for a request in another region and has that one serve it; whether it does.
async fn leave(ctx: &Context, graph: &StageGraph, here_ms: Millis) -> bool {
    let shared = &ctx.shared;
    let within = ctx.within();
    let region = others_that_serve(shared, &ctx.route, &ctx.service, &within).next();
    let Some(region) = region else {
        return false;
    };
    let places = places(graph, |it| service_of(ctx, it));
    let Some(times) = take_all(shared, &region, &places).await else {
        kept(ctx, &region, here_ms, None, "places");
        return false;
    };
    let there_ms = there_ms(ctx, graph, |it| times.get(it).copied().unwrap_or(0));
    let left_ms = left_ms(ctx);
    if !(Prospect { left_ms, here_ms, there_ms }).is_worth_it() {
        kept(ctx, &region, here_ms, Some(there_ms), "gain");
        return false;
    }
    let bytes = ctx.request.body.len() as u64;
    if !shared.regions.spill.spend(shared, bytes) {
        kept(ctx, &region, here_ms, Some(there_ms), "link");
        return false;
    }
    let detail = format!(
        "id={} region={region} here_ms={} there_ms={there_ms} left_ms={left_ms} bytes={bytes}",
        ctx.request.id,
        text_of(Some(here_ms).filter(|it| *it != Millis::MAX)),
    );
    emit(events::SPILLED, &shared.settings.instance, &detail);
    let labels = [label("region", region.clone()), label("outcome", "sent")];
    shared.metrics.spills.add(1, &labels);
    shared.metrics.region_bytes.add(bytes, &[label("kind", "spill")]);
    ctx.spill_to(region);
    true
}

/// A time in the log; none where it is not known.
fn text_of(ms: Option<Millis>) -> String {
    ms.map_or("none".to_owned(), |it| it.to_string())
}

/// Notes that a request stays in its region although it will be late there, and why.
fn kept(
    ctx: &Context,
    region: &str,
    here_ms: Millis,
    there_ms: Option<Millis>,
    cause: &'static str,
) {
    let detail = format!(
        "id={} region={region} cause={cause} here_ms={} there_ms={} left_ms={}",
        ctx.request.id,
        text_of(Some(here_ms).filter(|it| *it != Millis::MAX)),
        text_of(there_ms),
        ctx.left_of_target().as_millis()
    );
    emit(events::NOT_SPILLED, &ctx.shared.settings.instance, &detail);
    let labels = [label("region", region.to_owned()), label("outcome", cause)];
    ctx.shared.metrics.spills.add(1, &labels);
}

/// Places that a request needs at each service.
fn places<'a>(graph: &StageGraph, service: impl Fn(usize) -> &'a str) -> HashMap<&'a str, u32> {
    let mut places = HashMap::new();
    for stage in (0..graph.len()).filter(|it| graph.pieces(*it) != 0) {
        *places.entry(service(stage)).or_default() += graph.pieces(stage);
    }
    places
}

/// Takes places at all services, from their owners in this region; how long each stage takes in the
/// other one, `None` where places are missing. Those taken in vain end with their leases.
async fn take_all<'a>(
    shared: &Arc<IngressShared>,
    region: &str,
    places: &HashMap<&'a str, u32>,
) -> Option<HashMap<&'a str, Millis>> {
    let until = Instant::now() + PLACE_LIMIT;
    let taken = places.iter().map(|(service, count)| async move {
        let (service, count) = (*service, *count);
        let elsewhere = (service.to_owned(), region.to_owned());
        let ms = match own_batcher_of(shared, service) {
            None => shared.regions.spill.take(shared.clock.now(), elsewhere, count),
            Some(address) => {
                let limit = until.saturating_duration_since(Instant::now());
                let asked = shared.peers.borrow(shared, &address, elsewhere, count, limit);
                timeout(limit, asked).await.ok().flatten()
            }
        };
        Some((service, ms?))
    });
    join_all(taken).await.into_iter().collect()
}
