//! What one instance does and keeps, in a fleet of 100, 1,000 and 2,000 instances with ten targets to each.
//!
//! The aim is that a fleet twice as large costs an instance no more: counts here stay level, or grow with the
//! number of changes. Nothing is timed.

use std::collections::BTreeMap;

use holdpoint_core::{
    capacity::Capacity,
    catalog::default_policy,
    directory::{Change, Directory, TargetInstance},
    liveness::{Duty, Use, duty},
    readers::{DomainSizes, Member as Instance, Role, leaders, plan, sends_configuration},
    route::{Call, Choice, Member, Router},
};
use holdpoint_schema::resources::{Policy, Route};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Sizes of the fleet, in instances.
const SIZES: [usize; 3] = [100, 1000, 2000];
/// Targets to each instance.
const TARGETS: usize = 10;
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn member(index: usize) -> Member {
    let domain = DOMAINS[index % DOMAINS.len()].to_owned();
    Member { address: format!("t{index}"), domain, leaving: false, held: false }
}

fn policy() -> Policy {
    Policy { route: Route::Affinity, subset: u32::MAX, ..default_policy() }
}

fn router(targets: usize) -> Router {
    let mut router = Router::new("i", "a", policy());
    (0..targets).for_each(|it| router.put_member(member(it)));
    router
}

fn prompt(prefix: u64) -> Call<'static> {
    Call {
        work: 9_000.0,
        prefix_work: 6_000.0,
        prefix: Some(prefix),
        tried: &[],
        cap: u32::MAX,
        share: holdpoint_core::cold::Share::Whole,
        inputs: &[],
        is_own: true,
        within: None,
    }
}

fn choose(router: &mut Router, now: u64, call: &Call<'_>, seed: u64) -> Choice {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    router.choose(now, &policy(), call, &mut rng).unwrap()
}

/// One instance places the prompts of all. At 5,634 engines each of them was compared for each prompt, and
/// for each one the mean pace was summed up over all and its rank looked for among all: 63 million steps a
/// prompt, at 217 prompts a second.
#[test]
fn a_prompt_is_compared_at_no_more_targets_in_a_larger_fleet() {
    let compared = |size: usize| {
        let mut router = router(size * TARGETS);
        (0..20).map(|it| choose(&mut router, 0, &prompt(it), it).reason.compared).max().unwrap()
    };
    let counts = SIZES.map(compared);
    assert!(counts[2] <= counts[1] && counts[1] <= 140, "{counts:?}");
    let mut few = router(100);
    assert_eq!(
        choose(&mut few, 0, &prompt(1), 1).reason.compared,
        100,
        "a few are compared as a whole"
    );
}

/// A prefix stays where it was read, also where hardly any of the targets is looked at.
#[test]
fn a_prefix_stays_at_its_target_in_a_large_fleet() {
    for size in SIZES {
        let mut router = router(size * TARGETS);
        for prefix in 0..50 {
            let first = choose(&mut router, 0, &prompt(prefix), prefix).address;
            router.placed(0, &first, &prompt(prefix));
            for again in 1..5 {
                let now = again * 2_000;
                let found = choose(&mut router, now, &prompt(prefix), prefix + again);
                assert_eq!(found.address, first, "prefix {prefix} at {size} instances");
                assert!(found.reason.prefix_hit);
                router.placed(now, &found.address, &prompt(prefix));
            }
        }
    }
}

/// All instances expect a prefix at the same targets, whatever the order in which they heard of them.
#[test]
fn routers_that_heard_of_their_targets_in_another_order_expect_a_prefix_at_the_same_one() {
    let targets = 1000 * TARGETS;
    let mut one = router(targets);
    let mut other = Router::new("j", "a", policy());
    (0..targets).rev().for_each(|it| other.put_member(member(it)));
    (0..targets).step_by(3).for_each(|it| {
        other.remove_member(&format!("t{it}"));
        other.put_member(member(it));
    });
    for prefix in 0..50 {
        let (a, b) =
            (choose(&mut one, 0, &prompt(prefix), 1), choose(&mut other, 0, &prompt(prefix), 2));
        assert_eq!(a.address, b.address);
    }
}

