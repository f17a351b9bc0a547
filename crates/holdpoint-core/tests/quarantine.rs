//! Which requests are quarantined when targets crash, and which are released.

use holdpoint_core::quarantine::{
    CrashedRun, Fingerprint, Incarnation, QUARANTINE_CRASHES, QUARANTINE_MS, Quarantine,
    SuccessEffect, Verdict,
};

fn request(name: &str) -> Fingerprint {
    Fingerprint::new(&[name.as_bytes()])
}

fn crash(name: &str, target: &str, born: u64) -> CrashedRun {
    let incarnation = Incarnation { target: target.to_owned(), born };
    CrashedRun { fingerprint: request(name), service: "engine".to_owned(), incarnation }
}

fn quarantined(verdicts: &[Verdict]) -> Vec<Fingerprint> {
    let found = verdicts.iter().filter_map(|it| match it {
        Verdict::Hold(it, _) => Some(*it),
        _ => None,
    });
    found.collect()
}

#[test]
fn a_fingerprint_covers_each_part_of_a_request() {
    let parts: [&[u8]; 3] = [b"acme", b"/x", b"body"];
    let of = |parts: &[&[u8]]| Fingerprint::new(parts);
    assert_eq!(of(&parts), of(&parts));
    for index in 0..parts.len() {
        let mut others = parts;
        others[index] = b"other";
        assert_ne!(of(&parts), of(&others));
    }
    assert_ne!(of(&[b"acme/", b"x"]), of(&[b"acme", b"/x"]), "the boundaries of parts count");
    let shown = of(&parts).to_string();
    assert_eq!(shown.parse(), Ok(of(&parts)));
}

#[test]
fn a_request_is_quarantined_after_crashes_of_three_incarnations() {
    let mut quarantine = Quarantine::default();
    for born in 0..2 {
        assert!(quarantine.record_crash(10, crash("deadly", "t", born)));
        assert!(
            !quarantine.record_crash(10, crash("deadly", "t", born)),
            "an incarnation crashes once"
        );
        assert_eq!(quarantined(&quarantine.judge(10)), []);
    }
    quarantine.record_crash(10, crash("deadly", "t", 2));
    assert_eq!(quarantined(&quarantine.judge(10)), [request("deadly")]);
    assert_eq!(quarantine.remaining_ms(11, request("deadly")), Some(QUARANTINE_MS - 1));
    assert_eq!(
        quarantine.remaining_ms(10 + QUARANTINE_MS, request("deadly")),
        None,
        "a quarantine expires"
    );
    assert_eq!(quarantine.judge(11), [], "a request is reported once");
}

#[test]
fn a_concurrent_request_is_cleared_by_a_successful_run() {
    let mut quarantine = Quarantine::default();
    for round in 0..10 {
        for target in ["t1", "t2"] {
            quarantine.record_crash(round, crash("neighbour", target, round));
        }
        let found = quarantine.judge(round);
        assert_eq!(found, [Verdict::Watch(request("neighbour"))]);
        assert!(quarantine.runs_alone(request("neighbour")));
        assert_eq!(
            quarantine.record_success(request("neighbour"), "stage"),
            SuccessEffect::Nothing
        );
        assert_eq!(
            quarantine.record_success(request("neighbour"), "engine"),
            SuccessEffect::Report
        );
        assert!(quarantine.is_empty());
    }
}

#[test]
fn crashes_explained_by_a_quarantined_request_count_for_no_other() {
    let mut quarantine = Quarantine::default();
    for target in ["t1", "t2", "t3"] {
        quarantine.record_crash(0, crash("deadly", target, 0));
    }
    quarantine.judge(0);
    // Reported late by a slow instance: its runs ended in the same crashes.
    for target in ["t1", "t2", "t3"] {
        quarantine.record_crash(5, crash("neighbour", target, 0));
    }
    assert_eq!(quarantined(&quarantine.judge(5)), []);
    quarantine.record_crash(6, crash("neighbour", "t4", 0));
    assert_eq!(
        quarantined(&quarantine.judge(6)),
        [request("neighbour")],
        "a crash not explained by another request"
    );
}

#[test]
fn requests_with_the_same_crashes_are_quarantined_together() {
    let mut quarantine = Quarantine::default();
    for target in ["t1", "t2", "t3"] {
        quarantine.record_crash(0, crash("neighbour", target, 0));
        quarantine.record_crash(0, crash("deadly", target, 0));
    }
    assert_eq!(quarantined(&quarantine.judge(0)).len(), 2, "the two cannot be distinguished");
    let passed = quarantine.record_success(request("neighbour"), "engine");
    assert_eq!(passed, SuccessEffect::Released, "a run in flight succeeded");
    assert_eq!(quarantine.remaining_ms(1, request("neighbour")), None);
    assert!(quarantine.remaining_ms(1, request("deadly")).is_some());
}

