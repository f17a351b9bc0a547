//! An instance as a process of its own, whose memory can be measured.

use std::{
    fs,
    net::Ipv4Addr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::Duration,
};

use holdpoint_adapter_standin::{CallerRequest, Store, call};
use http::StatusCode;
use rustix::process::Pid;
use serde_json::json;

use super::CONDITION_TIMEOUT;

/// Hosts 127.x that belong to one test program each begin with this x.
const OWN_HOSTS: u8 = 64;

pub struct Daemon {
    child: Child,
    pub callers: String,
    metrics: String,
    /// Connections that were closed unread or refused before the test's own ones.
    pub closed_before: usize,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Returns an address of loopback for the daemon. Its host is this process's alone, so that nobody else takes the port
/// before the daemon does: neither another test program nor the source of a connection.
pub fn free_address() -> String {
    static TAKEN: Mutex<Vec<String>> = Mutex::new(Vec::new());
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, OWN_HOSTS + high % OWN_HOSTS, middle, low);
    let mut taken = TAKEN.lock().unwrap();
    loop {
        let listener = std::net::TcpListener::bind((host, 0)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        if !taken.contains(&address) {
            taken.push(address.clone());
            return address;
        }
    }
}

impl Daemon {
    /// Starts a daemon on a machine with this memory.
    pub fn start(name: &str, store: &Store, memory_mb: f64) -> Daemon {
        Daemon::start_at(name, &store.endpoint.address.to_string(), memory_mb)
    }

    /// The same with a store at this address.
    pub fn start_at(name: &str, store: &str, memory_mb: f64) -> Daemon {
        let (callers, readiness, peers) = (free_address(), free_address(), free_address());
        let metrics = free_address();
        let settings = json!({
            "instance": name, "domain": "z1",
            "listen": { "callers": callers, "readiness": readiness, "peers": peers,
                "metrics": metrics },
            "store": { "address": store, "poll_ms": 50, "timeout_ms": 300 },
            "machine": { "memory_mb": memory_mb },
        });
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        // Another run of these tests at the same time has settings of its own.
        let path = dir.join(format!("{name}-{}.json", std::process::id()));
        fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_holdpointd"))
            .args(["--ingress", "--settings", path.to_str().unwrap()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Daemon { child, callers, metrics, closed_before: 0 }
    }

    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32).unwrap()
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    pub async fn suspend(&self) {
        self.signal("-STOP");
        while self.status("State") != "T" {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// A field of the process's status.
    pub fn status(&self, name: &str) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|it| it.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().to_owned()
    }

    /// A figure of the process's status, in kilobytes.
    pub fn status_kb(&self, name: &str) -> u64 {
        self.status(name).parse().unwrap()
    }

    /// Peak of the memory that the process owns, in kilobytes: without the pages of its program and libraries, which
    /// stay mapped once they were used.
    pub fn peak_owned_kb(&self) -> u64 {
        // The process may read its program while its figures are read one by one.
        let peak = self.status_kb("VmHWM").saturating_sub(self.status_kb("RssFile"));
        peak.max(self.status_kb("RssAnon"))
    }

    /// Sum of a counter over the lines that have these labels.
    pub async fn counted(&self, counter: &str, labels: &[&str]) -> usize {
        let request = CallerRequest::new("metrics", "/metrics");
        let text = call(self.metrics.parse().unwrap(), request).await.unwrap().body;
        let text = String::from_utf8(text.to_vec()).unwrap();
        let lines = text.lines().filter(|it| it.starts_with(counter));
        let lines = lines.filter(|line| labels.iter().all(|it| line.contains(it)));
        lines.map(|it| it.rsplit(' ').next().unwrap().parse::<usize>().unwrap()).sum()
    }

    /// Number of requests of a route that have ended with an outcome, or with any if `outcome` is empty.
    pub async fn ended(&self, route: &str, outcome: &str) -> usize {
        let (route, outcome) = (format!("route=\"{route}\""), format!("outcome=\"{outcome}"));
        self.counted("holdpoint_requests", &[&route, &outcome]).await
    }

    /// Number of callers' connections that were closed unread, or whose requests were refused, since the machine is too
    /// busy for more.
    pub async fn closed_unread(&self) -> usize {
        let closed = self.counted("holdpoint_closed_unread", &[]).await;
        closed + self.counted("holdpoint_refused_full", &[]).await - self.closed_before
    }

    /// Number of requests that were read and whose callers were found to have left before their route was known.
    pub async fn left_early(&self) -> usize {
        self.counted("holdpoint_dropped_requests", &["by=\"caller\"", "step=\"body\""]).await
    }

    /// Waits until this many requests of a route have ended or were not read, and returns how many were not.
    pub async fn until_ended(&self, route: &str, count: usize) -> usize {
        let ended = async {
            loop {
                let ended = self.ended(route, "").await + self.left_early().await;
                let unread = self.closed_unread().await;
                if count <= ended + unread {
                    return unread;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        if let Ok(unread) = tokio::time::timeout(CONDITION_TIMEOUT, ended).await {
            return unread;
        }
        let (ended, left) = (self.ended(route, "").await, self.left_early().await);
        let unread = self.closed_unread().await;
        panic!("{count} requests: {ended} ended, {left} left early, {unread} not read in time");
    }

    pub async fn until_serving(&self) {
        let serving = async {
            let mut tries = 0;
            loop {
                tries += 1;
                let request = CallerRequest::new(&format!("ready-{tries}"), "/unsafe/");
                let answer = call(self.callers.parse().unwrap(), request).await;
                if answer.is_some_and(|it| it.status == StatusCode::OK) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(CONDITION_TIMEOUT, serving)
            .await
            .expect("the daemon serves requests within the timeout");
    }
}
