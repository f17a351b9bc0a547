//! Sends one request to one target, and classifies the outcome by whether the target may have run it.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use holdpoint_adapter::headers::{self, InvalidValue, SystemHeaders, TargetHead};
use holdpoint_core::{confinement::Within, directory::TargetInstance, reach::Trial};
use holdpoint_platform::Instant;
use http::{HeaderMap, Method, Request, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full, Limited};

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        checked_answer::{CheckedAnswer, Declined},
        connections::{Connection, Reuse},
        context::Context,
        dispatch::{Exchanged, Handoff, Outgoing, dispatch, dispatch_release, prepare_connection},
        gate::{ExchangeError, InternalKind, Payload, SendBlock, new_exchange_id},
        limits::Permit,
        received::ReceivedBody,
        shared::IngressShared,
        unread::MAX_RESPONSE_BYTES,
    },
};

/// Longest request body that may still be in transit when its connection is kept after the answer.
pub(crate) const SHORT_BODY_BYTES: usize = 8 << 10;

/// Longest body of an answer to an internal call without items. Many such answers may be awaited at the same time, so that
/// none gets much more room than it needs.
const MAX_INTERNAL_BYTES: usize = 4 << 10;
/// Part of such a body for each work item of the call: its result is a handle or a reason of some 50 bytes.
const MAX_ITEM_BYTES: usize = 512;
/// Logged cause of a send whose target asked this instance to back off.
pub(crate) const BACKOFF_CAUSE: &str = "backoff";

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) path: http::Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: String,
}

/// Why an internal call to a target has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InternalCallError {
    /// There is no connection to the target, or no byte of the call was sent.
    NotSent,
    /// Neither this instance nor a peer reaches the service.
    NoPath,
    /// The gate refused the send.
    Blocked(SendBlock),
    /// The connection broke off.
    Broken,
    /// The answer belongs to another call.
    Crossed,
    /// The call timed out.
    TimedOut,
}

impl From<ExchangeError> for InternalCallError {
    fn from(why: ExchangeError) -> InternalCallError {
        match why {
            ExchangeError::Blocked(it) => InternalCallError::Blocked(it),
            ExchangeError::NotSent | ExchangeError::Refused(_) | ExchangeError::NoRelay => {
                InternalCallError::NotSent
            }
            ExchangeError::NoPath => InternalCallError::NoPath,
            ExchangeError::Broken => InternalCallError::Broken,
            ExchangeError::Crossed => InternalCallError::Crossed,
        }
    }
}

/// Outcome of a send.
pub(crate) enum SendOutcome {
    /// There is no connection to the target, or no byte of the request was sent.
    NotSent,
    /// Neither this instance nor a peer reaches the service.
    NoPath,
    /// The gate refused the send.
    Blocked(SendBlock),
    /// The target has not run the request and never will.
    Declined(Declined),
    /// The head of an answer to this request.
    Answered(Box<Exchanged>),
    /// There is no valid answer; the target may have run the request.
    Broken,
}

