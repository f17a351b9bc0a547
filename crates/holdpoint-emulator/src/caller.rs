//! A caller: sends requests, reads streams, resumes broken streams at other instances, and repeats
//! calls with the same idempotency key.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;
use holdpoint_platform::{CallError, Http};
use holdpoint_schema::caller::{Answer, Problem, Run};
use http_body_util::BodyExt;
use hyper::{Method, Response, body::Incoming};
use serde_json::{Value, json};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Pipeline.
    pub pipeline: String,
    /// Bearer token of the caller.
    pub bearer: String,
    /// Input of the pipeline.
    pub input: Value,
    /// Time in which the caller expects the answer.
    pub timeout: Duration,
    /// Idempotency key, for pipelines that need one.
    pub key: Option<String>,
    /// Whether to read the answer as a stream.
    pub streamed: bool,
}

/// Result of a request, as its caller received it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A whole answer.
    Whole {
        /// The answer.
        answer: Answer,
        /// Text of all chunks in order, if the answer was streamed.
        text: Option<String>,
        /// Whether the answer is replayed from the record of an earlier call.
        replayed: bool,
    },
    /// A problem document.
    Problem(Box<Problem>),
    /// No answer, or one that cannot be parsed.
    Silence(CallError),
}

impl Reply {
    /// Whether a problem states that the request was not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Reply::Problem(it) if it.run == Run::No)
    }

    /// Whether the caller has the whole answer.
    pub fn is_whole(&self) -> bool {
        matches!(self, Reply::Whole { .. })
    }

    /// Kind of the problem, if there is one.
    pub fn problem_kind(&self) -> Option<&str> {
        match self {
            Reply::Problem(it) => it.type_.strip_prefix("urn:holdpoint:problem:"),
            Reply::Whole { .. } | Reply::Silence(_) => None,
        }
    }
}

/// The part of a stream that a caller has read.
#[derive(Clone, Debug, Default)]
pub struct StreamProgress {
    /// Text of the chunks read.
    pub text: String,
    /// Last resume token received.
    pub token: Option<String>,
    /// Request id, from the token's stream or a problem.
    pub request: Option<String>,
}

/// How a stream's connection ended.
enum StreamEnd {
    Whole(Answer),
    Problem(Box<Problem>),
    /// To be resumed from the last token.
    Broken,
}

