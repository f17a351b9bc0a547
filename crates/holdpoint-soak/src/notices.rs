//! Judges what processes sent to targets that had said they want nothing.

use std::{collections::HashMap, ops::RangeInclusive};

use holdpoint_adapter_standin as standin;

use crate::{
    Millis,
    callers::Attempt,
    verdict::{Finding, Kills, Promise},
};

/// From when on after an answer that says that its target leaves nothing new may arrive from its process.
const DRAIN_MS: Millis = 2000;
/// How long after it has asked for a back-off a target may get what was under way.
const UNDER_WAY_MS: Millis = 500;
/// Requests that it may get after that.
const MOST_IN_BACKOFF: usize = 2;

/// A request that arrived at a target, and what its answer said.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Millis,
    /// Id of the request; empty for a call of a process's own.
    pub request: String,
    /// Whether the answer said that the target leaves.
    pub says_leaving: bool,
    /// The back-off that the answer asked for.
    pub backoff_ms: Option<Millis>,
}

impl Arrival {
    pub(crate) fn new(at: Millis, arrival: standin::Arrival) -> Arrival {
        let backoff_ms = arrival.rest.map(|it| it.as_millis() as Millis);
        Arrival { at, request: arrival.request, says_leaving: arrival.says_leaving, backoff_ms }
    }
}

/// What a target said, and what arrived there.
pub struct Notices<'a> {
    /// Id of the target.
    pub target: &'a str,
    /// Requests that arrived, in their order.
    pub arrivals: Vec<Arrival>,
    /// When its link failed: answers were lost or late then.
    pub cuts: Vec<RangeInclusive<Millis>>,
}

/// Judges what arrived at a target. Calls for pieces are left out, since they tell no process.
pub fn judge_notices(
    notices: &Notices<'_>,
    attempts: &[Attempt],
    disturbances: &Kills,
) -> Vec<Finding> {
    let attempts: HashMap<&str, &Attempt> =
        attempts.iter().map(|it| (it.id.as_str(), it)).collect();
    let of = |it: &Arrival| attempts.get(it.request.as_str()).copied();
    let is_disturbed = |process: usize, span: RangeInclusive<Millis>| {
        disturbances.get(&process).is_some_and(|its| its.iter().any(|it| span.contains(it)))
    };
    let mut findings = Vec::new();
    let mut told: HashMap<usize, Millis> = HashMap::new();
    for attempt in notices.arrivals.iter().filter(|it| it.says_leaving).filter_map(of) {
        if attempt.is_answered_by(notices.target) {
            let first = told.entry(attempt.process).or_insert(attempt.ended);
            *first = attempt.ended.min(*first);
        }
    }
    for arrival in &notices.arrivals {
        let Some(attempt) = of(arrival) else { continue };
        let Some(told) = told.get(&attempt.process) else { continue };
        let is_late = told + DRAIN_MS < attempt.sent;
        if is_late && !is_disturbed(attempt.process, *told..=arrival.at) {
            let seen = format!(
                "reached {} from p{} although an answer passed on at {told} ms said that it leaves",
                notices.target, attempt.process
            );
            let (id, at) = (arrival.request.clone(), attempt.sent);
            findings.push(Finding { promise: Promise::Drained, id, at, seen });
        }
    }
    for asked in &notices.arrivals {
        let (Some(ms), Some(by)) = (asked.backoff_ms, of(asked)) else { continue };
        let span = asked.at..=asked.at + ms;
        let is_cut =
            notices.cuts.iter().any(|it| it.start() <= span.end() && span.start() <= it.end());
        if is_cut || is_disturbed(by.process, span) {
            continue;
        }
        let in_backoff = |it: &&Arrival| {
            (asked.at + UNDER_WAY_MS..asked.at + ms).contains(&it.at)
                && of(it).is_some_and(|it| it.process == by.process)
        };
        let count = notices.arrivals.iter().filter(in_backoff).count();
        if MOST_IN_BACKOFF < count {
            let seen =
                format!("{} asked p{} for {ms} ms and got {count}", notices.target, by.process);
            let (id, at) = (asked.request.clone(), asked.at);
            findings.push(Finding { promise: Promise::BackedOff, id, at, seen });
        }
    }
    findings
}
