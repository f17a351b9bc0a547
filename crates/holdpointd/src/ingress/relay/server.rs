//! The side of the peer that carries relayed requests.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use holdpoint_adapter::headers;
use holdpoint_core::{
    directory::TargetInstance,
    reach::{Path, Trial},
};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Version, header};
use http_body_util::{Full, Limited};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{
    COUNTED, KIND, KINDS, OUTCOME, REPEATABLE, RelayKind, RelayOutcome, RelayRefusal, TARGET,
};
use crate::{
    ingress::{
        connections::{Connection, Reach, Reuse},
        counted_stream::CountedStream,
        dispatch::{Exchanged, Handoff, Outgoing, send_direct},
        gate::{ExchangeError, Payload, new_exchange_id},
        limits::Permit,
        paths,
        received::{BodyError, ReceivedBody},
        send::SHORT_BODY_BYTES,
        shared::IngressShared,
    },
    serving::{
        closing::run_connection,
        lingering_stream::LingeringStream,
        socket_check::{CheckedStream, SocketCheck},
    },
    shared::InFlightGuard,
};

/// Maximum number of requests that an instance carries for peers at a time. Each may hold an answer buffer of
/// 16 kB and its body.
const MAX_CARRIED: usize = 256;
/// Largest body of a relayed request, in bytes: that of a call with work items.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Read buffer of a connection from a peer, in bytes. A caller's request head has to fit.
const BUFFER_BYTES: usize = 64 << 10;

