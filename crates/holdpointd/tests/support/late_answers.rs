//! A target that sends a second answer to a request when the next one arrives on the connection.

use std::{net::SocketAddr, sync::Arc};

use holdpoint_adapter_standin::{Store, names};
use parking_lot::Mutex;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{
    event_stream,
    unframed::{entry, header},
};

/// Status and headers of a second answer; its id is that of the request before.
pub type SecondAnswer = &'static str;

/// A second answer that one of several targets sends once, before its answer to the next request on a used connection.
pub type PendingAnswer = Arc<Mutex<Option<SecondAnswer>>>;

/// A target that runs every request that it receives.
pub struct LateTarget {
    id: String,
    address: SocketAddr,
    service: String,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    /// Ids of the requests that it ran.
    runs: Mutex<Vec<String>>,
    second_answer: PendingAnswer,
}

impl LateTarget {
    /// Starts a target and registers it.
    pub async fn start(
        store: &Store,
        id: &str,
        service: &str,
        second_answer: &PendingAnswer,
    ) -> LateTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state =
            Arc::new(State { runs: Mutex::default(), second_answer: second_answer.clone() });
        let target = LateTarget {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            state: state.clone(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, state.clone()));
            }
        });
        store.put_target_bytes(id, entry(service, address).to_string().as_bytes());
        target
    }

    /// Marks the target as draining in the store.
    pub fn drain(&self, store: &Store) {
        let mut entry = entry(&self.service, self.address);
        entry["state"] = json!("draining");
        entry["sequence"] = json!(2);
        store.put_target_bytes(&self.id, entry.to_string().as_bytes());
    }

    /// Ids of the requests that it ran.
    pub fn runs(&self) -> Vec<String> {
        self.state.runs.lock().clone()
    }
}

/// Reads a whole request, and returns its id; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = read.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            let body = header(&head, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            let length = end + 4 + body;
            if length <= read.len() {
                read.drain(..length);
                return Some(header(&head, names::REQUEST_ID).unwrap_or_default());
            }
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
    let mut read = Vec::new();
    let mut previous: Option<String> = None;
    while let Some(id) = read_request(&mut stream, &mut read).await {
        state.runs.lock().push(id.clone());
        let mut answers = Vec::new();
        if let Some(before) = &previous
            && let Some(it) = state.second_answer.lock().take()
        {
            answers.push(answer(it, before, ""));
        }
        answers.push(answer("200 OK", &id, &event_stream(0, 1)));
        if stream.write_all(answers.concat().as_bytes()).await.is_err() {
            return;
        }
        previous = Some(id);
    }
}

fn answer(status_and_headers: &str, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status_and_headers}\r\n{}: {id}\r\n{}: stamp-{id}\r\ncontent-length: {}\r\n\r\n{body}",
        names::REQUEST_ID,
        names::SIGNATURE,
        body.len()
    )
}