/// Sends a request and waits for the head of its answer.
pub(crate) async fn send(
    ctx: &Context,
    target: &TargetInstance,
    (permit, handoff): (Permit, &Handoff),
    added_headers: &SystemHeaders<'_>,
) -> SendOutcome {
    let Context { shared, request, .. } = ctx;
    let forwarded = match forwarded(request, added_headers) {
        Ok(Some(it)) => it,
        Ok(None) => return SendOutcome::NotSent,
        Err(it) => {
            record_invalid(shared, &request.id, target, &it);
            return SendOutcome::Blocked(SendBlock::InvalidHeader);
        }
    };
    let within = ctx.within();
    let outgoing = Outgoing {
        target,
        permit: &permit,
        payload: Payload::Request {
            id: &request.id,
            within: &within,
            continuation: added_headers.continuation,
        },
        request: forwarded,
        deadline: Some(ctx.deadline),
        reuse: ctx.reuse(),
        is_repeatable: ctx.is_repeatable(),
        trial: ctx.trial(),
        within: &within,
        handoff,
    };
    let Exchanged { connection, answer } = match dispatch(shared, outgoing).await {
        Ok(it) => it,
        Err(ExchangeError::Blocked(it)) => return SendOutcome::Blocked(it),
        Err(ExchangeError::NoPath) => return SendOutcome::NoPath,
        Err(ExchangeError::NotSent | ExchangeError::Refused(_) | ExchangeError::NoRelay) => {
            return SendOutcome::NotSent;
        }
        Err(ExchangeError::Broken) => {
            ctx.connection_broken(target, false);
            return SendOutcome::Broken;
        }
        Err(ExchangeError::Crossed) => return SendOutcome::Broken,
    };
    if let Some(it) = answer.declined() {
        if !answer.head().is_misdirected {
            keep_connection(shared, connection, &answer, request.body.len());
        }
        return SendOutcome::Declined(it);
    }
    let is_success = answer.response().status().is_success();
    if is_success && !answer.head().has_signature {
        return SendOutcome::Broken;
    }
    SendOutcome::Answered(Box::new(Exchanged { connection, answer }))
}

/// Whether an answer asks this instance to back off.
pub(crate) fn asks_backoff(parts: &Parts) -> bool {
    headers::read_target(parts.status, &parts.headers).notice.backoff.is_requested()
}

/// Result of reading an answer's body.
pub(crate) enum BodyRead {
    /// The complete body.
    Whole(Bytes),
    /// The start of a body that is too long to be buffered, and the unread rest.
    Long(Bytes, ReceivedBody),
    /// The connection broke off.
    Broken,
}

/// Reads an answer's body to its end, up to the buffer limit of an answer. Buffered bytes count against the
/// instance's limit for unread answers; where that is reached, the rest is to be streamed.
pub(crate) async fn read_body(shared: &IngressShared, mut body: ReceivedBody) -> BodyRead {
    let mut read = BytesMut::new();
    let mut counted = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return BodyRead::Broken };
        let Ok(data) = frame.into_data() else { continue };
        read.extend_from_slice(&data);
        match shared.unread.reserve(data.len()) {
            Some(it) if read.len() <= MAX_RESPONSE_BYTES => counted.push(it),
            _ => return BodyRead::Long(read.freeze(), body),
        }
    }
    BodyRead::Whole(read.freeze())
}

/// An internal call to a target.
pub(crate) struct InternalCall {
    pub(crate) path: &'static str,
    pub(crate) body: Vec<u8>,
    pub(crate) kind: InternalKind,
    /// Number of work items whose results the answer lists.
    pub(crate) items: usize,
}

/// The complete answer to an internal call. Dropping it closes its connection.
pub(crate) struct InternalAnswer {
    pub(crate) status: StatusCode,
    pub(crate) head: TargetHead,
    pub(crate) body: Bytes,
    connection: Connection,
}

impl InternalAnswer {
    /// Keeps the connection of a valid answer for later requests, unless the target closes it. One that may carry
    /// nothing more is replaced, so that the target's next call does not wait for a connection.
    pub(crate) fn keep_connection(self, shared: &Arc<IngressShared>, target: &TargetInstance) {
        if self.head.is_closing {
            return;
        }
        let idle_limit = self.head.idle_limit;
        if !self.connection.is_spent() {
            shared.connections.give_back(self.connection, idle_limit);
        } else if self.status.is_success() && !self.connection.is_relayed() {
            prepare_connection(shared, target, idle_limit);
        }
    }
}

