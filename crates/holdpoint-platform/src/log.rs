//! Client for the platform's append-only log.

use std::time::Duration;

use holdpoint_core::ids::{Millis, Offset};
use holdpoint_schema::{
    platform::{Appended, LogBatch},
    records::Record,
};
use hyper::{Method, StatusCode};

use crate::http::Http;

/// An append with an unknown outcome; it must be retried with the same record id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownAppend;

/// Error of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The log did not answer, or not with a valid batch.
    Silent,
    /// Records from that offset are no longer retained.
    Expired {
        /// Offset of the oldest record retained.
        first: Offset,
    },
}

/// A record read from the log.
#[derive(Clone, Debug)]
pub struct ReadRecord {
    /// Offset.
    pub offset: Offset,
    /// Time of the append by the log's clock, in milliseconds.
    pub at: Millis,
    /// Size, in bytes.
    pub bytes: usize,
    /// The record; `None` if this version cannot parse it.
    pub record: Option<Record>,
}

/// A batch of records read from the log.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Offset of the oldest record retained.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Time of the log's clock, in milliseconds.
    pub now: Millis,
    /// Records in order of offset.
    pub records: Vec<ReadRecord>,
}

/// Client of the log.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: Http,
    address: String,
    timeout: Duration,
}

impl LogClient {
    /// Creates a client for the log at `address`.
    pub fn new(http: Http, address: &str, timeout: Duration) -> LogClient {
        LogClient { http, address: address.to_owned(), timeout }
    }

    /// Appends a record to a stream.
    pub async fn append(&self, stream: &str, record: &Record) -> Result<Offset, UnknownAppend> {
        let body = serde_json::to_vec(record).map_err(|_| UnknownAppend)?;
        let path = format!("/streams/{stream}/records");
        let reply = self
            .http
            .call(Method::POST, &self.address, &path, &[], body, self.timeout)
            .await
            .map_err(|_| UnknownAppend)?;
        if reply.status != StatusCode::OK {
            return Err(UnknownAppend);
        }
        let appended: Appended = serde_json::from_slice(&reply.body).map_err(|_| UnknownAppend)?;
        Ok(appended.offset)
    }

    /// Reads up to `limit` records from an offset, waiting up to `wait` for the first one.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Batch, ReadError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&limit={limit}&wait={wait_ms}");
        let reply = self
            .http
            .call(Method::GET, &self.address, &path, &[], Vec::new(), self.timeout + wait)
            .await
            .map_err(|_| ReadError::Silent)?;
        let batch: LogBatch = match reply.status {
            StatusCode::OK | StatusCode::GONE => {
                serde_json::from_slice(&reply.body).map_err(|_| ReadError::Silent)?
            }
            _ => return Err(ReadError::Silent),
        };
        if reply.status == StatusCode::GONE {
            return Err(ReadError::Expired { first: batch.first });
        }
        let records = batch
            .records
            .into_iter()
            .map(|it| ReadRecord {
                offset: it.offset,
                at: it.at,
                bytes: it.data.len(),
                record: serde_json::from_str(&it.data).ok(),
            })
            .collect();
        Ok(Batch { first: batch.first, next: batch.next, now: batch.now, records })
    }
}
