//! Client for the platform's list of live and draining instances, which may be out of date.

use std::time::Duration;

use holdpoint_schema::platform::Listing;
use hyper::{Method, StatusCode};

use crate::http::{CallError, Http};

const ETAG: &str = "etag";
const IF_NONE_MATCH: &str = "if-none-match";

/// Reads the list with conditional requests, since transferring the full list of a large system at
/// each poll would take too much bandwidth.
#[derive(Clone, Debug)]
pub struct ListClient {
    http: Http,
    address: String,
    timeout: Duration,
    /// Entity tag of the list read last.
    tag: Option<String>,
}

impl ListClient {
    /// Creates a client for the list at `address`.
    pub fn new(http: Http, address: &str, timeout: Duration) -> ListClient {
        ListClient { http, address: address.to_owned(), timeout, tag: None }
    }

    /// Reads the list; `None` if it has not changed since the last read.
    pub async fn read(&mut self) -> Result<Option<Listing>, CallError> {
        let headers: Vec<_> = self.tag.clone().map(|it| (IF_NONE_MATCH, it)).into_iter().collect();
        let call =
            self.http.call(Method::GET, &self.address, "/list", &headers, Vec::new(), self.timeout);
        let reply = call.await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !reply.status.is_success() {
            return Err(CallError::Status(reply.status.as_u16()));
        }
        let listing = serde_json::from_slice(&reply.body).map_err(|_| CallError::BadAnswer)?;
        let tag = reply.headers.get(ETAG).and_then(|it| it.to_str().ok());
        self.tag = tag.map(str::to_owned);
        Ok(Some(listing))
    }
}
