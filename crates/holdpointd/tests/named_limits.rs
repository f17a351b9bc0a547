//! Targets that name a limit: so many requests a second, from all instances together.
//!
//! An engine in need named a limit of one a second and went on getting four, from six of eight instances. Each
//! passed its answers on and sent as before: in the next eight seconds it got 28 requests, 26 of them first
//! sends, and 25 were placed by the instance that places for all. Four of these seconds held 13 from instances
//! that had passed on such an answer, where a limit of one bears eleven.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Badness, Behaviour, CallerAnswer, CallerRequest, Target, call, sample_configuration,
};
use http::StatusCode;
use serde_json::json;
use tokio::{runtime::Builder, task::JoinSet};

use crate::support::{
    fleet::{Fleet, PAUSE, fleet},
    header, start, start_instance, until,
};

/// How long callers keep asking: more than the four seconds in which a target counts.
const ASKING: Duration = Duration::from_millis(6000);

/// Sends requests to the instances in turn, again and again.
async fn ask_for(
    fleet: &Fleet,
    time: Duration,
    request: impl Fn(usize) -> CallerRequest,
) -> Vec<CallerAnswer> {
    let asked = fleet.ask(time, "", |round, _| request(round)).await;
    asked.into_iter().map(|it| it.answer).collect()
}

async fn ask(fleet: &Fleet, request: impl Fn(usize) -> CallerRequest) -> Vec<CallerAnswer> {
    ask_for(fleet, ASKING, request).await
}

fn assert_kept(target: &Target) {
    assert_eq!(target.limit_excess(), None, "{}", target.id);
}

fn assert_served(answers: &[CallerAnswer]) {
    assert_eq!(
        served(answers),
        answers.len(),
        "the other targets take what the limited one does not"
    );
}

fn served(answers: &[CallerAnswer]) -> usize {
    answers.iter().filter(|it| it.status == StatusCode::OK && it.is_whole).count()
}

