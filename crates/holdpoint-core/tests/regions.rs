//! Choice of the region that serves a request, and of the targets of a call.

use std::collections::BTreeMap;

use holdpoint_core::{
    cold::Share,
    regions::ServiceRegions,
    route::{Call, End, Member, Router},
    topology::Topology,
};
use holdpoint_schema::resources::{Policy, Route};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const REGIONS: [&str; 2] = ["east", "north"];
/// Extra time of a call to the other region, in milliseconds.
const REMOTE_MS: f64 = 60.0;

fn targets(usable: &[(&'static str, &'static str)]) -> ServiceRegions {
    ServiceRegions::new(usable.iter().copied())
}

fn home(targets: &ServiceRegions, services: &[&str], alive: &[&str]) -> Option<&'static str> {
    targets.home(REGIONS, services, |it| alive.contains(&it))
}

#[test]
fn the_own_region_serves_if_it_has_targets_of_all_services() {
    let both = [("a", "east"), ("b", "east"), ("a", "north"), ("b", "north")];
    assert_eq!(home(&targets(&both), &["a", "b"], &REGIONS), Some("east"));
}

#[test]
fn a_chain_is_not_split_if_another_region_has_all_services() {
    let no_b = targets(&[("a", "east"), ("a", "north"), ("b", "north")]);
    assert_eq!(home(&no_b, &["a", "b"], &REGIONS), Some("north"));
    assert_eq!(home(&no_b, &["a"], &REGIONS), Some("east"));
}

#[test]
fn a_region_without_live_instances_is_not_chosen() {
    let no_b = targets(&[("a", "east"), ("a", "north"), ("b", "north")]);
    assert_eq!(home(&no_b, &["a", "b"], &["east"]), None);
}

#[test]
fn no_region_is_chosen_if_none_has_all_services() {
    let apart = targets(&[("a", "east"), ("b", "north")]);
    assert_eq!(home(&apart, &["a", "b"], &REGIONS), None);
    assert_eq!(home(&targets(&[]), &["a"], &REGIONS), None);
}

#[test]
fn targets_are_counted_by_region() {
    let some = targets(&[("a", "east"), ("a", "east"), ("b", "east"), ("a", "north")]);
    assert_eq!(some.usable("a", "east"), 2);
    assert_eq!(some.usable("b", "north"), 0);
    assert_eq!(some.usable_in("east"), 3);
}

fn policy() -> Policy {
    Policy {
        route: Route::Affinity,
        subset: u32::MAX,
        choices: 4,
        report_trust_ms: 400,
        eject_failures: 2,
        eject_ms: 1500,
        eject_floor: 0.3,
        retry_percent: 0,
    }
}

fn split() -> Topology {
    let regions = [("e", "east"), ("n", "north")];
    let regions: BTreeMap<String, String> =
        regions.iter().map(|it| (it.0.to_owned(), it.1.to_owned())).collect();
    Topology::new("east", regions)
}

fn member(address: &str, domain: &str) -> Member {
    Member { address: address.into(), domain: domain.into(), leaving: false, held: false }
}

/// A router in the east with targets given by address and failure domain.
fn router(members: &[(&str, &str)]) -> Router {
    let mut router = Router::new("i", "e", policy()).with_topology(split(), REMOTE_MS);
    router.set_members(&members.iter().map(|it| member(it.0, it.1)).collect::<Vec<_>>());
    router
}

fn prompt(tried: &[String]) -> Call<'_> {
    let share = Share::Whole;
    Call {
        work: 5000.0,
        prefix_work: 3000.0,
        prefix: Some(3),
        tried,
        cap: u32::MAX,
        share,
        inputs: &[],
        is_own: true,
        within: None,
    }
}

fn plain() -> Call<'static> {
    Call { work: 1.0, prefix_work: 0.0, prefix: None, ..prompt(&[]) }
}

#[test]
fn a_prompt_stays_in_its_region_under_load_while_a_target_is_left() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = router(&[("e1", "e"), ("n1", "n"), ("n2", "n")]);
    for now in 0..50 {
        let choice = router.choose_in(now, &policy(), &prompt(&[]), Some("east"), &mut rng);
        let address = choice.unwrap().address;
        assert_eq!(address, "e1");
        router.placed(now, &address, &prompt(&[]));
        router.sent(now, &address, &prompt(&[]));
    }
    let choice = router.choose_in(50, &policy(), &prompt(&[]), Some("north"), &mut rng);
    assert!(choice.unwrap().address.starts_with('n'));
    let tried = ["e1".to_owned()];
    let choice = router.choose_in(50, &policy(), &prompt(&tried), Some("east"), &mut rng);
    assert!(choice.unwrap().address.starts_with('n'), "no target is left in the east");
}

#[test]
fn a_plain_call_stays_local_until_the_wait_exceeds_the_extra_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut router = router(&[("e1", "e"), ("n1", "n")]);
    // Each takes 30 ms per call, one at a time; the remote one needs 60 ms more.
    for now in (0..2000).step_by(100) {
        for (target, ms) in [("e1", 30), ("n1", 90)] {
            router.sent(now, target, &plain());
            let load = holdpoint_core::route::Load { running: 1, waiting: 1, pace_percent: None };
            router.report(now, target, load);
            router.ended(now, target, 1.0, End::Whole(ms));
        }
    }
    let mut chosen = Vec::new();
    for _ in 0..8 {
        let choice = router.choose_in(2000, &policy(), &plain(), None, &mut rng).unwrap();
        router.sent(2000, &choice.address, &plain());
        chosen.push(choice.address);
    }
    assert_eq!(chosen[..2], ["e1", "e1"], "the local target is idle or nearly idle");
    assert!(chosen.contains(&"n1".to_owned()), "a long wait costs more than the extra time");
}

#[test]
fn with_one_region_the_extra_time_is_ignored() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut router = Router::new("i", "e", policy()).with_topology(Topology::default(), REMOTE_MS);
    router.set_members(&[member("e1", "e"), member("n1", "n")]);
    let tried = [];
    for now in 0..20 {
        let with = router.choose_in(now, &policy(), &prompt(&tried), Some(""), &mut rng).unwrap();
        let without = router.choose(now, &policy(), &prompt(&tried), &mut rng).unwrap();
        assert_eq!(with, without);
    }
}
