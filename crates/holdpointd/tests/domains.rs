//! Evacuated failure domains must get no new work, and targets that start cold no more than their limited rate.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Outage, Store, Target, call, sample_configuration,
};
use http::StatusCode;
use serde_json::json;

use crate::support::{System, event_stream, header, start, start_instance, until};

/// Starts a system whose first plain target and first engine are in failure domain z2, all others in z1.
async fn two_domains(engines: &[Behaviour]) -> System {
    let system = start(&[Behaviour::Answer, Behaviour::Answer], engines).await;
    system.store.put_target_in(&system.plain[0], "z2", 0);
    if let Some(it) = system.engines.first() {
        system.store.put_target_in(it, "z2", 0);
    }
    until(|| system.instance.open_count() == system.instance.target_count()).await;
    system
}

async fn evacuate(system: &System, domain: &str, open: usize) {
    system.store.evacuate(domain);
    until(|| system.instance.open_count() == open).await;
}

#[tokio::test]
async fn an_evacuated_domain_gets_no_new_work_until_it_is_restored() {
    let system = two_domains(&[]).await;
    // The instance prefers its own failure domain.
    evacuate(&system, "z1", 1).await;
    for id in 0..30 {
        assert_eq!(system.ask(&format!("r-{id}"), "/safe/").await.status, StatusCode::OK);
    }
    assert_eq!(system.plain[1].runs().len(), 0);
    system.store.restore("z1");
    until(|| system.instance.open_count() == 3).await;
    for id in 0..60 {
        assert_eq!(system.ask(&format!("s-{id}"), "/safe/").await.status, StatusCode::OK);
    }
    assert_ne!(system.plain[1].runs().len(), 0);
}

#[tokio::test]
async fn a_running_stream_completes_and_new_ones_avoid_the_evacuated_domain() {
    let system = two_domains(&[Behaviour::Events(40)]).await;
    let request = CallerRequest::new("r-1", "/story/").with_prompt("p:100");
    let callers = system.caller_address();
    let streaming = tokio::spawn(call(callers, request));
    until(|| system.engine_runs() == 1).await;
    evacuate(&system, "z2", 2).await;
    let answer = streaming.await.unwrap().expect("there is an answer");
    assert!(answer.is_complete);
    assert_eq!(answer.body, event_stream(0, 40));
    let refused = system.ask("r-2", "/story/").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!header(&refused, "retry-after").is_empty());
    assert_eq!(system.engine_runs(), 1);
}

#[tokio::test]
async fn a_broken_stream_is_not_resumed_in_an_evacuated_domain() {
    let system = two_domains(&[Behaviour::Events(3), Behaviour::BreakAfter(2)]).await;
    evacuate(&system, "z2", 3).await;
    let answer = system.ask("r-1", "/story/").await;
    assert!(!answer.is_complete);
    assert_eq!(system.engines[0].runs().len(), 0);
}

