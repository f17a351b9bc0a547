//! The last check before anything is sent to a target, and the place where the notices in its answers are
//! applied.
//!
//! A target is chosen well before the first byte is sent: a connection has to be made, a batch waits for its turn,
//! a peer places a prompt. The gate checks the target against its state at the time of the send. A connection
//! sends only with a [`Clearance`], which only this module creates, so no send can skip the check. Notices are applied but
//! for releases, whose answers are not used.

use holdpoint_adapter::headers::{self, TargetHead};
use holdpoint_core::{
    confinement::{Within, is_within},
    directory::TargetInstance,
    ids::Millis,
    overload::Admission,
    stream_versions::Continuation,
    target_limits::NamedLimit,
    target_status::{Backoff, TargetStatus},
};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Bytes;

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        checked_answer::CheckedAnswer,
        connections::{Connection, ReleaseConnection},
        drain_notices::{self, DrainNotice},
        limits::Permit,
        received::{ReceivedBody, check_head},
        relay::{self, RelayRefusal},
        shared::{IngressShared, MISDIRECTED_SIGN},
    },
    metrics::label,
};

/// Permission to send one request on a connection now.
#[derive(Debug)]
pub(crate) struct Clearance(());

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Payload<'a> {
    /// A caller's request.
    Request {
        /// Its id, which its answer has to repeat.
        id: &'a str,
        /// Regions that its target must be in.
        within: &'a Within,
        /// Set if it continues a stream, which only a target of the version that began it may do.
        continuation: Option<&'a Continuation>,
    },
    /// A call with work items of a stage.
    Items { id: &'a str },
    /// A call that releases stage results.
    Release { id: &'a str },
}

impl<'a> Payload<'a> {
    /// Id of the exchange, which its answer has to repeat.
    pub(crate) fn id(self) -> &'a str {
        match self {
            Payload::Request { id, .. } | Payload::Items { id } | Payload::Release { id } => id,
        }
    }

    /// The same, if even the first answer on a connection has to repeat it, unless it comes from something else than the
    /// addressed target.
    fn required_id(self) -> Option<&'a str> {
        match self {
            Payload::Request { id, .. } => Some(id),
            Payload::Items { .. } | Payload::Release { .. } => None,
        }
    }
}

/// Kind of a call that the system makes for itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum InternalKind {
    Items,
    Release,
}

impl InternalKind {
    /// The payload of a call with this id.
    pub(crate) fn payload(self, id: &str) -> Payload<'_> {
        match self {
            InternalKind::Items => Payload::Items { id },
            InternalKind::Release => Payload::Release { id },
        }
    }
}

/// Returns an id for an exchange that is no caller's request.
pub(crate) fn new_exchange_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Why nothing may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendBlock {
    /// The target is draining or gone, or its failure domain or version gets no work.
    Closed,
    /// The target has named a rate limit since the permit was issued.
    Limited,
    /// The target has asked this instance to back off.
    BackingOff,
    /// The target would crash if it had to reject the request.
    Full,
    /// The target runs another version of its software than the one that began the stream.
    OtherVersion,
    /// A header of the request cannot hold its value.
    InvalidHeader,
}

impl SendBlock {
    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            SendBlock::Closed => "closed",
            SendBlock::Limited => "limited",
            SendBlock::BackingOff => "backoff",
            SendBlock::Full => "full",
            SendBlock::OtherVersion => "other-version",
            SendBlock::InvalidHeader => "invalid-header",
        }
    }
}

/// Why an exchange returned no answer head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The gate refused the send.
    Blocked(SendBlock),
    /// The connection was lost before the first byte was sent.
    NotSent,
    /// The connection broke off.
    Broken,
    /// The answer belongs to another request.
    Crossed,
    /// The peer that was to relay the request has not sent it.
    Refused(RelayRefusal),
    /// No peer reaches the service.
    NoRelay,
    /// Neither this instance nor a peer reaches the service.
    NoPath,
}

impl ExchangeError {
    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ExchangeError::Blocked(it) => it.name(),
            ExchangeError::NotSent => "not-sent",
            ExchangeError::Broken => "broken",
            ExchangeError::Crossed => "crossed",
            ExchangeError::Refused(it) => it.name(),
            ExchangeError::NoRelay => "no-relay",
            ExchangeError::NoPath => "no-path",
        }
    }
}

