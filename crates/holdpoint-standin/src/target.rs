//! Stand-ins for targets: generation engines, and encoders, retrievers, rerankers and services.

use std::{
    collections::HashMap,
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::State,
    http::{HeaderMap, HeaderValue, StatusCode},
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
    routing::{any, get, post},
};
use futures::{StreamExt, stream};
use holdpoint_schema::platform::{
    Completion, CompletionChoice, CompletionChunk, CompletionUsage, EngineOrder, EngineReport,
    ListState, ListedTarget,
};
use parking_lot::{Mutex, MutexGuard};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::{Notify, Semaphore};

use crate::{
    serve::Server,
    tally::{KeyState, Tally, markers},
};

/// Fault switches of a target. Parts are of a thousand calls.
#[derive(Clone, Debug, Default)]
pub struct TargetFaults {
    /// Added to the time of every call.
    pub delay: Duration,
    /// Calls refused with status 500 before they are run.
    pub error: u32,
    /// Calls run whose answer is then lost.
    pub lose_answer: u32,
    /// Calls that are accepted and never answered.
    pub hang: u32,
    /// Calls answered with another attempt's id.
    pub cross: u32,
    /// Chunks sent twice.
    pub duplicate: u32,
    /// Pairs of chunks sent in the wrong order.
    pub reorder: u32,
    /// Streams cut after half of their chunks.
    pub cut: u32,
    /// Streams cut between their last chunk and the end mark.
    pub cut_end: u32,
    /// Whether the target says that it is leaving.
    pub leaving: bool,
}

/// How a target behaves when nothing fails.
#[derive(Clone, Debug)]
pub struct TargetForm {
    /// Pool that it belongs to.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// Time of one call, or of one step of an engine.
    pub step: Duration,
    /// Calls that it runs at once; more wait.
    pub slots: usize,
    /// Whether it runs a call with an idempotency key that it has seen only once.
    pub checks_keys: bool,
    /// Whether it refuses orders whose fencing token is below the highest it has seen.
    pub checks_tokens: bool,
}

/// An order that an engine has followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Followed {
    /// Fencing token, where one was given.
    pub token: Option<u64>,
    /// What it was to hold.
    pub order: EngineOrder,
}

#[derive(Debug, Default)]
struct Orders {
    followed: Vec<Followed>,
    highest: u64,
    refused: u64,
}

#[derive(Debug, Default)]
struct Buffer {
    chunks: Mutex<Vec<String>>,
    total: usize,
    grown: Notify,
    cancelled: Mutex<bool>,
}

#[derive(Debug)]
struct Inner {
    form: TargetForm,
    incarnation: String,
    faults: Mutex<TargetFaults>,
    rng: Mutex<ChaCha8Rng>,
    tally: Tally,
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    calls: AtomicU64,
    last_call: AtomicU64,
    streams: Mutex<HashMap<String, Arc<Buffer>>>,
    orders: Mutex<Orders>,
}

/// The stand-in.
#[derive(Debug)]
pub struct TargetStandin {
    server: Server,
    inner: Arc<Inner>,
}

impl TargetStandin {
    /// Starts a target; `seed` fixes which calls its faults hit.
    pub async fn start(form: TargetForm, tally: Tally, seed: u64) -> TargetStandin {
        let inner = Arc::new(Inner {
            incarnation: format!("{}-{seed}", form.pool),
            faults: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            tally,
            slots: Semaphore::new(form.slots),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            calls: AtomicU64::new(0),
            last_call: AtomicU64::new(0),
            streams: Mutex::default(),
            orders: Mutex::default(),
            form,
        });
        let router = Router::new()
            .route("/v1/completions", post(complete))
            .route("/v1/streams", any(stream_of))
            .route("/v1/holding", get(report).put(follow))
            .fallback(post(run))
            .with_state(inner.clone());
        TargetStandin { server: Server::start(router).await, inner }
    }

