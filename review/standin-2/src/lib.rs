//! What the cases of the second review have in common: processes of the daemon, and the record of a run.

use std::{
    fmt::Write as _,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    time::{Duration, Instant},
};

use holdpoint_adapter_standin::{CallerRequest, Store, call};
use serde_json::json;

/// Exit code of a run in which the rule held.
pub const HELD: u8 = 0;
/// Exit code of a run in which the rule was broken.
pub const BROKEN: u8 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: u8 = 2;

/// Arguments and record of one run: `PROGRAM DAEMON RECORD`, with `TROUBLE=0` in the environment for a run without the
/// disruption.
pub struct Case {
    daemon: String,
    record: PathBuf,
    folder: PathBuf,
    lines: String,
    begun: Instant,
    /// Whether the disruption is to happen.
    pub has_trouble: bool,
}

impl Case {
    /// Reads the arguments.
    pub fn from_arguments() -> Option<Case> {
        let mut arguments = std::env::args().skip(1);
        let (daemon, record) = (arguments.next()?, arguments.next()?);
        let folder = std::env::temp_dir().join(format!("holdpoint-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        Some(Case {
            daemon,
            record: record.into(),
            folder,
            lines: String::new(),
            begun: Instant::now(),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn ms(&self) -> u128 {
        self.begun.elapsed().as_millis()
    }

    /// Adds a line to the record.
    pub fn note(&mut self, line: &str) {
        let ms = self.ms();
        let _ = writeln!(self.lines, "{ms:>6} ms  {line}");
    }

    /// Starts an instance with settings like those of a small deployment, and waits until it is ready.
    pub async fn start(&self, name: &str, store: SocketAddr, seeds: &[String]) -> Option<Daemon> {
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_address());
        let settings = json!({
            "instance": name, "domain": "z1", "region": "r1", "regions": { "z1": "r1" },
            "listen": { "callers": callers, "readiness": readiness, "peers": peers, "metrics": metrics },
            "store": { "address": store.to_string() },
            "first_start": true, "seeds": seeds,
            "timing": { "drain_ms": 2000, "grace_s": 8 },
            "machine": { "memory_mb": 260, "link_mbps": 1000.0, "cpu_cores": 1, "cpu_share": 0.25 },
            "retries": { "ratio": 0.2, "window_s": 10, "slack": 52 },
        });
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).ok()?;
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new(&self.daemon)
            .args(["--ingress", "--settings"])
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        let daemon = Daemon { child, callers: callers.parse().ok()?, peers };
        for number in 0..500 {
            let request = CallerRequest::new(&format!("ready-{number}"), "/v1/ready");
            let answer = call(readiness.parse().ok()?, request).await;
            if answer.is_some_and(|it| it.status.as_u16() == 200) {
                return Some(daemon);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Writes the record and returns the exit code.
    pub fn end(mut self, code: u8) -> ExitCode {
        let trouble = self.has_trouble;
        self.note(&format!("trouble={trouble} exit={code}"));
        let written = fs::write(&self.record, &self.lines);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
        ExitCode::from(if written.is_ok() { code } else { NOT_RUN })
    }
}

/// A process of the daemon; it is ended when dropped.
pub struct Daemon {
    child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers, as seeds list it.
    pub peers: String,
}

impl Daemon {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) -> bool {
        let id = self.child.id().to_string();
        Command::new("kill").args([signal, &id]).status().is_ok_and(|it| it.success())
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a free loopback address.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("the listener is bound").to_string()
}

/// Starts a store with the sample configuration.
pub async fn start_store() -> Store {
    let store = Store::start().await;
    store.put_configuration(&holdpoint_adapter_standin::sample_configuration(1));
    store
}
