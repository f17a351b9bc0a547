//! A stream whose writes fail once its peer has taken nothing for some time.
//!
//! The system's limit on unacknowledged data is no substitute: it also resets the connection of a peer that reads
//! steadily but slowly, since small openings of its receive window do not restart that limit.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// A stream whose writes fail after a time without progress.
#[derive(Debug)]
pub(crate) struct WriteTimeout<S> {
    stream: S,
    limit: Duration,
    /// Ends when the present write has been blocked for too long.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps a stream; a write that is blocked for as long as `limit` fails.
    pub(crate) fn new(stream: S, limit: Duration) -> WriteTimeout<S> {
        WriteTimeout { stream, limit, blocked: None }
    }

    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.blocked = None;
            return polled;
        }
        let limit = self.limit;
        ready!(self.blocked.get_or_insert_with(|| Box::pin(sleep(limit))).as_mut().poll(cx));
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.check(cx, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
