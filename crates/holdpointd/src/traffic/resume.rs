//! Resumes a caller's stream by its token, at whichever instance the caller reaches.

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
        generate::Outlet,
        job::{Sink, StreamEvent},
        problem::{Problem, ProblemKind},
        running::SINK,
        sse,
        stage::AttemptError,
    },
};

/// `GET /v1/requests/{id}` with the last token seen as `Last-Event-ID`.
pub(crate) async fn resume(
    State(shared): State<Arc<Shared>>,
    Path(request): Path<String>,
    headers: HeaderMap,
) -> Response {
    match place(&shared, &request, &headers) {
        Ok(it) => stream(shared, it).await,
        Err(it) => it.with_request(request).into_response(),
    }
}

fn place(shared: &Shared, request: &str, headers: &HeaderMap) -> Result<Place, Problem> {
    let view = shared.now();
    if !shared.may_serve(&view) {
        return Err(resumable(ProblemKind::NotReady).with_retry_after(1000));
    }
    let (organisation, _) = authenticate(&view, headers)?;
    let token = headers.get("last-event-id").and_then(|it| it.to_str().ok());
    let token = token.ok_or_else(|| resumable(ProblemKind::BadToken).with_path("Last-Event-ID"))?;
    let place = open(token, &shared.token_keys)
        .map_err(|it| resumable(ProblemKind::BadToken).with_detail(format!("{it:?}")))?;
    if place.organisation != *organisation || place.request != request {
        return Err(resumable(ProblemKind::Forbidden));
    }
    Ok(place)
}

/// The request itself was run before; only this reading of it has a problem.
fn resumable(kind: ProblemKind) -> Problem {
    Problem::may_have_run(kind)
}

async fn stream(shared: Arc<Shared>, place: Place) -> Response {
    let (sink, events) = mpsc::channel(SINK);
    let request = place.request.clone();
    let working = shared.in_flight.start();
    tokio::spawn(async move {
        carry(&shared, place, &sink).await;
        drop(working);
    });
    let gone = resumable(ProblemKind::StreamGone).with_request(request);
    sse::answer(ReceiverStream::new(events), gone).await
}

async fn carry(shared: &Shared, place: Place, sink: &Sink) {
    shared.metrics.resumes.add(1, &[label("by", "caller")]);
    let limit = Duration::from_millis(shared.settings.limits.max_patience_ms);
    let request = place.request.clone();
    let ended = match AttemptId::from_str(&place.attempt) {
        Err(_) => Err(ProblemKind::BadToken),
        Ok(id) => {
            let started = shared.engines.resume(&place.target, &id, place.next, limit).await;
            let mut outlet = Outlet { shared, sink: Some(sink), place };
            match started {
                Err(_) => Err(ProblemKind::StreamGone),
                Ok(it) => match outlet.carry(it, &id, Instant::now() + limit).await {
                    Ok(whole) => Ok(whole),
                    Err(AttemptError::Moved | AttemptError::CallerGone) => return,
                    Err(AttemptError::Call(_) | AttemptError::Cut) => Err(ProblemKind::StageFailed),
                },
            }
        }
    };
    let event = match ended {
        Ok(whole) => {
            let output = json!({ "chunks": whole.chunks });
            StreamEvent::End(Box::new(Answer { request, output, stages: Vec::new() }))
        }
        Err(kind) => StreamEvent::Failed(Box::new(resumable(kind).with_request(request))),
    };
    // The caller may have gone; its token stays good.
    drop(sink.send(event).await);
}
