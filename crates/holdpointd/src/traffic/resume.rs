//! Resumes a caller's stream from its token. Any instance can do so, since the token names the
//! target, the attempt and the next chunk.

use std::{str::FromStr, sync::Arc, time::Duration};

use axum::{
    extract::{Path, State},
    http::HeaderMap,
    response::{IntoResponse, Response},
};
use holdpoint_core::{
    ids::AttemptId,
    token::{Place, open},
};
use holdpoint_schema::caller::Answer;
use serde_json::json;
use tokio::{sync::mpsc, time::Instant};
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    metrics::label,
    shared::Shared,
    traffic::{
        callers::authenticate,
        generate::ChunkForwarder,
        job::{Sink, StreamEvent},
        problem::{Problem, ProblemKind},
        running::SINK_CAPACITY,
        sse,
        stage::AttemptError,
    },
};

/// Handles `GET /v1/requests/{id}`, with the last token received as `Last-Event-ID`.
pub(crate) async fn resume(
    State(shared): State<Arc<Shared>>,
    Path(request): Path<String>,
    headers: HeaderMap,
) -> Response {
    match read_place(&shared, &request, &headers) {
        Ok(it) => stream(shared, it).await,
        Err(it) => it.with_request(request).into_response(),
    }
}

fn read_place(shared: &Shared, request: &str, headers: &HeaderMap) -> Result<Place, Problem> {
    let view = shared.now();
    if !shared.may_serve(&view) {
        return Err(resume_problem(ProblemKind::NotReady).with_retry_after(1000));
    }
    let (organisation, _) = authenticate(&view, headers)?;
    let token = headers.get("last-event-id").and_then(|it| it.to_str().ok());
    let token =
        token.ok_or_else(|| resume_problem(ProblemKind::BadToken).with_path("Last-Event-ID"))?;
    let place = open(token, &shared.token_keys)
        .map_err(|it| resume_problem(ProblemKind::BadToken).with_detail(format!("{it:?}")))?;
    if place.organisation != *organisation || place.request != request {
        return Err(resume_problem(ProblemKind::Forbidden));
    }
    Ok(place)
}

/// Problem of a resumption. The request itself has been started earlier, so it may have run.
fn resume_problem(kind: ProblemKind) -> Problem {
    Problem::may_have_run(kind)
}

async fn stream(shared: Arc<Shared>, place: Place) -> Response {
    let (sink, events) = mpsc::channel(SINK_CAPACITY);
    let request = place.request.clone();
    let in_flight = shared.in_flight.start();
    tokio::spawn(async move {
        forward(&shared, place, &sink).await;
        drop(in_flight);
    });
    let closed = resume_problem(ProblemKind::StreamGone).with_request(request);
    sse::answer(ReceiverStream::new(events), closed).await
}

async fn forward(shared: &Shared, place: Place, sink: &Sink) {
    shared.metrics.resumes.add(1, &[label("by", "caller")]);
    let limit = Duration::from_millis(shared.settings.limits.max_patience_ms);
    let request = place.request.clone();
    let ended = match AttemptId::from_str(&place.attempt) {
        Err(_) => Err(ProblemKind::BadToken),
        Ok(id) => {
            let started = shared.engines.resume(&place.target, &id, place.next, limit).await;
            let mut forwarder = ChunkForwarder { shared, sink: Some(sink), place };
            match started {
                Err(_) => Err(ProblemKind::StreamGone),
                Ok(it) => match forwarder.forward(it, &id, Instant::now() + limit).await {
                    Ok(res) => Ok(res),
                    Err(AttemptError::Moved | AttemptError::CallerGone) => return,
                    Err(AttemptError::Call(_) | AttemptError::Cut) => Err(ProblemKind::StageFailed),
                },
            }
        }
    };
    let event = match ended {
        Ok(res) => {
            let output = json!({ "chunks": res.chunks });
            StreamEvent::End(Box::new(Answer { request, output, stages: Vec::new() }))
        }
        Err(kind) => StreamEvent::Failed(Box::new(resume_problem(kind).with_request(request))),
    };
    // Fails if the caller has disconnected; its token remains valid.
    drop(sink.send(event).await);
}
