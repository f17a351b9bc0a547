//! A client of the platform's store: one connection, made anew whenever a call fails.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use holdpoint_adapter::store::{
    KeyedRecord, ReadPage, append_at_path, append_body, append_path, era, newest_path,
    parse_newest, parse_read, read_path,
};
use holdpoint_core::era::{Era, Heard, Position, SETTLE_MS, heard};
use holdpoint_platform::Instant;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use parking_lot::Mutex;
use tokio::{sync::watch, task::AbortHandle};

use crate::ingress::connections::connect;

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// No answer: what was asked may have been done or not.
    Silent,
    /// An answer that says that nothing was done.
    Refused(StatusCode),
    /// The records asked for are gone.
    Gone,
    /// An answer that cannot be read.
    BadAnswer,
    /// The store has come back from an older copy since the call before. What was asked may have been done.
    Returned,
    /// An answer from before the store's return.
    Over,
}

/// The newest era of the store that this instance has heard of, from the store or from others.
#[derive(Debug, Default)]
pub(crate) struct Eras {
    newest: Mutex<Option<Era>>,
    /// When it rose last.
    risen: watch::Sender<Option<Instant>>,
}

impl Eras {
    /// The newest era.
    pub(crate) fn newest(&self) -> Option<Era> {
        *self.newest.lock()
    }

    /// Takes in the era that an answer tells.
    pub(crate) fn hear(&self, told: Option<Era>) -> Heard {
        let mut newest = self.newest.lock();
        let heard = heard(*newest, told);
        if heard == Heard::Risen || newest.is_none() {
            *newest = told;
        }
        drop(newest);
        if heard == Heard::Risen {
            self.risen.send_replace(Some(Instant::now()));
        }
        heard
    }

    /// Whether the store has come back so lately that it may lack what is about to be written again.
    pub(crate) fn is_settling(&self) -> bool {
        self.risen.borrow().is_some_and(|it| it.elapsed() < Duration::from_millis(SETTLE_MS))
    }

    /// Sent whenever the era rises.
    pub(crate) fn risen(&self) -> watch::Receiver<Option<Instant>> {
        self.risen.subscribe()
    }
}

/// One connection to the store.
pub(crate) struct StoreClient {
    address: String,
    timeout: Duration,
    connection: Option<(SendRequest<Full<Bytes>>, Guard)>,
    eras: Arc<Eras>,
    /// Era of the last answer.
    era: Option<Era>,
}

/// Ends the connection's task with the connection.
struct Guard(AbortHandle);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl StoreClient {
    /// Makes a client that has not connected yet.
    pub(crate) fn new(address: &str, timeout: Duration, eras: Arc<Eras>) -> StoreClient {
        StoreClient { address: address.to_owned(), timeout, connection: None, eras, era: None }
    }

    /// The same client with another limit on each call, on a connection of its own.
    pub(crate) fn with_timeout(&self, timeout: Duration) -> StoreClient {
        StoreClient {
            timeout,
            era: self.era,
            ..StoreClient::new(&self.address, timeout, self.eras.clone())
        }
    }

    /// A position in a topic, as of the last answer.
    pub(crate) fn position(&self, offset: u64) -> Position {
        Position { era: self.era, offset }
    }

    /// Closes the connection; the next call makes a new one.
    pub(crate) fn reset(&mut self) {
        self.connection = None;
    }

    /// Connects anew, and tells how long that took: a round trip, as far as the network is concerned.
    pub(crate) async fn measure(&mut self) -> Result<Duration, StoreError> {
        let begun = Instant::now();
        let made = tokio::time::timeout(self.timeout, connect(&self.address)).await;
        let (sender, task) = made.map_err(silent)?.map_err(silent)?;
        self.connection = Some((sender, Guard(task)));
        Ok(begun.elapsed())
    }

