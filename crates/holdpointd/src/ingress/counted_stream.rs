//! Streams that count the bytes that pass over the machine's link.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use holdpoint_core::intake::LinkBytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counts the bytes of all connections of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByteCounter(Arc<(AtomicU64, AtomicU64)>);

impl ByteCounter {
    /// The bytes counted so far.
    pub(crate) fn total(&self) -> LinkBytes {
        let (received, sent) = &*self.0;
        LinkBytes { received: received.load(Ordering::Relaxed), sent: sent.load(Ordering::Relaxed) }
    }
}

/// A stream that counts its bytes.
#[derive(Debug)]
pub(crate) struct CountedStream<S> {
    stream: S,
    counter: ByteCounter,
}

impl<S> CountedStream<S> {
    /// Wraps a stream.
    pub(crate) fn new(stream: S, counter: ByteCounter) -> CountedStream<S> {
        CountedStream { stream, counter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        self.counter.0.0.fetch_add(count as u64, Ordering::Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = polled {
            self.counter.0.1.fetch_add(count as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        if let Poll::Ready(Ok(count)) = polled {
            self.counter.0.1.fetch_add(count as u64, Ordering::Relaxed);
        }
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
