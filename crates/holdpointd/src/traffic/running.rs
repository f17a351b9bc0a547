//! Runs an admitted request, answers it, and records its outcome.
//!
//! The outcome goes to the claim, the trial's statistics, the error budget and the metrics.

use axum::{
    Json,
    response::{IntoResponse, Response},
};
use holdpoint_core::{burn::Cause, ids::Millis};
use holdpoint_schema::caller::{Answer, Run};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    events::{self, emit},
    metrics::label,
    shared::{Shared, Working},
    traffic::{
        admission::Admitted,
        claim::{self, Claim},
        job::{Job, RunOutcome, Sink, StreamEvent},
        problem::{Problem, ProblemKind},
        sse,
    },
};

/// Chunks buffered for a slow caller before reading of its generation pauses.
pub(crate) const SINK_CAPACITY: usize = 64;

/// A request that has been admitted and, if its pipeline may not be repeated, claimed.
pub(crate) struct Running {
    job: Job,
    claim: Option<Claim>,
    admitted: Admitted,
    /// Delays a planned stop until the request has ended.
    _in_flight: Working,
}

impl Running {
    pub(crate) fn new(
        job: Job,
        claim: Option<Claim>,
        admitted: Admitted,
        in_flight: Working,
    ) -> Running {
        Running { job, claim, admitted, _in_flight: in_flight }
    }

    /// Runs the request and answers with one document. A claimed request continues after its caller
    /// disconnects because its outcome must be recorded; any other is cancelled.
    pub(crate) async fn respond(self) -> Result<Response, Problem> {
        let res = if self.claim.is_some() {
            let task = tokio::spawn(self.run(None));
            task.await.unwrap_or_else(|_| Err(Problem::may_have_run(ProblemKind::StageFailed)))
        } else {
            self.run(None).await
        };
        res.map(|it| Json(it).into_response())
    }

    pub(crate) async fn respond_stream(self) -> Response {
        let (sink, events) = mpsc::channel(SINK_CAPACITY);
        let request = self.job.request.clone();
        tokio::spawn(async move {
            let event = match self.run(Some(&sink)).await {
                Ok(Some(it)) => StreamEvent::End(Box::new(it)),
                Ok(None) => return,
                Err(it) => StreamEvent::Failed(Box::new(it)),
            };
            // Fails if the caller has disconnected.
            drop(sink.send(event).await);
        });
        let closed = Problem::may_have_run(ProblemKind::StageFailed).with_request(request);
        sse::answer(ReceiverStream::new(events), closed).await
    }

    /// Runs the stages, records the outcome, and returns the answer; `None` if the stream was
    /// handed over or its caller has disconnected.
    async fn run(mut self, sink: Option<&Sink>) -> Result<Option<Answer>, Problem> {
        let (result, costs) = self.job.run(sink).await;
        self.admitted.set_signal(self.job.signal());
        let now = self.job.shared.clock.now();
        let is_on_time = now <= self.job.deadline;
        let shared = self.job.shared.clone();
        let attained = is_on_time && result.is_ok();
        if let Some(it) = &self.job.trial {
            let stats = shared.traffic.trials.of(&it.trial, Default::default);
            stats.lock().entry(it.arm.clone()).or_default().add(attained, &costs);
        }
        let took = now.saturating_sub(self.job.arrived);
        let pipeline = [label("pipeline", self.job.pipeline.clone())];
        shared.metrics.latency.record(took as f64, &pipeline);
        let ended = match result {
            Ok(RunOutcome::Complete(answer)) => Ok(Some(answer)),
            Ok(RunOutcome::Moved | RunOutcome::CallerGone) => Ok(None),
            Err(failure) => Err((self.job.problem(&failure), failure)),
        };
        match ended {
            Ok(answer) => {
                self.record_success(now, is_on_time, answer.as_ref());
                Ok(answer)
            }
            Err((problem, failure)) => {
                self.record_failure(&problem);
                let cause = Job::cause(&failure, problem.kind());
                self.job.state.burn.lock().bad(now, cause);
                Err(problem)
            }
        }
    }

    fn record_success(&self, now: Millis, is_on_time: bool, answer: Option<&Answer>) {
        let shared = &self.job.shared;
        if is_on_time {
            self.job.state.burn.lock().good(now);
        } else {
            let kind = "late".to_owned();
            let cause = Cause { stage: String::new(), target: String::new(), kind };
            self.job.state.burn.lock().bad(now, cause);
        }
        if let Some(claim) = &self.claim {
            let text = answer.and_then(|it| serde_json::to_string(it).ok());
            claim::settle(shared, claim, text);
        }
        let outcome = if is_on_time { "attained" } else { "late" };
        count(shared, &self.job.pipeline, outcome);
    }

    fn record_failure(&self, problem: &Problem) {
        let shared = &self.job.shared;
        if let Some(claim) = &self.claim {
            match problem.run() {
                Run::No => {
                    claim::release(shared, claim, problem.kind().name());
                }
                _ => {
                    emit(events::OUTCOME_UNKNOWN, &shared.settings.instance, &claim.key.key);
                    claim::settle(shared, claim, None);
                }
            }
        }
        count(shared, &self.job.pipeline, problem.kind().name());
    }
}

/// Increments the request counter of an outcome.
pub(crate) fn count(shared: &Shared, pipeline: &str, outcome: &'static str) {
    let labels = [label("pipeline", pipeline), label("outcome", outcome)];
    shared.metrics.requests.add(1, &labels);
}
