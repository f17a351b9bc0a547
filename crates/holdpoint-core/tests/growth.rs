//! Guards against work or memory of one instance that grows with the size of the fleet, in fleets of 100, 1,000 and
//! 2,000 instances with ten targets per instance. The tests count operations and measure no times.

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

/// Numbers of instances in the fleet.
const SIZES: [usize; 3] = [100, 1000, 2000];
/// Targets per instance.
const TARGETS_PER_INSTANCE: usize = 10;
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

/// Guards against routing that compares all targets of a large pool for each prompt.
#[test]
fn the_number_of_compared_targets_does_not_grow_with_the_fleet() {
    let compared = |size: usize| {
        let mut router = router(size * TARGETS_PER_INSTANCE);
        (0..20).map(|it| choose(&mut router, 0, &prompt(it), it).reason.compared).max().unwrap()
    };
    let counts = SIZES.map(compared);
    assert!(counts[2] <= counts[1] && counts[1] <= 140, "{counts:?}");
    let mut small = router(100);
    assert_eq!(
        choose(&mut small, 0, &prompt(1), 1).reason.compared,
        100,
        "a small pool is compared as a whole"
    );
}

/// Guards against prefixes that move to other targets when only a small part of the pool is compared.
#[test]
fn a_prefix_stays_at_its_target_in_a_large_fleet() {
    for size in SIZES {
        let mut router = router(size * TARGETS_PER_INSTANCE);
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

/// Guards against instances that place a prefix at different targets because they learned of these in another order.
#[test]
fn the_order_of_target_updates_does_not_change_where_a_prefix_is_placed() {
    let targets = 1000 * TARGETS_PER_INSTANCE;
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

/// Guards against an incrementally updated hash of the directory that differs from that of a directory with the same
/// entries.
#[test]
fn the_incremental_sum_depends_on_the_listed_entries_only() {
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
    assert_eq!(changed.sum(), listed.sum(), "lapsed entries are not part of the sum");
    let ids: Vec<String> = changed.all().map(|it| it.id.clone()).collect();
    for it in &ids {
        changed.remove(it);
    }
    assert_eq!(changed.sum(), Directory::default().sum());
    assert_eq!(changed.at("10.0.0.1:80").count(), 0, "the address index is empty");
}

fn instances(size: usize) -> Vec<(String, &'static str, Capacity)> {
    let capacity = |it: usize| match it % 16 {
        0 => Capacity { millicores: 1000, link_mbps: 1000 },
        _ => Capacity { millicores: 120, link_mbps: 20 },
    };
    // Each domain has a sixth of the instances, and the strong ones are spread over all domains.
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

/// Guards against a starting instance that has to read the whole list of members from the store: the leaders and the
/// number of instances per domain suffice to choose its sources.
#[test]
fn the_plan_by_leaders_and_domain_sizes_equals_that_by_all_members() {
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
            let full_plan = plan(own.name, "", own.domain, &members, &DomainSizes::new());
            let partial_plan = plan(own.name, "", own.domain, &known, &sizes);
            assert_eq!(
                (partial_plan.role, partial_plan.asked),
                (full_plan.role, full_plan.asked),
                "{}",
                own.name
            );
        }
    }
}

/// Guards against updates that cross the boundary of a failure domain once per instance rather than once per relay,
/// and against sources with more followers in a larger fleet.
#[test]
fn most_instances_follow_a_source_in_their_own_failure_domain() {
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
        assert!(*most <= 48, "{most} followers of one source in {size}");
        if 1000 <= size {
            assert!(across <= size / 24, "{across} of {size} follow a source in another domain");
        }
    }
}

/// Guards against heartbeats to the owner of a service whose rate grows with the fleet although the rate of requests
/// stays the same.
#[test]
fn heartbeats_to_an_owner_do_not_grow_with_the_fleet() {
    const REQUESTS_PER_S: usize = 200;
    const HEARTBEAT_MS: usize = 250;
    const DURATION_MS: usize = 20_000;
    /// Time for which a request uses the owner.
    const CALL_MS: usize = 400;
    let rate = |size: usize| {
        let mut used = vec![0_usize; size];
        let mut heartbeats = 0;
        for now in (0..DURATION_MS).step_by(HEARTBEAT_MS) {
            for request in 0..REQUESTS_PER_S * HEARTBEAT_MS / 1000 {
                used[(now / HEARTBEAT_MS * 7919 + request * 104_729) % size] = now.max(1);
            }
            let is_due = |it: &&usize| {
                let calls = usize::from(**it != 0 && now.saturating_sub(**it) < CALL_MS);
                let its = Use { calls, used: **it as u64, is_standing: false };
                duty(now as u64, its) == Duty::Ask && **it != 0
            };
            heartbeats += used.iter().filter(is_due).count();
        }
        heartbeats * 1000 / DURATION_MS
    };
    let counts = SIZES.map(rate);
    // A request keeps up heartbeats to the owner for at most a second after its end.
    let most = REQUESTS_PER_S * (CALL_MS + 1000) / HEARTBEAT_MS;
    assert!(counts.iter().all(|it| *it <= most), "{counts:?} of {most}");
    assert!(counts[2] <= counts[1] * 5 / 4, "{counts:?}");
    let idle = Use { calls: 0, used: 1_000, is_standing: false };
    assert_eq!(duty(20_000, idle), Duty::Rest);
    assert_eq!(duty(60_000, idle), Duty::Close);
    assert_eq!(duty(60_000, Use { is_standing: true, ..idle }), Duty::Ask);
}

/// Guards against a changed configuration that each instance reads from the store instead of receiving it from its
/// source.
#[test]
fn configuration_reads_from_the_store_do_not_grow_with_the_fleet() {
    const PACKED_BYTES: usize = 12 << 10;
    for size in SIZES {
        let all = instances(size);
        let members = fleet(&all);
        let role =
            |it: &Instance<'_>| plan(it.name, "", it.domain, &members, &DomainSizes::new()).role;
        let reads = members
            .iter()
            .filter(|it| role(it) == Role::Reader || !sends_configuration(PACKED_BYTES, 1000));
        assert_eq!(reads.count(), 3, "of {size}");
    }
    assert!(sends_configuration(1 << 20, 1000) && !sends_configuration(40 << 10, 10));
}
