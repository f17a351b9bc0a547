//! A caller's connection, which knows when the last byte of a request was sent.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use holdpoint_adapter_standin::{CallerRequest, send_on};
use http::Response;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{Domain, Socket, Type};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::timeout,
};

use crate::{Millis, callers::CONNECT_TIMEOUT, fleet::Clock};

/// Receive buffer of the connections with a narrow window, in bytes.
const NARROW_BUFFER_BYTES: usize = 16 << 10;
/// Segment size of these connections. Those of the loopback interface are so large that a slow reader rarely opens its
/// window.
const SEGMENT_BYTES: u32 = 1448;
/// Read buffer of the HTTP library for such a connection, in bytes.
pub(crate) const READ_BYTES: usize = 8 << 10;
/// Longest wait for a connection with a narrow window, which blocks its thread.
const NARROW_TIMEOUT: Duration = Duration::from_millis(500);

/// When the last bytes were sent; `None` if some of them may be left.
type LastSent = Arc<Mutex<Option<Millis>>>;

/// A connection for one request at a time.
pub(crate) struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
    last_sent: LastSent,
}

impl CallerConnection {
    /// Waits until the connection can carry a request; `false` if it is closed.
    pub(crate) async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request; `None` if no response headers were received.
    pub(crate) async fn send(&mut self, request: CallerRequest) -> Option<Response<Incoming>> {
        *self.last_sent.lock() = None;
        send_on(&mut self.sender, request).await
    }

    /// When the last byte of the last request was sent, if it was.
    pub(crate) fn written(&self) -> Option<Millis> {
        *self.last_sent.lock()
    }
}

/// Connects to a process.
pub(crate) async fn connect(address: SocketAddr, clock: Clock) -> Option<CallerConnection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    start(stream, clock, &http1::Builder::new()).await
}

/// Connects to a process so that hardly more is buffered than the caller has read.
pub(crate) async fn connect_narrow(address: SocketAddr, clock: Clock) -> Option<CallerConnection> {
    let connecting = tokio::task::spawn_blocking(move || -> io::Result<Socket> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_tcp_mss(SEGMENT_BYTES)?;
        socket.set_recv_buffer_size(NARROW_BUFFER_BYTES)?;
        socket.connect_timeout(&address.into(), NARROW_TIMEOUT)?;
        socket.set_nonblocking(true)?;
        Ok(socket)
    });
    let socket = connecting.await.ok()?.ok()?;
    let stream = TcpStream::from_std(socket.into()).ok()?;
    start(stream, clock, http1::Builder::new().max_buf_size(READ_BYTES)).await
}

async fn start(
    stream: TcpStream,
    clock: Clock,
    builder: &http1::Builder,
) -> Option<CallerConnection> {
    let last_sent = LastSent::default();
    let stream = TimedStream { stream, clock, last_sent: last_sent.clone() };
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { drop(connection.await) });
    Some(CallerConnection { sender, last_sent })
}

/// Records when bytes were sent.
struct TimedStream {
    stream: TcpStream,
    clock: Clock,
    last_sent: LastSent,
}

impl TimedStream {
    /// Records that `sent` of `length` bytes were sent.
    fn record(&self, sent: usize, length: usize) {
        *self.last_sent.lock() = (sent == length).then(|| self.clock.now());
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.record(sent, bytes.len());
        Poll::Ready(Ok(sent))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts))?;
        self.record(sent, parts.iter().map(|it| it.len()).sum());
        Poll::Ready(Ok(sent))
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
