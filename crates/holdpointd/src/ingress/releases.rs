//! Gives up results that are no longer needed, so that their makers have room again.
//!
//! The instance that batches a service tells the makers, since it keeps account of their room.

use std::{collections::HashMap, sync::Arc, time::Duration};

use holdpoint_adapter::stages as wire;
use holdpoint_core::{confinement::Within, ids::Name};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::ingress::{send::own_call, shared::IngressShared};

/// How long results are gathered before they are given up together.
const GATHER: Duration = Duration::from_millis(8);
/// How long one call may take.
const LIMIT: Duration = Duration::from_millis(500);

/// Handles of results that nobody needs any more, by service and what their requests are confined to,
/// which tells the instance that keeps account of them.
type Handles = HashMap<(Name, Within), Vec<String>>;

/// Results that nobody needs any more.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    handles: Mutex<Handles>,
    gathered: Notify,
}

impl Releases {
    /// Gives up a result of a request with these bounds.
    pub(crate) fn release(&self, service: &str, within: &Within, handle: String) {
        let key = (service.to_owned(), within.clone());
        self.handles.lock().entry(key).or_default().push(handle);
        self.gathered.notify_one();
    }

    fn take(&self) -> Handles {
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
    for ((service, within), handles) in shared.releases.take() {
        match shared.peers.owner_within(&service, &shared.topology, within.as_deref()) {
            None => tell_makers(shared, &service, handles),
            Some(address) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    let told = shared.peers.give_up(&shared, &address, &service, handles.clone());
                    if told.await.is_err() {
                        tell_makers(&shared, &service, handles);
                    }
                });
            }
        }
    }
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
    let body = wire::free_body(&handles);
    let told = own_call(&shared, &target, wire::FREE_PATH, body, LIMIT).await;
    // A result whose maker was not told goes by itself when its time is over.
    if told.is_ok_and(|it| it.0.is_success()) {
        shared.batches.released(&service, &handles);
        crate::ingress::batches::pump(&shared, &service);
    }
}
