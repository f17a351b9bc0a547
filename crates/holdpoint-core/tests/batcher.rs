//! Properties of the batcher that hold for every order of offers, calls, results and failures, and cases of
//! ordering, expiry, admission and target choice.

use std::collections::{HashMap, HashSet};

use holdpoint_core::{
    batcher::Batcher,
    choice::Load,
    ingress::StageStep,
    pieces::{Call, CallEnd, Sizes, Waiting},
    stage_graph::StageGraph,
};
use proptest::prelude::*;

const SIZES: Sizes = Sizes {
    calls: 1,
    pieces: 6,
    call_ms: 200.0,
    piece_ms: 20.0,
    room_bytes: 10_000,
    keep_ms: 4000,
};
const TARGETS: [(&str, &str); 3] = [("t-0", "a"), ("t-1", "b"), ("t-2", "b")];

#[derive(Clone, Debug)]
enum Step {
    /// Items of one group: count, bytes each, milliseconds until due, whether in domain `a`.
    Offer(u64, u64, u64, bool),
    /// The oldest call ends: failed, target full, answered without or with results.
    End(u8),
    /// The oldest result is released.
    Release,
    /// Time passes.
    Advance(u64),
    /// A target starts draining, or all are available again.
    Drain(Option<usize>),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..8_u64, 1..3000_u64, 0..3000_u64, any::<bool>())
            .prop_map(|(count, bytes, due, is_near)| Step::Offer(count, bytes, due, is_near)),
        4 => (0..6_u8).prop_map(Step::End),
        2 => Just(Step::Release),
        3 => (1..400_u64).prop_map(Step::Advance),
        1 => prop::option::of(0..3_usize).prop_map(Step::Drain),
    ]
}

struct Model {
    batcher: Batcher,
    now: u64,
    tickets: u64,
    running: Vec<Call>,
    /// Kept results: handle, target, bytes and expiry.
    kept: Vec<(String, String, u64, u64)>,
    draining: HashSet<&'static str>,
    /// Tickets of waiting items.
    waiting: HashSet<u64>,
    group_sizes: HashMap<u64, usize>,
}

impl Model {
    fn new() -> Model {
        let mut model = Model {
            batcher: Batcher::new(SIZES),
            now: 10_000,
            tickets: 0,
            running: Vec::new(),
            kept: Vec::new(),
            draining: HashSet::new(),
            waiting: HashSet::new(),
            group_sizes: HashMap::new(),
        };
        model.set_targets();
        model
    }

