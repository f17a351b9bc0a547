//! Expected load of later stages from admitted requests, and admission by it.

use holdpoint_core::{
    admission::{FirstAsk, Objective, Verdict, decide},
    batcher::Batcher,
    ingress::StageStep,
    pieces::{CallEnd, Sizes, Waiting},
    promises::{Promises, StageAhead, StageLoad},
    stage_graph::StageGraph,
};

const SIZES: Sizes =
    Sizes { calls: 1, pieces: 6, call_ms: 200.0, piece_ms: 20.0, room_bytes: 0, keep_ms: 4000 };

/// Load of a service that processes one item per millisecond in calls of 100 ms.
fn load(waiting: f64) -> StageLoad {
    let base = StageLoad { per_ms: 1.0, call_ms: 100.0, full_ms: 100.0, ..StageLoad::default() };
    StageLoad { waiting, most: 50.0, ..base }
}

fn stage(service: &str, pieces: u32, depth: u32) -> StageAhead {
    StageAhead { service: service.to_owned(), pieces, depth, usual_ms: 700 }
}

fn expected_ms(promises: &Promises, now: u64, ahead: &[StageAhead]) -> f64 {
    promises.expect(now, 200.0, ahead).ms
}

fn batcher() -> Batcher {
    let mut batcher = Batcher::new(SIZES);
    batcher.set_targets([("t", "a", false)].into_iter());
    batcher
}

#[test]
fn reported_backlog_drains_meanwhile_and_earlier_promises_are_ahead() {
    let mut promises = Promises::default();
    let ahead = [stage("second", 20, 1)];
    assert!(promises.told(1000, "second", load(500.0)));
    // 500 items less the 200 processed meanwhile, half of its own 20, and one call.
    assert_eq!(expected_ms(&promises, 1000, &ahead), 200.0 + 300.0 + 10.0 + 100.0);
    let expected = promises.expect(1000, 200.0, &ahead);
    promises.promise(1000, &ahead, &expected, false);
    assert_eq!(expected_ms(&promises, 1000, &ahead), 200.0 + 320.0 + 10.0 + 100.0);
    assert_eq!(promises.outstanding("second"), 20.0);
}

#[test]
fn a_report_replaces_only_the_promises_due_by_then() {
    let mut promises = Promises::default();
    let ahead = [stage("second", 20, 1)];
    promises.told(1000, "second", load(0.0));
    for own_ms in [100.0, 400.0] {
        let expected = promises.expect(1000, own_ms, &ahead);
        promises.promise(1000, &ahead, &expected, false);
    }
    promises.told(1250, "second", load(20.0));
    assert_eq!(
        promises.outstanding("second"),
        20.0,
        "the request due at 1,400 ms has not arrived yet"
    );
    promises.told(1500, "second", load(0.0));
    assert_eq!(promises.outstanding("second"), 0.0);
}

#[test]
fn parallel_stages_take_the_longest_time_and_later_stages_wait_for_it() {
    let mut promises = Promises::default();
    promises.told(1000, "second", load(500.0));
    promises.told(1000, "other", load(0.0));
    let side_by_side = [stage("second", 0, 1), stage("other", 0, 1)];
    assert_eq!(expected_ms(&promises, 1000, &side_by_side), 200.0 + 300.0 + 100.0);
    let in_turn = [stage("second", 0, 1), stage("other", 0, 2)];
    assert_eq!(expected_ms(&promises, 1000, &in_turn), 200.0 + 300.0 + 100.0 + 100.0);
}

#[test]
fn a_silent_batcher_or_one_without_targets_counts_with_the_usual_time() {
    let mut promises = Promises::default();
    let ahead = [stage("second", 20, 1)];
    assert_eq!(expected_ms(&promises, 1000, &ahead), 900.0, "no report yet");
    promises.told(1000, "second", load(5000.0));
    assert!(3000.0 < expected_ms(&promises, 1800, &ahead));
    assert_eq!(expected_ms(&promises, 1801, &ahead), 900.0);
    promises.told(2000, "second", load(5000.0));
    assert!(promises.told(2010, "second", StageLoad { per_ms: 0.0, ..load(5000.0) }));
    assert_eq!(expected_ms(&promises, 2010, &ahead), 900.0);
}

#[test]
fn an_invalid_load_is_ignored_and_the_previous_one_stays() {
    let mut promises = Promises::default();
    let ahead = [stage("second", 0, 1)];
    promises.told(1000, "second", load(500.0));
    let invalid = [
        StageLoad { per_ms: f64::NAN, ..load(0.0) },
        StageLoad { per_ms: -1.0, ..load(0.0) },
        StageLoad { waiting: f64::INFINITY, ..load(0.0) },
        StageLoad { bias_ms: -1e9, ..load(0.0) },
    ];
    for load in invalid {
        assert!(!promises.told(1000, "second", load));
    }
    assert_eq!(expected_ms(&promises, 1000, &ahead), 600.0);
    let names: Vec<String> = (0..400).map(|it| format!("s{it}")).collect();
    let accepted = names.iter().filter(|it| promises.told(1000, it, load(0.0))).count();
    assert_eq!(
        accepted, 255,
        "a peer cannot make an instance keep the state of more than 256 services"
    );
}

