//! Pace of targets as an instance measures it by its own calls.

use holdpoint_core::{
    catalog::default_policy,
    cold::Share,
    route::{Call, CallOutcome, Member, Router},
};
use holdpoint_schema::resources::{Policy, Route};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Interval of the simulated calls, in milliseconds.
const CALL_INTERVAL_MS: u64 = 50;
const ROUTES: [Route; 2] = [Route::Predicted, Route::Affinity];

const CALL: Call<'static> = Call {
    work: 1.0,
    prefix_work: 0.0,
    prefix: None,
    tried: &[],
    cap: u32::MAX,
    share: Share::Whole,
    inputs: &[],
    is_own: true,
    within: None,
};

/// A router whose two targets have answered one call each, in 1 ms and in 34 ms.
fn measured_router(policy: &Policy) -> Router {
    let mut router = Router::new("a", "z1", policy.clone());
    let members = ["fast", "slow"].map(|it| Member {
        address: it.to_owned(),
        domain: "z1".to_owned(),
        ..Member::default()
    });
    router.set_members(&members);
    for (target, ms) in [("fast", 1), ("slow", 34)] {
        router.sent(0, target, &CALL);
        router.ended(ms, target, CALL.work, CallOutcome::Completed(ms));
    }
    router
}

/// Makes calls one after the other, and returns how many go to the target that was slow. It answers in `slow_ms`.
fn calls_to_slow(router: &mut Router, policy: &Policy, calls: u64, slow_ms: u64, seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut to_slow = 0;
    for call in 1..=calls {
        let now = call * CALL_INTERVAL_MS;
        let target = router.choose(now, policy, &CALL, &mut rng).expect("both are free").address;
        let is_slow = target == "slow";
        let ms = if is_slow { slow_ms } else { 1 };
        router.sent(now, &target, &CALL);
        router.ended(now + ms, &target, CALL.work, CallOutcome::Completed(ms));
        to_slow += u64::from(is_slow);
    }
    to_slow
}

/// Guards against a target that is avoided for good after it was slow once.
#[test]
fn a_target_that_was_slow_once_gets_its_share_again() {
    for route in ROUTES {
        let policy = Policy { route, ..default_policy() };
        for seed in 1..6 {
            let mut router = measured_router(&policy);
            let early = calls_to_slow(&mut router, &policy, 90, 1, seed);
            assert_eq!(early, 0, "{route:?} {seed}: the measured pace counts at first");
            calls_to_slow(&mut router, &policy, 100, 1, seed);
            let later = calls_to_slow(&mut router, &policy, 400, 1, seed);
            assert!(100 < later, "{route:?} {seed}: {later} of 400");
        }
    }
}

/// Guards against trials of a slow target that take more than one call in a hundred.
#[test]
fn a_target_that_stays_slow_gets_less_than_one_call_in_a_hundred() {
    for route in ROUTES {
        let policy = Policy { route, ..default_policy() };
        for seed in 1..6 {
            let mut router = measured_router(&policy);
            let calls = calls_to_slow(&mut router, &policy, 5000, 34, seed);
            assert!(0 < calls && calls < 50, "{route:?} {seed}: {calls} of 5000");
        }
    }
}

/// Guards against a slow target that gets many calls at once while the first of them shows that it is still slow.
#[test]
fn a_slow_target_is_tried_with_one_call_at_a_time() {
    for route in ROUTES {
        let policy = Policy { route, ..default_policy() };
        for seed in 1..6 {
            let mut router = measured_router(&policy);
            for call in 1..=200 {
                let now = call * CALL_INTERVAL_MS;
                router.sent(now, "fast", &CALL);
                router.ended(now + 1, "fast", CALL.work, CallOutcome::Completed(1));
            }
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let now = 201 * CALL_INTERVAL_MS;
            let mut to_slow = 0;
            for _ in 0..20 {
                let target = router.choose(now, &policy, &CALL, &mut rng).expect("both are free");
                router.sent(now, &target.address, &CALL);
                to_slow += u32::from(target.address == "slow");
            }
            assert_eq!(to_slow, 1, "{route:?} {seed}");
        }
    }
}
