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
/// Header that is present once the target is leaving.
pub const LEAVING: &str = "target-leaving";
/// Header with the milliseconds that the target spent.
pub const COST: &str = "target-cost-ms";

/// What a target says of itself with an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Signs {
    /// Load, where reported.
    pub load: Option<TargetLoad>,
    /// Incarnation, where told.
    pub incarnation: Option<String>,
    /// Whether it is leaving.
    pub leaving: bool,
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
    /// How long the answer is of use.
    pub limit: Duration,
}

/// Calls targets.
#[derive(Clone, Debug)]
pub struct TargetClient {
    http: Http,
}

impl TargetClient {
    /// Makes a client.
    pub fn new(http: Http) -> TargetClient {
        TargetClient { http }
    }

    /// Calls a target. What it says of itself comes back with a failure, too.
    pub async fn call(&self, call: &TargetCall<'_>) -> (Result<Value, CallError>, Signs) {
        let headers = headers_of(call.attempt, call.key, call.token);
        let body = serde_json::to_vec(call.inputs).unwrap_or_default();
        let sent =
            self.http.call(Method::POST, call.address, call.path, &headers, body, call.limit);
        let reply = match sent.await {
            Ok(it) => it,
            Err(it) => return (Err(it), Signs::default()),
        };
        let signs = signs(&reply.headers);
        if !reply.status.is_success() {
            return (Err(CallError::Status(reply.status.as_u16())), signs);
        }
        if !is_echoed(&reply.headers, call.attempt) {
            return (Err(CallError::Crossed), signs);
        }
        (serde_json::from_slice(&reply.body).map_err(|_| CallError::BadAnswer), signs)
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

pub(crate) fn signs(headers: &HeaderMap) -> Signs {
    Signs {
        load: text(headers, LOAD).and_then(|it| serde_json::from_str(it).ok()),
        incarnation: text(headers, INCARNATION).map(str::to_owned),
        leaving: headers.contains_key(LEAVING),
        cost_ms: text(headers, COST).and_then(|it| it.parse().ok()).unwrap_or(0),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
