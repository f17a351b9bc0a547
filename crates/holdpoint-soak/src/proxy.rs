//! A loopback proxy whose connections a fault delays, resets or silences.

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

use crate::plan::Way;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// Direction of a part of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    To,
    Back,
}

/// The proxy; it works until the runtime ends.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    way: Arc<Mutex<Option<Way>>>,
    resets: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy that leads to an address.
    pub(crate) async fn start(far: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let proxy = Proxy { address, way: Arc::default(), resets: watch::channel(0).0 };
        tokio::spawn(accept(listener, far, proxy.clone()));
        proxy
    }

    /// Puts a fault in force, or none.
    pub(crate) fn set(&self, way: Option<Way>) {
        *self.way.lock() = way;
        if way == Some(Way::Reset) {
            self.resets.send_modify(|it| *it += 1);
        }
    }

    fn loses(&self, direction: Direction) -> bool {
        match *self.way.lock() {
            Some(Way::Silence) => true,
            Some(Way::CutTo) => direction == Direction::To,
            Some(Way::CutBack) => direction == Direction::Back,
            Some(Way::Delay(_) | Way::Reset) | None => false,
        }
    }

    async fn delay(&self) {
        let way = *self.way.lock();
        if let Some(Way::Delay(ms)) = way {
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
    // Only delays follow where an option of the socket cannot be set.
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let to = pass(near_read, far_write, &proxy, Direction::To);
    let back = pass(far_read, near_write, &proxy, Direction::Back);
    tokio::select! {
        _ = async { tokio::join!(to, back) } => (),
        // Both sockets close with what they have not read, which resets them.
        _ = resets.changed() => (),
    }
}

/// Passes bytes on until either side closes. A connection that has lost a byte loses all the rest:
/// what followed would make no sense to its reader.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    proxy: &Proxy,
    direction: Direction,
) {
    let mut buffer = vec![0; CHUNK];
    let mut is_lost = false;
    while let Ok(read) = from.read(&mut buffer).await {
        proxy.delay().await;
        is_lost |= proxy.loses(direction);
        if is_lost {
            if read == 0 {
                // A closed end is lost as well, until the connection is reset.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