#[test]
fn verdicts_of_peers_apply_for_their_stated_time_at_most() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.apply_verdict(0, Verdict::Hold(request("deadly"), 500)));
    assert!(!quarantine.apply_verdict(0, Verdict::Hold(request("deadly"), 400)));
    assert_eq!(quarantine.remaining_ms(0, request("deadly")), Some(500));
    assert!(quarantine.apply_verdict(0, Verdict::Hold(request("absurd"), u64::MAX)));
    assert_eq!(quarantine.remaining_ms(0, request("absurd")), Some(QUARANTINE_MS));
    assert!(quarantine.apply_verdict(1, Verdict::Release(request("deadly"))));
    assert_eq!(quarantine.remaining_ms(1, request("deadly")), None);
    assert!(quarantine.apply_verdict(1, Verdict::Watch(request("watched"))));
    assert!(quarantine.is_suspect(request("watched")));
    assert!(quarantine.apply_verdict(1, Verdict::Release(request("watched"))));
    assert!(!quarantine.is_suspect(request("watched")));
}

/// A request that crashes engines may run at other services without harm. Success there must not release it from
/// quarantine, or more engines crash.
#[test]
fn success_at_another_service_releases_no_request() {
    let mut quarantine = Quarantine::default();
    for target in ["t1", "t2", "t3"] {
        quarantine.record_crash(0, crash("deadly", target, 0));
    }
    quarantine.judge(0);
    assert_eq!(quarantine.record_success(request("deadly"), "stage"), SuccessEffect::Nothing);
    assert!(quarantine.remaining_ms(0, request("deadly")).is_some());
    let mut peer = Quarantine::default();
    peer.apply_verdict(0, Verdict::Hold(request("deadly"), 500));
    peer.apply_verdict(0, Verdict::Watch(request("watched")));
    for name in ["deadly", "watched"] {
        for service in ["stage", "engine"] {
            assert_eq!(
                peer.record_success(request(name), service),
                SuccessEffect::Report,
                "left to the judging instance"
            );
        }
        assert!(peer.is_suspect(request(name)));
    }
    assert!(peer.remaining_ms(0, request("deadly")).is_some());
}

#[test]
fn old_crashes_do_not_accumulate() {
    let mut quarantine = Quarantine::default();
    for (index, target) in ["t1", "t2", "t3", "t4"].into_iter().enumerate() {
        quarantine.record_crash(index as u64 * QUARANTINE_MS, crash("rare", target, 0));
        assert_eq!(quarantined(&quarantine.judge(index as u64 * QUARANTINE_MS)), []);
    }
    quarantine.remove_expired(4 * QUARANTINE_MS - 1);
    assert!(quarantine.is_suspect(Fingerprint::new(&[b"rare"])));
    quarantine.remove_expired(4 * QUARANTINE_MS);
    assert!(quarantine.is_empty());
}

#[test]
fn the_number_of_suspects_is_bounded_and_the_newest_are_kept() {
    let mut quarantine = Quarantine::default();
    for index in 0..20_000_u64 {
        quarantine.record_crash(index, crash(&format!("r-{index}"), "t1", 0));
    }
    let known = (0..20_000).filter(|it| quarantine.is_suspect(request(&format!("r-{it}"))));
    let known: Vec<u64> = known.collect();
    assert!((4000..10_000).contains(&known.len()), "{}", known.len());
    assert_eq!(known.last(), Some(&19_999));
    for target in ["t2", "t3"] {
        quarantine.record_crash(20_000, crash("r-19999", target, 0));
    }
    assert_eq!(quarantined(&quarantine.judge(20_000)), [request("r-19999")]);
    assert_eq!(QUARANTINE_CRASHES, 3);
}

/// Guards against requests that stay quarantined since all instances had lost the paths to their targets for a while.
#[test]
fn a_target_that_is_alive_takes_its_crashes_back() {
    let mut quarantine = Quarantine::default();
    for target in ["t-0", "t-1", "t-2", "t-3"] {
        quarantine.record_crash(10, crash("cut", target, 0));
    }
    quarantine.record_crash(10, crash("neighbour", "t-0", 0));
    assert_eq!(quarantined(&quarantine.judge(10)), [request("cut")]);
    assert_eq!(quarantine.take_unconfirmed(500, 1000), []);
    let mut unconfirmed = quarantine.take_unconfirmed(1010, 1000);
    unconfirmed.sort();
    assert_eq!(unconfirmed.len(), 4);
    assert_eq!(quarantine.take_unconfirmed(5000, 1000), []);
    assert_eq!(quarantine.record_alive(&unconfirmed[0]), [], "three crashes are left");
    assert!(!quarantine.is_suspect(request("neighbour")));
    assert_eq!(quarantine.record_alive(&unconfirmed[1]), [request("cut")]);
    assert_eq!(quarantine.remaining_ms(1010, request("cut")), None);
}