/// Sends a request on a connection to its target, if the gate allows it, and waits for the head of the answer. Nothing
/// of an answer to another request is used; its connection must not be used again either.
pub(crate) async fn exchange(
    shared: &IngressShared,
    connection: &mut Connection,
    (target, permit): (&TargetInstance, &Permit),
    payload: Payload<'_>,
    request: Request<Full<Bytes>>,
) -> Result<CheckedAnswer, ExchangeError> {
    let clearance =
        grant_clearance(shared, target, permit, payload).map_err(ExchangeError::Blocked)?;
    let mut pending = PendingRequest::begin(shared, &target.id).map_err(ExchangeError::Blocked)?;
    let sent = shared.clock.now();
    let received = receive(shared, connection, payload, clearance, request).await;
    pending.is_answered = !matches!(received, Err(ExchangeError::Broken | ExchangeError::Crossed));
    let answer = received?;
    let head = answer.head();
    if head.is_misdirected {
        // Another target has this address now, and its notices say nothing about the one that was meant.
        shared.mark_draining(&DrainNotice::of(target), MISDIRECTED_SIGN);
        return Ok(answer);
    }
    apply_notices(shared, target, &head.notice, payload, sent);
    // Before the place is free again, so that nothing is sent between a rejection and its pause.
    apply_overload_limit(shared, target, head);
    Ok(answer)
}

/// Releases results on a connection to their target, if the gate allows it. Succeeds once an answer has arrived whole;
/// nothing else of it is used, since it may belong to an earlier release.
pub(crate) async fn exchange_release(
    shared: &IngressShared,
    connection: &mut ReleaseConnection,
    (target, permit): (&TargetInstance, &Permit),
    id: &str,
    request: Request<Full<Bytes>>,
) -> Result<(), ExchangeError> {
    let clearance = grant_clearance(shared, target, permit, Payload::Release { id })
        .map_err(ExchangeError::Blocked)?;
    let mut pending = PendingRequest::begin(shared, &target.id).map_err(ExchangeError::Blocked)?;
    let sent = connection.send(clearance, request).await;
    pending.is_answered = sent != Err(ExchangeError::Broken);
    sent
}

/// Sends a request, and checks that the answer belongs to it.
async fn receive(
    shared: &IngressShared,
    connection: &mut Connection,
    payload: Payload<'_>,
    clearance: Clearance,
    request: Request<Full<Bytes>>,
) -> Result<CheckedAnswer, ExchangeError> {
    let is_fresh = connection.is_fresh();
    let mut response = send(connection, clearance, request).await?;
    let named = check_named(shared, connection, (payload.id(), is_fresh), &response)?;
    if connection.is_relayed() {
        relay::check_outcome(&mut response)?;
    }
    // What has another target's address now need not repeat the ids of requests that it does not run.
    let required = payload.required_id().filter(|_| !is_misdirected(&response));
    CheckedAnswer::check(named.or(required), response)
        .map_err(|other| record_crossed(shared, connection, payload.id(), other.as_deref()))
}

fn is_misdirected(response: &Response<ReceivedBody>) -> bool {
    headers::read_target(response.status(), response.headers()).is_misdirected
}

/// Checks that an answer belongs to the exchange with this id. One that names no id does if it is the first on its
/// connection: any other may be a second answer to what was sent before.
///
/// Returns the id if the answer names it.
fn check_named<'a>(
    shared: &IngressShared,
    connection: &mut Connection,
    (id, is_fresh): (&'a str, bool),
    response: &Response<ReceivedBody>,
) -> Result<Option<&'a str>, ExchangeError> {
    match headers::read_target(response.status(), response.headers()).request_id {
        Some(it) if it == id => {
            connection.record_named(id);
            Ok(Some(id))
        }
        None if is_fresh => Ok(None),
        other => Err(record_crossed(shared, connection, id, other.as_deref())),
    }
}

/// Records that the answer to the exchange `id` belongs to another one.
fn record_crossed(
    shared: &IngressShared,
    connection: &Connection,
    id: &str,
    other: Option<&str>,
) -> ExchangeError {
    let (remote, other) = (connection.remote(), other.unwrap_or_default());
    let detail = format!("id={} remote={remote} answer_id={}", LoggedName(id), LoggedName(other));
    emit(events::WRONG_ATTEMPT, &shared.settings.instance, &detail);
    shared.metrics.wrong_attempts.add(1, &[]);
    ExchangeError::Crossed
}

/// Asks a peer on its connection to probe a target.
pub(crate) async fn exchange_probe(
    shared: &IngressShared,
    connection: &mut Connection,
    id: &str,
    request: Request<Full<Bytes>>,
) -> Result<(), ExchangeError> {
    let is_fresh = connection.is_fresh();
    let mut response = send(connection, Clearance(()), request).await?;
    check_named(shared, connection, (id, is_fresh), &response)?;
    relay::check_outcome(&mut response)
}

async fn send(
    connection: &mut Connection,
    clearance: Clearance,
    request: Request<Full<Bytes>>,
) -> Result<Response<ReceivedBody>, ExchangeError> {
    let sent = connection.send(clearance, request).await.map_err(|it| match it.message() {
        Some(_) => ExchangeError::NotSent,
        None => ExchangeError::Broken,
    });
    check_head(sent?)
}

