//! Requests that crash each target that runs them must be quarantined at all instances, also when a caller repeats
//! them under a new id. Other requests that ran at a crashed target must still be served.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Endpoint, Outage, Store, Target, call,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;

use crate::support::{System, header, start, start_instance, until};

/// Body or item key that crashes a target.
const CRASH_MARKER: &str = "deadly";
/// Crashes after which a request is quarantined.
const CRASH_LIMIT: usize = 3;
/// How long a crashed target stays down. Instances would not notice the crash of one that restarts at once.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// Whether a crashed target restarts under its old id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    SameId,
    NewId,
}

/// Three instances, and targets that crash on the crashing request and then restart.
struct Fleet {
    system: System,
    others: Vec<(Ingress, Endpoint)>,
}

async fn fleet(plain: &[Behaviour], engines: &[Behaviour], restart: Restart) -> Fleet {
    let system = start(plain, engines).await;
    let others = system.start_others(&["b", "c"]).await;
    let fleet = Fleet { system, others };
    let targets = fleet.targets();
    targets.iter().for_each(|it| it.set_crash_content(CRASH_MARKER));
    for it in targets {
        tokio::spawn(restart_after_crashes(fleet.system.store.clone(), it, restart));
    }
    fleet
}

/// Restarts a target after each crash.
async fn restart_after_crashes(store: Store, mut target: Target, restart: Restart) {
    for restarts in 1.. {
        while target.is_up() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(RESTART_DELAY).await;
        let id = match restart {
            Restart::SameId => target.id.clone(),
            Restart::NewId => {
                store.drop_target(&target.id);
                format!("{}-{restarts}", target.id)
            }
        };
        target.restart(&id);
        store.put_target(&target, false);
    }
}

impl Fleet {
    fn instances(&self) -> impl Iterator<Item = &Ingress> {
        std::iter::once(&self.system.instance).chain(self.others.iter().map(|it| &it.0))
    }

    fn targets(&self) -> Vec<Target> {
        let System { plain, engines, encoder, .. } = &self.system;
        plain.iter().chain(engines).chain([encoder]).cloned().collect()
    }

    /// Number of runs of the crashing request at all targets.
    fn crashing_runs(&self) -> usize {
        let runs = self.targets().iter().flat_map(Target::runs).collect::<Vec<_>>();
        runs.iter().filter(|it| it.body == CRASH_MARKER).count()
    }

    /// Sends a request to instance number `instance` modulo three.
    async fn send(&self, instance: usize, request: CallerRequest) -> CallerAnswer {
        let instance = self.instances().nth(instance % 3).expect("there are three");
        let callers = instance.listen().callers.parse().unwrap();
        call(callers, request).await.expect("there is an answer")
    }

