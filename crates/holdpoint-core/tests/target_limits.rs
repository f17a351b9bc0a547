//! Rate-limit state of a target: admitted requests, also over hand-overs and partitions, and which updates apply.
//! `limit_worlds.rs` simulates whole deployments.

use holdpoint_core::{
    ids::Millis,
    target_limits::{AnswerSpan, Change, Keeping, NamedLimit, Slot, TargetLimits},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TARGET: (&str, &str) = ("t-1", "service");
/// Window over which a target counts requests, in milliseconds.
const WINDOW_MS: Millis = 4000;
/// Longest time for which instances disagree on which instances are alive, in milliseconds.
const VIEW_MS: Millis = 600;

/// Ways to share a limit between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// One instance owns the rate-limit state.
    SingleOwner,
    /// Each instance has an equal part.
    EqualShares,
    /// One instance lends the requests of each second in equal parts to those that asked in the second before.
    LentShares,
}

/// Outcome of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Shared {
    sent: usize,
    /// Refused although the target had room.
    refused: usize,
    /// Sent beyond the allowance of a window.
    beyond: usize,
}

/// Simulates requests that are unevenly spread over instances: half of them come to the first one.
fn share(strategy: Strategy, instances: usize, per_s: f64, wanted_per_s: f64) -> Shared {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let new_owner = |per_s: f64| {
        let mut limits = TargetLimits::default();
        limits.learn(AnswerSpan::default(), TARGET, Some(per_s));
        limits.keep(0, TARGET.0, true);
        limits
    };
    let mut ideal = new_owner(per_s);
    let mut single = ideal.clone();
    let mut shares = vec![(2000, 0.0_f64); instances];
    let (mut requesters, mut lent) = (Vec::new(), vec![0.0_f64; instances]);
    let mut shared = Shared::default();
    let mut sent: Vec<Millis> = Vec::new();
    for now in (2000..62_000).step_by(5) {
        if now % 1000 == 0 {
            // Unused lent requests are returned.
            let borrowers: Vec<usize> = std::mem::take(&mut requesters);
            let part = per_s / borrowers.len().max(1) as f64;
            lent.iter_mut().for_each(|it| *it = it.fract());
            borrowers.into_iter().for_each(|it| lent[it] += part);
        }
        if !rng.random_bool(wanted_per_s * 5.0 / 1000.0) {
            continue;
        }
        let at = if rng.random_bool(0.5) { 0 } else { rng.random_range(0..instances) };
        if !requesters.contains(&at) {
            requesters.push(at);
        }
        let has_room = ideal.take(now, TARGET.0, Keeping::Sure) == Slot::Taken;
        let is_sent = match strategy {
            Strategy::SingleOwner => single.take(now, TARGET.0, Keeping::Sure) == Slot::Taken,
            Strategy::EqualShares => {
                let (since, credit) = &mut shares[at];
                let gained = per_s / instances as f64 * (now - *since) as f64 / 1000.0;
                (*since, *credit) = (now, (*credit + gained).min(1.0));
                let is_sent = 1.0 <= *credit;
                *credit -= if is_sent { 1.0 } else { 0.0 };
                is_sent
            }
            Strategy::LentShares => {
                let is_lent = 1.0 <= lent[at];
                lent[at] -= if is_lent { 1.0 } else { 0.0 };
                is_lent
            }
        };
        shared.refused += usize::from(has_room && !is_sent);
        if is_sent {
            sent.push(now);
            let in_window = sent.iter().filter(|it| now <= **it + WINDOW_MS).count();
            shared.beyond += usize::from(6.0 * per_s + 5.0 < in_window as f64);
        }
    }
    Shared { sent: sent.len(), ..shared }
}

