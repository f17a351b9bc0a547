//! Targets that say in their answers that they leave, or ask for rest.
//!
//! With the store away, an engine said in its answers that it leaves. Two instances passed such answers on and
//! went on sending: requests whose callers had asked 2.2 s and 3.9 s after that reached it, 2,514 ms and 4,127 ms
//! after the answer. Another engine turned an instance away with 503 and asked for 3 s of rest, and got three more
//! requests from it in that time. Nothing read either header: only the target's entry in the store said that it
//! leaves, and a 503 counted as one failure, of which it takes two in a row to pass a target over.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{Behaviour, CallerRequest, Outage, Shed, Target, call};
use http::StatusCode;

use crate::support::{
    fleet::{Asked, Fleet, fleet},
    header, start_with_seeds, until,
};

/// How long a target's answer may take to be known to an instance that it was sent to.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests of each kind in turn.
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

/// Requests that reached a target although the instance had passed on an answer before they were sent which said
/// that the target leaves.
fn sent_to_leaving(target: &Target, asked: &[Asked]) -> Vec<String> {
    let arrivals = target.notices();
    let of = |id: &str| asked.iter().find(|it| it.id == id);
    let told = arrivals.iter().filter(|it| it.says_leaving).filter_map(|it| of(&it.request));
    let told: Vec<&Asked> = told.filter(|it| it.is_served()).collect();
    let is_late =
        |it: &&Asked| told.iter().any(|told| told.instance == it.instance && told.ended < it.sent);
    let late = arrivals.iter().filter_map(|it| of(&it.request)).filter(is_late);
    late.map(|it| format!("{} at instance {}", it.id, it.instance)).collect()
}

/// Requests that reached a target from an instance in the time for which it had asked that instance for rest.
fn sent_in_rest(target: &Target, asked: &[Asked]) -> Vec<String> {
    let arrivals = target.notices();
    let instance = |id: &str| asked.iter().find(|it| it.id == id).map(|it| it.instance);
    let mut in_rest = Vec::new();
    for (index, asks) in arrivals.iter().enumerate() {
        let Some(rest) = asks.rest else { continue };
        let after = arrivals[index + 1..].iter().filter(|it| {
            instance(&it.request) == instance(&asks.request)
                && (asks.at + UNDER_WAY..asks.at + rest).contains(&it.at)
        });
        in_rest.extend(
            after.map(|it| format!("{} {:?} after {}", it.request, it.at - asks.at, asks.request)),
        );
    }
    in_rest
}

fn assert_served(asked: &[Asked]) {
    let unserved: Vec<&str> =
        asked.iter().filter(|it| !it.is_served()).map(|it| it.id.as_str()).collect();
    assert!(unserved.is_empty(), "the other targets serve them: {unserved:?}");
}

async fn three_of_each() -> Fleet {
    fleet(&[Behaviour::Answer; 3], &[Behaviour::Events(3); 3]).await
}

#[tokio::test]
async fn no_request_reaches_a_target_whose_answer_said_that_it_leaves() {
    let fleet = three_of_each().await;
    fleet.gates().for_each(|it| it.set_outage(Outage::Silent));
    let leaving = [&fleet.system.plain[0], &fleet.system.engines[0]];
    leaving.iter().for_each(|it| it.set_leaving(true));
    let asked = fleet.ask(Duration::from_millis(3000), "r", mixed).await;
    for it in leaving {
        assert!(it.notices().iter().any(|it| it.says_leaving), "{} was asked", it.id);
        assert_eq!(sent_to_leaving(it, &asked), [""; 0], "{}", it.id);
    }
    assert_served(&asked);
}

/// Every answer counts, whatever it is to and however the request ended.
#[tokio::test]
async fn any_answer_tells_that_its_target_leaves() {
    for behaviour in
        [Behaviour::Decline, Behaviour::Fail, Behaviour::HangAfter(2), Behaviour::CutBody]
    {
        let is_stream = behaviour == Behaviour::HangAfter(2);
        let (plain, engines) =
            if is_stream { (vec![], vec![behaviour]) } else { (vec![behaviour], vec![]) };
        let fleet = fleet(&plain, &engines).await;
        let target = fleet.system.plain.first().unwrap_or_else(|| &fleet.system.engines[0]).clone();
        target.set_leaving(true);
        let path = if is_stream { "/once/x" } else { "/unsafe/x" };
        let first = tokio::spawn(call(fleet.callers()[0], CallerRequest::new("first", path)));
        until(|| target.notices().iter().any(|it| it.says_leaving)).await;
        // The head of a stream is there long before its end.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let other = CallerRequest::new("second", path);
        let second = call(fleet.callers()[0], other).await.expect("there is an answer");
        assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE, "{behaviour:?}");
        assert_eq!(target.notices().len(), 1, "{behaviour:?}");
        first.abort();
    }
}