    /// Address, as IP number and port.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Fault switches.
    pub fn faults(&self) -> MutexGuard<'_, TargetFaults> {
        self.inner.faults.lock()
    }

    /// Calls that reached it.
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    /// Wall-clock time of the last new call, in milliseconds.
    pub fn last_call(&self) -> u64 {
        self.inner.last_call.load(Ordering::Relaxed)
    }

    /// Orders that it has followed.
    pub fn followed(&self) -> Vec<Followed> {
        self.inner.orders.lock().followed.clone()
    }

    /// Orders that it has refused for their token.
    pub fn refused_orders(&self) -> u64 {
        self.inner.orders.lock().refused
    }

    /// Stops listening, as soon as the runtime comes to it.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Waits until it has stopped listening: from then on connections to it are refused.
    pub async fn stopped(&self) {
        self.server.stopped().await;
    }

    /// Its entry in the platform's list.
    pub fn listed(&self) -> ListedTarget {
        ListedTarget {
            address: self.address().to_owned(),
            pool: self.inner.form.pool.clone(),
            domain: self.inner.form.domain.clone(),
            incarnation: self.inner.incarnation.clone(),
            state: ListState::Live,
        }
    }
}

impl Inner {
    fn hits(&self, part: u32) -> bool {
        0 < part && self.rng.lock().random_range(0..1000) < part
    }

    fn arrived(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.last_call.store(crate::serve::wall_ms(), Ordering::Relaxed);
    }

    fn signed(&self, headers: &HeaderMap, cost_ms: u64, mut reply: Response) -> Response {
        let faults = self.faults.lock().clone();
        let out = reply.headers_mut();
        let value = |it: String| HeaderValue::from_str(&it).expect("the text is plain");
        let attempt = headers.get("x-request-id").cloned().unwrap_or(value(String::new()));
        let crossed = self.hits(faults.cross);
        let echo = if crossed { value("other:1:0:0".to_owned()) } else { attempt };
        out.insert("x-request-id", echo);
        out.insert("target-incarnation", value(self.incarnation.clone()));
        out.insert("target-cost-ms", value(cost_ms.to_string()));
        let running = self.running.load(Ordering::Relaxed);
        let waiting = self.waiting.load(Ordering::Relaxed);
        let load = json!({ "running": running, "waiting": waiting });
        out.insert("target-load", value(load.to_string()));
        if faults.leaving {
            out.insert("target-leaving", HeaderValue::from_static("true"));
        }
        reply
    }

    /// Faults that keep a call from being run.
    async fn refused(&self, headers: &HeaderMap) -> Option<Response> {
        let faults = self.faults.lock().clone();
        if self.hits(faults.hang) {
            std::future::pending::<()>().await;
        }
        if self.hits(faults.error) {
            let reply = StatusCode::INTERNAL_SERVER_ERROR.into_response();
            return Some(self.signed(headers, 0, reply));
        }
        None
    }
}

async fn run(State(inner): State<Arc<Inner>>, headers: HeaderMap, body: Bytes) -> Response {
    inner.arrived();
    if let Some(it) = inner.refused(&headers).await {
        return it;
    }
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let key = headers.get("idempotency-key").and_then(|it| it.to_str().ok()).map(str::to_owned);
    let key = key.filter(|_| inner.form.checks_keys);
    match key.as_ref().map(|it| inner.tally.claim_key(&inner.form.pool, it)) {
        None | Some(KeyState::First) => (),
        Some(KeyState::Running) => {
            return inner.signed(&headers, 0, StatusCode::CONFLICT.into_response());
        }
        Some(KeyState::Done(it)) => return inner.signed(&headers, 0, Json(it).into_response()),
    }
    let cost = work(&inner, 1).await;
    let found = markers(&value);
    found.iter().for_each(|it| inner.tally.add(&inner.form.pool, it));
    let output = json!({ "pool": inner.form.pool, "marker": found.first(), "of": found.len() });
    if let Some(it) = key {
        inner.tally.end_key(&inner.form.pool, &it, output.clone());
    }
    if inner.hits(inner.faults.lock().lose_answer) {
        return inner.signed(&headers, cost, broken());
    }
    inner.signed(&headers, cost, Json(output).into_response())
}

