//! Asks a connection's socket for input before the connection is closed as an idle one.
//!
//! The event loop looks at the sockets once a turn. In a long turn a request may have arrived since then, and would be lost
//! with the connection.

use std::{
    io::{self, Read},
    os::fd::AsFd,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether a connection's socket has to be asked for input, or had none when it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    None,
    Requested,
    Empty,
}

/// The check of one connection's socket.
#[derive(Clone, Debug, Default)]
pub(crate) struct SocketCheck(Arc<Mutex<State>>);

impl SocketCheck {
    /// Has the next read ask the socket.
    pub(crate) fn request(&self) {
        *self.0.lock() = State::Requested;
    }

    /// Whether the socket had no input when it was asked last.
    pub(crate) fn found_nothing(&self) -> bool {
        *self.0.lock() == State::Empty
    }

    fn is_requested(&self) -> bool {
        *self.0.lock() == State::Requested
    }

    fn record(&self, state: State) {
        *self.0.lock() = state;
    }
}

/// A stream that reads from its socket, without the event loop, when a check is requested.
#[derive(Debug)]
pub(crate) struct CheckedStream<S> {
    stream: S,
    check: SocketCheck,
}

impl<S> CheckedStream<S> {
    /// Wraps a stream whose socket does not block.
    pub(crate) fn new(stream: S, check: SocketCheck) -> CheckedStream<S> {
        CheckedStream { stream, check }
    }
}

impl<S: AsyncRead + AsFd + Unpin> AsyncRead for CheckedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.check.is_requested() {
            return Pin::new(&mut self.stream).poll_read(cx, buffer);
        }
        let polled = match (&*SockRef::from(&self.stream)).read(buffer.initialize_unfilled()) {
            Ok(count) => {
                buffer.advance(count);
                Poll::Ready(Ok(()))
            }
            // Has the event loop wake the task.
            Err(it) if it.kind() == io::ErrorKind::WouldBlock => {
                Pin::new(&mut self.stream).poll_read(cx, buffer)
            }
            Err(it) => Poll::Ready(Err(it)),
        };
        self.check.record(if polled.is_pending() { State::Empty } else { State::None });
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CheckedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
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
