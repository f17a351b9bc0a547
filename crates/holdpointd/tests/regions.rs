//! Two regions: which targets serve a request and which region batches its work items, in normal
//! operation and when a region lacks targets or instances.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Store, Target, call, sample_configuration, set_stream_times,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use tokio::runtime::Runtime;

use crate::support::{start_in_region, until};

/// The targets of one region.
struct RegionTargets {
    domain: &'static str,
    plain: Target,
    engine: Target,
    encoder: Target,
}

impl RegionTargets {
    async fn start(region: &str, domain: &'static str) -> RegionTargets {
        let id = |it: &str| format!("i-{it}-{region}");
        RegionTargets {
            domain,
            plain: Target::start(&id("plain"), "plain", Behaviour::Answer).await,
            engine: Target::start(&id("engine"), "engine", Behaviour::Events(2)).await,
            encoder: Target::start(&id("encode"), "encode", Behaviour::Answer).await,
        }
    }

    fn all(&self) -> [&Target; 3] {
        [&self.plain, &self.engine, &self.encoder]
    }
}

/// One instance in each of two regions, and targets of all services in both.
struct System {
    store: Store,
    east: RegionTargets,
    north: RegionTargets,
    a: Ingress,
    b: Ingress,
    /// Runtime of the instance in the north, which tests shut down to kill it.
    b_runtime: Runtime,
}

async fn start() -> System {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let east = RegionTargets::start("east", "z1").await;
    let north = RegionTargets::start("north", "z2").await;
    for region in [&east, &north] {
        region.all().into_iter().for_each(|it| store.put_target_in(it, region.domain, 0));
    }
    let a = start_in_region("a", "east", "z1", &store.endpoint);
    let b_runtime = Runtime::new().unwrap();
    let gate = store.open_endpoint().await;
    let b =
        b_runtime.spawn(async move { start_in_region("b", "north", "z2", &gate) }).await.unwrap();
    let is_complete = |it: &Ingress| it.is_ready() && it.open_count() == 6 && it.peer_count() == 1;
    until(|| is_complete(&a) && is_complete(&b)).await;
    System { store, east, north, a, b, b_runtime }
}

impl System {
    /// Removes targets, and waits until both instances have dropped them.
    async fn remove(&self, targets: &[&Target]) {
        let remaining = self.a.target_count() - targets.len();
        targets.iter().for_each(|it| self.store.drop_target(&it.id));
        until(|| [&self.a, &self.b].iter().all(|it| it.target_count() == remaining)).await;
    }
}