#[tokio::test]
async fn items_avoid_evacuated_domains_and_are_refused_at_once_without_a_target() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    let other = Target::start("i-encode-2", "encode", Behaviour::Answer).await;
    system.store.put_target_in(&other, "z2", 0);
    until(|| system.instance.open_count() == 3).await;
    evacuate(&system, "z2", 2).await;
    let staged = |id: &str| CallerRequest::new(id, "/staged/").with_items("2,1");
    for id in 0..10 {
        let answer = system.send(staged(&format!("r-{id}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(other.batches().len(), 0);
    system.store.put_target_in(&system.encoder, "z3", 0);
    evacuate(&system, "z3", 1).await;
    let before = system.encoder.batches().len();
    let begun = std::time::Instant::now();
    let answer = system.send(staged("r-last")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!header(&answer, "retry-after").is_empty());
    assert!(begun.elapsed() < Duration::from_millis(1500), "the refusal took too long");
    assert_eq!(system.encoder.batches().len(), before);
}

#[tokio::test]
async fn waiting_items_are_refused_at_once_when_their_last_target_is_evacuated() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    system.encoder.set_behaviour(Behaviour::DeclineItems);
    let request = CallerRequest::new("r-1", "/staged/").with_items("1,1");
    let callers = system.caller_address();
    let waiting = tokio::spawn(call(callers, request));
    until(|| system.encoder.declined() != 0).await;
    evacuate(&system, "z1", 0).await;
    let answer = waiting.await.unwrap().expect("there is an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(system.engine_runs(), 0);
}

#[tokio::test]
async fn an_instance_that_starts_in_an_outage_learns_of_evacuations_before_it_is_ready() {
    let system = two_domains(&[]).await;
    evacuate(&system, "z2", 2).await;
    let gate = system.store.open_endpoint().await;
    gate.set_outage(Outage::Busy);
    let seeds = [system.instance.listen().peers.clone()];
    let started = support::start_with_seeds("b", &gate, &seeds);
    until(|| started.is_ready()).await;
    assert_eq!(started.open_count(), 2, "evacuation unknown to an instance that is ready");
    assert_eq!(started.target_count(), 3);
}

#[tokio::test]
async fn an_evacuation_withdrawn_during_a_store_outage_ends_after_it() {
    let system = two_domains(&[]).await;
    let gate = system.store.open_endpoint().await;
    let other = start_instance("b", &gate);
    until(|| other.is_ready() && other.open_count() == 3).await;
    until(|| other.peer_count() == 1 && system.instance.peer_count() == 1).await;
    evacuate(&system, "z2", 2).await;
    until(|| other.open_count() == 2).await;
    // Neither instance reaches the store while the evacuation is withdrawn and the history compacted.
    gate.set_outage(Outage::Busy);
    system.store.endpoint.set_outage(Outage::Busy);
    let before = gate.call_count();
    until(|| before + 3 < gate.call_count()).await;
    system.store.restore("z2");
    system.store.compact();
    assert_eq!(other.open_count(), 2, "the evacuation stays active without the store");
    gate.set_outage(Outage::None);
    until(|| other.open_count() == 3 && system.instance.open_count() == 3).await;
}

#[tokio::test]
async fn an_evacuation_of_an_unknown_domain_applies_to_targets_that_join_it() {
    let system = two_domains(&[]).await;
    system.store.evacuate("nobody");
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    until(|| system.instance.evacuated().contains(&"nobody".to_owned())).await;
    system.store.put_target_in(&joined, "nobody", 0);
    until(|| system.instance.target_count() == 4).await;
    assert_eq!(system.instance.open_count(), 3);
}

/// Three instances share the rate limit of a cold target, 20 requests per second here.
#[tokio::test]
async fn a_cold_target_gets_no_more_than_its_rate_from_all_instances() {
    let store = Store::start().await;
    let mut configuration = sample_configuration(1);
    configuration["services"][0]["cold-start-s"] = json!(3.0);
    configuration["services"][0]["cold-per-s"] = json!(20.0);
    store.put_configuration(&configuration);
    let cold = Target::start("i-cold", "plain", Behaviour::Answer).await;
    let warm = Target::start("i-warm", "plain", Behaviour::Answer).await;
    store.put_target_in(&cold, "z1", 60_000);
    store.put_target_in(&warm, "z1", 0);
    let instances: Vec<_> = ["a", "b", "c"].map(|it| start_instance(it, &store.endpoint)).into();
    until(|| instances.iter().all(|it| it.is_ready() && it.target_count() == 2)).await;
    until(|| instances.iter().all(|it| it.peer_count() == 2)).await;
    let before = cold.runs().len();
    let begun = std::time::Instant::now();
    for id in 0..600 {
        let callers = instances[id % 3].listen().callers.parse().unwrap();
        let answer = call(callers, CallerRequest::new(&format!("r-{id}"), "/safe/")).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    let most = 3.0 + 20.0 * begun.elapsed().as_secs_f64();
    let got = (cold.runs().len() - before) as f64;
    assert!(got <= most, "{got} requests to the cold target, at most {most} allowed");
    assert!(300 < warm.runs().len());
}