/// A single owner admits all that the target accepts. Shares leave a part of it unused, which grows with the number of
/// instances.
#[test]
fn a_single_owner_refuses_no_request_within_the_limit() {
    for (instances, per_s) in [(8, 1.0), (8, 10.0), (985, 1.0), (985, 10.0)] {
        let of = |strategy| share(strategy, instances, per_s, 4.0 * per_s);
        let [single, equal, lent] =
            [Strategy::SingleOwner, Strategy::EqualShares, Strategy::LentShares].map(of);
        println!("{instances} instances, {per_s} a second: {single:?} {equal:?} {lent:?}");
        assert_eq!((single.refused, single.beyond), (0, 0), "{instances}, {per_s}");
        for it in [equal, lent] {
            assert!(single.sent / 10 < it.refused, "{instances}, {per_s}: {it:?}");
        }
    }
}

/// Answers may overtake each other. One is known to be later only if its request was sent after the other answer was
/// received; otherwise the lower limit applies.
#[test]
fn an_answer_that_may_be_older_raises_no_limit() {
    let mut limits = TargetLimits::default();
    let mut observe = |sent, received_at, named| {
        limits.observe(AnswerSpan { sent, received: received_at }, TARGET, named)
    };
    assert_eq!(observe(900, 1000, NamedLimit::PerSecond(2.0)), Change::Began);
    assert_eq!(observe(950, 1100, NamedLimit::Nothing), Change::Nothing);
    assert_eq!(observe(1050, 1150, NamedLimit::Invalid), Change::Nothing);
    assert_eq!(observe(950, 1200, NamedLimit::PerSecond(3.0)), Change::Nothing);
    assert_eq!(observe(950, 1200, NamedLimit::PerSecond(1.0)), Change::Altered { before: 2.0 });
    assert_eq!(observe(1250, 1300, NamedLimit::PerSecond(3.0)), Change::Altered { before: 1.0 });
    // An update from a peer may be out of date.
    assert_eq!(observe(950, 1200, NamedLimit::PerSecond(1.0)), Change::Nothing);
    assert_eq!(observe(1350, 1400, NamedLimit::Nothing), Change::Ended);
    // The target may have stated it again after the previous answer.
    assert_eq!(observe(1360, 1450, NamedLimit::PerSecond(1.0)), Change::Began);
}

/// A target with a limit of zero still gets occasional requests: only its answers show that the limit has ended.
#[test]
fn a_target_with_a_limit_of_zero_gets_occasional_requests() {
    let mut limits = TargetLimits::default();
    limits.learn(AnswerSpan::default(), TARGET, Some(0.0));
    let taken = |now: &Millis| limits.take(*now, TARGET.0, Keeping::Sure) == Slot::Taken;
    let sent = (0..=60_000).step_by(100).filter(taken).count();
    assert_eq!(sent, 6);
}

/// The cost of reading a service's allowances grows only with the number of targets that state a limit.
#[test]
fn only_targets_that_state_a_limit_are_visited() {
    for targets in [100, 1000, 2000] {
        let mut limits = TargetLimits::default();
        for index in 0..targets {
            let id = format!("t-{index}");
            let named =
                if index % 100 == 0 { NamedLimit::PerSecond(1.0) } else { NamedLimit::Nothing };
            limits.observe(AnswerSpan { sent: 900, received: 1000 }, (&id, "service"), named);
        }
        assert_eq!(limits.ids().count(), targets / 100);
        assert_eq!(limits.allowances(1000, "service", Keeping::Sure).count(), targets / 100);
        assert_eq!(limits.total_per_s("service"), targets as f64 / 100.0);
    }
}

/// State of an instance that has owned a limit of `per_s` requests a second for a while.
fn owned(per_s: f64) -> TargetLimits {
    let mut limits = TargetLimits::default();
    limits.learn(AnswerSpan::default(), TARGET, Some(per_s));
    limits.keep(0, TARGET.0, true);
    limits
}

