//! Gives up results that are no longer needed, so that their makers have room again.
//!
//! The instance that batches a service tells the makers, since it keeps account of their room.

use std::{collections::HashMap, sync::Arc, time::Duration};

use holdpoint_adapter::stages as wire;
use holdpoint_core::ids::Name;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::ingress::{
    gate::Payload,
    limits,
    regions::{batcher_of, keeper_region},
    send::{OwnCall, own_call},
    shared::IngressShared,
};

/// How long results are gathered before they are given up together.
const GATHER: Duration = Duration::from_millis(8);
/// How long one call may take.
const LIMIT: Duration = Duration::from_millis(500);

/// Handles of results that nobody needs any more, by service.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    handles: Mutex<HashMap<Name, Vec<String>>>,
    gathered: Notify,
}

impl Releases {
    /// Gives up a result.
    pub(crate) fn release(&self, service: &str, handle: String) {
        self.handles.lock().entry(service.to_owned()).or_default().push(handle);
        self.gathered.notify_one();
    }

    fn take(&self) -> HashMap<Name, Vec<String>> {
        std::mem::take(&mut *self.handles.lock())
    }
}

/// Gives results up, soon after each other together, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    loop {
        shared.releases.gathered.notified().await;
        tokio::time::sleep(GATHER).await;
        flush(&shared);
    }
}

fn flush(shared: &Arc<IngressShared>) {
    for (service, handles) in shared.releases.take() {
        for (region, handles) in by_region(shared, handles) {
            give_up(shared, &region, service.clone(), handles);
        }
    }
}

/// Results by the region whose batcher keeps account of them.
fn by_region(shared: &IngressShared, handles: Vec<String>) -> HashMap<Name, Vec<String>> {
    let mut by_region: HashMap<Name, Vec<String>> = HashMap::new();
    for handle in handles {
        let region = keeper_region(shared, wire::maker(&handle));
        by_region.entry(region).or_default().push(handle);
    }
    by_region
}

fn give_up(shared: &Arc<IngressShared>, region: &str, service: Name, handles: Vec<String>) {
    let Some(address) = batcher_of(shared, region, &service) else {
        return tell_makers(shared, &service, handles);
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        let told = shared.peers.give_up(&shared, &address, &service, handles.clone());
        if told.await.is_err() {
            tell_makers(&shared, &service, handles);
        }
    });
}

/// Tells the makers of results that these are no longer needed, one call each.
pub(crate) fn tell_makers(shared: &Arc<IngressShared>, service: &str, handles: Vec<String>) {
    let mut by_maker: HashMap<String, Vec<String>> = HashMap::new();
    for handle in handles {
        if let Some(maker) = wire::maker(&handle).map(str::to_owned) {
            by_maker.entry(maker).or_default().push(handle);
        }
    }
    for (maker, handles) in by_maker {
        let Some(target) = shared.target_at(&maker) else { continue };
        tokio::spawn(tell(shared.clone(), service.to_owned(), target, handles));
    }
}

async fn tell(
    shared: Arc<IngressShared>,
    service: Name,
    target: holdpoint_core::directory::TargetInstance,
    handles: Vec<String>,
) {
    if shared.backoff_ms(&target) != 0 {
        return;
    }
    // A result whose maker was not told goes by itself when its time is over.
    let Ok(permit) = limits::ask(&shared, &target).await else { return };
    let body = wire::free_body(&handles);
    let call = OwnCall { path: wire::FREE_PATH, body, payload: Payload::Release };
    let told = own_call(&shared, (&target, permit), call, LIMIT).await;
    if told.is_ok_and(|it| it.0.is_success()) {
        shared.batches.released(&service, &handles);
        crate::ingress::batches::pump(&shared, &service);
    }
}