    /// Repeats the crashing request until it has crashed `CRASH_LIMIT` targets, and waits until instances know of it.
    async fn crash_targets(&self, path: &str) {
        for round in 0..20 {
            if CRASH_LIMIT <= self.crashing_runs() {
                break;
            }
            self.send(round, crashing(&format!("r-{round}"), path)).await;
        }
        assert!(CRASH_LIMIT <= self.crashing_runs());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Number of requests that an instance has quarantined, by its metrics.
async fn quarantined_count(instance: &Ingress) -> u64 {
    let metrics = instance.listen().metrics.parse().unwrap();
    let request = CallerRequest::new("m", "/metrics").with_method(http::Method::GET);
    let page = call(metrics, request).await.expect("the metrics endpoint answers").body;
    let page = String::from_utf8_lossy(&page);
    let line = page.lines().find(|it| it.starts_with("holdpoint_quarantined_total"));
    line.and_then(|it| it.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

fn crashing(id: &str, path: &str) -> CallerRequest {
    CallerRequest::new(id, path).with_body(CRASH_MARKER)
}

/// Asserts that a request was refused as not run, with a Retry-After of more than ten seconds.
fn assert_refused(answer: &CallerAnswer) {
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let seconds: f64 = header(answer, "retry-after").parse().unwrap();
    assert!(10.0 < seconds, "Retry-After is too short: {seconds} s");
}

#[tokio::test]
async fn a_request_that_crashes_its_targets_is_no_longer_sent() {
    for restart in [Restart::NewId, Restart::SameId] {
        let fleet = fleet(&[], &[Behaviour::Events(20); 6], restart).await;
        fleet.crash_targets("/story/x").await;
        let before = fleet.crashing_runs();
        assert!(
            before <= CRASH_LIMIT + 1,
            "{restart:?}: {before} runs; the last two may be concurrent"
        );
        for round in 0..9 {
            let answer = fleet.send(round, crashing(&format!("s-{round}"), "/story/x")).await;
            assert_refused(&answer);
        }
        assert_eq!(fleet.crashing_runs(), before, "{restart:?}");
        // Another path and body make another request.
        let other = CallerRequest::new("o-1", "/story/y").with_body("input");
        assert_eq!(fleet.send(0, other).await.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn requests_with_whole_answers_are_quarantined_like_streams() {
    for path in ["/safe/x", "/unsafe/x"] {
        let fleet = fleet(&[Behaviour::Answer; 6], &[], Restart::SameId).await;
        fleet.crash_targets(path).await;
        let before = fleet.crashing_runs();
        assert!(before <= CRASH_LIMIT + 1, "{path}: {before} runs");
        for round in 0..6 {
            assert_refused(&fleet.send(round, crashing(&format!("s-{round}"), path)).await);
        }
        assert_eq!(fleet.crashing_runs(), before, "{path}");
    }
}

/// A request with a last-event-id has the same fingerprint as one without.
#[tokio::test]
async fn a_stream_that_its_caller_resumes_is_refused_too() {
    let fleet = fleet(&[], &[Behaviour::Events(20); 6], Restart::NewId).await;
    fleet.crash_targets("/story/x").await;
    let before = fleet.crashing_runs();
    let again = crashing("s-1", "/story/x").with_header("last-event-id", "1");
    assert_refused(&fleet.send(1, again).await);
    assert_eq!(fleet.crashing_runs(), before);
}

/// Items of many requests share a call, and all of them fail when the target crashes.
#[tokio::test]
async fn items_that_crash_their_target_are_refused_and_their_neighbours_served() {
    let fleet = fleet(&[], &[Behaviour::Events(3); 2], Restart::SameId).await;
    let staged = |id: &str, key: &str| {
        CallerRequest::new(id, "/staged/x")
            .with_body(format!("body of {key}"))
            .with_items("2,1")
            .with_item_key(key)
            .with_header("holdpoint-deadline-ms", "8000")
    };
    let encoder = &fleet.system.encoder;
    let crashing_calls = || {
        let is_crashing =
            |it: &Vec<serde_json::Value>| it.iter().any(|it| it["key"] == CRASH_MARKER);
        encoder.batches().iter().filter(|it| is_crashing(it)).count()
    };
    let neighbours = async {
        let mut served = 0;
        for round in 0..12 {
            let key = format!("{round}a");
            let answer = fleet.send(round, staged(&format!("n-{round}"), &key)).await;
            served += usize::from(answer.status == StatusCode::OK && answer.is_complete);
        }
        served
    };
    let crashing = async {
        for round in 0..6 {
            fleet.send(round, staged(&format!("d-{round}"), CRASH_MARKER)).await;
        }
    };
    let (served, ()) = tokio::join!(neighbours, crashing);
    let before = crashing_calls();
    assert!((CRASH_LIMIT..=CRASH_LIMIT + 1).contains(&before), "{before} calls crashed the target");
    assert!(10 <= served, "{served} of 12 neighbours were served");
    for round in 0..6 {
        assert_refused(&fleet.send(round, staged(&format!("s-{round}"), CRASH_MARKER)).await);
        let key = format!("{round}b");
        let answer = fleet.send(round, staged(&format!("m-{round}"), &key)).await;
        assert_eq!(answer.status, StatusCode::OK, "neighbour {round} after the quarantine");
    }
    assert_eq!(crashing_calls(), before);
}

/// Streams at a crashed target break as well. They must be resumed elsewhere and not be quarantined with the request
/// that caused the crash.
#[tokio::test]
async fn neighbours_are_served_and_not_quarantined() {
    let fleet = fleet(&[], &[Behaviour::Events(200); 6], Restart::SameId).await;
    let neighbour = |id: &str, body: usize| {
        CallerRequest::new(id, "/story/x").with_body(format!("neighbour {body}"))
    };
    let beside = (0..12).map(|it| fleet.send(it, neighbour(&format!("n-{it}"), it)));
    let crashing = async {
        // The streams have begun by then.
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.crash_targets("/story/x").await;
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(beside), crashing);
    let whole = answers.iter().filter(|it| it.is_complete).count();
    assert!(6 <= whole, "{whole} of 12 streams were complete; three of six engines crashed");
    for it in 0..12 {
        let answer = fleet.send(it, neighbour(&format!("m-{it}"), it)).await;
        assert!(answer.status == StatusCode::OK && answer.is_complete, "neighbour {it}");
    }
}

async fn assert_refused_by(instance: &Ingress, id: &str) {
    until(|| instance.is_ready()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let callers = instance.listen().callers.parse().unwrap();
    assert_refused(&call(callers, crashing(id, "/story/x")).await.unwrap());
}

/// The stages of a request that crashes its engines succeed, some of them after it was quarantined. That must not end
/// the quarantine.
#[tokio::test]
async fn successful_stages_do_not_release_a_request_that_crashes_its_engines() {
    let fleet = fleet(&[], &[Behaviour::Events(20); 8], Restart::NewId).await;
    let staged = |id: String| {
        CallerRequest::new(&id, "/staged/x")
            .with_body(CRASH_MARKER)
            .with_items("2,1")
            .with_item_key("7b")
    };
    // A request every 25 ms, so that the stages of some are running at any time.
    let mut asked = Vec::new();
    for number in 0..160 {
        let instance = fleet.instances().nth(number % 3).expect("there are three");
        let callers = instance.listen().callers.parse().unwrap();
        asked.push(tokio::spawn(call(callers, staged(format!("r-{number}")))));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    futures::future::join_all(asked).await;
    let mut runs: Vec<_> = fleet.targets().iter().flat_map(Target::runs).map(|it| it.at).collect();
    runs.sort_unstable();
    let third = runs[CRASH_LIMIT - 1];
    let late = runs.iter().filter(|it| third + Duration::from_millis(1500) < **it).count();
    assert_eq!(late, 0, "late runs of {} runs", runs.len());
    for instance in fleet.instances() {
        assert_eq!(quarantined_count(instance).await, 1, "quarantined once and not released");
    }
    for round in 0..6 {
        assert_refused(&fleet.send(round, staged(format!("s-{round}"))).await);
    }
}

/// Targets that close single connections have not crashed, so a request that fails this way several times must not
/// be quarantined.
#[tokio::test]
async fn broken_connections_are_not_treated_as_crashes() {
    let fleet = fleet(&[Behaviour::RunAndCut; 6], &[], Restart::SameId).await;
    let request = |id: &str| CallerRequest::new(id, "/safe/x").with_body("innocent");
    for round in 0..9 {
        let answer = fleet.send(round, request(&format!("r-{round}"))).await;
        assert_eq!(
            answer.status,
            StatusCode::BAD_GATEWAY,
            "round {round}: the request may have run"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.system.plain.iter().for_each(|it| it.set_behaviour(Behaviour::Answer));
    assert_eq!(fleet.send(0, request("s-1")).await.status, StatusCode::OK);
}

/// A quarantine is stored, so that it reaches later instances and outlives those that found the crashes.
#[tokio::test]
async fn a_quarantine_reaches_later_instances_and_survives_a_restart_of_all() {
    let mut fleet = fleet(&[], &[Behaviour::Events(20); 6], Restart::NewId).await;
    fleet.crash_targets("/story/x").await;
    let before = fleet.crashing_runs();
    let gate = fleet.system.store.open_endpoint().await;
    let late = start_instance("d", &gate);
    assert_refused_by(&late, "s-1").await;
    let gate = fleet.system.store.open_endpoint().await;
    fleet.others.drain(..).for_each(|(it, _)| drop(tokio::spawn(it.stop())));
    drop(tokio::spawn(late.stop()));
    let first = std::mem::replace(&mut fleet.system.instance, start_instance("e", &gate));
    first.stop().await;
    assert_refused_by(&fleet.system.instance, "s-2").await;
    assert_eq!(fleet.crashing_runs(), before);
}

/// The instance that collects the crashes of a service may stop before there are enough for a quarantine. Its
/// successor must receive the earlier ones.
#[tokio::test]
async fn crashes_are_not_forgotten_with_the_instance_that_collects_them() {
    for stopped in 0..2 {
        let mut fleet = fleet(&[], &[Behaviour::Events(20); 6], Restart::SameId).await;
        fleet.send(0, crashing("r-1", "/story/x")).await;
        assert_eq!(fleet.crashing_runs(), 2, "the route allows two attempts");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (instance, _gate) = fleet.others.remove(stopped);
        instance.stop().await;
        until(|| fleet.instances().all(|it| it.peer_count() == 1)).await;
        // Longer than instances take to notice that another one collects the crashes now.
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let (other, _) = &fleet.others[0];
        let callers = other.listen().callers.parse().unwrap();
        call(callers, crashing("r-2", "/story/x")).await.expect("there is an answer");
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before = fleet.crashing_runs();
        assert!(before <= CRASH_LIMIT + 1, "{before} runs");
        assert_refused(&fleet.send(0, crashing("s-1", "/story/x")).await);
        assert_refused(&call(callers, crashing("s-2", "/story/x")).await.unwrap());
        assert_eq!(fleet.crashing_runs(), before);
    }
}

/// During an outage of the store, instances report crashes and quarantines to each other.
#[tokio::test]
async fn a_quarantine_reaches_all_instances_during_a_store_outage() {
    let fleet = fleet(&[], &[Behaviour::Events(20); 6], Restart::SameId).await;
    let gates = [&fleet.system.store.endpoint, &fleet.others[0].1, &fleet.others[1].1];
    gates.iter().for_each(|it| it.set_outage(Outage::Silent));
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.crash_targets("/story/x").await;
    let before = fleet.crashing_runs();
    for round in 0..6 {
        assert_refused(&fleet.send(round, crashing(&format!("s-{round}"), "/story/x")).await);
    }
    assert_eq!(fleet.crashing_runs(), before);
    gates.iter().for_each(|it| it.set_outage(Outage::None));
}

/// An operator who has repaired the targets must not have to wait until the quarantine expires.
#[tokio::test]
async fn an_operator_releases_a_request_by_dropping_its_record() {
    let fleet = fleet(&[], &[Behaviour::Events(20); 6], Restart::SameId).await;
    fleet.crash_targets("/story/x").await;
    let store = &fleet.system.store;
    until(|| !store.resource_keys().is_empty()).await;
    assert_refused(&fleet.send(0, crashing("s-1", "/story/x")).await);
    fleet.targets().iter().for_each(|it| it.set_crash_content(""));
    store.resource_keys().iter().for_each(|it| store.drop_resource(it));
    tokio::time::sleep(Duration::from_millis(700)).await;
    for round in 0..3 {
        let answer = fleet.send(round, crashing(&format!("t-{round}"), "/story/x")).await;
        assert!(answer.status == StatusCode::OK && answer.is_complete, "instance {round}");
    }
}
