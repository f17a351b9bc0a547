//! Surges of requests with three stages, simulated in virtual time. Guards against admitting more requests than the
//! later stages can serve in time.

mod support;

use support::chain::{AdmissionMode, Load, Outcome, simulate};

/// Requests per second that the second stage serves with a little headroom.
const CALM_PER_S: f64 = 210.0;

fn load() -> Load {
    Load { seed: 0, per_s: Vec::new(), outage: None, late_value: 0.15 }
}

fn burst(seed: u64) -> Load {
    Load {
        seed,
        per_s: vec![(0, CALM_PER_S), (4_000, 2.4 * CALM_PER_S), (10_000, CALM_PER_S)],
        ..load()
    }
}

fn third_of_targets_lost(seed: u64) -> Load {
    let per_s = vec![(0, 1.9 * CALM_PER_S)];
    Load { seed, per_s, outage: Some((4_000, 10_000)), ..load() }
}

/// Batchers start without state while requests arrive at full rate.
fn batchers_restarted(seed: u64) -> Load {
    let per_s = vec![(0, 2.6 * CALM_PER_S), (3_000, CALM_PER_S)];
    Load { seed, per_s, ..load() }
}

fn simulate_seeds(load: fn(u64) -> Load, mode: AdmissionMode) -> Outcome {
    (1..=3).map(|seed| simulate(&load(seed), mode)).sum()
}

#[test]
fn without_a_surge_no_request_is_refused_or_late() {
    let calm = Load { seed: 1, per_s: vec![(0, CALM_PER_S)], ..load() };
    let outcome = simulate(&calm, AdmissionMode::AllStages);
    assert_eq!((outcome.refused, outcome.late), (0, 0), "{outcome:?}");
}

/// Guards against admission by the short queue of the first stage while the second one has a long backlog.
#[test]
fn a_burst_makes_few_requests_late() {
    let all_stages = simulate_seeds(burst, AdmissionMode::AllStages);
    let first_stage = simulate_seeds(burst, AdmissionMode::FirstStage);
    eprintln!("burst: {all_stages:?}\nfirst stage alone: {first_stage:?}");
    assert!(
        all_stages.late * 20 <= all_stages.total(),
        "more than 5 % of the requests were late: {all_stages:?}"
    );
    assert!(first_stage.in_time < all_stages.in_time, "{first_stage:?}");
}

#[test]
fn losing_a_third_of_the_targets_makes_few_requests_late() {
    let all_stages = simulate_seeds(third_of_targets_lost, AdmissionMode::AllStages);
    let first_stage = simulate_seeds(third_of_targets_lost, AdmissionMode::FirstStage);
    eprintln!("a third of the targets lost: {all_stages:?}\nfirst stage alone: {first_stage:?}");
    assert!(all_stages.late * 20 <= all_stages.total(), "{all_stages:?}");
    assert!(first_stage.in_time <= all_stages.in_time, "{first_stage:?}");
}

#[test]
fn restarted_batchers_under_full_load_make_few_requests_late() {
    let all_stages = simulate_seeds(batchers_restarted, AdmissionMode::AllStages);
    let first_stage = simulate_seeds(batchers_restarted, AdmissionMode::FirstStage);
    eprintln!("batchers restarted: {all_stages:?}\nfirst stage alone: {first_stage:?}");
    assert!(all_stages.late * 20 <= all_stages.total(), "{all_stages:?}");
    assert!(first_stage.in_time <= all_stages.in_time, "{first_stage:?}");
}

/// Compares with an alternative in which batchers grant credits for items in advance.
#[test]
fn tracking_admitted_work_serves_no_less_than_granting_credits() {
    for load in [burst, third_of_targets_lost, batchers_restarted] {
        let (all_stages, credits) = (
            simulate_seeds(load, AdmissionMode::AllStages),
            simulate_seeds(load, AdmissionMode::Credits),
        );
        eprintln!("all stages: {all_stages:?}\ncredits: {credits:?}");
        assert!(credits.value() <= all_stages.value(), "{credits:?} {all_stages:?}");
    }
}

/// The same burst, with a high, a low and no value of late answers.
#[test]
fn the_value_of_late_answers_decides_how_many_requests_are_refused() {
    let with_value = |late_value| -> Outcome {
        (1..=3)
            .map(|seed| simulate(&Load { late_value, ..burst(seed) }, AdmissionMode::AllStages))
            .sum()
    };
    let (high, low, none) = (with_value(0.5), with_value(0.15), with_value(0.0));
    eprintln!("value 0.5: {high:?}\nvalue 0.15: {low:?}\nvalue 0: {none:?}");
    assert!(high.refused < low.refused && low.late < high.late, "{high:?} {low:?}");
    assert!(low.refused <= none.refused && none.late <= low.late, "{low:?} {none:?}");
    for outcome in [high, low, none] {
        assert!(9 * outcome.total() < 10 * outcome.in_time, "{outcome:?}");
    }
}
