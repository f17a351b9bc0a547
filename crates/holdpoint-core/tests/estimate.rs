//! Guards against a batcher that goes on refusing requests or admitting them late after its backlog has cleared. Late
//! items have no prediction to compare with, so calls of late items alone must not keep an outdated correction alive.

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

fn item(ticket: u64, now: u64, due: u64) -> Waiting {
    let (late_due, deadline) = (now + 4000, now + 5000);
    Waiting { ticket, group: ticket, due, late_due, deadline, bytes: 1, ..Waiting::default() }
}

/// Runs one call of the waiting items, which is answered after 12 ms.
fn run_call(batcher: &mut Batcher, now: u64) {
    let call = batcher.next(now).expect("an item waits");
    batcher.judge(now + 12, &call, 12);
    let handles: Vec<String> = call.pieces.iter().map(|it| format!("h-{}", it.ticket)).collect();
    let handles: Vec<Option<&str>> = handles.iter().map(|it| Some(it.as_str())).collect();
    batcher.ended(now + 12, &call, CallEnd::Answered(12), &handles);
    handles.iter().flatten().for_each(|it| batcher.released(it));
}

#[test]
fn the_correction_for_long_waits_decays_when_only_late_items_are_called() {
    let mut batcher = batcher();
    for ticket in 0..60 {
        // Each item waits for more than a second.
        let now = 1000 + ticket * 1200;
        batcher.offer(now, item(ticket, now, now + 3000));
        run_call(&mut batcher, now + 1100);
    }
    let start = 1000 + 60 * 1200;
    assert!(500.0 < batcher.load(start).bias_ms, "{:?}", batcher.load(start));
    for round in 0..200 {
        let now = start + round * 20;
        batcher.offer(now, item(1000 + round, now, now));
        run_call(&mut batcher, now);
    }
    let load = batcher.load(start + 4000);
    assert!(load.bias_ms < 50.0 && load.spread_ms < 50.0, "{load:?}");
}

/// Guards against retry times that grow without bound when callers are refused again and again.
#[test]
fn retry_times_stay_bounded_and_spread() {
    let mut batcher = batcher();
    let mut times = Vec::new();
    for round in 0..6000 {
        let now = 1000 + round * 3;
        times.push(batcher.return_ms(now, now, 5));
    }
    let last = &times[3000..];
    let (least, most) = (last.iter().min().unwrap(), last.iter().max().unwrap());
    assert!(*most <= 31_000, "latest retry after {most} ms");
    assert!(
        *least < 1000 && 20_000 < *most,
        "retry times are not spread over the range: {least} to {most} ms"
    );
}