/// An answer under another request's id says nothing of the target.
#[tokio::test]
async fn a_crossed_answer_tells_nothing() {
    let fleet = fleet(&[Behaviour::Cross], &[]).await;
    let target = &fleet.system.plain[0];
    target.set_leaving(true);
    let safe = |_: usize, id: &str| CallerRequest::new(id, "/unsafe/x");
    fleet.ask(Duration::from_millis(500), "r", safe).await;
    assert!(3 < target.notices().len());
}

/// What one instance has heard all know soon, also the one that places prompts, and one that starts later and reads
/// in the store that the target is ready.
#[tokio::test]
async fn others_know_of_a_target_that_leaves_and_so_does_one_that_starts() {
    let fleet = three_of_each().await;
    let leaving = [&fleet.system.plain[0], &fleet.system.engines[0]];
    leaving.iter().for_each(|it| it.set_leaving(true));
    let is_told = |it: &&Target| it.notices().iter().any(|it| it.says_leaving);
    let callers = fleet.callers();
    for round in 0.. {
        if leaving.iter().all(is_told) {
            break;
        }
        let (plain, engine) = (format!("a-{round}"), format!("b-{round}"));
        call(callers[0], CallerRequest::new(&plain, "/unsafe/x")).await;
        call(callers[0], prompt(round, &engine)).await;
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let gate = fleet.system.store.open_gate().await;
    let seeds = [fleet.system.instance.listen().peers.clone()];
    let newcomer = start_with_seeds("d", &gate, &seeds);
    until(|| newcomer.is_ready() && newcomer.peer_count() == 3).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let before: Vec<usize> = leaving.iter().map(|it| it.notices().len()).collect();
    assert_served(&fleet.ask(Duration::from_millis(1000), "r", mixed).await);
    let address = newcomer.listen().callers.parse().unwrap();
    for round in 0..24 {
        let id = format!("d-{round}");
        let answer = call(address, mixed(round, &id)).await.expect("there is an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
    let after: Vec<usize> = leaving.iter().map(|it| it.notices().len()).collect();
    assert_eq!(before, after, "nobody sends there");
}

/// Entries that still say ready, written again and again, take nothing back; a new life does.
#[tokio::test]
async fn an_entry_that_says_ready_takes_nothing_back_and_a_new_life_does() {
    let fleet = fleet(&[Behaviour::Answer; 2], &[]).await;
    let mut target = fleet.system.plain[0].clone();
    target.set_leaving(true);
    let safe = |_: usize, id: &str| CallerRequest::new(id, "/safe/x");
    fleet.ask(Duration::from_millis(800), "r", safe).await;
    tokio::time::sleep(Duration::from_millis(1000)).await;
    let before = target.notices().len();
    for round in 0..5 {
        fleet.system.store.put_target(&target, false);
        fleet.ask(Duration::from_millis(200), &format!("s{round}"), safe).await;
    }
    assert_eq!(target.notices().len(), before);
    target.end();
    let id = target.id.clone();
    target.start_again(&id);
    fleet.system.store.put_target(&target, false);
    until(|| target.is_up()).await;
    for round in 0.. {
        if before < target.notices().len() {
            break;
        }
        assert!(round < 40, "its next life gets requests");
        fleet.ask(Duration::from_millis(200), &format!("t{round}"), safe).await;
    }
}

/// When all leave, requests are refused at once and told when to come back; nothing waits, nothing is made.
#[tokio::test]
async fn what_no_target_is_left_for_is_refused_at_once() {
    let fleet = fleet(&[Behaviour::Answer; 2], &[Behaviour::Events(3); 2]).await;
    let all = fleet.system.plain.iter().chain(&fleet.system.engines).chain([&fleet.system.encoder]);
    let all: Vec<Target> = all.cloned().collect();
    all.iter().for_each(|it| it.set_leaving(true));
    let staged = |id: &str| CallerRequest::new(id, "/staged/x").with_pieces("2,1");
    let any = |round: usize, id: &str| if round % 5 == 4 { staged(id) } else { mixed(round, id) };
    fleet.ask(Duration::from_millis(1500), "r", any).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let before: usize = all.iter().map(|it| it.notices().len()).sum();
    for it in fleet.ask(Duration::from_millis(500), "s", any).await {
        assert_eq!(it.answer.status, StatusCode::SERVICE_UNAVAILABLE, "{}", it.id);
        assert_eq!(header(&it.answer, "retry-after"), "1.00", "{}", it.id);
        assert!(it.ended - it.sent < Duration::from_millis(500), "{}", it.id);
    }
    assert_eq!(all.iter().map(|it| it.notices().len()).sum::<usize>(), before);
}

/// Pieces go to the other target; results that a leaving one has made are used, and it is not told that they are
/// no longer needed, since nobody needs their room.
#[tokio::test]
async fn pieces_and_releases_go_to_no_target_that_leaves() {
    let fleet = fleet(&[], &[Behaviour::Events(3); 2]).await;
    let other = Target::start("i-another", "encode", Behaviour::Answer).await;
    fleet.system.store.put_target(&other, false);
    until(|| fleet.instances().all(|it| it.target_count() == 4)).await;
    let leaving = &fleet.system.encoder;
    leaving.set_leaving(true);
    let staged = |_: usize, id: &str| CallerRequest::new(id, "/staged/x").with_pieces("2,1");
    let asked = fleet.ask(Duration::from_millis(2000), "r", staged).await;
    assert_served(&asked);
    assert_eq!(leaving.batches().len(), 1, "its first answer tells");
    assert_eq!(leaving.freed(), [""; 0]);
    assert!(!other.batches().is_empty());
}

/// Requests that a target turned away, as their callers saw them.
fn turned_away<'a>(target: &Target, asked: &'a [Asked]) -> Vec<&'a Asked> {
    let arrivals = target.notices();
    let is_turned_away = |it: &&Asked| arrivals.iter().any(|arrival| arrival.request == it.id);
    asked.iter().filter(is_turned_away).collect()
}

#[tokio::test]
async fn no_request_reaches_a_target_that_asked_for_rest() {
    let fleet = three_of_each().await;
    let resting = [&fleet.system.plain[0], &fleet.system.engines[0]];
    resting.iter().for_each(|it| it.set_shed(Some(Shed::for_rest(Duration::from_secs(3)))));
    let asked = fleet.ask(Duration::from_millis(4000), "r", mixed).await;
    for it in resting {
        assert!(!it.notices().is_empty(), "{} was asked", it.id);
        assert_eq!(sent_in_rest(it, &asked), [""; 0], "{}", it.id);
    }
    // A route with one attempt has no second target for what was turned away.
    let away: Vec<&Asked> = resting.iter().flat_map(|it| turned_away(it, &asked)).collect();
    let is_single = |it: &Asked| it.id.trim_start_matches("r-").parse::<usize>().unwrap() % 4 == 2;
    let is_excused = |it: &Asked| is_single(it) && away.iter().any(|away| away.id == it.id);
    let unserved = asked.iter().filter(|it| !it.is_served() && !is_excused(it));
    assert_eq!(unserved.map(|it| it.id.as_str()).collect::<Vec<_>>(), [""; 0]);
}

/// Calls for pieces go to the other target, and no release to one that wants none.
#[tokio::test]
async fn pieces_and_releases_go_to_no_target_that_asked_for_rest() {
    let fleet = fleet(&[], &[Behaviour::Events(3); 2]).await;
    let other = Target::start("i-another", "encode", Behaviour::Answer).await;
    fleet.system.store.put_target(&other, false);
    until(|| fleet.instances().all(|it| it.target_count() == 4)).await;
    let resting = &fleet.system.encoder;
    let staged = |_: usize, id: &str| CallerRequest::new(id, "/staged/x").with_pieces("2,1");
    assert_served(&fleet.ask(Duration::from_millis(500), "r", staged).await);
    resting.set_shed(Some(Shed::for_rest(Duration::from_secs(3))));
    let asked = fleet.ask(Duration::from_millis(2500), "s", staged).await;
    assert_served(&asked);
    let arrivals = resting.notices();
    let told = arrivals.iter().find(|it| it.rest.is_some()).expect("it was asked").at;
    // The instances that batch its service and that release results there are one and the same.
    let later = arrivals.iter().filter(|it| told + UNDER_WAY < it.at);
    assert_eq!(later.map(|it| it.path.as_str()).collect::<Vec<_>>(), [""; 0]);
}

/// When all targets rest, requests are refused at once, told when the first one takes some again, and come back
/// spread out. The target's own figure is not theirs.
#[tokio::test]
async fn what_every_target_wants_rest_from_is_refused_at_once() {
    let fleet = fleet(&[Behaviour::Answer], &[Behaviour::Events(3)]).await;
    let all = [&fleet.system.plain[0], &fleet.system.engines[0], &fleet.system.encoder];
    all.iter().for_each(|it| it.set_shed(Some(Shed::for_rest(Duration::from_secs(4)))));
    let staged = |id: &str| CallerRequest::new(id, "/staged/x").with_pieces("2,1");
    let any = |round: usize, id: &str| if round % 5 == 4 { staged(id) } else { mixed(round, id) };
    fleet.ask(Duration::from_millis(600), "r", any).await;
    let before: usize = all.iter().map(|it| it.notices().len()).sum();
    let mut returns = Vec::new();
    for it in fleet.ask(Duration::from_millis(1500), "s", any).await {
        assert_eq!(it.answer.status, StatusCode::SERVICE_UNAVAILABLE, "{}", it.id);
        assert!(it.ended - it.sent < Duration::from_millis(300), "{}", it.id);
        returns.push(header(&it.answer, "retry-after").parse::<f64>().unwrap());
    }
    assert_eq!(all.iter().map(|it| it.notices().len()).sum::<usize>(), before);
    assert!(returns.iter().all(|it| 1.0 < *it && *it < 6.1), "{returns:?}");
    let distinct: std::collections::BTreeSet<String> = returns.iter().map(f64::to_string).collect();
    assert!(returns.len() / 2 < distinct.len(), "{returns:?}");
}

/// A rest takes the target out for its time and no longer, and counts as no failure.
#[tokio::test]
async fn a_target_gets_requests_again_as_soon_as_its_rest_is_over() {
    let fleet = fleet(&[Behaviour::Answer], &[]).await;
    let target = &fleet.system.plain[0];
    target.set_shed(Some(Shed::for_rest(Duration::from_millis(600))));
    let safe = |_: usize, id: &str| CallerRequest::new(id, "/safe/x");
    fleet.ask(Duration::from_millis(300), "r", safe).await;
    target.set_shed(None);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_served(&fleet.ask(Duration::from_millis(500), "s", safe).await);
}

/// What is said in other forms: the latest end holds, also where a shorter rest comes later, and a figure that
/// cannot be read changes nothing.
#[tokio::test]
async fn rest_is_read_in_any_form() {
    let rest = Duration::from_secs(3);
    let (busy, many) = (StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS);
    let cases: [(Shed, bool); 9] = [
        (Shed::for_rest(rest).with_words(&["1e9"]), true),
        (Shed::for_rest(rest).with_words(&["0.1", "3"]), true),
        (Shed::for_rest(rest).after_run(), true),
        (Shed::for_rest(rest).with_words(&[]), false),
        (Shed::for_rest(rest).with_words(&["0"]), false),
        (Shed::for_rest(rest).with_words(&[""]), false),
        (Shed::for_rest(rest).with_words(&["-3"]), false),
        (Shed::for_rest(rest).with_words(&["soon"]).with_status(busy), false),
        (Shed::for_rest(rest).with_status(many), false),
    ];
    for (shed, is_rest) in cases {
        let fleet = fleet(&[Behaviour::Answer], &[]).await;
        let target = &fleet.system.plain[0];
        target.set_shed(Some(shed.clone()));
        let unsafe_one = |id: &str| CallerRequest::new(id, "/unsafe/x");
        let address = fleet.callers()[0];
        for id in ["a", "b"] {
            call(address, unsafe_one(id)).await.expect("there is an answer");
        }
        assert_eq!(target.notices().len(), if is_rest { 1 } else { 2 }, "{shed:?}");
    }
}