    fn set_targets(&mut self) {
        let targets = TARGETS.iter().map(|it| (it.0, it.1, self.draining.contains(it.0)));
        self.batcher.set_targets(targets);
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Offer(count, bytes, due, is_near) => self.offer(*count, *bytes, *due, *is_near),
            Step::End(outcome) => self.end(*outcome),
            Step::Release => {
                if !self.kept.is_empty() {
                    let (handle, ..) = self.kept.remove(0);
                    self.batcher.released(&handle);
                }
            }
            Step::Advance(ms) => self.now += ms,
            Step::Drain(None) => self.draining.clear(),
            Step::Drain(Some(index)) => drop(self.draining.insert(TARGETS[*index].0)),
        }
        self.set_targets();
        for ticket in self.batcher.expire(self.now) {
            assert!(self.waiting.remove(&ticket), "only waiting items expire");
        }
        while let Some(call) = self.batcher.next(self.now) {
            self.check(&call);
            self.running.push(call);
        }
    }

    fn offer(&mut self, count: u64, bytes: u64, due: u64, is_near: bool) {
        let group = self.tickets;
        self.group_sizes.insert(group, count as usize);
        for _ in 0..count {
            self.tickets += 1;
            self.waiting.insert(self.tickets);
            let item = Waiting {
                ticket: self.tickets,
                group,
                due: self.now + due,
                deadline: self.now + due + 4000,
                late_due: self.now + due + 2000,
                rank: (bytes % 3) as u32,
                bytes,
                domain: if is_near { "a".to_owned() } else { String::new() },
                near_bytes: 300_000,
                ..Waiting::default()
            };
            self.batcher.offer(self.now, item);
        }
    }

    fn check(&mut self, call: &Call) {
        assert!(!call.pieces.is_empty());
        assert!(
            call.pieces.len() <= SIZES.pieces as usize,
            "a call is at most as large as configured"
        );
        assert!(!self.draining.contains(call.target.as_str()), "a draining target gets no call");
        let others = self.running.iter().filter(|it| it.target == call.target).count();
        assert!(others < SIZES.calls as usize, "concurrent calls to one target are limited");
        for item in &call.pieces {
            assert!(self.waiting.remove(&item.ticket), "an item is in one call at a time");
        }
        let now = self.now;
        let of_target = |target: &str| target == call.target;
        let kept: u64 =
            self.kept.iter().filter(|it| of_target(&it.1) && now <= it.3).map(|it| it.2).sum();
        let needed: u64 = call.pieces.iter().map(|it| it.bytes).sum();
        assert!(kept + needed <= SIZES.room_bytes, "results fit into the target's room");
    }

    fn end(&mut self, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let call = self.running.remove(0);
        let handles: Vec<String> =
            call.pieces.iter().map(|it| format!("{}/{}", call.target, it.ticket)).collect();
        let (end, results): (CallEnd, Vec<Option<&str>>) = match outcome {
            0 => (CallEnd::Failed, Vec::new()),
            1 => (CallEnd::Full, Vec::new()),
            2 => (CallEnd::Answered(300), vec![None; handles.len()]),
            _ => (CallEnd::Answered(300), handles.iter().map(|it| Some(it.as_str())).collect()),
        };
        self.batcher.ended(self.now, &call, end, &results);
        if 2 < outcome {
            let until = self.now + SIZES.keep_ms;
            for (handle, item) in handles.into_iter().zip(&call.pieces) {
                self.kept.push((handle, call.target.clone(), item.bytes, until));
            }
        }
    }
}

proptest! {
    #[test]
    fn limits_of_calls_items_and_room_hold(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        prop_assert_eq!(model.batcher.waiting(), model.waiting.len());
    }

    #[test]
    fn waiting_items_are_called_or_expire_once_targets_are_free(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        model.apply(&Step::Drain(None));
        for _ in 0..400 {
            model.apply(&Step::End(3));
            model.apply(&Step::Release);
            model.apply(&Step::Advance(100));
        }
        prop_assert_eq!(model.batcher.waiting(), 0);
    }
}

fn item(ticket: u64, group: u64, due: u64) -> Waiting {
    Waiting {
        ticket,
        group,
        due,
        deadline: 90_000,
        late_due: 90_000,
        bytes: 1,
        ..Waiting::default()
    }
}

fn batcher(targets: &[(&str, &str)]) -> Batcher {
    let mut batcher = Batcher::new(SIZES);
    batcher.set_targets(targets.iter().map(|it| (it.0, it.1, false)));
    batcher
}

fn tickets(call: &Call) -> Vec<u64> {
    call.pieces.iter().map(|it| it.ticket).collect()
}

#[test]
fn items_are_ordered_by_due_time_and_late_ones_go_last() {
    let mut batcher = batcher(&[("t", "a")]);
    for (ticket, due) in [(1, 5000), (2, 3000), (3, 1000), (4, 4000)] {
        batcher.offer(1000, item(ticket, ticket, due));
    }
    let call = batcher.next(1000).unwrap();
    assert_eq!(tickets(&call), [2, 4, 1, 3]);
}

#[test]
fn a_group_is_not_split_over_calls() {
    let mut batcher = batcher(&[("t", "a")]);
    for ticket in 0..4 {
        batcher.offer(1000, item(ticket, 1, 3000));
    }
    for ticket in 4..7 {
        batcher.offer(1000, item(ticket, 2, 3001));
    }
    batcher.offer(1000, item(7, 3, 3002));
    let call = batcher.next(1000).unwrap();
    assert_eq!(
        tickets(&call),
        [0, 1, 2, 3, 7],
        "a group of three does not fit, one of one item does"
    );
}