#[tokio::test]
async fn a_limit_that_a_target_names_holds_for_all_instances_together() {
    let fleet = fleet(&[Behaviour::Answer; 3], &[Behaviour::Events(3); 3]).await;
    let limited = [&fleet.system.plain[0], &fleet.system.engines[0]];
    limited.iter().for_each(|it| it.set_limit(Some(1.0)));
    let answers = ask(&fleet, |round| {
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
    limited.into_iter().for_each(assert_kept);
    assert_served(&answers);
}

/// With no other target, what the limited one has no room for is refused at once, and told when there is some
/// again: each request at a time of its own.
#[tokio::test]
async fn what_no_target_has_room_for_is_refused_with_a_true_return_time() {
    for path in ["/safe/x", "/once/x", "/story/x"] {
        let fleet = fleet(&[Behaviour::Answer], &[Behaviour::Events(3)]).await;
        let is_plain = path == "/safe/x";
        let limited = if is_plain { &fleet.system.plain[0] } else { &fleet.system.engines[0] };
        limited.set_limit(Some(2.0));
        let answers = ask(&fleet, |round| {
            let request = CallerRequest::new(&format!("r-{round}"), path);
            let parts = format!("{:x}:800,{round:x}:10", round % 5);
            if path == "/story/x" { request.with_prompt(&parts) } else { request }
        })
        .await;
        assert_kept(limited);
        assert!(6 <= served(&answers), "{path}: it gets what it takes: {}", served(&answers));
        let refused = answers.iter().filter(|it| it.status != StatusCode::OK);
        let mut returns: Vec<String> = Vec::new();
        for it in refused {
            assert_eq!(it.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            returns.push(header(it, "retry-after"));
        }
        let latest = returns.iter().map(|it| it.parse::<f64>().unwrap()).fold(0.0, f64::max);
        assert!(
            5.0 < latest,
            "{path}: 200 requests come back over the time that they take: {latest}"
        );
    }
}

/// Calls that make results of stages, and those that give results up, count like any other.
#[tokio::test]
async fn calls_for_stages_keep_to_the_limit_that_a_target_names() {
    let fleet = fleet(&[], &[Behaviour::Events(3); 2]).await;
    // Of two that are idle the one whose id comes last is called, which is the limited one.
    let other = Target::start("i-another", "encode", Behaviour::Answer).await;
    fleet.system.store.put_target(&other, false);
    until(|| fleet.instances().all(|it| it.target_count() == 4)).await;
    let limited = &fleet.system.encoder;
    limited.set_limit(Some(1.0));
    let staged = |it: usize| CallerRequest::new(&format!("r-{it}"), "/staged/x").with_pieces("2,1");
    let answers = ask(&fleet, staged).await;
    assert_kept(limited);
    assert!(!limited.batches().is_empty() && !other.batches().is_empty());
    let served = served(&answers);
    assert!(answers.len() * 9 / 10 <= served, "the other target makes the rest: {served}");
}

/// The instances that may keep the account of a limit end without a word, one after the other, and start again.
/// Whoever keeps it next does not know what the one before let through.
#[tokio::test]
async fn a_limit_holds_while_instances_end_and_start_again() {
    let system = start(&[Behaviour::Answer; 2], &[]).await;
    let gate = system.store.open_gate().await;
    let start_in = |name: &str| {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let _context = runtime.enter();
        (start_instance(name, &gate), runtime)
    };
    let mut others = vec![start_in("b"), start_in("c"), start_in("d")];
    until(|| others.iter().all(|it| it.0.peer_count() == 3 && it.0.target_count() == 3)).await;
    let limited = &system.plain[0];
    limited.set_limit(Some(1.0));
    let mut asked = JoinSet::new();
    for round in 0..(ASKING.as_millis() / PAUSE.as_millis()) as usize {
        if round % 60 == 59 {
            let struck = round / 60 % others.len();
            let name = ["b", "c", "d"][struck];
            let (_, runtime) = std::mem::replace(&mut others[struck], start_in(name));
            runtime.shutdown_background();
        }
        let instances = others.iter().map(|it| &it.0).chain([&system.instance]);
        let callers: Vec<_> = instances.map(|it| it.listen().callers.clone()).collect();
        let request = CallerRequest::new(&format!("r-{round}"), "/safe/x");
        asked.spawn(call(callers[round % 4].parse().unwrap(), request));
        tokio::time::sleep(PAUSE).await;
    }
    // What was sent to an instance that ended has no answer.
    asked.join_all().await;
    assert_kept(limited);
    others.into_iter().for_each(|it| it.1.shutdown_background());
}

/// A limit changes each second, cannot be read for a while, and ends; then the target gets its part again.
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
    assert_served(&ask(&fleet, safe).await);
    changing.await.unwrap();
    assert_kept(&limited);
    limited.set_limit(None);
    let before = limited.arrivals().len();
    let later = |it: usize| CallerRequest::new(&format!("s-{it}"), "/safe/x");
    for round in 0.. {
        if before + 30 <= limited.arrivals().len() {
            break;
        }
        assert!(round < 20, "it gets its part again: {}", limited.arrivals().len() - before);
        ask_for(&fleet, Duration::from_millis(1000), later).await;
    }
}

/// Connections that rest count against what a target takes from all instances together.
#[tokio::test]
async fn connections_that_rest_are_no_more_than_a_target_takes() {
    let fleet =
        fleet(&[Behaviour::Bad(Badness { slow_ms: 100, ..Badness::failures(100) })], &[]).await;
    let mut configuration = sample_configuration(2);
    configuration["services"][0]["max-connections"] = json!(6);
    fleet.system.store.put_configuration(&configuration);
    until(|| fleet.instances().all(|it| it.version() == 2)).await;
    let target = &fleet.system.plain[0];
    // None is closed for having rested too long.
    target.keep_alive(Duration::from_secs(600));
    let open = CallerRequest::new("o", "/open/x");
    let mut asked = JoinSet::new();
    for (index, callers) in fleet.callers().into_iter().cycle().take(24).enumerate() {
        let request = open.clone().with_header("holdpoint-request-id", &format!("o-{index}"));
        asked.spawn(call(callers, request));
    }
    until(|| 12 < target.connections()).await;
    asked.join_all().await;
    until(|| target.connections() <= 6).await;
}

/// What is refused since its only target left has got what it takes says nothing of requests that may go elsewhere.
#[tokio::test]
async fn a_request_that_was_declined_elsewhere_keeps_no_others_out() {
    let fleet = fleet(&[], &[Behaviour::Decline, Behaviour::Events(3)]).await;
    let [open, limited] = &fleet.system.engines[..] else { panic!("there are two") };
    limited.set_limit(Some(0.2));
    let prompt = |id: String| CallerRequest::new(&id, "/story/x").with_prompt("a:800,b:10");
    ask_for(&fleet, Duration::from_millis(1500), |it| prompt(format!("r-{it}"))).await;
    open.set_behaviour(Behaviour::Events(3));
    for (index, callers) in fleet.callers().into_iter().enumerate() {
        let answer = call(callers, prompt(format!("s-{index}"))).await.expect("there is an answer");
        assert_eq!(answer.status, StatusCode::OK, "instance {index}");
    }
}
