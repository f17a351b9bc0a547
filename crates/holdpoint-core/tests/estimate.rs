//! What a batcher expects of its targets after a time in which pieces waited long.
//!
//! After some faults no process served requests with stages for 20 s and more: with calls of 10 to 12 ms and nothing
//! waiting, 300 requests a second were refused or admitted late ("stage refused: ... expected_ms=1766 due_in_ms=1080
//! waiting=0 return_ms=434575"). Pieces had waited for a second; that was the last that was judged. Late pieces have no
//! prediction to be judged by, and each answered call renewed the trust in the old judgement, so that everything stayed
//! late.

use holdpoint_core::{
    batcher::Batcher,
    pieces::{CallEnd, Sizes, Waiting},
};

const SIZES: Sizes = Sizes {
    calls: 1,
    pieces: 4,
    call_ms: 10.0,
    piece_ms: 1.0,
    room_bytes: 1_000_000,
    keep_ms: 1000,
};

fn batcher() -> Batcher {
    let mut batcher = Batcher::new(SIZES);
    batcher.set_targets([("t", "d", false)].into_iter());
    batcher
}

fn piece(ticket: u64, now: u64, due: u64) -> Waiting {
    let (late_due, deadline) = (now + 4000, now + 5000);
    Waiting { ticket, group: ticket, due, late_due, deadline, bytes: 1, ..Waiting::default() }
}

/// Makes a call of what waits, which is answered 12 ms later.
fn make_call(batcher: &mut Batcher, now: u64) {
    let call = batcher.next(now).expect("something waits");
    batcher.judge(now + 12, &call, 12);
    let handles: Vec<String> = call.pieces.iter().map(|it| format!("h-{}", it.ticket)).collect();
    let handles: Vec<Option<&str>> = handles.iter().map(|it| Some(it.as_str())).collect();
    batcher.ended(now + 12, &call, CallEnd::Answered(12), &handles);
    handles.iter().flatten().for_each(|it| batcher.released(it));
}

#[test]
fn a_wait_that_is_over_is_forgotten_although_only_late_pieces_are_made() {
    let mut batcher = batcher();
    for ticket in 0..60 {
        // Each piece waits for more than a second.
        let now = 1000 + ticket * 1200;
        batcher.offer(now, piece(ticket, now, now + 3000));
        make_call(&mut batcher, now + 1100);
    }
    let begun = 1000 + 60 * 1200;
    assert!(500.0 < batcher.load(begun).bias_ms, "{:?}", batcher.load(begun));
    for round in 0..200 {
        let now = begun + round * 20;
        batcher.offer(now, piece(1000 + round, now, now));
        make_call(&mut batcher, now);
    }
    let load = batcher.load(begun + 4000);
    assert!(load.bias_ms < 50.0 && load.spread_ms < 50.0, "{load:?}");
}

/// Whoever is refused again and again takes no place of its own before all others each time.
#[test]
fn return_times_stay_within_what_callers_can_wait() {
    let mut batcher = batcher();
    let mut times = Vec::new();
    for round in 0..6000 {
        let now = 1000 + round * 3;
        times.push(batcher.return_ms(now, now, 5));
    }
    let last = &times[3000..];
    let (least, most) = (last.iter().min().unwrap(), last.iter().max().unwrap());
    assert!(*most <= 31_000, "{most}");
    assert!(*least < 1000 && 20_000 < *most, "spread over all of that: {least} to {most}");
}