/// Sends staged requests to an instance one after the other, and checks that each is served.
async fn send_staged(instance: &Ingress, name: &str, count: usize) {
    for id in 0..count {
        let request = CallerRequest::new(&format!("{name}-{id}"), "/staged/");
        let request = request.with_prompt("p:100").with_items("2,1");
        let callers = instance.listen().callers.parse().unwrap();
        let answer = call(callers, request).await.expect("the instance answers");
        assert_eq!(answer.status, StatusCode::OK, "{name}-{id}");
        assert!(answer.is_complete);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_region_serves_its_own_requests() {
    let system = start().await;
    send_staged(&system.a, "a", 6).await;
    assert_ne!(system.east.encoder.batches().len(), 0);
    assert_eq!(system.east.engine.runs().len(), 6);
    assert_eq!(system.north.encoder.batches().len(), 0);
    assert_eq!(system.north.engine.runs().len(), 0);
    let before = system.east.encoder.batches().len();
    send_staged(&system.b, "b", 6).await;
    assert_ne!(system.north.encoder.batches().len(), 0);
    assert_eq!(system.north.engine.runs().len(), 6);
    assert_eq!(system.east.encoder.batches().len(), before);
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_to_the_other_region_whole_where_its_own_lacks_a_stage() {
    let system = start().await;
    system.remove(&[&system.north.encoder]).await;
    send_staged(&system.b, "b", 6).await;
    assert_ne!(system.east.encoder.batches().len(), 0);
    assert_eq!(
        system.east.engine.runs().len(),
        6,
        "engines run in the region of the stage results"
    );
    assert_eq!(system.north.engine.runs().len(), 0);
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_to_the_other_region_whole_where_its_own_lacks_engines() {
    let system = start().await;
    system.remove(&[&system.north.engine]).await;
    send_staged(&system.b, "b", 6).await;
    assert_eq!(system.east.engine.runs().len(), 6);
    assert_eq!(system.north.encoder.batches().len(), 0, "stages run in the region of the engine");
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_that_is_evacuated_has_its_requests_served_by_the_other() {
    let system = start().await;
    system.store.evacuate("z2");
    until(|| system.b.open_count() == 3 && system.a.open_count() == 3).await;
    send_staged(&system.b, "b", 4).await;
    assert_eq!(system.east.engine.runs().len(), 4);
    system.store.restore("z2");
    until(|| system.b.open_count() == 6 && system.a.open_count() == 6).await;
    send_staged(&system.b, "c", 4).await;
    assert_eq!(system.north.engine.runs().len(), 4);
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_split_between_regions_if_neither_has_all_services() {
    let system = start().await;
    system.remove(&[&system.north.encoder, &system.east.engine]).await;
    send_staged(&system.a, "a", 3).await;
    send_staged(&system.b, "b", 3).await;
    assert_eq!(system.north.engine.runs().len(), 6);
    assert_ne!(system.east.encoder.batches().len(), 0);
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_of_a_region_whose_instances_are_all_killed_are_used_from_the_other() {
    let system = start().await;
    system.remove(&[&system.east.encoder]).await;
    send_staged(&system.a, "a", 2).await;
    system.b_runtime.shutdown_background();
    // No instance batches in the north any more.
    send_staged(&system.a, "c", 4).await;
    assert_ne!(system.north.encoder.batches().len(), 0);
    let runs = system.north.engine.runs().len() + system.east.engine.runs().len();
    assert_eq!(runs, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_request_goes_to_the_other_region_once_its_own_has_no_target() {
    let system = start().await;
    let callers = system.b.listen().callers.parse().unwrap();
    for id in 0..10 {
        let answer = call(callers, CallerRequest::new(&format!("r-{id}"), "/safe/")).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(system.north.plain.runs().len(), 10);
    system.remove(&[&system.north.plain]).await;
    let answer = call(callers, CallerRequest::new("r-last", "/safe/")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(system.east.plain.runs().len(), 1);
    system.b_runtime.shutdown_background();
}

/// Index of the route of staged requests in the sample configuration.
const STAGED: usize = 6;

/// A configuration in which staged requests are late after 700 ms.
fn short_deadlines() -> serde_json::Value {
    let mut configuration = sample_configuration(2);
    set_stream_times(&mut configuration, STAGED, 700, 500);
    configuration
}

fn staged_request(id: &str, item_counts: &str) -> CallerRequest {
    CallerRequest::new(id, "/staged/").with_prompt("p:100").with_items(item_counts)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_request_that_a_loaded_region_would_serve_late_goes_to_the_other() {
    let system = start().await;
    system.store.put_configuration(&short_deadlines());
    until(|| system.a.version() == 2 && system.b.version() == 2).await;
    system.north.encoder.set_behaviour(Behaviour::StallItems);
    let callers = system.b.listen().callers.parse().unwrap();
    // The first request keeps the only target of the stage busy, and the others queue behind it.
    let mut calls = Vec::new();
    while system.east.engine.runs().is_empty() {
        assert!(calls.len() < 1000, "no request was moved to the other region");
        let request = staged_request(&format!("r-{}", calls.len()), "10,1");
        calls.push(tokio::spawn(call(callers, request)));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let served = system.east.engine.runs()[0].request.clone();
    let item_count = |target: &Target| {
        let items = target.batches().into_iter().flatten();
        items.filter(|it| it.to_string().contains(&format!("\"{served}\""))).count()
    };
    assert_eq!(
        item_count(&system.east.encoder),
        11,
        "all items are computed in the region that serves it"
    );
    assert_eq!(item_count(&system.north.encoder), 0, "no item was computed in its own region");
    calls.iter().for_each(tokio::task::JoinHandle::abort);
    system.b_runtime.shutdown_background();
}
