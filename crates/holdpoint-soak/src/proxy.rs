//! Loopback TCP proxy that delays, resets or drops traffic to simulate link faults.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    os::fd::AsFd,
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use crate::{
    link::{Link, LinkDirection},
    plan::LinkFault,
};

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 << 10;

/// Direction of traffic: `Forward` is towards the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Reverse,
}

/// A fault that is in force.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    how: LinkFault,
    /// Number of connections accepted before it began.
    accepted: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Fault of all connections.
    fault: Option<ActiveFault>,
    /// Faults of the connections from one address; each overrides the one of all connections.
    by_source: HashMap<IpAddr, ActiveFault>,
    /// Link of the machine behind the proxy.
    server_link: Option<Link>,
    /// Links of the machines that connect from these addresses.
    client_links: HashMap<IpAddr, Link>,
    accepted: u64,
    /// Size of the kernel's buffers for data sent by the server; the system's choice if `None`.
    buffer_bytes: Option<usize>,
}

/// A proxy; it runs until the runtime ends.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changes: watch::Sender<()>,
}

/// A connection through a proxy.
#[derive(Clone, Copy, Debug)]
struct Origin {
    source: IpAddr,
    number: u64,
}

impl Proxy {
    /// Starts a proxy that forwards to the address `far`.
    pub async fn start(far: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let proxy = Proxy { address, state: Arc::default(), changes: watch::channel(()).0 };
        tokio::spawn(accept(listener, far, proxy.clone()));
        proxy
    }

    /// Sets or clears the fault of all connections.
    pub fn set(&self, how: Option<LinkFault>) {
        let mut state = self.state.lock();
        let accepted = state.accepted;
        state.fault = how.map(|how| ActiveFault { how, accepted });
        drop(state);
        self.changes.send_replace(());
    }

    /// Sets or clears the fault of the connections from one address.
    pub fn set_from(&self, source: IpAddr, how: Option<LinkFault>) {
        let mut state = self.state.lock();
        let accepted = state.accepted;
        match how {
            Some(how) => drop(state.by_source.insert(source, ActiveFault { how, accepted })),
            None => drop(state.by_source.remove(&source)),
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Passes the bytes of all connections over the link of the machine behind the proxy.
    pub fn set_server_link(&self, link: Link) {
        self.state.lock().server_link = Some(link);
    }

    /// Passes the bytes of the connections from one address over the link of the machine that has it.
    pub fn set_client_link(&self, source: IpAddr, link: Link) {
        self.state.lock().client_links.insert(source, link);
    }

    /// Limits the kernel's buffers for data sent by the server, on connections that are made from now on.
    pub(crate) fn set_buffer_bytes(&self, bytes: usize) {
        self.state.lock().buffer_bytes = Some(bytes);
    }

    async fn pass_links(&self, origin: Origin, direction: Direction, bytes: usize) {
        let (client, server) = {
            let state = self.state.lock();
            (state.client_links.get(&origin.source).cloned(), state.server_link.clone())
        };
        let (from, to) = match direction {
            Direction::Forward => (client, server),
            Direction::Reverse => (server, client),
        };
        if let Some(it) = from {
            it.pass(LinkDirection::Out, bytes).await;
        }
        if let Some(it) = to {
            it.pass(LinkDirection::In, bytes).await;
        }
    }

    fn accepted(&self, source: IpAddr) -> Origin {
        let mut state = self.state.lock();
        state.accepted += 1;
        Origin { source, number: state.accepted }
    }

    fn fault(&self, origin: Origin) -> Option<ActiveFault> {
        let state = self.state.lock();
        state.by_source.get(&origin.source).or(state.fault.as_ref()).copied()
    }

    fn refuses(&self, origin: Origin) -> bool {
        let how = self.fault(origin).map(|it| it.how);
        matches!(how, Some(LinkFault::Refuse | LinkFault::RefuseNew))
    }

    fn resets(&self, origin: Origin) -> bool {
        let how = self.fault(origin).map(|it| it.how);
        matches!(how, Some(LinkFault::Refuse | LinkFault::Reset))
    }

    fn drops(&self, origin: Origin, direction: Direction) -> bool {
        let Some(fault) = self.fault(origin) else { return false };
        match fault.how {
            LinkFault::Blackhole => true,
            LinkFault::DropForward => direction == Direction::Forward,
            LinkFault::DropReverse => direction == Direction::Reverse,
            LinkFault::SilenceOpen => origin.number <= fault.accepted,
            LinkFault::Delay(_) | LinkFault::Reset | LinkFault::Refuse | LinkFault::RefuseNew => {
                false
            }
        }
    }

    async fn delay(&self, origin: Origin) {
        if let Some(LinkFault::Delay(ms)) = self.fault(origin).map(|it| it.how) {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    /// Waits until the connection is reset.
    async fn wait_reset(&self, origin: Origin) {
        let mut changes = self.changes.subscribe();
        while changes.changed().await.is_ok() && !self.resets(origin) {}
    }
}

async fn accept(listener: TcpListener, far: SocketAddr, proxy: Proxy) {
    while let Ok((near, source)) = listener.accept().await {
        let origin = proxy.accepted(source.ip());
        tokio::spawn(serve(near, far, proxy.clone(), origin));
    }
}

async fn serve(near: TcpStream, far: SocketAddr, proxy: Proxy, origin: Origin) {
    let reset = near.as_fd().try_clone_to_owned();
    if !proxy.refuses(origin) {
        tokio::select! {
            () = pass_both(near, far, &proxy, origin) => return,
            () = proxy.wait_reset(origin) => (),
        }
    }
    // A close without lingering resets the connection.
    if let Ok(it) = reset {
        drop(SockRef::from(&it).set_linger(Some(Duration::ZERO)));
    }
}

async fn pass_both(near: TcpStream, far: SocketAddr, proxy: &Proxy, origin: Origin) {
    let Ok(far) = connect_from(origin.source, far).await else { return };
    // Without the option data may only be delayed.
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let buffer_bytes = proxy.state.lock().buffer_bytes;
    if let Some(it) = buffer_bytes {
        let (near, far) = (SockRef::from(&near), SockRef::from(&far));
        // Without the option more is buffered.
        drop((near.set_send_buffer_size(it), far.set_recv_buffer_size(it)));
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let to = pass(near_read, far_write, proxy, (origin, Direction::Forward));
    let back = pass(far_read, near_write, proxy, (origin, Direction::Reverse));
    tokio::join!(to, back);
}

/// Connects from the address that the connection to the proxy came from, so that the server can tell its clients apart.
async fn connect_from(source: IpAddr, far: SocketAddr) -> io::Result<TcpStream> {
    if source == Ipv4Addr::LOCALHOST {
        return TcpStream::connect(far).await;
    }
    let socket = TcpSocket::new_v4()?;
    socket.bind((source, 0).into())?;
    socket.connect(far).await
}

/// Forwards bytes until either side closes. Once bytes have been dropped all later ones are dropped
/// as well, so that the reader never sees a stream with a gap.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    proxy: &Proxy,
    (origin, direction): (Origin, Direction),
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut is_dropping = false;
    while let Ok(read) = from.read(&mut buffer).await {
        proxy.delay(origin).await;
        proxy.pass_links(origin, direction, read).await;
        is_dropping |= proxy.drops(origin, direction);
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
