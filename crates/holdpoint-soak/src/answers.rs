//! Checks that requests which were sent whole are answered.

use std::ops::RangeInclusive;

use crate::{
    Millis,
    callers::{Attempt, Outcome},
    verdict::{EventTimes, Finding, Invariant},
};

/// Time after which callers take a request that was sent whole for read.
const READ_AFTER_MS: Millis = 200;
/// Longest time before and after a request within which a suspension of its process may have held it.
const MAX_SUSPENSION_MS: Millis = 1500;

/// What excuses a missing answer.
#[derive(Clone, Copy, Debug)]
pub struct Excuses<'a> {
    /// When processes were killed.
    pub kills: &'a EventTimes,
    /// When processes were suspended or resumed.
    pub suspensions: &'a EventTimes,
    /// Time spans in which the soak itself did not run.
    pub stalls: &'a [RangeInclusive<Millis>],
    /// Whether targets or links break off answers.
    pub breaks_answers: bool,
}

/// Checks that no request which was sent whole ends with a closed connection later than 200 ms afterwards, or without an
/// answer after its deadline, and that answers which are read slowly arrive whole.
pub fn judge_answers(attempts: &[Attempt], excuses: &Excuses<'_>) -> Vec<Finding> {
    let finding = |it: &Attempt| {
        let detail = fault_of(it, excuses)?;
        let (id, at) = (it.id.clone(), it.sent);
        Some(Finding { invariant: Invariant::Answered, id, at, detail })
    };
    attempts.iter().filter_map(finding).collect()
}

fn fault_of(attempt: &Attempt, excuses: &Excuses<'_>) -> Option<String> {
    let (sent, ended) = (attempt.sent, attempt.ended);
    if has_event(excuses.kills, attempt.process, sent..=ended) {
        return None;
    }
    match &attempt.outcome {
        Outcome::Closed => {
            let written = attempt.written?;
            let seen_ms = ended.saturating_sub(written);
            let stalled_ms = stalled(excuses.stalls, written, ended);
            let detail =
                || format!("closed {seen_ms} ms after its last byte, {stalled_ms} of them stalled");
            (READ_AFTER_MS + stalled_ms < seen_ms).then(detail)
        }
        Outcome::TimedOut => {
            let around = sent.saturating_sub(MAX_SUSPENSION_MS)..=ended;
            let is_excused = has_event(excuses.suspensions, attempt.process, around)
                || attempt.answer_bytes != 0;
            (!is_excused).then(|| format!("no answer after {} ms", ended - sent))
        }
        Outcome::Answer { status: 200, body, is_complete: false, .. } => {
            let is_due = attempt.answer_bytes != 0
                && !excuses.breaks_answers
                && ended - sent < attempt.deadline_ms;
            let detail =
                || format!("broken off after {} ms and {} bytes", ended - sent, body.len());
            is_due.then(detail)
        }
        Outcome::Answer { .. } | Outcome::Cancelled => None,
    }
}

fn has_event(times: &EventTimes, process: usize, span: RangeInclusive<Millis>) -> bool {
    times.get(&process).is_some_and(|it| it.iter().any(|it| span.contains(it)))
}

/// Length of the stalls in a time span.
fn stalled(stalls: &[RangeInclusive<Millis>], from: Millis, to: Millis) -> Millis {
    let part =
        |it: &RangeInclusive<Millis>| (*it.end()).min(to).saturating_sub((*it.start()).max(from));
    stalls.iter().map(part).sum()
}
