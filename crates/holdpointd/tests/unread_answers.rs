//! Callers that have not read their answers yet, or not sent all of their requests, mostly at planned stops. The
//! instance runs on a runtime of its own, which ends with the stop and closes the instance's sockets as the end of
//! its process would.

mod support;

use std::{net::SocketAddr, thread, time::Duration};

use holdpoint_adapter_standin::{Behaviour, Store, Target, sample_configuration, set_times};
use holdpointd::{StopOutcome, ingress::Ingress};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::oneshot,
    task::JoinHandle,
};

use crate::support::{CONDITION_TIMEOUT, settings, until};

/// Size of the large answers, in bytes: more than the instance, the system and the caller buffer.
const ANSWER_BYTES: usize = 640 << 10;
/// Bytes of an answer that a slow caller reads at once.
const FAST_BYTES: usize = 256 << 10;
/// Bytes that a slow caller reads at a time, and its pause after each read.
const READ_BYTES: usize = 8 << 10;
const READ_PAUSE: Duration = Duration::from_millis(120);
/// Segment size of the callers' connections. Those of the loopback interface are so large that a slow reader
/// rarely opens its window.
const SEGMENT_BYTES: u32 = 1448;
/// End of a chunked answer.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// An instance with a target whose answers are large.
struct Stoppable {
    callers: SocketAddr,
    _store: Store,
    target: Target,
    stop: oneshot::Sender<()>,
    stopped: thread::JoinHandle<StopOutcome>,
}

impl Stoppable {
    async fn start(grace_s: f64) -> Stoppable {
        let store = Store::start().await;
        let mut configuration = sample_configuration(1);
        (0..3).for_each(|it| set_times(&mut configuration, it, 20_000));
        store.put_configuration(&configuration);
        let target = Target::start("i-plain", "plain", Behaviour::Large(ANSWER_BYTES)).await;
        store.put_target(&target, false);
        let mut settings = settings("a", &store.endpoint, &[]);
        settings["timing"]["grace_s"] = json!(grace_s);
        let (started, address) = oneshot::channel();
        let (stop, is_stopping) = oneshot::channel();
        let stopped = thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let outcome = runtime.block_on(async {
                let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
                until(|| instance.is_ready() && instance.target_count() == 1).await;
                started.send(instance.listen().callers.parse().unwrap()).unwrap();
                is_stopping.await.unwrap();
                instance.stop().await
            });
            runtime.shutdown_background();
            outcome
        });
        let callers = address.await.unwrap();
        Stoppable { callers, _store: store, target, stop, stopped }
    }

    /// Stops the instance, and waits until its sockets are closed.
    async fn stop(self) -> StopOutcome {
        self.stop.send(()).unwrap();
        let ended = tokio::task::spawn_blocking(|| self.stopped.join().unwrap());
        tokio::time::timeout(CONDITION_TIMEOUT, ended)
            .await
            .expect("the instance stops within the timeout")
            .unwrap()
    }
}

