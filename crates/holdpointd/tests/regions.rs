//! Two regions: which targets serve a request, and who batches for it, when all is well and when a
//! region lacks targets or instances.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Store, Target, call, sample_configuration, set_pace,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use tokio::runtime::Runtime;

use crate::support::{start_in, until};

/// Targets that stand in one region.
struct Half {
    domain: &'static str,
    plain: Target,
    engine: Target,
    encoder: Target,
}

impl Half {
    async fn start(region: &str, domain: &'static str) -> Half {
        let id = |it: &str| format!("i-{it}-{region}");
        Half {
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
    east: Half,
    north: Half,
    a: Ingress,
    b: Ingress,
    /// What the instance in the north runs on.
    b_runtime: Runtime,
}

async fn start() -> System {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let east = Half::start("east", "z1").await;
    let north = Half::start("north", "z2").await;
    for half in [&east, &north] {
        half.all().into_iter().for_each(|it| store.put_target_in(it, half.domain, 0));
    }
    let a = start_in("a", "east", "z1", &store.gate);
    let b_runtime = Runtime::new().unwrap();
    let gate = store.open_gate().await;
    let b = b_runtime.spawn(async move { start_in("b", "north", "z2", &gate) }).await.unwrap();
    let is_complete = |it: &Ingress| it.is_ready() && it.open_count() == 6 && it.peer_count() == 1;
    until(|| is_complete(&a) && is_complete(&b)).await;
    System { store, east, north, a, b, b_runtime }
}

impl System {
    /// Drops targets, and waits until the instances know it.
    async fn lose(&self, targets: &[&Target]) {
        let left = self.a.target_count() - targets.len();
        targets.iter().for_each(|it| self.store.drop_target(&it.id));
        until(|| [&self.a, &self.b].iter().all(|it| it.target_count() == left)).await;
    }
}

/// Sends staged requests to an instance, one after the other; each is answered whole.
async fn staged(instance: &Ingress, name: &str, count: usize) {
    for id in 0..count {
        let request = CallerRequest::new(&format!("{name}-{id}"), "/staged/");
        let request = request.with_prompt("p:100").with_pieces("2,1");
        let callers = instance.listen().callers.parse().unwrap();
        let answer = call(callers, request).await.expect("there is an answer");
        assert_eq!(answer.status, StatusCode::OK, "{name}-{id}");
        assert!(answer.is_whole);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_region_serves_its_own_requests() {
    let system = start().await;
    staged(&system.a, "a", 6).await;
    assert_ne!(system.east.encoder.batches().len(), 0);
    assert_eq!(system.east.engine.runs().len(), 6);
    assert_eq!(system.north.encoder.batches().len(), 0);
    assert_eq!(system.north.engine.runs().len(), 0);
    let before = system.east.encoder.batches().len();
    staged(&system.b, "b", 6).await;
    assert_ne!(system.north.encoder.batches().len(), 0);
    assert_eq!(system.north.engine.runs().len(), 6);
    assert_eq!(system.east.encoder.batches().len(), before);
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_to_the_other_region_whole_where_its_own_lacks_a_stage() {
    let system = start().await;
    system.lose(&[&system.north.encoder]).await;
    staged(&system.b, "b", 6).await;
    assert_ne!(system.east.encoder.batches().len(), 0);
    assert_eq!(system.east.engine.runs().len(), 6, "its engine is beside its results");
    assert_eq!(system.north.engine.runs().len(), 0);
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_to_the_other_region_whole_where_its_own_lacks_engines() {
    let system = start().await;
    system.lose(&[&system.north.engine]).await;
    staged(&system.b, "b", 6).await;
    assert_eq!(system.east.engine.runs().len(), 6);
    assert_eq!(system.north.encoder.batches().len(), 0, "its results are beside its engine");
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_that_is_evacuated_has_its_requests_served_by_the_other() {
    let system = start().await;
    system.store.evacuate("z2");
    until(|| system.b.open_count() == 3 && system.a.open_count() == 3).await;
    staged(&system.b, "b", 4).await;
    assert_eq!(system.east.engine.runs().len(), 4);
    system.store.restore("z2");
    until(|| system.b.open_count() == 6 && system.a.open_count() == 6).await;
    staged(&system.b, "c", 4).await;
    assert_eq!(system.north.engine.runs().len(), 4);
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn services_that_no_region_has_whole_are_served_across() {
    let system = start().await;
    system.lose(&[&system.north.encoder, &system.east.engine]).await;
    staged(&system.a, "a", 3).await;
    staged(&system.b, "b", 3).await;
    assert_eq!(system.north.engine.runs().len(), 6);
    assert_ne!(system.east.encoder.batches().len(), 0);
    system.b_runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_of_a_region_whose_instances_are_all_killed_are_used_from_the_other() {
    let system = start().await;
    system.lose(&[&system.east.encoder]).await;
    staged(&system.a, "a", 2).await;
    system.b_runtime.shutdown_background();
    // Nobody batches in the north any more.
    staged(&system.a, "c", 4).await;
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
    system.lose(&[&system.north.plain]).await;
    let answer = call(callers, CallerRequest::new("r-last", "/safe/")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(system.east.plain.runs().len(), 1);
    system.b_runtime.shutdown_background();
}

/// Index of the route of staged requests in the sample configuration.
const STAGED: usize = 6;

/// A configuration whose staged requests are late after 700 ms.
fn short_of_time() -> serde_json::Value {
    let mut configuration = sample_configuration(2);
    set_pace(&mut configuration, STAGED, 700, 500);
    configuration
}

fn staged_request(id: &str, pieces: &str) -> CallerRequest {
    CallerRequest::new(id, "/staged/").with_prompt("p:100").with_pieces(pieces)
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_loaded_region_cannot_serve_in_time_goes_to_the_other_whole() {
    let system = start().await;
    system.store.put_configuration(&short_of_time());
    until(|| system.a.version() == 2 && system.b.version() == 2).await;
    system.north.encoder.set_behaviour(Behaviour::HoldPieces);
    let callers = system.b.listen().callers.parse().unwrap();
    // The first one keeps the only target of its stages busy, and the others wait behind it.
    let mut asked = Vec::new();
    while system.east.engine.runs().is_empty() {
        assert!(asked.len() < 1000, "places are borrowed in the end");
        let request = staged_request(&format!("r-{}", asked.len()), "10,1");
        asked.push(tokio::spawn(call(callers, request)));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let served = system.east.engine.runs()[0].request.clone();
    let of = |target: &Target| {
        let pieces = target.batches().into_iter().flatten();
        pieces.filter(|it| it.to_string().contains(&format!("\"{served}\""))).count()
    };
    assert_eq!(of(&system.east.encoder), 11, "all its pieces are made where it is served");
    assert_eq!(of(&system.north.encoder), 0, "no work was done for it before");
    asked.iter().for_each(tokio::task::JoinHandle::abort);
    system.b_runtime.shutdown_background();
}
