//! Replays of surges on requests with three stages, in virtual time: who is admitted, and what becomes of
//! those who are.

mod support;

use support::chain::{Load, Outcome, Way, play};

/// As many requests a second as the second stage carries, with a little room.
const CALM: f64 = 210.0;

fn burst(seed: u64) -> Load {
    Load { seed, per_s: vec![(0, CALM), (4_000, 2.4 * CALM), (10_000, CALM)], ..Load::default() }
}

fn a_third_gone(seed: u64) -> Load {
    let per_s = vec![(0, 1.9 * CALM)];
    Load { seed, per_s, gone: Some((4_000, 10_000)) }
}

/// Batchers start from nothing while requests come at full rate.
fn all_back(seed: u64) -> Load {
    let per_s = vec![(0, 2.6 * CALM), (3_000, CALM)];
    Load { seed, per_s, ..Load::default() }
}

fn sum(load: fn(u64) -> Load, way: Way) -> Outcome {
    (1..=3).map(|seed| play(&load(seed), way)).sum()
}

#[test]
fn in_calm_nobody_is_refused_or_late() {
    let load = Load { seed: 1, per_s: vec![(0, CALM)], ..Load::default() };
    let outcome = play(&load, Way::Chain);
    assert_eq!((outcome.refused, outcome.late), (0, 0), "{outcome:?}");
}

/// The first stage has a short queue while 3,000 pieces wait at the second one.
#[test]
fn a_burst_costs_what_capacity_lacks_and_no_more() {
    let chain = sum(burst, Way::Chain);
    let first_stage = sum(burst, Way::FirstStage);
    eprintln!("burst: {chain:?}\nfirst stage alone: {first_stage:?}");
    assert!(chain.late * 20 <= chain.asked(), "one of twenty is late at most: {chain:?}");
    assert!(first_stage.in_time < chain.in_time, "{first_stage:?}");
}

#[test]
fn a_third_of_the_targets_gone_costs_what_capacity_lacks_and_no_more() {
    let chain = sum(a_third_gone, Way::Chain);
    let first_stage = sum(a_third_gone, Way::FirstStage);
    eprintln!("a third gone: {chain:?}\nfirst stage alone: {first_stage:?}");
    assert!(chain.late * 20 <= chain.asked(), "{chain:?}");
    assert!(first_stage.in_time <= chain.in_time, "{first_stage:?}");
}

#[test]
fn all_batchers_back_at_once_admit_what_they_carry() {
    let chain = sum(all_back, Way::Chain);
    let first_stage = sum(all_back, Way::FirstStage);
    eprintln!("all back: {chain:?}\nfirst stage alone: {first_stage:?}");
    assert!(chain.late * 20 <= chain.asked(), "{chain:?}");
    assert!(first_stage.in_time <= chain.in_time, "{first_stage:?}");
}

/// The other way that was weighed: batchers hand credits for pieces ahead.
#[test]
fn an_account_serves_no_less_than_credits_handed_ahead() {
    for load in [burst, a_third_gone, all_back] {
        let (chain, credits) = (sum(load, Way::Chain), sum(load, Way::Credits));
        eprintln!("account {chain:?}\ncredits {credits:?}");
        assert!(credits.worth() <= chain.worth(), "{credits:?} {chain:?}");
    }
}
