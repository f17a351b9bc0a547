//! Guards against a call with a claimed key that is sent twice: checks every interleaving of a few calls with one key,
//! up to a bound on the length of the log.
//!
//! A call may append each of its records twice, as after a lost answer, pause anywhere, read any prefix of the log
//! that is not older than its last one, and be declared gone while it is only paused. The key's window may end at any
//! point.

use std::collections::{HashSet, VecDeque};

use holdpoint_core::claims::{BadKey, ClaimTable, Claimant, Standing, check_key, stream_of};
use holdpoint_schema::records::{
    ClaimBody, ClaimEntry, ClaimKey, ClaimOutcome, ClaimRelease, ClaimStep,
};

/// A UUID of version 7 with the Unix time 1,645,557,742,000 ms.
const KEY: &str = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
const KEY_TIME_MS: u64 = 1_645_557_742_000;
const WINDOW_MS: u64 = 1000;
/// Maximum number of appends of each kind of record by one call.
const MAX_APPENDS: u8 = 2;
/// Maximum number of records in the log; bounds the run time of the search.
const MAX_RECORDS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    Claim,
    Release,
    Answer,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Claiming,
    Won,
    Sent,
    GaveUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    phase: Phase,
    read: usize,
    claims: u8,
    releases: u8,
    answers: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Call, kind, and whether the record was appended after the key's window.
    log: Vec<(usize, Kind, bool)>,
    calls: Vec<Call>,
    is_expired: bool,
    is_declared_gone: bool,
}

/// Faults that can be injected to check that the search detects them.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// A claim whose holder is declared gone is released, as a lease would be.
    takes_over: bool,
    /// A call may send as soon as its claim is appended, without reading the log.
    sends_unread: bool,
    /// A call that gave up still sends when it reads that it won.
    sends_after_giving_up: bool,
    /// Records appended after the window are valid.
    ignores_window: bool,
}

fn key() -> ClaimKey {
    ClaimKey { organisation: "o".into(), pipeline: "p".into(), key: KEY.into() }
}

fn claimant(call: usize) -> Claimant {
    Claimant { incarnation: format!("i{call}"), call: 1 }
}

fn entry(call: usize, kind: Kind) -> ClaimEntry {
    let step = match kind {
        Kind::Claim => ClaimStep::Claim(ClaimBody { body_hash: "h".into() }),
        Kind::Release => ClaimStep::Release(ClaimRelease { reason: "r".into() }),
        Kind::Answer => ClaimStep::Outcome(ClaimOutcome { answer: Some(format!("a{call}")) }),
        Kind::Gone => ClaimStep::Outcome(ClaimOutcome { answer: None }),
    };
    let it = claimant(call);
    ClaimEntry { key: key(), claimant: it.incarnation, call: it.call, step }
}

fn table(log: &[(usize, Kind, bool)], faults: Faults) -> ClaimTable {
    let mut table = ClaimTable::new(WINDOW_MS);
    for (index, (call, kind, is_late)) in log.iter().enumerate() {
        let is_late = *is_late && !faults.ignores_window;
        let at = KEY_TIME_MS + if is_late { WINDOW_MS + 1 } else { 1 };
        table.apply(index as u64 + 1, at, &[entry(*call, *kind)]);
    }
    table
}

fn standing(state: &State, read: usize, call: usize, faults: Faults) -> Standing {
    table(&state.log[..read], faults).standing(&key(), "h", &claimant(call))
}

/// All states that one step leads to.
fn steps(state: &State, faults: Faults) -> Vec<State> {
    let mut next = Vec::new();
    if !state.is_expired {
        next.push(State { is_expired: true, ..state.clone() });
    }
    for index in 0..state.calls.len() {
        call_steps(state, index, faults, &mut next);
    }
    next
}