/// Waits for a slot and works for `steps` steps; returns the milliseconds spent.
async fn work(inner: &Inner, steps: u32) -> u64 {
    inner.waiting.fetch_add(1, Ordering::Relaxed);
    let slot = inner.slots.acquire().await;
    inner.waiting.fetch_sub(1, Ordering::Relaxed);
    inner.running.fetch_add(1, Ordering::Relaxed);
    let delay = inner.faults.lock().delay;
    tokio::time::sleep(inner.form.step * steps + delay).await;
    inner.running.fetch_sub(1, Ordering::Relaxed);
    drop(slot);
    (inner.form.step * steps + delay).as_millis() as u64
}

/// An answer whose body breaks off, as when the connection is lost after the call took effect.
fn broken() -> Response {
    let parts: [Result<Bytes, std::io::Error>; 2] = [
        Ok(Bytes::from_static(b"{")),
        Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
    ];
    Body::from_stream(stream::iter(parts)).into_response()
}

async fn complete(
    State(inner): State<Arc<Inner>>,
    headers: HeaderMap,
    Json(completion): Json<Completion>,
) -> Response {
    inner.arrived();
    if let Some(it) = inner.refused(&headers).await {
        return it;
    }
    let attempt = attempt_of(&headers);
    let total = completion.max_tokens as usize;
    let buffer = Arc::new(Buffer { total, ..Buffer::default() });
    inner.streams.lock().insert(attempt.clone(), buffer.clone());
    tokio::spawn(generate(inner.clone(), buffer.clone(), completion));
    served(&inner, &headers, attempt, buffer, 0)
}

async fn stream_of(
    State(inner): State<Arc<Inner>>,
    method: axum::http::Method,
    headers: HeaderMap,
) -> Response {
    let attempt = attempt_of(&headers);
    let found = inner.streams.lock().get(&attempt).cloned();
    let Some(buffer) = found else { return StatusCode::NOT_FOUND.into_response() };
    if method == axum::http::Method::DELETE {
        *buffer.cancelled.lock() = true;
        inner.streams.lock().remove(&attempt);
        return StatusCode::NO_CONTENT.into_response();
    }
    let last = headers.get("last-event-id").and_then(|it| it.to_str().ok());
    let next = last.and_then(|it| it.parse::<usize>().ok()).map_or(0, |it| it + 1);
    served(&inner, &headers, attempt, buffer, next)
}

async fn report(State(inner): State<Arc<Inner>>) -> Json<EngineReport> {
    let last = inner.orders.lock().followed.last().map(|it| it.order.clone());
    let nothing = EngineOrder { model: String::new(), adapter: String::new(), role: "both".into() };
    Json(EngineReport {
        holds: last.unwrap_or(nothing),
        running: inner.running.load(Ordering::Relaxed),
        waiting: inner.waiting.load(Ordering::Relaxed),
    })
}

async fn follow(
    State(inner): State<Arc<Inner>>,
    headers: HeaderMap,
    Json(order): Json<EngineOrder>,
) -> StatusCode {
    let token = headers.get("fencing-token").and_then(|it| it.to_str().ok());
    let token = token.and_then(|it| it.parse::<u64>().ok());
    let mut orders = inner.orders.lock();
    if inner.form.checks_tokens && token.is_none_or(|it| it < orders.highest) {
        orders.refused += 1;
        return StatusCode::PRECONDITION_FAILED;
    }
    orders.highest = orders.highest.max(token.unwrap_or(0));
    orders.followed.push(Followed { token, order });
    StatusCode::NO_CONTENT
}

fn attempt_of(headers: &HeaderMap) -> String {
    headers.get("x-request-id").and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}

