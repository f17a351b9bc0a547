//! Listeners of an instance: caller requests, readiness probes of the balancer, and metrics.
//!
//! Each accepted connection is served by a task of its own.

use std::{
    convert::Infallible,
    error::Error,
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use futures::future::Either;
use holdpoint_platform::Instant;
use http::{Request, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::{
    events::{self, emit},
    ingress::{
        answer::{Answer, empty, text},
        counted_stream::CountedStream,
        departure::{Departure, DepartureStream},
        own_load::{self, Accepted, OpenConnection},
        request,
        shared::IngressShared,
        unread::WRITE_TIMEOUT,
        write_timeout::WriteTimeout,
    },
    serving::{
        accept_queue::{Acceptor, from_waiting, take_waiting},
        closing::run_connection,
        driver_timer::DriverTimer,
        lingering_stream::LingeringStream,
        socket_check::{CheckedStream, SocketCheck},
    },
    shared::{InFlightGuard, wait_until_set},
};

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Kernel send buffer of a caller's connection. The system's default grows to megabytes, and a target sees
/// bytes buffered there as read.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a failed attempt to listen again.
const LISTEN_PAUSE: Duration = Duration::from_millis(100);
/// Connections that may wait to be accepted. The system drops further ones, whose callers wait for seconds.
const LISTEN_BACKLOG: u32 = 1024;

/// What is done with the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Serve,
    Refuse,
}

/// Serves callers until the task is dropped.
///
/// Stops accepting once connections are being closed: the end of the process would cut off requests on new
/// ones, while a closed port makes callers use another instance at once.
pub(crate) async fn callers(shared: Arc<IngressShared>, listener: TcpListener) {
    let mut closing = shared.closing.subscribe();
    let mut listening = Some(listener);
    tokio::select! {
        () = accept_callers(&shared, &mut listening) => (),
        () = wait_until_set(&mut closing) => (),
    }
    if let Some(it) = listening.take() {
        stop_listening(&shared, it);
    }
}

/// Closes the listener. Connections in its queue would be reset, so they are accepted before.
fn stop_listening(shared: &Arc<IngressShared>, listener: TcpListener) {
    let wait = shared.own_load.longest_wait();
    let mut count = 0;
    for it in take_waiting(listener) {
        count += 1;
        match own_load::accept(shared) {
            Accepted::Served(open) => spawn_waiting(shared, it, open, Service::Serve),
            Accepted::Refused(open) => spawn_waiting(shared, it, open, Service::Refuse),
            Accepted::Closed => (),
        }
    }
    let detail = format!("waiting={count} wait_ms={}", wait.as_millis());
    emit(events::STOPPED_LISTENING, &shared.settings.instance, &detail);
}

/// Accepts callers while this instance has room. While it has none it does not listen: a refused connection costs the
/// link no request, unlike one that is closed unread.
///
/// `listening` holds the listener while there is one.
async fn accept_callers(shared: &Arc<IngressShared>, listening: &mut Option<TcpListener>) {
    loop {
        if listening.is_none() {
            *listening = Some(listen_again(shared).await);
        }
        if let Some(it) = listening.as_ref() {
            tokio::select! {
                () = accept_while_room(shared, it) => (),
                () = shared.own_load.queued() => (),
            }
        }
        if let Some(it) = listening.take() {
            for (stream, open) in own_load::refuse_waiting(shared, it) {
                spawn_waiting(shared, stream, open, Service::Refuse);
            }
        }
        while let Some(it) = shared.own_load.wait(shared.clock.now()) {
            tokio::time::sleep(it).await;
        }
    }
}

/// Accepts callers until one has to be refused or closed unread.
async fn accept_while_room(shared: &Arc<IngressShared>, listener: &TcpListener) {
    let mut acceptor = Acceptor::new(listener);
    loop {
        let accepted = acceptor.accept(|it| shared.own_load.record_empty_queue(it)).await;
        let Ok(stream) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        match own_load::accept(shared) {
            Accepted::Served(open) => spawn_caller(shared, stream, open, Service::Serve),
            Accepted::Refused(open) => return spawn_caller(shared, stream, open, Service::Refuse),
            Accepted::Closed => return,
        }
    }
}

/// Serves a connection that was taken from the queue of a closed listener.
fn spawn_waiting(
    shared: &Arc<IngressShared>,
    stream: std::net::TcpStream,
    open: OpenConnection,
    service: Service,
) {
    match from_waiting(stream) {
        Ok(it) => spawn_caller(shared, it, open, service),
        Err(it) => {
            let detail = format!("cause={it}");
            emit(events::CONNECTION_LOST, &shared.settings.instance, &detail);
        }
    }
}

fn spawn_caller(
    shared: &Arc<IngressShared>,
    stream: TcpStream,
    open: OpenConnection,
    service: Service,
) {
    let shared = shared.clone();
    let unread = shared.closing.borrow().then(|| shared.used_connections.start());
    tokio::spawn(async move {
        let _open = open;
        // Held until the connection is closed.
        let (state, used) = (shared.clone(), OnceLock::new());
        let departure = Departure::default();
        let of_requests = departure.clone();
        let service = service_fn(move |it| {
            let is_first = used.get().is_none();
            used.get_or_init(|| state.used_connections.start());
            let (state, departure) = (state.clone(), of_requests.clone());
            match service {
                Service::Serve => Either::Left(request::serve(state, it, is_first, departure)),
                Service::Refuse => Either::Right(request::refuse(state, it, departure)),
            }
        });
        serve_connection(&shared, stream, departure, service, unread).await;
    });
}

/// Listens for callers again at the address that was listened on before.
async fn listen_again(shared: &IngressShared) -> TcpListener {
    loop {
        let begun = Instant::now();
        match listen(&shared.settings.listen.callers) {
            Ok(it) => {
                shared.own_load.record_empty_queue(begun);
                return it;
            }
            Err(it) => {
                let detail = format!("{}: {it}", shared.settings.listen.callers);
                emit(events::BAD_ADDRESS, &shared.settings.instance, &detail);
            }
        }
        tokio::time::sleep(LISTEN_PAUSE).await;
    }
}

fn listen(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Answers the balancer's readiness probes.
pub(crate) async fn readiness(shared: Arc<IngressShared>, listener: TcpListener) {
    accept(listener, |stream| {
        let shared = shared.clone();
        async move {
            let state = shared.clone();
            let service = service_fn(move |it| std::future::ready(probe_answer(&state, &it)));
            serve_connection(&shared, stream, Departure::default(), service, None).await;
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
            serve_connection(&shared, stream, Departure::default(), service, None).await;
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

async fn serve_connection<S>(
    shared: &IngressShared,
    stream: TcpStream,
    departure: Departure,
    service: S,
    unread: Option<InFlightGuard>,
) where
    S: hyper::service::Service<Request<Incoming>, Response = Answer, Error = Infallible>,
{
    let (Ok(()), Ok(caller)) = (stream.set_nodelay(true), stream.peer_addr()) else { return };
    // On failure the system's default size applies.
    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    let limits = shared.configuration().limits;
    let check = SocketCheck::default();
    let stream = CheckedStream::new(stream, check.clone());
    let stream = CountedStream::new(stream, shared.own_load.traffic.callers.clone());
    let stream = WriteTimeout::new(stream, WRITE_TIMEOUT);
    let stream = DepartureStream::new(stream, departure);
    let connection = http1::Builder::new()
        .timer(DriverTimer::new(check.clone()))
        .auto_date_header(false)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        // The library's header timeout includes the idle time between two requests.
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .serve_connection(TokioIo::new(LingeringStream::new(stream)), service);
    let IngressShared { closing, used_connections, .. } = shared;
    if let Err(it) = run_connection(closing, used_connections, connection, &check, unread).await
        && is_timeout(&it)
    {
        emit(events::CALLER_STALLED, &shared.settings.instance, &format!("caller={caller}"));
    }
}

fn is_timeout(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|it| it.downcast_ref::<io::Error>());
    cause.is_some_and(|it| it.kind() == io::ErrorKind::TimedOut)
}