fn call_steps(state: &State, index: usize, faults: Faults, next: &mut Vec<State>) {
    let call = &state.calls[index];
    let has_room = state.log.len() < MAX_RECORDS;
    let mut push = |change: &dyn Fn(&mut State)| {
        let mut state = state.clone();
        change(&mut state);
        next.push(state);
    };
    let append = |kind: Kind| {
        move |state: &mut State| {
            let is_late = state.is_expired;
            state.log.push((index, kind, is_late));
        }
    };
    // A repeated append may reach the log after its call has given up.
    if has_room && call.claims < MAX_APPENDS && (call.phase == Phase::Claiming || 0 < call.claims) {
        push(&|it| {
            append(Kind::Claim)(it);
            it.calls[index].claims += 1;
            if faults.sends_unread && it.calls[index].phase == Phase::Claiming {
                it.calls[index].phase = Phase::Won;
            }
        });
    }
    for read in call.read + 1..=state.log.len() {
        let has_won = matches!(standing(state, read, index, faults), Standing::Won(_));
        let may_win = call.phase == Phase::Claiming
            || (faults.sends_after_giving_up && call.phase == Phase::GaveUp);
        push(&|it| {
            it.calls[index].read = read;
            if has_won && may_win {
                it.calls[index].phase = Phase::Won;
            }
        });
    }
    match call.phase {
        Phase::Claiming => push(&|it| it.calls[index].phase = Phase::GaveUp),
        Phase::Won => {
            push(&|it| it.calls[index].phase = Phase::Sent);
            push(&|it| it.calls[index].phase = Phase::GaveUp);
        }
        Phase::Sent if has_room && call.answers < MAX_APPENDS => push(&|it| {
            append(Kind::Answer)(it);
            it.calls[index].answers += 1;
        }),
        Phase::GaveUp if has_room && call.releases < MAX_APPENDS => push(&|it| {
            append(Kind::Release)(it);
            it.calls[index].releases += 1;
        }),
        Phase::Sent | Phase::GaveUp => (),
    }
    // Another call sees this one's claim and declares its instance gone, rightly or wrongly.
    let is_held = matches!(
        standing(state, state.log.len(), usize::MAX, faults),
        Standing::Held(it) if it == claimant(index)
    );
    if has_room && is_held && !state.is_declared_gone {
        let kind = if faults.takes_over { Kind::Release } else { Kind::Gone };
        push(&|it| {
            append(kind)(it);
            it.is_declared_gone = true;
        });
    }
}

/// Checks the invariants of a state; returns the violated one.
fn violation(state: &State, faults: Faults) -> Option<&'static str> {
    let sent = state.calls.iter().filter(|it| it.phase == Phase::Sent).count();
    if 1 < sent {
        return Some("sent twice");
    }
    let done = standing(state, state.log.len(), usize::MAX, faults);
    if let Standing::Done(answer) = &done {
        let holder = state.calls.iter().position(|it| it.phase == Phase::Sent);
        if holder.map(|it| format!("a{it}")).as_ref() != Some(answer) {
            return Some("an answer of a call that was not sent");
        }
    }
    // The key of a sent call must not appear free to others, or it could be claimed again.
    let is_shown_free = done == Standing::Free && !state.is_expired;
    (sent == 1 && is_shown_free).then_some("a sent call's key is free")
}