/// An instance says what it knows with each question to the one that it follows, several times a second. The
/// hash over all of 10,000 targets was made anew each time; now a sum is kept that each change adjusts.
#[test]
fn the_sum_of_what_is_known_follows_from_what_is_listed() {
    let entry = |index: usize, sequence, is_leaving| TargetInstance {
        id: format!("i{index}"),
        service: "s".into(),
        address: format!("10.0.0.{}:80", index % 50),
        domain: DOMAINS[index % DOMAINS.len()].into(),
        slots: 1,
        is_leaving,
        sequence,
        cold_left_ms: None,
        born: Some(1),
        version: "v1".into(),
    };
    let mut changed = Directory::default();
    for index in 0..100 {
        changed.put(0, entry(index, 1, false));
    }
    for index in 0..100 {
        let id = format!("i{index}");
        match index {
            _ if index % 2 == 0 => changed.remove(&id),
            _ if index % 5 == 0 => changed.leave(&id, None),
            _ if index % 7 == 0 => changed.lapse(&id, 10),
            _ => Change::Nothing,
        };
    }
    let mut listed = Directory::default();
    for it in changed.listed() {
        listed.put(0, it.clone());
    }
    assert_eq!(changed.sum(), listed.sum());
    assert_eq!(changed.digest(), listed.digest());
    assert_ne!(changed.sum(), Directory::default().sum());
    changed.expire(10);
    assert_eq!(changed.sum(), listed.sum(), "what has lapsed was not counted");
    let ids: Vec<String> = changed.all().map(|it| it.id.clone()).collect();
    for it in &ids {
        changed.remove(it);
    }
    assert_eq!(changed.sum(), Directory::default().sum());
    assert_eq!(changed.at("10.0.0.1:80").count(), 0, "no address is left behind");
}

fn instances(size: usize) -> Vec<(String, &'static str, Capacity)> {
    let capacity = |it: usize| match it % 16 {
        0 => Capacity { millicores: 1000, link_mbps: 1000 },
        _ => Capacity { millicores: 120, link_mbps: 20 },
    };
    // Every sixth in each domain, and the strong ones spread over all.
    let domain = |it: usize| DOMAINS[(it / 16 + it) % DOMAINS.len()];
    (0..size).map(|it| (format!("n{it}"), domain(it), capacity(it))).collect()
}

