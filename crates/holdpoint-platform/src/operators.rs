//! Client of an instance's operator API, for the command line and for experiments.

use std::time::Duration;

use holdpoint_schema::caller::ChangeStatus;
use hyper::{Method, StatusCode};
use serde_json::Value;

use crate::http::{CallError, Http, Reply};

/// Timeout of a call. An instance answers a change within its setting `change_wait_ms`.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Error of an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiError {
    /// No complete response was received.
    Call(CallError),
    /// The instance refused the call: status and problem document.
    Refused(u16, Value),
}

/// Calls the operator API of one instance.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: Http,
    address: String,
    token: String,
}

/// Options of a change.
#[derive(Clone, Debug, Default)]
pub struct ChangeForm {
    /// Version that the change is based on: 0 if the resource must not exist; the active version if
    /// absent.
    pub base: Option<u64>,
    /// Change id, which makes a retry idempotent; a new one if absent.
    pub change: Option<String>,
}

impl OperatorClient {
    /// Creates a client for the instance at `address`.
    pub fn new(http: Http, address: &str, token: &str) -> OperatorClient {
        OperatorClient { http, address: address.to_owned(), token: token.to_owned() }
    }

    /// Reads a document.
    pub async fn get(&self, path: &str) -> Result<Value, ApiError> {
        let reply = self.call(Method::GET, path, &[], Vec::new()).await?;
        let value = serde_json::from_slice(&reply.body).unwrap_or_default();
        if reply.status.is_success() {
            Ok(value)
        } else {
            Err(ApiError::Refused(reply.status.as_u16(), value))
        }
    }

    /// Sets a resource.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        spec: &Value,
        form: &ChangeForm,
    ) -> Result<ChangeStatus, ApiError> {
        let body = serde_json::to_vec(spec).unwrap_or_default();
        self.change(Method::PUT, kind, name, body, form).await
    }

    /// Deletes a resource.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        form: &ChangeForm,
    ) -> Result<ChangeStatus, ApiError> {
        self.change(Method::DELETE, kind, name, Vec::new(), form).await
    }

    /// Starts a watch; the response body has one event per line.
    pub async fn watch(
        &self,
        kind: &str,
        from: u64,
    ) -> Result<hyper::Response<hyper::body::Incoming>, ApiError> {
        let path = format!("/apis/v1/{kind}?watch=true&from={from}");
        let headers = [("authorization", format!("Bearer {}", self.token))];
        let opened = self.http.open(Method::GET, &self.address, &path, &headers, Vec::new()).await;
        let reply = opened.map_err(ApiError::Call)?;
        if reply.status().is_success() {
            Ok(reply)
        } else {
            Err(ApiError::Refused(reply.status().as_u16(), Value::Null))
        }
    }

    async fn change(
        &self,
        method: Method,
        kind: &str,
        name: &str,
        body: Vec<u8>,
        form: &ChangeForm,
    ) -> Result<ChangeStatus, ApiError> {
        let mut headers = Vec::new();
        headers.extend(form.base.map(|it| ("if-match", it.to_string())));
        headers.extend(form.change.clone().map(|it| ("holdpoint-change", it)));
        let reply = self.call(method, &format!("/apis/v1/{kind}/{name}"), &headers, body).await?;
        let refused = |reply: &Reply| {
            let value = serde_json::from_slice(&reply.body).unwrap_or_default();
            ApiError::Refused(reply.status.as_u16(), value)
        };
        match reply.status {
            StatusCode::OK
            | StatusCode::ACCEPTED
            | StatusCode::CONFLICT
            | StatusCode::PRECONDITION_FAILED
            | StatusCode::GATEWAY_TIMEOUT => {
                serde_json::from_slice(&reply.body).map_err(|_| refused(&reply))
            }
            _ => Err(refused(&reply)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Result<Reply, ApiError> {
        let mut all = vec![("authorization", format!("Bearer {}", self.token))];
        all.extend(headers.iter().cloned());
        let call = self.http.call(method, &self.address, path, &all, body, CALL_TIMEOUT);
        call.await.map_err(ApiError::Call)
    }
}
