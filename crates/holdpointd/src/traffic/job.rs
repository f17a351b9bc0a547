//! Runs one request through the stages of its pipeline, each as soon as its inputs are available.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use futures::{StreamExt, stream::FuturesUnordered};
use holdpoint_core::{
    admit::Signal,
    burn::Cause,
    catalog::Versioned,
    ids::{Millis, Name, Offset},
    ledger::Ledger,
    pipeline::{Graph, inputs},
    route::NoTarget,
};
use holdpoint_platform::CallError;
use holdpoint_schema::{
    caller::{Answer, StageReport},
    platform::TargetLoad,
    resources::Policy,
};
use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::{
    shared::{Published, Shared},
    traffic::{
        PipelineState,
        problem::{Problem, ProblemKind},
        stage,
    },
};

/// An event of a caller's stream.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    /// A chunk, with the token to resume after it.
    Chunk { token: String, text: String },
    /// The stream can be resumed at another instance with this token.
    Moved { token: String },
    /// The whole answer has been sent.
    End(Box<Answer>),
    /// The request failed.
    Failed(Box<Problem>),
}

/// Sender of a caller's stream.
pub(crate) type Sink = mpsc::Sender<StreamEvent>;

/// Trial and arm that a request belongs to, with the arm's policy.
#[derive(Clone, Debug)]
pub(crate) struct TrialArm {
    pub(crate) trial: Name,
    pub(crate) arm: Name,
    pub(crate) policy: Policy,
}

/// One request.
pub(crate) struct Job {
    pub(crate) shared: Arc<Shared>,
    pub(crate) view: Arc<Published>,
    pub(crate) organisation: Name,
    pub(crate) pipeline: Name,
    pub(crate) graph: Arc<Versioned<Graph>>,
    pub(crate) state: Arc<PipelineState>,
    pub(crate) input: Value,
    /// Sequence number of the request at this instance.
    pub(crate) call: u64,
    /// Request id.
    pub(crate) request: String,
    pub(crate) arrived: Millis,
    pub(crate) deadline: Millis,
    /// Idempotency key; `None` if the pipeline may be repeated.
    pub(crate) key: Option<String>,
    /// Fencing token: offset of the won claim in the log.
    pub(crate) token: Option<Offset>,
    pub(crate) trial: Option<TrialArm>,
    pub(crate) ledger: Ledger,
    /// Highest load that targets have reported for this request.
    pub(crate) load: Mutex<Signal>,
}

/// Outcome of a request that did not fail.
pub(crate) enum RunOutcome {
    /// The complete answer.
    Complete(Answer),
    /// The stream was handed over; the caller resumes it at another instance.
    Moved,
    /// The stream's caller has disconnected; it may resume at another instance.
    CallerGone,
}

/// Why a stage failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The remaining time was too short.
    Late,
    /// No target can be chosen.
    NoTarget(NoTarget),
    /// The pool does not exist.
    NoPool,
    /// The request was closed while the stage started.
    Closed,
    /// The caller's input lacks a field.
    MissingField(String),
    /// The last attempt failed with this error.
    Failed(CallError),
    /// A stream broke after part of it was sent to the caller.
    Cut,
    /// The stream was handed over.
    Moved,
    /// The stream's caller has disconnected.
    CallerGone,
}

/// A stage that failed.
#[derive(Clone, Debug)]
pub(crate) struct StageFailure {
    pub(crate) stage: Name,
    pub(crate) target: String,
    pub(crate) fault: Fault,
}

/// Output of a stage and its report to the caller.
#[derive(Debug)]
pub(crate) struct StageDone {
    pub(crate) output: Value,
    pub(crate) report: StageReport,
}

/// Costs by stage, in engine milliseconds.
pub(crate) type Costs = BTreeMap<Name, u64>;

impl Job {
    /// Time left until the deadline, in milliseconds.
    pub(crate) fn remaining(&self) -> Millis {
        self.deadline.saturating_sub(self.shared.clock.now())
    }

    /// Records the load that a target reported; the highest is kept.
    pub(crate) fn record_load(&self, load: &TargetLoad) {
        let mut worst = self.load.lock();
        *worst = worst.max(Signal::of_load(load.running, load.waiting));
    }

