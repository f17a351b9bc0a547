//! Listeners of an instance: caller requests, readiness probes of the balancer, and metrics.
//!
//! Each accepted connection is served by a task of its own.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use http::{Request, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    ingress::{
        answer::{Answer, empty, text},
        connections::set_socket_options,
        counted_stream::CountedStream,
        request,
        shared::IngressShared,
    },
    shared::wait_until_set,
};

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Kernel send buffer of a caller's connection. The system's default grows to megabytes, and a target sees
/// bytes buffered there as read.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until the task is dropped.
///
/// Stops accepting once connections are being closed: the end of the process would cut off requests on new
/// ones, while a closed port makes callers use another instance at once.
pub(crate) async fn callers(shared: Arc<IngressShared>, listener: TcpListener) {
    let mut closing = shared.closing.subscribe();
    let accepting = accept(listener, |stream| {
        let shared = shared.clone();
        async move {
            let state = shared.clone();
            let service = service_fn(move |it| request::serve(state.clone(), it));
            let _open = shared.own_load.open_connection();
            serve_connection(&shared, stream, service).await;
        }
    });
    tokio::select! {
        () = accepting => (),
        () = wait_until_set(&mut closing) => (),
    }
}

/// Answers the balancer's readiness probes.
pub(crate) async fn readiness(shared: Arc<IngressShared>, listener: TcpListener) {
    accept(listener, |stream| {
        let shared = shared.clone();
        async move {
            let state = shared.clone();
            let service = service_fn(move |it| std::future::ready(probe_answer(&state, &it)));
            serve_connection(&shared, stream, service).await;
        }
    })
    .await;
}

/// Serves the metrics as text.
pub(crate) async fn metrics(shared: Arc<IngressShared>, listener: TcpListener) {
    accept(listener, |stream| {
        let shared = shared.clone();
        async move {
            let state = shared.clone();
            let service = service_fn(move |_| {
                std::future::ready(Ok::<_, Infallible>(text(state.metrics.text())))
            });
            serve_connection(&shared, stream, service).await;
        }
    })
    .await;
}

fn probe_answer(shared: &IngressShared, request: &Request<Incoming>) -> Result<Answer, Infallible> {
    let status = if request.uri().path() != holdpoint_adapter::READY_PATH {
        StatusCode::NOT_FOUND
    } else if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Ok(empty(status))
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
    if set_socket_options(&stream).is_err() {
        return;
    }
    // On failure the system's default size applies.
    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    let limits = shared.configuration().limits;
    let mut closing = shared.closing.subscribe();
    let stream = CountedStream::new(stream, shared.own_load.traffic.callers.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        // The library's header timeout includes the idle time between two requests.
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_until_set(&mut closing) => (),
    }
    connection.as_mut().graceful_shutdown();
    // An error at shutdown needs no handling.
    drop(connection.await);
}
