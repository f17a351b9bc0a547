//! Guards against overload of cold targets, by one instance that routes for all or by many that route independently.

use holdpoint_core::{
    cold::{Credits, Share},
    directory::{Change, Directory, TargetInstance},
    ids::Millis,
    route::{Call, Member, NoTarget, Router},
};
use holdpoint_schema::resources::{Policy, Route};
use proptest::prelude::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Calls per second that a cold target can take.
const COLD_RATE_PER_S: f64 = 6.7;

fn policy() -> Policy {
    Policy {
        route: Route::LeastLoaded,
        subset: u32::MAX,
        choices: 2,
        report_trust_ms: 400,
        eject_failures: 2,
        eject_ms: 1500,
        eject_floor: 0.3,
        retry_percent: 0,
    }
}

fn router(name: &str, targets: usize) -> Router {
    let mut router = Router::new(name, "d0", policy());
    let member = |it: usize| Member {
        address: format!("t{it}"),
        domain: format!("d{}", it % 2),
        leaving: false,
        held: false,
    };
    router.set_members(&(0..targets).map(member).collect::<Vec<_>>());
    router.set_cold_rate(COLD_RATE_PER_S);
    router
}

fn call(share: Share) -> Call<'static> {
    Call {
        work: 1.0,
        prefix_work: 0.0,
        prefix: None,
        tried: &[],
        cap: u32::MAX,
        share,
        inputs: &[],
        is_own: true,
        within: None,
    }
}

/// Chooses a target, and spends its credit if it is cold.
fn choose(
    router: &mut Router,
    now: Millis,
    share: Share,
    rng: &mut impl Rng,
) -> Result<String, NoTarget> {
    let chosen = router.choose(now, &policy(), &call(share), rng)?.address;
    router.spend_cold(now, &chosen, share);
    Ok(chosen)
}

/// Maximum number of times within any second.
fn max_in_a_second(times: &[Millis]) -> usize {
    let within =
        |from: &Millis| times.iter().filter(|it| (*from..*from + 1000).contains(it)).count();
    times.iter().map(within).max().unwrap_or(0)
}

proptest! {
    #[test]
    fn a_sole_router_stays_within_the_cold_rate(
        gaps in prop::collection::vec(0..400_u64, 1..300),
        fill in 0.0..1.0,
    ) {
        let mut credits = Credits::default();
        credits.set_cold(0, 20_000, fill);
        let (mut now, mut times) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            if credits.is_cold(now) && credits.wait_ms(now, COLD_RATE_PER_S, Share::Whole) == 0 {
                credits.spend(now, COLD_RATE_PER_S, Share::Whole);
                times.push(now);
            }
        }
        prop_assert!(max_in_a_second(&times) as f64 <= COLD_RATE_PER_S, "{times:?}");
    }

    #[test]
    fn a_credit_is_available_after_the_returned_wait(at in 0..900_u64, fill in 0.0..1.0) {
        let mut credits = Credits::default();
        credits.set_cold(0, 100_000, fill);
        credits.spend(at, COLD_RATE_PER_S, Share::Of(3));
        let wait = credits.wait_ms(at, COLD_RATE_PER_S, Share::Of(3));
        prop_assert!(0 < wait);
        prop_assert_eq!(credits.wait_ms(at + wait, COLD_RATE_PER_S, Share::Of(3)), 0);
    }
}

/// Guards against overload of cold targets by many instances that each use their own share of the cold rate.
#[test]
fn independent_instances_together_stay_within_the_bound() {
    const INSTANCES: usize = 86;
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut routers: Vec<Router> = (0..INSTANCES).map(|it| router(&format!("i{it}"), 4)).collect();
    for router in &mut routers {
        ["t0", "t2"].iter().for_each(|it| router.set_cold(0, it, 30_000));
    }
    let mut times = Vec::new();
    for now in 0..30_000 {
        let instance = rng.random_range(0..INSTANCES);
        let share = Share::Of(INSTANCES);
        let chosen =
            choose(&mut routers[instance], now, share, &mut rng).expect("two targets are warm");
        if chosen == "t0" {
            times.push(now);
        }
    }
    let most = max_in_a_second(&times);
    assert!((2..=10).contains(&most), "{most} calls in one second");
    assert!(30 <= times.len(), "{} calls in 30 s", times.len());
}

