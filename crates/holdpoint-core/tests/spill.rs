//! Spill between regions: for any sequence of exchanges and losses no place is lent twice, and every lease
//! expires.

use holdpoint_core::{
    ingress::StageStep,
    spill::{Borrower, LEASE_MS, Lease, Lender, LinkBudget, Prospect, chain_ms},
    stage_graph::StageGraph,
};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    /// The borrower asks for `wanted` places of `spare`. The request takes `there_ms`; the answer takes `back_ms` or
    /// is lost.
    Exchange { wanted: u32, spare: u32, there_ms: u64, back_ms: u64, is_lost: bool },
    /// A request takes this many places.
    Take(u32),
    /// This many milliseconds pass.
    Pass(u64),
    /// The borrower crashes and is replaced by another one.
    LoseBorrower,
}

fn step() -> impl Strategy<Value = Step> {
    let exchange = (0..50_u32, 0..80_u32, 0..200_u64, 0..900_u64, any::<bool>());
    prop_oneof![
        4 => exchange.prop_map(|(wanted, spare, there_ms, back_ms, is_lost)| Step::Exchange {
            wanted, spare, there_ms, back_ms, is_lost,
        }),
        4 => (1..20_u32).prop_map(Step::Take),
        3 => (1..400_u64).prop_map(Step::Pass),
        1 => Just(Step::LoseBorrower),
    ]
}

/// A lease in transit: time of arrival, time of the request, the lease.
type InTransit = (u64, u64, Lease);

proptest! {
    /// At any time the lender counts as lent at least the places that borrowers can still use, and it lends no more
    /// than it has spare.
    #[test]
    fn no_place_is_lent_twice_and_leases_expire(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut now = 10_000;
        let (mut lender, mut borrower) = (Lender::default(), Borrower::default());
        let mut in_transit: Vec<InTransit> = Vec::new();
        for step in steps {
            match step {
                Step::Exchange { wanted, spare, there_ms, back_ms, is_lost } => {
                    let requested_at = now;
                    now += there_ms;
                    let before = lender.lent(now);
                    let lease = lender.lend(now, spare, wanted, 200);
                    prop_assert!(lease.places <= wanted);
                    prop_assert!(before + lease.places <= spare.max(before));
                    if !is_lost {
                        in_transit.push((now + back_ms, requested_at, lease));
                    }
                }
                Step::Take(places) => {
                    let left = borrower.left(now);
                    let taken = borrower.take(now, places).is_some();
                    prop_assert_eq!(taken, places <= left);
                    prop_assert_eq!(borrower.left(now), if taken { left - places } else { left });
                }
                Step::Pass(ms) => now += ms,
                Step::LoseBorrower => borrower = Borrower::default(),
            }
            let arrived: Vec<InTransit> =
                in_transit.extract_if(.., |it| it.0 <= now).collect();
            arrived.into_iter().for_each(|it| borrower.receive(it.1, it.2));
            prop_assert!(borrower.left(now) <= lender.lent(now));
        }
        prop_assert_eq!(borrower.left(now + LEASE_MS), 0);
        prop_assert_eq!(lender.lent(now + 2 * LEASE_MS), 0);
    }
}

#[test]
fn an_expired_lease_cannot_be_used() {
    let mut borrower = Borrower::default();
    borrower.receive(1000, Lease { places: 5, for_ms: LEASE_MS, usual_ms: 200 });
    assert_eq!(borrower.left(1000 + LEASE_MS - 1), 5);
    assert_eq!(borrower.take(1000 + LEASE_MS, 1), None);
}

#[test]
fn the_length_of_a_lease_is_bounded() {
    let mut borrower = Borrower::default();
    borrower.receive(1000, Lease { places: 5, for_ms: u64::MAX, usual_ms: 200 });
    assert_eq!(borrower.left(1000 + LEASE_MS), 0);
}

#[test]
fn unmet_demand_is_asked_for_once_and_expires() {
    let mut borrower = Borrower::default();
    assert_eq!(borrower.take(1000, 3), None);
    assert_eq!(borrower.take(1100, 4), None);
    assert_eq!(borrower.wanted(1150), 7);
    assert_eq!(borrower.wanted(2000), 0, "no request waits for it any more");
    assert_eq!(borrower.take(2000, 2), None);
    borrower.receive(2000, Lease { places: 2, for_ms: LEASE_MS, usual_ms: 150 });
    assert_eq!(borrower.wanted(2000), 0);
    assert_eq!(borrower.take(2100, 2), Some(150));
}

#[test]
fn a_request_spills_only_if_it_meets_its_deadline_there() {
    let prospect = |left_ms, here_ms, there_ms| Prospect { left_ms, here_ms, there_ms };
    assert!(prospect(1000, 1500, 800).is_worth_it());
    assert!(!prospect(1000, 900, 500).is_worth_it(), "in time here");
    assert!(!prospect(1000, 1500, 1100).is_worth_it(), "late there too");
    assert!(!prospect(1000, 1050, 1000).is_worth_it(), "gains too little");
}

#[test]
fn a_chain_takes_as_long_as_its_longest_path() {
    let step =
        |after: &[usize]| StageStep { service: "s".to_owned(), after: after.to_vec(), bytes: 0 };
    let steps = [step(&[]), step(&[0]), step(&[0]), step(&[1, 2])];
    let ms = |it: usize| [10, 200, 30, 4][it];
    assert_eq!(chain_ms(&StageGraph::new(&steps, &[1, 1, 1, 1]), &ms), 214);
    assert_eq!(chain_ms(&StageGraph::new(&steps, &[1, 0, 1, 1]), &ms), 44);
    assert_eq!(chain_ms(&StageGraph::new(&steps, &[0, 0, 0, 0]), &ms), 0);
}

proptest! {
    /// All users of a link together send no more than their share of it and their saved credit.
    #[test]
    fn all_users_of_a_link_stay_within_their_share(
        sends in prop::collection::vec((0..6_usize, 0..40_u64, 1..60_000_u64), 1..300)
    ) {
        let (users, mbps, share) = (6, 60.0, 0.25);
        let mut budgets = vec![LinkBudget::new(mbps, share, users); users];
        let (mut now, mut sent) = (0, 0);
        for (user, ms, bytes) in sends {
            now += ms;
            if budgets[user].spend(now, bytes) {
                sent += bytes;
            }
            let most = (now + 1000) as f64 * mbps * 125.0 * share;
            prop_assert!(sent as f64 <= most + 1.0, "{} bytes sent, {} allowed", sent, most);
        }
    }
}

#[test]
fn a_link_with_unstated_bandwidth_is_not_limited() {
    let mut budget = LinkBudget::new(0.0, 0.25, 10);
    assert!((0..1000).all(|it| budget.spend(it, 1 << 30)));
}
