//! Checks that processes respect the drain and backoff notices in targets' answers.

use std::{
    collections::{HashMap, HashSet},
    ops::RangeInclusive,
};

use holdpoint_adapter_standin as standin;

use crate::{
    Millis,
    callers::Attempt,
    verdict::{EventTimes, Finding, Invariant},
};

/// Time after a process forwards a drain notice in which new requests may still go to the target.
const DRAIN_MS: Millis = 2000;
/// Time after a backoff request in which requests in flight may still arrive.
const IN_FLIGHT_MS: Millis = 500;
/// Most requests per process that may arrive in the rest of the backoff.
const MAX_IN_BACKOFF: usize = 2;

/// A request that arrived at a target, and the notices in its answer.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Millis,
    /// Request id; empty for calls that a process makes on its own behalf.
    pub request: String,
    /// Whether the answer announced that the target is draining.
    pub has_drain_notice: bool,
    /// Backoff requested by the answer, in milliseconds.
    pub backoff_ms: Option<Millis>,
}

impl Arrival {
    pub(crate) fn new(at: Millis, arrival: standin::Arrival) -> Arrival {
        let backoff_ms = arrival.backoff.map(|it| it.as_millis() as Millis);
        Arrival {
            at,
            request: arrival.request,
            has_drain_notice: arrival.has_drain_notice,
            backoff_ms,
        }
    }
}

/// Arrivals at a target with the notices that it sent.
pub struct Notices<'a> {
    /// Id of the target.
    pub target: &'a str,
    /// Requests in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Time spans in which the target's link failed, so that answers may be lost or late.
    pub outages: Vec<RangeInclusive<Millis>>,
    /// Ids of requests whose answers cannot be read, with the notices in them.
    pub unreadable: HashSet<String>,
}

/// Checks the arrivals at a target against its notices. Arrivals without a matching attempt, such
/// as calls for work items, are ignored.
pub fn judge_notices(
    notices: &Notices<'_>,
    attempts: &[Attempt],
    interruptions: &EventTimes,
) -> Vec<Finding> {
    let attempts: HashMap<&str, &Attempt> =
        attempts.iter().map(|it| (it.id.as_str(), it)).collect();
    let of = |it: &Arrival| attempts.get(it.request.as_str()).copied();
    let is_interrupted = |process: usize, span: RangeInclusive<Millis>| {
        interruptions.get(&process).is_some_and(|its| its.iter().any(|it| span.contains(it)))
    };
    let mut findings = Vec::new();
    let mut notified: HashMap<usize, Millis> = HashMap::new();
    for attempt in notices.arrivals.iter().filter(|it| it.has_drain_notice).filter_map(of) {
        if attempt.is_answered_by(notices.target) {
            let first = notified.entry(attempt.process).or_insert(attempt.ended);
            *first = attempt.ended.min(*first);
        }
    }
    for arrival in &notices.arrivals {
        let Some(attempt) = of(arrival) else { continue };
        let Some(notified) = notified.get(&attempt.process) else { continue };
        let is_late = notified + DRAIN_MS < attempt.sent;
        if is_late && !is_interrupted(attempt.process, *notified..=arrival.at) {
            let detail = format!(
                "reached {} from p{} although an answer forwarded at {notified} ms had announced draining",
                notices.target, attempt.process
            );
            let (id, at) = (arrival.request.clone(), attempt.sent);
            findings.push(Finding { invariant: Invariant::Drained, id, at, detail });
        }
    }
    for notice in &notices.arrivals {
        let (Some(ms), Some(by)) = (notice.backoff_ms, of(notice)) else { continue };
        let span = notice.at..=notice.at + ms;
        let is_lossy =
            notices.outages.iter().any(|it| it.start() <= span.end() && span.start() <= it.end());
        let is_unread = notices.unreadable.contains(&notice.request);
        if is_lossy || is_unread || is_interrupted(by.process, span) {
            continue;
        }
        let in_backoff = |it: &&Arrival| {
            (notice.at + IN_FLIGHT_MS..notice.at + ms).contains(&it.at)
                && of(it).is_some_and(|it| it.process == by.process)
        };
        let count = notices.arrivals.iter().filter(in_backoff).count();
        if MAX_IN_BACKOFF < count {
            let detail = format!(
                "{} asked p{} for {ms} ms of backoff and got {count} requests",
                notices.target, by.process
            );
            let (id, at) = (notice.request.clone(), notice.at);
            findings.push(Finding { invariant: Invariant::BackedOff, id, at, detail });
        }
    }
    findings
}
