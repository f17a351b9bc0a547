//! Releases results that are no longer needed, so that the targets that store them have room again.
//!
//! The instance that batches for a service sends the releases to the targets, since it tracks their free room.
//! If it cannot be reached, this instance sends them itself.

use std::{collections::HashMap, sync::Arc, time::Duration};

use holdpoint_adapter::stages as wire;
use holdpoint_core::{directory::TargetInstance, ids::Name};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::ingress::{
    gate::InternalKind,
    limits::{self, Permit},
    regions::{batcher_of, owner_region},
    send::{InternalCall, internal_call, release_call},
    shared::IngressShared,
};

/// How long releases are collected before they are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(8);
/// Timeout of one call to a target.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles of results to release, by service.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    handles: Mutex<HashMap<Name, Vec<String>>>,
    gathered: Notify,
}

impl Releases {
    /// Queues a result for release.
    pub(crate) fn release(&self, service: &str, handle: String) {
        self.handles.lock().entry(service.to_owned()).or_default().push(handle);
        self.gathered.notify_one();
    }

    fn take(&self) -> HashMap<Name, Vec<String>> {
        std::mem::take(&mut *self.handles.lock())
    }
}

/// Sends queued releases in batches until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    loop {
        shared.releases.gathered.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        flush(&shared);
    }
}

fn flush(shared: &Arc<IngressShared>) {
    for (service, handles) in shared.releases.take() {
        for (region, handles) in by_region(shared, handles) {
            send_releases(shared, &region, service.clone(), handles);
        }
    }
}

/// Groups results by the region whose batching instance tracks their room.
fn by_region(shared: &IngressShared, handles: Vec<String>) -> HashMap<Name, Vec<String>> {
    let mut by_region: HashMap<Name, Vec<String>> = HashMap::new();
    for handle in handles {
        let region = owner_region(shared, wire::producer(&handle));
        by_region.entry(region).or_default().push(handle);
    }
    by_region
}

fn send_releases(shared: &Arc<IngressShared>, region: &str, service: Name, handles: Vec<String>) {
    let Some(address) = batcher_of(shared, region, &service) else {
        return notify_makers(shared, &service, handles);
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        let sending = shared.peers.release_results(&shared, &address, &service, handles.clone());
        if sending.await.is_err() {
            notify_makers(&shared, &service, handles);
        }
    });
}

/// Asks the targets that store results to drop them, with one call to each target.
pub(crate) fn notify_makers(shared: &Arc<IngressShared>, service: &str, handles: Vec<String>) {
    let mut by_maker: HashMap<String, Vec<String>> = HashMap::new();
    for handle in handles {
        if let Some(maker) = wire::producer(&handle).map(str::to_owned) {
            by_maker.entry(maker).or_default().push(handle);
        }
    }
    for (maker, handles) in by_maker {
        // A target of another service that has the address now would run the call as a request.
        let Some(target) = shared.target_of_at(service, &maker) else { continue };
        tokio::spawn(notify_maker(shared.clone(), service.to_owned(), target, handles));
    }
}

async fn notify_maker(
    shared: Arc<IngressShared>,
    service: Name,
    target: TargetInstance,
    handles: Vec<String>,
) {
    if shared.backoff_ms(&target) != 0 {
        return;
    }
    // A result that was not released expires at its target by itself.
    let Ok(permit) = limits::acquire(&shared, &target).await else { return };
    let body = wire::release_body(&handles);
    let call = (wire::RELEASE_PATH, body.clone());
    let is_released = match release_call(&shared, (&target, &permit), call, CALL_TIMEOUT).await {
        Some(it) => it.is_ok(),
        None => relay_release(&shared, (&target, permit), body).await,
    };
    if is_released {
        shared.batches.record_released(&service, &handles);
        crate::ingress::batches::start_calls(&shared, &service);
    }
}

/// Releases results at a target whose own path is lost. Returns whether the target has confirmed it.
async fn relay_release(
    shared: &Arc<IngressShared>,
    (target, permit): (&TargetInstance, Permit),
    body: Vec<u8>,
) -> bool {
    let kind = InternalKind::Release;
    let call = InternalCall { path: wire::RELEASE_PATH, body, kind, items: 0 };
    let outcome = internal_call(shared, (target, permit), call, &None, CALL_TIMEOUT).await;
    let Ok(answer) = outcome else { return false };
    let is_released = answer.status.is_success();
    answer.keep_connection(shared, target);
    is_released
}
