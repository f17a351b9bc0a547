//! Properties of the decisions of the core for random sequences of events.

use std::collections::HashSet;

use holdpoint_core::{
    admit::{Ask, Gate, Offer, Signal},
    assemble::{Assembler, Progress},
    catalog::default_policy,
    cold::Share,
    deadline::{Budget, Times, budget},
    ids::AttemptId,
    ledger::Ledger,
    lifecycle::{Event, Lifecycle},
    membership::View,
    retry::RetryBudget,
    route::{Call, End, Load, Member, NoTarget, Router},
    subset::{owner, subset},
    token::{BadToken, Place, TokenKey, open, seal},
    trial::{arm_of, wilson},
};
use holdpoint_schema::peer::{Member as Instance, Phase};
use holdpoint_schema::resources::{Route, Trial};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

fn members(n: usize) -> Vec<Member> {
    (0..n)
        .map(|it| Member {
            address: format!("t{it}"),
            domain: "d".into(),
            leaving: false,
            held: false,
        })
        .collect()
}

const ROUTES: [Route; 6] = [
    Route::Random,
    Route::RoundRobin,
    Route::LeastLoaded,
    Route::TwoChoices,
    Route::Predicted,
    Route::Affinity,
];

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_route_chooses_a_draining_target_or_exceeds_the_cap(
        route in 0..6_usize, steps in prop::collection::vec((0..4_u8, 0..8_usize), 1..200)
    ) {
        let policy = holdpoint_schema::resources::Policy { route: ROUTES[route], ..default_policy() };
        let mut router = Router::new("i", "d", policy.clone());
        let mut all = members(8);
        router.set_members(&all);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut in_flight = [0_u32; 8];
        let call = Call { work: 1.0, prefix_work: 0.5, prefix: Some(3), tried: &[], cap: 2, share: Share::Whole, inputs: &[], is_own: true, within: None };
        for (now, (kind, target)) in (0..).zip(steps) {
            match kind {
                0 | 1 => match router.choose(now, &policy, &call, &mut rng) {
                    Ok(choice) => {
                        let index: usize = choice.address[1..].parse().unwrap();
                        prop_assert!(!all[index].leaving);
                        prop_assert!(in_flight[index] < 2);
                        router.sent(now, &choice.address, &call);
                        in_flight[index] += 1;
                    }
                    Err(it) => {
                        let is_full = |it: &Member| it.leaving || in_flight[it.address[1..].parse::<usize>().unwrap()] == 2;
                        prop_assert!(it == NoTarget::Empty || all.iter().all(is_full));
                    }
                },
                2 if 0 < in_flight[target] && !all[target].leaving => {
                    in_flight[target] -= 1;
                    let end = if now % 3 == 0 { End::Failed } else { End::Whole(5) };
                    router.ended(now, &all[target].address, 1.0, end);
                    router.report(now, &all[target].address, Load { running: 1, waiting: 0, pace_percent: None });
                }
                3 if now % 5 == 0 => {
                    all[target].leaving = true;
                    router.leave(&all[target].address);
                    router.set_members(&all);
                }
                _ => (),
            }
        }
    }

    #[test]
    fn retries_stay_within_their_percentage_of_first_attempts(percent in 0..=100_u32, n in 1..2000_u32) {
        let mut budget = RetryBudget::new();
        let mut spent = 0;
        for _ in 0..n {
            budget.first(percent);
            // Everything fails, so a retry is wanted every time.
            spent += u32::from(budget.spend());
        }
        prop_assert!(f64::from(spent) <= f64::from(n) * f64::from(percent) / 100.0 + 5.0);
    }

    #[test]
    fn the_gate_counts_admitted_requests_and_drops_idle_organisations(
        steps in prop::collection::vec((0..3_u8, 0..4_usize, 0..500_u64), 1..300)
    ) {
        let names = ["a", "b", "c", "d"];
        let mut gate = Gate::new(32);
        let mut running: Vec<usize> = Vec::new();
        let mut waiting: Vec<(u64, usize)> = Vec::new();
        let mut now = 0;
        for (kind, who, more) in steps {
            now += more / 10;
            match kind {
                0 | 1 => {
                    let ask = Ask { organisation: names[who], share: who as u32 + 1, cap: 20, deadline: now + 400, need: more };
                    match gate.offer(now, &ask) {
                        Offer::Admit => running.push(who),
                        Offer::Defer(it) => waiting.push((it, who)),
                        Offer::Refuse { retry_after, .. } => prop_assert!(1000 <= retry_after),
                    }
                }
                _ => {
                    let Some(who) = running.pop() else { continue };
                    let signal = if more % 2 == 0 { Signal::Queued } else { Signal::Clear };
                    for ticket in gate.done(now, names[who], signal) {
                        let place = waiting.iter().position(|it| it.0 == ticket).unwrap();
                        running.push(waiting.swap_remove(place).1);
                    }
                    for ticket in gate.expire(now) {
                        waiting.retain(|it| it.0 != ticket);
                    }
                }
            }
            prop_assert_eq!(gate.in_flight(), running.len());
            prop_assert_eq!(gate.waiting(), waiting.len());
            let live: HashSet<usize> = running.iter().copied().chain(waiting.iter().map(|it| it.1)).collect();
            prop_assert_eq!(gate.organisations(), live.len());
        }
    }

    #[test]
    fn a_stage_budget_never_exceeds_the_remaining_time(remaining in 0..5000_u64, own in 0..500_u64, later in prop::collection::vec(0..500_u64, 0..4)) {
        let after: Vec<Option<u64>> = later.iter().map(|it| Some(*it)).collect();
        match budget(remaining, Some(own), &after) {
            Budget::Use(it) => prop_assert!(it <= remaining && own <= it),
            Budget::Hopeless { need } => prop_assert!(remaining <= need),
        }
    }

    #[test]
    fn chunks_come_out_once_and_in_order(order in Just((0..30_u64).collect::<Vec<_>>()).prop_shuffle(), twice in prop::collection::vec(0..30_u64, 0..30)) {
        let mut assembler = Assembler::new();
        let mut out = Vec::new();
        for index in order.iter().chain(&twice) {
            assembler.push(*index, index.to_string());
            out.extend(std::iter::from_fn(|| assembler.pop()).map(|it| it.0));
        }
        prop_assert_eq!(assembler.progress(), Progress::Open, "open until the end mark");
        assembler.end(30);
        prop_assert_eq!(assembler.progress(), Progress::Whole);
        prop_assert_eq!(out, (0..30).collect::<Vec<_>>());
    }

    #[test]
    fn arms_add_up_and_are_stable(weights in prop::collection::vec(0..5_u32, 1..4), request in "[a-z]{8}") {
        let arms: Vec<_> = weights.iter().enumerate().map(|(it, weight)| json!({ "name": it.to_string(), "policy": "p", "weight": weight })).collect();
        let trial: Trial = serde_json::from_value(json!({ "pipeline": "p", "arms": arms })).unwrap();
        let arm = arm_of("t", &trial, &request).map(|it| it.name.clone());
        prop_assert_eq!(arm.is_none(), weights.iter().sum::<u32>() == 0);
        prop_assert_eq!(&arm, &arm_of("t", &trial, &request).map(|it| it.name.clone()));
        if let Some(it) = arm {
            prop_assert!(0 < weights[it.parse::<usize>().unwrap()]);
        }
    }

    #[test]
    fn a_subset_changes_by_one_when_a_target_is_removed(n in 40..80_usize, gone in 0..40_usize) {
        let names: Vec<String> = (0..n).map(|it| format!("t{it}")).collect();
        let pick = |names: &[String]| -> HashSet<String> {
            subset("i", names.iter().map(String::as_str), 16).into_iter().map(|it| names[it].clone()).collect()
        };
        let before = pick(&names);
        let mut fewer = names;
        fewer.remove(gone);
        let after = pick(&fewer);
        prop_assert_eq!(after.len(), 16);
        prop_assert!(before.difference(&after).count() <= 1);
    }

    #[test]
    fn digests_reach_every_instance_despite_losses(lost in prop::collection::vec(any::<bool>(), 400)) {
        let mut views: Vec<View> = (0..9).map(|it| View::new(instance(it), 0)).collect();
        let listed = (0..9).map(|it| (instance(it).name, instance(it).peers)).collect::<std::collections::BTreeMap<_, _>>();
        views.iter_mut().for_each(|it| it.set_listed(listed.clone()));
        let mut lost = lost.into_iter().chain(std::iter::repeat(false));
        for round in 0..60_u64 {
            if round == 5 {
                views[4].set_me(Phase::Ready, 7, round);
            }
            for index in 0..views.len() {
                for peer in views[index].neighbours(false) {
                    let place = views.iter().position(|it| it.me().peers == peer).unwrap();
                    let them = views[index].incarnation_at(&peer).cloned();
                    let call = views[index].digest_for(them.as_deref(), 7, None);
                    if lost.next().unwrap() {
                        continue;
                    }
                    views[place].merge(&call, round);
                    let answer = views[place].digest_for(Some(&call.from), 7, None);
                    if !lost.next().unwrap() {
                        views[index].merge(&answer, round);
                    }
                }
            }
        }
        for view in &views {
            prop_assert_eq!(view.live().count(), 9);
            prop_assert_eq!(view.missing(7).len(), 8, "only one has applied offset 7");
        }
    }
}