    /// Reads the newest records of a topic and the offset at which reading goes on.
    pub(crate) async fn newest(
        &mut self,
        topic: &str,
    ) -> Result<(Vec<KeyedRecord>, u64), StoreError> {
        let mut records: Vec<KeyedRecord> = Vec::new();
        let mut end = None;
        loop {
            let path = newest_path(topic, records.last().map(|it| it.key.as_str()));
            let body = self.call(Method::GET, &path, Bytes::new(), Duration::ZERO).await?;
            let page = parse_newest(&body).map_err(|_| StoreError::BadAnswer)?;
            let is_empty = page.records.is_empty();
            records.extend(page.records);
            // The pages are no snapshot: what changed since the first is read again from there.
            let end = *end.get_or_insert(page.end);
            if !page.has_more || is_empty {
                return Ok((records, end));
            }
        }
    }

    /// Reads the records from an offset on; waits for one for at most `wait`.
    pub(crate) async fn read(
        &mut self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<ReadPage, StoreError> {
        let path = read_path(topic, from, wait.as_millis() as u64);
        let body = self.call(Method::GET, &path, Bytes::new(), wait).await?;
        parse_read(body, from).map_err(|_| StoreError::BadAnswer)
    }

    /// Appends a record to a keyed topic of our own.
    pub(crate) async fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
    ) -> Result<(), StoreError> {
        let body = Bytes::from(append_body(key, value));
        self.call(Method::POST, &append_path(topic), body, Duration::ZERO).await.map(drop)
    }

    /// The same if the topic ends at an offset; else it is refused.
    pub(crate) async fn append_at(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        end: u64,
    ) -> Result<(), StoreError> {
        let body = Bytes::from(append_body(key, value));
        let path = append_at_path(topic, end);
        self.call(Method::POST, &path, body, Duration::ZERO).await.map(drop)
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let timeout = self.timeout;
        let limit = wait + timeout;
        // After a call without a whole answer the connection is of no further use.
        let mut connection = self.connection.take();
        let answering = async {
            if connection.as_ref().is_none_or(|it| !it.0.is_ready()) {
                let made = tokio::time::timeout(timeout, connect(&self.address)).await;
                let (sender, task) = made.map_err(|_| StoreError::Silent)?.map_err(silent)?;
                connection = Some((sender, Guard(task)));
            }
            let (sender, _) = connection.as_mut().ok_or(StoreError::Silent)?;
            let request = request(&self.address, method, path, body)?;
            sender.send_request(request).await.map_err(silent)
        };
        let answer = tokio::time::timeout(limit, answering).await.map_err(silent)??;
        let status = answer.status();
        self.hear(era(answer.headers()))?;
        let body = whole_body(answer.into_body(), timeout).await?;
        self.connection = connection;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(StoreError::Gone),
            other => Err(StoreError::Refused(other)),
        }
    }
}

impl StoreClient {
    /// Takes in the era of an answer; an error where nothing from before tells what the store holds now.
    fn hear(&mut self, told: Option<Era>) -> Result<(), StoreError> {
        if self.eras.hear(told) == Heard::Over {
            return Err(StoreError::Over);
        }
        let heard = heard(self.era, told);
        self.era = told.or(self.era);
        if heard == Heard::Risen { Err(StoreError::Returned) } else { Ok(()) }
    }
}

/// Reads a body to its end. A large one takes its time on a narrow link, so the limit holds for each
/// part of it.
async fn whole_body(mut body: Incoming, limit: Duration) -> Result<Bytes, StoreError> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(limit, body.frame()).await.map_err(silent)?;
        let Some(frame) = frame else { return Ok(whole.freeze()) };
        if let Some(part) = frame.map_err(silent)?.data_ref() {
            whole.extend_from_slice(part);
        }
    }
}

fn silent<E>(_: E) -> StoreError {
    StoreError::Silent
}

fn request(
    address: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, StoreError> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_| StoreError::BadAnswer)?;
    let host = HeaderValue::from_str(address).map_err(|_| StoreError::BadAnswer)?;
    request.headers_mut().insert(header::HOST, host);
    Ok(request)
}
