//! Targets whose answers carry a drain notice or ask for a backoff.
//!
//! Guards against instances that ignore these headers and go on sending to such a target, also when the store,
//! whose entries could say the same, is unavailable.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{Behaviour, CallerRequest, Outage, Rejection, Target, call};
use http::StatusCode;

use crate::support::{
    fleet::{Exchange, Fleet, fleet},
    header, start_with_seeds, until,
};

/// Time within which an instance receives a target's answer and applies the notice in it.
const NOTICE_DELAY: Duration = Duration::from_millis(500);

/// Returns a request of each kind in turn.
fn mixed(round: usize, id: &str) -> CallerRequest {
    match round % 4 {
        0 => CallerRequest::new(id, "/safe/x"),
        1 => CallerRequest::new(id, "/unsafe/x"),
        2 => CallerRequest::new(id, "/once/x"),
        _ => prompt(round, id),
    }
}

fn prompt(round: usize, id: &str) -> CallerRequest {
    let parts = format!("{:x}:800,{round:x}:10", round % 5);
    CallerRequest::new(id, "/story/x").with_prompt(&parts)
}

/// Requests that reached a target although they were sent after their instance had passed on an answer with a
/// drain notice of the target.
fn sent_to_draining(target: &Target, exchanges: &[Exchange]) -> Vec<String> {
    let arrivals = target.requests();
    let by_id = |id: &str| exchanges.iter().find(|it| it.id == id);
    let notified =
        arrivals.iter().filter(|it| it.has_drain_notice).filter_map(|it| by_id(&it.request));
    let notified: Vec<&Exchange> = notified.filter(|it| it.is_served()).collect();
    let is_late = |it: &&Exchange| {
        notified.iter().any(|notice| notice.instance == it.instance && notice.ended < it.sent)
    };
    let late = arrivals.iter().filter_map(|it| by_id(&it.request)).filter(is_late);
    late.map(|it| format!("{} at instance {}", it.id, it.instance)).collect()
}

/// Requests that reached a target from an instance during a backoff that it had asked of that instance.
fn sent_in_backoff(target: &Target, exchanges: &[Exchange]) -> Vec<String> {
    let arrivals = target.requests();
    let instance = |id: &str| exchanges.iter().find(|it| it.id == id).map(|it| it.instance);
    let mut sent = Vec::new();
    for (index, rejected) in arrivals.iter().enumerate() {
        let Some(backoff) = rejected.backoff else { continue };
        let after = arrivals[index + 1..].iter().filter(|it| {
            instance(&it.request) == instance(&rejected.request)
                && (rejected.at + NOTICE_DELAY..rejected.at + backoff).contains(&it.at)
        });
        sent.extend(after.map(|it| {
            format!("{} {:?} after {}", it.request, it.at - rejected.at, rejected.request)
        }));
    }
    sent
}

fn assert_served(exchanges: &[Exchange]) {
    let unserved: Vec<&str> =
        exchanges.iter().filter(|it| !it.is_served()).map(|it| it.id.as_str()).collect();
    assert!(unserved.is_empty(), "requests that the other targets did not serve: {unserved:?}");
}

async fn three_of_each() -> Fleet {
    fleet(&[Behaviour::Answer; 3], &[Behaviour::Events(3); 3]).await
}

#[tokio::test]
async fn no_request_reaches_a_target_after_its_drain_notice() {
    let fleet = three_of_each().await;
    fleet.gates().for_each(|it| it.set_outage(Outage::Silent));
    let draining = [&fleet.system.plain[0], &fleet.system.engines[0]];
    draining.iter().for_each(|it| it.set_draining(true));
    let exchanges = fleet.send_for(Duration::from_millis(3000), "r", mixed).await;
    for it in draining {
        assert!(it.requests().iter().any(|it| it.has_drain_notice), "{} got no request", it.id);
        assert_eq!(sent_to_draining(it, &exchanges), [""; 0], "{}", it.id);
    }
    assert_served(&exchanges);
}