/// Sends a request to the instance at index `first`, and continues at the others on failure.
///
/// A request without an answer, or with a `not-ready` or `in-progress` problem, is sent again to
/// the next instance, with the same idempotency key if it has one. A broken stream is resumed.
/// Returns the last result when the time or the attempts are used up.
pub async fn request(http: &Http, instances: &[String], first: usize, request: &Request) -> Reply {
    let until = Instant::now() + request.timeout;
    let mut reply = Reply::Silence(CallError::NotConnected);
    for turn in 0..2 * instances.len().max(1) {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let address = &instances[(first + turn) % instances.len()];
        reply = match attempt(http, address, request, left).await {
            Attempt::Replied(it) => it,
            // Without a resume token the request is sent again from the start.
            Attempt::Interrupted(progress) if progress.token.is_none() => {
                Reply::Silence(CallError::Broken)
            }
            Attempt::Interrupted(progress) => {
                return resume(http, instances, first + turn + 1, request, progress).await;
            }
        };
        let is_unready = reply.problem_kind() == Some("not-ready");
        let is_silent = matches!(reply, Reply::Silence(_));
        let is_claimed = reply.problem_kind() == Some("in-progress");
        if is_claimed {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        if !is_unready && !is_silent && !is_claimed {
            return reply;
        }
    }
    reply
}

enum Attempt {
    Replied(Reply),
    Interrupted(StreamProgress),
}

async fn attempt(http: &Http, address: &str, request: &Request, left: Duration) -> Attempt {
    let path = format!("/v1/pipelines/{}/requests", request.pipeline);
    let mut headers = vec![
        ("authorization", format!("Bearer {}", request.bearer)),
        ("holdpoint-patience-ms", left.as_millis().max(1).to_string()),
    ];
    headers.extend(request.key.clone().map(|it| ("idempotency-key", it)));
    let body = json!({ "input": request.input }).to_string().into_bytes();
    // An answer shortly after the timeout counts as late, not as lost.
    let limit = left + Duration::from_secs(2);
    if request.streamed {
        headers.push(("accept", "text/event-stream".to_owned()));
        let opened = http.open(Method::POST, address, &path, &headers, body);
        return match tokio::time::timeout(limit, opened).await {
            Err(_) => Attempt::Replied(Reply::Silence(CallError::Timeout)),
            Ok(Err(it)) => Attempt::Replied(Reply::Silence(it)),
            Ok(Ok(it)) => read_first(it, limit).await,
        };
    }
    let reply = match http.call(Method::POST, address, &path, &headers, body, limit).await {
        Ok(it) => it,
        Err(it) => return Attempt::Replied(Reply::Silence(it)),
    };
    let replayed = reply.headers.contains_key("holdpoint-replayed");
    Attempt::Replied(parse_reply(reply.status.is_success(), &reply.body, replayed))
}

async fn read_first(reply: Response<Incoming>, limit: Duration) -> Attempt {
    if !reply.status().is_success() {
        let body = reply.into_body().collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        return Attempt::Replied(parse_reply(false, &body, false));
    }
    let mut progress = StreamProgress::default();
    let read = tokio::time::timeout(limit, read_stream(reply, &mut progress)).await;
    match read {
        Ok(StreamEnd::Whole(answer)) => Attempt::Replied(complete_reply(answer, progress)),
        Ok(StreamEnd::Problem(it)) => Attempt::Replied(Reply::Problem(it)),
        Ok(StreamEnd::Broken) => Attempt::Interrupted(progress),
        Err(_) => Attempt::Replied(Reply::Silence(CallError::Timeout)),
    }
}

/// Resumes a broken stream, trying the instances in turn from the one at index `first`.
pub async fn resume(
    http: &Http,
    instances: &[String],
    first: usize,
    request: &Request,
    mut progress: StreamProgress,
) -> Reply {
    let limit = request.timeout + Duration::from_secs(2);
    for turn in 0..3 * instances.len() {
        let Some(token) = progress.token.clone() else { return Reply::Silence(CallError::Broken) };
        let Some(id) = progress.request.clone().or_else(|| request_id(&token)) else {
            return Reply::Silence(CallError::BadAnswer);
        };
        let address = &instances[(first + turn) % instances.len()];
        let path = format!("/v1/requests/{id}");
        let headers =
            [("authorization", format!("Bearer {}", request.bearer)), ("last-event-id", token)];
        let opened = http.open(Method::GET, address, &path, &headers, Vec::new());
        let Ok(Ok(reply)) = tokio::time::timeout(limit, opened).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        match read_resumed(reply, limit, &mut progress).await {
            StreamEnd::Whole(answer) => return complete_reply(answer, progress),
            StreamEnd::Problem(it) if it.status != 503 => return Reply::Problem(it),
            StreamEnd::Problem(_) | StreamEnd::Broken => {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    Reply::Silence(CallError::Broken)
}

async fn read_resumed(
    reply: Response<Incoming>,
    limit: Duration,
    progress: &mut StreamProgress,
) -> StreamEnd {
    if !reply.status().is_success() {
        let body = reply.into_body().collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        return match serde_json::from_slice(&body) {
            Ok(it) => StreamEnd::Problem(Box::new(it)),
            Err(_) => StreamEnd::Broken,
        };
    }
    let read = tokio::time::timeout(limit, read_stream(reply, progress)).await;
    read.unwrap_or(StreamEnd::Broken)
}

async fn read_stream(reply: Response<Incoming>, progress: &mut StreamProgress) -> StreamEnd {
    let mut events = reply.into_body().into_data_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        if !event.id.is_empty() {
            progress.token = Some(event.id.clone());
        }
        match event.event.as_str() {
            "chunk" => {
                let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
                progress.text.push_str(value["text"].as_str().unwrap_or_default());
            }
            "moved" => return StreamEnd::Broken,
            "end" => {
                let Ok(answer) = serde_json::from_str(&event.data) else { break };
                return StreamEnd::Whole(answer);
            }
            "problem" => {
                let Ok(problem) = serde_json::from_str(&event.data) else { break };
                return StreamEnd::Problem(Box::new(problem));
            }
            _ => (),
        }
    }
    StreamEnd::Broken
}

fn parse_reply(is_success: bool, body: &[u8], replayed: bool) -> Reply {
    if is_success && let Ok(answer) = serde_json::from_slice(body) {
        return Reply::Whole { answer, text: None, replayed };
    }
    match serde_json::from_slice(body) {
        Ok(it) => Reply::Problem(Box::new(it)),
        Err(_) => Reply::Silence(CallError::BadAnswer),
    }
}

fn complete_reply(answer: Answer, progress: StreamProgress) -> Reply {
    Reply::Whole { answer, text: Some(progress.text), replayed: false }
}

/// Request id in a resume token; the token's body is readable without its key.
fn request_id(token: &str) -> Option<String> {
    use holdpoint_core::token::peek;
    peek(token).map(|it| it.request)
}
