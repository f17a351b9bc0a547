//! Serves a router on a port of the system's choosing.

use std::time::{SystemTime, UNIX_EPOCH};

use axum::Router;
use tokio::{net::TcpListener, task::JoinHandle};

/// A server that stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: String,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts to serve on the loopback address.
    pub async fn start(router: Router) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address").to_string();
        let task = tokio::spawn(async move {
            drop(axum::serve(listener, router).await);
        });
        Server { address, task }
    }

    /// Address, as IP number and port.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Stops listening; connections to it are refused from now on.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Wall-clock time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}
