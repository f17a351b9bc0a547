//! Servers of stages, and model servers that take the results of stages.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, answer, read_request},
    json::{Json, parse, quote},
    system::Record,
    wire::wire,
};

/// What a result was made for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Made {
    pub request: String,
    pub stage: usize,
    pub piece: u32,
}

struct Kept {
    made: Made,
    /// The requests whose keys it was made of, through all stages before.
    roots: BTreeSet<String>,
    until: Instant,
}

/// Results that a server has fetched.
#[derive(Default)]
struct Fetched {
    made: Vec<Made>,
    roots: BTreeSet<String>,
}

/// A request as its client sent it: how many pieces each stage has.
pub type Sent = Arc<Mutex<HashMap<String, Vec<u32>>>>;

/// What all servers share: the results that lie at them, and what was seen.
pub struct World {
    pub record: Record,
    pub sent: Sent,
    /// The stages that each stage needs.
    pub needs: Vec<Vec<usize>>,
    results: Mutex<HashMap<String, Kept>>,
    next: AtomicU64,
    /// Pieces and requests that ran with other inputs than their own.
    pub broken: Mutex<Vec<String>>,
    pub counts: Mutex<HashMap<&'static str, u64>>,
}

impl World {
    pub fn new(record: &Record, needs: Vec<Vec<usize>>) -> Arc<World> {
        Arc::new(World {
            record: record.clone(),
            sent: Sent::default(),
            needs,
            results: Mutex::default(),
            next: AtomicU64::new(1),
            broken: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    pub fn count(&self, what: &'static str, by: u64) {
        *self.counts.lock().unwrap().entry(what).or_default() += by;
    }

    pub fn counted(&self, what: &str) -> u64 {
        self.counts.lock().unwrap().get(what).copied().unwrap_or(0)
    }

    /// The results with these handles; `None` if one of them is gone.
    fn fetch(&self, handles: &[String]) -> Option<Fetched> {
        let results = self.results.lock().unwrap();
        let now = Instant::now();
        let mut fetched = Fetched::default();
        for handle in handles {
            let found = results.get(handle).filter(|it| now < it.until)?;
            fetched.made.push(found.made.clone());
            fetched.roots.extend(found.roots.iter().cloned());
        }
        Some(fetched)
    }

    /// Notes inputs that are not exactly the results of these stages of the request.
    fn check(&self, who: &str, request: &str, stages: &[usize], inputs: &[Made]) {
        let sent = self.sent.lock().unwrap().get(request).cloned().unwrap_or_default();
        let of_stage = |stage: usize| {
            let count = sent.get(stage).copied().unwrap_or(0);
            (0..count).map(move |piece| Made { request: request.to_owned(), stage, piece })
        };
        let wanted: BTreeSet<Made> = stages.iter().flat_map(|it| of_stage(*it)).collect();
        let got: BTreeSet<Made> = inputs.iter().cloned().collect();
        if wanted == got && inputs.len() == got.len() {
            return;
        }
        let foreign: BTreeSet<&str> =
            got.iter().filter(|it| it.request != request).map(|it| it.request.as_str()).collect();
        let text = format!(
            "MIXED: {who} of request {request} ran with {} inputs, {} wanted; results of other requests: {foreign:?}",
            inputs.len(),
            wanted.len()
        );
        self.record.note(&text);
        self.broken.lock().unwrap().push(text);
    }
}

/// Late second answers: every `every`th answer in the windows is sent once more.
#[derive(Clone, Debug)]
pub struct Extra {
    /// First answer that is doubled, and then every so many.
    pub every: u64,
    /// Windows in milliseconds since the start of the record.
    pub windows: Vec<(u64, u64)>,
}

impl Extra {
    pub fn is_open(&self, start: Instant) -> bool {
        let ms = start.elapsed().as_millis() as u64;
        self.windows.iter().any(|it| it.0 <= ms && ms < it.1)
    }
}

/// How a server of stages works.
#[derive(Clone, Debug)]
pub struct Profile {
    pub queue: usize,
    pub call_ms: f64,
    pub item_ms: f64,
    pub keep_ms: u64,
    pub extra: Option<Extra>,
}

/// The slot of a server, and the calls that wait for it in their order.
#[derive(Default)]
struct Turns {
    waiting: VecDeque<u64>,
    is_busy: bool,
}

struct Server {
    id: String,
    address: SocketAddr,
    profile: Profile,
    turns: Mutex<Turns>,
    freed: Condvar,
    next: AtomicU64,
    answers: AtomicU64,
}

/// Starts a server of a stage; returns its address.
pub fn start_stage(world: &Arc<World>, id: &str, profile: Profile) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let server = Arc::new(Server {
        id: id.to_owned(),
        address,
        profile,
        turns: Mutex::default(),
        freed: Condvar::new(),
        next: AtomicU64::new(0),
        answers: AtomicU64::new(0),
    });
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, server) = (world.clone(), server.clone());
            thread::spawn(move || serve_stage(&world, &server, stream));
        }
    });
    address
}

