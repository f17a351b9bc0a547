//! When long round trips are the fault of the own link.

use holdpoint_core::queue_delay::QueueDelay;

/// A record of round trips of 2 ms to four remotes.
fn usual() -> QueueDelay {
    let mut delay = QueueDelay::default();
    for remote in ["a", "b", "c", "d"] {
        delay.record(remote, 2.0);
    }
    assert_eq!(delay.take(), Some(0.0));
    delay
}

#[test]
fn a_delay_of_all_remotes_is_that_of_the_own_link() {
    let mut delay = usual();
    for (remote, ms) in [("a", 80.0), ("b", 95.0), ("c", 250.0)] {
        delay.record(remote, ms);
    }
    let least = delay.take().unwrap();
    assert!((77.0..=78.0).contains(&least), "{least}");
}

#[test]
fn slow_remotes_beside_a_fast_one_are_no_sign_of_a_queue() {
    let mut delay = usual();
    for (remote, ms) in [("a", 250.0), ("b", 250.0), ("c", 2.5), ("d", 250.0)] {
        delay.record(remote, ms);
    }
    assert!(delay.take().unwrap() < 1.0);
}

#[test]
fn a_remote_in_a_far_region_is_compared_with_itself() {
    let mut delay = usual();
    delay.record("far", 62.0);
    delay.record("far", 62.5);
    delay.record("a", 70.0);
    assert!(delay.take().unwrap() < 2.0);
}

#[test]
fn one_remote_and_few_round_trips_say_nothing() {
    let mut delay = usual();
    for _ in 0..10 {
        delay.record("a", 300.0);
    }
    assert_eq!(delay.take(), None);
    delay.discard();
    delay.record("a", 300.0);
    delay.record("b", 300.0);
    assert_eq!(delay.take(), None);
}

#[test]
fn a_path_that_has_become_longer_is_usual_after_a_while() {
    let mut delay = usual();
    for _ in 0..300 {
        delay.record("a", 62.0);
        delay.record("b", 62.0);
    }
    delay.discard();
    for remote in ["a", "b", "a"] {
        delay.record(remote, 62.0);
    }
    assert_eq!(delay.take(), Some(0.0));
}

#[test]
fn the_delay_is_known_at_any_number_of_peers() {
    for count in [100, 1000, 2000] {
        let mut delay = QueueDelay::default();
        for round in 0..2 {
            (0..count).for_each(|it| delay.record(&format!("peer-{it}"), 2.0));
            assert_eq!(delay.take(), Some(0.0), "{count} peers, round {round}");
        }
        (0..3).for_each(|it| delay.record(&format!("peer-{it}"), 100.0));
        assert!(97.0 <= delay.take().unwrap(), "{count} peers");
    }
}
