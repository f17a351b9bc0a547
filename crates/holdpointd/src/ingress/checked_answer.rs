//! The head of a target's answer, once it is known to belong to the request that was sent.
//!
//! A faulty target may send more than one answer to a request. The later one arrives in the place of the answer to the
//! next request on the connection, and neither its status nor anything else in it says anything about that request.

use holdpoint_adapter::headers::{self, TargetHead};
use holdpoint_core::{ledger::OwnAnswer, route::CallOutcome};
use http::{Response, StatusCode};

use crate::ingress::{received::ReceivedBody, send::BACKOFF_CAUSE};

/// The head of an answer that repeats the id of its request. Only [`CheckedAnswer::check`] creates one.
#[derive(Debug)]
pub(crate) struct CheckedAnswer {
    head: TargetHead,
    response: Response<ReceivedBody>,
    own: OwnAnswer,
}

/// Statement of a target that it has not run a request and never will. Only [`CheckedAnswer::declined`] creates one.
#[derive(Debug)]
pub(crate) struct Declined {
    own: OwnAnswer,
    status: StatusCode,
    asks_backoff: bool,
}

impl CheckedAnswer {
    /// Checks whether an answer belongs to the request with the id `sent`, or to one without an id. Otherwise returns
    /// the id that the answer names, if any.
    pub(crate) fn check(
        sent: Option<&str>,
        response: Response<ReceivedBody>,
    ) -> Result<CheckedAnswer, Option<String>> {
        let head = headers::read_target(response.status(), response.headers());
        match OwnAnswer::check(sent, head.request_id.as_deref()) {
            Some(own) => Ok(CheckedAnswer { head, response, own }),
            None => Err(head.request_id),
        }
    }

    pub(crate) fn head(&self) -> &TargetHead {
        &self.head
    }

    /// The response with its body, which is yet to be read.
    pub(crate) fn response(&self) -> &Response<ReceivedBody> {
        &self.response
    }

    pub(crate) fn into_parts(self) -> (TargetHead, Response<ReceivedBody>) {
        (self.head, self.response)
    }

    /// Returns the target's statement that it has not run the request, if it makes one.
    pub(crate) fn declined(&self) -> Option<Declined> {
        let asks_backoff = self.head.notice.backoff.is_requested();
        let declined = Declined { own: self.own, status: self.response.status(), asks_backoff };
        self.head.is_declined.then_some(declined)
    }
}

impl Declined {
    /// Whether inputs of the request are missing. With a backoff, the target declines requests with other inputs too.
    pub(crate) fn lacks_inputs(&self) -> bool {
        self.status == StatusCode::CONFLICT && !self.asks_backoff
    }

    /// How the send counts for its target, and its cause in the log.
    pub(crate) fn send_end(&self) -> (CallOutcome, &'static str) {
        if self.asks_backoff {
            (CallOutcome::Cancelled, BACKOFF_CAUSE)
        } else {
            (CallOutcome::Failed, "declined")
        }
    }

    /// Proof that the answer belongs to the request.
    pub(crate) fn proof(&self) -> &OwnAnswer {
        &self.own
    }
}
