//! Requests that need more of an instance than it has.

mod support;

use futures::future::join_all;
use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Store, Target, call, names, sample_configuration, set_times,
};
use http::StatusCode;
use serde_json::json;

use crate::support::{daemon::Daemon, start};

/// Size of the large bodies, in bytes, and the callers that send one at the same time.
const BODY_BYTES: usize = 4 << 20;
const CALLERS: usize = 40;
/// Memory of the machine.
const MEMORY_MB: f64 = 120.0;
/// Largest memory that the daemon may own on it, in kilobytes: half of it. The bodies take 160 MB.
const MAX_OWNED_KB: u64 = 60 << 10;

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

/// Guards against a process that is ended for the memory of its requests' bodies.
#[tokio::test]
async fn large_bodies_that_arrive_together_do_not_fill_the_memory() {
    let store = Store::start().await;
    let mut configuration = sample_configuration(1);
    (0..3).for_each(|it| set_times(&mut configuration, it, 20_000));
    configuration["limits"]["max-body-bytes"] = json!(BODY_BYTES);
    store.put_configuration(&configuration);
    let target = Target::start("i-plain", "plain", Behaviour::Answer).await;
    store.put_target(&target, false);
    let mut daemon = Daemon::start("large-bodies", &store, MEMORY_MB);
    daemon.until_serving().await;
    daemon.closed_before = daemon.closed_unread().await;
    target.set_behaviour(Behaviour::Large(64 << 10));
    let callers = daemon.callers.parse().unwrap();
    let request = |index: usize| {
        CallerRequest::new(&format!("r-{index}"), "/safe/")
            .with_header(names::DEADLINE, "20000")
            .with_body(vec![b'x'; BODY_BYTES])
    };
    let answers = join_all((0..CALLERS).map(|it| call(callers, request(it)))).await;
    let has_run = |index: usize| target.runs().iter().any(|it| it.request == format!("r-{index}"));
    let (mut served, mut unanswered) = (0, 0);
    for (index, answer) in answers.into_iter().enumerate() {
        match answer.map(|it| it.status) {
            Some(StatusCode::OK) => served += 1,
            Some(it) => {
                assert_eq!(it, StatusCode::SERVICE_UNAVAILABLE, "caller {index}");
                assert!(!has_run(index), "caller {index} was refused and has run");
            }
            None => unanswered += 1,
        }
    }
    let owned_kb = daemon.peak_owned_kb();
    assert!(owned_kb < MAX_OWNED_KB, "{owned_kb} kB");
    assert_ne!(served, 0, "no caller was served");
    let unread = daemon.closed_unread().await;
    assert!(unanswered <= unread, "{unanswered} without an answer, {unread} not read");
}

/// Guards against bodies that are refused since the memory of the machine is unknown, which the settings state as 0.
#[tokio::test]
async fn a_body_has_room_on_a_machine_of_unknown_memory() {
    let store = Store::start().await;
    let mut configuration = sample_configuration(1);
    configuration["limits"]["max-body-bytes"] = json!(BODY_BYTES);
    store.put_configuration(&configuration);
    let target = Target::start("i-plain", "plain", Behaviour::Answer).await;
    store.put_target(&target, false);
    let daemon = Daemon::start("unknown-memory", &store, 0.0);
    daemon.until_serving().await;
    let request = CallerRequest::new("r-1", "/safe/").with_body(vec![b'x'; 64 << 10]);
    let answer = call(daemon.callers.parse().unwrap(), request).await.expect("there is an answer");
    assert_eq!(answer.status, StatusCode::OK);
}
