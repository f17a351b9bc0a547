//! Stand-in for targets: generation engines, encoders, retrievers, rerankers and services.

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

/// Faults of a target. Numbers are rates per thousand.
#[derive(Clone, Debug, Default)]
pub struct TargetFaults {
    /// Added to the duration of every call.
    pub delay: Duration,
    /// Calls rejected with status 500 without being run.
    pub error: u32,
    /// Calls that are run but whose answer is truncated.
    pub truncate_answer: u32,
    /// Calls that are accepted and never answered.
    pub hang: u32,
    /// Calls answered with the id of another attempt.
    pub swap_id: u32,
    /// Chunks sent twice.
    pub duplicate: u32,
    /// Pairs of chunks sent in the wrong order.
    pub reorder: u32,
    /// Streams truncated after half of their chunks.
    pub cut: u32,
    /// Streams truncated between the last chunk and the end marker.
    pub cut_end: u32,
    /// Whether answers announce that the target is draining.
    pub is_draining: bool,
}

/// Configuration of a target.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Pool of the target.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// Duration of a call, or of an engine's generation step.
    pub step: Duration,
    /// Most calls that run concurrently; others wait.
    pub slots: usize,
    /// Whether calls with the same idempotency key run only once.
    pub checks_keys: bool,
    /// Whether orders without a fencing token, or with one below the highest seen, are rejected.
    pub checks_tokens: bool,
}

/// Order that an engine has applied.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedOrder {
    /// Fencing token, if one was given.
    pub token: Option<u64>,
    /// The order.
    pub order: EngineOrder,
}

#[derive(Debug, Default)]
struct Orders {
    applied: Vec<AppliedOrder>,
    max_token: u64,
    rejected: u64,
}

#[derive(Debug, Default)]
struct Buffer {
    chunks: Mutex<Vec<String>>,
    total: usize,
    appended: Notify,
    cancelled: Mutex<bool>,
}

#[derive(Debug)]
struct Inner {
    form: TargetConfig,
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

/// Server of a target.
#[derive(Debug)]
pub struct TargetStandin {
    server: Server,
    inner: Arc<Inner>,
}

impl TargetStandin {
    /// Starts a target; `seed` determines which calls its faults affect.
    pub async fn start(form: TargetConfig, tally: Tally, seed: u64) -> TargetStandin {
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
            .route("/v1/streams", any(resume_or_cancel))
            .route("/v1/holding", get(report).put(apply_order))
            .fallback(post(run))
            .with_state(inner.clone());
        TargetStandin { server: Server::start(router).await, inner }
    }

    /// Address as `IP:port`.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Faults, to be changed in place.
    pub fn faults(&self) -> MutexGuard<'_, TargetFaults> {
        self.inner.faults.lock()
    }

    /// Number of new calls received.
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    /// Wall-clock time of the last new call, in milliseconds since the Unix epoch.
    pub fn last_call_ms(&self) -> u64 {
        self.inner.last_call.load(Ordering::Relaxed)
    }

    /// Orders that it has applied, in order.
    pub fn applied_orders(&self) -> Vec<AppliedOrder> {
        self.inner.orders.lock().applied.clone()
    }

    /// Number of orders rejected because of their fencing token.
    pub fn rejected_orders(&self) -> u64 {
        self.inner.orders.lock().rejected
    }

    /// Requests a stop, which takes effect once the runtime has dropped the server's task.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Waits until it has stopped listening. Afterwards connections are refused.
    pub async fn stopped(&self) {
        self.server.stopped().await;
    }

    /// Entry of the target in the platform's list.
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
    fn is_hit(&self, per_mille: u32) -> bool {
        0 < per_mille && self.rng.lock().random_range(0..1000) < per_mille
    }

    fn record_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.last_call.store(crate::serve::wall_ms(), Ordering::Relaxed);
    }

    fn with_headers(&self, headers: &HeaderMap, cost_ms: u64, mut reply: Response) -> Response {
        let faults = self.faults.lock().clone();
        let out = reply.headers_mut();
        let value = |it: String| {
            HeaderValue::from_str(&it).expect("header value has only visible ASCII characters")
        };
        let attempt = headers.get("x-request-id").cloned().unwrap_or(value(String::new()));
        let is_crossed = self.is_hit(faults.swap_id);
        let echo = if is_crossed { value("other:1:0:0".to_owned()) } else { attempt };
        out.insert("x-request-id", echo);
        out.insert("target-incarnation", value(self.incarnation.clone()));
        out.insert("target-cost-ms", value(cost_ms.to_string()));
        let running = self.running.load(Ordering::Relaxed);
        let waiting = self.waiting.load(Ordering::Relaxed);
        let load = json!({ "running": running, "waiting": waiting });
        out.insert("target-load", value(load.to_string()));
        if faults.is_draining {
            out.insert("target-leaving", HeaderValue::from_static("true"));
        }
        reply
    }

    /// Applies the faults that prevent a call from being run; returns the rejection, if any.
    async fn rejection(&self, headers: &HeaderMap) -> Option<Response> {
        let faults = self.faults.lock().clone();
        if self.is_hit(faults.hang) {
            std::future::pending::<()>().await;
        }
        if self.is_hit(faults.error) {
            let reply = StatusCode::INTERNAL_SERVER_ERROR.into_response();
            return Some(self.with_headers(headers, 0, reply));
        }
        None
    }
}