fn fleet<'a>(all: &'a [(String, &'static str, Capacity)]) -> Vec<Instance<'a>> {
    let member = |it: &'a (String, &'static str, Capacity)| Instance {
        name: &it.0,
        region: "",
        domain: it.1,
        capacity: it.2,
        store_ms: Some(4),
    };
    all.iter().map(member).collect()
}

/// One that starts learns the leaders from a seed, and how many instances each domain has. With that it
/// follows whom it would follow if it knew all. Each of 985 read the whole list from the store at its start:
/// 200 kB each, two calls each.
#[test]
fn whoever_knows_the_leaders_follows_whom_it_would_follow_if_it_knew_all() {
    for size in SIZES {
        let all = instances(size);
        let members = fleet(&all);
        let leaders = leaders(&members);
        assert!(leaders.len() <= size / 16 + 1, "{} leaders of {size}", leaders.len());
        let mut sizes = DomainSizes::new();
        members.iter().for_each(|it| *sizes.entry(it.domain.to_owned()).or_default() += 1);
        for own in members.iter().step_by(37) {
            let is_known = |it: &&Instance<'_>| it.name == own.name || leaders.contains(&it.name);
            let known: Vec<Instance<'_>> = members.iter().filter(is_known).copied().collect();
            let of_all = plan(own.name, "", own.domain, &members, &DomainSizes::new());
            let of_known = plan(own.name, "", own.domain, &known, &sizes);
            assert_eq!(
                (of_known.role, of_known.asked),
                (of_all.role, of_all.asked),
                "{}",
                own.name
            );
        }
    }
}

/// News cross the boundary of a failure domain once a relay, which are one for each 24 instances, and not
/// once an instance; and no source has more followers in a larger fleet.
#[test]
fn most_instances_follow_one_in_their_own_failure_domain() {
    for size in SIZES {
        let all = instances(size);
        let members = fleet(&all);
        let domain_of: BTreeMap<&str, &str> =
            members.iter().map(|it| (it.name, it.domain)).collect();
        let mut followers: BTreeMap<&str, usize> = BTreeMap::new();
        let (mut across, mut relays, mut readers) = (0, 0, 0);
        for it in &members {
            let plan = plan(it.name, "", it.domain, &members, &DomainSizes::new());
            match plan.role {
                Role::Reader => readers += 1,
                Role::Relay => relays += 1,
                Role::Follower => {
                    let source = plan.asked[0];
                    across += usize::from(domain_of[source] != it.domain);
                    *followers.entry(source).or_default() += 1;
                }
            }
        }
        assert_eq!(readers, 3, "of {size}");
        assert!(relays <= size / 24 + DOMAINS.len(), "{relays} relays of {size}");
        let most = followers.values().max().unwrap();
        assert!(*most <= 48, "{most} followers of one in {size}");
        if 1000 <= size {
            assert!(across <= size / 24, "{across} of {size} follow one of another domain");
        }
    }
}

/// Callers bring so many requests a second to the whole fleet, whatever its size. The owner of a service was
/// asked four times a second by each instance that had ever used it: 3,940 times a second by 985 instances
/// for 293 requests. What it is asked now follows the requests.
#[test]
fn an_owner_is_asked_whether_it_is_there_as_often_as_requests_need() {
    const PER_S: usize = 200;
    const ASK_MS: usize = 250;
    const SPAN_MS: usize = 20_000;
    /// How long a request uses an owner.
    const CALL_MS: usize = 400;
    let asked = |size: usize| {
        let mut used = vec![0_usize; size];
        let mut questions = 0;
        for now in (0..SPAN_MS).step_by(ASK_MS) {
            for request in 0..PER_S * ASK_MS / 1000 {
                used[(now / ASK_MS * 7919 + request * 104_729) % size] = now.max(1);
            }
            let is_asked = |it: &&usize| {
                let calls = usize::from(**it != 0 && now.saturating_sub(**it) < CALL_MS);
                let its = Use { calls, used: **it as u64, is_standing: false };
                duty(now as u64, its) == Duty::Ask && **it != 0
            };
            questions += used.iter().filter(is_asked).count();
        }
        questions * 1000 / SPAN_MS
    };
    let counts = SIZES.map(asked);
    // Each request keeps its owner asked for a second after it, at most.
    let most = PER_S * (CALL_MS + 1000) / ASK_MS;
    assert!(counts.iter().all(|it| *it <= most), "{counts:?} of {most}");
    assert!(counts[2] <= counts[1] * 5 / 4, "{counts:?}");
    let rested = Use { calls: 0, used: 1_000, is_standing: false };
    assert_eq!(duty(20_000, rested), Duty::Rest);
    assert_eq!(duty(60_000, rested), Duty::Close);
    assert_eq!(duty(60_000, Use { is_standing: true, ..rested }), Duty::Ask);
}

/// Each instance read a changed configuration of 83 kB from the store, 110 kB as it sends it. Sent by the
/// sources, what leaves the store is three readers' worth at any size.
#[test]
fn a_configuration_leaves_the_store_as_often_in_a_large_fleet_as_in_a_small_one() {
    const PACKED: usize = 12 << 10;
    for size in SIZES {
        let all = instances(size);
        let members = fleet(&all);
        let role =
            |it: &Instance<'_>| plan(it.name, "", it.domain, &members, &DomainSizes::new()).role;
        let reads = members
            .iter()
            .filter(|it| role(it) == Role::Reader || !sends_configuration(PACKED, 1000));
        assert_eq!(reads.count(), 3, "of {size}");
    }
    assert!(sends_configuration(1 << 20, 1000) && !sends_configuration(40 << 10, 10));
}
