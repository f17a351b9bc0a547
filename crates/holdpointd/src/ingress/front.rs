//! Listeners: callers, the balancer's question, metrics.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use http::{Request, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    ingress::{
        answer::{Answer, bare, text},
        connections::guard,
        request,
        shared::IngressShared,
    },
    shared::raised,
};

/// Smallest buffer that the HTTP library takes for a head, in bytes.
const LEAST_BUFFER: usize = 8 << 10;
/// Bytes that the system may hold for a caller that does not read them: left to itself, it takes up to 4 MB for
/// each, which a target sees as read.
const SEND_BUFFER: usize = 64 << 10;
/// Pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until the task is dropped.
///
/// Once connections are to be closed, none is accepted any more: a request that came so late would
/// be cut off by the end of the process, while a closed port sends its caller elsewhere at once.
pub(crate) async fn callers(shared: Arc<IngressShared>, listener: TcpListener) {
    let mut closing = shared.closing.subscribe();
    let accepting = accept(listener, |stream| {
        let shared = shared.clone();
        async move {
            let each = shared.clone();
            let service = service_fn(move |it| request::serve(each.clone(), it));
            serve_connection(&shared, stream, service).await;
        }
    });
    tokio::select! {
        () = accepting => (),
        () = raised(&mut closing) => (),
    }
}

/// Answers the balancer's question whether this instance is ready.
pub(crate) async fn readiness(shared: Arc<IngressShared>, listener: TcpListener) {
    accept(listener, |stream| {
        let shared = shared.clone();
        async move {
            let each = shared.clone();
            let service = service_fn(move |it| std::future::ready(ready(&each, &it)));
            serve_connection(&shared, stream, service).await;
        }
    })
    .await;
}

/// Shows the metrics.
pub(crate) async fn metrics(shared: Arc<IngressShared>, listener: TcpListener) {
    accept(listener, |stream| {
        let shared = shared.clone();
        async move {
            let each = shared.clone();
            let service = service_fn(move |_| {
                std::future::ready(Ok::<_, Infallible>(text(each.metrics.text())))
            });
            serve_connection(&shared, stream, service).await;
        }
    })
    .await;
}

fn ready(shared: &IngressShared, request: &Request<Incoming>) -> Result<Answer, Infallible> {
    let status = if request.uri().path() != holdpoint_adapter::READY_PATH {
        StatusCode::NOT_FOUND
    } else if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Ok(bare(status))
}

async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream))),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<S>(shared: &IngressShared, stream: TcpStream, service: S)
where
    S: hyper::service::Service<Request<Incoming>, Response = Answer, Error = Infallible>,
{
    if guard(&stream).is_err() {
        return;
    }
    // Where it cannot be set, the usual bound holds.
    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
    let limits = shared.configuration().limits;
    let mut closing = shared.closing.subscribe();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        // The library counts the rest between two requests to the time of the next head.
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = raised(&mut closing) => (),
    }
    connection.as_mut().graceful_shutdown();
    // A connection that ends with an error has no one to tell.
    drop(connection.await);
}
