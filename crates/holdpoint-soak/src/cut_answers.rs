//! Checks that no answer of a sound target is ended before its deadline: by what callers saw in plans in which all targets are
//! sound, and by the causes that processes state in all plans.

use std::collections::HashSet;

use holdpoint_adapter_standin::Run;

use crate::{
    Millis,
    answer_verdict::DEADLINE_MARGIN_MS,
    callers::{Attempt, Outcome},
    verdict::{EventTimes, Finding, Invariant},
};

/// Mark of a log line on an answer that its process ended before it was whole.
const CUT_MARK: &str = " E719 ";
/// Causes that a process may end an answer for at any time.
const FREE_CAUSES: [&str; 3] = ["time-over", "caller-gone", "unread"];
/// Cause of answers that a target breaks off.
const BROKEN_CAUSE: &str = "broken";
/// Cause of answers that a stop ends.
const STOP_CAUSE: &str = "stopping";
/// Longest time from the request to stop until a request whose answer the stop may end, as a share of the grace period.
const STOPPED_SHARE: u64 = 2;

/// When processes were asked to stop.
#[derive(Clone, Copy, Debug)]
pub struct Stops<'a> {
    /// Times by process.
    pub times: &'a EventTimes,
    /// Time from the request to stop until a process ends its last answers.
    pub grace_ms: Millis,
    /// Time after that within which its cuts are seen.
    pub margin_ms: Millis,
}

impl Stops<'_> {
    /// Whether a stop may end an answer of a process at this time: in the last sixth of the grace period, if its request was
    /// sent early enough.
    fn may_cut(&self, process: usize, sent: Millis, at: Millis) -> bool {
        let from = self.grace_ms - self.grace_ms / 6;
        let span = from..=self.grace_ms + self.margin_ms;
        let latest = self.grace_ms / STOPPED_SHARE;
        let mut times = self.times.get(&process).into_iter().flatten();
        times.any(|it| {
            sent <= it + latest && at.checked_sub(*it).is_some_and(|it| span.contains(&it))
        })
    }
}

/// An answer that its process ended before it was whole, as its log tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutAnswer {
    /// Index of the process.
    pub process: usize,
    /// When the log line was read.
    pub at: Millis,
    /// Cause that the process gives.
    pub cause: String,
    /// Time that was left until the deadline.
    pub left_ms: Millis,
    /// Log line.
    pub line: String,
}

impl CutAnswer {
    /// Reads a log line; `None` if it tells of something else.
    pub fn read(process: usize, at: Millis, line: &str) -> Option<CutAnswer> {
        let (_, rest) = line.split_once(CUT_MARK)?;
        let field = |name: &str| {
            let found = rest.split_whitespace().find_map(|it| it.strip_prefix(name));
            found.unwrap_or_default().to_owned()
        };
        // A line without the time counts as one long before the deadline.
        let left_ms = field("left_ms=").parse().unwrap_or(Millis::MAX);
        Some(CutAnswer { process, at, cause: field("cause="), left_ms, line: line.to_owned() })
    }
}

/// Checks the causes for which processes ended answers before they were whole. `breaks_answers`: whether targets or links break
/// off answers.
pub fn judge_cut_lines(
    cuts: &[CutAnswer],
    stops: &Stops<'_>,
    breaks_answers: bool,
) -> Vec<Finding> {
    let is_fault = |it: &&CutAnswer| match it.cause.as_str() {
        _ if it.left_ms <= DEADLINE_MARGIN_MS => false,
        STOP_CAUSE => !stops.may_cut(it.process, 0, it.at),
        BROKEN_CAUSE => !breaks_answers,
        cause => !FREE_CAUSES.contains(&cause),
    };
    let finding = |it: &CutAnswer| Finding {
        invariant: Invariant::Whole,
        id: format!("p{}", it.process),
        at: it.at,
        detail: it.line.clone(),
    };
    cuts.iter().filter(is_fault).map(finding).collect()
}

/// Checks that no answer was ended before its deadline, and none refused that a target ran. `runs` pairs each target's id
/// with its runs.
pub fn judge_cut(
    attempts: &[Attempt],
    runs: &[(String, Vec<Run>)],
    stops: &Stops<'_>,
) -> Vec<Finding> {
    let ran: HashSet<&str> =
        runs.iter().flat_map(|it| &it.1).map(|it| it.request.as_str()).collect();
    let finding = |it: &Attempt| {
        let detail = fault_of(it, ran.contains(it.id.as_str()))?;
        let is_due = it.sent + it.deadline_ms <= it.ended + DEADLINE_MARGIN_MS;
        let is_excused = is_due || stops.may_cut(it.process, it.sent, it.ended);
        let (id, at) = (it.id.clone(), it.sent);
        let detail = format!("{:?} {detail} after {} ms", it.route, it.ended - it.sent);
        (!is_excused).then_some(Finding { invariant: Invariant::Whole, id, at, detail })
    };
    attempts.iter().filter_map(finding).collect()
}

fn fault_of(attempt: &Attempt, has_run: bool) -> Option<String> {
    let Outcome::Answer { status, body, is_complete, .. } = &attempt.outcome else { return None };
    match status {
        200 if !is_complete && !attempt.has_left => Some(format!("cut after {} bytes", body.len())),
        408 | 421 | 429 | 503 if has_run => Some(format!("answered {status} although it ran")),
        408 | 421 | 429 | 503 => None,
        500.. => Some(format!("answered {status}")),
        _ => None,
    }
}