#[test]
fn a_group_larger_than_a_call_is_split() {
    let mut batcher = batcher(&[("t", "a")]);
    for ticket in 0..9 {
        batcher.offer(1000, item(ticket, 1, 3000));
    }
    let call = batcher.next(1000).unwrap();
    assert_eq!(call.pieces.len(), 6);
    batcher.ended(1300, &call, CallEnd::Answered(300), &[None; 6]);
    assert_eq!(batcher.next(1300).unwrap().pieces.len(), 3);
}

#[test]
fn a_large_result_waits_for_a_near_target_while_there_is_time() {
    let mut batcher = batcher(&[("far", "b"), ("near", "a")]);
    let large = |ticket, due| Waiting {
        domain: "a".to_owned(),
        near_bytes: 1_500_000,
        ..item(ticket, ticket, due)
    };
    batcher.offer(1000, large(1, 3000));
    let call = batcher.next(1000).unwrap();
    assert_eq!(call.target, "near");
    batcher.offer(1000, large(2, 3000));
    assert_eq!(batcher.next(1000), None, "it waits for the near target");
    assert_eq!(batcher.next(2600).unwrap().target, "far", "the due time is close");
}

#[test]
fn a_large_result_waits_for_a_near_target_that_is_free_in_time_however_soon_it_is_due() {
    let mut batcher = batcher(&[("far", "b"), ("near", "a")]);
    let large = |ticket, due| Waiting {
        domain: "a".to_owned(),
        near_bytes: 480_000,
        ..item(ticket, ticket, due)
    };
    batcher.offer(1000, large(1, 3000));
    let call = batcher.next(1000).unwrap();
    assert_eq!(call.target, "near", "its call takes 220 ms");
    // Done at 1,440 ms on the near target and at 1,400 ms on the far one: both in time, but only the far one moves
    // data between domains.
    batcher.offer(1180, large(2, 1500));
    assert_eq!(batcher.next(1180), None);
    batcher.ended(1220, &call, CallEnd::Answered(220), &[Some("h")]);
    assert_eq!(batcher.next(1220).unwrap().target, "near");
    batcher.offer(1230, large(3, 1660));
    assert_eq!(batcher.next(1230).unwrap().target, "far", "the near target would be late");
}

#[test]
fn a_late_item_expires_once_it_cannot_meet_its_deadline() {
    let mut batcher = batcher(&[("t", "a")]);
    batcher.offer(1000, Waiting { deadline: 3000, late_due: 2500, ..item(1, 1, 1100) });
    batcher.offer(1000, Waiting { deadline: 10_000, ..item(2, 2, 9000) });
    assert_eq!(batcher.expire(2780), Vec::<u64>::new(), "a call with this item alone takes 220 ms");
    assert_eq!(batcher.expire(2781), [1]);
}

#[test]
fn a_group_that_cannot_meet_its_deadline_behind_the_queue_expires_at_once() {
    let mut batcher = batcher(&[("t", "a")]);
    for ticket in 0..12 {
        batcher.offer(1000, item(ticket, ticket, 1900));
    }
    for ticket in 20..23 {
        batcher.offer(1000, Waiting { deadline: 1900, ..item(ticket, 20, 1950) });
    }
    assert_eq!(batcher.expire(1000), [20, 21, 22], "two calls of 320 ms go first");
    assert_eq!(batcher.waiting(), 12);
}

#[test]
fn late_items_follow_those_in_time_by_late_due_time_or_input_expiry() {
    let late = |ticket, late_due| Waiting { late_due, ..item(ticket, ticket, 1100) };
    let mut batcher = batcher(&[("t", "a")]);
    batcher.offer(1000, late(5, 4200));
    batcher.offer(1000, late(1, 4000));
    batcher.offer(1000, Waiting { inputs_until: Some(3000), ..late(6, 8000) });
    batcher.offer(1000, item(2, 2, 3900));
    batcher.offer(1000, item(3, 3, 4100));
    batcher.offer(1000, Waiting { inputs_until: Some(1500), ..item(4, 4, 9000) });
    assert_eq!(tickets(&batcher.next(1000).unwrap()), [4, 2, 3, 6, 1, 5]);
}

