//! A faulty server spoils bytes of a stream: in the text or the id of an event, and in the framing of the next one. The
//! stream goes on at another server, and no piece may come twice.
//!
//! The third argument names what is spoiled: `text` or `id`.

use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use holdpoint_adapter_standin::{Behaviour, CallerRequest, Target, call, names};
use review_standin_2::{BROKEN, Case, HELD, NOT_RUN, start_store};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const SERVERS: usize = 6;
/// Servers that hand out wrong bytes: 0.33 of all, where the site has 0.35.
const FAULTY: usize = 2;
/// One in this many of their answers is spoiled: 0.02, as on the site.
const ONE_IN: usize = 50;
/// Length of the spells in which they do so, as on the site, and of the time from one to the next, in milliseconds.
const SPELL_MS: u128 = 5500;
const PERIOD_MS: u128 = 6500;
const EVENTS: u64 = 8;
const ROUNDS: usize = 80;
const AT_ONCE: usize = 24;

/// What a server did with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Deed {
    Whole,
    /// It cut the answer off in the middle of an event.
    Cut,
    /// It spoiled an event and the length of the chunk after it, and broke nothing off.
    Spoiled,
}

struct Log {
    begun: Instant,
    answers: usize,
    deeds: Vec<(String, String, u64, Deed)>,
}

