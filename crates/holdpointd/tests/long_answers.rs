//! Answers that outlast a planned stop. The daemon is a separate process, so that its end and all of its log can be
//! seen.

mod support;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use holdpoint_adapter_standin::{Behaviour, Store, Target, names, sample_configuration, set_times};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{CONDITION_TIMEOUT, settings};

/// Size of a large answer, in bytes: more than the daemon and the system buffer.
const ANSWER_BYTES: usize = 32 << 20;
/// End of a chunked answer.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Mark of a log line on a request that the daemon dropped.
const DROPPED_MARK: &str = " E718 ";
/// Mark of a log line on a request that ended.
const ENDED_MARK: &str = " E706 ";

/// A daemon that is stopped with a grace period of 1 s.
struct Daemon {
    child: Child,
    callers: SocketAddr,
    log: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Daemon {
    async fn start(name: &str, store: &Store) -> Daemon {
        let mut settings = settings(name, &store.endpoint, &[]);
        settings["timing"]["grace_s"] = json!(1.0);
        let file = |extension| {
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.{extension}"))
        };
        let (path, log) = (file("json"), file("log"));
        fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_holdpointd"))
            .args(["--ingress", "--log-level", "info", "--settings", path.to_str().unwrap()])
            .stdout(Stdio::null())
            .stderr(fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        let listening = async {
            loop {
                let text = fs::read_to_string(&log).unwrap();
                let line = text.lines().find(|it| it.contains(" E100 ") && it.contains("callers="));
                let address = line.and_then(|it| it.split_once("callers=")?.1.trim().parse().ok());
                if let Some(it) = address {
                    return it;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let callers =
            tokio::time::timeout(CONDITION_TIMEOUT, listening).await.expect("the daemon starts");
        Daemon { child, callers, log }
    }

    /// Stops the daemon, waits for the end of its process, and returns its log.
    async fn stop(&mut self) -> String {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
        let ended = async {
            while self.child.try_wait().unwrap().is_none() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(CONDITION_TIMEOUT, ended).await.expect("the daemon stops");
        fs::read_to_string(&self.log).unwrap()
    }
}

/// Begins an answer that outlasts the stop, and returns the log of the daemon after its end.
async fn stop_during(name: &str, path: &str, target: Target) -> String {
    let store = Store::start().await;
    let mut configuration = sample_configuration(1);
    let routes = configuration["routes"].as_array().unwrap().len();
    (0..routes).for_each(|it| set_times(&mut configuration, it, 60_000));
    store.put_configuration(&configuration);
    store.put_target(&target, false);
    let mut daemon = Daemon::start(name, &store).await;
    let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\n{}: r-1\r\n{}: 60000\r\n\
         authorization: Bearer key-1\r\ncontent-length: 5\r\n\r\ninput",
        names::REQUEST_ID,
        names::DEADLINE
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let begun = async {
        while !answer.windows(4).any(|it| it == b"\r\n\r\n") || answer.ends_with(b"\r\n\r\n") {
            assert_ne!(stream.read_buf(&mut answer).await.unwrap(), 0, "the answer begins");
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, begun).await.expect("the answer begins");
    assert!(answer.starts_with(b"HTTP/1.1 200 "), "{:?}", String::from_utf8_lossy(&answer));
    let log = daemon.stop().await;
    // A reset ends the answer too.
    let _ = stream.read_to_end(&mut answer).await;
    assert!(!answer.ends_with(LAST_CHUNK), "an answer that was cut looks complete");
    log
}

/// Guards against streams that a stop drops without a record, as if the daemon had failed.
#[tokio::test]
async fn a_stream_that_outlasts_a_stop_is_broken_off_and_recorded() {
    let target = Target::start("i-engine", "engine", Behaviour::HangAfter(2)).await;
    let log = stop_during("long-stream", "/story/", target).await;
    assert!(!log.contains(DROPPED_MARK), "{log}");
    let ended = log.lines().find(|it| it.contains(ENDED_MARK)).expect("the end is recorded");
    assert!(ended.contains("stopping"), "{ended}");
}

/// Guards against long answers that a stop drops without a record, as if the daemon had failed.
#[tokio::test]
async fn a_long_answer_that_outlasts_a_stop_is_broken_off_and_recorded() {
    let target = Target::start("i-plain", "plain", Behaviour::Large(ANSWER_BYTES)).await;
    let log = stop_during("long-answer", "/safe/", target).await;
    assert!(!log.contains(DROPPED_MARK), "{log}");
    assert!(log.lines().any(|it| it.contains(ENDED_MARK)), "{log}");
}