#[test]
fn a_request_is_admitted_if_it_meets_its_due_or_late_due_time_and_else_refused() {
    let mut batcher = batcher(&[("t", "a")]);
    assert_eq!(batcher.admit(1000, 1300, 1400, 1), Ok(()), "nothing waits");
    for ticket in 0..12 {
        batcher.offer(1000, item(ticket, ticket, 2000));
    }
    assert_eq!(batcher.admit(1000, 2500, 6000, 1), Ok(()));
    assert_eq!(
        batcher.admit(1000, 1900, 6000, 1),
        Ok(()),
        "its due time is before those of all waiting items"
    );
    let refused = batcher.admit(1000, 2001, 4000, 1);
    assert_eq!(refused, Err(1180), "18 items at 53 ms each and its own call");
    assert_eq!(batcher.admit(8000, 8300, 28_000, 1), Ok(()), "no items were offered since");
}

#[test]
fn requests_refused_together_get_spread_retry_times() {
    let mut batcher = batcher(&[("t", "a")]);
    for ticket in 0..12 {
        batcher.offer(1000, item(ticket, ticket, 2000));
    }
    let delays: Vec<u64> = (0..4).map(|_| batcher.return_ms(1000, 2001, 3)).collect();
    assert!(delays.is_sorted_by(|previous, next| previous + 150 <= *next), "{delays:?}");
}

#[test]
fn a_target_without_room_counts_as_full_for_a_while() {
    let mut batcher = batcher(&[("t", "a")]);
    batcher.offer(1000, item(1, 1, 3000));
    let call = batcher.next(1000).unwrap();
    batcher.ended(1220, &call, CallEnd::Answered(220), &[None]);
    batcher.no_room(1220, "t");
    batcher.offer(1220, item(2, 2, 3000));
    assert_eq!(batcher.next(1400), None);
    assert!(batcher.next(1600).is_some());
}

/// Two instances may batch one service for a while. Calls to a target that another instance calls too can wait in
/// its queue, so they must be marked as shared, or their inputs are released before they are fetched.
#[test]
fn calls_to_a_target_that_another_instance_calls_are_marked_shared() {
    let mut batcher = batcher(&[("t-0", "a")]);
    let mut call_at = |now: u64, reported: u32| {
        batcher.offer(now, item(now, now, now + 900));
        let call = batcher.next(now).unwrap();
        batcher.told_load(now + 220, "t-0", Load { running: reported, ..Load::default() }, 1);
        batcher.ended(now + 220, &call, CallEnd::Answered(220), &[None]);
        call.is_shared
    };
    assert!(!call_at(1000, 0));
    assert!(!call_at(1300, 1), "the load reported with an answer counts from the next call");
    assert!(call_at(1600, 0));
    assert!(!call_at(4000, 0), "no other calls were reported for two seconds");
}

#[test]
fn stages_whose_results_were_released_are_run_again() {
    let after =
        |stages: &[usize]| StageStep { service: String::new(), after: stages.to_vec(), bytes: 0 };
    let graph = StageGraph::new(&[after(&[]), after(&[0]), after(&[1])], &[1, 1, 1]);
    assert_eq!(graph.lost_before(2, |_| true), [1]);
    assert_eq!(graph.lost_before(2, |it| it != 0), [1, 0]);
    assert_eq!(graph.lost_before(1, |_| false), [0]);
}

