//! Targets that say in their answers that they leave, or ask for rest.
//!
//! With the store away, an engine said in its answers that it leaves. Two instances passed such answers on and
//! went on sending: requests whose callers had asked 2.2 s and 3.9 s after that reached it, 2,514 ms and 4,127 ms
//! after the answer. Another engine turned an instance away with 503 and asked for 3 s of rest, and got three more
//! requests from it in that time. Nothing read either header: only the target's entry in the store said that it
//! leaves, and a 503 counted as one failure, of which it takes two in a row to pass a target over.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{Behaviour, CallerRequest, Outage, Shed, Target};

use crate::support::fleet::{Asked, Fleet, fleet};

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
    assert_served(&asked);
}