fn instance(index: usize) -> Instance {
    Instance {
        name: format!("entry-{index}"),
        incarnation: format!("{index:032}"),
        seq: 1,
        phase: Phase::Ready,
        applied: 1,
        peers: format!("10.0.0.{index}:1"),
        domain: "d".into(),
    }
}

#[test]
fn a_live_member_refutes_being_declared_stopped() {
    let (mut a, mut b) = (View::new(instance(0), 0), View::new(instance(1), 0));
    b.merge(&a.digest_for(None, 1, None), 0);
    assert!(b.is_live(&instance(0).incarnation));
    b.bury(10_000, 5000, &[instance(0).peers]);
    assert!(!b.is_live(&instance(0).incarnation), "silent, not listed, watched");
    a.merge(&b.digest_for(Some(&instance(0).incarnation), 1, None), 10_000);
    b.merge(&a.digest_for(Some(&instance(1).incarnation), 1, None), 10_000);
    assert!(b.is_live(&instance(0).incarnation), "its own digest refutes it");
}

#[test]
fn a_listed_member_is_never_declared_stopped() {
    let (a, mut b) = (View::new(instance(0), 0), View::new(instance(1), 0));
    b.merge(&a.digest_for(None, 1, None), 0);
    b.set_listed([(instance(0).name, instance(0).peers)].into());
    b.bury(10_000, 5000, &[instance(0).peers]);
    assert_eq!(b.missing(2), ["entry-0", "entry-1"], "a change has to wait for it");
}

