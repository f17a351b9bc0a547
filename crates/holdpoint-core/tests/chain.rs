//! Replays of surges on requests with three stages, in virtual time: who is admitted, and what becomes of
//! those who are.

mod support;

use support::chain::{Load, Outcome, Way, play};

/// As many requests a second as the second stage carries, with a little room.
const CALM: f64 = 210.0;

fn load() -> Load {
    Load { seed: 0, per_s: Vec::new(), gone: None, late_worth: 0.15 }
}

fn burst(seed: u64) -> Load {
    Load { seed, per_s: vec![(0, CALM), (4_000, 2.4 * CALM), (10_000, CALM)], ..load() }
}

fn a_third_gone(seed: u64) -> Load {
    let per_s = vec![(0, 1.9 * CALM)];
    Load { seed, per_s, gone: Some((4_000, 10_000)), ..load() }
}

/// Batchers start from nothing while requests come at full rate.
fn all_back(seed: u64) -> Load {
    let per_s = vec![(0, 2.6 * CALM), (3_000, CALM)];
    Load { seed, per_s, ..load() }
}

fn sum(load: fn(u64) -> Load, way: Way) -> Outcome {
    (1..=3).map(|seed| play(&load(seed), way)).sum()
}

#[test]
fn in_calm_nobody_is_refused_or_late() {
    let calm = Load { seed: 1, per_s: vec![(0, CALM)], ..load() };
    let outcome = play(&calm, Way::Chain);
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

/// The same burst under two objectives: late answers are worth much, or little.
#[test]
fn what_late_answers_are_worth_decides_how_many_are_refused() {
    let of_worth = |late_worth| -> Outcome {
        (1..=3).map(|seed| play(&Load { late_worth, ..burst(seed) }, Way::Chain)).sum()
    };
    let (much, little, none) = (of_worth(0.5), of_worth(0.15), of_worth(0.0));
    eprintln!("worth 0.5: {much:?}\nworth 0.15: {little:?}\nworthless: {none:?}");
    assert!(much.refused < little.refused && little.late < much.late, "{much:?} {little:?}");
    assert!(little.refused <= none.refused && none.late <= little.late, "{little:?} {none:?}");
    for outcome in [much, little, none] {
        assert!(9 * outcome.asked() < 10 * outcome.in_time, "{outcome:?}");
    }
}
