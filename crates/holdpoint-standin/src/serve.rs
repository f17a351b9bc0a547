//! HTTP server on a free loopback port.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use axum::Router;
use socket2::{Domain, Socket, Type};
use tokio::{net::TcpListener, task::JoinHandle};

/// Interval of checks whether a server has stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Most connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// A server that stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: String,
    task: JoinHandle<()>,
    /// Bound to the server's port but never listening: reserves the port after the server has
    /// stopped, while connections to it are refused.
    _port: Socket,
}

impl Server {
    /// Starts to serve the router on a free loopback port.
    pub async fn start(router: Router) -> Server {
        let (listener, port) = bind().expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address").to_string();
        let task = tokio::spawn(async move {
            drop(axum::serve(listener, router).await);
        });
        Server { address, task, _port: port }
    }

    /// Address as `IP:port`.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Requests a stop, which takes effect once the runtime has dropped the server's task.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Waits until it has stopped listening. Afterwards connections are refused; until then one may
    /// still be accepted and then reset.
    pub async fn stopped(&self) {
        while !self.task.is_finished() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a listener to a free port, with a second socket that reserves the port.
fn bind() -> io::Result<(TcpListener, Socket)> {
    let port = socket(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = port.local_addr()?;
    let address = address.as_socket().ok_or(io::ErrorKind::Unsupported)?;
    let listener = socket(address)?;
    listener.listen(BACKLOG)?;
    listener.set_nonblocking(true)?;
    Ok((TcpListener::from_std(listener.into())?, port))
}

/// Binds a socket with `SO_REUSEPORT`, so that the listener and the reserving socket share a port.
fn socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Wall-clock time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}
