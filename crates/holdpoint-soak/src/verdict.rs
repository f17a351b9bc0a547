//! Checks the invariants of a soak against what callers and targets observed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    ops::RangeInclusive,
};

use bytes::Bytes;
use holdpoint_adapter_standin::Run;

use crate::{
    Millis,
    answer_verdict::{AnswerCounts, FaultyAnswers},
    callers::{Attempt, Outcome, Route, split_events},
};

/// Text before the version in the data of an event.
const VERSION_MARK: &str = " by ";

/// Statuses that an answer may have.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;
/// Number of events in a complete stream.
pub(crate) const EVENTS: u64 = 5;

/// Guarantee that the ingress gives to callers and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that must not be retried runs at most once.
    AtMostOnce,
    /// A request reported as not run has not run.
    NotRun,
    /// A successful answer comes from a target that ran this request, and is not truncated unnoticed.
    Intact,
    /// Targets run only requests that callers sent, unchanged.
    Requested,
    /// A request that was sent whole is answered or refused, unless its process was killed or its connection was closed
    /// within 200 ms.
    Answered,
    /// A target receives at most one and a half times its limit plus five requests.
    WithinLimit,
    /// A target receives no new requests from a process 2 s after the process forwarded its drain
    /// notice.
    Drained,
    /// A target receives at most two requests from a process during the backoff that it requested,
    /// not counting the first 500 ms.
    BackedOff,
    /// The events of a stream come from one software version, over all attempts of its caller.
    OneVersion,
    /// While most new connections go to one process, requests that were read are served at least three quarters as often
    /// as at other times.
    ServedInCrowds,
    /// The connection of an answer without end is closed, and what is not forwarded is not buffered without bound.
    Bounded,
    /// A request that may run only once is not given up before its deadline because its target is silent for a while.
    Awaited,
    /// The answer of a sound target is not ended before its deadline, nor is one refused that it works on.
    Whole,
    /// A request and its work items get only results of its own stages.
    OwnInputs,
    /// After the last fault each process serves the newest configuration.
    Recovered,
}

impl Invariant {
    /// Label of its violations in the verdict's output.
    pub fn label(self) -> &'static str {
        match self {
            Invariant::AtMostOnce => "doubled",
            Invariant::NotRun => "falsely-not-run",
            Invariant::Intact => "crossed-or-torn",
            Invariant::Requested => "unasked",
            Invariant::Answered => "lost",
            Invariant::WithinLimit => "over-limit",
            Invariant::Drained => "sent-to-leaving",
            Invariant::BackedOff => "sent-in-backoff",
            Invariant::OneVersion => "mixed-versions",
            Invariant::ServedInCrowds => "unserved-in-crowd",
            Invariant::Bounded => "unbounded",
            Invariant::Awaited => "not-awaited",
            Invariant::Whole => "cut-short",
            Invariant::OwnInputs => "crossed-inputs",
            Invariant::Recovered => "not-recovered",
        }
    }
}

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Invariant that was violated.
    pub invariant: Invariant,
    /// Id of the request or target, or name of the process.
    pub id: String,
    /// When the request was sent or the violation began; 0 if unknown.
    pub at: Millis,
    /// Description of the observation.
    pub detail: String,
}

/// Outcome of one soak.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Seed of the plan.
    pub seed: u64,
    /// Numbers of processes and callers.
    pub size: (usize, usize),
    /// Number of faults injected.
    pub faults: usize,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests with a complete answer of status 200.
    pub answered: usize,
    /// Number of requests with a complete answer of status 503.
    pub refused: usize,
    /// Number of resumed streams that went on to their end, and of all attempts to resume one.
    pub resumed: (usize, usize),
    /// Number of large answers that were read slowly and whole, and of all requests for one.
    pub read_slowly: (usize, usize),
    /// Faulty answers that targets sent.
    pub faulty_answers: AnswerCounts,
    /// Violations found.
    pub findings: Vec<Finding>,
}

impl Verdict {
    /// Whether no invariant was violated.
    pub fn is_passed(&self) -> bool {
        self.findings.is_empty()
    }

    /// Number of violations of an invariant.
    pub fn count(&self, invariant: Invariant) -> usize {
        self.findings.iter().filter(|it| it.invariant == invariant).count()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (processes, callers) = self.size;
        write!(
            f,
            "seed {} processes {processes} callers {callers} faults {} requests {} answered {} refused {} \
             resumed {} of {} read-slowly {} of {} second {} endless {} spoiled {} odd {} silent {}",
            self.seed,
            self.faults,
            self.requests,
            self.answered,
            self.refused,
            self.resumed.0,
            self.resumed.1,
            self.read_slowly.0,
            self.read_slowly.1,
            self.faulty_answers.second,
            self.faulty_answers.endless,
            self.faulty_answers.spoiled,
            self.faulty_answers.odd,
            self.faulty_answers.silent
        )?;
        for invariant in [
            Invariant::AtMostOnce,
            Invariant::NotRun,
            Invariant::Intact,
            Invariant::Requested,
            Invariant::Answered,
            Invariant::WithinLimit,
            Invariant::Drained,
            Invariant::BackedOff,
            Invariant::OneVersion,
            Invariant::ServedInCrowds,
            Invariant::Bounded,
            Invariant::Awaited,
            Invariant::Whole,
            Invariant::OwnInputs,
            Invariant::Recovered,
        ] {
            write!(f, " {} {}", invariant.label(), self.count(invariant))?;
        }
        for it in &self.findings {
            write!(f, "\n  {} at {} ms: {} {}", it.invariant.label(), it.at, it.id, it.detail)?;
        }
        Ok(())
    }
}

