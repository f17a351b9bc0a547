//! Servers of plain services: each answers a request with a body of a set length after a set time.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{answer, read_request},
    stage_server::Extra,
    system::Record,
    wire::wire,
};

/// What was run: the servers that ran each request.
#[derive(Clone)]
pub struct Runs {
    pub record: Record,
    pub by_request: Arc<Mutex<HashMap<String, Vec<String>>>>,
    /// Times that each body was run.
    pub by_body: Arc<Mutex<HashMap<Vec<u8>, u64>>>,
    pub extras: Arc<AtomicU64>,
}

impl Runs {
    pub fn new(record: &Record) -> Runs {
        Runs {
            record: record.clone(),
            by_request: Arc::default(),
            by_body: Arc::default(),
            extras: Arc::default(),
        }
    }
}

/// How a server works.
#[derive(Clone, Debug)]
pub struct Profile {
    pub work: Duration,
    pub body_bytes: usize,
    /// By how much the body is longer for each number in the last part of the path.
    pub more_bytes: usize,
    /// Late second answers.
    pub extra: Option<Extra>,
}

/// Starts a server; returns its address.
pub fn start(runs: &Runs, id: &str, profile: Profile) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let (runs, id) = (runs.clone(), id.to_owned());
    let answers = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, id, profile, answers) =
                (runs.clone(), id.clone(), profile.clone(), answers.clone());
            thread::spawn(move || serve(&runs, &id, &profile, &answers, stream));
        }
    });
    address
}

fn serve(runs: &Runs, id: &str, profile: &Profile, answers: &AtomicU64, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut from = BufReader::new(stream);
    let mut late_for: Option<String> = None;
    while let Ok(Some(request)) = read_request(&mut from) {
        let name = request.header(wire("id")).unwrap_or_default().to_owned();
        if request.header(wire("expect")).is_some_and(|it| it != id) {
            if out
                .write_all(&answer("421 Misdirected Request", &[(wire("instance"), id)], b""))
                .is_err()
            {
                return;
            }
            continue;
        }
        if name.is_empty() {
            if out.write_all(&answer("400 Bad Request", &[(wire("not-run"), "1")], b"")).is_err() {
                return;
            }
            continue;
        }
        runs.record.note(&format!("{id} begins to run request {name}"));
        runs.by_request.lock().unwrap().entry(name.clone()).or_default().push(id.to_owned());
        *runs.by_body.lock().unwrap().entry(request.body.clone()).or_default() += 1;
        let begun = Instant::now();
        if let Some(it) = late_for.take() {
            // A second answer to the request before comes late, where the next answer is expected. Its id tells.
            thread::sleep(Duration::from_millis(5));
            runs.extras.fetch_add(1, Ordering::AcqRel);
            runs.record.note(&format!("{id} sends a second answer, 421, to request {it}"));
            if out.write_all(&answer("421 Misdirected Request", &[(wire("id"), &it)], b"")).is_err()
            {
                return;
            }
        }
        thread::sleep(profile.work.saturating_sub(begun.elapsed()));
        let stamp = format!("stamp-{id}-{name}");
        let headers =
            [(wire("id"), name.as_str()), (wire("stamp"), &stamp), (wire("load"), "1,0,6")];
        let number = request.path().rsplit('/').next().and_then(|it| it.parse::<usize>().ok());
        let length = profile.body_bytes + profile.more_bytes * number.unwrap_or(0);
        let body: Vec<u8> = (0..length).map(|it| b'a' + (it % 23) as u8).collect();
        if out.write_all(&answer("200 OK", &headers, &body)).is_err() {
            return;
        }
        runs.record.note(&format!("{id} has written its whole answer to request {name}"));
        if let Some(it) = profile.extra.as_ref().filter(|it| it.is_open(runs.record.start)) {
            let number = answers.fetch_add(1, Ordering::AcqRel);
            late_for = (number % it.every == it.every - 1).then_some(name);
        }
    }
}
