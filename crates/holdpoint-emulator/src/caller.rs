//! A caller: it sends requests, reads streams, resumes them elsewhere, and repeats calls by their
//! key.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;
use holdpoint_platform::{CallError, Http};
use holdpoint_schema::caller::{Answer, Problem, Run};
use http_body_util::BodyExt;
use hyper::{Method, Response, body::Incoming};
use serde_json::{Value, json};

/// A request as a caller makes it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Pipeline.
    pub pipeline: String,
    /// Caller key.
    pub bearer: String,
    /// Input.
    pub input: Value,
    /// Patience.
    pub patience: Duration,
    /// Idempotency key, for pipelines that need one.
    pub key: Option<String>,
    /// Whether to read the answer as a stream.
    pub streamed: bool,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A whole answer: its output, and the text of its stream.
    Whole {
        /// The answer.
        answer: Answer,
        /// Text of all chunks in order, where it was streamed.
        text: Option<String>,
        /// Whether the answer was a recorded one.
        replayed: bool,
    },
    /// A problem.
    Problem(Box<Problem>),
    /// No answer that can be understood.
    Silence(CallError),
}

impl Told {
    /// Whether the caller was told that the request was not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Told::Problem(it) if it.run == Run::No)
    }

    /// Whether the caller has the whole answer.
    pub fn is_whole(&self) -> bool {
        matches!(self, Told::Whole { .. })
    }

    /// Kind of the problem, where there is one.
    pub fn problem_kind(&self) -> Option<&str> {
        match self {
            Told::Problem(it) => it.type_.strip_prefix("urn:holdpoint:problem:"),
            Told::Whole { .. } | Told::Silence(_) => None,
        }
    }
}

/// What a caller has of a stream.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// Text so far.
    pub text: String,
    /// Last token seen.
    pub token: Option<String>,
    /// Request id, from the token's stream or a problem.
    pub request: Option<String>,
}

/// How a stream's connection ended.
enum StreamEnd {
    Whole(Answer),
    Problem(Box<Problem>),
    /// To be resumed by the last token.
    Broken,
}

