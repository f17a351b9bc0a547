//! Requests that need more of an instance than it has.

mod support;

use holdpoint_adapter_standin::{Behaviour, CallerRequest, names};
use http::StatusCode;

use crate::support::start;

/// Numbers of work items of two stages that no instance can serve.
const UNSERVED_ITEMS: [&str; 5] =
    ["100000,1", "1,4294967295", "5000000000,2", "99999999999999999999,1", "2,many"];

/// Guards against work items that no caller asked for: a number that the process cannot hold was left out, and the next one
/// taken for its stage.
#[tokio::test]
async fn a_request_with_more_work_items_than_can_be_held_is_refused() {
    let system = start(&[Behaviour::Answer], &[Behaviour::Events(1)]).await;
    for (index, items) in UNSERVED_ITEMS.iter().enumerate() {
        let request = CallerRequest::new(&format!("r-{index}"), "/staged/").with_items(items);
        let answer = system.send(request).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{items}");
    }
    let stage_calls = system.encoder.addressed();
    assert!(stage_calls.iter().all(|it| it.0 != names::RUN_PATH), "{stage_calls:?}");
    let served = system.send(CallerRequest::new("served", "/staged/").with_items("2,0")).await;
    assert_eq!(served.status, StatusCode::OK);
}