fn serve_stage(world: &World, server: &Server, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut from = BufReader::new(stream);
    let mut late: Option<Vec<u8>> = None;
    while let Ok(Some(request)) = read_request(&mut from) {
        if let Some(it) = late.take() {
            // The second answer to the call before comes late, where the next answer is expected.
            world.count("late second answers", 1);
            world.record.note(&format!("{} sends its last answer a second time", server.id));
            if out.write_all(&it).is_err() {
                return;
            }
        }
        let Some(made) = handle_stage(world, server, &request, &out) else { return };
        if out.write_all(&made).is_err() {
            return;
        }
        if request.path() != wire("run") {
            continue;
        }
        let extra = server.profile.extra.as_ref();
        if let Some(it) = extra.filter(|it| it.is_open(world.record.start)) {
            let number = server.answers.fetch_add(1, Ordering::AcqRel);
            if number % it.every == it.every - 1 {
                late = Some(made);
            }
        }
    }
}

/// Answers a call; `None` if its caller closed the connection while it waited.
fn handle_stage(
    world: &World,
    server: &Server,
    request: &Message,
    out: &TcpStream,
) -> Option<Vec<u8>> {
    let id = request.header(wire("id")).unwrap_or_default().to_owned();
    let echo = |headers: &mut Vec<(&str, String)>| {
        if !id.is_empty() {
            headers.push((wire("id"), id.clone()));
        }
    };
    let send = |status: &str, mut headers: Vec<(&str, String)>, body: &[u8]| {
        echo(&mut headers);
        let headers: Vec<(&str, &str)> = headers.iter().map(|it| (it.0, it.1.as_str())).collect();
        Some(answer(status, &headers, body))
    };
    if request.header(wire("expect")).is_some_and(|it| it != server.id) {
        return send("421 Misdirected Request", vec![(wire("instance"), server.id.clone())], b"");
    }
    let body = parse(&request.body).unwrap_or(Json::Null);
    if request.path() == wire("free") {
        let mut results = world.results.lock().unwrap();
        for it in body.get("handles").list().iter().filter_map(Json::text) {
            results.remove(it);
        }
        drop(results);
        return send("200 OK", Vec::new(), b"");
    }
    if request.path() != wire("run") {
        return send("404 Not Found", Vec::new(), b"");
    }
    let received = Instant::now();
    let Some(_turn) = take_turn(server, out) else {
        return send("503 Service Unavailable", vec![(wire("not-run"), "1".to_owned())], b"");
    };
    if is_closed(out) {
        return None;
    }
    let items = body.get("items").list();
    let mut results = Vec::new();
    let mut work_ms = server.profile.call_ms;
    for item in items {
        let name = item.get("id").text().unwrap_or_default().to_owned();
        let stage = item.get("stage").number().unwrap_or(-1.0) as usize;
        let piece = item.get("piece").number().unwrap_or(-1.0) as u32;
        let is_late = item
            .get("left-ms")
            .number()
            .is_some_and(|it| it < received.elapsed().as_secs_f64() * 1000.0);
        if is_late {
            results.push("{\"reason\":\"late\"}".to_owned());
            continue;
        }
        let handles: Vec<String> = item
            .get("inputs")
            .list()
            .iter()
            .filter_map(|it| it.text().map(str::to_owned))
            .collect();
        let Some(inputs) = world.fetch(&handles) else {
            results.push("{\"reason\":\"gone\"}".to_owned());
            world.count("pieces whose inputs were gone", 1);
            continue;
        };
        let needs = world.needs.get(stage).cloned().unwrap_or_default();
        world.check(
            &format!("piece {piece} of stage {stage} at {}", server.id),
            &name,
            &needs,
            &inputs.made,
        );
        let mut roots = inputs.roots;
        if needs.is_empty() {
            roots.insert(name.clone());
        }
        work_ms += server.profile.item_ms;
        let number = world.next.fetch_add(1, Ordering::AcqRel);
        let handle = format!("{}/{number:x}", server.address);
        let made = Made { request: name, stage, piece };
        let until = Instant::now() + Duration::from_millis(work_ms as u64 + server.profile.keep_ms);
        world.results.lock().unwrap().insert(handle.clone(), Kept { made, roots, until });
        results.push(format!("{{\"handle\":{}}}", quote(&handle)));
    }
    world.count("calls", 1);
    world.count("pieces", items.len() as u64);
    world.record.note(&format!(
        "{} runs {} pieces for {}",
        server.id,
        items.len(),
        items
            .iter()
            .filter_map(|it| it.get("id").text())
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect::<Vec<_>>()
            .join(",")
    ));
    thread::sleep(Duration::from_micros((1000.0 * work_ms) as u64));
    let body = format!("{{\"items\":[{}]}}", results.join(","));
    let load = format!("0,{},1", server.turns.lock().unwrap().waiting.len());
    let headers = vec![("Content-Type", "application/json".to_owned()), (wire("load"), load)];
    send("200 OK", headers, body.as_bytes())
}