/// Makes a request at one instance, and where that breaks, goes on at the others.
///
/// A request that was certainly not run (refused connection, or told so for the instance's own
/// sake) is made again at the next instance. A broken stream is resumed. A call whose connection
/// broke before an answer is repeated: with the same key where it has one, and freely where the
/// pipeline may be repeated. What counts as lost is a request that has no whole answer after that.
pub async fn request(http: &Http, instances: &[String], first: usize, request: &Request) -> Told {
    let until = Instant::now() + request.patience;
    let mut told = Told::Silence(CallError::NotConnected);
    for turn in 0..2 * instances.len().max(1) {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let address = &instances[(first + turn) % instances.len()];
        told = match once(http, address, request, left).await {
            Once::Told(it) => it,
            // Nothing of it was seen, so there is nothing to resume: it is asked for again.
            Once::Reading(reading) if reading.token.is_none() => Told::Silence(CallError::Broken),
            Once::Reading(reading) => {
                return resume(http, instances, first + turn + 1, request, reading).await;
            }
        };
        let is_not_ready = told.problem_kind() == Some("not-ready");
        let is_lost = matches!(told, Told::Silence(_));
        let is_held = told.problem_kind() == Some("in-progress");
        if is_held {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        if !is_not_ready && !is_lost && !is_held {
            return told;
        }
    }
    told
}

enum Once {
    Told(Told),
    Reading(Reading),
}

async fn once(http: &Http, address: &str, request: &Request, left: Duration) -> Once {
    let path = format!("/v1/pipelines/{}/requests", request.pipeline);
    let mut headers = vec![
        ("authorization", format!("Bearer {}", request.bearer)),
        ("holdpoint-patience-ms", left.as_millis().max(1).to_string()),
    ];
    headers.extend(request.key.clone().map(|it| ("idempotency-key", it)));
    let body = json!({ "input": request.input }).to_string().into_bytes();
    // The answer may come a little after the patience: it is late, but it is not lost.
    let limit = left + Duration::from_secs(2);
    if request.streamed {
        headers.push(("accept", "text/event-stream".to_owned()));
        let opened = http.open(Method::POST, address, &path, &headers, body);
        return match tokio::time::timeout(limit, opened).await {
            Err(_) => Once::Told(Told::Silence(CallError::Timeout)),
            Ok(Err(it)) => Once::Told(Told::Silence(it)),
            Ok(Ok(it)) => read_first(it, limit).await,
        };
    }
    let reply = match http.call(Method::POST, address, &path, &headers, body, limit).await {
        Ok(it) => it,
        Err(it) => return Once::Told(Told::Silence(it)),
    };
    let replayed = reply.headers.contains_key("holdpoint-replayed");
    Once::Told(told(reply.status.is_success(), &reply.body, replayed))
}

async fn read_first(reply: Response<Incoming>, limit: Duration) -> Once {
    if !reply.status().is_success() {
        let body = reply.into_body().collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        return Once::Told(told(false, &body, false));
    }
    let mut reading = Reading::default();
    let read = tokio::time::timeout(limit, read_stream(reply, &mut reading)).await;
    match read {
        Ok(StreamEnd::Whole(answer)) => Once::Told(whole(answer, reading)),
        Ok(StreamEnd::Problem(it)) => Once::Told(Told::Problem(it)),
        Ok(StreamEnd::Broken) => Once::Reading(reading),
        Err(_) => Once::Told(Told::Silence(CallError::Timeout)),
    }
}

/// Goes on reading a broken stream at the other instances.
pub async fn resume(
    http: &Http,
    instances: &[String],
    first: usize,
    request: &Request,
    mut reading: Reading,
) -> Told {
    let limit = request.patience + Duration::from_secs(2);
    for turn in 0..3 * instances.len() {
        let Some(token) = reading.token.clone() else { return Told::Silence(CallError::Broken) };
        let Some(id) = reading.request.clone().or_else(|| request_of(&token)) else {
            return Told::Silence(CallError::BadAnswer);
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
        match read_first_resumed(reply, limit, &mut reading).await {
            StreamEnd::Whole(answer) => return whole(answer, reading),
            StreamEnd::Problem(it) if it.status != 503 => return Told::Problem(it),
            StreamEnd::Problem(_) | StreamEnd::Broken => {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    Told::Silence(CallError::Broken)
}

async fn read_first_resumed(
    reply: Response<Incoming>,
    limit: Duration,
    reading: &mut Reading,
) -> StreamEnd {
    if !reply.status().is_success() {
        let body = reply.into_body().collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        return match serde_json::from_slice(&body) {
            Ok(it) => StreamEnd::Problem(Box::new(it)),
            Err(_) => StreamEnd::Broken,
        };
    }
    let read = tokio::time::timeout(limit, read_stream(reply, reading)).await;
    read.unwrap_or(StreamEnd::Broken)
}

async fn read_stream(reply: Response<Incoming>, reading: &mut Reading) -> StreamEnd {
    let mut events = reply.into_body().into_data_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        if !event.id.is_empty() {
            reading.token = Some(event.id.clone());
        }
        match event.event.as_str() {
            "chunk" => {
                let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
                reading.text.push_str(value["text"].as_str().unwrap_or_default());
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

fn told(is_success: bool, body: &[u8], replayed: bool) -> Told {
    if is_success && let Ok(answer) = serde_json::from_slice(body) {
        return Told::Whole { answer, text: None, replayed };
    }
    match serde_json::from_slice(body) {
        Ok(it) => Told::Problem(Box::new(it)),
        Err(_) => Told::Silence(CallError::BadAnswer),
    }
}

fn whole(answer: Answer, reading: Reading) -> Told {
    Told::Whole { answer, text: Some(reading.text), replayed: false }
}

/// Request id in a token. Its body can be read by anyone; only its tag cannot be made.
fn request_of(token: &str) -> Option<String> {
    use holdpoint_core::token::peek;
    peek(token).map(|it| it.request)
}
