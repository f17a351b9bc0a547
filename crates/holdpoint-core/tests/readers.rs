//! Choice of the instances that read the store and of whom the others follow, in one region and in several.

use std::collections::BTreeSet;

use holdpoint_core::{
    capacity::Capacity,
    ids::Millis,
    readers::{DomainSizes, Member, Plan, Role, plan},
};

/// A deployment with instances named by region and number; every fourth one has ten times the capacity.
struct Fleet {
    names: Vec<(String, &'static str, Option<Millis>)>,
}

impl Fleet {
    fn new(regions: &[(&'static str, usize, Option<Millis>)]) -> Fleet {
        let of_region = |it: &(&'static str, usize, Option<Millis>)| {
            let (region, count, store_ms) = *it;
            (0..count).map(move |n| (format!("{region}-{n}"), region, store_ms))
        };
        Fleet { names: regions.iter().flat_map(of_region).collect() }
    }

    fn members(&self) -> Vec<Member<'_>> {
        self.names
            .iter()
            .enumerate()
            .map(|(index, (name, region, store_ms))| {
                let scale = if index % 4 == 0 { 1 } else { 10 };
                let capacity = Capacity { millicores: 500 / scale, link_mbps: 200 / scale };
                Member {
                    name,
                    region,
                    domain: "",
                    capacity,
                    store_ms: store_ms.map(|it| it + index as u64 % 3),
                }
            })
            .collect()
    }

    /// Plan of each instance that is not lost.
    fn plans<'a>(&'a self, is_lost: impl Fn(&str) -> bool) -> Vec<(Member<'a>, Plan<'a>)> {
        let members: Vec<_> = self.members().into_iter().filter(|it| !is_lost(it.name)).collect();
        members
            .iter()
            .map(|it| (*it, plan(it.name, it.region, it.domain, &members, &DomainSizes::new())))
            .collect()
    }
}

fn region(name: &str) -> &str {
    name.split('-').next().unwrap()
}

fn follows_other_region(it: &(Member<'_>, Plan<'_>)) -> bool {
    it.1.asked.first().is_some_and(|asked| region(asked) != it.0.region)
}

fn with_role<'a>(plans: &[(Member<'a>, Plan<'a>)], role: Role) -> Vec<&'a str> {
    plans.iter().filter(|it| it.1.role == role).map(|it| it.0.name).collect()
}

fn two_regions() -> Fleet {
    Fleet::new(&[("east", 148, Some(7)), ("north", 152, Some(64))])
}

#[test]
fn only_instances_in_the_region_of_the_store_read_it() {
    let fleet = two_regions();
    let plans = fleet.plans(|_| false);
    let readers = with_role(&plans, Role::Reader);
    assert_eq!(readers.len(), 3);
    assert!(readers.iter().all(|it| region(it) == "east"));
    for (member, plan) in &plans {
        let known: BTreeSet<&str> = plan.readers.iter().copied().chain([member.name]).collect();
        assert!(readers.iter().all(|it| known.contains(it)), "{} knows all readers", member.name);
    }
}

#[test]
fn one_instance_of_a_remote_region_follows_across_regions() {
    for count in [4, 40, 152, 800] {
        let fleet = Fleet::new(&[("east", count, Some(7)), ("north", count, Some(64))]);
        let plans = fleet.plans(|_| false);
        let heads: Vec<_> = plans.iter().filter(|it| follows_other_region(it)).collect();
        assert_eq!(heads.len(), 1, "for {count} instances in each region");
        let (head, plan) = heads[0];
        assert_eq!((head.region, plan.role), ("north", Role::Relay));
        assert!(plan.asked.iter().all(|it| plan.readers.contains(it)));
    }
}

#[test]
fn the_standby_follows_the_head_and_replaces_it() {
    let fleet = two_regions();
    let plans = fleet.plans(|_| false);
    let head = plans.iter().find(|it| follows_other_region(it)).unwrap().0.name;
    let is_standby = |it: &&(Member<'_>, Plan<'_>)| {
        it.1.asked.first() == Some(&head) && it.1.asked.iter().any(|it| region(it) == "east")
    };
    let standbys: Vec<_> = plans.iter().filter(is_standby).map(|it| it.0.name).collect();
    assert_eq!(standbys.len(), 1);
    let others = plans.iter().filter(|it| it.1.role == Role::Relay && region(it.0.name) == "north");
    for (member, plan) in others.filter(|it| it.0.name != head && it.0.name != standbys[0]) {
        assert_eq!(plan.asked, [head, standbys[0]], "{}", member.name);
    }
    let after = fleet.plans(|it| it == head);
    let successors: Vec<_> =
        after.iter().filter(|it| follows_other_region(it)).map(|it| it.0.name).collect();
    assert_eq!(successors, standbys);
}

#[test]
fn following_leads_to_a_reader_within_three_steps() {
    let fleet = two_regions();
    for lost in ["none", "east-0", "north-0"] {
        let plans = fleet.plans(|it| it == lost);
        for (member, _) in &plans {
            let mut current = member.name;
            for _ in 0..3 {
                let (_, plan) = plans.iter().find(|it| it.0.name == current).unwrap();
                if plan.role != Role::Reader {
                    current = plan.asked[0];
                }
            }
            assert!(
                with_role(&plans, Role::Reader).contains(&current),
                "{} ends at {current}",
                member.name
            );
        }
    }
}

#[test]
fn the_other_region_reads_if_the_region_of_the_store_is_lost() {
    let fleet = two_regions();
    let plans = fleet.plans(|it| region(it) == "east");
    assert_eq!(with_role(&plans, Role::Reader).len(), 3);
    assert!(!plans.iter().any(follows_other_region));
}

#[test]
fn each_region_reads_the_store_itself_without_measurements() {
    let unmeasured = [("east", 30, None), ("north", 30, None)];
    let partly = [("east", 30, Some(7)), ("north", 30, None)];
    let alike = [("east", 30, Some(12)), ("north", 30, Some(8))];
    for regions in [unmeasured, partly, alike] {
        let fleet = Fleet::new(&regions);
        let plans = fleet.plans(|_| false);
        assert_eq!(with_role(&plans, Role::Reader).len(), 6);
        assert!(!plans.iter().any(follows_other_region));
    }
}

#[test]
fn no_weak_instance_is_a_source_while_strong_ones_exist() {
    let fleet = two_regions();
    let plans = fleet.plans(|_| false);
    for (member, plan) in &plans {
        if plan.role != Role::Follower {
            assert_eq!(member.capacity.link_mbps, 200, "{}", member.name);
        }
        assert!(!plan.asked.is_empty());
    }
    // Each source has about as many followers as any other.
    let asked = plans.iter().filter(|it| it.1.role == Role::Follower).map(|it| it.1.asked[0]);
    let asked: Vec<&str> = asked.collect();
    let most = plans.iter().map(|it| asked.iter().filter(|a| **a == it.0.name).count()).max();
    assert!(most < Some(48), "{most:?} follow one source");
}

#[test]
fn followers_time_out_one_after_the_other() {
    let fleet = two_regions();
    let plans = fleet.plans(|_| false);
    let mut times: Vec<Millis> =
        plans.iter().filter(|it| it.1.role == Role::Follower).map(|it| it.1.patience_ms).collect();
    times.sort_unstable();
    let in_first_quarter = times.iter().filter(|it| **it < 190).count();
    assert!(in_first_quarter < times.len() / 3, "{in_first_quarter} of {}", times.len());
    assert!(times.iter().all(|it| *it < 1500));
    let small = Fleet::new(&[("east", 6, Some(7))]);
    assert!(small.plans(|_| false).iter().all(|it| it.1.patience_ms < 30));
}

#[test]
fn a_draining_instance_still_follows_others() {
    let fleet = two_regions();
    let members = fleet.members();
    let rest: Vec<_> = members.iter().filter(|it| it.name != "north-8").copied().collect();
    let own = plan("north-8", "north", "", &rest, &DomainSizes::new());
    assert_eq!(own.role, Role::Follower);
    assert!(own.asked.iter().all(|it| region(it) == "north") && !own.asked.is_empty());
    assert_eq!(plan("only", "north", "", &[], &DomainSizes::new()).asked, Vec::<&str>::new());
}
