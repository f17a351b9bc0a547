//! Paths of an instance to its targets: when requests go through peers, and when back.

use holdpoint_core::reach::{Path, Reach, Trial};

const TARGETS: [&str; 4] = ["a", "b", "c", "d"];
/// Time for which requests try silent paths.
const TRIED_MS: u64 = 9_000;

/// Loses a path, and learns that peers reach the target.
fn cut(reach: &mut Reach, now: u64, target: &str) {
    reach.record_loss(now, target, "s");
    reach.record_relayed(now, target, "s");
}

fn is_relayed(reach: &mut Reach, now: u64, target: &str) -> bool {
    reach.path(now, target, "s", Trial::Forbidden) == Path::Relayed
}

#[test]
fn a_lost_path_is_used_again_only_after_a_probe_and_an_answer() {
    let mut reach = Reach::default();
    assert!(!is_relayed(&mut reach, 0, "a"));
    cut(&mut reach, 0, "a");
    assert!(is_relayed(&mut reach, 10, "a") && !is_relayed(&mut reach, 10, "b"));
    assert_eq!(reach.due_probes(10, 4), Vec::<String>::new());
    assert_eq!(reach.due_probes(300, 4), ["a"]);
    reach.record_open(310, "a");
    // One request that may be repeated tries the path, others wait for its answer.
    assert_eq!(reach.path(320, "a", "s", Trial::Forbidden), Path::Relayed);
    assert_eq!(reach.path(320, "a", "s", Trial::Affordable), Path::Direct);
    assert_eq!(reach.path(320, "a", "s", Trial::Affordable), Path::Relayed);
    assert!(reach.record_answer(330, "a", "s"));
    assert!(!is_relayed(&mut reach, 330, "a"));
}

#[test]
fn a_service_without_requests_that_may_be_repeated_gets_its_paths_back() {
    let mut reach = Reach::default();
    cut(&mut reach, 0, "a");
    reach.record_open(300, "a");
    assert!(is_relayed(&mut reach, 1000, "a") && !is_relayed(&mut reach, 1800, "a"));
    // Where connections could be made all the time, a new one proves nothing.
    reach.record_unanswered(0, "b", "s");
    reach.record_unanswered(1, "b", "s");
    reach.record_open(300, "b");
    assert!(is_relayed(&mut reach, 9000, "b"));
}

#[test]
fn probes_become_rarer_while_a_path_flaps() {
    let mut reach = Reach::default();
    let mut probes = 0;
    for second in 0..20 {
        let now = second * 1000;
        if second % 2 == 0 {
            cut(&mut reach, now, "a");
        }
        for tick in 0..10 {
            probes += reach.due_probes(now + 100 * tick, 4).len();
        }
        if second % 2 == 1 {
            reach.record_answer(now + 900, "a", "s");
        }
    }
    assert!((1..=20).contains(&probes), "{probes} probes in 20 s");
}

/// Guards against an instance that takes crashes of targets for its own isolation.
#[test]
fn only_losses_that_peers_do_not_share_isolate_an_instance() {
    let mut reach = Reach::default();
    for target in TARGETS {
        reach.record_loss(0, target, "s");
        reach.record_target_lost(0, target);
    }
    assert!(!reach.is_isolated("s") && reach.unreached(0).is_empty());
    assert!(!reach.is_lost(0, "a"), "its own path is tried again");
    assert_eq!(reach.closed_count("s"), 4);
    cut(&mut reach, 10, "a");
    assert!(!reach.is_isolated("s"));
    cut(&mut reach, 10, "b");
    assert!(reach.is_isolated("s") && !reach.is_isolated("other"));
    assert!(is_relayed(&mut reach, 10, "never-tried"));
}

#[test]
fn an_answer_ends_the_isolation_and_ownership_returns_after_a_hold() {
    let mut reach = Reach::default();
    TARGETS.iter().for_each(|it| cut(&mut reach, 0, it));
    assert_eq!(reach.unreached(0), ["s"]);
    reach.record_answer(5000, "a", "s");
    assert!(!reach.is_isolated("s"));
    assert_eq!(reach.unreached(5000), Vec::<String>::new(), "nothing has asked in between");
    cut(&mut reach, 6000, "a");
    assert!(!reach.is_isolated("s"), "losses before the answer do not count");
    cut(&mut reach, 6000, "b");
    assert_eq!(reach.unreached(6000), ["s"]);
    reach.record_answer(6100, "a", "s");
    assert_eq!(reach.unreached(7900), ["s"]);
    assert_eq!(reach.unreached(8100), Vec::<String>::new());
}