#[test]
fn a_ready_instance_is_isolated_after_a_pause() {
    let mut lifecycle = Lifecycle::new(1000);
    assert_eq!(lifecycle.phase(), Phase::Starting);
    lifecycle.handle(Event::Tick { now: 5000 });
    assert_eq!(lifecycle.phase(), Phase::Starting, "nothing is confirmed yet");
    lifecycle.handle(Event::Confirmed { now: 5000 });
    assert_eq!(lifecycle.phase(), Phase::Ready);
    lifecycle.handle(Event::Tick { now: 6000 });
    assert_eq!(lifecycle.phase(), Phase::Ready);
    lifecycle.handle(Event::Tick { now: 6001 });
    assert_eq!(lifecycle.phase(), Phase::Isolated, "not confirmed for longer than the bound");
    lifecycle.handle(Event::Confirmed { now: 6002 });
    lifecycle.handle(Event::Stop);
    lifecycle.handle(Event::Confirmed { now: 6003 });
    assert_eq!(lifecycle.phase(), Phase::Draining);
    lifecycle.handle(Event::Drained);
    assert_eq!(lifecycle.phase(), Phase::Stopped);
}

#[test]
fn a_failing_target_is_ejected_but_never_below_the_floor() {
    let policy = default_policy();
    let mut router = Router::new("i", "d", policy.clone());
    router.set_members(&members(4));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let call = Call {
        work: 1.0,
        prefix_work: 0.0,
        prefix: None,
        tried: &[],
        cap: 100,
        share: Share::Whole,
        inputs: &[],
        is_own: true,
        within: None,
    };
    for target in ["t0", "t1", "t2"] {
        for _ in 0..3 {
            router.ended(10, target, 1.0, End::Failed);
        }
    }
    let chosen: HashSet<String> =
        (0..200).map(|_| router.choose(11, &policy, &call, &mut rng).unwrap().address).collect();
    assert_eq!(chosen.len(), 2, "half of the pool is kept: {chosen:?}");
    assert!(chosen.contains("t3"));
    let later: HashSet<String> =
        (0..200).map(|_| router.choose(5000, &policy, &call, &mut rng).unwrap().address).collect();
    assert_eq!(later.len(), 4, "ejection ends");
}

