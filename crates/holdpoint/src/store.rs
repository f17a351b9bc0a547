//! HTTP client for the platform's store.

use std::time::Duration;

use holdpoint_adapter::store::{KeyedRecord, append_body, append_path, newest_path, parse_newest};
use holdpoint_platform::{Http, operators::ApiError};
use hyper::Method;
use serde_json::Value;

use crate::failure::Failure;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the newest record of each key of a topic.
pub(crate) async fn newest(store: &str, topic: &str) -> Result<Vec<KeyedRecord>, Failure> {
    let mut records: Vec<KeyedRecord> = Vec::new();
    loop {
        let path = newest_path(topic, records.last().map(|it| it.key.as_str()));
        let body = get(store, &path).await?;
        let page = parse_newest(&body).map_err(|it| Failure::Input(it.to_string()))?;
        let is_empty = page.records.is_empty();
        records.extend(page.records);
        if !page.has_more || is_empty {
            return Ok(records);
        }
    }
}

/// Appends a record to a keyed topic; an empty value deletes the key.
pub(crate) async fn append(
    store: &str,
    topic: &str,
    key: &str,
    value: &[u8],
) -> Result<(), Failure> {
    let (path, body) = (append_path(topic), append_body(key, value));
    call(Method::POST, store, &path, body).await.map(drop)
}

/// Sends a GET request to any address of the system and returns the body.
pub(crate) async fn get(address: &str, path: &str) -> Result<Vec<u8>, Failure> {
    call(Method::GET, address, path, Vec::new()).await
}

async fn call(
    method: Method,
    address: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<Vec<u8>, Failure> {
    let called = Http::new().call(method, address, path, &[], body, CALL_TIMEOUT).await;
    let reply = called.map_err(|it| Failure::Api(ApiError::Call(it)))?;
    if reply.status.is_success() {
        return Ok(reply.body.to_vec());
    }
    Err(Failure::Api(ApiError::Refused(reply.status.as_u16(), Value::Null)))
}
