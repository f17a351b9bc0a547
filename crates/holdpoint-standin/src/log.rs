//! Stand-in for the platform's append-only log.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Path, Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::post,
};
use holdpoint_schema::platform::{Appended, LogBatch, LogRecord};
use parking_lot::{Mutex, MutexGuard};
use serde::Deserialize;
use tokio::sync::Notify;

use crate::serve::{Server, wall_ms};

/// Faults of the log.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    /// Rejects every call with status 503.
    pub outage: bool,
    /// Delay before every call is processed.
    pub delay: Duration,
    /// Number of next appends that take effect but are answered with status 504.
    pub lose_answers: u32,
    /// Appends admitted per second; 0 means no limit.
    pub rate: u32,
    /// Age at which records expire; `None` means never.
    pub retention: Option<Duration>,
}

#[derive(Debug)]
struct Stream {
    first: u64,
    records: VecDeque<LogRecord>,
}

impl Default for Stream {
    fn default() -> Stream {
        Stream { first: 1, records: VecDeque::new() }
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, before: u64) {
        while self.records.front().is_some_and(|it| it.at < before) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    streams: Mutex<HashMap<String, Stream>>,
    faults: Mutex<LogFaults>,
    appended: Notify,
    counts: Mutex<LogCounts>,
    rate_window: Mutex<(u64, u32)>,
}

/// Counters of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes appended.
    pub append_bytes: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes read.
    pub read_bytes: u64,
    /// Appends rejected by the rate limit.
    pub limited: u64,
}

/// Server of the log.
#[derive(Debug)]
pub struct LogStandin {
    server: Server,
    inner: Arc<Inner>,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    limit: usize,
    wait: u64,
}

impl LogStandin {
    /// Starts an empty log.
    pub async fn start() -> LogStandin {
        let inner = Arc::new(Inner::default());
        let router = Router::new()
            .route("/streams/{stream}/records", post(append).get(read))
            .with_state(inner.clone());
        LogStandin { server: Server::start(router).await, inner }
    }

    /// Address as `IP:port`.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Faults, to be changed in place.
    pub fn faults(&self) -> MutexGuard<'_, LogFaults> {
        self.inner.faults.lock()
    }

    /// Counters since the start.
    pub fn counts(&self) -> LogCounts {
        *self.inner.counts.lock()
    }

    /// Data of the records of a stream.
    pub fn records(&self, stream: &str) -> Vec<String> {
        let streams = self.inner.streams.lock();
        streams
            .get(stream)
            .into_iter()
            .flat_map(|it| &it.records)
            .map(|it| it.data.clone())
            .collect()
    }
}

async fn append(
    State(inner): State<Arc<Inner>>,
    Path(stream): Path<String>,
    data: String,
) -> Response {
    if let Some(it) = apply_faults(&inner).await {
        return it;
    }
    if !is_within_rate(&inner) {
        inner.counts.lock().limited += 1;
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let offset = {
        let mut streams = inner.streams.lock();
        let stream = streams.entry(stream).or_default();
        let last = stream.records.back().map_or(0, |it| it.at);
        let offset = stream.next();
        let mut counts = inner.counts.lock();
        counts.appends += 1;
        counts.append_bytes += data.len() as u64;
        stream.records.push_back(LogRecord { offset, at: wall_ms().max(last), data });
        offset
    };
    inner.appended.notify_waiters();
    let mut faults = inner.faults.lock();
    if 0 < faults.lose_answers {
        faults.lose_answers -= 1;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(Appended { offset }).into_response()
}

async fn read(
    State(inner): State<Arc<Inner>>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    if let Some(it) = apply_faults(&inner).await {
        return it;
    }
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait);
    loop {
        let appended = inner.appended.notified();
        tokio::pin!(appended);
        appended.as_mut().enable();
        let (batch, expired) = batch(&inner, &stream, &query);
        let is_over = tokio::time::timeout_at(deadline, async {
            if batch.records.is_empty() && !expired {
                appended.await;
            }
        })
        .await
        .is_err();
        if !batch.records.is_empty() || expired || is_over {
            if inner.faults.lock().outage {
                return StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
            return answer(&inner, &batch, expired);
        }
    }
}

fn answer(inner: &Inner, batch: &LogBatch, expired: bool) -> Response {
    let mut counts = inner.counts.lock();
    counts.reads += 1;
    counts.read_bytes += batch.records.iter().map(|it| it.data.len() as u64).sum::<u64>();
    let status = if expired { StatusCode::GONE } else { StatusCode::OK };
    (status, Json(batch)).into_response()
}

fn batch(inner: &Inner, stream: &str, query: &ReadQuery) -> (LogBatch, bool) {
    let now = wall_ms();
    let retention = inner.faults.lock().retention;
    let mut streams = inner.streams.lock();
    let stream = streams.entry(stream.to_owned()).or_default();
    if let Some(it) = retention {
        stream.expire(now.saturating_sub(it.as_millis() as u64));
    }
    let expired = query.from < stream.first;
    let skip = query.from.saturating_sub(stream.first) as usize;
    let records = if expired {
        Vec::new()
    } else {
        stream.records.iter().skip(skip).take(query.limit).cloned().collect()
    };
    (LogBatch { first: stream.first, next: stream.next(), now, records }, expired)
}

async fn apply_faults(inner: &Inner) -> Option<Response> {
    let (outage, delay) = {
        let faults = inner.faults.lock();
        (faults.outage, faults.delay)
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    outage.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
}

fn is_within_rate(inner: &Inner) -> bool {
    let rate = inner.faults.lock().rate;
    let mut rate_window = inner.rate_window.lock();
    let now = wall_ms() / 1000;
    if rate_window.0 != now {
        *rate_window = (now, 0);
    }
    rate_window.1 += 1;
    rate == 0 || rate_window.1 <= rate
}
