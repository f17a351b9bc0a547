//! Encodes a caller's stream as server-sent events.

use std::convert::Infallible;

use axum::response::{
    IntoResponse, Response,
    sse::{Event, Sse},
};
use futures::{Stream, StreamExt, stream};
use serde_json::json;
use tokio_stream::wrappers::ReceiverStream;

use crate::traffic::{job::StreamEvent, problem::Problem};

/// Answers with a stream once its first event is available. A request that fails before that gets
/// a problem document with its HTTP status; `closed` is the answer if there is no event at all.
pub(crate) async fn answer(mut events: ReceiverStream<StreamEvent>, closed: Problem) -> Response {
    match events.next().await {
        None => closed.into_response(),
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
        StreamEvent::End(answer) => json_event("end", &*answer),
        StreamEvent::Failed(problem) => json_event("problem", &problem.document()),
    }
}

fn json_event(name: &str, value: &impl serde::Serialize) -> Event {
    let data = serde_json::to_string(value).unwrap_or_default();
    Event::default().event(name).data(data)
}

fn fallible(events: impl Stream<Item = Event>) -> impl Stream<Item = Result<Event, Infallible>> {
    events.map(Ok)
}
