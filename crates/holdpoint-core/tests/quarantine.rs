//! Which request is held when targets end, and which are cleared.

use holdpoint_core::quarantine::{
    ENDS, EndedRun, Fingerprint, HOLD_MS, Life, Passed, Quarantine, Verdict,
};

fn request(name: &str) -> Fingerprint {
    Fingerprint::new(&[name.as_bytes()])
}

fn end(name: &str, target: &str, born: u64) -> EndedRun {
    let life = Life { target: target.to_owned(), born };
    EndedRun { fingerprint: request(name), service: "engine".to_owned(), life }
}

fn held(verdicts: &[Verdict]) -> Vec<Fingerprint> {
    let held = verdicts.iter().filter_map(|it| match it {
        Verdict::Hold(it, _) => Some(*it),
        _ => None,
    });
    held.collect()
}

#[test]
fn each_part_of_a_request_counts() {
    let parts: [&[u8]; 3] = [b"acme", b"/x", b"body"];
    let of = |parts: &[&[u8]]| Fingerprint::new(parts);
    assert_eq!(of(&parts), of(&parts));
    for index in 0..parts.len() {
        let mut others = parts;
        others[index] = b"other";
        assert_ne!(of(&parts), of(&others));
    }
    assert_ne!(of(&[b"acme/", b"x"]), of(&[b"acme", b"/x"]), "no byte moves to the next part");
    let shown = of(&parts).to_string();
    assert_eq!(shown.parse(), Ok(of(&parts)));
}

#[test]
fn a_request_is_held_after_three_lives_of_targets() {
    let mut quarantine = Quarantine::default();
    for born in 0..2 {
        assert!(quarantine.ended(10, end("deadly", "t", born)));
        assert!(!quarantine.ended(10, end("deadly", "t", born)), "the same life ends once");
        assert_eq!(held(&quarantine.judge(10)), []);
    }
    quarantine.ended(10, end("deadly", "t", 2));
    assert_eq!(held(&quarantine.judge(10)), [request("deadly")]);
    assert_eq!(quarantine.held_ms(11, request("deadly")), Some(HOLD_MS - 1));
    assert_eq!(quarantine.held_ms(10 + HOLD_MS, request("deadly")), None, "it ends by itself");
    assert_eq!(quarantine.judge(11), [], "it is found once");
}

#[test]
fn a_neighbour_is_cleared_by_a_good_end() {
    let mut quarantine = Quarantine::default();
    for round in 0..10 {
        for target in ["t1", "t2"] {
            quarantine.ended(round, end("neighbour", target, round));
        }
        let found = quarantine.judge(round);
        assert_eq!(found, [Verdict::Watch(request("neighbour"))]);
        assert!(quarantine.runs_alone(request("neighbour")));
        assert_eq!(quarantine.passed(request("neighbour"), "stage"), Passed::Nothing);
        assert_eq!(quarantine.passed(request("neighbour"), "engine"), Passed::News);
        assert!(quarantine.is_empty());
    }
}

#[test]
fn ends_that_a_held_request_explains_hold_no_neighbour() {
    let mut quarantine = Quarantine::default();
    for target in ["t1", "t2", "t3"] {
        quarantine.ended(0, end("deadly", target, 0));
    }
    quarantine.judge(0);
    // Told late by an instance that was slow: its runs ended with the same lives.
    for target in ["t1", "t2", "t3"] {
        quarantine.ended(5, end("neighbour", target, 0));
    }
    assert_eq!(held(&quarantine.judge(5)), []);
    quarantine.ended(6, end("neighbour", "t4", 0));
    assert_eq!(held(&quarantine.judge(6)), [request("neighbour")], "an end of its own");
}