/// The slot of a server, until it is dropped.
struct Turn<'a>(&'a Server);

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.0.turns.lock().unwrap().is_busy = false;
        self.0.freed.notify_all();
    }
}

/// Waits for the slot; `None` if too many wait already.
fn take_turn<'a>(server: &'a Server, out: &TcpStream) -> Option<Turn<'a>> {
    let mut turns = server.turns.lock().unwrap();
    let number = server.next.fetch_add(1, Ordering::AcqRel);
    if server.profile.queue < turns.waiting.len() + usize::from(turns.is_busy) {
        return None;
    }
    turns.waiting.push_back(number);
    loop {
        if !turns.is_busy && turns.waiting.front() == Some(&number) {
            turns.waiting.pop_front();
            turns.is_busy = true;
            return Some(Turn(server));
        }
        turns = server.freed.wait_timeout(turns, Duration::from_millis(20)).unwrap().0;
        if is_closed(out) {
            turns.waiting.retain(|it| *it != number);
            server.freed.notify_all();
            return None;
        }
    }
}

/// Whether the other side has closed a connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0)) || peeked.is_err_and(|it| it.kind() != std::io::ErrorKind::WouldBlock)
}

/// Starts a model server, which takes the results of the last stages; returns its address.
pub fn start_model(world: &Arc<World>, id: &str, last: Vec<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let (world, id) = (world.clone(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, id, last) = (world.clone(), id.clone(), last.clone());
            thread::spawn(move || serve_model(&world, &id, &last, stream));
        }
    });
    address
}

fn serve_model(world: &World, id: &str, last: &[usize], stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut from = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut from) {
        let name = request.header(wire("id")).unwrap_or_default().to_owned();
        let refuse =
            |status: &str| answer(status, &[(wire("id"), &name), (wire("not-run"), "1")], b"");
        if request.header(wire("expect")).is_some_and(|it| it != id) {
            let refusal = answer("421 Misdirected Request", &[(wire("instance"), id)], b"");
            if out.write_all(&refusal).is_err() {
                return;
            }
            continue;
        }
        let handles = request.header(wire("inputs")).unwrap_or_default();
        let handles: Vec<String> = handles.split(',').map(|it| it.trim().to_owned()).collect();
        if handles.iter().all(String::is_empty) {
            if out.write_all(&refuse("400 Bad Request")).is_err() {
                return;
            }
            continue;
        }
        let Some(inputs) = world.fetch(&handles) else {
            world.count("requests whose inputs were gone", 1);
            if out.write_all(&refuse("409 Conflict")).is_err() {
                return;
            }
            continue;
        };
        world.check(&format!("the run at {id}"), &name, last, &inputs.made);
        world.count("runs", 1);
        let made_of = inputs.roots.into_iter().collect::<Vec<_>>().join(",");
        world.record.note(&format!("{id} runs request {name} with results of {made_of}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {name}\r\n{}: stamp-{id}-{name}\r\n{}: 1,0,128\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            wire("id"),
            wire("stamp"),
            wire("load"),
        );
        if out.write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in 0..3 {
            thread::sleep(Duration::from_millis(20));
            let event = format!("id: {number}\ndata: of {made_of}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if out.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        if out.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}
