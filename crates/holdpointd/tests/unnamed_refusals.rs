//! Answers that state that a request reached another target than the addressed one, and name no request.

mod support;

use std::{net::SocketAddr, sync::Arc};

use holdpoint_adapter_standin::{
    CallerAnswer, CallerRequest, Store, call, names, sample_configuration,
};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::support::{
    start_instance,
    unframed::{entry, header},
    until,
};

const UNNAMED: &str = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";

/// A target that answers one request of each connection without naming it: the first, which it does not run, or the second,
/// which it does.
struct UnnamedTarget {
    address: SocketAddr,
    /// Ids of the requests that it ran.
    runs: Arc<Mutex<Vec<String>>>,
}

impl UnnamedTarget {
    async fn start(unnamed_index: usize) -> UnnamedTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::new(Mutex::default());
        let target = UnnamedTarget { address, runs: Arc::clone(&runs) };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, unnamed_index, runs.clone()));
            }
        });
        target
    }
}

async fn serve(
    mut stream: TcpStream,
    unnamed_index: usize,
    runs: Arc<Mutex<Vec<String>>>,
) -> Option<()> {
    for index in 0.. {
        let id = read_request(&mut stream).await?;
        let is_unnamed = index == unnamed_index;
        if !is_unnamed || index != 0 {
            runs.lock().push(id.clone());
        }
        let named = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: stamp-{id}\r\ncontent-length: 0\r\n\r\n",
            names::REQUEST_ID,
            names::SIGNATURE
        );
        let answer = if is_unnamed { UNNAMED } else { &named };
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
    None
}

/// Reads a request, and returns its id.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = header(&head, "content-length").map_or(0, |it| it.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    header(&head, names::REQUEST_ID)
}

async fn start_with(target: &UnnamedTarget) -> (Ingress, Store) {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    store.put_target_bytes("i-1", entry("plain", target.address).to_string().as_bytes());
    let instance = start_instance("a", &store.endpoint);
    until(|| instance.is_ready() && instance.target_count() == 1).await;
    (instance, store)
}

async fn ask(instance: &Ingress, id: &str) -> CallerAnswer {
    let callers = instance.listen().callers.parse().unwrap();
    call(callers, CallerRequest::new(id, "/unsafe/")).await.expect("the instance answers")
}

/// Guards against callers who are not told that they may send a request again: nothing else was sent on the connection that
/// the answer could belong to.
#[tokio::test]
async fn an_order_that_reached_another_target_on_a_new_connection_is_refused() {
    let target = UnnamedTarget::start(0).await;
    let (instance, _store) = start_with(&target).await;
    let answer = ask(&instance, "r-1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(target.runs.lock().is_empty());
}

/// Guards against a refusal of an order that runs: on a used connection the answer may be a second one to the order before.
#[tokio::test]
async fn an_unnamed_answer_on_a_used_connection_proves_nothing() {
    let target = UnnamedTarget::start(1).await;
    let (instance, _store) = start_with(&target).await;
    assert_eq!(ask(&instance, "r-1").await.status, StatusCode::OK);
    let answer = ask(&instance, "r-2").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(*target.runs.lock(), ["r-1", "r-2"]);
}
