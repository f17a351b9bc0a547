//! Instances that callers, peers and the store reach, and targets do not. Their callers must be served through peers,
//! and callers of other instances must not notice the cut.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{Behaviour, CallerRequest, call};
use holdpoint_soak::LinkFault;

use crate::support::{
    event_stream, header,
    reach::{CutFleet, Exchange, cut_fleet},
    until,
};

const ALL: [&str; 3] = ["plain", "engine", "encode"];
/// Time within which an instance must have adapted to a cut.
const ADAPTATION_TIME: Duration = Duration::from_millis(3000);
/// Period in which the share of served requests is measured.
const MEASURED_TIME: Duration = Duration::from_millis(1500);

/// A request that may be repeated, one that may not, a stream and a stream with stages, in turn.
fn mixed(round: usize, id: &str) -> CallerRequest {
    match round / 3 % 4 {
        0 => CallerRequest::new(id, "/safe/"),
        1 => CallerRequest::new(id, "/unsafe/"),
        2 => CallerRequest::new(id, "/story/").with_prompt("a1:1000,b2:100"),
        _ => CallerRequest::new(id, "/staged/").with_items("2,2"),
    }
}

/// Number of requests served, and of all requests, at the selected instances.
fn served(exchanges: &[Exchange], is_counted: impl Fn(usize) -> bool) -> (usize, usize) {
    let counted = || exchanges.iter().filter(|it| is_counted(it.instance));
    (counted().filter(|it| it.is_served()).count(), counted().count())
}

/// Cuts some of three instances off from services, and asserts that after the adaptation time nine of ten requests
/// are served there, and all at the others.
async fn assert_served(cut: &[usize], services: &[&str], how: LinkFault) {
    let fleet = cut_fleet(3, Behaviour::Events(4)).await;
    fleet.send_for(Duration::from_millis(500), mixed).await;
    cut.iter().for_each(|it| fleet.set_cut(*it, services, Some(how)));
    let sending = fleet.send_for(ADAPTATION_TIME, |round, id| mixed(round, &format!("a-{id}")));
    sending.await;
    let exchanges = fleet.send_for(MEASURED_TIME, |round, id| mixed(round, &format!("b-{id}")));
    let exchanges = exchanges.await;
    let case = format!("{cut:?} {services:?} {how:?}");
    let (isolated, of) = served(&exchanges, |it| cut.contains(&it));
    assert!(9 * of <= 10 * isolated, "{case}: {isolated} of {of} were served at the cut instances");
    let (others, of) = served(&exchanges, |it| !cut.contains(&it));
    assert_eq!(others, of, "{case}: {isolated} served at the cut instances");
    assert_single_runs(&fleet);
}

/// Requests that may not be repeated have run at most once.
fn assert_single_runs(fleet: &CutFleet) {
    let mut ids: Vec<String> = fleet
        .targets_of("plain")
        .flat_map(|it| it.runs())
        .filter(|it| it.request_line.contains("/unsafe/"))
        .map(|it| it.request)
        .collect();
    let count = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), count, "a request ran twice");
}

/// Guards against callers of an instance that has lost its targets being served worse than those of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_an_instance_cut_off_from_its_targets_are_served_through_peers() {
    for how in [LinkFault::Blackhole, LinkFault::Refuse] {
        // One of the three owns a service.
        for cut in [0, 1, 2] {
            assert_served(&[cut], &ALL, how).await;
        }
    }
}

/// Guards against owners that go on to decide for all instances while most of these are cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_only_instance_that_reaches_the_targets_serves_for_all() {
    for how in [LinkFault::Refuse, LinkFault::DropReverse] {
        assert_served(&[0, 1], &ALL, how).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_live_on_while_new_ones_are_refused_are_no_obstacle() {
    for how in [LinkFault::RefuseNew, LinkFault::SilenceOpen] {
        assert_served(&[0], &ALL, how).await;
    }
}

/// Guards against callers who wait for targets that no instance reaches.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_no_instance_can_serve_is_refused_at_once_and_served_again_after_the_cut() {
    let fleet = cut_fleet(3, Behaviour::Events(4)).await;
    fleet.send_for(Duration::from_millis(500), mixed).await;
    (0..3).for_each(|it| fleet.set_cut(it, &ALL, Some(LinkFault::Refuse)));
    fleet.send_for(ADAPTATION_TIME, |round, id| mixed(round, &format!("a-{id}"))).await;
    let refused = fleet.send_for(MEASURED_TIME, |round, id| mixed(round, &format!("b-{id}"))).await;
    assert_eq!(served(&refused, |_| true).0, 0);
    let is_early = |it: &&Exchange| it.took < Duration::from_millis(300);
    let early = refused.iter().filter(is_early).count();
    assert!(9 * refused.len() <= 10 * early, "{early} of {} were refused early", refused.len());
    let answers = || refused.iter().filter_map(|it| it.answer.as_ref());
    assert!(
        answers()
            .filter(|it| it.status == 503)
            .all(|it| { header(it, "retry-after").parse::<f64>().is_ok_and(|it| 0.0 < it) })
    );
    (0..3).for_each(|it| fleet.set_cut(it, &ALL, None));
    fleet.send_for(ADAPTATION_TIME, |round, id| mixed(round, &format!("c-{id}"))).await;
    let after = fleet.send_for(MEASURED_TIME, |round, id| mixed(round, &format!("d-{id}"))).await;
    let (count, of) = served(&after, |_| true);
    assert!(9 * of <= 10 * count, "{count} of {of} were served after the cut");
    assert_single_runs(&fleet);
}

/// Guards against work that goes on at a target after the caller has left the instance that had it relayed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_ends_at_its_target_when_its_caller_leaves() {
    let fleet = cut_fleet(2, Behaviour::Events(4)).await;
    fleet.set_cut(0, &ALL, Some(LinkFault::Refuse));
    fleet.send_for(ADAPTATION_TIME, mixed).await;
    for service in ["plain", "engine"] {
        fleet.targets_of(service).for_each(|it| it.set_behaviour(Behaviour::RunAndHang));
        let path = if service == "plain" { "/unsafe/" } else { "/once/" };
        let request = CallerRequest::new(&format!("r-{service}"), path);
        let waiting = tokio::spawn(call(fleet.callers(0), request));
        let in_progress = || fleet.targets_of(service).map(|it| it.in_progress()).sum::<u64>();
        until(|| in_progress() == 1).await;
        waiting.abort();
        until(|| in_progress() == 0 && fleet.instances.iter().all(|it| it.0.in_flight() == 0))
            .await;
    }
}

/// Guards against streams that break off at a cut although a peer can go on with them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_under_way_at_a_cut_goes_on_through_a_peer() {
    let fleet = cut_fleet(2, Behaviour::Events(400)).await;
    let request =
        CallerRequest::new("r-1", "/story/").with_header("holdpoint-deadline-ms", "60000");
    let waiting = tokio::spawn(call(fleet.callers(0), request));
    let runs = || fleet.targets_of("engine").map(|it| it.runs().len()).sum::<usize>();
    until(|| runs() == 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.set_cut(0, &ALL, Some(LinkFault::Refuse));
    let answer = waiting.await.unwrap().expect("there is an answer");
    assert!(answer.is_complete);
    assert_eq!(answer.body, event_stream(0, 400));
    assert_eq!(runs(), 2);
}
