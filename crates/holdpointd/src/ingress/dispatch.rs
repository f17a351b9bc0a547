//! Sends requests to targets: over the target's own path, or through a peer where that path is lost.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use holdpoint_adapter::headers;
use holdpoint_core::{
    confinement::Within,
    directory::TargetInstance,
    reach::{Path, Trial},
};
use holdpoint_platform::Instant;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::ingress::{
    checked_answer::CheckedAnswer,
    connections::{Connection, ReleaseConnection, Reuse},
    gate::{ExchangeError, Payload, exchange, exchange_release},
    limits::Permit,
    paths::{self, AwaitedAnswer},
    relay,
    send::time_until,
    shared::IngressShared,
};

/// A request to a target.
pub(crate) struct Outgoing<'a> {
    pub(crate) target: &'a TargetInstance,
    pub(crate) permit: &'a Permit,
    pub(crate) payload: Payload<'a>,
    pub(crate) request: Request<Full<Bytes>>,
    /// Deadline of the caller, which the request states; `None` if it states none.
    pub(crate) deadline: Option<Instant>,
    pub(crate) reuse: Reuse,
    /// Whether it may be sent again after it may have been run.
    pub(crate) is_repeatable: bool,
    /// Whether it may try a path that was lost.
    pub(crate) trial: Trial,
    /// Regions that its bytes may pass through.
    pub(crate) within: &'a Within,
    /// Set when the request is handed to a connection.
    pub(crate) handoff: &'a Handoff,
}

/// Tells when a request was handed to a connection, and which peer relays it, if one does.
#[derive(Debug, Default)]
pub(crate) struct Handoff {
    handed: Mutex<Option<Handed>>,
    is_cancelled: AtomicBool,
}

#[derive(Clone, Debug)]
struct Handed {
    at: Instant,
    /// Address of the peer that relays the request.
    peer: Option<String>,
}

impl Handoff {
    pub(crate) fn record(&self, peer: Option<&str>) {
        *self.handed.lock() = Some(Handed { at: Instant::now(), peer: peer.map(str::to_owned) });
    }

    /// When the request was handed over; `None` before.
    pub(crate) fn at(&self) -> Option<Instant> {
        self.handed.lock().as_ref().map(|it| it.at)
    }

    /// Address of the peer that relays the request.
    pub(crate) fn peer(&self) -> Option<String> {
        self.handed.lock().as_ref().and_then(|it| it.peer.clone())
    }

    /// Records that the answer is not awaited any longer, so that its absence says nothing about the target's path.
    pub(crate) fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Release);
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.is_cancelled.load(Ordering::Acquire)
    }
}

impl Outgoing<'_> {
    /// Updates the time that the request states to be left: attempts to connect may have taken a part of it.
    pub(crate) fn update_time_left(&mut self) {
        if let Some(it) = self.deadline {
            headers::set_time_left(self.request.headers_mut(), time_until(it));
        }
    }

    fn take_request(&mut self) -> Request<Full<Bytes>> {
        self.update_time_left();
        std::mem::replace(&mut self.request, Request::new(Full::default()))
    }
}

/// The head of an answer, with the connection that its body arrives on.
pub(crate) struct Exchanged {
    pub(crate) connection: Connection,
    pub(crate) answer: CheckedAnswer,
}

/// Sends a request, and waits for the head of its answer.
pub(crate) async fn dispatch(
    shared: &Arc<IngressShared>,
    mut outgoing: Outgoing<'_>,
) -> Result<Exchanged, ExchangeError> {
    let Outgoing { target, payload, reuse, trial, .. } = outgoing;
    let mut is_tried = false;
    if shared.paths.path(shared.clock.now(), target, trial) == Path::Direct {
        if let Some(it) = connect(shared, target, reuse, payload.id()).await {
            return send_on(shared, it, &mut outgoing).await;
        }
        if !shared.paths.is_lost(shared.clock.now(), &target.id) {
            return Err(ExchangeError::NotSent);
        }
        is_tried = true;
    }
    let sent = relay::send(shared, &mut outgoing).await;
    if !matches!(sent, Err(ExchangeError::NoRelay | ExchangeError::NotSent)) {
        return sent;
    }
    let now = shared.clock.now();
    let targets = shared.pool_size(&target.service);
    if shared.paths.record_no_relay(now, &target.service, targets) {
        return Err(ExchangeError::NoPath);
    }
    match sent {
        // An attempt on the lost path is better than none.
        _ if !is_tried => send_direct(shared, &mut outgoing).await,
        _ => Err(ExchangeError::NotSent),
    }
}

