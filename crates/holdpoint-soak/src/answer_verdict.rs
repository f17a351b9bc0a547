//! Checks what became of faulty answers: second ones, those without end, those with an odd head, and those of a
//! sound target that is silent.

use std::{collections::HashSet, ops::RangeInclusive};

use holdpoint_adapter_standin::{EndlessAnswer, EndlessPart, Run, SilentAnswer, Target, names};
use serde_json::Value;

use crate::{
    Millis,
    callers::{Attempt, Outcome, Route},
    fleet::{Fleet, ProxiedTarget, process_of},
    verdict::{Finding, Invariant},
};

/// Most bytes of an endless answer that a target may get rid of where nothing is forwarded: what the process buffers,
/// and what the kernel holds of connections that have been read only a little of.
const MAX_TAKEN_BYTES: usize = 4 << 20;
/// Most bytes beyond those that the caller got, where the answer is forwarded to it or to a peer: the kernel also holds
/// much on the way.
const MAX_UNFORWARDED_BYTES: usize = 48 << 20;
/// Time before its deadline from which on a request may be given up.
pub(crate) const DEADLINE_MARGIN_MS: Millis = 300;

/// Numbers of the faulty answers that targets sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Second answers.
    pub second: u64,
    /// Answers without end.
    pub endless: usize,
    /// Streams with a spoiled event.
    pub spoiled: usize,
    /// Answers with an odd head.
    pub odd: u64,
    /// Answers with a silence in the middle.
    pub silent: usize,
}

impl AnswerCounts {
    pub(crate) fn of(targets: &[ProxiedTarget]) -> AnswerCounts {
        let proxies = || targets.iter().filter_map(|it| it.answers.as_ref());
        AnswerCounts {
            second: proxies().map(|it| it.copies()).sum(),
            endless: proxies().map(|it| it.endless().len()).sum(),
            spoiled: proxies().map(|it| it.spoiled().len()).sum(),
            odd: proxies().map(|it| it.odd()).sum(),
            silent: proxies().map(|it| it.silent().len()).sum(),
        }
    }
}

/// Ids of the requests that got faulty answers.
#[derive(Clone, Debug, Default)]
pub struct FaultyAnswers {
    /// Their bodies were without end, so that their callers can get only a part.
    pub endless: HashSet<String>,
    /// An event was spoiled.
    pub spoiled: HashSet<String>,
}

impl FaultyAnswers {
    pub(crate) fn of(targets: &[ProxiedTarget]) -> FaultyAnswers {
        let endless = targets.iter().flat_map(ProxiedTarget::endless_answers);
        let bodies = endless.filter(|it| matches!(it.part, EndlessPart::Body(_)));
        let proxies = targets.iter().filter_map(|it| it.answers.as_ref());
        FaultyAnswers {
            endless: bodies.map(|it| it.request).collect(),
            spoiled: proxies.flat_map(|it| it.spoiled()).collect(),
        }
    }
}

/// Checks answers without end and silent ones, except those over links that failed, and the inputs of requests.
pub(crate) fn answer_findings(
    fleet: &Fleet,
    attempts: &[Attempt],
    replacements: &[Target],
) -> Vec<Finding> {
    let clock = fleet.clock;
    let failed = fleet.failed_links.lock();
    let interruptions = fleet.interruptions.lock();
    let is_interrupted = |process: usize, span: &RangeInclusive<Millis>| {
        interruptions.get(&process).into_iter().flatten().any(|it| span.contains(it))
    };
    let attempt = |id: &str| attempts.iter().find(|it| it.id == id);
    let mut findings = Vec::new();
    for (index, target) in fleet.targets.iter().enumerate() {
        let has_failed = |span: &RangeInclusive<Millis>, by: Option<usize>| {
            failed.iter().filter(|it| it.target == index).any(|it| {
                let is_other = it.process.zip(by).is_some_and(|(process, by)| process != by);
                !is_other && it.span.start() <= span.end() && span.start() <= it.span.end()
            })
        };
        for it in target.endless_answers() {
            let span = clock.at(it.from)..=it.closed.map_or(Millis::MAX, |it| clock.at(it));
            let by = attempt(&it.request);
            let asked = by.map(|it| it.process);
            let reader = process_of(it.source).or(asked);
            if !has_failed(&span, reader) {
                findings.extend(judge_endless(&it, by, reader != asked));
            }
        }
        for it in target.silent_answers() {
            let Some((closed, attempt)) = it.closed.zip(attempt(&it.request)) else { continue };
            let closed = clock.at(closed);
            let span = attempt.sent..=closed;
            // A process that was cut off from the target sends through another one for a while, which may fail in turn.
            let may_be_relayed = has_failed(&(0..=closed), Some(attempt.process));
            let others_failed = has_failed(&span, None)
                || interruptions.keys().any(|process| is_interrupted(*process, &span));
            let is_excused = is_interrupted(attempt.process, &span)
                || has_failed(&span, Some(attempt.process))
                || may_be_relayed && others_failed;
            if !is_excused {
                findings.extend(judge_silent(&it, closed, attempt));
            }
        }
    }
    let targets = fleet.targets.iter().map(|it| &it.target).chain(replacements);
    findings.extend(judge_inputs(&targets.collect::<Vec<_>>()));
    findings
}

