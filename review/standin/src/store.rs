//! The platform's store: keyed topics of one partition, with newest, read and append.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, answer, read_request},
    json::quote,
    wire::wire,
};

#[derive(Default)]
struct Topic {
    records: Vec<(Vec<u8>, Vec<u8>)>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, usize)>,
}

impl Topic {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        let offset = self.records.len();
        self.records.push((key.to_owned(), value.to_owned()));
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_owned(), (value.to_owned(), offset));
        }
    }
}

#[derive(Default)]
struct State {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let state = Arc::new(State::default());
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(&state, stream));
            }
        });
        Store { address, state }
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.state.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().put(key.as_bytes(), value.as_bytes());
        self.state.changed.notify_all();
    }
}

fn serve(state: &State, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut from = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut from) {
        if out.write_all(&handle(state, &request)).is_err() {
            return;
        }
    }
}

fn handle(state: &State, request: &Message) -> Vec<u8> {
    let topic = request.query("topic").unwrap_or_default().to_owned();
    let number = |name| request.query(name).and_then(|it| it.parse::<usize>().ok());
    let path = request.path();
    let mut topics = state.topics.lock().unwrap();
    if path == wire("newest") {
        let after = request.query(wire("since")).unwrap_or_default().as_bytes();
        let topic = topics.entry(topic).or_default();
        let items = topic.newest.iter().filter(|it| after < it.0.as_slice());
        let items: Vec<String> = items
            .map(|(key, (value, offset))| {
                let key = quote(&String::from_utf8_lossy(key));
                format!("{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
            items.join(","),
            topic.records.len()
        );
        return answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes());
    }
    if path == wire("read") {
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0) as u64);
        let until = Instant::now() + wait;
        loop {
            let found = topics.entry(topic.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if from < found.records.len() || left.is_zero() {
                let mut body = (found.records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in found.records.iter().skip(from) {
                    body.extend(
                        (1 + key.len() + value.len()).try_into().map_or([0; 4], u32::to_be_bytes),
                    );
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return answer("200 OK", &[], &body);
            }
            topics = state.changed.wait_timeout(topics, left).unwrap().0;
        }
    }
    if path == wire("append") {
        let found = topics.entry(topic).or_default();
        let begin = found.records.len();
        let json = [("Content-Type", "application/json")];
        if number("at").is_some_and(|it| it != begin) {
            let body = format!("{{\"end\":{begin}}}");
            return answer("412 Precondition Failed", &json, body.as_bytes());
        }
        let mut rest = request.body.as_slice();
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let (record, after) =
                after.split_at((u32::from_be_bytes(*length) as usize).min(after.len()));
            rest = after;
            if let Some((length, record)) = record.split_first() {
                let (key, value) = record.split_at((*length as usize).min(record.len()));
                found.put(key, value);
            }
        }
        let body = format!("{{\"offset\":{begin},\"end\":{}}}", found.records.len());
        state.changed.notify_all();
        return answer("200 OK", &json, body.as_bytes());
    }
    answer("404 Not Found", &[], b"")
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * index) & 63) as usize] as char;
            out.push(if index <= chunk.len() { sign } else { '=' });
        }
    }
    out
}