/// Generates chunks at the engine's step, whether or not anyone reads them.
async fn generate(inner: Arc<Inner>, buffer: Arc<Buffer>, completion: Completion) {
    inner.waiting.fetch_add(1, Ordering::Relaxed);
    let slot = inner.slots.acquire().await;
    inner.waiting.fetch_sub(1, Ordering::Relaxed);
    inner.running.fetch_add(1, Ordering::Relaxed);
    let value: Value = serde_json::from_str(&completion.prompt).unwrap_or_default();
    let found = markers(&value);
    found.iter().for_each(|it| inner.tally.add(&inner.form.pool, it));
    let delay = inner.faults.lock().delay;
    tokio::time::sleep(delay).await;
    for index in 0..buffer.total {
        tokio::time::sleep(inner.form.step).await;
        if *buffer.cancelled.lock() {
            break;
        }
        let marker = found.first().map_or("none", String::as_str);
        buffer.chunks.lock().push(format!("{marker}/{index} "));
        buffer.grown.notify_waiters();
    }
    inner.running.fetch_sub(1, Ordering::Relaxed);
    drop(slot);
}

fn served(
    inner: &Arc<Inner>,
    headers: &HeaderMap,
    attempt: String,
    buffer: Arc<Buffer>,
    next: usize,
) -> Response {
    let faults = inner.faults.lock().clone();
    let is_cut_at_end = inner.hits(faults.cut_end);
    let cut = inner.hits(faults.cut).then_some(buffer.total / 2);
    let cut = cut.or(is_cut_at_end.then_some(buffer.total));
    let engine_ms = inner.form.step.as_millis() as u64 * buffer.total as u64;
    let reader = Reader { inner: inner.clone(), attempt, buffer, next, cut, engine_ms };
    let events = stream::unfold(reader, |mut it| async move {
        let batch = it.batch().await;
        (!batch.is_empty()).then_some((stream::iter(batch), it))
    });
    let events = events.flatten().map(Ok::<Event, Infallible>);
    inner.signed(headers, 0, Sse::new(events).into_response())
}

struct Reader {
    inner: Arc<Inner>,
    attempt: String,
    buffer: Arc<Buffer>,
    next: usize,
    cut: Option<usize>,
    engine_ms: u64,
}

impl Reader {
    /// The next few events; none at the end of the connection.
    async fn batch(&mut self) -> Vec<Event> {
        let total = self.buffer.total;
        if total < self.next || self.cut.is_some_and(|it| it <= self.next) {
            return Vec::new();
        }
        if self.next == total {
            self.next += 1;
            return vec![self.usage(), Event::default().id(total.to_string()).data("[DONE]")];
        }
        let faults = self.inner.faults.lock().clone();
        let pair = self.next + 1 < total && self.inner.hits(faults.reorder);
        let n = if pair { 2 } else { 1 };
        self.wait_for(self.next + n).await;
        let mut events: Vec<Event> =
            (self.next..self.next + n).rev().map(|it| self.chunk(it)).collect();
        if self.inner.hits(faults.duplicate) {
            events.push(self.chunk(self.next));
        }
        self.next += n;
        events
    }

    async fn wait_for(&self, n: usize) {
        loop {
            let grown = self.buffer.grown.notified();
            tokio::pin!(grown);
            grown.as_mut().enable();
            if n <= self.buffer.chunks.lock().len() {
                return;
            }
            grown.await;
        }
    }

    fn chunk(&self, index: usize) -> Event {
        let text = self.buffer.chunks.lock()[index].clone();
        let choices = vec![CompletionChoice { text }];
        self.event(choices, None).id(index.to_string())
    }

    fn usage(&self) -> Event {
        let completion_tokens = self.buffer.total as u64;
        self.event(
            Vec::new(),
            Some(CompletionUsage { completion_tokens, engine_ms: self.engine_ms }),
        )
    }

    fn event(&self, choices: Vec<CompletionChoice>, usage: Option<CompletionUsage>) -> Event {
        let chunk = CompletionChunk { id: self.attempt.clone(), choices, usage };
        Event::default().json_data(chunk).expect("a chunk is JSON")
    }
}
