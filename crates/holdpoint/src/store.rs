//! HTTP client for the platform's store.

use std::time::Duration;

use holdpoint_adapter::store::{
    KeyedRecord, Listing, Progress, append_body, append_path, parse_newest,
};
use holdpoint_platform::{Http, operators::ApiError};
use hyper::Method;
use serde_json::Value;

use crate::failure::Failure;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the newest record of each key of a topic.
///
/// # Errors
///
/// If a page cannot be read, or the list has no end.
pub(crate) async fn newest(store: &str, topic: &'static str) -> Result<Vec<KeyedRecord>, Failure> {
    let mut listing = Listing::new(topic);
    loop {
        let body = get(store, &listing.next_path()).await?;
        let page = parse_newest(&body).map_err(|it| Failure::Input(it.to_string()))?;
        match listing.add(page) {
            Progress::More => (),
            Progress::Complete => return Ok(listing.into_records()),
            Progress::Stuck => {
                let text = format!("the list of {topic} cannot be read to its end");
                return Err(Failure::Input(text));
            }
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
    let path = append_path(topic);
    let body = append_body(key, value).map_err(|it| Failure::Input(it.to_string()))?;
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
