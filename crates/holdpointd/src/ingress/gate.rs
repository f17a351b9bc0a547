//! The gate that whatever is sent to a target passes last, and the one place that takes in what its answer says
//! of the target.
//!
//! A target is chosen well before the first byte is sent: a connection has to be made, a batch waits for its turn,
//! a prompt is placed by a peer. What was heard of the target meanwhile counts here. A connection sends nothing
//! without a [`Clearance`], which only [`exchange`] can make, so no kind of send can leave out either part.

use holdpoint_adapter::headers::{self, TargetHead};
use holdpoint_core::{
    confinement::{Within, is_within},
    directory::TargetInstance,
    ids::Millis,
    notice::{Backoff, Notice},
    target_limits::NamedLimit,
};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};

use crate::{
    events::{self, emit},
    ingress::{
        connections::Connection,
        departures::{self, Departure},
        limits::Permit,
        shared::IngressShared,
    },
    metrics::label,
};

/// The right to send one request on a connection at this moment.
#[derive(Debug)]
pub(crate) struct Clearance(());

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Payload<'a> {
    /// A caller's request.
    Request {
        /// Its id, which its answer bears.
        id: &'a str,
        /// What its target must be within.
        within: &'a Within,
    },
    /// A call that makes pieces.
    Pieces,
    /// A call that gives results up.
    Release,
}

/// Why nothing may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Barred {
    /// It is leaving or gone, or its failure domain or version gets no work.
    Closed,
    /// It has named a limit since the send was let through.
    Limited,
    /// It has asked this instance to back off.
    BackingOff,
}

impl Barred {
    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Barred::Closed => "closed",
            Barred::Limited => "limited",
            Barred::BackingOff => "backoff",
        }
    }
}

/// Why there is no head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoHead {
    /// No byte was sent, since none may be.
    Barred(Barred),
    /// No byte was sent, since the connection was lost.
    NotSent,
    /// The connection broke off.
    Broken,
    /// An answer to another request came.
    Crossed,
}

/// Sends a request on a connection to its target, if it may still be sent, and waits for the head of its answer.
pub(crate) async fn exchange(
    shared: &IngressShared,
    connection: &mut Connection,
    (target, permit): (&TargetInstance, &Permit),
    payload: Payload<'_>,
    request: Request<Full<Bytes>>,
) -> Result<(TargetHead, Response<Incoming>), NoHead> {
    let clearance = clear(shared, target, permit, payload).map_err(NoHead::Barred)?;
    let sent = shared.clock.now();
    let response = connection.send(clearance, request).await.map_err(|it| match it.message() {
        Some(_) => NoHead::NotSent,
        None => NoHead::Broken,
    })?;
    let head = headers::read_target(response.status(), response.headers());
    if head.is_misdirected {
        // Another target has the address now, and speaks for itself only.
        shared.target_leaves(&Departure::of(target), "misdirected");
        return Ok((head, response));
    }
    if let Payload::Request { id, .. } = payload
        && head.request_id.as_deref() != Some(id)
    {
        shared.metrics.crossed.add(1, &[]);
        return Err(NoHead::Crossed);
    }
    observe(shared, target, &head.notice, payload, sent);
    Ok((head, response))
}

/// Whether something may be sent to a target at this moment.
fn clear(
    shared: &IngressShared,
    target: &TargetInstance,
    permit: &Permit,
    payload: Payload<'_>,
) -> Result<Clearance, Barred> {
    let is_open = match payload {
        Payload::Request { within, .. } => {
            let is_allowed = |it: TargetInstance| is_within(within.as_deref(), &it.domain);
            shared.open_target(&target.id).is_some_and(is_allowed)
        }
        Payload::Pieces => shared.open_target(&target.id).is_some(),
        // Its results need no room any more.
        Payload::Release => shared.target(&target.id).is_some_and(|it| !it.is_leaving),
    };
    if !is_open {
        return Err(Barred::Closed);
    }
    if !shared.limits.allows(permit, &target.id) {
        return Err(Barred::Limited);
    }
    if shared.backoff_ms(target) != 0 {
        return Err(Barred::BackingOff);
    }
    Ok(Clearance(()))
}

/// Takes in what an answer says of its target, to a request that was sent at a time.
fn observe(
    shared: &IngressShared,
    target: &TargetInstance,
    notice: &Notice,
    payload: Payload<'_>,
    sent: Millis,
) {
    let instance = &shared.settings.instance;
    if shared.is_of_former_life(target) {
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
                shared.pools.of(now, &target.service).report(now, &target.id, load);
            }
            Payload::Pieces => shared.batches.report(now, target, load, 1),
            Payload::Release => shared.batches.report(now, target, load, 0),
        }
    }
    if notice.is_leaving {
        departures::answered(shared, target);
    }
    match &notice.backoff {
        Backoff::None => (),
        Backoff::For(ms) => {
            let its = (target.id.as_str(), target.service.as_str());
            // Counted from the arrival of the answer, it is never too short.
            let longer = shared.backoffs.lock().request(shared.clock.now(), its, target.born, *ms);
            if let Some(left) = longer {
                let detail = format!("target={} asked_ms={ms} backoff_ms={left}", target.id);
                emit(events::BACKOFF_REQUESTED, instance, &detail);
                let labels = [label("service", target.service.as_str())];
                shared.metrics.backoffs.add(1, &labels);
            }
        }
        Backoff::Invalid(value) => {
            if shared.backoffs.lock().note_invalid(&target.id) {
                let detail = format!("target={} value={value:?}", target.id);
                emit(events::BAD_BACKOFF, instance, &detail);
            }
        }
    }
}
