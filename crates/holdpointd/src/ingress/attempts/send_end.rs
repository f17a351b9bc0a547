//! How one send to a target ends.

use bytes::Bytes;
use holdpoint_core::{ingress::ResponseKind, route::CallOutcome};
use http::response::Parts;

use super::StopCause;
use crate::ingress::{
    checked_answer::Declined,
    context::Context,
    gate::SendBlock,
    send::{BACKOFF_CAUSE, asks_backoff},
};

/// How a send ended. `T` is a successful answer or its beginning.
pub(crate) enum SendEnd<T> {
    Answered(T),
    /// The target answered with an error.
    Failed(Box<Parts>, Bytes),
    NotSent,
    /// Neither this instance nor a peer reaches the service.
    NoPath,
    /// The gate refused the send.
    Blocked(SendBlock),
    /// The target has not run the request and never will.
    Declined(Declined),
    /// The target has not run the request, since inputs are missing.
    InputsGone(Declined),
    /// The stages ran within other bounds than those of the request now, so that nothing was sent.
    BoundsChanged,
    Broken,
}

impl<T> SendEnd<T> {
    /// Outcome and logged cause of a send without an answer; `None` if there is one.
    pub(crate) fn failure(&self, ctx: &Context) -> Option<(CallOutcome, &'static str)> {
        Some(match self {
            SendEnd::Answered(_) => return None,
            SendEnd::Failed(parts, _) if asks_backoff(parts) => {
                (CallOutcome::Cancelled, BACKOFF_CAUSE)
            }
            SendEnd::Failed(..) => match ctx.route.response {
                ResponseKind::Events { .. } => (CallOutcome::Failed, "target-failed"),
                // An occasional error answer says nothing about the target's health.
                ResponseKind::Whole => (CallOutcome::Cancelled, "target-failed"),
            },
            SendEnd::NotSent => (CallOutcome::Failed, "not-sent"),
            SendEnd::NoPath => (CallOutcome::Cancelled, StopCause::NoPath.name()),
            SendEnd::Blocked(it) => (CallOutcome::Cancelled, it.name()),
            SendEnd::Declined(it) => it.send_end(),
            SendEnd::InputsGone(_) => (CallOutcome::Cancelled, "inputs-gone"),
            SendEnd::BoundsChanged => (CallOutcome::Cancelled, "bounds-changed"),
            SendEnd::Broken => (CallOutcome::Failed, "broken"),
        })
    }
}
