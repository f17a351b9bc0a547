//! What a stand-in that stops promises, and when.

use std::net::{TcpListener, TcpStream};

use axum::Router;
use holdpoint_standin::serve::Server;

/// On one thread the server's task cannot run until this test waits, as on a busy machine.
#[tokio::test(flavor = "current_thread")]
async fn a_server_refuses_connections_once_it_has_stopped_and_not_before() {
    let server = Server::start(Router::new()).await;
    server.stop();
    assert!(TcpStream::connect(server.address()).is_ok(), "asked to stop, it still listens");
    server.stopped().await;
    assert!(TcpStream::connect(server.address()).is_err());
}

/// Seen once in CI beside busy processes: a hold at a target that had stopped was answered by the
/// target of another test, which had been given the same port.
#[tokio::test]
async fn the_port_of_a_stopped_server_is_given_to_nobody_else() {
    let server = Server::start(Router::new()).await;
    server.stop();
    server.stopped().await;
    assert!(TcpListener::bind(server.address()).is_err(), "the port is still taken");
}