/// A drain notice is read from any answer, whatever the request and its result.
#[tokio::test]
async fn a_drain_notice_is_read_from_any_answer() {
    for behaviour in
        [Behaviour::Decline, Behaviour::Fail, Behaviour::HangAfter(2), Behaviour::CutBody]
    {
        let is_stream = behaviour == Behaviour::HangAfter(2);
        let (plain, engines) =
            if is_stream { (vec![], vec![behaviour]) } else { (vec![behaviour], vec![]) };
        let fleet = fleet(&plain, &engines).await;
        let target = fleet.system.plain.first().unwrap_or_else(|| &fleet.system.engines[0]).clone();
        target.set_draining(true);
        let path = if is_stream { "/once/x" } else { "/unsafe/x" };
        let first =
            tokio::spawn(call(fleet.caller_addresses()[0], CallerRequest::new("first", path)));
        until(|| target.requests().iter().any(|it| it.has_drain_notice)).await;
        // The head of a stream arrives long before its end.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let other = CallerRequest::new("second", path);
        let second = call(fleet.caller_addresses()[0], other).await.expect("the instance answers");
        assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE, "{behaviour:?}");
        assert_eq!(target.requests().len(), 1, "{behaviour:?}");
        first.abort();
    }
}

/// A drain notice in an answer that carries another request's id is ignored.
#[tokio::test]
async fn a_drain_notice_in_an_answer_to_another_request_is_ignored() {
    let fleet = fleet(&[Behaviour::WrongRequestId], &[]).await;
    let target = &fleet.system.plain[0];
    target.set_draining(true);
    let safe = |_: usize, id: &str| CallerRequest::new(id, "/unsafe/x");
    fleet.send_for(Duration::from_millis(500), "r", safe).await;
    assert!(3 < target.requests().len());
}

/// A drain notice received by one instance reaches all others soon: also the one that places prompts, and one that
/// starts later and reads in the store that the target is ready.
#[tokio::test]
async fn a_drain_notice_reaches_other_instances_and_one_that_starts_later() {
    let fleet = three_of_each().await;
    let draining = [&fleet.system.plain[0], &fleet.system.engines[0]];
    draining.iter().for_each(|it| it.set_draining(true));
    let has_sent_notice = |it: &&Target| it.requests().iter().any(|it| it.has_drain_notice);
    let addresses = fleet.caller_addresses();
    for round in 0.. {
        if draining.iter().all(has_sent_notice) {
            break;
        }
        let (plain, engine) = (format!("a-{round}"), format!("b-{round}"));
        call(addresses[0], CallerRequest::new(&plain, "/unsafe/x")).await;
        call(addresses[0], prompt(round, &engine)).await;
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let gate = fleet.system.store.open_endpoint().await;
    let seeds = [fleet.system.instance.listen().peers.clone()];
    let newcomer = start_with_seeds("d", &gate, &seeds);
    until(|| newcomer.is_ready() && newcomer.peer_count() == 3).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let before: Vec<usize> = draining.iter().map(|it| it.requests().len()).collect();
    assert_served(&fleet.send_for(Duration::from_millis(1000), "r", mixed).await);
    let address = newcomer.listen().callers.parse().unwrap();
    for round in 0..24 {
        let id = format!("d-{round}");
        let answer = call(address, mixed(round, &id)).await.expect("the instance answers");
        assert_eq!(answer.status, StatusCode::OK);
    }
    let after: Vec<usize> = draining.iter().map(|it| it.requests().len()).collect();
    assert_eq!(before, after, "requests were sent to draining targets");
}

/// Later entries that still say ready do not revoke a drain notice; a new incarnation of the target does.
#[tokio::test]
async fn a_drain_notice_holds_until_the_target_restarts() {
    let fleet = fleet(&[Behaviour::Answer; 2], &[]).await;
    let mut target = fleet.system.plain[0].clone();
    target.set_draining(true);
    let safe = |_: usize, id: &str| CallerRequest::new(id, "/safe/x");
    fleet.send_for(Duration::from_millis(800), "r", safe).await;
    tokio::time::sleep(Duration::from_millis(1000)).await;
    let before = target.requests().len();
    for round in 0..5 {
        fleet.system.store.put_target(&target, false);
        fleet.send_for(Duration::from_millis(200), &format!("s{round}"), safe).await;
    }
    assert_eq!(target.requests().len(), before);
    target.stop();
    let id = target.id.clone();
    target.restart(&id);
    fleet.system.store.put_target(&target, false);
    until(|| target.is_up()).await;
    for round in 0.. {
        if before < target.requests().len() {
            break;
        }
        assert!(round < 40, "the new incarnation gets no requests");
        fleet.send_for(Duration::from_millis(200), &format!("t{round}"), safe).await;
    }
}

/// When all targets drain, requests are refused at once with `Retry-After`: none waits, and no item is computed.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_targets_are_draining() {
    let fleet = fleet(&[Behaviour::Answer; 2], &[Behaviour::Events(3); 2]).await;
    let all = fleet.system.plain.iter().chain(&fleet.system.engines).chain([&fleet.system.encoder]);
    let all: Vec<Target> = all.cloned().collect();
    all.iter().for_each(|it| it.set_draining(true));
    let staged = |id: &str| CallerRequest::new(id, "/staged/x").with_items("2,1");
    let any = |round: usize, id: &str| if round % 5 == 4 { staged(id) } else { mixed(round, id) };
    fleet.send_for(Duration::from_millis(1500), "r", any).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let before: usize = all.iter().map(|it| it.requests().len()).sum();
    for it in fleet.send_for(Duration::from_millis(500), "s", any).await {
        assert_eq!(it.answer.status, StatusCode::SERVICE_UNAVAILABLE, "{}", it.id);
        assert_eq!(header(&it.answer, "retry-after"), "1.00", "{}", it.id);
        assert!(it.ended - it.sent < Duration::from_millis(500), "{}", it.id);
    }
    assert_eq!(all.iter().map(|it| it.requests().len()).sum::<usize>(), before);
}

