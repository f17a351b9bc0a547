//! Injects single failures into a system and checks what callers and operators receive.

use std::time::Duration;

use holdpoint_emulator::{
    caller::{self, Reply, Request},
    faults::{self, Fault},
    load::instances,
    world::{Plan, World},
};
use holdpoint_platform::operators::ChangeOptions;
use holdpoint_schema::caller::ChangeState;
use serde_json::{Value, json};
use uuid::Uuid;

fn hold(marker: &str, timeout_ms: u64) -> Request {
    Request {
        pipeline: "stock-hold".to_owned(),
        bearer: "demo-saskatoon-shops".to_owned(),
        input: json!({ "marker": marker }),
        timeout: Duration::from_millis(timeout_ms),
        key: Some(Uuid::now_v7().to_string()),
        streamed: false,
    }
}

async fn send(world: &World, first: usize, request: &Request) -> Reply {
    caller::request(&world.http, &instances(world), first, request).await
}

async fn policy_at(world: &World, index: usize) -> Value {
    world.operator(index).get("/apis/v1/policies/predicted").await.unwrap()["spec"].clone()
}

fn spec(percent: u32) -> Value {
    json!({ "route": "predicted", "retry_percent": percent })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_hold_does_not_wait_for_a_record_in_an_empty_stream() {
    // A read of the log may block for up to 15 s here, far beyond the caller's timeout.
    let timing = json!({ "timing": { "confirm_ms": 60_000, "dead_ms": 60_000 } });
    let world = World::start(&Plan::new(1).with_settings(timing)).await;
    assert!(send(&world, 0, &hold("a", 5000)).await.is_whole());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hold_whose_answer_was_lost_is_unknown_and_never_sent_again() {
    let world = World::start(&Plan::new(2)).await;
    world.pool("till-stock").iter().for_each(|it| it.faults().truncate_answer = 1000);
    let request = hold("lost", 4000);
    let reply = send(&world, 0, &request).await;
    assert_eq!(reply.problem_kind(), Some("outcome-unknown"), "{reply:?}");
    assert!(!reply.is_not_run());
    world.pool("till-stock").iter().for_each(|it| it.faults().truncate_answer = 0);
    let again = send(&world, 1, &request).await;
    assert_eq!(
        again.problem_kind(),
        Some("outcome-unknown"),
        "the outcome stays unknown: {again:?}"
    );
    assert_eq!(world.tally.runs("till-stock", "lost"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transfer_whose_answer_was_lost_is_made_again_since_its_targets_check_keys() {
    let world = World::start(&Plan::new(2)).await;
    // All targets but the first lose their answers, so that calls are retried with their key.
    world.pool("transfers").iter().skip(1).for_each(|it| it.faults().truncate_answer = 1000);
    let mut request = hold("transfer", 4000);
    request.pipeline = "transfer".to_owned();
    for _ in 0..6 {
        request.key = Some(Uuid::now_v7().to_string());
        let reply = send(&world, 0, &request).await;
        assert!(!reply.is_not_run(), "{reply:?}");
    }
    assert_eq!(world.tally.runs("transfers", "transfer"), 6, "each of the six keys ran once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hold_whose_targets_refuse_connections_is_not_run_and_the_key_is_free() {
    let world = World::start(&Plan::new(2)).await;
    for target in world.pool("till-stock") {
        target.stop();
        target.stopped().await;
    }
    let request = hold("refused", 4000);
    let reply = send(&world, 0, &request).await;
    assert!(reply.is_not_run(), "{reply:?}");
    assert_eq!(world.tally.runs("till-stock", "refused"), 0);
    let again = send(&world, 1, &request).await;
    assert!(again.is_not_run(), "the claim is released, so the outcome is not unknown: {again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_that_died_leaves_its_call_unknown() {
    let timing = json!({ "timing": { "confirm_ms": 500, "dead_ms": 500 } });
    let world = World::start(&Plan::new(3).with_settings(timing)).await;
    world.pool("till-stock").iter().for_each(|it| it.faults().hang = 1000);
    let request = hold("died", 8000);
    let (http, only_first) = (world.http.clone(), vec![world.callers(0)]);
    let first = request.clone();
    let asking = tokio::spawn(async move { caller::request(&http, &only_first, 0, &first).await });
    world
        .wait_until("the hold is sent", |it| {
            0 < it.pool("till-stock").iter().map(|it| it.calls()).sum::<u64>()
        })
        .await;
    world.kill(0);
    world.list.remove_instance("entry-1");
    asking.abort();
    let reply = send(&world, 1, &request).await;
    assert_eq!(reply.problem_kind(), Some("outcome-unknown"), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_reads_its_own_organisation_only() {
    let world = World::start(&Plan::new(1)).await;
    let mut request = hold("own", 8000);
    (request.pipeline, request.key, request.streamed) = ("pairing".to_owned(), None, true);
    request.bearer = "demo-regina-shops".to_owned();
    assert!(send(&world, 0, &request).await.is_whole());
    let place = holdpoint_core::token::StreamPosition {
        organisation: "regina-shops".to_owned(),
        pipeline: "pairing".to_owned(),
        request: "r".to_owned(),
        stage: "generate".to_owned(),
        target: world.pool("wine-models")[0].address().to_owned(),
        attempt: "i:1:2:0".to_owned(),
        next: 0,
    };
    let shared = world.shared(0).unwrap();
    let token = holdpoint_core::token::seal(&place, &shared.token_keys);
    let reading = caller::StreamProgress {
        token: Some(token),
        request: Some("r".to_owned()),
        ..Default::default()
    };
    request.bearer = "demo-calgary-shops".to_owned();
    let reply = caller::resume(&world.http, &instances(&world), 0, &request, reading).await;
    assert_eq!(reply.problem_kind(), Some("forbidden"), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_pending_until_every_listed_instance_has_it() {
    let waits = json!({ "timing": { "change_wait_ms": 300 } });
    let world = World::start(&Plan::new(3).with_settings(waits)).await;
    // The list still contains the crashed instance, so the change cannot be confirmed there.
    world.kill(2);
    let form = ChangeOptions { base: None, change: Some("c1".to_owned()) };
    let status = world.put(0, "policies", "predicted", &spec(7), &form).await.unwrap();
    assert_eq!(status.state, ChangeState::Pending);
    assert_eq!(status.missing, ["entry-3"]);
    world.list.remove_instance("entry-3");
    let accepted = |it: Value| it["state"] == "accepted";
    for _ in 0..1000 {
        if accepted(world.operator(0).get("/apis/v1/changes/c1").await.unwrap()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(accepted(world.operator(0).get("/apis/v1/changes/c1").await.unwrap()));
    assert_eq!(policy_at(&world, 1).await, spec(7));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_append_lost_its_answer_lands_once() {
    let world = World::start(&Plan::new(2)).await;
    let before = world.log.records("control").len();
    world.log.faults().lose_answers = 2;
    let form = ChangeOptions { base: None, change: Some("c2".to_owned()) };
    let status = world.put(0, "policies", "predicted", &spec(8), &form).await.unwrap();
    assert_eq!(status.state, ChangeState::Accepted);
    // The operator repeats the change at the other instance, as if the answer had been lost.
    let again = world.put(1, "policies", "predicted", &spec(8), &form).await.unwrap();
    assert_eq!((again.state, again.version), (ChangeState::Accepted, status.version));
    // The operator's answer may precede the repeated append.
    let is_twice = |it: &World| before + 1 < it.log.records("control").len();
    world.wait_until("the log holds the change more than once", is_twice).await;
    let version = world.operator(1).get("/apis/v1/policies/predicted").await.unwrap();
    assert_eq!(version["version"].as_u64(), status.version, "the change is applied once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_while_the_log_is_down_is_unknown_and_lands_later() {
    let waits = json!({ "timing": { "change_wait_ms": 200 } });
    let world = World::start(&Plan::new(2).with_settings(waits)).await;
    world.log.faults().outage = true;
    let form = ChangeOptions { base: None, change: Some("c3".to_owned()) };
    let status = world.put(0, "policies", "predicted", &spec(9), &form).await.unwrap();
    assert_eq!(status.state, ChangeState::Unknown);
    world.log.faults().outage = false;
    for _ in 0..1000 {
        let status = world.operator(1).get("/apis/v1/changes/c3").await.unwrap();
        if status["state"] == "accepted" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(policy_at(&world, 1).await, spec(9));
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_go_on_while_the_log_is_down_for_all_and_a_new_one_starts_from_a_peer() {
    let timing = json!({ "timing": { "confirm_ms": 600, "dead_ms": 600, "log_timeout_ms": 200 } });
    let world = World::start(&Plan::new(3).with_settings(timing)).await;
    world.log.faults().outage = true;
    // Well beyond `confirm_ms`, the time that an instance may serve unconfirmed.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert!((0..3).all(|it| world.is_ready(it)), "every instance stays ready");
    world.start_instance("entry-4").await;
    world.wait_until("the new instance serves", |it| it.is_ready(3)).await;
    assert_eq!(policy_at(&world, 3).await, policy_at(&world, 0).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_can_confirm_nothing_takes_no_new_work() {
    let timing = json!({ "timing": { "confirm_ms": 600, "dead_ms": 600, "log_timeout_ms": 200 } });
    let world = World::start(&Plan::new(3).with_settings(timing).with_relays()).await;
    world.log.faults().outage = true;
    // No instance receives calls or answers of its peers.
    world.drop_traffic(2, true, true);
    world.drop_traffic(0, true, true);
    world.drop_traffic(1, true, true);
    world.wait_until("all are isolated", |it| (0..3).all(|index| !it.is_ready(index))).await;
    let reply = send(&world, 0, &hold("isolated", 500)).await;
    assert_eq!(reply.problem_kind(), Some("not-ready"), "{reply:?}");
    assert!(reply.is_not_run());
    world.log.faults().outage = false;
    world.wait_until("all are ready again", |it| (0..3).all(|index| it.is_ready(index))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn state_survives_expiry_and_the_replacement_of_every_instance() {
    let timing = json!({ "timing": {
        "retention_ms": 4000, "claim_window_ms": 1000, "skew_ms": 500,
        "confirm_ms": 800, "dead_ms": 800,
    }});
    let world = World::start(&Plan::new(3).with_settings(timing)).await;
    world.log.faults().retention = Some(Duration::from_millis(4000));
    let first = world.log.records("control").first().cloned();
    let mut expected = spec(20);
    for turn in 0..6_usize {
        let percent = 20 + u32::try_from(turn).unwrap();
        let status = world
            .put(turn, "policies", "predicted", &spec(percent), &ChangeOptions::default())
            .await;
        assert_eq!(status.unwrap().state, ChangeState::Accepted);
        expected = spec(percent);
        tokio::time::sleep(Duration::from_millis(900)).await;
        world.stop(turn).await;
        world.start_instance(&format!("entry-{}", turn + 4)).await;
        world.wait_until("the new instance is ready", |it| it.is_ready(turn + 3)).await;
        assert_eq!(policy_at(&world, turn + 3).await, expected, "never an older version");
    }
    let last = world.log.records("control").first().cloned();
    assert_ne!(first, last, "the first records have expired");
    for index in 6..9 {
        assert_eq!(policy_at(&world, index).await, expected);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work_by_any_sign() {
    let world = World::start(&Plan::new(3)).await;
    world.list.set_stale(true);
    // With a stale list, only the target's answers carry the drain notice.
    let target = world.pool("commune-portal")[0];
    target.faults().is_draining = true;
    let mut request = hold("status", 2000);
    (request.pipeline, request.key) = ("lamp-status".to_owned(), None);
    request.bearer = "demo-rennes-commune".to_owned();
    for turn in 0..60 {
        assert!(send(&world, turn, &request).await.is_whole());
    }
    world
        .wait_until("every instance has the drain notice", |it| {
            (0..3).all(|index| {
                let view = it.shared(index).unwrap().published();
                view.targets["commune-portal"]
                    .iter()
                    .any(|it| it.address == target.address() && it.is_draining)
            })
        })
        .await;
    let before = target.calls();
    for turn in 0..60 {
        assert!(send(&world, turn, &request).await.is_whole());
    }
    assert_eq!(target.calls(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_are_fenced_and_one_holder_gives_them() {
    let timing = json!({ "timing": { "lease_ms": 1000 } });
    let world = World::start(&Plan::new(3).with_settings(timing)).await;
    let mut pool =
        world.operator(0).get("/apis/v1/pools/wine-models").await.unwrap()["spec"].clone();
    pool["checks"] = json!("token");
    let form = ChangeOptions::default();
    world.put(0, "pools", "wine-models", &pool, &form).await.unwrap();
    let placement = json!({
        "pool": "wine-models", "loads_per_minute": 6000,
        "holdings": [{ "model": "wine-7b", "engines": 8 }, { "model": "wine-13b", "engines": 4 }]
    });
    world.put(0, "placements", "wine", &placement, &form).await.unwrap();
    let held = |world: &World, model: &str| {
        let engines = world.pool("wine-models");
        engines
            .iter()
            .filter(|it| it.applied_orders().last().is_some_and(|it| it.order.model == model))
            .count()
    };
    world
        .wait_until("the holdings are met", |it| {
            held(it, "wine-7b") == 8 && held(it, "wine-13b") == 4
        })
        .await;
    let tokens: Vec<u64> = world
        .pool("wine-models")
        .iter()
        .flat_map(|it| it.applied_orders())
        .filter_map(|it| it.token)
        .collect();
    assert_eq!(tokens.len(), 12, "one order per engine");
    // A lease holder that resumes with a stale token is refused by the engines.
    let shared = world.shared(0).unwrap();
    let engine = world.pool("wine-models")[0];
    let stale = engine.applied_orders()[0].clone();
    let late = shared.engines.order(engine.address(), Some(1), &stale.order).await;
    assert_eq!(late, Err(holdpoint_platform::CallError::Status(412)));
    assert_eq!(engine.rejected_orders(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cells_of_the_fault_matrix_keep_every_promise() {
    for faults in [
        vec![Fault::LostAnswers, Fault::Hangs],
        vec![Fault::CutEnds, Fault::MixedChunks],
        vec![Fault::LogLostAnswers, Fault::Crash],
        vec![Fault::OneWayLoss, Fault::PlannedStop],
    ] {
        let cell = faults::run(&faults, 120, 3).await;
        assert_eq!(cell.verdicts.broken(), 0, "{faults:?} {:?}", cell.details);
        assert!(cell.recovery_ms.is_some(), "{faults:?} recovers");
    }
}
