//! Answers to peers that the RPC library has queued and not yet written to their connection.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use futures::{Sink, Stream};
use parking_lot::Mutex;

use crate::shared::InFlightGuard;

/// Calls of a connection that count as in flight until their answers are written.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unwritten(Arc<Mutex<Vec<InFlightGuard>>>);

impl Unwritten {
    /// Keeps a call, whose answer is queued next, until the connection has written all that is queued.
    pub(crate) fn hold(&self, call: Option<InFlightGuard>) {
        self.0.lock().extend(call);
    }

    fn release(&self) {
        self.0.lock().clear();
    }
}

/// A transport that releases calls once their answers are written.
#[derive(Debug)]
pub(crate) struct AnsweringTransport<T> {
    transport: T,
    unwritten: Unwritten,
}

impl<T> AnsweringTransport<T> {
    /// Wraps a transport that carries the answers to the calls in `unwritten`.
    pub(crate) fn new(transport: T, unwritten: Unwritten) -> AnsweringTransport<T> {
        AnsweringTransport { transport, unwritten }
    }
}

impl<T: Stream + Unpin> Stream for AnsweringTransport<T> {
    type Item = T::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T::Item>> {
        Pin::new(&mut self.transport).poll_next(cx)
    }
}

impl<A, T: Sink<A> + Unpin> Sink<A> for AnsweringTransport<T> {
    type Error = T::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), T::Error>> {
        Pin::new(&mut self.transport).poll_ready(cx)
    }

    fn start_send(mut self: Pin<&mut Self>, answer: A) -> Result<(), T::Error> {
        Pin::new(&mut self.transport).start_send(answer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), T::Error>> {
        // The library flushes when no answer is queued, or when its connection takes no more for the moment.
        ready!(Pin::new(&mut self.transport).poll_flush(cx))?;
        self.unwritten.release();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), T::Error>> {
        Pin::new(&mut self.transport).poll_close(cx)
    }
}
