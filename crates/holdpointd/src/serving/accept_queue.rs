//! How long callers' connections may have waited to be accepted.
//!
//! The kernel completes connections, and takes in their requests, also while this process does not run. No safe interface
//! tells when a connection was made, but all that are accepted after the queue was seen empty were made since.

use std::{io, time::Duration};

use holdpoint_platform::Instant;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Interval, MissedTickBehavior, interval},
};

/// Interval at which the queue is checked, so that the bound stays small while no connection comes. It is no divisor of
/// the usual period of a processor's quota, 100 ms.
const CHECK_INTERVAL: Duration = Duration::from_millis(47);

/// When the queue of a listener was last seen empty.
#[derive(Debug)]
pub(crate) struct EmptyQueue(Instant);

impl EmptyQueue {
    /// The queue of a listener that does not listen yet.
    pub(crate) fn new() -> EmptyQueue {
        EmptyQueue(Instant::now())
    }

    /// Records that the queue was empty at this time, or later.
    pub(crate) fn record(&mut self, at: Instant) {
        self.0 = at;
    }

    /// Longest time that a connection which is accepted now may have waited.
    pub(crate) fn longest_wait(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Accepts connections, and checks from time to time whether none waits.
pub(crate) struct Acceptor<'a> {
    listener: &'a TcpListener,
    checks: Interval,
}

impl<'a> Acceptor<'a> {
    /// Creates an acceptor for this listener.
    pub(crate) fn new(listener: &'a TcpListener) -> Acceptor<'a> {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Acceptor { listener, checks }
    }

    /// Accepts a connection. Calls `record_empty` with the time of each check that found none.
    pub(crate) async fn accept(&mut self, record_empty: impl Fn(Instant)) -> io::Result<TcpStream> {
        loop {
            tokio::select! {
                biased;
                it = self.listener.accept() => return Ok(it?.0),
                _ = self.checks.tick() => (),
            }
            let checked_at = Instant::now();
            // Asks the kernel: the event loop may not know of the latest connections yet.
            match SockRef::from(self.listener).accept() {
                Ok((it, _)) => return from_waiting(it.into()),
                Err(it) if it.kind() == io::ErrorKind::WouldBlock => record_empty(checked_at),
                Err(it) => return Err(it),
            }
        }
    }
}

/// Returns the connections that wait in the queue of a listener, and closes it after the last one. The kernel is asked for
/// each of them, since the event loop may not have heard of the latest ones.
pub(crate) fn take_waiting(listener: TcpListener) -> impl Iterator<Item = std::net::TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || Some(listener.as_ref()?.accept().ok()?.0))
}

/// Registers a connection that was accepted without the event loop.
pub(crate) fn from_waiting(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
