//! The account of a limit that a target names: what it lets through, over hand-overs and cuts too, and which news
//! of it count. Whole worlds of instances are in `limit_worlds.rs`.

use holdpoint_core::{
    ids::Millis,
    target_limits::{AnswerSpan, Change, Keeping, NamedLimit, Slot, TargetLimits},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TARGET: (&str, &str) = ("t-1", "service");
/// Windows in which a target counts, in milliseconds.
const WINDOW_MS: Millis = 4000;
/// Longest time for which instances differ in who lives, in milliseconds.
const VIEW_MS: Millis = 600;

/// Ways to share a limit between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// One instance keeps the account.
    Account,
    /// Each spends an equal part.
    EqualShares,
    /// One instance lends a second's requests to those that have asked it within the last one, in equal parts.
    LentShares,
}

/// What came of the requests of some seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Shared {
    sent: usize,
    /// Refused although the target had room.
    refused: usize,
    /// Sent beyond what a window bears.
    beyond: usize,
}

/// Sends requests that come to instances unevenly, as callers' connections do: one in two to the first.
fn share(way: Way, instances: usize, per_s: f64, wanted_per_s: f64) -> Shared {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let keeper = |per_s: f64| {
        let mut limits = TargetLimits::default();
        limits.learn(AnswerSpan::default(), TARGET, Some(per_s));
        limits.keep(0, TARGET.0, true);
        limits
    };
    let mut ideal = keeper(per_s);
    let mut account = ideal.clone();
    let mut shares = vec![(2000, 0.0_f64); instances];
    let (mut asked, mut lent) = (Vec::new(), vec![0.0_f64; instances]);
    let mut shared = Shared::default();
    let mut sent: Vec<Millis> = Vec::new();
    for now in (2000..62_000).step_by(5) {
        if now % 1000 == 0 {
            // What was lent and not spent is given back.
            let askers: Vec<usize> = std::mem::take(&mut asked);
            let part = per_s / askers.len().max(1) as f64;
            lent.iter_mut().for_each(|it| *it = it.fract());
            askers.into_iter().for_each(|it| lent[it] += part);
        }
        if !rng.random_bool(wanted_per_s * 5.0 / 1000.0) {
            continue;
        }
        let at = if rng.random_bool(0.5) { 0 } else { rng.random_range(0..instances) };
        if !asked.contains(&at) {
            asked.push(at);
        }
        let has_room = ideal.take(now, TARGET.0, Keeping::Sure) == Slot::Taken;
        let is_sent = match way {
            Way::Account => account.take(now, TARGET.0, Keeping::Sure) == Slot::Taken,
            Way::EqualShares => {
                let (since, credit) = &mut shares[at];
                let gained = per_s / instances as f64 * (now - *since) as f64 / 1000.0;
                (*since, *credit) = (now, (*credit + gained).min(1.0));
                let is_sent = 1.0 <= *credit;
                *credit -= if is_sent { 1.0 } else { 0.0 };
                is_sent
            }
            Way::LentShares => {
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

/// One account lets through what the target takes. Shares leave a part of it unused, the larger the more
/// instances there are.
#[test]
fn one_account_refuses_nothing_that_there_is_room_for() {
    for (instances, per_s) in [(8, 1.0), (8, 10.0), (985, 1.0), (985, 10.0)] {
        let of = |way| share(way, instances, per_s, 4.0 * per_s);
        let [account, equal, lent] = [Way::Account, Way::EqualShares, Way::LentShares].map(of);
        println!("{instances} instances, {per_s} a second: {account:?} {equal:?} {lent:?}");
        assert_eq!((account.refused, account.beyond), (0, 0), "{instances}, {per_s}");
        for it in [equal, lent] {
            assert!(account.sent / 10 < it.refused, "{instances}, {per_s}: {it:?}");
        }
    }
}

/// Answers overtake each other. Only one whose request was sent after another had come is known to be later;
/// else the lower limit holds.
#[test]
fn an_answer_that_may_be_older_raises_no_limit() {
    let mut limits = TargetLimits::default();
    let mut heard =
        |sent, came, named| limits.observe(AnswerSpan { sent, received: came }, TARGET, named);
    assert_eq!(heard(900, 1000, NamedLimit::PerSecond(2.0)), Change::Began);
    assert_eq!(heard(950, 1100, NamedLimit::Nothing), Change::Nothing);
    assert_eq!(heard(1050, 1150, NamedLimit::Invalid), Change::Nothing);
    assert_eq!(heard(950, 1200, NamedLimit::PerSecond(3.0)), Change::Nothing);
    assert_eq!(heard(950, 1200, NamedLimit::PerSecond(1.0)), Change::Altered { before: 2.0 });
    assert_eq!(heard(1250, 1300, NamedLimit::PerSecond(3.0)), Change::Altered { before: 1.0 });
    // News that instances tell each other may be long out of date.
    assert_eq!(heard(950, 1200, NamedLimit::PerSecond(1.0)), Change::Nothing);
    assert_eq!(heard(1350, 1400, NamedLimit::Nothing), Change::Ended);
    // The target may have named it again after the answer before was made.
    assert_eq!(heard(1360, 1450, NamedLimit::PerSecond(1.0)), Change::Began);
}

/// A target that takes nothing is still asked now and then: only its answers tell that its limit has ended.
#[test]
fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = TargetLimits::default();
    limits.learn(AnswerSpan::default(), TARGET, Some(0.0));
    let taken = |now: &Millis| limits.take(*now, TARGET.0, Keeping::Sure) == Slot::Taken;
    let sent = (0..=60_000).step_by(100).filter(taken).count();
    assert_eq!(sent, 6);
}

/// What it costs to know what a service's targets take grows with those that name a limit.
#[test]
fn what_is_looked_at_grows_with_the_targets_that_name_a_limit() {
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

/// An account that an instance has kept for a while, of a target that takes so many requests a second.
fn kept(per_s: f64) -> TargetLimits {
    let mut limits = TargetLimits::default();
    limits.learn(AnswerSpan::default(), TARGET, Some(per_s));
    limits.keep(0, TARGET.0, true);
    limits
}

/// Requests that some accounts let through in a while, all asked again and again.
fn let_through(accounts: &mut [TargetLimits], keeping: Keeping, from: Millis, to: Millis) -> usize {
    let times = (from..to).step_by(5);
    let taken = |now| {
        let slots = accounts.iter_mut().map(|it| it.take(now, TARGET.0, keeping));
        slots.filter(|it| *it == Slot::Taken).count()
    };
    times.map(taken).sum()
}

#[test]
fn one_account_lets_through_what_the_target_takes_and_no_more() {
    for per_s in [0.5, 1.0, 3.0, 40.0] {
        let mut account = [kept(per_s)];
        // A rest beforehand is not made up for.
        let sent = let_through(&mut account, Keeping::Sure, 30_000, 50_000);
        let most = 20.0 * per_s;
        assert!((most.floor()..=most * 1.005 + 1.0).contains(&(sent as f64)), "{per_s}: {sent}");
    }
}

/// An account that moves from instance to instance each second, while instances differ in who keeps it for as
/// long as they may, lets through no more than one that stays.
#[test]
fn an_account_that_moves_again_and_again_lets_through_no_more() {
    for per_s in [0.5, 1.0, 3.0] {
        let mut accounts = [kept(per_s), kept(per_s), kept(per_s)];
        accounts[1..].iter_mut().for_each(|it| it.keep(0, TARGET.0, false));
        let mut sent = 0;
        // The first one has kept it until now.
        for second in 10..40 {
            let now = 1000 * second;
            let keeper = second as usize % 3;
            accounts[keeper].keep(now, TARGET.0, true);
            // The one before hears of it later.
            let before = (keeper + 2) % 3;
            let overlap = &mut accounts[before..=before];
            sent += let_through(overlap, Keeping::Sure, now, now + VIEW_MS);
            accounts[before].keep(now + VIEW_MS, TARGET.0, false);
            sent += let_through(&mut accounts[keeper..=keeper], Keeping::Sure, now, now + 1000);
        }
        assert!(sent as f64 <= 30.0 * per_s + 1.0, "{per_s}: {sent}");
    }
}

/// The sides of a cut, each of which knows that it does not reach all, let through no more than one account.
#[test]
fn the_sides_of_a_cut_let_through_no_more_together() {
    for (sides, reached) in [(2, 4), (4, 2), (8, 1)] {
        let mut accounts = vec![kept(3.0); sides];
        let keeping = Keeping::Unsure { reached, of: 8 };
        let sent = let_through(&mut accounts, keeping, 10_000, 50_000);
        assert!(sent <= 40 * 3 + sides, "{sides}: {sent}");
    }
    // An instance that does not reach one other may be the one that all others do not reach.
    let unsure = Keeping::Unsure { reached: 7, of: 8 };
    assert!(let_through(&mut [kept(3.0)], unsure, 10_000, 50_000) <= 40 * 3 / 2 + 1);
}

/// An instance that has missed the end of a limit does not bring it back at whoever keeps the account.
#[test]
fn a_limit_that_ended_is_not_brought_back_by_who_has_missed_it() {
    let made = |at: Millis| AnswerSpan { sent: at, received: at + 10 };
    let (mut asker, mut keeper) = (TargetLimits::default(), TargetLimits::default());
    for it in [&mut asker, &mut keeper] {
        it.learn(made(1000), TARGET, Some(0.0));
    }
    keeper.learn(made(2000), TARGET, None);
    let told = |asker: &TargetLimits, now| asker.news(now, TARGET.0).unwrap();
    // As long as the keeper remembers the end, the older word changes nothing.
    let news = told(&asker, 30_000);
    assert_eq!(keeper.learn(news.made(30_000), TARGET, news.per_s), Change::Nothing);
    keeper.forget(90_000, |_| true);
    let news = told(&asker, 90_000);
    assert!(keeper.is_stale(&news));
    // A new one is believed.
    asker.learn(made(89_000), TARGET, Some(0.0));
    assert!(!keeper.is_stale(&told(&asker, 90_000)));
}