/// Times of an event, such as a kill, by process.
pub type EventTimes = HashMap<usize, Vec<Millis>>;

/// Checks attempts against the requests that targets ran. `runs` pairs each target's id with its
/// runs.
pub fn judge(
    attempts: &[Attempt],
    runs: &[(String, Vec<Run>)],
    kills: &EventTimes,
) -> Vec<Finding> {
    judge_with_faulty(attempts, runs, kills, &FaultyAnswers::default())
}

/// The same, beside requests that got faulty answers.
pub fn judge_with_faulty(
    attempts: &[Attempt],
    runs: &[(String, Vec<Run>)],
    kills: &EventTimes,
    faulty: &FaultyAnswers,
) -> Vec<Finding> {
    let mut by_id: HashMap<&str, Vec<(&str, &Run)>> = HashMap::new();
    for (target, target_runs) in runs {
        for run in target_runs {
            by_id.entry(&run.request).or_default().push((target, run));
        }
    }
    let mut findings = Vec::new();
    for attempt in attempts {
        let ran = by_id.remove(attempt.id.as_str()).unwrap_or_default();
        judge_attempt(attempt, &ran, (kills, faulty), &mut findings);
    }
    let spurious = by_id.into_iter().map(|(id, ran)| Finding {
        invariant: Invariant::Requested,
        id: id.to_owned(),
        at: 0,
        detail: format!("ran at {}", ran[0].0),
    });
    findings.extend(spurious);
    findings.extend(mixed_streams(attempts));
    findings
}

/// Smallest share of the requests read in a crowd that is served, relative to that at other times.
const MIN_CROWD_SHARE: f64 = 0.75;
/// Fewest requests read in a crowd from which on it is judged.
const MIN_CROWD_REQUESTS: usize = 20;

/// Checks that crowds leave the service to requests that were read as it is at other times. A connection that was
/// closed without an answer was not read.
pub fn judge_crowds(attempts: &[Attempt], crowds: &[RangeInclusive<Millis>]) -> Vec<Finding> {
    let share = |is_in: &dyn Fn(Millis) -> bool| {
        let read = attempts.iter().filter(|it| is_in(it.sent)).filter_map(is_served);
        let read: Vec<bool> = read.collect();
        let served = read.iter().filter(|it| **it).count();
        (served, read.len())
    };
    let usual = share(&|at| crowds.iter().all(|it| !it.contains(&at)));
    let finding = |crowd: &RangeInclusive<Millis>| {
        let (served, read) = share(&|at| crowd.contains(&at));
        let least = MIN_CROWD_SHARE * read as f64 * usual.0 as f64 / usual.1.max(1) as f64;
        (MIN_CROWD_REQUESTS <= read && (served as f64) < least).then(|| Finding {
            invariant: Invariant::ServedInCrowds,
            id: "crowd".to_owned(),
            at: *crowd.start(),
            detail: format!("{served} of {read} served, {} of {} at other times", usual.0, usual.1),
        })
    };
    crowds.iter().filter_map(finding).collect()
}

/// Whether a request that was read was served; `None` if it was not read or its caller left on purpose.
fn is_served(attempt: &Attempt) -> Option<bool> {
    match &attempt.outcome {
        Outcome::Answer { status, .. } => Some(*status == 200),
        Outcome::TimedOut => Some(false),
        Outcome::Closed | Outcome::Cancelled => None,
    }
}

/// Streams with events of several versions, over all attempts of their callers.
fn mixed_streams(attempts: &[Attempt]) -> Vec<Finding> {
    let mut streams: BTreeMap<&str, (Millis, BTreeSet<String>)> = BTreeMap::new();
    for it in attempts.iter().filter(|it| !it.route.is_unary()) {
        let Outcome::Answer { status: 200, body, .. } = &it.outcome else { continue };
        let versions = split_events(body).into_iter().filter_map(|it| version_of(&it));
        let (_, all) = streams.entry(it.first_attempt()).or_insert((it.sent, BTreeSet::new()));
        all.extend(versions);
    }
    let mixed = streams.into_iter().filter(|it| 1 < it.1.1.len());
    let finding = |(id, (at, versions)): (&str, (Millis, BTreeSet<String>))| Finding {
        invariant: Invariant::OneVersion,
        id: id.to_owned(),
        at,
        detail: format!("holds events of {versions:?}"),
    };
    mixed.map(finding).collect()
}

