//! Connections that go silent for good, without a reset: to targets, to peers, to the store, and from
//! callers. Each is noticed by a time limit, and requests are served all the same.

mod support;

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Outage, Target, call, sample_configuration,
};
use holdpoint_standin::relay::Relay;
use holdpointd::ingress::Ingress;
use http::StatusCode;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::support::{System, start, start_instance, story, until};

/// Connections of callers who say nothing, or stop in the middle of a head.
const SILENT_CALLERS: usize = 150;

/// Starts a target that is reached through a relay.
async fn behind_relay(system: &System, id: &str, service: &str, how: Behaviour) -> (Target, Relay) {
    let target = Target::start(id, service, how).await;
    let relay = Relay::start().await;
    relay.lead_to(&target.address.to_string());
    let target = target.with_address(relay.address().parse().unwrap());
    let before = system.instance.target_count();
    system.store.put_target(&target, false);
    until(|| system.instance.target_count() == before + 1).await;
    (target, relay)
}

async fn all_served(instance: &Ingress, name: &str, path: &str) {
    let callers = instance.listen().callers.parse().unwrap();
    for id in 0..6 {
        let request = CallerRequest::new(&format!("{name}-{id}"), path);
        let answer = call(callers, request.with_pieces("1,1")).await.expect("there is an answer");
        assert_eq!(answer.status, StatusCode::OK, "{name}-{id}");
        assert!(answer.is_whole);
    }
}

#[tokio::test]
async fn a_target_whose_connections_go_silent_is_passed_over() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let (silent, relay) = behind_relay(&system, "i-silent", "plain", Behaviour::Answer).await;
    while silent.runs().is_empty() {
        all_served(&system.instance, "before", "/safe/").await;
    }
    // Connections that are kept go silent too.
    relay.lose(true, true);
    all_served(&system.instance, "after", "/safe/").await;
    // One that may run once is not repeated, and ends with its time.
    for id in 0..4 {
        let answer = system.ask(&format!("u-{id}"), "/unsafe/").await;
        assert!([200, 502, 504].contains(&answer.status.as_u16()));
    }
}

#[tokio::test]
async fn a_stream_that_falls_silent_goes_on_elsewhere() {
    for how in [Behaviour::RunAndHang, Behaviour::HangAfter(2)] {
        let system = start(&[], &[how, Behaviour::Events(4)]).await;
        let mut id = 0;
        while system.engines[0].runs().is_empty() {
            let answer = system.ask(&format!("r-{id}"), "/story/").await;
            assert!(answer.is_whole, "{how:?}");
            assert_eq!(answer.body, story(0, 4));
            id += 1;
        }
    }
}

#[tokio::test]
async fn pieces_whose_target_falls_silent_are_made_elsewhere() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    let (silent, relay) = behind_relay(&system, "i-silent", "encode", Behaviour::Answer).await;
    while silent.batches().is_empty() {
        all_served(&system.instance, "before", "/staged/").await;
    }
    relay.lose(true, true);
    all_served(&system.instance, "after", "/staged/").await;
}

/// A target, the store and the peer that batches for this instance, all at once.
#[tokio::test]
async fn requests_are_served_while_target_store_and_peer_are_silent_and_all_comes_back() {
    let system = start(&[Behaviour::Answer], &[Behaviour::Events(2)]).await;
    let to_target = behind_relay(&system, "i-silent", "plain", Behaviour::Answer).await;
    let to_peer = Relay::start().await;
    to_peer.lead_to(&system.instance.listen().peers);
    // Far stronger than the other one, so that it batches everything.
    system.store.put_instance("a", &format!("{} 1 8000 8000", to_peer.address()));
    let gate = system.store.open_gate().await;
    let other = start_instance("b", &gate);
    until(|| other.is_ready() && other.peer_count() == 1 && other.target_count() == 4).await;
    all_served(&other, "before", "/staged/").await;
    assert_eq!(system.encoder.batches().len(), 12);
    to_target.1.lose(true, true);
    to_peer.lose(true, true);
    gate.set_outage(Outage::Silent);
    for path in ["/staged/", "/safe/", "/story/"] {
        all_served(&other, path, path).await;
    }
    to_peer.lose(false, false);
    gate.set_outage(Outage::None);
    system.store.put_configuration(&sample_configuration(4));
    until(|| other.version() == 4).await;
    all_served(&other, "healed", "/staged/").await;
}

/// An instance that says it is ready takes new connections, whatever the old ones do.
#[tokio::test]
async fn callers_who_say_nothing_keep_no_others_out() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let mut silent = Vec::new();
    for index in 0..SILENT_CALLERS {
        let mut stream = TcpStream::connect(system.callers()).await.unwrap();
        if index % 2 == 0 {
            stream.write_all(b"POST /safe/ HTTP/1.1\r\nhost: shop.exa").await.unwrap();
        }
        silent.push(stream);
    }
    assert!(system.instance.is_ready());
    all_served(&system.instance, "other", "/safe/").await;
    drop(silent);
}
