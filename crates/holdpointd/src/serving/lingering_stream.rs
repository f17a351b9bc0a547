//! A stream whose shutdown lingers, so that the system does not reset the connection.
//!
//! Closing a socket with unread input resets its connection, and the peer loses what it has not read yet of
//! the last answer. After the shutdown, input is therefore read and discarded until the peer closes too.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep},
};

/// How long a shutdown waits for further input, or for the peer to close. Without either, closing loses nothing.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Longest time of a shutdown while the peer keeps sending.
const MAX_TIME: Duration = Duration::from_secs(5);
/// Input that is read and discarded at a time, in bytes.
const DISCARDED_BYTES: usize = 4 << 10;

/// A stream whose shutdown lingers.
#[derive(Debug)]
pub(crate) struct LingeringStream<S> {
    stream: S,
    linger: Option<Linger>,
}

/// Time limits of a shutdown that has begun.
#[derive(Debug)]
struct Linger {
    /// Ends after a time without input.
    quiet: Pin<Box<Sleep>>,
    ends_at: Instant,
}

impl Linger {
    fn start() -> Linger {
        Linger { quiet: Box::pin(sleep(QUIET_TIME)), ends_at: Instant::now() + MAX_TIME }
    }

    fn record_input(&mut self) {
        let quiet_at = Instant::now() + QUIET_TIME;
        self.quiet.as_mut().reset(quiet_at.min(self.ends_at));
    }
}

impl<S> LingeringStream<S> {
    /// Wraps a stream.
    pub(crate) fn new(stream: S) -> LingeringStream<S> {
        LingeringStream { stream, linger: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
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
        let LingeringStream { stream, linger } = &mut *self;
        if linger.is_none() {
            ready!(Pin::new(&mut *stream).poll_shutdown(cx))?;
        }
        let linger = linger.get_or_insert_with(Linger::start);
        loop {
            if linger.quiet.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let mut discarded = [0; DISCARDED_BYTES];
            let mut buffer = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            linger.record_input();
        }
    }
}
