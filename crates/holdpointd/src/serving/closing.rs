//! Closes the connections of a server that stops.

use std::{
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use futures::poll;
use hyper_util::server::graceful::GracefulConnection;
use tokio::sync::watch;

use crate::{
    serving::{driver_timer, socket_check::SocketCheck},
    shared::{InFlight, InFlightGuard, wait_until_set},
};

/// How long a stopping instance still reads requests that were on the way when it stopped listening.
pub(crate) const LATE_REQUEST_TIME: Duration = Duration::from_millis(50);

/// Runs a connection until it is closed. Once `closing` is set, an idle one ends after the time for late requests, and
/// another one with its current answer. `check` is that of its socket.
///
/// `unread` holds the stop until the connection's requests are read, if it was accepted when connections were being closed;
/// otherwise a guard of `connections` does from then on.
pub(crate) async fn run_connection<C: GracefulConnection>(
    closing: &watch::Sender<bool>,
    connections: &Arc<InFlight>,
    connection: C,
    check: &SocketCheck,
    unread: Option<InFlightGuard>,
) -> Result<(), C::Error> {
    tokio::pin!(connection);
    // The connection comes first: the library closes one that rests, or is new, without another look at its socket.
    let unread = tokio::select! {
        biased;
        it = connection.as_mut() => return it,
        it = last_requests_read(closing, connections, unread) => it,
    };
    check.request();
    if let Poll::Ready(it) = poll!(connection.as_mut()) {
        return it;
    }
    connection.as_mut().graceful_shutdown();
    drop(unread);
    connection.await
}

/// Waits until connections must be closed and late requests have had time to arrive. The returned guard holds the stop.
pub(crate) async fn last_requests_read(
    closing: &watch::Sender<bool>,
    connections: &Arc<InFlight>,
    unread: Option<InFlightGuard>,
) -> InFlightGuard {
    wait_until_set(&mut closing.subscribe()).await;
    // A late process may see the end of the stop's own pause together with the requests.
    let unread = unread.unwrap_or_else(|| connections.start());
    driver_timer::sleep_until(Instant::now() + LATE_REQUEST_TIME).await;
    unread
}
