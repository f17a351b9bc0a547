//! What callers of an instance see when a peer that works for it stops.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Store, Target, call, names, sample_configuration, set_times,
};
use holdpointd::{StopOutcome, ingress::Ingress};
use http::StatusCode;
use serde_json::json;

use crate::support::{settings, start_instance, stoppable::Stoppable, until};

/// Index of the route of staged requests in the sample configuration.
const STAGED: usize = 6;
/// Index of the stages' service.
const ENCODE: usize = 2;
/// Longer than a stop lasts that waits for nothing.
const STOP_TIME: Duration = Duration::from_secs(2);

/// Guards against a stop that breaks off the work items of peers, whose requests are then late or refused.
#[tokio::test]
async fn a_stop_waits_for_the_work_items_of_peers() {
    let store = Store::start().await;
    let mut configuration = sample_configuration(1);
    set_times(&mut configuration, STAGED, 20_000);
    // A call that seems silent is made again.
    configuration["services"][ENCODE]["pieces"]["call-ms"] = json!(5000.0);
    store.put_configuration(&configuration);
    let encoder = Target::start("i-encode", "encode", Behaviour::StallItems).await;
    let engine = Target::start("i-engine", "engine", Behaviour::Events(1)).await;
    store.put_target(&encoder, false);
    store.put_target(&engine, false);
    let is_complete = |it: &Ingress| it.is_ready() && it.target_count() == 2;
    let mut owner = settings("owner", &store.endpoint, &[]);
    owner["timing"]["grace_s"] = json!(30.0);
    // Only a strong instance owns services.
    owner["machine"] = json!({ "cpu_share": 1.0, "cpu_cores": 4.0, "link_mbps": 1000.0 });
    let owner = Stoppable::start(owner, move |it| is_complete(it)).await;
    let gate = store.open_endpoint().await;
    let instance = start_instance("a", &gate);
    until(|| is_complete(&instance) && instance.peer_count() == 1).await;
    let callers = instance.listen().callers.parse().unwrap();
    let request = CallerRequest::new("r-1", "/staged/").with_items("1,1");
    let request = request.with_header(names::DEADLINE, "20000");
    let answer = tokio::spawn(call(callers, request));
    let stage_calls = || encoder.addressed().iter().filter(|it| it.0 == names::RUN_PATH).count();
    until(|| stage_calls() == 2).await;
    let mut stopping = owner.stop();
    tokio::time::sleep(STOP_TIME).await;
    assert!(!stopping.has_ended(), "the stop waits for the call of the peer");
    encoder.set_behaviour(Behaviour::Answer);
    assert_eq!(stopping.ended().await, StopOutcome::Drained);
    let answer = answer.await.unwrap().expect("the instance answers");
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_complete);
    assert_eq!(stage_calls(), 2, "the work items were run again");
}
