//! Client for generation engines: the OpenAI-compatible completion call with server-sent events.

use std::{pin::Pin, time::Duration};

use eventsource_stream::{Event, Eventsource};
use futures::{Stream, StreamExt};
use holdpoint_core::ids::{AttemptId, Offset};
use holdpoint_schema::platform::{Completion, CompletionChunk, EngineOrder, EngineReport};
use http_body_util::BodyExt;
use hyper::{Method, Response, body::Incoming};

use crate::{
    http::{CallError, Http},
    target::{ATTEMPT, TOKEN, TargetInfo, headers_of, is_echoed, target_info},
};

/// Data of the last event of a stream.
const DONE: &str = "[DONE]";
/// Timeout of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a report or an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// HTTP path of an engine's state report and orders.
const HOLDING_PATH: &str = "/v1/holding";

/// One event of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Generated {
    /// A chunk of text.
    Chunk {
        /// Index within the stream, from 0.
        index: u64,
        /// Text.
        text: String,
    },
    /// Resource usage of the generation.
    Usage {
        /// Engine time, in milliseconds.
        engine_ms: u64,
    },
    /// The end mark.
    End {
        /// Number of chunks in the whole stream.
        chunks: u64,
    },
}

type Events = Pin<Box<dyn Stream<Item = Result<Event, CallError>> + Send>>;

/// A generation in progress.
pub struct Generation {
    attempt: String,
    events: Events,
}

/// Client of engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Http,
}

impl EngineClient {
    /// Creates a client.
    pub fn new(http: Http) -> EngineClient {
        EngineClient { http }
    }

    /// Starts a generation; returns once the engine has accepted it.
    pub async fn start(
        &self,
        address: &str,
        attempt: &AttemptId,
        completion: &Completion,
        limit: Duration,
    ) -> (Result<Generation, CallError>, TargetInfo) {
        let headers = headers_of(attempt, None, None);
        let body = serde_json::to_vec(completion).unwrap_or_default();
        let sent = self.http.open(Method::POST, address, "/v1/completions", &headers, body);
        let reply = match tokio::time::timeout(limit, sent).await {
            Ok(Ok(it)) => it,
            Ok(Err(it)) => return (Err(it), TargetInfo::default()),
            Err(_) => return (Err(CallError::Timeout), TargetInfo::default()),
        };
        let target_info = target_info(reply.headers());
        (generation(reply, attempt), target_info)
    }

    /// Resumes a generation at chunk `next`.
    pub async fn resume(
        &self,
        address: &str,
        attempt: &AttemptId,
        next: u64,
        limit: Duration,
    ) -> Result<Generation, CallError> {
        let mut headers = headers_of(attempt, None, None);
        // The header holds the id of the last event received; before the first chunk there is none.
        if let Some(last) = next.checked_sub(1) {
            headers.push(("last-event-id", last.to_string()));
        }
        let sent = self.http.open(Method::GET, address, "/v1/streams", &headers, Vec::new());
        let reply = tokio::time::timeout(limit, sent).await.map_err(|_| CallError::Timeout)??;
        generation(reply, attempt)
    }

    /// Reads an engine's state report.
    pub async fn report(&self, address: &str) -> Result<EngineReport, CallError> {
        let call =
            self.http.call(Method::GET, address, HOLDING_PATH, &[], Vec::new(), CALL_TIMEOUT);
        let reply = call.await?;
        if !reply.status.is_success() {
            return Err(CallError::Status(reply.status.as_u16()));
        }
        serde_json::from_slice(&reply.body).map_err(|_| CallError::BadAnswer)
    }

    /// Sends an order to an engine, with a fencing token for an engine that checks tokens.
    pub async fn order(
        &self,
        address: &str,
        token: Option<Offset>,
        order: &EngineOrder,
    ) -> Result<(), CallError> {
        let headers: Vec<_> = token.map(|it| (TOKEN, it.to_string())).into_iter().collect();
        let body = serde_json::to_vec(order).unwrap_or_default();
        let reply = self
            .http
            .call(Method::PUT, address, HOLDING_PATH, &headers, body, CALL_TIMEOUT)
            .await?;
        if reply.status.is_success() {
            Ok(())
        } else {
            Err(CallError::Status(reply.status.as_u16()))
        }
    }

    /// Cancels a generation. Errors are ignored: they only waste engine time.
    pub async fn cancel(&self, address: &str, attempt: &str) {
        let headers = [(ATTEMPT, attempt.to_owned())];
        let call = self.http.call(
            Method::DELETE,
            address,
            "/v1/streams",
            &headers,
            Vec::new(),
            CANCEL_TIMEOUT,
        );
        drop(call.await);
    }
}

impl Generation {
    /// Next event; `None` if the connection closed, which need not be the end of the stream.
    pub async fn next(&mut self) -> Option<Result<Generated, CallError>> {
        loop {
            let event = match self.events.next().await? {
                Ok(it) => it,
                Err(it) => return Some(Err(it)),
            };
            match self.generated(&event) {
                Ok(None) => (),
                Ok(Some(it)) => return Some(Ok(it)),
                Err(it) => return Some(Err(it)),
            }
        }
    }

    fn generated(&self, event: &Event) -> Result<Option<Generated>, CallError> {
        let index = event.id.parse::<u64>();
        if event.data == DONE {
            let chunks = index.map_err(|_| CallError::BadAnswer)?;
            return Ok(Some(Generated::End { chunks }));
        }
        let chunk: CompletionChunk =
            serde_json::from_str(&event.data).map_err(|_| CallError::BadAnswer)?;
        if chunk.id != self.attempt {
            return Err(CallError::Crossed);
        }
        if let Some(it) = chunk.usage {
            return Ok(Some(Generated::Usage { engine_ms: it.engine_ms }));
        }
        let Some(choice) = chunk.choices.into_iter().next() else { return Ok(None) };
        let index = index.map_err(|_| CallError::BadAnswer)?;
        Ok(Some(Generated::Chunk { index, text: choice.text }))
    }
}

fn generation(reply: Response<Incoming>, attempt: &AttemptId) -> Result<Generation, CallError> {
    if !reply.status().is_success() {
        return Err(CallError::Status(reply.status().as_u16()));
    }
    if !is_echoed(reply.headers(), attempt) {
        return Err(CallError::Crossed);
    }
    let events = reply
        .into_body()
        .into_data_stream()
        .eventsource()
        .map(|it| it.map_err(|_| CallError::Broken));
    Ok(Generation { attempt: attempt.to_string(), events: Box::pin(events) })
}