/// Version that an event states.
fn version_of(event: &str) -> Option<String> {
    event.rsplit_once(VERSION_MARK).map(|it| it.1.to_owned())
}

/// A body without the versions that its events state.
fn without_versions(body: &Bytes) -> Bytes {
    let Ok(text) = std::str::from_utf8(body) else { return body.clone() };
    if !text.contains(VERSION_MARK) {
        return body.clone();
    }
    let line = |it: &str| it.split_once(VERSION_MARK).map_or(it, |it| it.0).to_owned();
    Bytes::from(text.split('\n').map(line).collect::<Vec<_>>().join("\n"))
}

fn judge_attempt(
    attempt: &Attempt,
    ran: &[(&str, &Run)],
    (kills, faulty): (&EventTimes, &FaultyAnswers),
    findings: &mut Vec<Finding>,
) {
    let mut report = |invariant, detail: String| {
        findings.push(Finding { invariant, id: attempt.id.clone(), at: attempt.sent, detail });
    };
    let targets: Vec<&str> = ran.iter().map(|it| it.0).collect();
    let runs_once = matches!(attempt.route, Route::Unsafe | Route::Once);
    if runs_once && 1 < ran.len() {
        report(Invariant::AtMostOnce, format!("ran at {}", targets.join(", ")));
    }
    for (target, run) in ran {
        if run.request_line != attempt.request_line() || run.body != attempt.id.as_bytes() {
            report(
                Invariant::Requested,
                format!("{target} ran {} with another body or path", run.request_line),
            );
        }
    }
    match &attempt.outcome {
        Outcome::Answer { status, signature, body, is_complete } => {
            let is_rejection = matches!(status, 408 | 421 | 429 | 503);
            if is_rejection && runs_once && !ran.is_empty() {
                report(Invariant::NotRun, format!("{status}, ran at {}", targets.join(", ")));
            }
            if !FINAL_STATUSES.contains(status) {
                report(Invariant::Intact, format!("{status} is no final status"));
            }
            let is_success = (200..300).contains(status);
            let is_signed = |target: &&str| {
                signature.as_deref() == Some(&format!("stamp-{target}-{}", attempt.id))
            };
            if is_success && !targets.iter().any(is_signed) {
                report(Invariant::Intact, format!("{status} signed {signature:?}"));
            }
            let is_spoiled = faulty.spoiled.contains(&attempt.id);
            if is_success && !is_expected(attempt, body, *is_complete, is_spoiled) {
                let detail = format!(
                    "{} unexpected bytes, complete {is_complete}, spoiled {is_spoiled}: events {:?}",
                    body.len(),
                    event_ids(body)
                );
                report(Invariant::Intact, detail);
            }
            // Large answers are forwarded while they arrive, so that a fault of their target breaks them off.
            let is_collected = attempt.route.is_unary() && attempt.answer_bytes == 0;
            let is_truncated = is_collected && !is_complete;
            let is_endless = faulty.endless.contains(&attempt.id);
            if is_truncated && !is_endless && !was_killed(attempt, kills) {
                report(Invariant::Answered, format!("{status}, body truncated"));
            }
        }
        Outcome::Closed if attempt.route.is_unary() && !ran.is_empty() => {
            if !was_killed(attempt, kills) {
                report(Invariant::Answered, format!("closed, ran at {}", targets.join(", ")));
            }
        }
        Outcome::Closed | Outcome::Cancelled | Outcome::TimedOut => (),
    }
}

/// Whether the body of a success is the expected one, as far as it was received. Where the target has spoiled an event,
/// the ids of the events still rise, and none is missing from a whole stream that may be resumed.
fn is_expected(attempt: &Attempt, body: &Bytes, is_complete: bool, is_spoiled: bool) -> bool {
    let expected = attempt.expected_body();
    match (is_complete, attempt.route.is_unary()) {
        (true, _) if !is_spoiled => without_versions(body) == expected,
        (false, true) => true,
        (false, false) if !is_spoiled => {
            let whole = body.windows(2).rposition(|it| it == b"\n\n").map_or(0, |it| it + 2);
            expected.starts_with(&without_versions(&body.slice(..whole)))
        }
        (true, _) if attempt.route != Route::Once => event_ids(body) == event_ids(&expected),
        _ => event_ids(body).is_sorted_by(|a, b| a < b),
    }
}

/// Ids of the events of a stream that can be read.
fn event_ids(body: &[u8]) -> Vec<u64> {
    let lines = body.split(|it| *it == b'\n').filter_map(|it| it.strip_prefix(b"id: "));
    lines.filter_map(|it| std::str::from_utf8(it).ok()?.parse().ok()).collect()
}

fn was_killed(attempt: &Attempt, kills: &EventTimes) -> bool {
    let of_process = kills.get(&attempt.process).map_or(&[][..], Vec::as_slice);
    of_process.iter().any(|it| (attempt.sent..=attempt.ended).contains(it))
}