/// Searches all reachable states; returns their number, or the first violation.
fn search(calls: usize, faults: Faults) -> Result<usize, (&'static str, State)> {
    let call = Call { phase: Phase::Claiming, read: 0, claims: 0, releases: 0, answers: 0 };
    let start = State {
        log: Vec::new(),
        calls: vec![call; calls],
        is_expired: false,
        is_declared_gone: false,
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut open = VecDeque::from([start]);
    while let Some(state) = open.pop_front() {
        if let Some(it) = violation(&state, faults) {
            return Err((it, state));
        }
        for next in steps(&state, faults) {
            if seen.insert(next.clone()) {
                open.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_history_of_two_calls_sends_twice() {
    let states = search(2, Faults::default()).unwrap();
    println!("{states} states of 2 calls and up to {MAX_RECORDS} records");
    assert!(100_000 < states, "the search covered only {states} states");
}

#[test]
fn the_search_detects_each_injected_fault() {
    let cases = [
        Faults { takes_over: true, ..Faults::default() },
        Faults { sends_unread: true, ..Faults::default() },
        Faults { sends_after_giving_up: true, ..Faults::default() },
    ];
    for faults in cases {
        let found = search(2, faults);
        assert!(found.is_err(), "{faults:?}");
    }
}

#[test]
fn a_claim_appended_after_the_window_is_void() {
    let mut table = ClaimTable::new(WINDOW_MS);
    table.apply(1, KEY_TIME_MS + 1, &[entry(0, Kind::Claim)]);
    assert_eq!(table.len(), 1);
    table.apply(2, KEY_TIME_MS + WINDOW_MS + 1, &[entry(1, Kind::Claim)]);
    assert!(table.is_empty(), "the first claim is dropped and the second is void");
    assert_eq!(table.standing(&key(), "h", &claimant(1)), Standing::Free);
}

#[test]
fn a_release_appended_before_its_claim_voids_the_claim() {
    let mut table = ClaimTable::new(WINDOW_MS);
    table.apply(1, KEY_TIME_MS, &[entry(0, Kind::Release)]);
    table.apply(2, KEY_TIME_MS, &[entry(0, Kind::Claim)]);
    assert_eq!(table.standing(&key(), "h", &claimant(0)), Standing::Free);
    table.apply(3, KEY_TIME_MS, &[entry(1, Kind::Claim)]);
    assert_eq!(table.standing(&key(), "h", &claimant(1)), Standing::Won(3));
}

#[test]
fn a_call_that_found_the_key_held_voids_its_own_late_claim() {
    let mut table = ClaimTable::new(WINDOW_MS);
    table.apply(1, KEY_TIME_MS, &[entry(0, Kind::Claim)]);
    // Call 1 has learned that call 0 holds the key; its own claim is still in flight.
    table.apply(2, KEY_TIME_MS, &[entry(1, Kind::Release)]);
    assert_eq!(table.standing(&key(), "h", &claimant(2)), Standing::Held(claimant(0)));
    table.apply(3, KEY_TIME_MS, &[entry(0, Kind::Release)]);
    table.apply(4, KEY_TIME_MS, &[entry(1, Kind::Claim)]);
    assert_eq!(
        table.standing(&key(), "h", &claimant(2)),
        Standing::Free,
        "the key can be claimed again"
    );
}

#[test]
fn another_body_is_a_mismatch() {
    let mut table = ClaimTable::new(WINDOW_MS);
    table.apply(1, KEY_TIME_MS, &[entry(0, Kind::Claim)]);
    assert_eq!(table.standing(&key(), "other", &claimant(1)), Standing::Mismatch);
    assert_eq!(table.standing(&key(), "h", &claimant(1)), Standing::Held(claimant(0)));
}

#[test]
fn keys_are_valid_within_their_window_only() {
    let check = |now| check_key(KEY, now, WINDOW_MS, 10);
    assert_eq!(check(KEY_TIME_MS), Ok(()));
    assert_eq!(check(KEY_TIME_MS - 10), Ok(()));
    assert_eq!(check(KEY_TIME_MS - 11), Err(BadKey::Future));
    // The log's clock may be ahead by the skew, so a key whose claim could be void is refused.
    assert_eq!(check(KEY_TIME_MS + WINDOW_MS - 10), Ok(()));
    assert_eq!(check(KEY_TIME_MS + WINDOW_MS - 9), Err(BadKey::Old));
    assert_eq!(check_key("17", KEY_TIME_MS, WINDOW_MS, 10), Err(BadKey::Format));
    assert_eq!(
        check_key("67e55044-10b1-426f-9247-bb680e5fe0c8", KEY_TIME_MS, WINDOW_MS, 10),
        Err(BadKey::Format)
    );
}

#[test]
fn claims_of_two_organisations_are_independent() {
    let mut other = key();
    other.organisation = "o2".into();
    let mut table = ClaimTable::new(WINDOW_MS);
    table.apply(1, KEY_TIME_MS, &[entry(0, Kind::Claim)]);
    assert_eq!(table.standing(&other, "h", &claimant(1)), Standing::Free);
    assert_eq!(stream_of(&key(), 1), 0);
}
