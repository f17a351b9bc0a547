//! Pace reported by targets on shared machines: it changes many times a second, while answers that report it come a
//! few times a second.

use holdpoint_core::{
    batcher::Batcher,
    catalog::default_policy,
    choice::Load,
    pieces::{Sizes, Waiting},
    route::{Call, End, Member, Router},
    told_pace::ToldPace,
};
use holdpoint_schema::resources::{Policy, Route};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn with_pace(pace_percent: u32) -> Load {
    Load { pace_percent: Some(pace_percent), ..Load::default() }
}

/// Summed errors of three predictions of the next call's duration in a simulation of 200 s: by the last figure, by
/// the decaying mean, and by the usual pace. The figure varies around a level that changes every 3 s; a call takes
/// the mean over its duration.
fn errors(seed: u64) -> [f64; 3] {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut level = 100.0;
    let figures: Vec<f64> = (0..20_000)
        .map(|tick| {
            if tick % 300 == 0 {
                level = rng.random_range(80.0..300.0);
            }
            level * rng.random_range(0.5..1.5)
        })
        .collect();
    let (mut pace, mut last) = (ToldPace::default(), 100.0);
    let mut errors = [0.0; 3];
    // A tick is 10 ms. A call takes 30 ticks, and one is answered every 40 ticks.
    for end in (40..figures.len() - 40).step_by(40) {
        let now = 10 * end as u64;
        last = figures[end];
        pace.told(now, figures[end] as u32);
        let next = &figures[end + 10..end + 40];
        let took = next.iter().sum::<f64>() / next.len() as f64 / 100.0;
        let predicted = [last / 100.0, pace.factor(now + 100), 1.0];
        (0..3).for_each(|way| errors[way] += (predicted[way] - took).abs());
    }
    let _ = last;
    errors
}

#[test]
fn the_decaying_mean_predicts_better_than_the_last_figure_or_none() {
    for seed in 1..6 {
        let [by_last, by_mean, by_none] = errors(seed);
        assert!(by_mean < by_last, "seed {seed}: {by_mean:.0} {by_last:.0}");
        assert!(by_mean < by_none, "seed {seed}: {by_mean:.0} {by_none:.0}");
    }
}

#[test]
fn a_reported_pace_decays_to_the_usual_pace() {
    let mut pace = ToldPace::default();
    assert_eq!(pace.factor(0), 1.0);
    pace.told(1000, 300);
    assert!(2.9 < pace.factor(1000) && pace.is_slow(1000));
    assert!(pace.factor(2000) < 2.1);
    assert!(pace.factor(20_000) < 1.01 && !pace.is_slow(20_000));
    pace.told(30_000, u32::MAX);
    assert!(pace.factor(30_000) <= 10.0, "extreme figures are bounded");
}

fn policy() -> Policy {
    Policy { route: Route::LeastLoaded, ..default_policy() }
}

/// A target that reports a slow pace is not ejected: it is chosen less, until the report decays.
#[test]
fn a_target_that_reports_a_slow_pace_is_chosen_less_but_not_ejected() {
    let policy = Policy { route: Route::Predicted, ..policy() };
    let member =
        |name: &str| Member { address: name.into(), domain: "d".into(), ..Member::default() };
    let mut router = Router::new("i", "d", policy.clone());
    router.set_members(&[member("a"), member("b")]);
    let call = Call {
        work: 100.0,
        prefix_work: 0.0,
        prefix: None,
        tried: &[],
        cap: u32::MAX,
        share: holdpoint_core::cold::Share::Whole,
        inputs: &[],
        is_own: true,
        within: None,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for now in 0..40 {
        for target in ["a", "b"] {
            router.sent(now * 10, target, &call);
            router.ended(now * 10 + 5, target, 100.0, End::Whole(100));
        }
    }
    let mut count = |router: &mut Router, now| {
        let chosen =
            (0..100).map(|_| router.choose(now, &policy, &call, &mut rng).unwrap().address);
        chosen.filter(|it| it == "a").count()
    };
    assert!((30..70).contains(&count(&mut router, 500)));
    router.report(500, "a", with_pace(400));
    assert_eq!(count(&mut router, 500), 0);
    assert!(router.is_slow(500, "a") && router.ejected(500).is_empty());
    assert!((20..80).contains(&count(&mut router, 60_000)), "the report has decayed");
}

/// A call goes to the target at its usual pace, and the timeout of a call grows with the reported pace.
#[test]
fn a_stage_call_goes_to_the_faster_target_and_a_slow_one_gets_a_longer_timeout() {
    let sizes =
        Sizes { calls: 1, pieces: 6, call_ms: 200.0, piece_ms: 20.0, room_bytes: 0, keep_ms: 4000 };
    let mut batcher = Batcher::new(sizes);
    batcher.set_targets([("a", "d", false), ("b", "d", false)].into_iter());
    batcher.told_load(0, "b", with_pace(300), 1);
    batcher
        .offer(0, Waiting { ticket: 1, group: 1, due: 5000, deadline: 9000, ..Waiting::default() });
    let usual = batcher.patience_ms(0, "a", 1);
    assert!(usual + 300 < batcher.patience_ms(0, "b", 1));
    assert_eq!(batcher.next(0).unwrap().target, "a");
}
