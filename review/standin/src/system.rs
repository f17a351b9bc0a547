//! The system under review: instances as processes, as the deploy file starts them, before the stand-ins.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{call, request},
    json::quote,
    store::Store,
    wire::wire,
};

extern "C" {
    fn prctl(option: i32, value: usize) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// Signals that the cases send.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Has the system end this process when the driver of the case ends, however it ends.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the call takes two numbers and touches no memory.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as usize) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Times that the instances are started until all are ready, and the time that each start has.
const STARTS: u32 = 3;
const START_TIME: Duration = Duration::from_secs(10);
/// Addresses of instances that the settings name.
const SEEDS: usize = 3;
/// Ports that the system gives to nobody by itself.
const PORTS: std::ops::Range<u32> = 15_000..32_000;

/// Longest run of a case; after it, the processes are ended and the case counts as not run.
const LONGEST: Duration = Duration::from_secs(112);

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} {text}");
    }

    /// Notes a line and prints it.
    pub fn tell(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}

/// An instance of the system.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub child: Child,
}

impl Instance {
    pub fn is_ready(&self) -> bool {
        let line = format!("GET {}", wire("ready"));
        let request = request(&line, &[("Host", "ready"), ("Connection", "close")], b"");
        let answer = call(self.readiness, &request, Duration::from_millis(500));
        answer.is_ok_and(|it| it.status() == 200)
    }

    /// Sends a signal to the process of this instance.
    pub fn signal(&self, signal: i32) {
        send_signal(self.child.id(), signal);
    }
}

/// Sends a signal to a process that the case has started and not waited for.
fn send_signal(process: u32, signal: i32) {
    // SAFETY: the call takes two numbers and touches no memory.
    unsafe { kill(process as i32, signal) };
}

/// The processes of a case. Dropping it ends them.
pub struct System {
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        for it in &mut self.instances {
            let _ = it.child.kill();
            let _ = it.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl System {
    /// Starts instances, and waits until all are ready. Another program may take a port that was free, so that a start
    /// that fails is made again with other ports.
    pub fn start(root: &Path, store: &Store, count: usize, record: &Record) -> Option<System> {
        let system = (0..STARTS).find_map(|_| System::start_once(root, store, count));
        let Some(system) = system else {
            record.tell("the instances did not become ready");
            return None;
        };
        system.watch(record.start);
        // Until the instances know each other and the balancer has noticed them.
        thread::sleep(Duration::from_millis(2000));
        record.tell(&format!("{count} instances are ready"));
        Some(system)
    }

    fn start_once(root: &Path, store: &Store, count: usize) -> Option<System> {
        let folder = std::env::temp_dir().join(format!("holdpoint-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut system = System { instances: Vec::new(), folder };
        let free = free_addresses(4 * count);
        let ports: Vec<&[SocketAddr]> = free.chunks(4).collect();
        let seeds = ports.iter().take(SEEDS).map(|it| quote(&it[2].to_string()));
        let seeds = seeds.collect::<Vec<String>>().join(",");
        for (index, addresses) in ports.iter().enumerate() {
            let name = format!("front-z{}-1", index + 1);
            let settings = format!(
                r#"{{
  "instance": "{name}",
  "domain": "z{zone}",
  "region": "r1",
  "regions": {{ "z1": "r1", "z2": "r1", "z3": "r1" }},
  "listen": {{ "callers": "{}", "readiness": "{}", "peers": "{}", "metrics": "{}" }},
  "store": {{ "address": "{store}" }},
  "first_start": true,
  "seeds": [{seeds}],
  "timing": {{ "drain_ms": 2000, "grace_s": 8 }},
  "machine": {{ "memory_mb": 260, "link_mbps": 1000.0, "cpu_cores": 1, "cpu_share": 0.25 }},
  "retries": {{ "ratio": 0.2, "window_s": 10, "slack": 52 }},
  "rollouts": {{ }}
}}
"#,
                addresses[0],
                addresses[1],
                addresses[2],
                addresses[3],
                zone = index % 3 + 1,
                store = store.address,
            );
            let path = system.folder.join(format!("{name}.json"));
            fs::write(&path, settings).ok()?;
            let log = File::create(system.folder.join(format!("{name}.log"))).ok()?;
            let mut command = Command::new(root.join("target/release/holdpointd"));
            // SAFETY: the call takes two numbers and touches no memory.
            unsafe { command.pre_exec(end_with_parent) };
            let child = command
                .arg("--ingress")
                .arg("--settings")
                .arg(&path)
                .current_dir(root)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .ok()?;
            let (callers, readiness) = (addresses[0], addresses[1]);
            system.instances.push(Instance { name, callers, readiness, child });
        }
        let begun = Instant::now();
        while begun.elapsed() < START_TIME {
            if system.instances.iter().all(Instance::is_ready) {
                return Some(system);
            }
            let has_ended = |it: &mut Instance| !matches!(it.child.try_wait(), Ok(None));
            if system.instances.iter_mut().any(has_ended) {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Ends the processes if a case takes too long.
    fn watch(&self, start: Instant) {
        let ids: Vec<u32> = self.instances.iter().map(|it| it.child.id()).collect();
        let folder = self.folder.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST.saturating_sub(start.elapsed()));
            ids.into_iter().for_each(|it| send_signal(it, SIGKILL));
            let _ = fs::remove_dir_all(folder);
            println!("the case took too long");
            std::process::exit(NOT_RUN);
        });
    }

    /// What an instance has logged.
    pub fn log(&self, index: usize) -> String {
        let path = self.folder.join(format!("{}.log", self.instances[index].name));
        fs::read_to_string(path).unwrap_or_default()
    }
}

/// Addresses whose ports were free just now.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut number = since.subsec_nanos() ^ std::process::id().wrapping_mul(7919);
    let mut listeners = Vec::new();
    while listeners.len() < count {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let port = PORTS.start + (number >> 8) % (PORTS.end - PORTS.start);
        listeners.extend(TcpListener::bind(("127.0.0.1", port as u16)));
    }
    listeners.iter().map(|it| it.local_addr().expect("a bound socket has an address")).collect()
}

/// A server's entry in the store, which it writes again and again until it is stopped.
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
}

/// Keeps the entries of servers in the store.
pub fn keep_entries(store: &Store, entries: Vec<Entry>) -> Arc<AtomicBool> {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let (stopped, store) = (is_stopped.clone(), store.clone());
    let mut sequence = 0;
    let write = move |sequence: u64| {
        for it in &entries {
            let Entry { id, service, address, zone, slots } = it;
            let entry = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold-left-ms":0,"sequence":{sequence}}}"#
            );
            store.put(wire("topic-servers"), id, &entry);
        }
    };
    write(sequence);
    thread::spawn(move || {
        while !stopped.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(1200));
            sequence += 1;
            write(sequence);
        }
    });
    is_stopped
}

/// Whether the disruption of the case is to be left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}
