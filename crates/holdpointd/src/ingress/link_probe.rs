//! Measures the queue of the own link while new connections are refused.

use std::{sync::Arc, time::Duration};

use holdpoint_platform::Instant;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::ingress::shared::IngressShared;

/// Interval of the probes.
const INTERVAL: Duration = Duration::from_millis(15);
/// Time after which a probe counts as this long.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Number of peers that are probed in turn.
const PEERS: usize = 3;
/// Number of probes after which the peers are chosen anew.
const PROBES: usize = 60;

/// Connects to peers in turn while new connections are refused, until the task is dropped. Their round trips tell
/// whether the link has passed what it was given.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    loop {
        shared.own_load.wait_pressed().await;
        while shared.own_load.is_pressed(shared.clock.now()) {
            let peers: Vec<String> = shared.peers.relays().into_iter().take(PEERS).collect();
            for address in peers.iter().cycle().take(PROBES) {
                if !shared.own_load.is_pressed(shared.clock.now()) {
                    break;
                }
                tokio::spawn(probe(shared.clone(), address.clone()));
                sleep(INTERVAL).await;
            }
            if peers.is_empty() {
                sleep(INTERVAL).await;
            }
        }
    }
}

async fn probe(shared: Arc<IngressShared>, address: String) {
    let begun = Instant::now();
    // A connection that is refused has made its round trip as well.
    drop(timeout(TIMEOUT, TcpStream::connect(&address)).await);
    shared.own_load.traffic.record_round_trip(&address, begun.elapsed());
}