fn ask(ahead: &[StageAhead], end: u64) -> FirstAsk<'_> {
    let objective = Objective { late_worth: 0.15 };
    FirstAsk { due: 1500, late_due: 3000, pieces: 1, ahead, end, deadline: 6000, objective }
}

#[test]
fn a_request_is_admitted_in_time_or_late_or_refused_by_its_whole_chain() {
    let (batcher, ahead) = (batcher(), [stage("second", 20, 1)]);
    let mut promises = Promises::default();
    promises.told(1000, "second", load(0.0));
    let verdict = decide(1000, &batcher, &mut promises, &ask(&ahead, 2000));
    assert!(matches!(verdict, Verdict::InTime(_)), "{verdict:?}");
    promises.told(1000, "second", load(1500.0));
    let verdict = decide(1000, &batcher, &mut promises, &ask(&ahead, 2000));
    assert!(matches!(verdict, Verdict::Late(_)), "the first stage is idle: {verdict:?}");
    promises.told(1000, "second", load(9000.0));
    let verdict = decide(1000, &batcher, &mut promises, &ask(&ahead, 2000));
    let Verdict::Refused { by, excess, .. } = verdict else { panic!("{verdict:?}") };
    assert_eq!(by.as_deref(), Some("second"));
    assert!((8000..8500).contains(&excess), "would be in time {excess} ms later");
}

#[test]
fn late_requests_are_admitted_only_up_to_the_spare_capacity() {
    let (batcher, ahead) = (batcher(), [stage("second", 500, 1)]);
    let mut promises = Promises::default();
    promises.told(1000, "second", load(1500.0));
    let admitted = (0..100)
        .map(|_| decide(1000, &batcher, &mut promises, &ask(&ahead, 2000)))
        .take_while(|it| matches!(it, Verdict::Late(_)))
        .count();
    assert!((4..10).contains(&admitted), "{admitted} admitted for 3 s of work at 500 ms each");
}

#[test]
fn refused_requests_are_told_to_retry_at_the_pace_of_the_service() {
    let mut promises = Promises::default();
    promises.told(1000, "second", load(9000.0));
    let delays: Vec<u64> = (0..3).map(|_| promises.return_ms(1000, "second", 400, 20)).collect();
    assert_eq!(delays, [400, 420, 440]);
}

/// A large error of the estimate must decay without new measurements: if all requests are refused for it, none
/// follow.
#[test]
fn an_error_that_causes_refusals_decays_without_measurements() {
    let mut batcher = batcher();
    for turn in 0..20 {
        let now = 1000 + 3000 * turn;
        let item = Waiting {
            ticket: turn,
            group: turn,
            due: now + 9000,
            deadline: now + 9000,
            ..Waiting::default()
        };
        batcher.offer(now, item);
        let call = batcher.next(now).expect("the target is free");
        assert!(batcher.judge(now + 2500, &call, 2500).is_some());
        batcher.ended(now + 2500, &call, CallEnd::Answered(2500), &[None]);
    }
    let expected = |now| batcher.load(now).expected_ms(0.0);
    assert!(1500.0 < expected(60_500));
    assert!(expected(70_000) < 400.0, "{}", expected(70_000));
}

#[test]
fn the_estimate_is_corrected_by_measured_times() {
    let mut batcher = batcher();
    for turn in 0..40 {
        let now = 1000 + 350 * turn;
        let item = Waiting {
            ticket: turn,
            group: turn,
            due: now + 900,
            deadline: now + 900,
            ..Waiting::default()
        };
        batcher.offer(now, item);
        let call = batcher.next(now).expect("the target is free");
        batcher.judge(now + 330, &call, 330);
        batcher.ended(now + 330, &call, CallEnd::Answered(330), &[None]);
    }
    let load = batcher.load(15_000);
    assert!((load.expected_ms(0.0) - 330.0).abs() < 20.0, "{load:?}");
    assert!(load.spread_ms < 20.0, "{load:?}");
}

#[test]
fn the_stages_ahead_are_all_dependent_stages_at_their_longest_distance() {
    let after =
        |stages: &[usize]| StageStep { service: String::new(), after: stages.to_vec(), bytes: 0 };
    let steps = [after(&[]), after(&[]), after(&[1]), after(&[2, 1]), after(&[0])];
    let graph = StageGraph::new(&steps, &[1, 1, 8, 16, 1]);
    assert_eq!(graph.ahead(1), [(2, 1), (3, 2)]);
    assert_eq!(graph.ahead(0), [(4, 1)]);
    assert_eq!(graph.ahead(3), []);
    assert_eq!(StageGraph::new(&steps, &[1, 1, 0, 16, 1]).ahead(1), [(3, 1)]);
}
