//! Detection of retried requests by the callers' remaining deadlines: callers whose deadlines differ, or few callers,
//! must not be mistaken for retries.

use holdpoint_core::{deadline::Patience, ids::Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Simulates callers whose deadlines are `full_ms` less a random part of up to `spread`, and of whom `retry_percent`
/// retry after 1.5 to 3 s. Returns the parts of first attempts and of retries that are taken for retries.
fn detected_parts(
    seed: u64,
    callers: usize,
    full_ms: f64,
    spread: f64,
    retry_percent: u32,
) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut patience = Patience::default();
    let (mut firsts, mut retries) = ((0, 0), (0, 0));
    for caller in 0..callers {
        let own_ms = full_ms * (1.0 - spread * rng.random_range(0.0..1.0));
        let waited_ms = f64::from(rng.random_range(1500..3000));
        let is_retry = rng.random_range(0..100) < retry_percent;
        let left_ms = if is_retry { own_ms - waited_ms } else { own_ms } as Millis;
        let is_detected = patience.asked_before(left_ms) != 0;
        patience.record(caller as Millis * 10, left_ms);
        let count = if is_retry { &mut retries } else { &mut firsts };
        count.0 += u32::from(is_detected);
        count.1 += 1;
    }
    let part = |it: (u32, u32)| f64::from(it.0) / f64::from(it.1.max(1));
    (part(firsts), part(retries))
}

#[test]
fn first_attempts_with_different_deadlines_are_not_taken_for_retries() {
    for seed in 0..20 {
        for (full_ms, spread) in [(6000.0, 0.15), (15_000.0, 0.15), (6000.0, 0.01), (4000.0, 0.3)] {
            let (first, _) = detected_parts(seed, 1000, full_ms, spread, 0);
            assert!(
                first < 0.02,
                "seed {seed}: {first} of first attempts with {full_ms} ms, spread {spread}"
            );
        }
    }
}

#[test]
fn retries_are_detected_by_their_remaining_deadline() {
    for seed in 0..20 {
        for (spread, retry_percent) in [(0.01, 10), (0.01, 30), (0.15, 10)] {
            let (first, retried) = detected_parts(seed, 1000, 6000.0, spread, retry_percent);
            assert!(
                first < 0.02 && 0.85 < retried,
                "seed {seed}: {first} of first attempts, {retried} of retries, spread {spread}"
            );
        }
    }
}

#[test]
fn no_retry_is_detected_while_few_callers_are_known() {
    let (first, retried) = detected_parts(1, 15, 6000.0, 0.15, 20);
    assert_eq!((first, retried), (0.0, 0.0));
}
