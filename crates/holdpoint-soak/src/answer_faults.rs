//! Draws the faults of targets' answers: second answers, answers without end, spoiled ones, odd heads, and silence of a sound
//! target.

use std::{ops::RangeInclusive, time::Duration};

use holdpoint_adapter_standin::{
    AnswerFault, EndlessPart, ODD_HEADS, SecondAnswer, SilentPoint, SpoiledPart, names,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Millis,
    plan::{ENCODERS, Fault, FaultKind, TARGETS},
};

/// Number of periods in a soak in which a target sends second answers.
const SECOND_COUNT: usize = 12;
/// Number of the first misleading answers that are refusals.
const REFUSAL_COUNT: usize = 3;
/// Longest delay of a second answer that does not wait for the next request.
const MAX_SECOND_DELAY_MS: u64 = 40;
/// Random stream for second answers.
const SECOND_STREAM: u64 = 5;
/// Number of periods in a soak in which targets of work items run each call twice.
const SECOND_RUN_COUNT: usize = 4;
/// Random stream for second runs.
const SECOND_RUN_STREAM: u64 = 8;
/// Number of periods in a soak in which answers of a target have no end.
const ENDLESS_COUNT: usize = 5;
/// Most correct chunks before a body goes on without end.
const MAX_BEGUN_CHUNKS: usize = 3;
/// Random stream for answers without end.
const ENDLESS_STREAM: u64 = 6;
/// Number of periods in a soak in which a target is silent in the middle of its answers.
const SILENCE_COUNT: usize = 6;
/// Shortest and longest silence.
const SILENCE_MS: RangeInclusive<u64> = 800..=1200;
/// Parts of an answer before which a target may be silent.
const SILENT_PARTS: usize = 3;
/// Random stream for silence.
const SILENCE_STREAM: u64 = 7;
/// Number of periods in a soak in which a target spoils the events of its streams.
const SPOILED_COUNT: usize = 6;
/// Random stream for spoiled events.
const SPOILED_STREAM: u64 = 9;
const SPOILED_PARTS: [SpoiledPart; 4] =
    [SpoiledPart::Id, SpoiledPart::NoId, SpoiledPart::Text, SpoiledPart::Repeated];
/// Number of periods in a soak in which a target runs requests and answers with a status that promises the opposite.
const STATUS_COUNT: usize = 6;
/// Random stream for these.
const STATUS_STREAM: u64 = 10;
const STATUSES: [&str; 4] = [
    "408 Request Timeout",
    "429 Too Many Requests",
    "500 Internal Server Error",
    "503 Service Unavailable",
];
/// Number of periods in a soak in which the heads of a target's answers are odd.
const ODD_COUNT: usize = 6;
/// Random stream for odd heads.
const ODD_STREAM: u64 = 12;
/// Shortest and longest period in which answers are faulty.
const PERIOD_MS: RangeInclusive<Millis> = 300..=1500;
/// Draws the faults of targets' answers; they may overlap.
pub(crate) fn draw(seed: u64, end: Millis) -> Vec<Fault> {
    let mut faults = periods(seed, SECOND_STREAM, SECOND_COUNT, end, |rng| {
        let is_copy = rng.random_bool(0.5);
        // Mostly refusals, which come first.
        let heads = names::MISLEADING_ANSWERS;
        let count = if rng.random_bool(0.7) { REFUSAL_COUNT } else { heads.len() };
        let head = heads[rng.random_range(0..count)];
        let delay = Duration::from_millis(rng.random_range(0..MAX_SECOND_DELAY_MS));
        let delay = rng.random_bool(0.25).then_some(delay);
        let head = (!is_copy).then_some(head);
        AnswerFault::Second(SecondAnswer { head, runs_again: false, delay })
    });
    faults.extend(periods(seed, ENDLESS_STREAM, ENDLESS_COUNT, end, |rng| {
        let begun = rng.random_range(0..=MAX_BEGUN_CHUNKS);
        let is_head = rng.random_bool(0.3);
        AnswerFault::Endless(if is_head { EndlessPart::Head } else { EndlessPart::Body(begun) })
    }));
    faults.extend(periods(seed, SILENCE_STREAM, SILENCE_COUNT, end, |rng| AnswerFault::Silent {
        point: SilentPoint::Before(rng.random_range(0..SILENT_PARTS)),
        time: Duration::from_millis(rng.random_range(SILENCE_MS)),
    }));
    let mut second_runs = periods(seed, SECOND_RUN_STREAM, SECOND_RUN_COUNT, end, |_| {
        AnswerFault::Second(SecondAnswer { head: None, runs_again: true, delay: None })
    });
    for (index, fault) in second_runs.iter_mut().enumerate() {
        if let FaultKind::Answers { target, .. } = &mut fault.kind {
            *target = 2 * TARGETS + index % ENCODERS;
        }
    }
    faults.extend(second_runs);
    faults.extend(spoiled_streams(seed, end));
    faults.extend(periods(seed, STATUS_STREAM, STATUS_COUNT, end, |rng| {
        AnswerFault::Status(STATUSES[rng.random_range(0..STATUSES.len())])
    }));
    faults.extend(periods(seed, ODD_STREAM, ODD_COUNT, end, |rng| AnswerFault::Odd {
        head: ODD_HEADS[rng.random_range(0..ODD_HEADS.len())],
        path: None,
    }));
    faults
}

fn spoiled_streams(seed: u64, end: Millis) -> Vec<Fault> {
    let mut faults = periods(seed, SPOILED_STREAM, SPOILED_COUNT, end, |rng| {
        let part = SPOILED_PARTS[rng.random_range(0..SPOILED_PARTS.len())];
        AnswerFault::Spoiled { part, is_broken: rng.random_bool(0.5) }
    });
    for (index, fault) in faults.iter_mut().enumerate() {
        if let FaultKind::Answers { target, .. } = &mut fault.kind {
            *target = TARGETS + index % TARGETS;
        }
    }
    faults
}

fn periods(
    seed: u64,
    stream: u64,
    count: usize,
    end: Millis,
    fault: impl Fn(&mut ChaCha8Rng) -> AnswerFault,
) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    let period = |index: usize| {
        let at = rng.random_range(0..end.max(1));
        let duration = rng.random_range(PERIOD_MS);
        let target = target(&mut rng, index);
        Fault { at, duration, kind: FaultKind::Answers { target, fault: fault(&mut rng) } }
    };
    (0..count).map(period).collect()
}

/// Draws a target. The services take turns, so that a soak has faulty answers of each kind.
fn target(rng: &mut ChaCha8Rng, index: usize) -> usize {
    match index % 3 {
        0 => rng.random_range(TARGETS..2 * TARGETS),
        1 => rng.random_range(2 * TARGETS..2 * TARGETS + ENCODERS),
        _ => rng.random_range(0..TARGETS),
    }
}