fn header(head: &str, name: &str) -> String {
    let found = head.lines().find_map(|it| {
        let (key, value) = it.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    });
    found.unwrap_or_default()
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Serves the requests of one connection.
async fn serve(
    mut stream: TcpStream,
    name: String,
    (faulty, spoils_id): (bool, bool),
    log: Arc<Mutex<Log>>,
) {
    let mut buffer: Vec<u8> = Vec::new();
    let mut part = [0; 4096];
    loop {
        let end = loop {
            if let Some(it) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break it + 4;
            }
            match stream.read(&mut part).await {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&part[..count]),
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        buffer.drain(..end);
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        while buffer.len() < length {
            match stream.read(&mut part).await {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&part[..count]),
            }
        }
        buffer.drain(..length);
        let id = header(&head, names::REQUEST_ID);
        if header(&head, names::TARGET) != name {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{}: {id}\r\ncontent-length: 0\r\n\r\n",
                names::REQUEST_ID
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let from = header(&head, names::LAST_EVENT).parse::<u64>().map_or(0, |it| it + 1);
        let deed = {
            let mut log = log.lock().unwrap();
            let is_spell = log.begun.elapsed().as_millis() % PERIOD_MS < SPELL_MS;
            let is_counted = faulty && is_spell && from == 0;
            log.answers += usize::from(is_counted);
            let is_spoiled = is_counted && log.answers % ONE_IN == 0;
            let deed = match is_spoiled {
                false => Deed::Whole,
                true if log.answers / ONE_IN % 2 == 0 => Deed::Cut,
                true => Deed::Spoiled,
            };
            log.deeds.push((id.clone(), name.clone(), from, deed));
            deed
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: stamp-{name}-{id}\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n",
            names::REQUEST_ID,
            names::SIGNATURE
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        for number in from..EVENTS {
            tokio::time::sleep(Duration::from_millis(15)).await;
            let mut event = format!("id: {number}\ndata: piece {number} of {id}\n\n").into_bytes();
            if deed == Deed::Spoiled && number == 3 {
                event =
                    match spoils_id {
                        true => format!("id: {number}\x01\ndata: piece {number} of {id}\n\n")
                            .into_bytes(),
                        false => [format!("id: {number}\ndata: ").as_bytes(), b"\xf1\x8e\xff\n\n"]
                            .concat(),
                    };
            }
            if deed == Deed::Cut && number == 4 {
                // The connection is closed in the middle of this event.
                let half = &event[..event.len() / 2];
                let _ = stream.write_all(&chunk(half)).await;
                return;
            }
            let mut framed = chunk(&event);
            if deed == Deed::Spoiled && number == 4 {
                framed[0] = 0x8e;
            }
            if stream.write_all(&framed).await.is_err() {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").await.is_err() {
            return;
        }
    }
}

/// Ids of the pieces of an answer, in their order.
fn pieces(body: &[u8]) -> Vec<u64> {
    let lines = body.split(|it| *it == b'\n');
    let ids = lines.filter_map(|it| it.strip_prefix(b"id: "));
    ids.filter_map(|it| std::str::from_utf8(it).ok()?.parse().ok()).collect()
}

#[tokio::main]
async fn main() -> ExitCode {
    let Some(mut case) = Case::from_arguments() else { return ExitCode::from(NOT_RUN) };
    let spoils_id = match std::env::args().nth(3).as_deref() {
        Some("id") => true,
        Some("text") => false,
        _ => return case.end(NOT_RUN),
    };
    let store = start_store().await;
    let log = Log { begun: Instant::now(), answers: 0, deeds: Vec::new() };
    let log = Arc::new(Mutex::new(log));
    let mut targets = Vec::new();
    for index in 0..SERVERS {
        let name = format!("i-engine-{index}");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let target = Target::start(&name, "engine", Behaviour::Answer).await.with_address(address);
        store.put_target(&target, false);
        targets.push(target);
        let (log, faults) = (log.clone(), (case.has_trouble && index < FAULTY, spoils_id));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve(stream, name.clone(), faults, log.clone()));
            }
        });
    }
    let Some(daemon) = case.start("front-1", store.endpoint.address, &[]).await else {
        return case.end(NOT_RUN);
    };
    let mut answers = BTreeMap::new();
    for round in 0..ROUNDS {
        let sent: Vec<_> = (0..AT_ONCE)
            .map(|number| {
                let id = format!("r-{round}-{number}");
                let request = CallerRequest::new(&id, "/story/");
                (id, tokio::spawn(call(daemon.callers, request)))
            })
            .collect();
        for (id, answer) in sent {
            answers.insert(id, answer.await.ok().flatten());
        }
    }
    let deeds = log.lock().unwrap().deeds.clone();
    let mut broken = 0;
    let mut whole = 0;
    let mut by_deed: BTreeMap<Deed, (usize, usize)> = BTreeMap::new();
    for (id, answer) in &answers {
        let runs: Vec<_> = deeds.iter().filter(|it| it.0 == *id).collect();
        let deed = runs.iter().map(|it| it.3).max().unwrap_or(Deed::Whole);
        let runs: Vec<String> =
            runs.iter().map(|it| format!("{} from {} {:?}", it.1, it.2, it.3)).collect();
        let (status, is_complete, pieces) = match answer {
            Some(it) => (it.status.as_u16(), it.is_complete, pieces(&it.body)),
            None => (0, false, Vec::new()),
        };
        case.note(&format!(
            "{id} answered {status} complete={is_complete} pieces={pieces:?} runs=[{}]",
            runs.join(", ")
        ));
        let is_rising = pieces.is_sorted_by(|a, b| a < b);
        let is_gapless = !is_complete || pieces == (0..EVENTS).collect::<Vec<_>>();
        let is_broken = status == 200 && !(is_rising && is_gapless);
        whole += usize::from(status == 200 && is_complete);
        broken += usize::from(is_broken);
        let counts = by_deed.entry(deed).or_default();
        counts.0 += 1;
        counts.1 += usize::from(is_broken);
        if is_broken {
            case.note(&format!("{id}: a piece is missing or comes twice"));
        }
    }
    for (deed, (count, broken)) in &by_deed {
        case.note(&format!("{deed:?}: streams={count} broken={broken}"));
    }
    case.note(&format!("streams={} whole={whole} broken={broken}", answers.len()));
    if whole < answers.len() / 2 {
        return case.end(NOT_RUN);
    }
    case.end(if broken == 0 { HELD } else { BROKEN })
}