/// Checks that the connection of an endless answer was closed, and that no more of it was taken than what was
/// forwarded to the caller of the attempt and a bounded buffer. `is_relayed`: whether its reader forwards it to the process
/// that the caller asked.
pub fn judge_endless(
    answer: &EndlessAnswer,
    attempt: Option<&Attempt>,
    is_relayed: bool,
) -> Option<Finding> {
    let finding = |detail: String| Finding {
        invariant: Invariant::Bounded,
        id: answer.request.clone(),
        at: attempt.map_or(0, |it| it.sent),
        detail: format!("{:?} of {}: {detail}", answer.part, answer.path),
    };
    if answer.closed.is_none() {
        return Some(finding(format!("connection left open, {} bytes taken", answer.bytes)));
    }
    let forwarded = match attempt.map(|it| &it.outcome) {
        Some(Outcome::Answer { body, .. }) => body.len(),
        // The caller may have read any part of it.
        Some(Outcome::Cancelled | Outcome::TimedOut) => return None,
        Some(Outcome::Closed) | None => 0,
    };
    let is_unary = attempt.is_some_and(|it| it.route.is_unary());
    let is_forwarded = (is_unary || is_relayed) && answer.part != EndlessPart::Head;
    let limit = if is_forwarded { MAX_UNFORWARDED_BYTES } else { MAX_TAKEN_BYTES };
    let is_excessive = forwarded + limit < answer.bytes;
    is_excessive.then(|| finding(format!("{} bytes taken, {forwarded} forwarded", answer.bytes)))
}

/// Checks that a request that may run only once was not given up well before its deadline because its target was silent
/// until `closed`.
pub fn judge_silent(answer: &SilentAnswer, closed: Millis, attempt: &Attempt) -> Option<Finding> {
    let is_due = attempt.sent + attempt.deadline_ms < closed + DEADLINE_MARGIN_MS;
    let is_left = match &attempt.outcome {
        // The caller of a stream may have left after some of its events.
        Outcome::Answer { is_complete, .. } => !attempt.route.is_unary() && !is_complete,
        Outcome::Cancelled | Outcome::TimedOut => true,
        Outcome::Closed => false,
    };
    let runs_once = matches!(attempt.route, Route::Unsafe | Route::Once);
    (runs_once && !is_due && !is_left).then(|| Finding {
        invariant: Invariant::Awaited,
        id: answer.request.clone(),
        at: attempt.sent,
        detail: format!(
            "given up at {closed} ms in the silence of its target: {:?}",
            attempt.outcome
        ),
    })
}

/// Checks that each request and each work item got only results of its own request's stages.
fn judge_inputs(targets: &[&Target]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut check = |id: &str, handles: &mut dyn Iterator<Item = &str>| {
        for handle in handles {
            let origin = targets.iter().find_map(|it| it.item_of(handle));
            let origin = origin.as_ref().and_then(|it| it["id"].as_str());
            if origin != Some(id) {
                let detail = format!("got {handle}, a result of {origin:?}");
                let (invariant, id) = (Invariant::OwnInputs, id.to_owned());
                findings.push(Finding { invariant, id, at: 0, detail });
            }
        }
    };
    for item in targets.iter().flat_map(|it| it.batches()).flatten() {
        let inputs = item["inputs"].as_array().map(Vec::as_slice).unwrap_or_default();
        let id = item["id"].as_str().unwrap_or_default();
        check(id, &mut inputs.iter().filter_map(Value::as_str));
    }
    for run in targets.iter().flat_map(|it| it.runs()) {
        check(&run.request, &mut inputs_of(&run).split(',').filter(|it| !it.is_empty()));
    }
    findings
}

fn inputs_of(run: &Run) -> &str {
    run.headers.get(names::INPUTS).and_then(|it| it.to_str().ok()).unwrap_or_default()
}