/// Work items go to the other target. Results that a draining target has computed are used but not released, since
/// it needs no room for further ones.
#[tokio::test]
async fn no_items_or_releases_are_sent_to_a_draining_target() {
    let fleet = fleet(&[], &[Behaviour::Events(3); 2]).await;
    let other = Target::start("i-another", "encode", Behaviour::Answer).await;
    fleet.system.store.put_target(&other, false);
    until(|| fleet.instances().all(|it| it.target_count() == 4)).await;
    let draining = &fleet.system.encoder;
    draining.set_draining(true);
    let staged = |_: usize, id: &str| CallerRequest::new(id, "/staged/x").with_items("2,1");
    let exchanges = fleet.send_for(Duration::from_millis(2000), "r", staged).await;
    assert_served(&exchanges);
    assert_eq!(
        draining.batches().len(),
        1,
        "no batch is sent after the first answer, which has the drain notice"
    );
    assert_eq!(draining.released(), [""; 0]);
    assert!(!other.batches().is_empty());
}

/// Requests that a target rejected, as seen by their callers.
fn rejected_by<'a>(target: &Target, exchanges: &'a [Exchange]) -> Vec<&'a Exchange> {
    let arrivals = target.requests();
    let is_rejected = |it: &&Exchange| arrivals.iter().any(|arrival| arrival.request == it.id);
    exchanges.iter().filter(is_rejected).collect()
}

#[tokio::test]
async fn no_request_reaches_a_target_that_asked_for_a_backoff() {
    let fleet = three_of_each().await;
    let in_backoff = [&fleet.system.plain[0], &fleet.system.engines[0]];
    in_backoff
        .iter()
        .for_each(|it| it.set_rejection(Some(Rejection::with_backoff(Duration::from_secs(3)))));
    let exchanges = fleet.send_for(Duration::from_millis(4000), "r", mixed).await;
    for it in in_backoff {
        assert!(!it.requests().is_empty(), "{} got no request", it.id);
        assert_eq!(sent_in_backoff(it, &exchanges), [""; 0], "{}", it.id);
    }
    // A route with one attempt has no second target for a rejected request.
    let rejected: Vec<&Exchange> =
        in_backoff.iter().flat_map(|it| rejected_by(it, &exchanges)).collect();
    let is_single =
        |it: &Exchange| it.id.trim_start_matches("r-").parse::<usize>().unwrap() % 4 == 2;
    let is_excused =
        |it: &Exchange| is_single(it) && rejected.iter().any(|other| other.id == it.id);
    let unserved = exchanges.iter().filter(|it| !it.is_served() && !is_excused(it));
    assert_eq!(unserved.map(|it| it.id.as_str()).collect::<Vec<_>>(), [""; 0]);
}

/// Work items go to the other target, and no releases are sent to the target in backoff.
#[tokio::test]
async fn no_items_or_releases_are_sent_to_a_target_that_asked_for_a_backoff() {
    let fleet = fleet(&[], &[Behaviour::Events(3); 2]).await;
    let other = Target::start("i-another", "encode", Behaviour::Answer).await;
    fleet.system.store.put_target(&other, false);
    until(|| fleet.instances().all(|it| it.target_count() == 4)).await;
    let in_backoff = &fleet.system.encoder;
    let staged = |_: usize, id: &str| CallerRequest::new(id, "/staged/x").with_items("2,1");
    assert_served(&fleet.send_for(Duration::from_millis(500), "r", staged).await);
    in_backoff.set_rejection(Some(Rejection::with_backoff(Duration::from_secs(3))));
    let exchanges = fleet.send_for(Duration::from_millis(2500), "s", staged).await;
    assert_served(&exchanges);
    let arrivals = in_backoff.requests();
    let asked_at =
        arrivals.iter().find(|it| it.backoff.is_some()).expect("a request was rejected").at;
    // The instance that batches for its service is also the one that releases results there.
    let later = arrivals.iter().filter(|it| asked_at + NOTICE_DELAY < it.at);
    assert_eq!(later.map(|it| it.path.as_str()).collect::<Vec<_>>(), [""; 0]);
}