#[test]
fn a_ledger_does_not_close_over_a_call_that_may_have_run() {
    let ledger = Ledger::new();
    let call = ledger.begin().unwrap();
    assert!(ledger.close().is_err(), "a call is under way");
    call.never_sent();
    assert!(ledger.begin().is_none());
    let ledger = Ledger::new();
    let call = ledger.begin().unwrap();
    let _dropped = call;
    assert!(ledger.close().is_err(), "a dropped call may have run");
}

#[test]
fn tokens_survive_a_key_rotation_but_no_other_key_or_change() {
    let place = Place {
        organisation: "o".into(),
        pipeline: "p".into(),
        request: "r".into(),
        stage: "s".into(),
        target: "t".into(),
        attempt: "i:1:2:3".into(),
        next: 7,
    };
    let key = |id: u32, secret: &str| TokenKey { id, secret: secret.as_bytes().to_vec() };
    let token = seal(&place, &[key(1, "old secret"), key(2, "new secret")]);
    assert_eq!(open(&token, &[key(2, "new secret"), key(1, "old secret")]), Ok(place));
    assert_eq!(open(&token, &[key(2, "new secret")]), Err(BadToken::Key));
    assert_eq!(open(&token, &[key(1, "other secret")]), Err(BadToken::Tag));
    let mut forged = token.clone();
    forged.replace_range(4..5, if &token[4..5] == "A" { "B" } else { "A" });
    assert!(open(&forged, &[key(1, "old secret")]).is_err());
    assert_eq!(open("", &[key(1, "old secret")]), Err(BadToken::Format));
}

#[test]
fn quantiles_need_enough_measurements_and_forget_old_ones() {
    let mut times = Times::new();
    (0..19).for_each(|it| times.record(it, 100));
    assert_eq!(times.quantile(0.5), None);
    times.record(20, 100);
    assert!(times.quantile(0.5).is_some_and(|it| (95..=105).contains(&it)));
    (0..40).for_each(|it| times.record(30_000 + it, 10));
    (0..40).for_each(|it| times.record(50_000 + it, 10));
    assert!(times.quantile(0.9).is_some_and(|it| it <= 11));
}

#[test]
fn owners_do_not_depend_on_the_order_and_attempt_ids_parse_back() {
    let names = ["a", "b", "c"];
    assert_eq!(owner("k", names.into_iter()), owner("k", names.into_iter().rev()));
    let id = AttemptId { incarnation: "0a:b".into(), call: 9, stage: 1, attempt: 2 };
    assert_eq!(id.to_string().parse(), Ok(id));
    let interval = wilson(50, 100);
    assert!(interval.low < 0.5 && 0.5 < interval.high);
}

