//! Routes and organisations that are confined to regions: requests, work items and results must never be outside
//! the allowed regions, also after a change of the configuration.

mod support;

use std::time::{Duration, Instant};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Endpoint, Target, call, confine_organisation, confine_route,
    sample_configuration, set_stages,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use serde_json::Value;

use crate::support::{System, event_stream, header, start_in_region, start_with_domains, until};

/// The sample configuration with some routes, given by index, and the organisation confined to regions.
fn confined(version: u64, routes: &[(usize, &[&str])], organisation: Option<&[&str]>) -> Value {
    let mut configuration = sample_configuration(version);
    for (route, regions) in routes {
        confine_route(&mut configuration, *route, regions);
    }
    if let Some(it) = organisation {
        confine_organisation(&mut configuration, it);
    }
    configuration
}

// Indices of routes in the sample configuration.
const SAFE: usize = 0;
const UNSAFE: usize = 2;
const STORY: usize = 4;
const STAGED: usize = 6;

/// Starts an instance in region east. The first target of each service is in east, the others are in north.
async fn two_regions(plain: &[Behaviour], engines: &[Behaviour]) -> System {
    let domain = |index| if index == 0 { "z1" } else { "z2" };
    start_with_domains(|gate| start_in_region("a", "east", "z1", gate), domain, plain, engines)
        .await
}

async fn configure(system: &System, configuration: Value) {
    system.store.put_configuration(&configuration);
    let version = configuration["version"].as_u64().unwrap();
    until(|| system.instance.version() == version).await;
}

async fn encoder_in(system: &System, id: &str, domain: &str) -> Target {
    let encoder = Target::start(id, "encode", Behaviour::Answer).await;
    let before = system.instance.target_count();
    system.store.put_target_in(&encoder, domain, 0);
    until(|| system.instance.target_count() == before + 1).await;
    encoder
}

