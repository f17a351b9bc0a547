//! One send of one request to one target, and what its outcome proves.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use holdpoint_adapter::headers::{self, Added, TargetHead};
use holdpoint_core::directory::TargetInstance;
use holdpoint_platform::Instant;
use http::{HeaderMap, Method, Request, Response, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::ingress::{
    connections::{Care, Connection},
    context::Context,
    gate::{Barred, NoHead, Payload, exchange},
    limits::Permit,
    shared::IngressShared,
    unread::MOST_EACH,
};

/// Longest body that may still be on its way when an answer is there and the connection is kept.
pub(crate) const SHORT_BODY: usize = 8 << 10;

/// End of a send in the log whose target has asked this instance to back off.
pub(crate) const BACKED_OFF: &str = "backoff";

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
    /// There is no connection to the target, or no byte of the call was sent.
    NotSent,
    /// No byte was sent, since none may be.
    Barred(Barred),
    /// The connection broke off.
    Broken,
    /// It took too long.
    Silent,
}

impl From<NoHead> for NoAnswer {
    fn from(why: NoHead) -> NoAnswer {
        match why {
            NoHead::Barred(it) => NoAnswer::Barred(it),
            NoHead::NotSent => NoAnswer::NotSent,
            NoHead::Broken | NoHead::Crossed => NoAnswer::Broken,
        }
    }
}

/// Outcome of a send.
pub(crate) enum Sent {
    /// There is no connection to the target, or no byte of the request was sent.
    Nothing,
    /// No byte was sent, since none may be.
    Barred(Barred),
    /// The target has not run the request and never will.
    Declined {
        status: StatusCode,
        /// Whether it has asked this instance to back off.
        asks_backoff: bool,
    },
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
    let within = ctx.within();
    let payload = Payload::Request { id: &request.id, within: &within };
    let sent = exchange(shared, &mut connection, (target, &permit), payload, outgoing).await;
    let (head, response) = match sent {
        Ok(it) => it,
        Err(NoHead::Barred(it)) => return Sent::Barred(it),
        Err(NoHead::NotSent) => return Sent::Nothing,
        Err(NoHead::Broken) => {
            ctx.broke_off(target);
            return Sent::Broken;
        }
        Err(NoHead::Crossed) => return Sent::Broken,
    };
    if head.is_declined {
        let status = response.status();
        if !head.is_misdirected {
            keep_after(shared, connection, &response, &head, request.body.len());
        }
        let asks_backoff = head.notice.backoff.is_requested();
        return Sent::Declined { status, asks_backoff };
    }
    if response.status().is_success() && !head.has_signature {
        return Sent::Broken;
    }
    Sent::Answered { head, response: Box::new(response), connection }
}

/// Whether an answer asks this instance to back off.
pub(crate) fn asks_backoff(parts: &Parts) -> bool {
    headers::read_target(parts.status, &parts.headers).notice.backoff.is_requested()
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

/// A call of the system's own to a target: its path and body, and what it carries.
pub(crate) struct OwnCall {
    pub(crate) path: &'static str,
    pub(crate) body: Vec<u8>,
    pub(crate) payload: Payload<'static>,
}

/// Makes a call of the system's own; returns its answer's status, head and body.
pub(crate) async fn own_call(
    shared: &IngressShared,
    (target, permit): (&TargetInstance, Permit),
    call: OwnCall,
    limit: Duration,
) -> Result<(StatusCode, TargetHead, Bytes), NoAnswer> {
    let calling = async {
        let taken = shared.connections.take(target, Care::Usual).await;
        let mut connection = taken.map_err(|_| NoAnswer::NotSent)?;
        let mut request = Request::new(Full::new(Bytes::from(call.body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(call.path);
        *request.headers_mut() = headers::own_call(&target.id);
        set_host(request.headers_mut(), &target.address);
        let sent = exchange(shared, &mut connection, (target, &permit), call.payload, request);
        let (head, response) = sent.await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| NoAnswer::Broken)?.to_bytes();
        if !head.closes {
            shared.connections.give_back(connection, head.idle_limit);
        }
        Ok((status, head, body))
    };
    tokio::time::timeout(limit, calling).await.map_err(|_| NoAnswer::Silent)?
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
