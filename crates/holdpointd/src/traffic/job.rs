//! One request on its way through the stages of its pipeline.

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

/// What a caller's stream is told.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    /// A chunk, with the token that resumes after it.
    Chunk { token: String, text: String },
    /// The stream goes on at another instance, by this token.
    Moved { token: String },
    /// The whole answer has been sent.
    End(Box<Answer>),
    /// The request failed.
    Failed(Box<Problem>),
}

/// Way to a caller's stream.
pub(crate) type Sink = mpsc::Sender<StreamEvent>;

/// Trial and arm that a request belongs to.
#[derive(Clone, Debug)]
pub(crate) struct InTrial {
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
    pub(crate) call: u64,
    pub(crate) request: String,
    pub(crate) arrived: Millis,
    pub(crate) deadline: Millis,
    pub(crate) key: Option<String>,
    pub(crate) token: Option<Offset>,
    pub(crate) trial: Option<InTrial>,
    pub(crate) ledger: Ledger,
    /// The worst that targets have reported of their load so far.
    pub(crate) load: Mutex<Signal>,
}

/// How a request ended well.
pub(crate) enum Done {
    /// With the whole answer.
    Whole(Answer),
    /// Handed over: the rest is read at another instance.
    Moved,
    /// The caller of a stream has gone; it may resume elsewhere.
    CallerGone,
}

/// Why a stage failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Not enough time was left.
    Late,
    /// No target can be chosen.
    NoTarget(NoTarget),
    /// The pool is no longer there.
    NoPool,
    /// The request was closed while the stage started.
    Closed,
    /// The caller's input lacks a field.
    MissingField(String),
    /// Every attempt failed.
    Failed(CallError),
    /// A stream broke after a part of it went to the caller.
    Cut,
    /// The stream was handed over.
    Moved,
    /// The stream's caller has gone.
    CallerGone,
}

/// A stage that failed.
#[derive(Clone, Debug)]
pub(crate) struct StageFailure {
    pub(crate) stage: Name,
    pub(crate) target: String,
    pub(crate) fault: Fault,
}

/// What a stage gave.
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

    /// Notes the load that a target reported: the worst one counts.
    pub(crate) fn note_load(&self, load: &TargetLoad) {
        let mut worst = self.load.lock();
        *worst = worst.max(Signal::of_load(load.running, load.waiting));
    }

    /// What the targets reported, for the gate.
    pub(crate) fn signal(&self) -> Signal {
        *self.load.lock()
    }

    /// Whether calls of a stage count as running the request: in a pipeline with calls that may
    /// not be repeated, those; elsewhere, all.
    pub(crate) fn counts(&self, stage: usize) -> bool {
        self.graph.spec.is_repeatable() || !self.graph.spec.steps[stage].stage.repeatable
    }

    /// Runs all stages; a stage starts as soon as those that it needs have ended.
    pub(crate) async fn run(&self, sink: Option<&Sink>) -> (Result<Done, StageFailure>, Costs) {
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
                    Err(it) => return (Err(self.missing(index, it.0)), costs),
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
                Err(it) if it.fault == Fault::Moved => return (Ok(Done::Moved), costs),
                Err(it) if it.fault == Fault::CallerGone => return (Ok(Done::CallerGone), costs),
                Err(it) => return (Err(it), costs),
            }
        }
        let output = outputs.remove(&graph.last()).unwrap_or_default();
        let answer = Answer { request: self.request.clone(), output, stages: reports };
        (Ok(Done::Whole(answer)), costs)
    }

    /// The problem that a failed stage makes of the request.
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

    /// What a failed request was lost to.
    pub(crate) fn cause(failure: &StageFailure, kind: ProblemKind) -> Cause {
        Cause {
            stage: failure.stage.clone(),
            target: failure.target.clone(),
            kind: kind.name().to_owned(),
        }
    }

    fn missing(&self, index: usize, field: String) -> StageFailure {
        StageFailure {
            stage: self.graph.spec.steps[index].stage.name.clone(),
            target: String::new(),
            fault: Fault::MissingField(field),
        }
    }
}
