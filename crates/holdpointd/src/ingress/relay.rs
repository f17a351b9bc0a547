//! Relays requests to targets between instances, for one whose own path to a target is lost.
//!
//! The request goes to the peer by HTTP on the peer's RPC address, unchanged but for a few headers, and the peer
//! sends it on a connection of its own. The answer streams back as the sender reads it. Closing the connection
//! cancels the request at the target. A peer never passes a request on to another peer. Each of its answers names
//! the id of the request, whether the target has answered or not.

mod server;

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};

use bytes::Bytes;
use holdpoint_adapter::headers;
use holdpoint_core::{
    confinement::Within,
    directory::TargetInstance,
    ids::{Millis, Name},
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::Full;
use parking_lot::Mutex;

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        connections::Reuse,
        dispatch::{Exchanged, Outgoing},
        gate::{ExchangeError, Payload, SendBlock, exchange, exchange_probe, new_exchange_id},
        limits::Permit,
        received::ReceivedBody,
        shared::IngressShared,
    },
    metrics::label,
};

pub(crate) use self::server::serve;

/// Id of the target that a relayed request is for.
const TARGET: HeaderName = HeaderName::from_static("relay-target");
/// Kind of a relayed request.
const KIND: HeaderName = HeaderName::from_static("relay-kind");
/// Whether a relayed request was counted against its target's rate limit.
const COUNTED: HeaderName = HeaderName::from_static("relay-counted");
/// Whether a relayed request may be sent again.
const REPEATABLE: HeaderName = HeaderName::from_static("relay-repeatable");
/// How a relayed request ended, in the answer to it.
const OUTCOME: HeaderName = HeaderName::from_static("relay-outcome");

/// Maximum number of peers that are asked to relay one request.
const MAX_PEERS: usize = 4;
/// How long a peer that cannot relay requests of a service is not asked again.
const UNABLE_MS: Millis = 1000;
/// Time limit for a peer to probe a target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a peer did not send a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayRefusal {
    /// The peer is isolated from the service as well.
    Isolated,
    /// The peer cannot make a connection to the target, although it reaches others of the service.
    TargetLost,
    /// The peer carries too many relayed requests, is shutting down or does not know the target.
    Busy,
}

impl RelayRefusal {
    /// Name on the wire and in the log.
    pub(crate) fn name(self) -> &'static str {
        RelayOutcome::Refused(self).name()
    }
}

/// How a relayed request ended at the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayOutcome {
    Answered,
    Refused(RelayRefusal),
    Blocked(SendBlock),
    /// The target may have run the request.
    Broken,
}

const OUTCOMES: [(&str, RelayOutcome); 10] = [
    ("answered", RelayOutcome::Answered),
    ("isolated", RelayOutcome::Refused(RelayRefusal::Isolated)),
    ("target-lost", RelayOutcome::Refused(RelayRefusal::TargetLost)),
    ("busy", RelayOutcome::Refused(RelayRefusal::Busy)),
    ("closed", RelayOutcome::Blocked(SendBlock::Closed)),
    ("limited", RelayOutcome::Blocked(SendBlock::Limited)),
    ("backoff", RelayOutcome::Blocked(SendBlock::BackingOff)),
    ("full", RelayOutcome::Blocked(SendBlock::Full)),
    ("other-version", RelayOutcome::Blocked(SendBlock::OtherVersion)),
    ("broken", RelayOutcome::Broken),
];

impl RelayOutcome {
    fn name(self) -> &'static str {
        OUTCOMES.iter().find(|it| it.1 == self).map_or("broken", |it| it.0)
    }
}

/// Kind of a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayKind {
    Request,
    Items,
    Release,
    /// Finds out whether the peer reaches the target.
    Probe,
}

const KINDS: [(&str, RelayKind); 4] = [
    ("request", RelayKind::Request),
    ("items", RelayKind::Items),
    ("release", RelayKind::Release),
    ("probe", RelayKind::Probe),
];

impl RelayKind {
    fn of(payload: Payload<'_>) -> RelayKind {
        match payload {
            Payload::Request { .. } => RelayKind::Request,
            Payload::Items { .. } => RelayKind::Items,
            Payload::Release { .. } => RelayKind::Release,
        }
    }

    fn name(self) -> &'static str {
        KINDS.iter().find(|it| it.1 == self).map_or("request", |it| it.0)
    }
}

/// State of relaying at an instance.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    /// Until when a peer is not asked to relay requests of a service, in milliseconds.
    unable: Mutex<HashMap<(String, Name), Millis>>,
    /// Number of requests carried for peers.
    carried: Arc<AtomicUsize>,
}

impl Relays {
    fn is_unable(&self, now: Millis, address: &str, service: &str) -> bool {
        let unable = self.unable.lock();
        let key = (address.to_owned(), service.to_owned());
        !unable.is_empty() && unable.get(&key).is_some_and(|it| now < *it)
    }

    fn record_unable(&self, now: Millis, address: &str, service: &str) {
        let mut unable = self.unable.lock();
        unable.retain(|_, it| now < *it);
        unable.insert((address.to_owned(), service.to_owned()), now + UNABLE_MS);
    }
}

