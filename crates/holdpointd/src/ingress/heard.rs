//! A stream that records when bytes last arrived, for the detection of silent peers.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use holdpoint_platform::Instant;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Time at which bytes last arrived; initially the time at which the connection was made.
#[derive(Clone, Debug)]
pub(crate) struct LastReceived(Arc<Mutex<Instant>>);

impl LastReceived {
    /// Starts at the present time.
    pub(crate) fn new() -> LastReceived {
        LastReceived(Arc::new(Mutex::new(Instant::now())))
    }

    /// Time since bytes last arrived.
    pub(crate) fn silence(&self) -> Duration {
        self.0.lock().elapsed()
    }
}

/// A stream that records the arrival of bytes.
#[derive(Debug)]
pub(crate) struct MonitoredStream<S> {
    stream: S,
    last: LastReceived,
}

impl<S> MonitoredStream<S> {
    /// Wraps a stream; arrivals are recorded in `last`.
    pub(crate) fn new(stream: S, last: LastReceived) -> MonitoredStream<S> {
        MonitoredStream { stream, last }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if before < buffer.filled().len() {
            *self.last.0.lock() = Instant::now();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
