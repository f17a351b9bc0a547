//! Serves a router on a port of the system's choosing.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Router;
use tokio::{net::TcpListener, task::JoinHandle};

/// Pause between two looks at whether a server has stopped.
const POLL: Duration = Duration::from_millis(1);

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

/// Wall-clock time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}
