//! A request from admission to its end: how it is answered, recorded and counted.

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
        job::{Done, Job, Sink, StreamEvent},
        problem::{Problem, ProblemKind},
        sse,
    },
};

/// Chunks that wait for a slow caller before its generation is read no further.
pub(crate) const SINK: usize = 64;

/// A request that has been admitted and, where it must be, claimed.
pub(crate) struct Running {
    job: Job,
    claim: Option<Claim>,
    admitted: Admitted,
    /// Keeps a planned stop waiting until the request has ended.
    _working: Working,
}

impl Running {
    pub(crate) fn new(
        job: Job,
        claim: Option<Claim>,
        admitted: Admitted,
        working: Working,
    ) -> Running {
        Running { job, claim, admitted, _working: working }
    }

    /// Runs to the end and answers in one piece. A claimed request runs on even if its caller
    /// goes: its outcome is to be recorded. Any other is given up with its caller.
    pub(crate) async fn answered(self) -> Result<Response, Problem> {
        let whole = if self.claim.is_some() {
            let task = tokio::spawn(self.run(None));
            task.await.unwrap_or_else(|_| Err(Problem::may_have_run(ProblemKind::StageFailed)))
        } else {
            self.run(None).await
        };
        whole.map(|it| Json(it).into_response())
    }

    pub(crate) async fn streamed(self) -> Response {
        let (sink, events) = mpsc::channel(SINK);
        let request = self.job.request.clone();
        tokio::spawn(async move {
            let event = match self.run(Some(&sink)).await {
                Ok(Some(it)) => StreamEvent::End(Box::new(it)),
                Ok(None) => return,
                Err(it) => StreamEvent::Failed(Box::new(it)),
            };
            // The caller may have gone.
            drop(sink.send(event).await);
        });
        let gone = Problem::may_have_run(ProblemKind::StageFailed).with_request(request);
        sse::answer(ReceiverStream::new(events), gone).await
    }

    /// Runs the stages, records how it ended, and returns the whole answer, or nothing where the
    /// rest is read elsewhere.
    async fn run(mut self, sink: Option<&Sink>) -> Result<Option<Answer>, Problem> {
        let (result, costs) = self.job.run(sink).await;
        self.admitted.note(self.job.signal());
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
            Ok(Done::Whole(answer)) => Ok(Some(answer)),
            Ok(Done::Moved | Done::CallerGone) => Ok(None),
            Err(failure) => Err((self.job.problem(&failure), failure)),
        };
        match ended {
            Ok(answer) => {
                self.ended_well(now, is_on_time, answer.as_ref());
                Ok(answer)
            }
            Err((problem, failure)) => {
                self.ended_badly(&problem);
                let cause = Job::cause(&failure, problem.kind());
                self.job.state.burn.lock().bad(now, cause);
                Err(problem)
            }
        }
    }

    fn ended_well(&self, now: Millis, is_on_time: bool, answer: Option<&Answer>) {
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

    fn ended_badly(&self, problem: &Problem) {
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

/// Counts a request under its outcome.
pub(crate) fn count(shared: &Shared, pipeline: &str, outcome: &'static str) {
    let labels = [label("pipeline", pipeline), label("outcome", outcome)];
    shared.metrics.requests.add(1, &labels);
}