#[test]
fn requests_that_met_the_same_ends_are_held_together() {
    let mut quarantine = Quarantine::default();
    for target in ["t1", "t2", "t3"] {
        quarantine.ended(0, end("neighbour", target, 0));
        quarantine.ended(0, end("deadly", target, 0));
    }
    assert_eq!(held(&quarantine.judge(0)).len(), 2, "none can be told from the other");
    let passed = quarantine.passed(request("neighbour"), "engine");
    assert_eq!(passed, Passed::Released, "one was under way still");
    assert_eq!(quarantine.held_ms(1, request("neighbour")), None);
    assert!(quarantine.held_ms(1, request("deadly")).is_some());
}

#[test]
fn what_others_found_counts_and_does_not_last_longer_than_they_say() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.told(0, Verdict::Hold(request("deadly"), 500)));
    assert!(!quarantine.told(0, Verdict::Hold(request("deadly"), 400)));
    assert_eq!(quarantine.held_ms(0, request("deadly")), Some(500));
    assert!(quarantine.told(0, Verdict::Hold(request("absurd"), u64::MAX)));
    assert_eq!(quarantine.held_ms(0, request("absurd")), Some(HOLD_MS));
    assert!(quarantine.told(1, Verdict::Release(request("deadly"))));
    assert_eq!(quarantine.held_ms(1, request("deadly")), None);
    assert!(quarantine.told(1, Verdict::Watch(request("watched"))));
    assert!(quarantine.is_suspect(request("watched")));
    assert!(quarantine.told(1, Verdict::Release(request("watched"))));
    assert!(!quarantine.is_suspect(request("watched")));
}

/// A request that ends its engines has its pieces made without harm. Those that were under way as it was
/// held came back with results, which released it everywhere, and 9 more engines ended.
#[test]
fn a_good_end_at_another_service_releases_nothing() {
    let mut quarantine = Quarantine::default();
    for target in ["t1", "t2", "t3"] {
        quarantine.ended(0, end("deadly", target, 0));
    }
    quarantine.judge(0);
    assert_eq!(quarantine.passed(request("deadly"), "stage"), Passed::Nothing);
    assert!(quarantine.held_ms(0, request("deadly")).is_some());
    let mut told = Quarantine::default();
    told.told(0, Verdict::Hold(request("deadly"), 500));
    told.told(0, Verdict::Watch(request("watched")));
    for name in ["deadly", "watched"] {
        for service in ["stage", "engine"] {
            assert_eq!(told.passed(request(name), service), Passed::News, "whoever judges knows");
        }
        assert!(told.is_suspect(request(name)));
    }
    assert!(told.held_ms(0, request("deadly")).is_some());
}

#[test]
fn old_ends_do_not_add_up() {
    let mut quarantine = Quarantine::default();
    for (index, target) in ["t1", "t2", "t3", "t4"].into_iter().enumerate() {
        quarantine.ended(index as u64 * HOLD_MS, end("rare", target, 0));
        assert_eq!(held(&quarantine.judge(index as u64 * HOLD_MS)), []);
    }
    quarantine.forget(4 * HOLD_MS - 1);
    assert!(quarantine.is_suspect(Fingerprint::new(&[b"rare"])));
    quarantine.forget(4 * HOLD_MS);
    assert!(quarantine.is_empty());
}

#[test]
fn the_number_of_suspects_is_bounded_and_the_newest_are_kept() {
    let mut quarantine = Quarantine::default();
    for index in 0..20_000_u64 {
        quarantine.ended(index, end(&format!("r-{index}"), "t1", 0));
    }
    let known = (0..20_000).filter(|it| quarantine.is_suspect(request(&format!("r-{it}"))));
    let known: Vec<u64> = known.collect();
    assert!((4000..10_000).contains(&known.len()), "{}", known.len());
    assert_eq!(known.last(), Some(&19_999));
    for target in ["t2", "t3"] {
        quarantine.ended(20_000, end("r-19999", target, 0));
    }
    assert_eq!(held(&quarantine.judge(20_000)), [request("r-19999")]);
    assert_eq!(ENDS, 3);
}
