//! A server sends a second answer to a request, late, on the connection of the next request: a refusal.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, request},
    plain_case::{begin, configuration, headers},
    plain_server::Profile,
    stage_server::Extra,
    system::{BROKEN, HELD, NOT_RUN, Record, has_trouble},
};

/// Length of the traffic, and its rate.
const TRAFFIC: Duration = Duration::from_secs(50);
const PER_S: f64 = 40.0;
/// Length of a disruption and the time from one to the next, in milliseconds.
const WINDOW_MS: u64 = 5_000;
const EVERY_MS: u64 = 6_000;
/// Of the answers of a server that is struck, one in so many is followed by another: a share of 0.03.
const ONE_IN: u64 = 34;
/// How long a client waits in all.
const DEADLINE: Duration = Duration::from_millis(4000);

/// One try of a client.
struct Try {
    id: String,
    status: u16,
}

pub fn run(root: &Path, folder: &Path) -> i32 {
    let record = Record::new(folder);
    let windows: Vec<(u64, u64)> =
        (1..20).map(|it| (it * EVERY_MS, it * EVERY_MS + WINDOW_MS)).collect();
    let profile = |number: u64| Profile {
        work: Duration::from_millis(60),
        body_bytes: 800,
        more_bytes: 0,
        // Half of the servers are struck.
        extra: (has_trouble() && number < 2)
            .then(|| Extra { every: ONE_IN, windows: windows.clone() }),
    };
    let profiles: Vec<Profile> = (0..4).map(profile).collect();
    let configuration = configuration("unsafe", 4000, 300, 1);
    let Some((system, runs)) = begin(root, &record, &configuration, &profiles, 2) else {
        return NOT_RUN;
    };
    let callers: Vec<SocketAddr> = system.instances.iter().map(|it| it.callers).collect();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let begun = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0_u64;
    while begun.elapsed() < TRAFFIC {
        let (record, tries, callers) = (record.clone(), tries.clone(), callers.clone());
        clients.push(thread::spawn(move || order(&record, &tries, &callers, number)));
        number += 1;
        let due = begun + Duration::from_secs_f64(number as f64 / PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    clients.into_iter().for_each(|it| drop(it.join()));
    thread::sleep(Duration::from_millis(500));
    drop(system);
    let (tries, runs_of) = (tries.lock().unwrap(), runs.by_request.lock().unwrap());
    let mut by_status: BTreeMap<u16, u64> = BTreeMap::new();
    tries.iter().for_each(|it| *by_status.entry(it.status).or_default() += 1);
    let is_promise = |it: &&Try| [408, 421, 429, 503].contains(&it.status);
    let refused: Vec<&Try> =
        tries.iter().filter(is_promise).filter(|it| runs_of.contains_key(&it.id)).collect();
    let twice: Vec<&String> = runs_of.iter().filter(|it| 1 < it.1.len()).map(|it| it.0).collect();
    let doubled = runs.by_body.lock().unwrap().values().filter(|it| 1 < **it).count();
    record
        .tell(&format!("{number} orders, {} tries; answers by status: {by_status:?}", tries.len()));
    record.tell(&format!("late second answers: {}", runs.extras.load(Ordering::Acquire)));
    record.tell(&format!(
        "REFUSED: {} requests that ran were answered as not run; TWICE: {} requests ran twice; {doubled} orders were carried out twice",
        refused.len(),
        twice.len()
    ));
    for it in &refused {
        let servers = &runs_of[&it.id];
        record.tell(&format!(
            "REFUSED: request {} ran at {servers:?}; its client got {}",
            it.id, it.status
        ));
    }
    if by_status.get(&200).copied().unwrap_or(0) * 2 < number {
        record.tell("under half of the orders were answered: the case says nothing");
        return NOT_RUN;
    }
    if refused.is_empty() && twice.is_empty() { HELD } else { BROKEN }
}

/// A client that has one order carried out. It tries again after a promise that the request has not run, as told, and
/// each try has an id of its own.
fn order(record: &Record, tries: &Mutex<Vec<Try>>, callers: &[SocketAddr], number: u64) {
    let begun = Instant::now();
    for attempt in 0..2 {
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + 16 * number + attempt);
        let deadline = left.as_millis().to_string();
        let mut headers = headers(&id, &deadline);
        headers.push(("Connection", "close"));
        record.note(&format!("the client of order {number} sends request {id}"));
        let body = format!("order {number}");
        let to = callers[(number + attempt) as usize % callers.len()];
        let answer = call(to, &request("POST /hold/2f", &headers, body.as_bytes()), left);
        let status = answer.as_ref().map_or(0, |it| if it.is_whole { it.status() } else { 0 });
        record.note(&format!("the client of order {number} gets {status} to request {id}"));
        tries.lock().unwrap().push(Try { id, status });
        if ![408, 421, 429, 503].contains(&status) {
            return;
        }
        let wait = answer.ok().and_then(|it| it.header("retry-after")?.parse::<f64>().ok());
        let longest = DEADLINE.saturating_sub(begun.elapsed()).as_secs_f64() / 3.0;
        thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.0).min(longest)));
    }
}
