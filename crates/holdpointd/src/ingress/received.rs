//! Answers of targets as they arrive: whether they are final ones, and where their bodies end.
//!
//! The HTTP library refuses a head that is malformed or cut. What it lets pass, and no caller may get as an answer, is
//! refused here.

use std::{
    error::Error,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::ingress::gate::ExchangeError;

/// Classes of final statuses: others are undefined, or announce another answer.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;
/// The only transfer coding that requests allow.
const CHUNKED: &[u8] = b"chunked";

/// Checks the head of an answer.
///
/// # Errors
///
/// If its status is not a final one, or it does not tell where its body ends.
pub(crate) fn check_head(
    response: Response<Incoming>,
) -> Result<Response<ReceivedBody>, ExchangeError> {
    let (parts, body) = response.into_parts();
    if !is_final(parts.status) || !is_framing_known(&parts.headers) {
        return Err(ExchangeError::Broken);
    }
    let is_framed = parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING);
    let ends_with_connection = !is_framed && !body.is_end_stream();
    let body = ReceivedBody { body, needs_bytes: ends_with_connection };
    Ok(Response::from_parts(parts, body))
}

/// Whether a status ends an exchange.
pub(crate) fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Whether the transfer codings of an answer can be decoded. With others the library takes all bytes up to the end of
/// the connection for the body.
fn is_framing_known(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = |it: &[u8]| it.trim_ascii().eq_ignore_ascii_case(CHUNKED);
    codings.next().is_none_or(|it| is_chunked(it.as_bytes())) && codings.next().is_none()
}

/// Body of a target's answer. A body without length or chunks ends with its connection; if it has no byte, its target
/// may have stopped after the head.
#[derive(Debug)]
pub(crate) struct ReceivedBody {
    body: Incoming,
    /// Whether the body is not whole without a byte more.
    needs_bytes: bool,
}

/// Why a body is not whole.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// Its connection broke off, or its framing is invalid.
    Broken(hyper::Error),
    /// Its connection was closed after a head that states no length.
    Unframed,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(it) => it.fmt(f),
            BodyError::Unframed => f.write_str("connection closed after a head without a length"),
        }
    }
}

impl Error for BodyError {}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) if frame.data_ref().is_some_and(|it| !it.is_empty()) => {
                self.needs_bytes = false;
            }
            Poll::Ready(None) if self.needs_bytes => {
                return Poll::Ready(Some(Err(BodyError::Unframed)));
            }
            _ => (),
        }
        polled.map_err(BodyError::Broken)
    }

    fn is_end_stream(&self) -> bool {
        !self.needs_bytes && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
