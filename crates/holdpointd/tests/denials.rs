//! Requests that the active configuration does not allow: an instance denies them only if it can confirm that its
//! configuration is current.

mod support;

use futures::future::join_all;
use holdpoint_adapter_standin::{Behaviour, Outage, sample_configuration};
use http::StatusCode;
use serde_json::json;

use crate::support::{CONDITION_TIMEOUT, System, start, start_instance, until};

/// Sends requests for a route that does not exist until one has the expected status.
async fn until_answered(system: &System, expected: StatusCode) {
    let asked = async {
        let mut attempt = 0;
        while system.ask(&format!("r-{attempt}"), "/nowhere/").await.status != expected {
            attempt += 1;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, asked)
        .await
        .expect("no answer had the expected status in time");
}

/// Callers treat a denial as final. An isolated instance may have missed the configuration that allows the
/// request, so it answers 503 until it has contact again.
#[tokio::test]
async fn an_isolated_instance_denies_nothing() {
    let system = start(&[Behaviour::Answer], &[]).await;
    until_answered(&system, StatusCode::NOT_FOUND).await;
    system.store.endpoint.set_outage(Outage::Busy);
    until_answered(&system, StatusCode::SERVICE_UNAVAILABLE).await;
    assert_eq!(system.ask("r-known", "/safe/").await.status, StatusCode::OK);
    system.store.endpoint.set_outage(Outage::None);
    until_answered(&system, StatusCode::NOT_FOUND).await;
}

#[tokio::test]
async fn waiting_requests_share_one_check_of_the_configuration() {
    let system = start(&[Behaviour::Answer], &[]).await;
    system.store.endpoint.set_outage(Outage::Busy);
    until_answered(&system, StatusCode::SERVICE_UNAVAILABLE).await;
    let before = system.store.endpoint.call_count();
    let ids: Vec<String> = (0..200).map(|it| format!("shared-{it}")).collect();
    let answers = join_all(ids.iter().map(|it| system.ask(it, "/nowhere/"))).await;
    assert!(answers.iter().all(|it| it.status == StatusCode::SERVICE_UNAVAILABLE));
    let calls = system.store.endpoint.call_count() - before;
    // Includes the periodic reads of the store.
    assert!(calls < 50, "{calls} calls to the store for 200 requests");
}

/// The store rejects the calls of this instance, but not those of its peer.
#[tokio::test]
async fn an_instance_that_the_store_rejects_asks_a_peer_before_it_denies() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let gate = system.store.open_endpoint().await;
    let other = start_instance("b", &gate);
    until(|| other.is_ready() && other.peer_count() == 1 && system.instance.peer_count() == 1)
        .await;
    system.store.endpoint.set_outage(Outage::Busy);
    let mut emptied = sample_configuration(7);
    emptied["routes"] = json!([]);
    system.store.put_configuration(&emptied);
    until(|| system.instance.version() == 7).await;
    until_answered(&system, StatusCode::NOT_FOUND).await;
}

#[tokio::test]
async fn an_instance_without_a_configuration_denies_nothing() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let gate = system.store.open_endpoint().await;
    gate.set_outage(Outage::Busy);
    let alone = start_instance("alone", &gate);
    let address = alone.listen().callers.parse().unwrap();
    let request = holdpoint_adapter_standin::CallerRequest::new("r-1", "/nowhere/");
    let answer = holdpoint_adapter_standin::call(address, request).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    drop(system);
}
