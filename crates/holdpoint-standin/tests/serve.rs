//! Behaviour of a stand-in's server after a stop.

use std::net::{TcpListener, TcpStream};

use axum::Router;
use holdpoint_standin::serve::Server;

/// On one thread the server's task cannot run until the test awaits, as on a busy machine.
#[tokio::test(flavor = "current_thread")]
async fn a_server_refuses_connections_once_it_has_stopped_and_not_before() {
    let server = Server::start(Router::new()).await;
    server.stop();
    assert!(
        TcpStream::connect(server.address()).is_ok(),
        "the server stopped listening before its task ran"
    );
    server.stopped().await;
    assert!(TcpStream::connect(server.address()).is_err());
}

/// Guards against a call to a stopped target being answered by another test's target that was
/// given the same port.
#[tokio::test]
async fn the_port_of_a_stopped_server_is_given_to_nobody_else() {
    let server = Server::start(Router::new()).await;
    server.stop();
    server.stopped().await;
    assert!(
        TcpListener::bind(server.address()).is_err(),
        "the port of a stopped server must stay reserved"
    );
}
