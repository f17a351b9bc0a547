//! HTTP client of the platform's store: one connection, replaced after a failed call, with a timeout for each
//! call. It tracks the epoch of the store's log in the responses to detect a return from an older copy.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::{Bytes, BytesMut};
use holdpoint_adapter::store::{
    KeyedRecord, Listing, Progress, ReadPage, append_at_path, append_body, append_path, epoch,
    parse_newest, parse_read, read_path,
};
use holdpoint_core::{
    epoch::{Epoch, EpochOrder, Position, SETTLE_MS, compare_epochs},
    ids::Millis,
};
use holdpoint_platform::Instant;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use parking_lot::Mutex;
use tokio::{sync::watch, task::AbortHandle};

use crate::ingress::{
    connections::connect, counted_stream::ByteCounter, received::is_final, shared::IngressShared,
};

/// Longest body of a response; the store's pages have about 1 MB at most.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// No response: the operation may have been carried out or not.
    Silent,
    /// An error response: the operation was not carried out.
    Refused(StatusCode),
    /// The requested records are no longer available.
    Gone,
    /// An invalid response, or a request that cannot be built.
    BadAnswer,
    /// The store has returned from an older copy since the previous call. The operation may have been carried out.
    Returned,
    /// A response of an earlier epoch than the newest known one.
    Over,
    /// A page of the newest records has brought nothing that the pages before it lack.
    Stuck,
}

/// The newest records of a topic.
pub(crate) struct Newest {
    /// Records by key.
    pub(crate) records: Vec<KeyedRecord>,
    /// Offset to continue from.
    pub(crate) next: u64,
    /// Number of items that cannot be read.
    pub(crate) unreadable: usize,
    /// Why the list could not be read to its end; records may be missing then.
    pub(crate) cut: Option<StoreError>,
}

impl Newest {
    /// The records and the offset to continue from.
    ///
    /// # Errors
    ///
    /// If the list could not be read to its end.
    pub(crate) fn complete(self) -> Result<(Vec<KeyedRecord>, u64), StoreError> {
        match self.cut {
            None => Ok((self.records, self.next)),
            Some(it) => Err(it),
        }
    }
}

/// The newest epoch of the store that the store or a peer has reported.
#[derive(Debug, Default)]
pub(crate) struct StoreEpochs {
    newest: Mutex<Option<Epoch>>,
    /// Time of the last increase.
    increases: watch::Sender<Option<Instant>>,
}

impl StoreEpochs {
    /// The newest epoch.
    pub(crate) fn newest(&self) -> Option<Epoch> {
        *self.newest.lock()
    }

    /// Records the epoch of a response, and returns how it compares with the newest known one.
    pub(crate) fn observe(&self, reported: Option<Epoch>) -> EpochOrder {
        let mut newest = self.newest.lock();
        let order = compare_epochs(*newest, reported);
        if order == EpochOrder::Newer || newest.is_none() {
            *newest = reported;
        }
        drop(newest);
        if order == EpochOrder::Newer {
            self.increases.send_replace(Some(Instant::now()));
        }
        order
    }

    /// Whether the store has returned from an older copy so recently that records may still have to be written
    /// again.
    pub(crate) fn is_settling(&self) -> bool {
        self.increases.borrow().is_some_and(|it| it.elapsed() < Duration::from_millis(SETTLE_MS))
    }

    /// Notified when the epoch increases.
    pub(crate) fn increases(&self) -> watch::Receiver<Option<Instant>> {
        self.increases.subscribe()
    }
}

/// A client with one connection to the store.
pub(crate) struct StoreClient {
    address: String,
    timeout: Duration,
    connection: Option<(SendRequest<Full<Bytes>>, AbortOnDrop)>,
    eras: Arc<StoreEpochs>,
    traffic: ByteCounter,
    /// Epoch of the last response.
    epoch: Option<Epoch>,
}