/// Sends a request on a connection of this instance.
pub(crate) async fn send_direct(
    shared: &Arc<IngressShared>,
    outgoing: &mut Outgoing<'_>,
) -> Result<Exchanged, ExchangeError> {
    let id = outgoing.payload.id();
    let made = connect(shared, outgoing.target, outgoing.reuse, id).await;
    send_on(shared, made.ok_or(ExchangeError::NotSent)?, outgoing).await
}

async fn send_on(
    shared: &Arc<IngressShared>,
    mut connection: Connection,
    outgoing: &mut Outgoing<'_>,
) -> Result<Exchanged, ExchangeError> {
    let Outgoing { target, permit, payload, handoff, .. } = *outgoing;
    let awaited = AwaitedAnswer::new(shared, target).with_handoff(handoff);
    let request = outgoing.take_request();
    handoff.record(None);
    let sending = exchange(shared, &mut connection, (target, permit), payload, request);
    let sent = match payload {
        // A late request goes on until another send has answered.
        Payload::Request { .. } => sending.await,
        Payload::Items { .. } | Payload::Release { .. } => tokio::select! {
            it = sending => it,
            () = paths::wait_lost(shared, target) => Err(ExchangeError::Broken),
        },
    };
    match sent {
        Ok(answer) => {
            let was_lost = awaited.answered();
            if was_lost && !answer.head().is_misdirected {
                shared.quarantines.target_answered(target);
            }
            Ok(Exchanged { connection, answer })
        }
        Err(ExchangeError::Broken) => {
            awaited.broken().await;
            Err(ExchangeError::Broken)
        }
        Err(it) => {
            awaited.disregard();
            Err(it)
        }
    }
}

/// Releases results over the target's own path, on a connection for releases. Returns `None` if that path is lost.
pub(crate) async fn dispatch_release(
    shared: &Arc<IngressShared>,
    (target, permit): (&TargetInstance, &Permit),
    id: &str,
    request: Request<Full<Bytes>>,
) -> Option<Result<(), ExchangeError>> {
    if shared.paths.path(shared.clock.now(), target, Trial::Affordable) != Path::Direct {
        return None;
    }
    let mut idle = shared.connections.take_release(&target.id);
    if idle.is_none() {
        idle = make(shared, target).await.and_then(ReleaseConnection::new);
    }
    let Some(mut connection) = idle else {
        let is_lost = shared.paths.is_lost(shared.clock.now(), &target.id);
        return (!is_lost).then_some(Err(ExchangeError::NotSent));
    };
    let awaited = AwaitedAnswer::new(shared, target);
    let sent = tokio::select! {
        it = exchange_release(shared, &mut connection, (target, permit), id, request) => it,
        () = paths::wait_lost(shared, target) => Err(ExchangeError::Broken),
    };
    if sent == Err(ExchangeError::Broken) {
        awaited.broken().await;
    } else {
        awaited.disregard();
    }
    if sent.is_ok() {
        shared.connections.give_back_release(connection);
    }
    Some(sent)
}

/// Takes an idle connection or makes a new one.
async fn connect(
    shared: &Arc<IngressShared>,
    target: &TargetInstance,
    reuse: Reuse,
    id: &str,
) -> Option<Connection> {
    if let Some(it) = shared.connections.take_idle(&target.id, reuse, id) {
        return Some(it);
    }
    make(shared, target).await
}

/// Makes a connection that the next request to a target finds idle, if idle ones are kept.
pub(crate) fn prepare_connection(
    shared: &Arc<IngressShared>,
    target: &TargetInstance,
    idle_limit: Option<Duration>,
) {
    if !shared.connections.keeps_idle(&target.service, idle_limit) {
        return;
    }
    let (shared, target) = (shared.clone(), target.clone());
    tokio::spawn(async move {
        if let Some(it) = make(&shared, &target).await {
            shared.connections.give_back(it, idle_limit);
        }
    });
}

/// Makes a connection. A request that does not wait for it leaves it to the next one, and a failure still counts.
async fn make(shared: &Arc<IngressShared>, target: &TargetInstance) -> Option<Connection> {
    let (sender, made) = oneshot::channel();
    let (shared, target) = (shared.clone(), target.clone());
    tokio::spawn(async move {
        let made = if shared.paths.has_doubts() {
            shared.connections.make_checked(&target).await
        } else {
            shared.connections.make(&target).await
        };
        if made.is_err() {
            paths::record_loss(&shared, &target);
        }
        if let Err(Some(it)) = sender.send(made.ok()) {
            shared.connections.give_back(it, None);
        }
    });
    made.await.ok()?
}
