//! Rate limits that targets name in their answers, in requests per second over all instances together.
//!
//! Guards against instances that pass such an answer on to the caller and go on sending at the old rate.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, FaultProfile, Target, call, sample_configuration,
};
use http::StatusCode;
use serde_json::json;
use tokio::{runtime::Builder, task::JoinSet};

use crate::support::{
    fleet::{Fleet, PAUSE, fleet},
    header, start, start_instance, until,
};

/// How long callers keep sending requests: longer than the four seconds over which a target counts them.
const SENDING_TIME: Duration = Duration::from_millis(6000);

/// Sends requests to the instances in turn for this time, and returns the answers.
async fn send_for(
    fleet: &Fleet,
    time: Duration,
    request: impl Fn(usize) -> CallerRequest,
) -> Vec<CallerAnswer> {
    let exchanges = fleet.send_for(time, "", |round, _| request(round)).await;
    exchanges.into_iter().map(|it| it.answer).collect()
}

async fn send(fleet: &Fleet, request: impl Fn(usize) -> CallerRequest) -> Vec<CallerAnswer> {
    send_for(fleet, SENDING_TIME, request).await
}

fn assert_within_limit(target: &Target) {
    assert_eq!(target.limit_excess(), None, "{}", target.id);
}

fn assert_served(answers: &[CallerAnswer]) {
    assert_eq!(
        served(answers),
        answers.len(),
        "the other targets serve the requests above the limit"
    );
}

fn served(answers: &[CallerAnswer]) -> usize {
    answers.iter().filter(|it| it.status == StatusCode::OK && it.is_complete).count()
}

#[tokio::test]
async fn a_limit_that_a_target_names_holds_for_all_instances_together() {
    let fleet = fleet(&[Behaviour::Answer; 3], &[Behaviour::Events(3); 3]).await;
    let limited = [&fleet.system.plain[0], &fleet.system.engines[0]];
    limited.iter().for_each(|it| it.set_limit(Some(1.0)));
    let answers = send(&fleet, |round| {
        let id = format!("r-{round}");
        match round % 4 {
            0 => CallerRequest::new(&id, "/safe/x"),
            1 => CallerRequest::new(&id, "/unsafe/x"),
            2 => CallerRequest::new(&id, "/once/x"),
            _ => {
                let parts = format!("{:x}:800,{round:x}:10", round % 5);
                CallerRequest::new(&id, "/story/x").with_prompt(&parts)
            }
        }
    })
    .await;
    limited.into_iter().for_each(assert_within_limit);
    assert_served(&answers);
}

