//! A target whose answers have neither a length nor chunks and end with their connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use holdpoint_adapter_standin::{Store, names};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Repetitions of a line in one write of an endless answer, and the pause between two writes: some 50 MB a second.
const FILLER_REPEATS: usize = 4096;
const FILLER_PAUSE: Duration = Duration::from_millis(1);

/// How the connection ends after an answer's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It is closed, after silence between the head and the body.
    SilentBefore(Duration),
    /// Headers follow without end.
    EndlessHead,
    /// A header goes on without end.
    EndlessLine,
    /// Informational answers precede the final one without end.
    EndlessInformation,
    /// Bytes without a line end follow the body without end.
    EndlessBody,
    /// The body is a chunk, and the extension of the next one has no end.
    EndlessExtension,
    /// The body is a chunk, and trailers follow without end.
    EndlessTrailers,
    /// Bytes follow a whole answer without end, on a connection that may be kept.
    EndlessTail,
}

/// What a target answers, and how its connections end.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: &'static str,
    pub body: Vec<u8>,
    pub end: End,
}

impl Reply {
    /// A success.
    pub fn ok(body: impl Into<Vec<u8>>, end: End) -> Reply {
        Reply { status: "200 OK", body: body.into(), end }
    }
}

pub struct UnframedTarget {
    pub id: String,
    reply: Arc<Mutex<Reply>>,
    /// Heads of the requests that it received.
    heads: Arc<Mutex<Vec<String>>>,
    /// Number of endless answers that go on, and the bytes written of all.
    endless: Arc<(AtomicUsize, AtomicUsize)>,
}

impl UnframedTarget {
    /// Starts a target and registers it.
    pub async fn start(store: &Store, id: &str, service: &str, reply: Reply) -> UnframedTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = UnframedTarget {
            id: id.to_owned(),
            reply: Arc::new(Mutex::new(reply)),
            heads: Arc::default(),
            endless: Arc::default(),
        };
        let (reply, heads) = (target.reply.clone(), target.heads.clone());
        let endless = target.endless.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, reply.clone(), heads.clone(), endless.clone()));
            }
        });
        store.put_target_bytes(id, entry(service, address).to_string().as_bytes());
        target
    }

    pub fn set_reply(&self, body: impl Into<Vec<u8>>, end: End) {
        *self.reply.lock() = Reply::ok(body, end);
    }

    /// Number of requests that it received.
    pub fn requests(&self) -> usize {
        self.heads.lock().len()
    }

    /// Number of endless answers whose connections are open.
    pub fn endless(&self) -> usize {
        self.endless.0.load(Ordering::Relaxed)
    }

    /// Bytes written of endless answers.
    pub fn endless_bytes(&self) -> usize {
        self.endless.1.load(Ordering::Relaxed)
    }

    /// Values of a header in the requests that it received.
    pub fn header_values(&self, name: &str) -> Vec<String> {
        self.heads.lock().iter().filter_map(|it| header(it, name)).collect()
    }
}

/// Entry of a target in the store.
pub fn entry(service: &str, address: SocketAddr) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "z1", "version": "v1",
        "slots": 8, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": 1,
    })
}

/// Value of a header in the head of a request.
pub fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|it| it.split_once(':'));
    let mut values = lines.filter(|it| it.0.eq_ignore_ascii_case(name));
    values.next().map(|it| it.1.trim().to_owned())
}

/// The head and the body of an answer, each up to the part that has no end.
fn framed(end: End, head: &str, body: &[u8]) -> (Vec<u8>, Vec<u8>) {
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n", body.len());
    let (head, after) = match end {
        End::EndlessHead => (head.to_owned(), ""),
        End::EndlessLine => (format!("{head}x-filler: "), ""),
        End::EndlessInformation => return (Vec::new(), Vec::new()),
        End::EndlessExtension => (chunked, "\r\n5;"),
        End::EndlessTrailers => (chunked, "\r\n0\r\n"),
        End::EndlessTail => (format!("{head}content-length: {}\r\n\r\n", body.len()), ""),
        _ => (format!("{head}\r\n"), ""),
    };
    (head.into_bytes(), [body, after.as_bytes()].concat())
}

/// Answers one request on a connection.
async fn serve(
    mut stream: TcpStream,
    reply: Arc<Mutex<Reply>>,
    heads: Arc<Mutex<Vec<String>>>,
    endless: Arc<(AtomicUsize, AtomicUsize)>,
) {
    let mut read = Vec::new();
    let head_length = loop {
        if let Some(it) = read.windows(4).position(|it| it == b"\r\n\r\n") {
            break it + 4;
        }
        if stream.read_buf(&mut read).await.unwrap_or(0) == 0 {
            return;
        }
    };
    let head = String::from_utf8_lossy(&read[..head_length]).into_owned();
    let body_length = header(&head, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    while read.len() < head_length + body_length {
        if stream.read_buf(&mut read).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let id = header(&head, names::REQUEST_ID).unwrap_or_default();
    heads.lock().push(head);
    let Reply { status, body, end } = reply.lock().clone();
    let head = format!(
        "HTTP/1.1 {status}\r\n{}: {id}\r\n{}: stamp-{id}\r\n",
        names::REQUEST_ID,
        names::SIGNATURE,
    );
    let (head, body) = framed(end, &head, &body);
    if stream.write_all(&head).await.is_err() {
        return;
    }
    if let End::SilentBefore(it) = end {
        sleep(it).await;
    }
    if stream.write_all(&body).await.is_err() {
        return;
    }
    let filler = match end {
        End::EndlessHead | End::EndlessTrailers => Some("x-filler: more\r\n"),
        End::EndlessInformation => Some("HTTP/1.1 102 Processing\r\n\r\n"),
        End::EndlessLine | End::EndlessBody | End::EndlessExtension | End::EndlessTail => {
            Some("without an end, ")
        }
        End::Close | End::Reset | End::SilentBefore(_) => None,
    };
    let filler = filler.map(|it| it.repeat(FILLER_REPEATS));
    if let Some(it) = filler {
        endless.0.fetch_add(1, Ordering::Relaxed);
        while stream.write_all(it.as_bytes()).await.is_ok() {
            endless.1.fetch_add(it.len(), Ordering::Relaxed);
            sleep(FILLER_PAUSE).await;
        }
        endless.0.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    // The answer arrives before the connection ends.
    sleep(Duration::from_millis(20)).await;
    if end == End::Reset {
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("a connected socket has options");
    }
}