/// Connects as over Ethernet, with a receive buffer of this many bytes.
async fn connect(callers: SocketAddr, buffer_bytes: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.set_recv_buffer_size(buffer_bytes).unwrap();
    socket.connect(&callers.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpStream::from_std(socket.into()).unwrap()
}

fn head(id: &str, path: &str, length: usize) -> String {
    let method = if length == 0 { "GET" } else { "POST" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nholdpoint-request-id: {id}\r\n\
         holdpoint-deadline-ms: 20000\r\nauthorization: Bearer key-1\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads until the answer or the connection ends; returns all that was read and whether it ended without an error.
async fn read_slowly(stream: &mut TcpStream, mut read: Vec<u8>) -> (Vec<u8>, bool) {
    let mut part = vec![0; READ_BYTES];
    loop {
        match stream.read(&mut part).await {
            Ok(0) => return (read, true),
            Ok(count) => read.extend_from_slice(&part[..count]),
            Err(_) => return (read, false),
        }
        if read.ends_with(LAST_CHUNK) {
            return (read, true);
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}

/// Starts callers of large answers that have read the first part of them.
async fn start_slow_readers(callers: SocketAddr, count: usize) -> Vec<(TcpStream, Vec<u8>)> {
    let mut readers = Vec::new();
    for index in 0..count {
        let mut stream = connect(callers, 16 << 10).await;
        let request = head(&format!("slow-{index}"), "/safe/", 0);
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut first = vec![0; FAST_BYTES];
        stream.read_exact(&mut first).await.unwrap();
        readers.push((stream, first));
    }
    readers
}

type Reading = JoinHandle<(Vec<u8>, bool)>;

fn start_reading(readers: Vec<(TcpStream, Vec<u8>)>) -> Vec<Reading> {
    let start =
        |(mut stream, first)| tokio::spawn(async move { read_slowly(&mut stream, first).await });
    readers.into_iter().map(start).collect()
}

async fn assert_all_whole(reading: Vec<Reading>) {
    for it in reading {
        let (answer, is_clean) = it.await.unwrap();
        assert!(is_clean && answer.ends_with(LAST_CHUNK), "cut after {} bytes", answer.len());
    }
}

/// Guards against a limit on unacknowledged data that resets the connections of callers that read steadily.
#[tokio::test]
async fn a_caller_that_reads_slowly_but_steadily_is_not_reset() {
    let instance = Stoppable::start(20.0).await;
    let readers = start_slow_readers(instance.callers, 6).await;
    assert_all_whole(start_reading(readers)).await;
}

/// Guards against a stop that ends the process while it still holds the last bytes of answers.
#[tokio::test]
async fn a_planned_stop_does_not_cut_answers_that_are_read_slowly() {
    let instance = Stoppable::start(20.0).await;
    let readers = start_slow_readers(instance.callers, 6).await;
    let reading = start_reading(readers);
    assert_eq!(instance.stop().await, StopOutcome::Drained);
    assert_all_whole(reading).await;
}

/// Guards against a reset that discards what a caller has not read: closing a socket with unread input causes one.
#[tokio::test]
async fn a_planned_stop_does_not_reset_answers_whose_callers_have_sent_more() {
    let instance = Stoppable::start(20.0).await;
    let mut readers = start_slow_readers(instance.callers, 3).await;
    for (stream, _) in &mut readers {
        stream.write_all(head("next", "/safe/", 0).as_bytes()).await.unwrap();
    }
    let reading = start_reading(readers);
    instance.stop().await;
    assert_all_whole(reading).await;
}

/// Guards against a refusal that a caller cannot read, since the rest of its request meets a closed socket.
#[tokio::test]
async fn a_caller_that_still_sends_its_request_reads_why_it_is_refused() {
    let instance = Stoppable::start(20.0).await;
    let length = 8 << 20;
    let mut stream = connect(instance.callers, 64 << 10).await;
    stream.write_all(head("large", "/safe/", length).as_bytes()).await.unwrap();
    let part = vec![b'x'; 64 << 10];
    for sent in 0..length / part.len() {
        let written = stream.write_all(&part).await;
        assert!(written.is_ok(), "reset after {sent} parts");
    }
    let (answer, is_clean) = read_slowly(&mut stream, Vec::new()).await;
    assert!(is_clean && answer.starts_with(b"HTTP/1.1 413"), "{}", answer.len());
    assert_eq!(instance.target.runs().len(), 0);
}

/// Guards against a stop that waits for a caller beyond the grace period, after which the platform ends the process.
#[tokio::test]
async fn a_caller_that_reads_too_slowly_does_not_hold_a_planned_stop() {
    let instance = Stoppable::start(2.0).await;
    // A caller that reads nothing for some time would lose its answer before the end of the grace period.
    let reading = start_reading(start_slow_readers(instance.callers, 1).await).remove(0);
    assert_eq!(instance.stop().await, StopOutcome::Cut);
    let (answer, _) = reading.await.unwrap();
    assert!(!answer.ends_with(LAST_CHUNK), "the stop waited for the caller");
}

/// Guards against a stop that waits for connections without a request.
#[tokio::test]
async fn connections_without_a_request_do_not_hold_a_planned_stop() {
    let instance = Stoppable::start(60.0).await;
    let unused = connect(instance.callers, 4 << 10).await;
    let mut partial = connect(instance.callers, 4 << 10).await;
    partial.write_all(b"GET /safe/ HTTP/1.1\r\n").await.unwrap();
    assert_eq!(instance.stop().await, StopOutcome::Drained);
    drop(unused);
}
