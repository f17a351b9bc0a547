//! Requests whose handling is dropped before they have an answer, and why.
//!
//! The HTTP library drops the handling of a request when its caller disconnects. Any other drop is a fault of this
//! instance: a panic, or a task that ends with work left.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{
    events::{self, LoggedName, emit},
    ingress::shared::IngressShared,
    metrics::label,
};

/// Whether a caller has closed or broken its connection, as far as its socket tells.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departure(Arc<AtomicBool>);

impl Departure {
    fn record(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_recorded(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A caller's connection that records its end.
#[derive(Debug)]
pub(crate) struct DepartureStream<S> {
    stream: S,
    departure: Departure,
}

impl<S> DepartureStream<S> {
    /// Wraps a stream; its end is recorded in `departure`.
    pub(crate) fn new(stream: S, departure: Departure) -> DepartureStream<S> {
        DepartureStream { stream, departure }
    }

    fn record_failure<T>(&self, polled: &Poll<io::Result<T>>) {
        if matches!(polled, Poll::Ready(Err(_))) {
            self.departure.record();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for DepartureStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, has_room) = (buffer.filled().len(), buffer.remaining() != 0);
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.record_failure(&polled);
        if matches!(polled, Poll::Ready(Ok(()))) && has_room && buffer.filled().len() == before {
            self.departure.record();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for DepartureStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_failure(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_failure(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Step of a request's handling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Its body is read.
    Body,
    /// It waits for the first configuration and targets.
    Start,
    /// It waits for a confirmation that the active configuration is the newest.
    Confirmation,
    /// It has a route and waits for its answer.
    Answer,
    /// Its answer is forwarded while it arrives.
    Forwarding,
}

impl Step {
    fn name(self) -> &'static str {
        match self {
            Step::Body => "body",
            Step::Start => "start",
            Step::Confirmation => "confirmation",
            Step::Answer => "answer",
            Step::Forwarding => "forwarding",
        }
    }
}

/// Reports a request whose handling is dropped before [`Handling::end`].
pub(crate) struct Handling {
    shared: Arc<IngressShared>,
    id: String,
    step: Step,
    departure: Departure,
    is_ended: bool,
}

impl Handling {
    /// Begins the handling of a request.
    pub(crate) fn new(
        shared: Arc<IngressShared>,
        id: &str,
        step: Step,
        departure: Departure,
    ) -> Handling {
        Handling { shared, id: id.to_owned(), step, departure, is_ended: false }
    }

    /// Continues with another step.
    pub(crate) fn enter(&mut self, step: Step) {
        self.step = step;
    }

    /// Ends the handling: the request has an answer, or its end is recorded.
    pub(crate) fn end(mut self) {
        self.is_ended = true;
    }
}

impl Drop for Handling {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let (step, has_left) = (self.step.name(), self.departure.is_recorded());
        let by = if has_left { "caller" } else { "instance" };
        self.shared.metrics.dropped_requests.add(1, &[label("step", step), label("by", by)]);
        if !has_left {
            let detail = format!("id={} step={step}", LoggedName(&self.id));
            emit(events::REQUEST_DROPPED, &self.shared.settings.instance, &detail);
        }
    }
}