/// Checks whether a payload may be sent to a target now.
fn grant_clearance(
    shared: &IngressShared,
    target: &TargetInstance,
    permit: &Permit,
    payload: Payload<'_>,
) -> Result<Clearance, SendBlock> {
    let is_open = match payload {
        Payload::Request { within, continuation, .. } => {
            let found = match continuation {
                Some(_) => shared.open_or_draining_target(&target.id),
                None => shared.open_target(&target.id),
            };
            let version = continuation.map_or(&target.version, |it| &it.version);
            // Another version may have started under the target's id since it was chosen.
            if found.as_ref().is_some_and(|it| it.version != *version) {
                return Err(SendBlock::OtherVersion);
            }
            found.is_some_and(|it| is_within(within.as_deref(), &it.domain))
        }
        Payload::Items { .. } => shared.open_target(&target.id).is_some(),
        // The results of a draining target need no release.
        Payload::Release { .. } => shared.target(&target.id).is_some_and(|it| !it.is_draining),
    };
    if !is_open {
        return Err(SendBlock::Closed);
    }
    if !shared.limits.allows(permit, &target.id) {
        return Err(SendBlock::Limited);
    }
    if shared.backoff_ms(target) != 0 {
        return Err(SendBlock::BackingOff);
    }
    Ok(Clearance(()))
}

/// Counts a request to a target that too many rejections would crash, until it is dropped.
struct PendingRequest<'a> {
    shared: &'a IngressShared,
    target: &'a str,
    is_counted: bool,
    is_answered: bool,
}

impl<'a> PendingRequest<'a> {
    /// Counts a request, unless the target must not get it now.
    fn begin(shared: &'a IngressShared, target: &'a str) -> Result<PendingRequest<'a>, SendBlock> {
        let admission = shared.overloads.lock().begin(shared.clock.now(), target);
        if admission == Admission::Refused {
            return Err(SendBlock::Full);
        }
        let is_counted = admission == Admission::Counted;
        Ok(PendingRequest { shared, target, is_counted, is_answered: false })
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.is_counted {
            let now = self.shared.clock.now();
            self.shared.overloads.lock().end(now, self.target, self.is_answered);
        }
    }
}

/// Applies the limit of rejections that a target states in an answer.
fn apply_overload_limit(shared: &IngressShared, target: &TargetInstance, head: &TargetHead) {
    let (now, instances) = (shared.clock.now(), shared.peers.instance_count());
    let mut overloads = shared.overloads.lock();
    let limit = head.notice.overload_limit;
    let Some(limit) = limit.filter(|_| head.is_declined) else {
        let share = target.slots / instances.max(1) as u32;
        return overloads.record_accepted(now, &target.id, limit, share);
    };
    let ms = overloads.record_rejected(now, &target.id, limit, instances);
    drop(overloads);
    let key = (target.id.as_str(), target.service.as_str());
    shared.backoffs.lock().request(now, key, target.born, ms);
    let detail = format!("target={} limit_per_s={limit} pause_ms={ms}", target.id);
    emit(events::OVERLOAD_LIMIT, &shared.settings.instance, &detail);
    shared.metrics.overload_pauses.add(1, &[label("service", target.service.as_str())]);
}

/// Applies the notices in a target's answer to a request that was sent at `sent`.
fn apply_notices(
    shared: &IngressShared,
    target: &TargetInstance,
    notice: &TargetStatus,
    payload: Payload<'_>,
    sent: Millis,
) {
    let instance = &shared.settings.instance;
    if shared.is_of_former_incarnation(target) {
        return;
    }
    if notice.limit == NamedLimit::Invalid {
        emit(events::BAD_LIMIT, instance, &format!("target={}", target.id));
    }
    shared.limits.observe(shared, target, notice.limit, sent);
    if let Some(load) = notice.load {
        let now = shared.clock.now();
        match payload {
            Payload::Request { .. } => {
                shared.pools.of(now, &target.service).record_load(now, &target.id, load);
            }
            Payload::Items { .. } => shared.batches.record_load(now, target, load, 1),
            Payload::Release { .. } => shared.batches.record_load(now, target, load, 0),
        }
    }
    if notice.is_draining {
        drain_notices::record_drain_answer(shared, target);
    }
    match &notice.backoff {
        Backoff::None => (),
        Backoff::For(ms) => {
            let key = (target.id.as_str(), target.service.as_str());
            // Counted from the arrival of the answer, the backoff is never too short.
            let longer = shared.backoffs.lock().request(shared.clock.now(), key, target.born, *ms);
            if let Some(left) = longer {
                let detail = format!("target={} asked_ms={ms} backoff_ms={left}", target.id);
                emit(events::BACKOFF_REQUESTED, instance, &detail);
                let labels = [label("service", target.service.as_str())];
                shared.metrics.backoffs.add(1, &labels);
            }
        }
        Backoff::Invalid(value) => {
            if shared.backoffs.lock().record_invalid(&target.id) {
                let detail = format!("target={} value={value:?}", target.id);
                emit(events::BAD_BACKOFF, instance, &detail);
            }
        }
    }
}
