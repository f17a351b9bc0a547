//! Requests with large bodies that a full instance refuses. The daemon is a separate process, so that its memory can be
//! measured.

mod support;

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use holdpoint_adapter_standin::{Behaviour, Store, Target, names, sample_configuration};
use rustix::process::{Signal, kill_process};
use serde_json::json;

use crate::support::{CONDITION_TIMEOUT, daemon::Daemon};

/// Memory of a machine that has room for two connections of callers.
const MEMORY_MB: f64 = 0.25;
/// Callers that fill it.
const FILLING: usize = 2;
/// Callers that are refused, and the size of the body that each of them sends.
const CALLERS: usize = 4;
const BODY_BYTES: usize = 16 << 20;
/// How long the daemon does not run: longer than callers need to take their requests for read.
const PAUSE: Duration = Duration::from_millis(600);

fn request_head(id: &str, connection: &str, body_bytes: usize) -> String {
    format!(
        "POST /safe/ HTTP/1.1\r\nhost: shop.example\r\n{}: {id}\r\n{}: 60000\r\n\
         authorization: Bearer key-1\r\nconnection: {connection}\r\n\
         content-length: {body_bytes}\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE
    )
}

/// Makes a connection that stays open after its request is answered.
fn kept_connection(callers: &str, id: &str) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(callers)?;
    stream.set_read_timeout(Some(CONDITION_TIMEOUT))?;
    stream.write_all(request_head(id, "keep-alive", 5).as_bytes())?;
    stream.write_all(b"input")?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\ninput") {
        let mut part = [0; 1024];
        match stream.read(&mut part)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            it => answer.extend_from_slice(&part[..it]),
        }
    }
    Ok(stream)
}

/// Sends a large body on a connection, and reads the answer up to the end of the connection.
fn send_body(mut stream: TcpStream, id: &str) -> io::Result<String> {
    stream.set_read_timeout(Some(CONDITION_TIMEOUT))?;
    stream.write_all(request_head(id, "close", BODY_BYTES).as_bytes())?;
    let part = vec![b'x'; 64 << 10];
    for _ in 0..BODY_BYTES / part.len() {
        stream.write_all(&part)?;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Guards against bodies of refused requests that are kept until they have arrived whole, while memory is short.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_refused_requests_are_not_kept_in_memory() {
    let store = Store::start().await;
    let mut configuration = sample_configuration(1);
    configuration["limits"]["max-body-bytes"] = json!(2 * BODY_BYTES);
    store.put_configuration(&configuration);
    let target = Target::start("i-plain", "plain", Behaviour::Answer).await;
    store.put_target(&target, false);
    let daemon = Daemon::start("refused-bodies", &store, MEMORY_MB);
    daemon.until_serving().await;
    let callers = daemon.callers.clone();
    let kept: Vec<_> = tokio::task::spawn_blocking(move || {
        (0..FILLING).map(|it| kept_connection(&callers, &format!("kept-{it}")).unwrap()).collect()
    })
    .await
    .unwrap();
    let refused_before = daemon.counted("holdpoint_refused_full", &[]).await;
    let before_kb = daemon.peak_owned_kb();
    kill_process(daemon.pid(), Signal::STOP).unwrap();
    let sending: Vec<_> = (0..CALLERS)
        .map(|it| {
            let stream = TcpStream::connect(&daemon.callers).unwrap();
            thread::spawn(move || send_body(stream, &format!("r-{it}")))
        })
        .collect();
    thread::sleep(PAUSE);
    kill_process(daemon.pid(), Signal::CONT).unwrap();
    let answers = tokio::task::spawn_blocking(|| {
        sending.into_iter().map(|it| it.join().unwrap()).collect::<Vec<_>>()
    });
    for (index, it) in answers.await.unwrap().into_iter().enumerate() {
        let answer = it.unwrap_or_else(|it| panic!("caller {index}: {it}"));
        assert!(answer.starts_with("HTTP/1.1 503 "), "caller {index}: {answer:?}");
    }
    let refused = daemon.counted("holdpoint_refused_full", &[]).await - refused_before;
    assert_eq!(refused, CALLERS);
    let grown_kb = daemon.peak_owned_kb().saturating_sub(before_kb);
    assert!(grown_kb < BODY_BYTES as u64 >> 10, "the memory has grown by {grown_kb} kB");
    drop(kept);
}