/// Sum of the metric lines of an instance that start with `name` and contain `label`.
async fn metric_sum(instance: &Ingress, name: &str, label: &str) -> f64 {
    let address = instance.listen().metrics.parse().unwrap();
    let request = CallerRequest::new("metrics", "/metrics").with_method(http::Method::GET);
    let answer = call(address, request).await.expect("the metrics endpoint answers");
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    let lines = text.lines().filter(|it| it.starts_with(name) && it.contains(label));
    lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

#[tokio::test]
async fn requests_run_only_in_allowed_regions_whatever_is_nearer() {
    let system = two_regions(&[Behaviour::Answer; 3], &[Behaviour::Events(2); 3]).await;
    let routes: [(usize, &[&str]); 3] =
        [(SAFE, &["north"]), (UNSAFE, &["north", "south"]), (STORY, &["north"])];
    configure(&system, confined(2, &routes, None)).await;
    for id in 0..20 {
        for path in ["/safe/", "/unsafe/"] {
            let answer = system.ask(&format!("{path}{id}"), path).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        let prompt =
            CallerRequest::new(&format!("s-{id}"), "/story/").with_prompt("a1:1000,b2:100");
        assert_eq!(system.send(prompt).await.status, StatusCode::OK);
    }
    assert_eq!((system.plain[0].runs().len(), system.engines[0].runs().len()), (0, 0));
    assert_eq!((system.plain_runs(), system.engine_runs()), (40, 20));
}

#[tokio::test]
async fn a_request_whose_regions_cannot_serve_it_is_refused_at_once_as_not_run() {
    let system = two_regions(&[Behaviour::Answer; 2], &[Behaviour::Events(2); 2]).await;
    // A request must meet the limits of its route and of its organisation. An unknown region has no targets, and an
    // empty list allows no region.
    let routes: [(usize, &[&str]); 3] = [(SAFE, &["north"]), (UNSAFE, &["moon"]), (STORY, &[])];
    configure(&system, confined(2, &routes, Some(&["east"]))).await;
    for path in ["/safe/", "/unsafe/", "/story/"] {
        let begun = Instant::now();
        let answer = system.ask(&format!("r-{path}"), path).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(!header(&answer, "retry-after").is_empty());
        assert!(begun.elapsed() < Duration::from_millis(1500), "the refusal took too long");
    }
    assert_eq!(system.plain_runs() + system.engine_runs(), 0);
    // Routes without limits of their own: the organisation's limits apply, unless the route needs no key.
    assert_eq!(system.ask("r-open", "/open/").await.status, StatusCode::OK);
    assert_eq!(system.ask("r-once", "/once/").await.status, StatusCode::OK);
    assert_eq!(system.engines[1].runs().len(), 0);
}

#[tokio::test]
async fn a_target_whose_region_is_not_known_counts_as_outside() {
    let start = |gate: &Endpoint| start_in_region("a", "east", "z1", gate);
    let system = start_with_domains(start, |_| "nowhere", &[Behaviour::Answer], &[]).await;
    configure(&system, confined(2, &[(SAFE, &["east", "north"])], None)).await;
    let answer = system.ask("r-1", "/safe/").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(system.plain_runs(), 0);
    assert_eq!(system.ask("r-2", "/unsafe/").await.status, StatusCode::OK);
}

#[tokio::test]
async fn pieces_are_made_only_in_allowed_regions() {
    let system = two_regions(&[], &[Behaviour::Events(2); 2]).await;
    let far = encoder_in(&system, "i-encode-2", "z2").await;
    configure(&system, confined(2, &[(STAGED, &["north"])], None)).await;
    for id in 0..10 {
        let request = CallerRequest::new(&format!("r-{id}"), "/staged/").with_items("2,1");
        assert_eq!(system.send(request).await.status, StatusCode::OK);
    }
    assert_eq!(system.encoder.batches().len(), 0);
    assert_ne!(far.batches().len(), 0);
    assert_eq!(system.engines[0].runs().len(), 0);
    let before = far.batches().len();
    system.store.drop_target("i-encode-2");
    until(|| system.instance.target_count() == 3).await;
    let answer = system.send(CallerRequest::new("r-x", "/staged/").with_items("1,1")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!header(&answer, "retry-after").is_empty());
    assert_eq!((far.batches().len(), system.encoder.batches().len()), (before, 0));
}

#[tokio::test]
async fn a_broken_stream_is_resumed_only_in_allowed_regions() {
    let engines = [Behaviour::Events(4), Behaviour::BreakAfter(2)];
    let system = two_regions(&[], &engines).await;
    configure(&system, confined(2, &[(STORY, &["north"])], None)).await;
    let answer = system.ask("r-1", "/story/").await;
    assert!(!answer.is_complete);
    assert_eq!(system.engines[0].runs().len(), 0);
    configure(&system, confined(3, &[(STORY, &["north", "east"])], None)).await;
    until(|| system.engines[1].runs().len() == 1).await;
    for id in 0..20 {
        let answer = system.ask(&format!("s-{id}"), "/story/").await;
        assert!(answer.is_complete);
        assert_eq!(answer.body, event_stream(0, 4));
    }
}

/// The first stage has run in the region that becomes forbidden, and the second is queued there.
#[tokio::test]
async fn queued_items_are_withdrawn_when_their_region_becomes_forbidden() {
    let system = two_regions(&[], &[Behaviour::Events(2); 2]).await;
    system.encoder.set_behaviour(Behaviour::DeclineItems);
    let request = CallerRequest::new("r-1", "/staged/").with_items("1,1");
    let callers = system.caller_address();
    let waiting = tokio::spawn(call(callers, request));
    until(|| system.encoder.declined() != 0).await;
    let before = system.encoder.batches().len();
    configure(&system, confined(2, &[(STAGED, &["north"])], None)).await;
    system.encoder.set_behaviour(Behaviour::Answer);
    let far = Target::start("i-encode-2", "encode", Behaviour::Answer).await;
    system.store.put_target_in(&far, "z2", 0);
    // The request is served if the new target is known in time, and refused otherwise.
    let answer = waiting.await.unwrap().expect("there is an answer");
    assert_eq!(
        system.encoder.batches().len(),
        before,
        "the encoder in the forbidden region got a call"
    );
    assert_eq!(system.engines[0].runs().len(), 0);
    assert_eq!(answer.status == StatusCode::OK, system.engines[1].runs().len() == 1);
}

#[tokio::test]
async fn queued_items_move_to_an_allowed_region() {
    let system = two_regions(&[], &[Behaviour::Events(2); 2]).await;
    configure(&system, confined(2, &[(STAGED, &["east"])], None)).await;
    let far = encoder_in(&system, "i-encode-2", "z2").await;
    system.encoder.set_behaviour(Behaviour::DeclineItems);
    let request = CallerRequest::new("r-1", "/staged/").with_items("1,1");
    let callers = system.caller_address();
    let waiting = tokio::spawn(call(callers, request));
    until(|| system.encoder.declined() != 0).await;
    assert_eq!(far.batches().len(), 0);
    configure(&system, confined(3, &[(STAGED, &["north"])], None)).await;
    let answer = waiting.await.unwrap().expect("there is an answer");
    assert_eq!(answer.status, StatusCode::OK);
    // Both stages, as the first is run again.
    assert_eq!(far.batches().len(), 2);
    assert_eq!((system.engines[0].runs().len(), system.engines[1].runs().len()), (0, 1));
    until(|| !system.encoder.released().is_empty()).await;
}

#[tokio::test]
async fn confined_work_is_batched_and_placed_by_an_instance_of_its_regions() {
    let system = two_regions(&[], &[Behaviour::Events(2); 2]).await;
    let gate = system.store.open_endpoint().await;
    let north = start_in_region("b", "north", "z2", &gate);
    let far = encoder_in(&system, "i-encode-2", "z2").await;
    let is_known = || system.instance.peer_count() == 1 && north.peer_count() == 1;
    until(|| is_known() && north.is_ready() && north.target_count() == 4).await;
    configure(&system, confined(2, &[(STAGED, &["north"]), (STORY, &["north"])], None)).await;
    until(|| north.version() == 2).await;
    let staged = |id: &str| CallerRequest::new(id, "/staged/").with_items("1,1");
    let streamed = |id: &str| CallerRequest::new(id, "/story/").with_prompt("a1:1000,b2:100");
    for id in 0..5 {
        assert_eq!(system.send(staged(&format!("r-{id}"))).await.status, StatusCode::OK);
        assert_eq!(system.send(streamed(&format!("s-{id}"))).await.status, StatusCode::OK);
    }
    let item_count = |it| metric_sum(it, "holdpoint_pieces", "answered");
    assert_eq!((item_count(&system.instance).await, item_count(&north).await), (0.0, 10.0));
    let placed = |by| metric_sum(&system.instance, "holdpoint_placements", by);
    assert_eq!(placed("peer").await, 5.0);
    // Confined to the region of the first instance, the work is done by that instance.
    configure(&system, confined(3, &[(STAGED, &["east"]), (STORY, &["east"])], None)).await;
    let (far_before, before) = (far.batches().len(), system.encoder.batches().len());
    until(|| north.version() == 3).await;
    let callers = north.listen().callers.parse().unwrap();
    let answer = call(callers, staged("r-far")).await.expect("there is an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(item_count(&system.instance).await, 2.0);
    assert_eq!((far.batches().len(), system.encoder.batches().len()), (far_before, before + 2));
}

/// A result that waits for a later stage is stored at a target whose region has become forbidden.
#[tokio::test]
async fn results_that_are_held_outside_are_given_up_and_made_anew() {
    let system = two_regions(&[], &[Behaviour::Events(2); 2]).await;
    let far = encoder_in(&system, "i-encode-2", "z2").await;
    let with_graph = |version, region: &str| {
        let mut configuration = confined(version, &[(STAGED, &[region])], None);
        let stages: [(&str, &[usize]); 4] =
            [("encode", &[]), ("encode", &[]), ("encode", &[1]), ("encode", &[0, 2])];
        set_stages(&mut configuration, STAGED, &stages);
        configuration
    };
    configure(&system, with_graph(2, "east")).await;
    system.encoder.set_behaviour(Behaviour::DeclineItems);
    let request = CallerRequest::new("r-1", "/staged/").with_items("1,1,1,1");
    let callers = system.caller_address();
    let waiting = tokio::spawn(call(callers, request));
    until(|| system.encoder.declined() != 0).await;
    configure(&system, with_graph(3, "north")).await;
    let answer = waiting.await.unwrap().expect("there is an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(
        far.batches().iter().map(Vec::len).sum::<usize>(),
        4,
        "every stage runs in the allowed region"
    );
    until(|| system.encoder.released().len() == 2).await;
}

#[tokio::test]
async fn no_stage_runs_if_one_has_no_target_in_the_allowed_regions() {
    let system = two_regions(&[], &[Behaviour::Events(2); 2]).await;
    let far = encoder_in(&system, "i-encode-2", "z2").await;
    let check = Target::start("i-check", "check", Behaviour::Answer).await;
    system.store.put_target_in(&check, "z1", 0);
    until(|| system.instance.target_count() == 5).await;
    let mut configuration = confined(2, &[(STAGED, &["north"])], None);
    set_stages(&mut configuration, STAGED, &[("encode", &[]), ("check", &[0])]);
    configure(&system, configuration).await;
    let staged = |id, items| system.send(CallerRequest::new(id, "/staged/").with_items(items));
    let answer = staged("r-1", "1,1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&answer, "retry-after"), "1.00");
    let batch_counts = || [&far, &check, &system.encoder].map(|it| it.batches().len());
    assert_eq!(batch_counts(), [0, 0, 0]);
    // A request without items for that stage is served.
    assert_eq!(staged("r-2", "1,0").await.status, StatusCode::OK);
    assert_eq!(batch_counts(), [1, 0, 0]);
}

/// A peer of a version without confinement could run the work in any region.
#[tokio::test]
async fn confined_work_is_not_handed_to_a_peer_without_confinement() {
    let system = two_regions(&[], &[Behaviour::Events(2); 2]).await;
    let far = encoder_in(&system, "i-encode-2", "z2").await;
    let gate = system.store.open_endpoint().await;
    let north = start_in_region("b", "north", "z2", &gate);
    until(|| north.is_ready() && north.target_count() == 4).await;
    until(|| system.instance.peer_count() == 1).await;
    // The same peer under another name, with much more capacity and the previous protocol version.
    let address = &north.listen().peers;
    system.store.put_instance("old", &format!("{address} 1 8000 8000 1 z2"));
    until(|| system.instance.peer_count() == 2).await;
    configure(&system, confined(2, &[(STAGED, &["north"])], None)).await;
    until(|| north.version() == 2).await;
    let answer = system.send(CallerRequest::new("r-1", "/staged/").with_items("1,1")).await;
    assert_eq!(answer.status, StatusCode::OK);
    let item_count = |it| metric_sum(it, "holdpoint_pieces", "answered");
    assert_eq!((item_count(&system.instance).await, item_count(&north).await), (2.0, 0.0));
    assert_eq!((far.batches().len(), system.encoder.batches().len()), (2, 0));
}
