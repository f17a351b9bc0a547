//! Client for the platform's lagging list of live and leaving instances.

use std::time::Duration;

use holdpoint_schema::platform::Listing;
use hyper::Method;

use crate::http::{CallError, Http};

/// Reads the list.
#[derive(Clone, Debug)]
pub struct ListClient {
    http: Http,
    address: String,
    timeout: Duration,
}

impl ListClient {
    /// Makes a client of the list at `address`.
    pub fn new(http: Http, address: &str, timeout: Duration) -> ListClient {
        ListClient { http, address: address.to_owned(), timeout }
    }

    /// Reads the whole list.
    pub async fn read(&self) -> Result<Listing, CallError> {
        let reply = self
            .http
            .call(Method::GET, &self.address, "/list", &[], Vec::new(), self.timeout)
            .await?;
        if !reply.status.is_success() {
            return Err(CallError::Status(reply.status.as_u16()));
        }
        serde_json::from_slice(&reply.body).map_err(|_| CallError::BadAnswer)
    }
}
