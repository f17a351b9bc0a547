//! The daemon as a process of its own, so that its memory can be measured.

use std::{
    fs,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use holdpoint_adapter_standin::{CallerRequest, Store, call};
use http::StatusCode;
use serde_json::json;

use super::CONDITION_TIMEOUT;

/// A running process of the daemon.
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

fn free_port() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

impl Daemon {
    pub fn start(name: &str, store: &Store) -> Daemon {
        let (callers, readiness, peers) = (free_port(), free_port(), free_port());
        let metrics = free_port();
        let settings = json!({
            "instance": name, "domain": "z1",
            "listen": { "callers": callers, "readiness": readiness, "peers": peers,
                "metrics": metrics },
            "store": { "address": store.endpoint.address.to_string(), "poll_ms": 50, "timeout_ms": 300 },
            "machine": { "memory_mb": 120.0 },
        });
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_holdpointd"))
            .args(["--ingress", "--settings", path.to_str().unwrap()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Daemon { child, callers, metrics, closed_before: 0 }
    }

    /// A figure of the process's status, in kilobytes.
    pub fn status_kb(&self, name: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|it| it.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Peak of the memory that the process owns, in kilobytes: without the pages of its program and libraries, which
    /// stay mapped once they were used.
    pub fn peak_owned_kb(&self) -> u64 {
        (self.status_kb("VmHWM") - self.status_kb("RssFile")).max(self.status_kb("RssAnon"))
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

    /// Waits until this many requests of a route have ended or were not read, and returns how many were not.
    pub async fn until_ended(&self, route: &str, count: usize) -> usize {
        let ended = async {
            loop {
                let (ended, unread) = (self.ended(route, "").await, self.closed_unread().await);
                if count <= ended + unread {
                    return unread;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(CONDITION_TIMEOUT, ended)
            .await
            .expect("the requests ended within the timeout")
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
