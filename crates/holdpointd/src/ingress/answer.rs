//! Answers to callers: a target's, passed on, and the system's own.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use futures::Stream;
use holdpoint_adapter::headers;
use holdpoint_core::ledger::NotRun;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// A stream's target has broken off; the caller's connection breaks off too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// Body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;
/// An answer.
pub(crate) type Answer = Response<AnswerBody>;

/// Why the system answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The head lacks what it must have.
    BadRequest,
    /// The organisation's key is unknown.
    BadKey,
    /// There is no such route.
    NoRoute,
    /// The body is longer than allowed.
    TooLarge,
    /// The body took longer than allowed.
    SlowBody,
    /// It may have run and gave no answer.
    Broken,
    /// The time is over; it may have run.
    TimeOver,
}

impl Failure {
    fn status(self) -> StatusCode {
        match self {
            Failure::BadRequest => StatusCode::BAD_REQUEST,
            Failure::BadKey => StatusCode::UNAUTHORIZED,
            Failure::NoRoute => StatusCode::NOT_FOUND,
            Failure::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Failure::Broken => StatusCode::BAD_GATEWAY,
            Failure::TimeOver => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The system's own answer to a failure.
pub(crate) fn failure(failure: Failure, request_id: Option<&str>) -> Answer {
    own(failure.status(), headers::own_answer(request_id, None))
}

/// A refusal: it takes the proof that the request has not run and never will.
pub(crate) fn refusal(_proof: NotRun, request_id: Option<&str>, retry_after: Duration) -> Answer {
    let headers = headers::own_answer(request_id, Some(retry_after));
    own(StatusCode::SERVICE_UNAVAILABLE, headers)
}

/// An answer with no body, as to the balancer's question.
pub(crate) fn bare(status: StatusCode) -> Answer {
    own(status, HeaderMap::new())
}

/// A target's whole answer.
pub(crate) fn passed_on(head: &http::response::Parts, body: Bytes) -> Answer {
    let mut answer = Response::new(full(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers::returned(head.status, &head.headers);
    answer
}

/// A target's answer that is passed on as it comes.
pub(crate) fn streamed(
    head: &http::response::Parts,
    frames: impl Stream<Item = Result<Frame<Bytes>, BrokenOff>> + Send + 'static,
) -> Answer {
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers::returned(head.status, &head.headers);
    answer
}

/// A text, as of the metrics.
pub(crate) fn text(text: String) -> Answer {
    Response::new(full(Bytes::from(text)))
}

fn own(status: StatusCode, headers: HeaderMap) -> Answer {
    let mut answer = Response::new(full(Bytes::new()));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

fn full(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|it: Infallible| match it {}).boxed_unsync()
}