/// Guards against requests above the limit of the only target that wait for it, or that are all refused with
/// the same `Retry-After`.
#[tokio::test]
async fn requests_above_the_limit_of_the_only_target_get_an_accurate_retry_after() {
    for path in ["/safe/x", "/once/x", "/story/x"] {
        let fleet = fleet(&[Behaviour::Answer], &[Behaviour::Events(3)]).await;
        let is_plain = path == "/safe/x";
        let limited = if is_plain { &fleet.system.plain[0] } else { &fleet.system.engines[0] };
        limited.set_limit(Some(2.0));
        let answers = send(&fleet, |round| {
            let request = CallerRequest::new(&format!("r-{round}"), path);
            let parts = format!("{:x}:800,{round:x}:10", round % 5);
            if path == "/story/x" { request.with_prompt(&parts) } else { request }
        })
        .await;
        assert_within_limit(limited);
        assert!(
            6 <= served(&answers),
            "{path}: the target serves requests up to its limit: {}",
            served(&answers)
        );
        let refused = answers.iter().filter(|it| it.status != StatusCode::OK);
        let mut retry_afters: Vec<String> = Vec::new();
        for it in refused {
            assert_eq!(it.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            retry_afters.push(header(it, "retry-after"));
        }
        let latest = retry_afters.iter().map(|it| it.parse::<f64>().unwrap()).fold(0.0, f64::max);
        assert!(
            5.0 < latest,
            "{path}: the retries of 200 requests are spread over the time to serve them: {latest}"
        );
    }
}

/// Calls that compute results of stages, and calls that release results, count towards the limit.
#[tokio::test]
async fn calls_for_stages_keep_to_the_limit_that_a_target_names() {
    let fleet = fleet(&[], &[Behaviour::Events(3); 2]).await;
    // Of two idle targets the one with the last id is called, which is the limited one.
    let other = Target::start("i-another", "encode", Behaviour::Answer).await;
    fleet.system.store.put_target(&other, false);
    until(|| fleet.instances().all(|it| it.target_count() == 4)).await;
    let limited = &fleet.system.encoder;
    limited.set_limit(Some(1.0));
    let staged = |it: usize| CallerRequest::new(&format!("r-{it}"), "/staged/x").with_items("2,1");
    let answers = send(&fleet, staged).await;
    assert_within_limit(limited);
    assert!(!limited.batches().is_empty() && !other.batches().is_empty());
    let served = served(&answers);
    assert!(
        answers.len() * 9 / 10 <= served,
        "the other target computes the remaining items: {served}"
    );
}

/// The instances that may own the state of a rate limit are killed one after the other, and start again.
/// The next owner does not know which requests the previous one admitted.
#[tokio::test]
async fn a_limit_holds_while_instances_end_and_start_again() {
    let system = start(&[Behaviour::Answer; 2], &[]).await;
    let gate = system.store.open_endpoint().await;
    let start_in = |name: &str| {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let _context = runtime.enter();
        (start_instance(name, &gate), runtime)
    };
    let mut others = vec![start_in("b"), start_in("c"), start_in("d")];
    until(|| others.iter().all(|it| it.0.peer_count() == 3 && it.0.target_count() == 3)).await;
    let limited = &system.plain[0];
    limited.set_limit(Some(1.0));
    let mut calls = JoinSet::new();
    for round in 0..(SENDING_TIME.as_millis() / PAUSE.as_millis()) as usize {
        if round % 60 == 59 {
            let index = round / 60 % others.len();
            let name = ["b", "c", "d"][index];
            let (_, runtime) = std::mem::replace(&mut others[index], start_in(name));
            runtime.shutdown_background();
        }
        let instances = others.iter().map(|it| &it.0).chain([&system.instance]);
        let callers: Vec<_> = instances.map(|it| it.listen().callers.clone()).collect();
        let request = CallerRequest::new(&format!("r-{round}"), "/safe/x");
        calls.spawn(call(callers[round % 4].parse().unwrap(), request));
        tokio::time::sleep(PAUSE).await;
    }
    // Requests to an instance that was killed have no answer.
    calls.join_all().await;
    assert_within_limit(limited);
    others.into_iter().for_each(|it| it.1.shutdown_background());
}

/// A limit changes each second, is unreadable for a while, and ends. Then the target gets its share again.
#[tokio::test]
async fn a_limit_that_changes_and_ends_holds_as_long_as_it_is_named() {
    let fleet = fleet(&[Behaviour::Answer; 2], &[]).await;
    let limited = fleet.system.plain[0].clone();
    limited.set_limit(Some(4.0));
    let changing = tokio::spawn({
        let limited = limited.clone();
        async move {
            for per_s in [0.5, 8.0, 1.0, 0.25] {
                tokio::time::sleep(Duration::from_millis(1000)).await;
                limited.set_limit(Some(per_s));
            }
            tokio::time::sleep(Duration::from_millis(1000)).await;
            limited.set_limit_text(Some("some"), Some(0.25));
        }
    });
    let safe = |it: usize| CallerRequest::new(&format!("r-{it}"), "/safe/x");
    assert_served(&send(&fleet, safe).await);
    changing.await.unwrap();
    assert_within_limit(&limited);
    limited.set_limit(None);
    let before = limited.arrivals().len();
    let later = |it: usize| CallerRequest::new(&format!("s-{it}"), "/safe/x");
    for round in 0.. {
        if before + 30 <= limited.arrivals().len() {
            break;
        }
        assert!(
            round < 20,
            "the target gets its share again once its limit has ended: {}",
            limited.arrivals().len() - before
        );
        send_for(&fleet, Duration::from_millis(1000), later).await;
    }
}

/// Idle connections count towards the limit that holds for all instances together.
#[tokio::test]
async fn idle_connections_stay_within_the_connection_limit_of_a_target() {
    let fleet = fleet(
        &[Behaviour::Faulty(FaultProfile { slow_ms: 100, ..FaultProfile::failures(100) })],
        &[],
    )
    .await;
    let mut configuration = sample_configuration(2);
    configuration["services"][0]["max-connections"] = json!(6);
    fleet.system.store.put_configuration(&configuration);
    until(|| fleet.instances().all(|it| it.version() == 2)).await;
    let target = &fleet.system.plain[0];
    // No connection is closed for having been idle too long.
    target.keep_alive(Duration::from_secs(600));
    let open = CallerRequest::new("o", "/open/x");
    let mut calls = JoinSet::new();
    for (index, address) in fleet.caller_addresses().into_iter().cycle().take(24).enumerate() {
        let request = open.clone().with_header("holdpoint-request-id", &format!("o-{index}"));
        calls.spawn(call(address, request));
    }
    until(|| 12 < target.connections()).await;
    calls.join_all().await;
    until(|| target.connections() <= 6).await;
}

/// Guards against a request that is refused because its only remaining target is at its limit, and that blocks
/// requests which other targets can serve.
#[tokio::test]
async fn a_request_that_was_declined_elsewhere_does_not_block_others() {
    let fleet = fleet(&[], &[Behaviour::Decline, Behaviour::Events(3)]).await;
    let [open, limited] = &fleet.system.engines[..] else { panic!("there are two") };
    limited.set_limit(Some(0.2));
    let prompt = |id: String| CallerRequest::new(&id, "/story/x").with_prompt("a:800,b:10");
    send_for(&fleet, Duration::from_millis(1500), |it| prompt(format!("r-{it}"))).await;
    open.set_behaviour(Behaviour::Events(3));
    for (index, address) in fleet.caller_addresses().into_iter().enumerate() {
        let answer =
            call(address, prompt(format!("s-{index}"))).await.expect("the instance answers");
        assert_eq!(answer.status, StatusCode::OK, "instance {index}");
    }
}