/// Guards against calls to a slow target that time out and are repeated for as long as it is slow.
#[test]
fn a_slow_target_gets_longer_timeouts_and_only_items_that_can_wait() {
    let mut batcher = batcher(&[("t-0", "a"), ("t-1", "a")]);
    let mut timed_out = 0;
    for round in 0..4 {
        let now = 10_000 * (round + 1);
        for ticket in 0..12 {
            batcher.offer(now, item(now + ticket, ticket / 6, now + 9000));
        }
        for call in [batcher.next(now).unwrap(), batcher.next(now).unwrap()] {
            let timeout_ms = batcher.patience_ms(now, &call.target, call.pieces.len());
            let duration_ms = if call.target == "t-0" { 1600 } else { 320 };
            timed_out += u32::from(timeout_ms < duration_ms);
            let end = match timeout_ms < duration_ms {
                true => CallEnd::Silent(timeout_ms),
                false => CallEnd::Answered(duration_ms),
            };
            batcher.ended(now + duration_ms, &call, end, &[None; 6]);
        }
    }
    assert!(timed_out <= 2, "{timed_out} calls timed out at a target that is only slow");
    batcher.offer(60_000, item(1, 1, 60_600));
    let call = batcher.next(60_000).unwrap();
    assert_eq!(call.target, "t-1", "it would be late at the slow target");
}

#[test]
fn waits_of_late_items_do_not_change_the_expected_time() {
    let mut batcher = batcher(&[("t-0", "a")]);
    let expected = |batcher: &Batcher, now| batcher.expected_ms(now, now + 2000, 1);
    batcher.offer(0, item(1, 1, 5000));
    let first = batcher.next(0).unwrap();
    let before = expected(&batcher, 0);
    let late: Vec<u64> = (0..40).collect();
    late.iter().for_each(|it| batcher.offer(0, item(100 + it, 100 + it, 50)));
    batcher.ended(3000, &first, CallEnd::Answered(220), &[None]);
    let mut now = 3000;
    while let Some(call) = batcher.next(now) {
        now += 300;
        batcher.ended(now, &call, CallEnd::Answered(300), &[None; 6]);
    }
    batcher.offer(now, item(3, 3, now + 5000));
    let busy = batcher.next(now).unwrap();
    batcher.offer(now, item(4, 4, now + 5000));
    assert_eq!(expected(&batcher, now), before, "late items changed the expected time");
    batcher.ended(now, &busy, CallEnd::Answered(220), &[None]);
}

/// Guards against results of a former incarnation that occupy room at a restarted target.
#[test]
fn results_of_a_former_incarnation_take_no_room() {
    let mut batcher = batcher(&[("t", "a")]);
    batcher.set_sizes(Sizes { room_bytes: 4, ..SIZES });
    batcher.offer(1000, Waiting { bytes: 3, ..item(1, 1, 3000) });
    let call = batcher.next(1000).unwrap();
    batcher.ended(1200, &call, CallEnd::Answered(200), &[Some("t/1")]);
    batcher.set_targets(std::iter::empty());
    batcher.set_targets([("t", "a", false)].into_iter());
    for ticket in 2..4 {
        batcher.offer(1300, Waiting { bytes: 3, ..item(ticket, ticket, 4000) });
    }
    let call = batcher.next(1300).unwrap();
    assert_eq!(call.used_bytes, 3, "only results of this incarnation count");
    batcher.ended(1500, &call, CallEnd::Answered(200), &[Some("t/2")]);
    batcher.released("t/1");
    assert!(
        batcher.next(1700).is_none(),
        "releasing a result of the former incarnation frees no room"
    );
}

/// After two target crashes a request shares no call, so that a third crash fails no other requests.
#[test]
fn isolated_items_share_no_call_with_other_requests() {
    let mut batcher = batcher(&[("t", "a")]);
    for (ticket, group, is_alone) in
        [(1, 1, false), (2, 2, true), (3, 2, true), (4, 3, false), (5, 4, true)]
    {
        let due = 3000 + ticket;
        batcher.offer(1000, Waiting { is_alone, ..item(ticket, group, due) });
    }
    let mut calls = Vec::new();
    let mut now = 1000;
    while let Some(call) = batcher.next(now) {
        calls.push(tickets(&call));
        let results: Vec<String> = call.pieces.iter().map(|it| it.ticket.to_string()).collect();
        let results: Vec<Option<&str>> = results.iter().map(|it| Some(it.as_str())).collect();
        now += 200;
        batcher.ended(now, &call, CallEnd::Answered(200), &results);
        now += 200;
    }
    assert_eq!(calls, [vec![1, 4], vec![2, 3], vec![5]]);
}
