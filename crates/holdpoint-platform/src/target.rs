//! Client for encoders, retrievers, rerankers and plain services: JSON over HTTP.

use std::time::Duration;

use holdpoint_core::ids::{AttemptId, Offset};
use holdpoint_schema::platform::TargetLoad;
use hyper::{HeaderMap, Method};
use serde_json::{Map, Value};

use crate::http::{CallError, Http};

/// Header with the attempt id; the target returns it.
pub const ATTEMPT: &str = "x-request-id";
/// Header with the idempotency key, for targets that check keys.
pub const KEY: &str = "idempotency-key";
/// Header with the fencing token, for targets that check tokens.
pub const TOKEN: &str = "fencing-token";
/// Header with the target's load, as JSON.
pub const LOAD: &str = "target-load";
/// Header with the target's incarnation.
pub const INCARNATION: &str = "target-incarnation";
/// Header that is present once the target is draining.
pub const DRAINING: &str = "target-leaving";
/// Header with the milliseconds that the target spent on the call.
pub const COST: &str = "target-cost-ms";

/// What a target reports about itself in the headers of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetInfo {
    /// Load, where reported.
    pub load: Option<TargetLoad>,
    /// Incarnation, where reported.
    pub incarnation: Option<String>,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Milliseconds spent on the call.
    pub cost_ms: u64,
}

/// A call to a target.
#[derive(Clone, Debug)]
pub struct TargetCall<'a> {
    /// Address of the target.
    pub address: &'a str,
    /// HTTP path.
    pub path: &'a str,
    /// Attempt id.
    pub attempt: &'a AttemptId,
    /// Idempotency key, for targets that check keys.
    pub key: Option<&'a str>,
    /// Fencing token, for targets that check tokens.
    pub token: Option<Offset>,
    /// Named inputs.
    pub inputs: &'a Map<String, Value>,
    /// Timeout of the call.
    pub limit: Duration,
}

/// Client of targets.
#[derive(Clone, Debug)]
pub struct TargetClient {
    http: Http,
}

impl TargetClient {
    /// Creates a client.
    pub fn new(http: Http) -> TargetClient {
        TargetClient { http }
    }

    /// Calls a target. Its reported state is returned with an error response as well.
    pub async fn call(&self, call: &TargetCall<'_>) -> (Result<Value, CallError>, TargetInfo) {
        let headers = headers_of(call.attempt, call.key, call.token);
        let body = serde_json::to_vec(call.inputs).unwrap_or_default();
        let sent =
            self.http.call(Method::POST, call.address, call.path, &headers, body, call.limit);
        let reply = match sent.await {
            Ok(it) => it,
            Err(it) => return (Err(it), TargetInfo::default()),
        };
        let target_info = target_info(&reply.headers);
        if !reply.status.is_success() {
            return (Err(CallError::Status(reply.status.as_u16())), target_info);
        }
        if !is_echoed(&reply.headers, call.attempt) {
            return (Err(CallError::Crossed), target_info);
        }
        (serde_json::from_slice(&reply.body).map_err(|_| CallError::BadAnswer), target_info)
    }
}

pub(crate) fn headers_of(
    attempt: &AttemptId,
    key: Option<&str>,
    token: Option<Offset>,
) -> Vec<(&'static str, String)> {
    let mut headers = vec![(ATTEMPT, attempt.to_string())];
    headers.extend(key.map(|it| (KEY, it.to_owned())));
    headers.extend(token.map(|it| (TOKEN, it.to_string())));
    headers
}

pub(crate) fn is_echoed(headers: &HeaderMap, attempt: &AttemptId) -> bool {
    text(headers, ATTEMPT).is_some_and(|it| it == attempt.to_string())
}

pub(crate) fn target_info(headers: &HeaderMap) -> TargetInfo {
    TargetInfo {
        load: text(headers, LOAD).and_then(|it| serde_json::from_str(it).ok()),
        incarnation: text(headers, INCARNATION).map(str::to_owned),
        is_draining: headers.contains_key(DRAINING),
        cost_ms: text(headers, COST).and_then(|it| it.parse().ok()).unwrap_or(0),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
