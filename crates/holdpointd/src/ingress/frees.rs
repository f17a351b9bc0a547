//! Gives up results that are no longer needed, so that their makers have room again.

use std::{collections::HashMap, sync::Arc, time::Duration};

use holdpoint_adapter::stages as wire;
use parking_lot::Mutex;

use crate::ingress::{send::own_call, shared::IngressShared};

/// How long results are gathered before their makers are told.
pub(crate) const GATHER: Duration = Duration::from_millis(40);
/// How long one call may take.
const LIMIT: Duration = Duration::from_millis(500);

/// Handles of results that nobody needs any more.
#[derive(Debug, Default)]
pub(crate) struct Frees {
    handles: Mutex<Vec<String>>,
}

impl Frees {
    /// Gives up a result.
    pub(crate) fn give_up(&self, handle: String) {
        self.handles.lock().push(handle);
    }

    fn take(&self) -> Vec<String> {
        std::mem::take(&mut *self.handles.lock())
    }
}

/// Tells the makers of all results that were given up, one call each.
pub(crate) fn flush(shared: &Arc<IngressShared>) {
    let mut by_maker: HashMap<String, Vec<String>> = HashMap::new();
    for handle in shared.frees.take() {
        if let Some(maker) = wire::maker(&handle).map(str::to_owned) {
            by_maker.entry(maker).or_default().push(handle);
        }
    }
    for (maker, handles) in by_maker {
        let Some(target) = shared.target_at(&maker) else { continue };
        let shared = shared.clone();
        tokio::spawn(async move {
            let body = wire::free_body(&handles);
            // A result that is not given up goes by itself when its time is over.
            drop(own_call(&shared, &target, wire::FREE_PATH, body, LIMIT).await);
        });
    }
}
