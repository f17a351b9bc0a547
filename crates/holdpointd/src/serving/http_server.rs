//! Serves a router over HTTP until the instance stops.

use std::{sync::Arc, time::Duration};

use axum::Router;
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto::Builder,
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    serving::{
        accept_queue::{from_waiting, take_waiting},
        closing::run_connection,
        lingering_stream::LingeringStream,
        socket_check::{CheckedStream, SocketCheck},
    },
    shared::{InFlight, wait_until_set},
};

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections of servers that stop together.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    closing: watch::Sender<bool>,
    open: Arc<InFlight>,
}

impl Connections {
    /// Creates the state of servers that run.
    pub(crate) fn new() -> Connections {
        Connections { closing: watch::Sender::new(false), open: Arc::default() }
    }

    /// Closes the listeners, and each connection after its last answer.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.open.count()
    }

    /// Waits until no connection is open.
    pub(crate) async fn closed(&self) {
        self.open.idle().await;
    }
}

/// Serves until the connections must be closed, and returns once no other one is accepted.
pub(crate) async fn serve(listener: TcpListener, router: Router, connections: Connections) {
    let mut closing = connections.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            () = wait_until_set(&mut closing) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&connections, &router, stream),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    for it in take_waiting(listener).filter_map(|it| from_waiting(it).ok()) {
        spawn_connection(&connections, &router, it);
    }
}

fn spawn_connection(connections: &Connections, router: &Router, stream: TcpStream) {
    let (connections, router) = (connections.clone(), router.clone());
    // Held until the connection is closed, so that a stop waits for the last bytes of its answers.
    let open = connections.open.start();
    tokio::spawn(async move {
        let builder = Builder::new(TokioExecutor::new());
        let check = SocketCheck::default();
        let stream = CheckedStream::new(stream, check.clone());
        let stream = TokioIo::new(LingeringStream::new(stream));
        let connection = builder.serve_connection(stream, TowerToHyperService::new(router));
        // An error ends the connection, and with it the requests on it.
        let Connections { closing, open: all } = &connections;
        drop(run_connection(closing, all, connection, &check, None).await);
        drop(open);
    });
}
