//! Promises, judged by what callers and targets have seen.

use std::{collections::HashMap, fmt};

use holdpoint_adapter_standin::Run;

use crate::{
    Millis,
    callers::{Attempt, Outcome, Route},
};

/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 5;

/// A promise to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A request that may run once runs at most once.
    Once,
    /// A request reported as not run has not run.
    NotRun,
    /// An answer is the whole answer of a target that ran this very request.
    Whole,
    /// No target runs what no caller sent.
    Asked,
    /// What has run is answered, unless the process was killed.
    Answered,
    /// A target gets no more than one and a half times what it names as its limit, and five requests.
    Limited,
    /// A target that said in an answer that it leaves gets nothing of a process that passed it on 2 s before.
    Drained,
    /// A target gets no more than two requests of a process in the time for which it had asked it to back off, half
    /// a second after that.
    BackedOff,
    /// After the last fault each process serves the newest configuration.
    Recovered,
}

impl Promise {
    /// Name of its breach.
    pub fn breach(self) -> &'static str {
        match self {
            Promise::Once => "doubled",
            Promise::NotRun => "falsely-not-run",
            Promise::Whole => "crossed-or-torn",
            Promise::Asked => "unasked",
            Promise::Answered => "lost",
            Promise::Limited => "over-limit",
            Promise::Drained => "sent-to-leaving",
            Promise::BackedOff => "sent-in-backoff",
            Promise::Recovered => "not-recovered",
        }
    }
}

/// One breach of a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Promise that was broken.
    pub promise: Promise,
    /// Id of the request, or name of the process.
    pub id: String,
    /// When the request was sent.
    pub at: Millis,
    /// What was seen.
    pub seen: String,
}

/// Outcome of one soak.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Seed of its plan.
    pub seed: u64,
    /// Processes and callers.
    pub size: (usize, usize),
    /// Faults made.
    pub faults: usize,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered whole with a success.
    pub answered: usize,
    /// Requests refused as not run.
    pub refused: usize,
    /// Breaches.
    pub findings: Vec<Finding>,
}

impl Verdict {
    /// Whether every promise was kept.
    pub fn is_kept(&self) -> bool {
        self.findings.is_empty()
    }

    /// Number of breaches of a promise.
    pub fn count(&self, promise: Promise) -> usize {
        self.findings.iter().filter(|it| it.promise == promise).count()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (processes, callers) = self.size;
        write!(
            f,
            "seed {} processes {processes} callers {callers} faults {} requests {} answered {} refused {}",
            self.seed, self.faults, self.requests, self.answered, self.refused
        )?;
        for promise in [
            Promise::Once,
            Promise::NotRun,
            Promise::Whole,
            Promise::Asked,
            Promise::Answered,
            Promise::Limited,
            Promise::Drained,
            Promise::BackedOff,
            Promise::Recovered,
        ] {
            write!(f, " {} {}", promise.breach(), self.count(promise))?;
        }
        for it in &self.findings {
            write!(f, "\n  {} at {} ms: {} {}", it.promise.breach(), it.at, it.id, it.seen)?;
        }
        Ok(())
    }
}

/// When processes were killed, by process.
pub type Kills = HashMap<usize, Vec<Millis>>;

/// Judges attempts by what targets ran. `runs` has each target's id with its runs.
pub fn judge(attempts: &[Attempt], runs: &[(String, Vec<Run>)], kills: &Kills) -> Vec<Finding> {
    let mut by_id: HashMap<&str, Vec<(&str, &Run)>> = HashMap::new();
    for (target, its) in runs {
        for run in its {
            by_id.entry(&run.request).or_default().push((target, run));
        }
    }
    let mut findings = Vec::new();
    for attempt in attempts {
        let ran = by_id.remove(attempt.id.as_str()).unwrap_or_default();
        judge_one(attempt, &ran, kills, &mut findings);
    }
    let unasked = by_id.into_iter().map(|(id, ran)| Finding {
        promise: Promise::Asked,
        id: id.to_owned(),
        at: 0,
        seen: format!("ran at {}", ran[0].0),
    });
    findings.extend(unasked);
    findings
}

fn judge_one(attempt: &Attempt, ran: &[(&str, &Run)], kills: &Kills, findings: &mut Vec<Finding>) {
    let mut broken = |promise, seen: String| {
        findings.push(Finding { promise, id: attempt.id.clone(), at: attempt.sent, seen });
    };
    let targets: Vec<&str> = ran.iter().map(|it| it.0).collect();
    let runs_once = matches!(attempt.route, Route::Unsafe | Route::Once);
    if runs_once && 1 < ran.len() {
        broken(Promise::Once, format!("ran at {}", targets.join(", ")));
    }
    for (target, run) in ran {
        if run.line != attempt.line() || run.body != attempt.id.as_bytes() {
            broken(Promise::Asked, format!("{target} ran {} with another body or path", run.line));
        }
    }
    match &attempt.outcome {
        Outcome::Answer { status, signature, body, is_whole } => {
            let is_promise = matches!(status, 408 | 421 | 429 | 503) && signature.is_none();
            if is_promise && runs_once && !ran.is_empty() {
                broken(Promise::NotRun, format!("{status}, ran at {}", targets.join(", ")));
            }
            let is_success = (200..300).contains(status);
            let signs = |target: &&str| {
                signature.as_deref() == Some(&format!("stamp-{target}-{}", attempt.id))
            };
            if is_success && !targets.iter().any(signs) {
                broken(Promise::Whole, format!("{status} signed {signature:?}"));
            }
            if is_success && *is_whole && *body != attempt.expected() {
                broken(Promise::Whole, format!("{} bytes that look whole", body.len()));
            }
            let is_held_to_end = attempt.route.has_whole_answer() && !is_whole;
            if is_held_to_end && !was_killed(attempt, kills) {
                broken(Promise::Answered, format!("{status}, cut off midway"));
            }
        }
        Outcome::Closed if attempt.route.has_whole_answer() && !ran.is_empty() => {
            if !was_killed(attempt, kills) {
                broken(Promise::Answered, format!("closed, ran at {}", targets.join(", ")));
            }
        }
        Outcome::Closed | Outcome::Left | Outcome::Silent => (),
    }
}

fn was_killed(attempt: &Attempt, kills: &Kills) -> bool {
    let of_process = kills.get(&attempt.process).map_or(&[][..], Vec::as_slice);
    of_process.iter().any(|it| (attempt.sent..=attempt.ended).contains(it))
}