/// Aborts the connection's task when dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl StoreClient {
    /// Creates a client that connects with its first call.
    pub(crate) fn new(
        address: &str,
        timeout: Duration,
        eras: Arc<StoreEpochs>,
        traffic: ByteCounter,
    ) -> StoreClient {
        let address = address.to_owned();
        StoreClient { address, timeout, connection: None, eras, traffic, epoch: None }
    }

    /// A client with another timeout for each call, on a connection of its own.
    pub(crate) fn with_timeout(&self, timeout: Duration) -> StoreClient {
        StoreClient {
            timeout,
            epoch: self.epoch,
            ..StoreClient::new(&self.address, timeout, self.eras.clone(), self.traffic.clone())
        }
    }

    /// A position in a topic, in the epoch of the last response.
    pub(crate) fn position(&self, offset: u64) -> Position {
        Position { epoch: self.epoch, offset }
    }

    /// Closes the connection; the next call opens a new one.
    pub(crate) fn reset(&mut self) {
        self.connection = None;
    }

    /// Closes the connection after an answer that cannot be read: it may belong to another call, and so may the next.
    fn bad_answer(&mut self) -> StoreError {
        self.reset();
        StoreError::BadAnswer
    }

    /// Opens a new connection and returns the time that it took: about one round trip.
    pub(crate) async fn measure_round_trip(&mut self) -> Result<Duration, StoreError> {
        let begun = Instant::now();
        let connected =
            tokio::time::timeout(self.timeout, connect(&self.address, &self.traffic)).await;
        let (sender, task) = connected.map_err(silent)?.map_err(silent)?;
        self.connection = Some((sender, AbortOnDrop(task)));
        Ok(begun.elapsed())
    }

    /// Reads the newest records of a topic. If a page after the first cannot be read, the result holds those of the
    /// pages before.
    pub(crate) async fn newest(&mut self, topic: &'static str) -> Result<Newest, StoreError> {
        let mut listing = Listing::new(topic);
        let cut = loop {
            match self.next_page(&mut listing).await {
                Ok(Progress::More) => (),
                Ok(Progress::Complete) => break None,
                Ok(Progress::Stuck) => break Some(StoreError::Stuck),
                // The pages before it may be of the earlier epoch.
                Err(it @ (StoreError::Returned | StoreError::Over)) => return Err(it),
                Err(it) => break Some(it),
            }
        };
        let Some(next) = listing.end() else { return Err(cut.unwrap_or(StoreError::BadAnswer)) };
        let unreadable = listing.unreadable();
        Ok(Newest { records: listing.into_records(), next, unreadable, cut })
    }

    async fn next_page(&mut self, listing: &mut Listing) -> Result<Progress, StoreError> {
        let path = listing.next_path();
        let body = self.call(Method::GET, &path, Bytes::new(), Duration::ZERO).await?;
        let page = parse_newest(&body).map_err(|_| self.bad_answer())?;
        Ok(listing.add(page))
    }

    /// Reads the records from an offset on; waits up to `wait` if there are none.
    pub(crate) async fn read(
        &mut self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<ReadPage, StoreError> {
        let path = read_path(topic, from, wait.as_millis() as u64);
        let body = self.call(Method::GET, &path, Bytes::new(), wait).await?;
        parse_read(body, from).map_err(|_| self.bad_answer())
    }

    /// Appends a record to a keyed topic owned by Holdpoint.
    pub(crate) async fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
    ) -> Result<(), StoreError> {
        let body = append_body(key, value).map_err(|_| StoreError::BadAnswer)?;
        self.call(Method::POST, &append_path(topic), body.into(), Duration::ZERO).await.map(drop)
    }

    /// Appends a record if the topic ends at the offset `end`; the store refuses it otherwise.
    pub(crate) async fn append_at(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        end: u64,
    ) -> Result<(), StoreError> {
        let body = append_body(key, value).map_err(|_| StoreError::BadAnswer)?;
        let path = append_at_path(topic, end);
        self.call(Method::POST, &path, body.into(), Duration::ZERO).await.map(drop)
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
        // A connection is not reused after an incomplete response.
        let mut connection = self.connection.take();
        let answering = async {
            if connection.as_ref().is_none_or(|it| !it.0.is_ready()) {
                let connected =
                    tokio::time::timeout(timeout, connect(&self.address, &self.traffic)).await;
                let (sender, task) = connected.map_err(|_| StoreError::Silent)?.map_err(silent)?;
                connection = Some((sender, AbortOnDrop(task)));
            }
            let (sender, _) = connection.as_mut().ok_or(StoreError::Silent)?;
            let request = request(&self.address, method, path, body)?;
            sender.send_request(request).await.map_err(silent)
        };
        let answer = tokio::time::timeout(limit, answering).await.map_err(silent)??;
        let status = answer.status();
        if !is_final(status) {
            return Err(StoreError::BadAnswer);
        }
        self.check_epoch(epoch(answer.headers()))?;
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
    /// Records the epoch of a response; fails if earlier reads, or this response, do not reflect the store's
    /// current state.
    fn check_epoch(&mut self, reported: Option<Epoch>) -> Result<(), StoreError> {
        if self.eras.observe(reported) == EpochOrder::Older {
            return Err(StoreError::Over);
        }
        let order = compare_epochs(self.epoch, reported);
        self.epoch = reported.or(self.epoch);
        if order == EpochOrder::Newer { Err(StoreError::Returned) } else { Ok(()) }
    }
}

/// Reads a body to its end. The timeout holds for each frame, as a large body takes long on a slow link.
async fn whole_body(body: Incoming, limit: Duration) -> Result<Bytes, StoreError> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut body_bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(limit, body.frame()).await.map_err(silent)?;
        let Some(frame) = frame else { return Ok(body_bytes.freeze()) };
        if let Some(part) = frame.map_err(silent)?.data_ref() {
            body_bytes.extend_from_slice(part);
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

/// Unix time in milliseconds, as records in the store state it. With a clock before 1970 it is 0, so that all times in
/// the store lie in the future.
pub(crate) fn unix_ms() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as Millis)
}

impl IngressShared {
    /// A client with a connection of its own.
    pub(crate) fn store_client(&self) -> StoreClient {
        let store = &self.settings.store;
        let timeout = Duration::from_millis(store.timeout_ms);
        let traffic = self.own_load.traffic.store.clone();
        StoreClient::new(&store.address, timeout, self.epochs.clone(), traffic)
    }
}
