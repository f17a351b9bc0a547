//! Serves a router on a port of the system's choosing.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use axum::Router;
use socket2::{Domain, Socket, Type};
use tokio::{net::TcpListener, task::JoinHandle};

/// Pause between two looks at whether a server has stopped.
const POLL: Duration = Duration::from_millis(1);
/// Connections that wait to be taken.
const BACKLOG: i32 = 1024;

/// A server that stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: String,
    task: JoinHandle<()>,
    /// Bound to the server's port and never listening: connections are refused once the server has
    /// stopped, and nobody else is given the port.
    _port: Socket,
}

impl Server {
    /// Starts to serve on the loopback address.
    pub async fn start(router: Router) -> Server {
        let (listener, port) = bind().expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address").to_string();
        let task = tokio::spawn(async move {
            drop(axum::serve(listener, router).await);
        });
        Server { address, task, _port: port }
    }

    /// Address, as IP number and port.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Stops listening, as soon as the runtime comes to it.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Waits until it has stopped listening: from then on connections to it are refused. Before
    /// that, one may still be taken and be reset.
    pub async fn stopped(&self) {
        while !self.task.is_finished() {
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A listener on a port of the system's choosing, and another socket that holds the port.
fn bind() -> io::Result<(TcpListener, Socket)> {
    let port = socket(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = port.local_addr()?;
    let address = address.as_socket().ok_or(io::ErrorKind::Unsupported)?;
    let listener = socket(address)?;
    listener.listen(BACKLOG)?;
    listener.set_nonblocking(true)?;
    Ok((TcpListener::from_std(listener.into())?, port))
}

/// A socket bound to an address that others of this module may be bound to as well.
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
