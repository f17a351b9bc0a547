//! A connection that notes when its far side was last heard.

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

/// When bytes last came; at first, when the connection was made.
#[derive(Clone, Debug)]
pub(crate) struct LastHeard(Arc<Mutex<Instant>>);

impl LastHeard {
    /// Notes the moment at which a connection is made.
    pub(crate) fn new() -> LastHeard {
        LastHeard(Arc::new(Mutex::new(Instant::now())))
    }

    /// For how long nothing has come.
    pub(crate) fn silence(&self) -> Duration {
        self.0.lock().elapsed()
    }
}

/// A stream that notes when bytes come.
#[derive(Debug)]
pub(crate) struct Heard<S> {
    stream: S,
    last: LastHeard,
}

impl<S> Heard<S> {
    /// Notes in `last` when bytes come.
    pub(crate) fn new(stream: S, last: LastHeard) -> Heard<S> {
        Heard { stream, last }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Heard<S> {
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

impl<S: AsyncWrite + Unpin> AsyncWrite for Heard<S> {
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