/// Sends a request through a peer, and waits for the head of its answer.
///
/// # Errors
///
/// [`ExchangeError::NoRelay`] if no peer reaches the service, [`ExchangeError::NotSent`] if peers do not reach the
/// target either. In both cases nothing was sent.
pub(crate) async fn send(
    shared: &Arc<IngressShared>,
    outgoing: &mut Outgoing<'_>,
) -> Result<Exchanged, ExchangeError> {
    let Outgoing { target, permit, payload, reuse, .. } = *outgoing;
    // Without its header a peer would not know the target.
    let target_id = HeaderValue::from_str(&target.id)
        .map_err(|_| ExchangeError::Blocked(SendBlock::InvalidHeader))?;
    let mut is_target_lost = false;
    for address in peers_for(shared, &target.service, outgoing.within) {
        let Ok(mut connection) = shared.connections.take_peer(&address, reuse, payload.id()).await
        else {
            shared.relays.record_unable(shared.clock.now(), &address, &target.service);
            continue;
        };
        outgoing.update_time_left();
        let mut request = outgoing.request.clone();
        let is_repeatable = outgoing.is_repeatable;
        let kind = RelayKind::of(payload);
        mark(request.headers_mut(), target_id.clone(), kind, (permit, is_repeatable));
        outgoing.handoff.record(Some(&address));
        let sent = exchange(shared, &mut connection, (target, permit), payload, request).await;
        log_relayed(shared, target, &address, payload, sent.as_ref().err());
        match sent {
            Ok(answer) => {
                let is_lost = shared.paths.record_relayed(shared.clock.now(), target);
                if is_lost && !answer.head().is_misdirected {
                    shared.quarantines.target_answered(target);
                }
                return Ok(Exchanged { connection, answer });
            }
            Err(ExchangeError::Refused(why)) => {
                shared.connections.give_back(connection, None);
                match why {
                    RelayRefusal::TargetLost => is_target_lost = true,
                    RelayRefusal::Isolated | RelayRefusal::Busy => {
                        let now = shared.clock.now();
                        shared.relays.record_unable(now, &address, &target.service);
                    }
                }
            }
            Err(ExchangeError::NotSent) => (),
            Err(it) => return Err(it),
        }
    }
    if is_target_lost {
        shared.paths.record_target_lost(shared.clock.now(), &target.id);
        return Err(ExchangeError::NotSent);
    }
    Err(ExchangeError::NoRelay)
}

/// Asks peers whether they reach a lost target; `None` if none of them can tell.
pub(crate) async fn probe(shared: &Arc<IngressShared>, target: &TargetInstance) -> Option<bool> {
    let target_id = HeaderValue::from_str(&target.id).ok()?;
    let mut is_reached = None;
    for address in peers_for(shared, &target.service, &None) {
        let id = new_exchange_id();
        let Ok(mut connection) = shared.connections.take_peer(&address, Reuse::Any, &id).await
        else {
            continue;
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::POST;
        let headers = request.headers_mut();
        headers.insert(http::header::HOST, HeaderValue::from_static("relay"));
        headers::set_id(headers, &id);
        mark(headers, target_id.clone(), RelayKind::Probe, (&Permit::assigned(), true));
        let probed = exchange_probe(shared, &mut connection, &id, request);
        match tokio::time::timeout(PROBE_TIMEOUT, probed).await {
            Ok(Ok(())) => {
                shared.connections.give_back(connection, None);
                shared.paths.record_relayed(shared.clock.now(), target);
                return Some(true);
            }
            Ok(Err(ExchangeError::Refused(RelayRefusal::TargetLost))) => {
                shared.connections.give_back(connection, None);
                is_reached = Some(false);
            }
            _ => (),
        }
    }
    if is_reached == Some(false) {
        shared.paths.record_target_lost(shared.clock.now(), &target.id);
    }
    is_reached
}

/// Addresses of the peers to ask, in order of preference.
fn peers_for(shared: &IngressShared, service: &str, within: &Within) -> Vec<String> {
    let now = shared.clock.now();
    let is_able = |address: &String| {
        let is_allowed = within.as_ref().is_none_or(|it| shared.peers.is_confined_to(address, it));
        is_allowed && !shared.relays.is_unable(now, address, service)
    };
    shared.peers.relays().iter().filter(|it| is_able(it)).take(MAX_PEERS).cloned().collect()
}

fn mark(
    headers: &mut HeaderMap,
    target_id: HeaderValue,
    kind: RelayKind,
    (permit, is_repeatable): (&Permit, bool),
) {
    headers.insert(TARGET, target_id);
    headers.insert(KIND, HeaderValue::from_static(kind.name()));
    for (name, is_set) in [(COUNTED, permit.is_counted()), (REPEATABLE, is_repeatable)] {
        headers.insert(name, HeaderValue::from_static(if is_set { "1" } else { "0" }));
    }
}

/// Checks how a request ended at the peer that relayed it, and removes the peer's own header from the answer.
pub(crate) fn check_outcome(response: &mut Response<ReceivedBody>) -> Result<(), ExchangeError> {
    let outcome = response.headers_mut().remove(OUTCOME);
    let outcome = outcome.as_ref().and_then(|it| it.to_str().ok());
    let outcome = OUTCOMES.iter().find(|it| Some(it.0) == outcome).map(|it| it.1);
    match outcome {
        Some(RelayOutcome::Answered) => Ok(()),
        Some(RelayOutcome::Refused(it)) => Err(ExchangeError::Refused(it)),
        Some(RelayOutcome::Blocked(it)) => Err(ExchangeError::Blocked(it)),
        Some(RelayOutcome::Broken) | None => Err(ExchangeError::Broken),
    }
}

fn log_relayed(
    shared: &IngressShared,
    target: &TargetInstance,
    address: &str,
    payload: Payload<'_>,
    error: Option<&ExchangeError>,
) {
    let outcome = error.map_or("answered", |it| it.name());
    let id = payload.id();
    let kind = RelayKind::of(payload).name();
    let detail = format!(
        "id={} target={} peer={address} kind={kind} outcome={outcome}",
        LoggedName(id),
        target.id
    );
    emit(events::RELAYED, &shared.settings.instance, &detail);
    let labels = [label("service", target.service.as_str()), label("outcome", outcome)];
    shared.metrics.relayed.add(1, &labels);
}
