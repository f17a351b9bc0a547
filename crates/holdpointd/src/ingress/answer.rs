//! Answers to callers: forwarded answers of targets, and the system's own.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use futures::Stream;
use holdpoint_adapter::headers;
use holdpoint_core::ledger::NotRun;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// A target's answer ended early, so that the caller's connection is closed as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndedEarly;

impl std::fmt::Display for EndedEarly {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the target's answer ended early")
    }
}

impl std::error::Error for EndedEarly {}

/// Body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, EndedEarly>;
/// An answer.
pub(crate) type Answer = Response<AnswerBody>;

/// Failures that the system answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request is malformed or lacks a required header.
    BadRequest,
    /// The organisation's key is unknown.
    BadKey,
    /// No route matches.
    NoRoute,
    /// The body is longer than allowed.
    TooLarge,
    /// The body took longer than allowed.
    SlowBody,
    /// No usable answer; the request may have run.
    Broken,
    /// The deadline has passed; the request may have run.
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
    own_answer(failure.status(), headers::own_response_headers(request_id, None))
}

/// A refusal, which requires proof that the request has not run and never will.
pub(crate) fn refusal(
    _proof: NotRun,
    request_id: Option<&str>,
    retry_after: impl Into<Option<Duration>>,
) -> Answer {
    let headers = headers::own_response_headers(request_id, retry_after.into());
    own_answer(StatusCode::SERVICE_UNAVAILABLE, headers)
}

/// An answer without a body, as to a readiness probe.
pub(crate) fn empty(status: StatusCode) -> Answer {
    own_answer(status, HeaderMap::new())
}

/// A target's complete answer, forwarded.
pub(crate) fn passed_on(head: &http::response::Parts, body: Bytes) -> Answer {
    let mut answer = Response::new(full(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers::returned(&head.headers);
    answer
}

/// A target's answer that is forwarded while it arrives.
pub(crate) fn streamed(
    head: &http::response::Parts,
    frames: impl Stream<Item = Result<Frame<Bytes>, EndedEarly>> + Send + 'static,
) -> Answer {
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers::returned(&head.headers);
    answer
}

/// A plain-text answer, as for metrics.
pub(crate) fn text(text: String) -> Answer {
    Response::new(full(Bytes::from(text)))
}

fn own_answer(status: StatusCode, headers: HeaderMap) -> Answer {
    let mut answer = Response::new(full(Bytes::new()));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

fn full(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|it: Infallible| match it {}).boxed_unsync()
}
