//! TCP relay between instances that can drop traffic in either direction.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinHandle,
};

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 << 10;

#[derive(Debug, Default)]
struct Inner {
    target: Mutex<String>,
    drops_calls: AtomicBool,
    drops_answers: AtomicBool,
}

/// A relay; it stops accepting connections when dropped.
#[derive(Debug)]
pub struct Relay {
    address: String,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay without a destination.
    pub async fn start() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address").to_string();
        let inner = Arc::new(Inner::default());
        let task = tokio::spawn(accept(listener, inner.clone()));
        Relay { address, inner, task }
    }

    /// Address that it listens on.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sets the destination address of new connections.
    pub fn forward_to(&self, target: &str) {
        target.clone_into(&mut self.inner.target.lock());
    }

    /// Sets whether data to the destination (`calls`) and from it (`answers`) is silently dropped.
    pub fn set_drops(&self, calls: bool, answers: bool) {
        self.inner.drops_calls.store(calls, Ordering::Release);
        self.inner.drops_answers.store(answers, Ordering::Release);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let target = inner.target.lock().clone();
        let Ok(far) = TcpStream::connect(target).await else { continue };
        // Without the option data may only be delayed.
        drop((stream.set_nodelay(true), far.set_nodelay(true)));
        let (near_read, near_write) = stream.into_split();
        let (far_read, far_write) = far.into_split();
        let (calls, answers) = (inner.clone(), inner.clone());
        tokio::spawn(pass(near_read, far_write, move || calls.drops_calls.load(Ordering::Acquire)));
        tokio::spawn(pass(far_read, near_write, move || {
            answers.drops_answers.load(Ordering::Acquire)
        }));
    }
}

/// Forwards bytes until either side closes. Once bytes have been dropped all later ones are dropped
/// as well, so that the reader never sees a stream with a gap.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_lossy: impl Fn() -> bool) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut is_dropping = false;
    while let Ok(n) = from.read(&mut buffer).await {
        if n == 0 {
            return;
        }
        is_dropping |= is_lossy();
        if !is_dropping && to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
