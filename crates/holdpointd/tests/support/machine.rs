//! An instance as a process of its own, on a machine with a narrow link and a share of a processor.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use holdpoint_soak::{Link, Proxy};
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Period of the processor's quota.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// Key of the caller-facing address in the line that a process logs at its start.
const ADDRESS_MARK: &str = "callers=";

/// Size of a machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineSize {
    /// Share of a core; 1 leaves the process alone.
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub link_mbps: f64,
}

pub struct Machine {
    child: Child,
    /// Address that callers use.
    pub callers: SocketAddr,
    pub link: Link,
    lines: Arc<Mutex<Vec<String>>>,
    is_over: Arc<AtomicBool>,
}

impl Machine {
    /// Starts a process with these settings. Callers' bytes pass over the machine's link.
    pub async fn start(mut settings: Value, size: MachineSize) -> Machine {
        settings["machine"] = serde_json::json!({
            "cpu_share": size.cpu_share, "memory_mb": size.memory_mb, "link_mbps": size.link_mbps,
        });
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = folder.join(format!(
            "{}-{}.json",
            settings["instance"].as_str().unwrap(),
            rand::random::<u64>()
        ));
        fs::write(&path, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_holdpointd"))
            .args(["--ingress", "--settings", path.to_str().unwrap()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, address) = mpsc::channel();
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (log, kept) = (BufReader::new(child.stderr.take().unwrap()), lines.clone());
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if let Some((_, it)) = line.split_once(ADDRESS_MARK)
                    && line.contains("E100")
                {
                    // The receiver is gone only after the start.
                    let _ = sender.send(it.trim().parse().unwrap());
                }
                kept.lock().push(line);
            }
        });
        let address = tokio::task::spawn_blocking(move || address.recv().unwrap()).await.unwrap();
        let link = Link::new(size.link_mbps);
        let front = Proxy::start(address).await;
        front.set_server_link(link.clone());
        let is_over = Arc::new(AtomicBool::new(false));
        if size.cpu_share < 1.0 {
            let pid = Pid::from_raw(child.id() as i32).unwrap();
            let on = QUOTA_PERIOD.mul_f64(size.cpu_share);
            let is_over = is_over.clone();
            thread::spawn(move || share_processor(pid, on, &is_over));
        }
        Machine { child, callers: front.address, link, lines, is_over }
    }

    /// Passes what the machine sends to this proxy and gets from it over its link.
    pub fn connect(&self, source: IpAddr, proxy: &Proxy) {
        proxy.set_client_link(source, self.link.clone());
    }

    /// Number of logged events with this code.
    pub fn event_count(&self, code: u16) -> usize {
        self.events(code).len()
    }

    /// Logged events with this code.
    pub fn events(&self, code: u16) -> Vec<String> {
        let mark = format!(" E{code:03} ");
        self.lines.lock().iter().filter(|it| it.contains(&mark)).cloned().collect()
    }

    /// Prints the last lines of the log.
    pub fn print_log(&self, pattern: &str) {
        for it in self.lines.lock().iter().filter(|it| it.contains(pattern)) {
            println!("{it}");
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
        // The process may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Lets a process run for a part of each period only, until the machine is dropped.
fn share_processor(pid: Pid, on: Duration, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Acquire) {
        // Fails only once the process has ended.
        let _ = kill_process(pid, Signal::CONT);
        thread::sleep(on);
        let _ = kill_process(pid, Signal::STOP);
        thread::sleep(QUOTA_PERIOD - on);
    }
}