/// Requests admitted by the owners from `from` to `to`, with each of them asked every 5 ms.
fn admitted(owners: &mut [TargetLimits], keeping: Keeping, from: Millis, to: Millis) -> usize {
    let times = (from..to).step_by(5);
    let taken = |now| {
        let slots = owners.iter_mut().map(|it| it.take(now, TARGET.0, keeping));
        slots.filter(|it| *it == Slot::Taken).count()
    };
    times.map(taken).sum()
}

#[test]
fn a_single_owner_admits_the_limit_and_no_more() {
    for per_s in [0.5, 1.0, 3.0, 40.0] {
        let mut single = [owned(per_s)];
        // An idle time before gives no credit.
        let sent = admitted(&mut single, Keeping::Sure, 30_000, 50_000);
        let most = 20.0 * per_s;
        assert!((most.floor()..=most * 1.005 + 1.0).contains(&(sent as f64)), "{per_s}: {sent}");
    }
}

/// An owner that changes each second, while instances disagree on the owner for as long as they may, admits no more
/// than one that stays.
#[test]
fn repeated_changes_of_the_owner_admit_no_more() {
    for per_s in [0.5, 1.0, 3.0] {
        let mut owners = [owned(per_s), owned(per_s), owned(per_s)];
        owners[1..].iter_mut().for_each(|it| it.keep(0, TARGET.0, false));
        let mut sent = 0;
        // The first instance is the owner until now.
        for second in 10..40 {
            let now = 1000 * second;
            let owner = second as usize % 3;
            owners[owner].keep(now, TARGET.0, true);
            // The previous owner learns of the change later.
            let previous = (owner + 2) % 3;
            let overlap = &mut owners[previous..=previous];
            sent += admitted(overlap, Keeping::Sure, now, now + VIEW_MS);
            owners[previous].keep(now + VIEW_MS, TARGET.0, false);
            sent += admitted(&mut owners[owner..=owner], Keeping::Sure, now, now + 1000);
        }
        assert!(sent as f64 <= 30.0 * per_s + 1.0, "{per_s}: {sent}");
    }
}

/// The sides of a partition, each of which knows that it does not reach all instances, together admit no more than
/// a single owner.
#[test]
fn the_sides_of_a_partition_together_admit_no_more() {
    for (sides, reached) in [(2, 4), (4, 2), (8, 1)] {
        let mut owners = vec![owned(3.0); sides];
        let keeping = Keeping::Unsure { reached, of: 8 };
        let sent = admitted(&mut owners, keeping, 10_000, 50_000);
        assert!(sent <= 40 * 3 + sides, "{sides}: {sent}");
    }
    // Another instance may own the limit too: at most half of it is admitted.
    let unsure = Keeping::Unsure { reached: 7, of: 8 };
    assert!(admitted(&mut [owned(3.0)], unsure, 10_000, 50_000) <= 40 * 3 / 2 + 1);
}

/// An instance that missed the end of a limit must not reinstate it at the owner.
#[test]
fn an_ended_limit_is_not_reinstated_by_a_stale_peer() {
    let made = |at: Millis| AnswerSpan { sent: at, received: at + 10 };
    let (mut asker, mut owner) = (TargetLimits::default(), TargetLimits::default());
    for it in [&mut asker, &mut owner] {
        it.learn(made(1000), TARGET, Some(0.0));
    }
    owner.learn(made(2000), TARGET, None);
    let update_of = |asker: &TargetLimits, now| asker.news(now, TARGET.0).unwrap();
    // While the owner remembers the end, an older update is ignored.
    let update = update_of(&asker, 30_000);
    assert_eq!(owner.learn(update.made(30_000), TARGET, update.per_s), Change::Nothing);
    owner.forget(90_000, |_| true);
    let update = update_of(&asker, 90_000);
    assert!(owner.is_stale(&update));
    // A new limit is accepted.
    asker.learn(made(89_000), TARGET, Some(0.0));
    assert!(!owner.is_stale(&update_of(&asker, 90_000)));
}