#[test]
fn instances_choose_one_target_for_a_prefix_until_it_is_busy() {
    let policy = holdpoint_schema::resources::Policy {
        route: Route::Affinity,
        subset: 100,
        ..default_policy()
    };
    let choose = |salt: &str, busy: &[String]| {
        let mut router = Router::new(salt, "d", policy.clone());
        router.set_members(&members(12));
        for (index, target) in busy.iter().enumerate() {
            for _ in 0..40 {
                let call = Call {
                    work: 9000.0,
                    prefix_work: 0.0,
                    prefix: None,
                    tried: &[],
                    cap: u32::MAX,
                    share: Share::Whole,
                    inputs: &[],
                    is_own: true,
                    within: None,
                };
                router.sent(index as u64, target, &call);
            }
            router.report(1, target, Load { running: 40, waiting: 400, pace_percent: None });
        }
        let call = Call {
            work: 9000.0,
            prefix_work: 6000.0,
            prefix: Some(77),
            tried: &[],
            cap: u32::MAX,
            share: Share::Whole,
            inputs: &[],
            is_own: true,
            within: None,
        };
        router.choose(2, &policy, &call, &mut ChaCha8Rng::seed_from_u64(1)).unwrap().address
    };
    let first = choose("a", &[]);
    for salt in ["b", "c", "d"] {
        assert_eq!(choose(salt, &[]), first);
    }
    assert_ne!(choose("a", std::slice::from_ref(&first)), first);
}

#[test]
fn prompts_without_a_common_prefix_are_spread_over_the_engines() {
    let policy = holdpoint_schema::resources::Policy {
        route: Route::Affinity,
        subset: 100,
        ..default_policy()
    };
    let mut router = Router::new("i", "d", policy.clone());
    router.set_members(&members(6));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut place = |now: u64, prefix: u64| {
        let call = Call {
            work: 9000.0,
            prefix_work: 0.0,
            prefix: Some(prefix),
            tried: &[],
            cap: 9999,
            share: Share::Whole,
            inputs: &[],
            is_own: true,
            within: None,
        };
        let address = router.choose(now, &policy, &call, &mut rng).unwrap().address;
        router.placed(now, &address, &call);
        address
    };
    let at_once: HashSet<String> = (0..6).map(|it| place(10, it)).collect();
    assert_eq!(at_once.len(), 6, "no engine processes two long prompts while another is idle");
    let later = place(60_000, 3);
    assert_eq!(
        later,
        place(120_000, 3),
        "once all prompts are processed, a prefix keeps its engine"
    );
}

#[test]
fn a_prefix_stays_at_its_target_while_that_processes_another_prompt() {
    let policy = holdpoint_schema::resources::Policy {
        route: Route::Affinity,
        subset: 100,
        ..default_policy()
    };
    let mut router = Router::new("i", "d", policy.clone());
    router.set_members(&members(12));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let call = Call {
        work: 11_000.0,
        prefix_work: 6300.0,
        prefix: Some(7),
        tried: &[],
        cap: u32::MAX,
        share: Share::Whole,
        inputs: &[],
        is_own: true,
        within: None,
    };
    for member in members(12) {
        let other = Call { prefix: None, ..call };
        router.sent(1, &member.address, &other);
        router.ended(1, &member.address, other.work, End::Whole(200));
    }
    let mut place = |now: u64| {
        let address = router.choose(now, &policy, &call, &mut rng).unwrap().address;
        router.placed(now, &address, &call);
        address
    };
    let home = place(10);
    assert_eq!(place(20), home, "another target would process the prefix again");
    let burst: HashSet<String> = (0..40).map(|_| place(30)).collect();
    assert!(1 < burst.len(), "a frequent prefix is spread over several targets");
}
