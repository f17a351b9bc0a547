//! A short soak with seeds of its own: real processes, real faults. `holdpoint soak` plays more.

use std::time::Duration;

use holdpoint_soak::{Builds, Plan, run};

/// Seeds that every run of the tests plays.
const SEEDS: [u64; 2] = [3, 4];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults() {
    for seed in SEEDS {
        let plan = Plan::draw(seed, Duration::from_secs(3));
        let builds = Builds::new(env!("CARGO_BIN_EXE_holdpointd"));
        let verdict = run(&plan, &builds).await.unwrap();
        assert!(verdict.is_kept(), "{verdict}");
        assert!(0 < verdict.answered);
    }
}

/// In 3 of 146 runs of this seed processes did not serve requests with stages for 20 s after the last fault: with calls
/// of 10 to 12 ms and an empty queue the instance that batches expected 1,766 ms and refused 300 requests a second
/// ("stage refused: ... expected_ms=1766 due_in_ms=1080 waiting=0"). It went by waits of the time before, which late
/// pieces never put right; the core's `estimate.rs` has that without processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_seed_that_once_did_not_recover_does() {
    assert_kept(1042).await;
}

/// A target that took one request a second got 8 in 1.5 s, where 7.2 are borne, in about half of the runs. Six of them
/// came within 10 ms from a process that had started 13 ms before ("E100 … started" at 3,081 ms, arrivals from 3,094 to
/// 3,102), while the answers of the target were held up: in this life it had had none that names the limit. A process
/// is held to a limit from half a second after such an answer on, and the judge counts so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_seed_that_once_went_over_a_limit_keeps_it() {
    assert_kept(1109).await;
}

async fn assert_kept(seed: u64) {
    // As it was drawn when it failed.
    let plan = Plan::draw(seed, Duration::from_secs(6)).without_notices();
    let builds = Builds::new(env!("CARGO_BIN_EXE_holdpointd"));
    let verdict = run(&plan, &builds).await.unwrap();
    assert!(verdict.is_kept(), "{verdict}");
}