/// When all targets are in backoff, requests are refused at once. Their `Retry-After` is spread out from the end of
/// the first backoff, and is not the target's own value.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_targets_are_in_backoff() {
    let fleet = fleet(&[Behaviour::Answer], &[Behaviour::Events(3)]).await;
    let all = [&fleet.system.plain[0], &fleet.system.engines[0], &fleet.system.encoder];
    all.iter()
        .for_each(|it| it.set_rejection(Some(Rejection::with_backoff(Duration::from_secs(4)))));
    let staged = |id: &str| CallerRequest::new(id, "/staged/x").with_items("2,1");
    let any = |round: usize, id: &str| if round % 5 == 4 { staged(id) } else { mixed(round, id) };
    fleet.send_for(Duration::from_millis(600), "r", any).await;
    let before: usize = all.iter().map(|it| it.requests().len()).sum();
    let mut retry_afters = Vec::new();
    for it in fleet.send_for(Duration::from_millis(1500), "s", any).await {
        assert_eq!(it.answer.status, StatusCode::SERVICE_UNAVAILABLE, "{}", it.id);
        assert!(it.ended - it.sent < Duration::from_millis(300), "{}", it.id);
        retry_afters.push(header(&it.answer, "retry-after").parse::<f64>().unwrap());
    }
    assert_eq!(all.iter().map(|it| it.requests().len()).sum::<usize>(), before);
    assert!(retry_afters.iter().all(|it| 1.0 < *it && *it < 6.1), "{retry_afters:?}");
    let distinct: std::collections::BTreeSet<String> =
        retry_afters.iter().map(f64::to_string).collect();
    assert!(retry_afters.len() / 2 < distinct.len(), "{retry_afters:?}");
}

/// A backoff keeps requests from the target for its time and no longer, and does not count as a failure.
#[tokio::test]
async fn a_target_gets_requests_again_as_soon_as_its_backoff_is_over() {
    let fleet = fleet(&[Behaviour::Answer], &[]).await;
    let target = &fleet.system.plain[0];
    target.set_rejection(Some(Rejection::with_backoff(Duration::from_millis(600))));
    let safe = |_: usize, id: &str| CallerRequest::new(id, "/safe/x");
    fleet.send_for(Duration::from_millis(300), "r", safe).await;
    target.set_rejection(None);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_served(&fleet.send_for(Duration::from_millis(500), "s", safe).await);
}

/// A backoff in other forms: of several values the latest end holds, also if a shorter one follows, and a value that
/// cannot be read is ignored.
#[tokio::test]
async fn a_backoff_is_read_in_any_form() {
    let backoff = Duration::from_secs(3);
    let (busy, many) = (StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS);
    let cases: [(Rejection, bool); 9] = [
        (Rejection::with_backoff(backoff).with_values(&["1e9"]), true),
        (Rejection::with_backoff(backoff).with_values(&["0.1", "3"]), true),
        (Rejection::with_backoff(backoff).after_run(), true),
        (Rejection::with_backoff(backoff).with_values(&[]), false),
        (Rejection::with_backoff(backoff).with_values(&["0"]), false),
        (Rejection::with_backoff(backoff).with_values(&[""]), false),
        (Rejection::with_backoff(backoff).with_values(&["-3"]), false),
        (Rejection::with_backoff(backoff).with_values(&["soon"]).with_status(busy), false),
        (Rejection::with_backoff(backoff).with_status(many), false),
    ];
    for (shed, is_backoff) in cases {
        let fleet = fleet(&[Behaviour::Answer], &[]).await;
        let target = &fleet.system.plain[0];
        target.set_rejection(Some(shed.clone()));
        let unsafe_request = |id: &str| CallerRequest::new(id, "/unsafe/x");
        let address = fleet.caller_addresses()[0];
        for id in ["a", "b"] {
            call(address, unsafe_request(id)).await.expect("the instance answers");
        }
        assert_eq!(target.requests().len(), if is_backoff { 1 } else { 2 }, "{shed:?}");
    }
}
