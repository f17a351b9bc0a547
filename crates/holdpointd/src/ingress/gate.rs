//! The last check before anything is sent to a target, and the place where a target's notices in its answers
//! are applied.
//!
//! A target is chosen well before the first byte is sent: a connection has to be made, a batch waits for its turn,
//! a peer places a prompt. The gate checks the target against its state at the time of the send. A connection
//! sends only with a [`Clearance`], which only [`exchange`] creates, so no send can skip the check or the notices.

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
    },
    /// A call with work items of a stage.
    Pieces,
    /// A call that releases stage results.
    Release,
}

/// Why nothing may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Barred {
    /// The target is draining or gone, or its failure domain or version gets no work.
    Closed,
    /// The target has named a rate limit since the permit was given.
    Limited,
    /// The target has asked this instance to back off.
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

/// Why an exchange returned no answer head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The gate refused the send.
    Blocked(Barred),
    /// The connection was lost before the first byte was sent.
    NotSent,
    /// The connection broke off.
    Broken,
    /// The answer belongs to another request.
    Crossed,
}

/// Sends a request on a connection to its target, if the gate allows it, and waits for the head of the answer.
pub(crate) async fn exchange(
    shared: &IngressShared,
    connection: &mut Connection,
    (target, permit): (&TargetInstance, &Permit),
    payload: Payload<'_>,
    request: Request<Full<Bytes>>,
) -> Result<(TargetHead, Response<Incoming>), ExchangeError> {
    let clearance =
        grant_clearance(shared, target, permit, payload).map_err(ExchangeError::Blocked)?;
    let sent = shared.clock.now();
    let response = connection.send(clearance, request).await.map_err(|it| match it.message() {
        Some(_) => ExchangeError::NotSent,
        None => ExchangeError::Broken,
    })?;
    let head = headers::read_target(response.status(), response.headers());
    if head.is_misdirected {
        // Another target has this address now, and its notices say nothing about the one that was meant.
        shared.target_leaves(&Departure::of(target), "misdirected");
        return Ok((head, response));
    }
    if let Payload::Request { id, .. } = payload
        && head.request_id.as_deref() != Some(id)
    {
        shared.metrics.crossed.add(1, &[]);
        return Err(ExchangeError::Crossed);
    }
    apply_notices(shared, target, &head.notice, payload, sent);
    Ok((head, response))
}

/// Checks whether a payload may be sent to a target now.
fn grant_clearance(
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
        // The results of a draining target need no release.
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

/// Applies the notices in a target's answer to a request that was sent at `sent`.
fn apply_notices(
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
            // Counted from the arrival of the answer, the backoff is never too short.
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