    /// Highest reported load, for admission control.
    pub(crate) fn signal(&self) -> Signal {
        *self.load.lock()
    }

    /// Whether calls of a stage count as running the request. In a pipeline with non-repeatable
    /// stages only their calls do; in any other pipeline all calls do.
    pub(crate) fn is_counted(&self, stage: usize) -> bool {
        self.graph.spec.is_repeatable() || !self.graph.spec.steps[stage].stage.repeatable
    }

    /// Runs all stages; a stage starts as soon as the stages it depends on have ended.
    pub(crate) async fn run(
        &self,
        sink: Option<&Sink>,
    ) -> (Result<RunOutcome, StageFailure>, Costs) {
        let graph = &self.graph.spec;
        let mut outputs: HashMap<usize, Value> = HashMap::new();
        let mut reports = Vec::new();
        let mut costs = Costs::new();
        let mut running = FuturesUnordered::new();
        let mut started = vec![false; graph.steps.len()];
        loop {
            for &index in &graph.order {
                let step = &graph.steps[index];
                let is_ready = step.after.iter().all(|it| outputs.contains_key(it));
                if started[index] || !is_ready {
                    continue;
                }
                started[index] = true;
                let resolved = match inputs(step, &self.input, &outputs) {
                    Ok(it) => it,
                    Err(it) => return (Err(self.missing_field(index, it.0)), costs),
                };
                let sink = sink.filter(|_| index == graph.last());
                running.push(async move { (index, stage::run(self, index, resolved, sink).await) });
            }
            let Some((index, (result, cost))) = running.next().await else { break };
            *costs.entry(graph.steps[index].stage.name.clone()).or_default() += cost;
            match result {
                Ok(done) => {
                    outputs.insert(index, done.output);
                    reports.push(done.report);
                }
                Err(it) if it.fault == Fault::Moved => return (Ok(RunOutcome::Moved), costs),
                Err(it) if it.fault == Fault::CallerGone => {
                    return (Ok(RunOutcome::CallerGone), costs);
                }
                Err(it) => return (Err(it), costs),
            }
        }
        let output = outputs.remove(&graph.last()).unwrap_or_default();
        let answer = Answer { request: self.request.clone(), output, stages: reports };
        (Ok(RunOutcome::Complete(answer)), costs)
    }

    /// Problem of a request whose stage failed; closes the ledger.
    pub(crate) fn problem(&self, failure: &StageFailure) -> Problem {
        let is_unsafe = self.key.is_some();
        let kind = match &failure.fault {
            Fault::Late => ProblemKind::Deadline,
            Fault::NoTarget(_) | Fault::NoPool => ProblemKind::NoTarget,
            Fault::MissingField(_) => ProblemKind::BadRequest,
            Fault::Closed | Fault::Failed(_) | Fault::Cut | Fault::Moved | Fault::CallerGone => {
                ProblemKind::StageFailed
            }
        };
        let proof = self.ledger.close();
        let problem = match proof {
            Ok(proof) => Problem::not_run(kind, proof),
            Err(_) if is_unsafe => Problem::may_have_run(ProblemKind::OutcomeUnknown),
            Err(_) => Problem::may_have_run(kind),
        };
        let problem = match &failure.fault {
            Fault::MissingField(it) => problem.with_path(format!("/input/{it}")),
            Fault::NoTarget(_) | Fault::NoPool => problem.with_retry_after(1000),
            _ => problem,
        };
        let detail = format!("stage {}: {:?}", failure.stage, failure.fault);
        problem.with_detail(detail).with_request(&self.request)
    }

    /// Cause that a failed request is counted under.
    pub(crate) fn cause(failure: &StageFailure, kind: ProblemKind) -> Cause {
        Cause {
            stage: failure.stage.clone(),
            target: failure.target.clone(),
            kind: kind.name().to_owned(),
        }
    }

    fn missing_field(&self, index: usize, field: String) -> StageFailure {
        StageFailure {
            stage: self.graph.spec.steps[index].stage.name.clone(),
            target: String::new(),
            fault: Fault::MissingField(field),
        }
    }
}
