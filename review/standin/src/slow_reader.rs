//! An instance gets a planned stop while a client reads its answer slowly.

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, call, read_answer, request},
    plain_case::{begin, configuration, headers},
    plain_server::Profile,
    system::{BROKEN, HELD, NOT_RUN, Record, SIGTERM, has_trouble},
    wire::wire,
};

/// Instances that are stopped in turn, and the time from one to the next.
const INSTANCES: usize = 6;
const GAP: Duration = Duration::from_millis(2000);
/// Slow clients of each instance.
const CLIENTS: usize = 12;
/// Bytes of the shortest answer, and by how much each client's is longer than that of the one before.
const ANSWER_BYTES: usize = 700_000;
const MORE_BYTES: usize = 3_000;
/// How fast a slow client reads.
const BYTES_PER_S: usize = 90_000;
/// Time from the requests of an instance's clients to its planned stop.
const STOP_AFTER: Duration = Duration::from_millis(1500);

pub fn run(root: &Path, folder: &Path) -> i32 {
    let record = Record::new(folder);
    let (body_bytes, more_bytes) = (ANSWER_BYTES, MORE_BYTES);
    let profile = Profile { work: Duration::from_millis(15), body_bytes, more_bytes, extra: None };
    let configuration = configuration("safe", 15_000, 15_000, 1);
    let profiles = [profile.clone(), profile];
    let Some((system, _runs)) = begin(root, &record, &configuration, &profiles, INSTANCES) else {
        return NOT_RUN;
    };
    // A client that reads at once gets the answer whole.
    let usual = request("GET /hold/0", &headers("00000000000000aa", "15000"), b"");
    let usual = call(system.instances[0].callers, &usual, Duration::from_secs(5));
    let is_usual =
        usual.is_ok_and(|it| it.status() == 200 && it.is_whole && it.body.len() == ANSWER_BYTES);
    record.tell(&format!("a client that reads at once gets the whole answer: {is_usual}"));
    if !is_usual {
        return NOT_RUN;
    }
    let begun = Instant::now();
    let at =
        |when: Duration| thread::sleep((begun + when).saturating_duration_since(Instant::now()));
    let mut clients = Vec::new();
    let mut events: Vec<(Duration, usize, bool)> = (0..INSTANCES)
        .flat_map(|it| [(GAP * it as u32, it, false), (GAP * it as u32 + STOP_AFTER, it, true)])
        .collect();
    events.sort();
    for (when, index, is_stop) in events {
        at(when);
        let instance = &system.instances[index];
        if !is_stop {
            for number in 0..CLIENTS {
                let (record, to) = (record.clone(), instance.callers);
                // The lengths differ, so that the last bytes of some are on their way at each moment.
                let number = index * CLIENTS + number;
                clients.push(thread::spawn(move || read_slowly(&record, to, number)));
            }
        } else if has_trouble() {
            record.tell(&format!("SIGTERM to {}", instance.name));
            instance.signal(SIGTERM);
        }
    }
    let ends: Vec<Option<Message>> =
        clients.into_iter().map(|it| it.join().ok().flatten()).collect();
    for index in 0..INSTANCES {
        let log = system.log(index);
        for line in
            log.lines().filter(|it| it.contains("planned stop") || it.contains("request ended"))
        {
            record.note(&format!("log of {}: {line}", system.instances[index].name));
        }
    }
    drop(system);
    if ends.iter().any(|it| it.as_ref().is_none_or(|it| it.status() != 200)) {
        record.tell("a slow client got no answer at all: the case says nothing");
        return NOT_RUN;
    }
    let cut: Vec<usize> =
        ends.iter().flatten().filter(|it| !it.is_whole).map(|it| it.body.len()).collect();
    record.tell(&format!(
        "LOST: {} of {} slow clients had their connection closed before the answer was complete; bytes of {ANSWER_BYTES} and more that they got: {cut:?}",
        cut.len(),
        ends.len()
    ));
    if cut.is_empty() { HELD } else { BROKEN }
}

/// Sends a request and reads its answer at a steady rate.
fn read_slowly(record: &Record, to: SocketAddr, number: usize) -> Option<Message> {
    let (id, line) = (format!("{:016x}", 0xb0 + number), format!("GET /hold/{number}"));
    let begun = Instant::now();
    let mut stream = connect_as_over_ethernet(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    record.note(&format!("a slow client sends request {id}"));
    stream.write_all(&request(&line, &headers(&id, "15000"), b"")).ok()?;
    let mut reader = Slow { stream, begun, bytes: 0 };
    let answer = read_answer(&mut BufReader::with_capacity(8 << 10, &mut reader)).ok()?;
    record.note(&format!(
        "the slow client of request {id} got {} {} with {} of {} bytes, whole: {}, after {} ms",
        answer.status(),
        answer.header(wire("stamp")).unwrap_or_default(),
        answer.body.len(),
        ANSWER_BYTES + number * MORE_BYTES,
        answer.is_whole,
        begun.elapsed().as_millis()
    ));
    Some(answer)
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects with segments of the usual size. Those of the loopback interface hold 64 kB, so that a receiver that reads
/// slowly would tell of free room once in a second only.
fn connect_as_over_ethernet(to: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(to) = to else { return None };
    let mut address = [0_u8; 16];
    address[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    address[2..4].copy_from_slice(&to.port().to_be_bytes());
    address[4..8].copy_from_slice(&to.ip().octets());
    let segment: i32 = 1448;
    let buffer: i32 = 64 << 10;
    // SAFETY: the calls get a descriptor of their own and buffers of the stated lengths, which outlive them.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let is_set = setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, 4) == 0
            && setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, 4) == 0;
        let is_connected = connect(descriptor, address.as_ptr(), address.len() as u32) == 0;
        (is_set && is_connected).then_some(stream)
    }
}

/// Reads at a steady rate.
struct Slow {
    stream: TcpStream,
    begun: Instant,
    bytes: usize,
}

impl Read for Slow {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        let due = self.begun + Duration::from_secs_f64(self.bytes as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let most = into.len().min(8 << 10);
        let read = self.stream.read(&mut into[..most])?;
        self.bytes += read;
        Ok(read)
    }
}
