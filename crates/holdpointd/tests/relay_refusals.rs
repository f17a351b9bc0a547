//! Refusals of peers that are asked to relay a request: a refusal says that nothing was sent, so it must belong to the
//! request.

mod support;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use holdpoint_adapter_standin::{
    Behaviour, CallerAnswer, CallerRequest, Store, Target, call, names, sample_configuration,
};
use holdpoint_soak::{LinkFault, Proxy};
use holdpointd::ingress::Ingress;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::support::{start_from, start_instance, unframed::header, until};

/// Address that the connections of the instance without a path to its target come from.
const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1));
/// Version of the protocol between instances that the peer speaks: one with relayed requests.
const PROTOCOL: u32 = 9;
/// Header of a peer's answer that tells how the request ended there.
const OUTCOME: &str = "relay-outcome";
/// Header that tells what a peer is asked for.
const KIND: &str = "relay-kind";
/// Whether a status states that a request has not run and never will.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// What a peer answers to a request that it is asked to relay.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// The target's answer.
    Answer,
    /// A success of a peer of an earlier version that no target has answered, which names no id.
    UnnamedSuccess,
    Refusal,
    /// A refusal of a peer of an earlier version, which names no id.
    Unnamed,
    /// A refusal of another request.
    Crossed,
    /// The answer of a target that has failed the request.
    Failure,
}

struct Script {
    /// Replies to requests in turn; the last one stays.
    replies: Mutex<Vec<Reply>>,
    /// Reply to probes of a target.
    probe_reply: Reply,
    /// Id of each relayed request, and the number of its connection.
    relayed: Mutex<Vec<(String, usize)>>,
}

/// Starts a peer that answers requests to be relayed by a script, and passes all else on to an instance.
async fn scripted_peer(instance: SocketAddr, replies: &[Reply]) -> (SocketAddr, Arc<Script>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let probe_reply = match replies[0] {
        Reply::Unnamed => Reply::UnnamedSuccess,
        _ => Reply::Answer,
    };
    let (replies, relayed) = (Mutex::new(replies.to_vec()), Mutex::default());
    let script = Arc::new(Script { replies, probe_reply, relayed });
    let state = script.clone();
    tokio::spawn(async move {
        for connection in 0.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            tokio::spawn(serve(stream, instance, connection, state.clone()));
        }
    });
    (address, script)
}

async fn serve(
    mut stream: TcpStream,
    instance: SocketAddr,
    connection: usize,
    script: Arc<Script>,
) {
    let mut first = [0];
    if stream.peek(&mut first).await.is_ok() && first[0] == b'P' {
        while answer_relayed(&mut stream, connection, &script).await.is_some() {}
        return;
    }
    let Ok(mut far) = TcpStream::connect(instance).await else { return };
    // A broken connection ends here as at the instance.
    let _ = copy_bidirectional(&mut stream, &mut far).await;
}

/// Answers the next request on a connection; `None` at its end.
async fn answer_relayed(stream: &mut TcpStream, connection: usize, script: &Script) -> Option<()> {
    let mut read = Vec::new();
    let head = loop {
        if let Some(end) = read.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            let body: usize = header(&head, "content-length").map_or(0, |it| it.parse().unwrap());
            if end + 4 + body <= read.len() {
                break head;
            }
        }
        if stream.read_buf(&mut read).await.ok()? == 0 {
            return None;
        }
    };
    let id = header(&head, names::REQUEST_ID).unwrap_or_default();
    let is_probe = header(&head, KIND).is_some_and(|it| it == "probe");
    let reply = if is_probe {
        script.probe_reply
    } else {
        script.relayed.lock().push((id.clone(), connection));
        let mut replies = script.replies.lock();
        if replies.len() <= 1 { replies[0] } else { replies.remove(0) }
    };
    let named = |id: &str| format!("{}: {id}\r\n", names::REQUEST_ID);
    let (status, outcome, named) = match reply {
        Reply::Answer => ("200 OK", "answered", named(&id)),
        Reply::UnnamedSuccess => ("200 OK", "answered", String::new()),
        Reply::Refusal => ("502 Bad Gateway", "busy", named(&id)),
        Reply::Unnamed => ("502 Bad Gateway", "busy", String::new()),
        Reply::Crossed => ("502 Bad Gateway", "busy", named("another")),
        Reply::Failure => ("503 Service Unavailable", "answered", named(&id)),
    };
    let answer = format!(
        "HTTP/1.1 {status}\r\n{OUTCOME}: {outcome}\r\n{named}{}: stamp-{id}\r\ncontent-length: 0\r\n\r\n",
        names::SIGNATURE
    );
    stream.write_all(answer.as_bytes()).await.ok()
}