#[test]
fn calls_beyond_the_cold_rate_go_to_warm_targets_or_wait() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = router("i", 2);
    router.set_cold(0, "t0", 5000);
    let mut chosen = |now| choose(&mut router, now, Share::Whole, &mut rng);
    let first: Vec<String> = (0..20).map(|_| chosen(100).expect("one target is warm")).collect();
    assert!(first.iter().filter(|it| *it == "t0").count() <= 1);
    let mut router = self::router("i", 1);
    router.set_cold(0, "t0", 5000);
    let mut chosen = |now| choose(&mut router, now, Share::Whole, &mut rng);
    assert!(chosen(1000).is_ok());
    let Err(NoTarget::Cold(wait)) = chosen(1000) else { panic!("the cold rate is used up") };
    assert!(chosen(1000 + wait).is_ok());
    assert!((0..20).all(|_| chosen(5000).is_ok()), "the target is no longer cold");
}

#[test]
fn an_evacuated_target_gets_no_calls_and_keeps_its_prefixes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = router("i", 2);
    let members = |is_evacuated| {
        let member = |it: usize| Member {
            address: format!("t{it}"),
            domain: format!("d{it}"),
            leaving: false,
            held: is_evacuated && it == 0,
        };
        (0..2).map(member).collect::<Vec<_>>()
    };
    let with_prefix = Call { prefix: Some(7), prefix_work: 0.9, ..call(Share::Whole) };
    router.sent(0, "t0", &with_prefix);
    router.set_members(&members(true));
    for _ in 0..20 {
        let chosen = router.choose(1, &policy(), &with_prefix, &mut rng).unwrap();
        assert_eq!(chosen.address, "t1");
    }
    router.set_members(&members(false));
    router.ended(1, "t0", 1.0, holdpoint_core::route::End::Dropped);
    let predicted = Policy { route: Route::Predicted, ..policy() };
    let chosen = router.choose(1, &predicted, &with_prefix, &mut rng).unwrap();
    assert_eq!((chosen.address.as_str(), chosen.reason.prefix_hit), ("t0", true));
    let all: Vec<Member> =
        members(true).into_iter().map(|it| Member { held: true, ..it }).collect();
    router.set_members(&all);
    let none = router.choose(2, &policy(), &with_prefix, &mut rng);
    assert_eq!(none.map(|it| it.address), Err(NoTarget::Evacuated));
}

fn entry(sequence: u64, cold_left_ms: Option<Millis>) -> TargetInstance {
    TargetInstance {
        id: "i".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        domain: "a".to_owned(),
        slots: 1,
        is_leaving: false,
        sequence,
        born: None,
        cold_left_ms,
        version: String::new(),
    }
}

#[test]
fn the_newest_entry_of_a_target_says_how_long_it_is_cold() {
    let mut directory = Directory::default();
    directory.put(0, entry(2, Some(3000)));
    assert_eq!(directory.cold_left(1000, "i"), 2000);
    assert_eq!(
        directory.put(1200, entry(3, Some(1800))),
        Change::Nothing,
        "the remaining time agrees"
    );
    assert_eq!(directory.put(2000, entry(1, Some(9000))), Change::Nothing, "an older entry");
    assert_eq!(directory.cold_left(3000, "i"), 0);
    assert_eq!(directory.put(4000, entry(4, Some(3000))), Change::Altered, "cold again");
    assert_eq!(
        directory.put(4100, entry(5, Some(0))),
        Change::Altered,
        "warm earlier than reported before"
    );
    assert_eq!(directory.cold_left(4100, "i"), 0);
    directory.put(5000, entry(6, Some(u64::MAX)));
    assert_eq!(directory.cold_left(5000, "i"), 60_000, "an implausible time is capped");
}

#[test]
fn a_possibly_outdated_entry_does_not_end_a_cold_time_set_locally() {
    let mut directory = Directory::default();
    directory.put(0, entry(1, Some(0)));
    directory.hold_cold(1000, "i", 3000);
    directory.put(1100, entry(2, Some(0)));
    assert_eq!(directory.cold_left(1100, "i"), 2900);
    directory.put(1200, entry(3, None));
    assert_eq!(directory.cold_left(4000, "i"), 0);
}
