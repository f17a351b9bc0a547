//! Bytes that instances send to each other for the work items of stages.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{Behaviour, CallerRequest, call};
use holdpointd::ingress::Ingress;
use http::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::support::{CONDITION_TIMEOUT, start};

/// Number of requests to each instance.
const REQUESTS: usize = 10;
/// Number of items of each of the two stages. Each item of the second one has all results of the first as inputs.
const ITEMS: usize = 20;
/// Most bytes for an item of a stage, with those of pings.
const MAX_ITEM_BYTES: usize = 200;

/// Bytes that an instance has sent to peers.
async fn sent_to_peers(instance: &Ingress) -> usize {
    let address = instance.listen().metrics.parse().unwrap();
    let request = CallerRequest::new("metrics", "/metrics").with_method(Method::GET);
    let answer = call(address, request).await.expect("the metrics endpoint answers");
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    let is_sent = |it: &&str| {
        it.starts_with("holdpoint_link_bytes")
            && it.contains(r#"kind="peers""#)
            && it.contains(r#"direction="sent""#)
    };
    text.lines().find(is_sent).map_or(0, |it| it.rsplit_once(' ').unwrap().1.parse().unwrap())
}

/// Guards against items that repeat all inputs of their stage, which fill a narrow link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_requested_together_do_not_repeat_their_inputs() {
    let system = start(&[Behaviour::Answer], &[Behaviour::Events(1)]).await;
    let others = system.start_others(&["b", "c"]).await;
    let instances: Vec<&Ingress> =
        std::iter::once(&system.instance).chain(others.iter().map(|it| &it.0)).collect();
    let mut before = 0;
    for instance in &instances {
        before += sent_to_peers(instance).await;
    }
    for (index, instance) in instances.iter().enumerate() {
        let callers = instance.listen().callers.parse().unwrap();
        for count in 0..REQUESTS {
            let request = CallerRequest::new(&format!("r-{index}-{count}"), "/staged/");
            let request = request.with_items(&format!("{ITEMS},{ITEMS}"));
            let answer = call(callers, request).await.expect("the instance answers");
            assert_eq!(answer.status, StatusCode::OK);
        }
    }
    // One of the three batches the items and sends none. The metrics follow within a second; an item takes a byte at least.
    let items = (instances.len() - 1) * REQUESTS * 2 * ITEMS;
    let mut sent = 0;
    let begun = Instant::now();
    while sent < items && begun.elapsed() < CONDITION_TIMEOUT {
        sleep(Duration::from_millis(1500)).await;
        sent = 0;
        for instance in &instances {
            sent += sent_to_peers(instance).await;
        }
    }
    let sent = sent - before;
    assert!(items <= sent && sent < items * MAX_ITEM_BYTES, "{sent} bytes for {items} items");
}
