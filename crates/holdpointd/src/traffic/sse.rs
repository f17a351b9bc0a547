//! Server-sent events to callers.

use std::convert::Infallible;

use axum::response::{
    IntoResponse, Response,
    sse::{Event, Sse},
};
use futures::{Stream, StreamExt, stream};
use serde_json::json;
use tokio_stream::wrappers::ReceiverStream;

use crate::traffic::{job::StreamEvent, problem::Problem};

/// Answers with a stream once its first event is there. A request that fails before it gets a
/// plain problem, with its status.
pub(crate) async fn answer(mut events: ReceiverStream<StreamEvent>, gone: Problem) -> Response {
    match events.next().await {
        None => gone.into_response(),
        Some(StreamEvent::Failed(problem)) => problem.into_response(),
        Some(first) => {
            let all = stream::iter([first]).chain(events).map(event);
            Sse::new(fallible(all)).into_response()
        }
    }
}

fn event(event: StreamEvent) -> Event {
    match event {
        StreamEvent::Chunk { token, text } => {
            let data = json!({ "text": text }).to_string();
            Event::default().event("chunk").id(token).data(data)
        }
        StreamEvent::Moved { token } => Event::default().event("moved").id(token).data("{}"),
        StreamEvent::End(answer) => named("end", &*answer),
        StreamEvent::Failed(problem) => named("problem", &problem.document()),
    }
}

fn named(name: &str, value: &impl serde::Serialize) -> Event {
    let data = serde_json::to_string(value).unwrap_or_default();
    Event::default().event(name).data(data)
}

fn fallible(events: impl Stream<Item = Event>) -> impl Stream<Item = Result<Event, Infallible>> {
    events.map(Ok)
}
