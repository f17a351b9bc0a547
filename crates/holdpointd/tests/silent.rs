//! Connections to targets, peers and the store, and from callers, that go silent without a reset. Guards
//! against requests that wait on such a connection instead of being served by others after a timeout.

mod support;

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Outage, Target, call, sample_configuration,
};
use holdpoint_standin::relay::Relay;
use holdpointd::ingress::Ingress;
use http::StatusCode;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::support::{System, event_stream, start, start_instance, until};

/// Connections of callers that send nothing, or stop in the middle of a request head.
const SILENT_CALLERS: usize = 150;

/// Starts a target that is reached through a relay.
async fn start_behind_relay(
    system: &System,
    id: &str,
    service: &str,
    behaviour: Behaviour,
) -> (Target, Relay) {
    let target = Target::start(id, service, behaviour).await;
    let relay = Relay::start().await;
    relay.forward_to(&target.address.to_string());
    let target = target.with_address(relay.address().parse().unwrap());
    let before = system.instance.target_count();
    system.store.put_target(&target, false);
    until(|| system.instance.target_count() == before + 1).await;
    (target, relay)
}

async fn assert_all_served(instance: &Ingress, name: &str, path: &str) {
    let callers = instance.listen().callers.parse().unwrap();
    for id in 0..6 {
        let request = CallerRequest::new(&format!("{name}-{id}"), path);
        let answer = call(callers, request.with_items("1,1")).await.expect("the instance answers");
        assert_eq!(answer.status, StatusCode::OK, "{name}-{id}");
        assert!(answer.is_complete);
    }
}

#[tokio::test]
async fn a_target_whose_connections_go_silent_is_passed_over() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let (silent, relay) = start_behind_relay(&system, "i-silent", "plain", Behaviour::Answer).await;
    while silent.runs().is_empty() {
        assert_all_served(&system.instance, "before", "/safe/").await;
    }
    // Idle connections that are kept for reuse go silent too.
    relay.set_drops(true, true);
    assert_all_served(&system.instance, "after", "/safe/").await;
    // A request that may run only once is not repeated, and ends by its deadline.
    for id in 0..4 {
        let answer = system.ask(&format!("u-{id}"), "/unsafe/").await;
        assert!([200, 502, 504].contains(&answer.status.as_u16()));
    }
}

#[tokio::test]
async fn a_stream_that_falls_silent_goes_on_elsewhere() {
    for behaviour in [Behaviour::RunAndHang, Behaviour::HangAfter(2)] {
        let system = start(&[], &[behaviour, Behaviour::Events(4)]).await;
        let mut id = 0;
        while system.engines[0].runs().is_empty() {
            let answer = system.ask(&format!("r-{id}"), "/story/").await;
            assert!(answer.is_complete, "{behaviour:?}");
            assert_eq!(answer.body, event_stream(0, 4));
            id += 1;
        }
    }
}

#[tokio::test]
async fn items_whose_target_falls_silent_are_computed_elsewhere() {
    let system = start(&[], &[Behaviour::Events(2)]).await;
    let (silent, relay) =
        start_behind_relay(&system, "i-silent", "encode", Behaviour::Answer).await;
    while silent.batches().is_empty() {
        assert_all_served(&system.instance, "before", "/staged/").await;
    }
    relay.set_drops(true, true);
    assert_all_served(&system.instance, "after", "/staged/").await;
}

/// A target, the store and the peer that batches for this instance go silent at the same time.
#[tokio::test]
async fn requests_are_served_while_target_store_and_peer_are_silent_and_after_their_return() {
    let system = start(&[Behaviour::Answer], &[Behaviour::Events(2)]).await;
    let to_target = start_behind_relay(&system, "i-silent", "plain", Behaviour::Answer).await;
    let to_peer = Relay::start().await;
    to_peer.forward_to(&system.instance.listen().peers);
    // With far more capacity than the other instance, so that it batches everything.
    system.store.put_instance("a", &format!("{} 1 8000 8000", to_peer.address()));
    let gate = system.store.open_endpoint().await;
    let other = start_instance("b", &gate);
    until(|| other.is_ready() && other.peer_count() == 1 && other.target_count() == 4).await;
    assert_all_served(&other, "before", "/staged/").await;
    assert_eq!(system.encoder.batches().len(), 12);
    to_target.1.set_drops(true, true);
    to_peer.set_drops(true, true);
    gate.set_outage(Outage::Silent);
    for path in ["/staged/", "/safe/", "/story/"] {
        assert_all_served(&other, path, path).await;
    }
    to_peer.set_drops(false, false);
    gate.set_outage(Outage::None);
    system.store.put_configuration(&sample_configuration(4));
    until(|| other.version() == 4).await;
    assert_all_served(&other, "healed", "/staged/").await;
}

/// Guards against an instance that reports ready while silent connections keep it from accepting new ones.
#[tokio::test]
async fn silent_callers_do_not_block_other_callers() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let mut silent = Vec::new();
    for index in 0..SILENT_CALLERS {
        let mut stream = TcpStream::connect(system.caller_address()).await.unwrap();
        if index % 2 == 0 {
            stream.write_all(b"POST /safe/ HTTP/1.1\r\nhost: shop.exa").await.unwrap();
        }
        silent.push(stream);
    }
    assert!(system.instance.is_ready());
    assert_all_served(&system.instance, "other", "/safe/").await;
    drop(silent);
}