/// Serves a peer's connection until it closes. `check` is that of its socket, and `unread` holds a stop until the connection's requests are read.
pub(crate) async fn serve(
    shared: Arc<IngressShared>,
    stream: CountedStream<CheckedStream<TcpStream>>,
    check: SocketCheck,
    unread: Option<InFlightGuard>,
) {
    let (state, used) = (shared.clone(), OnceLock::new());
    let service = service_fn(move |it| {
        let shared = state.clone();
        used.get_or_init(|| shared.used_connections.start());
        async move { Ok::<_, Infallible>(carry(&shared, it).await) }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(LingeringStream::new(stream)), service);
    // An error ends the connection, and with it the requests on it.
    let IngressShared { closing, used_connections, .. } = &*shared;
    drop(run_connection(closing, used_connections, connection, &check, unread).await);
}

/// Counts a request as carried until it is dropped.
struct Carried {
    count: Arc<AtomicUsize>,
    _in_flight: InFlightGuard,
}

impl Carried {
    /// Counts a request, unless the instance is draining or carries too many.
    fn begin(shared: &IngressShared) -> Option<Carried> {
        if shared.is_draining.load(Ordering::Acquire) {
            return None;
        }
        let count = shared.relays.carried.clone();
        if MAX_CARRIED <= count.fetch_add(1, Ordering::AcqRel) {
            count.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        Some(Carried { count, _in_flight: shared.in_flight.start() })
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Sends a peer's request to its target.
async fn carry(shared: &Arc<IngressShared>, mut request: Request<Incoming>) -> Response<RelayBody> {
    let id = headers::read_caller(request.headers()).request_id.unwrap_or_else(new_exchange_id);
    // Peers of earlier versions send internal calls without an id.
    headers::set_id(request.headers_mut(), &id);
    let mut response = match try_carry(shared, request, &id).await {
        Ok(it) => it,
        Err(it) => {
            let mut response = Response::new(RelayBody::Empty);
            // Without the header of the outcome this status would be a promise.
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response.headers_mut().insert(OUTCOME, HeaderValue::from_static(it.name()));
            response
        }
    };
    headers::set_id(response.headers_mut(), &id);
    if shared.is_draining.load(Ordering::Acquire) {
        // A request that crosses the close of an idle connection may have run, as far as the peer can tell.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn try_carry(
    shared: &Arc<IngressShared>,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<RelayBody>, RelayOutcome> {
    const BUSY: RelayOutcome = RelayOutcome::Refused(RelayRefusal::Busy);
    let carried = Carried::begin(shared).ok_or(BUSY)?;
    let (mut parts, body) = request.into_parts();
    let order = RelayOrder::take(shared, &mut parts.headers).ok_or(BUSY)?;
    let body = shared.bodies.read(Limited::new(body, MAX_BODY_BYTES)).await;
    let body = body.ok().flatten().ok_or(BUSY)?;
    let target = &order.target;
    let refuse = || {
        let is_isolated = shared.paths.is_isolated(&target.service);
        let why = if is_isolated { RelayRefusal::Isolated } else { RelayRefusal::TargetLost };
        RelayOutcome::Refused(why)
    };
    // The retry budget that would pay for another send is the sender's.
    let trial = if order.is_repeatable { Trial::Costly } else { Trial::Forbidden };
    if shared.paths.path(shared.clock.now(), target, trial) == Path::Relayed {
        return Err(refuse());
    }
    if order.kind == RelayKind::Probe {
        return match shared.connections.reach(target).await {
            Reach::None => {
                paths::record_loss(shared, target);
                Err(refuse())
            }
            _ => Ok(answered(Response::new(RelayBody::Empty))),
        };
    }
    headers::remove_hop_by_hop(&mut parts.headers);
    let is_short = body.len() <= SHORT_BODY_BYTES;
    let mut outgoing = Outgoing {
        target,
        permit: &order.permit,
        payload: match order.kind {
            RelayKind::Items => Payload::Items { id },
            RelayKind::Release => Payload::Release { id },
            // The sender has checked the bounds of the request, and the version if it continues a stream.
            RelayKind::Request | RelayKind::Probe => {
                Payload::Request { id, within: &None, continuation: None }
            }
        },
        request: Request::from_parts(parts, Full::new(body)),
        deadline: None,
        reuse: if order.is_repeatable { Reuse::Any } else { Reuse::RecentOnly },
        is_repeatable: order.is_repeatable,
        trial,
        within: &None,
        handoff: &Handoff::default(),
    };
    let sent = send_direct(shared, &mut outgoing).await;
    let Exchanged { connection, answer } = sent.map_err(|it| match it {
        ExchangeError::NotSent => refuse(),
        ExchangeError::Blocked(it) => RelayOutcome::Blocked(it),
        _ => RelayOutcome::Broken,
    })?;
    let (head, response) = answer.into_parts();
    let (mut parts, body) = response.into_parts();
    // An answer in an earlier version would be sent without chunks, so that its cut could not be told from its end.
    parts.version = Version::HTTP_11;
    headers::remove_hop_by_hop(&mut parts.headers);
    let is_kept = !head.is_closing && (is_short || parts.status.is_success());
    let body = TargetBody {
        body,
        target: target.clone(),
        connection: Some(connection),
        idle_limit: if is_kept { head.idle_limit } else { Some(Duration::ZERO) },
        shared: shared.clone(),
        _carried: carried,
    };
    Ok(answered(Response::from_parts(parts, RelayBody::Target(Box::new(body)))))
}

fn answered(mut response: Response<RelayBody>) -> Response<RelayBody> {
    let outcome = HeaderValue::from_static(RelayOutcome::Answered.name());
    response.headers_mut().insert(OUTCOME, outcome);
    response
}

/// What a peer asks for.
struct RelayOrder {
    target: TargetInstance,
    kind: RelayKind,
    permit: Permit,
    is_repeatable: bool,
}

impl RelayOrder {
    /// Reads and removes the headers of a relayed request; `None` if the target is not known.
    fn take(shared: &IngressShared, headers: &mut HeaderMap) -> Option<RelayOrder> {
        let mut text =
            |name| headers.remove(name).and_then(|it| it.to_str().ok().map(str::to_owned));
        let target = text(TARGET)?;
        let kind = text(KIND)?;
        let is_counted = text(COUNTED)? == "1";
        let is_repeatable = text(REPEATABLE)? == "1";
        Some(RelayOrder {
            target: shared.target(&target)?,
            kind: KINDS.iter().find(|it| it.0 == kind)?.1,
            permit: Permit::relayed(is_counted),
            is_repeatable,
        })
    }
}

/// Body of the answer to a relayed request.
enum RelayBody {
    Empty,
    Target(Box<TargetBody>),
}

/// A target's answer. Dropping it before its end closes the connection, so that the target cancels its work.
struct TargetBody {
    body: ReceivedBody,
    target: TargetInstance,
    connection: Option<Connection>,
    /// How long the connection may be kept for other requests once the answer has been read.
    idle_limit: Option<Duration>,
    shared: Arc<IngressShared>,
    _carried: Carried,
}

impl TargetBody {
    fn ended(&mut self) {
        if let Some(it) = self.connection.take() {
            self.shared.connections.give_back(it, self.idle_limit);
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let RelayBody::Target(target) = self.get_mut() else { return Poll::Ready(None) };
        let polled = Pin::new(&mut target.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(_))) => {
                paths::record_heard(&target.shared, &target.target);
                if target.body.is_end_stream() {
                    target.ended();
                }
            }
            Poll::Ready(None) => target.ended(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => (),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Empty => true,
            RelayBody::Target(it) => it.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Empty => SizeHint::with_exact(0),
            RelayBody::Target(it) => it.body.size_hint(),
        }
    }
}

impl Drop for TargetBody {
    fn drop(&mut self) {
        // An answer without a body is never polled.
        if self.body.is_end_stream() {
            self.ended();
        }
    }
}
