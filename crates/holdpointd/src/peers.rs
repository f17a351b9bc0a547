//! RPC between instances: tarpc over TCP, encoded as CBOR.
//!
//! CBOR carries field names, so instances of different versions can communicate during an upgrade:
//! unknown fields are ignored and absent fields take their defaults.

use std::{
    collections::HashMap,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use futures::{Future, StreamExt};
use holdpoint_schema::{
    peer::{ClaimAsk, ClaimReply, Digest, Settle},
    records::Snapshot,
};
use parking_lot::Mutex;
use tarpc::{
    client::{self, RpcError},
    context,
    serde_transport::{Transport, new as transport},
    server::{BaseChannel, Channel},
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
};
use tokio_serde::formats::Cbor;

use crate::{
    control::Input,
    metrics::{Metrics, label},
};

/// Maximum size of a message between peers.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a peer is suspect after a failed call.
const SUSPECT_PERIOD: Duration = Duration::from_millis(2000);

/// Calls between instances.
#[tarpc::service]
pub trait Peers {
    /// Exchanges digests.
    async fn heartbeat(digest: Digest) -> Option<Digest>;
    /// Requests a claim from the writer of a claim stream.
    async fn claim(ask: ClaimAsk) -> ClaimReply;
    /// Requests the writer of a claim stream to record a release or an outcome.
    async fn settle(settle: Settle) -> bool;
    /// Fetches a snapshot of the peer's state; `None` if it has none yet.
    async fn snapshot() -> Option<Snapshot>;
    /// Fetches the peer's part of the reports, as JSON.
    async fn report() -> String;
}

/// A call to a peer failed: no connection, an RPC error or a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerUnavailable;

/// Connections to peers, opened on first use.
#[derive(Clone)]
pub struct PeerPool {
    clients: Arc<Mutex<HashMap<String, PeersClient>>>,
    /// Time of the last failure, for peers whose last call failed.
    failed: Arc<Mutex<HashMap<String, Instant>>>,
    metrics: Arc<Metrics>,
}

impl PeerPool {
    /// Creates a pool without connections.
    pub fn new(metrics: Arc<Metrics>) -> PeerPool {
        PeerPool { clients: Arc::default(), failed: Arc::default(), metrics }
    }

    /// Whether the last call to the peer failed recently, so that an alternative is preferable.
    pub fn is_suspect(&self, address: &str) -> bool {
        self.failed.lock().get(address).is_some_and(|it| it.elapsed() < SUSPECT_PERIOD)
    }

    /// Calls a peer. A failed call closes the connection.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer within the timeout after connecting.
    pub async fn call<T, F>(
        &self,
        address: &str,
        timeout: Duration,
        call: impl FnOnce(PeersClient, context::Context) -> F,
    ) -> Result<T, PeerUnavailable>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let answer = self.try_call(address, timeout, call).await;
        match &answer {
            Ok(_) => drop(self.failed.lock().remove(address)),
            Err(PeerUnavailable) => {
                self.failed.lock().insert(address.to_owned(), Instant::now());
            }
        }
        answer
    }

    async fn try_call<T, F>(
        &self,
        address: &str,
        timeout: Duration,
        call: impl FnOnce(PeersClient, context::Context) -> F,
    ) -> Result<T, PeerUnavailable>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let answer = tokio::time::timeout(timeout, call(client, context)).await;
        if let Ok(Ok(it)) = answer {
            return Ok(it);
        }
        self.clients.lock().remove(address);
        Err(PeerUnavailable)
    }

    async fn client(&self, address: &str) -> Result<PeersClient, PeerUnavailable> {
        if let Some(it) = self.clients.lock().get(address) {
            return Ok(it.clone());
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| PeerUnavailable)?.map_err(|_| PeerUnavailable)?;
        stream.set_nodelay(true).map_err(|_| PeerUnavailable)?;
        let framed = framed(CountedStream { stream, metrics: self.metrics.clone() });
        let io = transport(framed, Cbor::default());
        let client = PeersClient::new(client::Config::default(), io).spawn();
        self.clients.lock().insert(address.to_owned(), client.clone());
        Ok(client)
    }
}

/// Serves calls of peers until the task is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    control: mpsc::Sender<Input>,
    report: Arc<dyn Fn() -> String + Send + Sync>,
    metrics: Arc<Metrics>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let io: Transport<_, _, _, _> =
            transport(framed(CountedStream { stream, metrics: metrics.clone() }), Cbor::default());
        let server = PeerServer { control: control.clone(), report: report.clone() };
        let channel = BaseChannel::with_defaults(io);
        tokio::spawn(channel.execute(server.serve()).for_each(|it| async move {
            tokio::spawn(it);
        }));
    }
}

fn framed(stream: CountedStream) -> Framed<CountedStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

#[derive(Clone)]
struct PeerServer {
    control: mpsc::Sender<Input>,
    report: Arc<dyn Fn() -> String + Send + Sync>,
}

impl PeerServer {
    async fn ask_control<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.control.send(input(reply)).await.ok()?;
        answer.await.ok()
    }
}

impl Peers for PeerServer {
    async fn heartbeat(self, _: context::Context, digest: Digest) -> Option<Digest> {
        self.ask_control(|reply| Input::Heartbeat { digest, reply }).await
    }

    async fn claim(self, _: context::Context, ask: ClaimAsk) -> ClaimReply {
        self.ask_control(|reply| Input::Claim { ask, reply }).await.unwrap_or(ClaimReply::Silent)
    }

    async fn settle(self, _: context::Context, settle: Settle) -> bool {
        self.ask_control(|reply| Input::Settle { settle, reply }).await.unwrap_or(false)
    }

    async fn snapshot(self, _: context::Context) -> Option<Snapshot> {
        self.ask_control(|reply| Input::Snapshot { reply }).await.flatten()
    }

    async fn report(self, _: context::Context) -> String {
        (self.report)()
    }
}

/// A connection that counts its bytes.
#[derive(Debug)]
struct CountedStream {
    stream: TcpStream,
    metrics: Arc<Metrics>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let ready = Pin::new(&mut self.stream).poll_read(cx, buf);
        let n = (buf.filled().len() - before) as u64;
        self.metrics.peer_bytes.add(n, &[label("direction", "in")]);
        ready
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let ready = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = ready {
            self.metrics.peer_bytes.add(n as u64, &[label("direction", "out")]);
        }
        ready
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
