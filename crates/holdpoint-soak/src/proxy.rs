//! Loopback TCP proxy that delays, resets or drops traffic to simulate link faults.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use crate::plan::LinkFault;

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 << 10;

/// Direction of traffic: `Forward` is towards the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Reverse,
}

/// A proxy; it runs until the runtime ends.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    link_fault: Arc<Mutex<Option<LinkFault>>>,
    resets: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy that forwards to the address `far`.
    pub(crate) async fn start(far: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let proxy = Proxy { address, link_fault: Arc::default(), resets: watch::channel(0).0 };
        tokio::spawn(accept(listener, far, proxy.clone()));
        proxy
    }

    /// Sets or clears the active fault.
    pub(crate) fn set(&self, link_fault: Option<LinkFault>) {
        *self.link_fault.lock() = link_fault;
        if link_fault == Some(LinkFault::Reset) {
            self.resets.send_modify(|it| *it += 1);
        }
    }

    fn drops(&self, direction: Direction) -> bool {
        match *self.link_fault.lock() {
            Some(LinkFault::Blackhole) => true,
            Some(LinkFault::DropForward) => direction == Direction::Forward,
            Some(LinkFault::DropReverse) => direction == Direction::Reverse,
            Some(LinkFault::Delay(_) | LinkFault::Reset) | None => false,
        }
    }

    async fn delay(&self) {
        let link_fault = *self.link_fault.lock();
        if let Some(LinkFault::Delay(ms)) = link_fault {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }
}

async fn accept(listener: TcpListener, far: SocketAddr, proxy: Proxy) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(serve(near, far, proxy.clone()));
    }
}

async fn serve(near: TcpStream, far: SocketAddr, proxy: Proxy) {
    let mut resets = proxy.resets.subscribe();
    let Ok(far) = TcpStream::connect(far).await else { return };
    // Without the option data may only be delayed.
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let to = pass(near_read, far_write, &proxy, Direction::Forward);
    let back = pass(far_read, near_write, &proxy, Direction::Reverse);
    tokio::select! {
        _ = async { tokio::join!(to, back) } => (),
        // Closing a socket with unread data resets its connection.
        _ = resets.changed() => (),
    }
}

/// Forwards bytes until either side closes. Once bytes have been dropped all later ones are dropped
/// as well, so that the reader never sees a stream with a gap.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    proxy: &Proxy,
    direction: Direction,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut is_dropping = false;
    while let Ok(read) = from.read(&mut buffer).await {
        proxy.delay().await;
        is_dropping |= proxy.drops(direction);
        if is_dropping {
            if read == 0 {
                // The end of the stream is dropped as well, until the connection is reset.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