async fn run(State(inner): State<Arc<Inner>>, headers: HeaderMap, body: Bytes) -> Response {
    inner.record_call();
    if let Some(it) = inner.rejection(&headers).await {
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
            return inner.with_headers(&headers, 0, StatusCode::CONFLICT.into_response());
        }
        Some(KeyState::Done(it)) => {
            return inner.with_headers(&headers, 0, Json(it).into_response());
        }
    }
    let cost = work(&inner, 1).await;
    let found = markers(&value);
    found.iter().for_each(|it| inner.tally.add(&inner.form.pool, it));
    let output = json!({ "pool": inner.form.pool, "marker": found.first(), "of": found.len() });
    if let Some(it) = key {
        inner.tally.complete_key(&inner.form.pool, &it, output.clone());
    }
    if inner.is_hit(inner.faults.lock().truncate_answer) {
        return inner.with_headers(&headers, cost, truncated_response());
    }
    inner.with_headers(&headers, cost, Json(output).into_response())
}

/// Waits for a slot and simulates work of `steps` steps; returns its duration in milliseconds,
/// without the wait.
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

/// Response whose body ends with an error, as if the connection was lost after the call ran.
fn truncated_response() -> Response {
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
    inner.record_call();
    if let Some(it) = inner.rejection(&headers).await {
        return it;
    }
    let attempt = attempt_of(&headers);
    let total = completion.max_tokens as usize;
    let buffer = Arc::new(Buffer { total, ..Buffer::default() });
    inner.streams.lock().insert(attempt.clone(), buffer.clone());
    tokio::spawn(generate(inner.clone(), buffer.clone(), completion));
    stream_response(&inner, &headers, attempt, buffer, 0)
}

async fn resume_or_cancel(
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
    stream_response(&inner, &headers, attempt, buffer, next)
}

async fn report(State(inner): State<Arc<Inner>>) -> Json<EngineReport> {
    let last = inner.orders.lock().applied.last().map(|it| it.order.clone());
    let nothing = EngineOrder { model: String::new(), adapter: String::new(), role: "both".into() };
    Json(EngineReport {
        holds: last.unwrap_or(nothing),
        running: inner.running.load(Ordering::Relaxed),
        waiting: inner.waiting.load(Ordering::Relaxed),
    })
}

async fn apply_order(
    State(inner): State<Arc<Inner>>,
    headers: HeaderMap,
    Json(order): Json<EngineOrder>,
) -> StatusCode {
    let token = headers.get("fencing-token").and_then(|it| it.to_str().ok());
    let token = token.and_then(|it| it.parse::<u64>().ok());
    let mut orders = inner.orders.lock();
    if inner.form.checks_tokens && token.is_none_or(|it| it < orders.max_token) {
        orders.rejected += 1;
        return StatusCode::PRECONDITION_FAILED;
    }
    orders.max_token = orders.max_token.max(token.unwrap_or(0));
    orders.applied.push(AppliedOrder { token, order });
    StatusCode::NO_CONTENT
}

fn attempt_of(headers: &HeaderMap) -> String {
    headers.get("x-request-id").and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}

/// Generates one chunk per step until complete or cancelled, whether or not there is a reader.
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
        buffer.appended.notify_waiters();
    }
    inner.running.fetch_sub(1, Ordering::Relaxed);
    drop(slot);
}

fn stream_response(
    inner: &Arc<Inner>,
    headers: &HeaderMap,
    attempt: String,
    buffer: Arc<Buffer>,
    next: usize,
) -> Response {
    let faults = inner.faults.lock().clone();
    let is_cut_at_end = inner.is_hit(faults.cut_end);
    let cut = inner.is_hit(faults.cut).then_some(buffer.total / 2);
    let cut = cut.or(is_cut_at_end.then_some(buffer.total));
    let engine_ms = inner.form.step.as_millis() as u64 * buffer.total as u64;
    let reader = Reader { inner: inner.clone(), attempt, buffer, next, cut, engine_ms };
    let events = stream::unfold(reader, |mut it| async move {
        let batch = it.batch().await;
        (!batch.is_empty()).then_some((stream::iter(batch), it))
    });
    let events = events.flatten().map(Ok::<Event, Infallible>);
    inner.with_headers(headers, 0, Sse::new(events).into_response())
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
    /// Next events; empty at the end of the response.
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
        let is_pair = self.next + 1 < total && self.inner.is_hit(faults.reorder);
        let n = if is_pair { 2 } else { 1 };
        self.wait_for(self.next + n).await;
        let mut events: Vec<Event> =
            (self.next..self.next + n).rev().map(|it| self.chunk(it)).collect();
        if self.inner.is_hit(faults.duplicate) {
            events.push(self.chunk(self.next));
        }
        self.next += n;
        events
    }

    async fn wait_for(&self, n: usize) {
        loop {
            let appended = self.buffer.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            if n <= self.buffer.chunks.lock().len() {
                return;
            }
            appended.await;
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
        Event::default().json_data(chunk).expect("a chunk serialises to JSON")
    }
}