/// Makes an internal call, under an id that no other exchange has.
pub(crate) async fn internal_call(
    shared: &Arc<IngressShared>,
    (target, permit): (&TargetInstance, Permit),
    call: InternalCall,
    within: &Within,
    limit: Duration,
) -> Result<InternalAnswer, InternalCallError> {
    let id = new_exchange_id();
    let max_bytes = MAX_INTERNAL_BYTES + MAX_ITEM_BYTES * call.items;
    let calling = async {
        let request = internal_request(shared, target, (call.path, call.body), &id)?;
        let outgoing = Outgoing {
            target,
            permit: &permit,
            payload: call.kind.payload(&id),
            request,
            deadline: None,
            reuse: Reuse::Any,
            is_repeatable: true,
            trial: Trial::Affordable,
            within,
            handoff: &Handoff::default(),
        };
        let Exchanged { connection, answer } = dispatch(shared, outgoing).await?;
        let (head, response) = answer.into_parts();
        let status = response.status();
        let body = Limited::new(response.into_body(), max_bytes).collect().await;
        let body = body.map_err(|_| InternalCallError::Broken)?.to_bytes();
        Ok(InternalAnswer { status, head, body, connection })
    };
    tokio::time::timeout(limit, calling).await.map_err(|_| InternalCallError::TimedOut)?
}

/// Releases results at their target, whose answer counts only as having arrived. Returns `None` if the target's own
/// path is lost.
pub(crate) async fn release_call(
    shared: &Arc<IngressShared>,
    (target, permit): (&TargetInstance, &Permit),
    (path, body): (&'static str, Vec<u8>),
    limit: Duration,
) -> Option<Result<(), InternalCallError>> {
    let id = new_exchange_id();
    let request = match internal_request(shared, target, (path, body), &id) {
        Ok(it) => it,
        Err(it) => return Some(Err(it)),
    };
    let sending = dispatch_release(shared, (target, permit), &id, request);
    match tokio::time::timeout(limit, sending).await {
        Ok(it) => it.map(|it| it.map_err(InternalCallError::from)),
        Err(_) => Some(Err(InternalCallError::TimedOut)),
    }
}

fn internal_request(
    shared: &IngressShared,
    target: &TargetInstance,
    (path, body): (&'static str, Vec<u8>),
    id: &str,
) -> Result<Request<Full<Bytes>>, InternalCallError> {
    let headers = headers::internal_call_headers(&target.id, id).map_err(|it| {
        record_invalid(shared, id, target, &it);
        InternalCallError::Blocked(SendBlock::InvalidHeader)
    })?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(path);
    *request.headers_mut() = headers;
    set_host(request.headers_mut(), &target.address);
    Ok(request)
}

fn record_invalid(
    shared: &IngressShared,
    id: &str,
    target: &TargetInstance,
    invalid: &InvalidValue,
) {
    let detail = format!(
        "id={} target={} header={}",
        LoggedName(id),
        LoggedName(&target.id),
        invalid.header
    );
    emit(events::INVALID_HEADER, &shared.settings.instance, &detail);
}

/// Time left until an instant; zero once it has passed.
pub(crate) fn time_until(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

/// The request as it is sent to a target; `None` if it has no path.
fn forwarded(
    request: &CallerRequest,
    added_headers: &SystemHeaders<'_>,
) -> Result<Option<Request<Full<Bytes>>>, InvalidValue> {
    let Some(path) = request.path.path_and_query() else { return Ok(None) };
    let mut out = Request::new(Full::new(request.body.clone()));
    *out.method_mut() = request.method.clone();
    *out.uri_mut() = http::Uri::from(path.clone());
    *out.headers_mut() = headers::forwarded(&request.headers, added_headers)?;
    Ok(Some(out))
}

fn set_host(headers: &mut HeaderMap, address: &str) {
    if let Ok(it) = http::HeaderValue::from_str(address) {
        headers.insert(http::header::HOST, it);
    }
}

/// Keeps the connection of an answer that is not forwarded, if the answer has no body left to read.
fn keep_connection(
    shared: &IngressShared,
    connection: Connection,
    answer: &CheckedAnswer,
    body_length: usize,
) {
    use hyper::body::Body;
    let is_empty = answer.response().body().is_end_stream();
    let head = answer.head();
    if is_empty && !head.is_closing && body_length <= SHORT_BODY_BYTES {
        shared.connections.give_back(connection, head.idle_limit);
    }
}