/// An instance whose path to the only target of a service is lost, and a peer that it asks to relay.
struct Fixture {
    cut: Ingress,
    script: Arc<Script>,
    _peer: Ingress,
    _target: (Target, Proxy),
    _store: Store,
}

async fn fixture(replies: &[Reply]) -> Fixture {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let target = Target::start("i-plain", "plain", Behaviour::Answer).await;
    let proxy = Proxy::start(target.address).await;
    let target = target.with_address(proxy.address);
    store.put_target(&target, false);
    let peer = start_instance("peer", &store.endpoint);
    until(|| peer.is_ready() && peer.target_count() == 1).await;
    let real = peer.listen().peers.parse().unwrap();
    let (address, script) = scripted_peer(real, replies).await;
    store.put_instance("peer", &format!("{address} 1 8000 8000 {PROTOCOL} z1"));
    proxy.set_from(SOURCE, Some(LinkFault::Refuse));
    let cut = start_from("cut", &store.endpoint, SOURCE);
    until(|| cut.is_ready() && cut.peer_count() == 1 && cut.target_count() == 1).await;
    Fixture { cut, script, _peer: peer, _target: (target, proxy), _store: store }
}

impl Fixture {
    fn relayed(&self) -> Vec<(String, usize)> {
        self.script.relayed.lock().clone()
    }

    /// Sends requests that run at most once until the peer is asked to relay one; returns its answer.
    async fn ask(&self, name: &str) -> CallerAnswer {
        let callers = self.cut.listen().callers.parse().unwrap();
        for round in 0..100 {
            let id = format!("{name}-{round}");
            let answer = call(callers, CallerRequest::new(&id, "/unsafe/")).await;
            if self.relayed().iter().any(|it| it.0 == id) {
                return answer.expect("the instance answers");
            }
            // After a refusal the peer is not asked for some time.
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the peer was not asked");
    }
}

/// Guards against a request that counts as run although its peer has refused it, also by a peer of an earlier version,
/// whose refusals name no id: the first answer on a connection belongs to its request.
#[tokio::test]
async fn a_request_that_a_peer_refuses_has_not_run() {
    for refusal in [Reply::Refusal, Reply::Unnamed] {
        let fixture = fixture(&[refusal]).await;
        let answer = fixture.ask("r").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{refusal:?}");
    }
}

/// Guards against a target's failure that counts as its peer's refusal, and promises that the request has not run.
#[tokio::test]
async fn a_failure_of_a_target_that_a_peer_reaches_promises_nothing() {
    let fixture = fixture(&[Reply::Failure]).await;
    let answer = fixture.ask("r").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
}

/// Guards against an order that is carried out twice: a late refusal of another request says nothing about this one,
/// which the peer may have sent.
#[tokio::test]
async fn a_refusal_that_names_another_request_proves_nothing() {
    let fixture = fixture(&[Reply::Crossed]).await;
    let answer = fixture.ask("r").await;
    assert!(!NOT_RUN.contains(&answer.status), "{}", answer.status);
}

/// Guards against the same by a peer of an earlier version: a refusal without an id may be a late one once something was
/// sent on its connection.
#[tokio::test]
async fn a_refusal_without_an_id_proves_nothing_on_a_used_connection() {
    let fixture = fixture(&[Reply::Answer, Reply::Unnamed]).await;
    assert_eq!(fixture.ask("first").await.status, StatusCode::OK);
    let answer = fixture.ask("second").await;
    let relayed = fixture.relayed();
    assert_eq!(
        relayed[0].1, relayed[1].1,
        "the second request was sent on the connection of the first"
    );
    assert!(!NOT_RUN.contains(&answer.status), "{}", answer.status);
}

/// Guards against a connection that is used again after a refusal which may not belong to its last request.
#[tokio::test]
async fn a_connection_is_not_used_again_after_a_refusal_of_no_or_another_id() {
    for refusal in [Reply::Unnamed, Reply::Crossed] {
        let fixture = fixture(&[refusal]).await;
        for name in ["first", "second"] {
            fixture.ask(name).await;
        }
        let relayed = fixture.relayed();
        assert_ne!(relayed[0].1, relayed[1].1, "{refusal:?}: {relayed:?}");
    }
}
