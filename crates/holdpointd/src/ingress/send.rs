//! One send of one request to one target, and what its outcome proves.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use holdpoint_adapter::headers::{self, Added, TargetHead};
use holdpoint_core::directory::TargetInstance;
use holdpoint_platform::Instant;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::ingress::{
    connections::{Care, Connection},
    context::Context,
    limits::Permit,
    notices,
    shared::IngressShared,
    unread::MOST_EACH,
};

/// Longest body that may still be on its way when an answer is there and the connection is kept.
pub(crate) const SHORT_BODY: usize = 8 << 10;

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) path: http::Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: String,
}

/// Why a call of the system's own had no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// There is no connection to the target, or no byte of the call has left.
    NotSent,
    /// No byte has left, since the target named a limit after the call was let through.
    Limited,
    /// The connection broke off.
    Broken,
    /// It took too long.
    Silent,
}

/// Outcome of a send.
pub(crate) enum Sent {
    /// No byte of the request has left.
    Nothing,
    /// The same, since the target named a limit after the send was let through.
    Limited,
    /// The target has not run the request and never will.
    Declined { status: StatusCode, head: TargetHead },
    /// The head of an answer to this request.
    Answered { head: TargetHead, response: Box<Response<Incoming>>, connection: Connection },
    /// It may have run.
    Broken,
}

/// Sends a request and waits for the head of its answer.
pub(crate) async fn send(
    ctx: &Context,
    target: &TargetInstance,
    permit: Permit,
    added: &Added<'_>,
) -> Sent {
    let Context { shared, request, .. } = ctx;
    let Ok(mut connection) = shared.connections.take(target, ctx.care()).await else {
        return Sent::Nothing;
    };
    let Some(outgoing) = outgoing(request, added) else { return Sent::Nothing };
    // While the connection was made, the target may have begun to leave or named a limit, and its failure
    // domain may have been evacuated or is no longer allowed.
    if ctx.open_target(&target.id).is_none() {
        return Sent::Nothing;
    }
    if !shared.limits.allows(&permit, &target.id) {
        return Sent::Limited;
    }
    let begun = shared.clock.now();
    let response = match connection.sender.try_send_request(outgoing).await {
        Ok(it) => it,
        Err(it) if it.message().is_some() => return Sent::Nothing,
        Err(_) => {
            ctx.broke_off(target);
            return Sent::Broken;
        }
    };
    let head = headers::read_target(response.status(), response.headers());
    if head.is_misdirected {
        // The answer of another target, which knows nothing of this request's id.
        return Sent::Declined { status: response.status(), head };
    }
    if head.request_id.as_deref() != Some(request.id.as_str()) {
        shared.metrics.crossed.add(1, &[]);
        return Sent::Broken;
    }
    notices::observe(shared, target, &head.notice, begun);
    if head.is_declined {
        let status = response.status();
        keep_after(shared, connection, &response, &head, request.body.len());
        return Sent::Declined { status, head };
    }
    if response.status().is_success() && !head.has_signature {
        return Sent::Broken;
    }
    Sent::Answered { head, response: Box::new(response), connection }
}

/// What was read of an answer's body.
pub(crate) enum BodyRead {
    /// All of it.
    Whole(Bytes),
    /// The beginning of one that is too long to be held, and the rest.
    Long(Bytes, Incoming),
    /// It broke off.
    Broken,
}

/// Reads an answer's body to its end, as far as one may be held. What is held counts as unread meanwhile; where
/// there is no room for more, the answer is passed on as it comes.
pub(crate) async fn read_body(shared: &IngressShared, mut body: Incoming) -> BodyRead {
    let mut read = BytesMut::new();
    let mut counted = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return BodyRead::Broken };
        let Ok(data) = frame.into_data() else { continue };
        read.extend_from_slice(&data);
        match shared.unread.count(data.len()) {
            Some(it) if read.len() <= MOST_EACH => counted.push(it),
            _ => return BodyRead::Long(read.freeze(), body),
        }
    }
    BodyRead::Whole(read.freeze())
}

/// A call of the system's own to a target: its answer's status and body.
pub(crate) async fn own_call(
    shared: &IngressShared,
    (target, permit): (&TargetInstance, Permit),
    path: &'static str,
    body: Vec<u8>,
    limit: Duration,
) -> Result<(StatusCode, TargetHead, Bytes), NoAnswer> {
    let call = async {
        let taken = shared.connections.take(target, Care::Usual).await;
        let mut connection = taken.map_err(|_| NoAnswer::NotSent)?;
        if !shared.limits.allows(&permit, &target.id) {
            return Err(NoAnswer::Limited);
        }
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(path);
        *request.headers_mut() = headers::own_call(&target.id);
        set_host(request.headers_mut(), &target.address);
        let begun = shared.clock.now();
        let sent = connection.sender.try_send_request(request).await;
        let response = sent.map_err(|it| match it.message() {
            Some(_) => NoAnswer::NotSent,
            None => NoAnswer::Broken,
        })?;
        let status = response.status();
        let head = headers::read_target(status, response.headers());
        if !head.is_misdirected {
            notices::observe(shared, target, &head.notice, begun);
        }
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| NoAnswer::Broken)?.to_bytes();
        if !head.closes {
            shared.connections.give_back(connection, head.idle_limit);
        }
        Ok((status, head, body))
    };
    tokio::time::timeout(limit, call).await.map_err(|_| NoAnswer::Silent)?
}

/// Time left until a moment.
pub(crate) fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

fn outgoing(request: &CallerRequest, added: &Added<'_>) -> Option<Request<Full<Bytes>>> {
    let mut out = Request::new(Full::new(request.body.clone()));
    *out.method_mut() = request.method.clone();
    let path = request.path.path_and_query()?.clone();
    *out.uri_mut() = http::Uri::from(path);
    *out.headers_mut() = headers::forwarded(&request.headers, added);
    Some(out)
}

fn set_host(headers: &mut HeaderMap, address: &str) {
    if let Ok(it) = http::HeaderValue::from_str(address) {
        headers.insert(http::header::HOST, it);
    }
}

/// Keeps a connection after an answer that the caller does not need, once its body was read.
fn keep_after(
    shared: &IngressShared,
    connection: Connection,
    response: &Response<Incoming>,
    head: &TargetHead,
    body_length: usize,
) {
    use hyper::body::Body;
    let is_empty = response.body().is_end_stream();
    if is_empty && !head.closes && body_length <= SHORT_BODY {
        shared.connections.give_back(connection, head.idle_limit);
    }
}