#[test]
fn two_exchanges_without_an_answer_lose_a_path_and_an_answer_between_them_does_not() {
    let mut reach = Reach::default();
    assert!(!reach.record_unanswered(0, "a", "s"));
    reach.record_answer(10, "a", "s");
    assert!(!reach.record_unanswered(20, "a", "s"));
    assert!(reach.record_unanswered(30, "a", "s"));
    assert!(reach.is_lost(30, "a") && !reach.is_cut("a"), "the target may be at fault");
    // A request that tries the path and has no answer loses it again at once.
    reach.record_open(400, "a");
    assert_eq!(reach.path(400, "a", "s", Trial::Affordable), Path::Direct);
    reach.record_unanswered(500, "a", "s");
    assert!(is_relayed(&mut reach, 2100, "a"));
}

#[test]
fn state_is_removed_with_the_target_and_after_a_time_without_faults() {
    let mut reach = Reach::default();
    TARGETS.iter().for_each(|it| cut(&mut reach, 0, it));
    TARGETS[1..].iter().for_each(|it| reach.remove(it));
    assert!(!reach.is_isolated("s"));
    assert_eq!(reach.lost_count(), 1);
    reach.record_answer(100, "a", "s");
    reach.remove_expired(200);
    cut(&mut reach, 300, "a");
    assert_eq!(reach.due_probes(700, 4), Vec::<String>::new(), "the second loss in a short time");
    reach.record_answer(800, "a", "s");
    reach.remove_expired(6000);
    cut(&mut reach, 6000, "a");
    assert_eq!(reach.due_probes(6300, 4), ["a"]);
}

/// Guards against a check for each request that grows with the number of lost targets.
#[test]
fn the_choice_of_a_path_does_not_scan_the_targets() {
    for count in [100, 1_000, 2_000] {
        let mut reach = Reach::default();
        let names: Vec<String> = (0..count).map(|it| format!("t-{it}")).collect();
        names.iter().for_each(|it| cut(&mut reach, 0, it));
        assert!(names.iter().all(|it| reach.path(10, it, "s", Trial::Affordable) == Path::Relayed));
        assert_eq!(reach.due_probes(300, 4).len(), 4);
    }
}

/// Loses a path on which connections can still be made, and learns that peers reach the target.
fn silence(reach: &mut Reach, now: u64, target: &str) {
    reach.record_unanswered(now, target, "s");
    reach.record_unanswered(now, target, "s");
    reach.record_relayed(now, target, "s");
}

/// Number of requests that try a path in `TRIED_MS` after all paths of a service fell silent. Each finds no answer.
fn trials_of(targets: usize, trial: Trial) -> usize {
    let mut reach = Reach::default();
    let names: Vec<String> = (0..targets).map(|it| format!("t-{it}")).collect();
    names.iter().for_each(|it| silence(&mut reach, 0, it));
    let mut trials = 0;
    for now in (0..TRIED_MS).step_by(10) {
        let target = &names[now as usize / 10 % targets];
        reach.due_probes(now, targets).iter().for_each(|it| reach.record_open(now, it));
        if reach.path(now, target, "s", trial) == Path::Direct {
            trials += 1;
            reach.record_unanswered(now, target, "s");
        }
    }
    trials
}

/// Guards against callers of an isolated instance whose requests each try another silent path, and find no answer.
#[test]
fn the_trials_of_an_isolated_instance_do_not_grow_with_the_number_of_its_silent_paths() {
    for targets in [2, 4, 40, 400] {
        let trials = trials_of(targets, Trial::Affordable);
        assert!((1..=8).contains(&trials), "{trials} trials of {targets} paths in {TRIED_MS} ms");
    }
}

/// Guards against requests that try a silent path after the retry budget is used up, and fail at their callers.
#[test]
fn a_request_that_could_not_be_sent_again_tries_no_path_that_was_silent_shortly_before() {
    assert_eq!(trials_of(4, Trial::Costly), 0);
    let mut reach = Reach::default();
    TARGETS.iter().for_each(|it| silence(&mut reach, 0, it));
    reach.record_open(300, "a");
    assert_eq!(reach.path(9_000, "a", "s", Trial::Costly), Path::Relayed);
    assert_eq!(
        reach.path(11_000, "a", "s", Trial::Costly),
        Path::Direct,
        "it is not lost for ever"
    );
    assert!(reach.record_answer(11_010, "a", "s"));
    assert!(!is_relayed(&mut reach, 11_010, "a"));
}
