//! The active policies and trials, which operators declare as resources in the store. Keeps their bytes too,
//! to send them to peers unchanged.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;
use bytes::Bytes;
use holdpoint_core::experiments::{BadResource, Experiments};
use parking_lot::Mutex;

/// The active resources, and the bytes that they were parsed from.
#[derive(Default)]
pub(crate) struct Declared {
    bytes: Mutex<BTreeMap<String, Bytes>>,
    active: ArcSwap<Experiments>,
}

impl Declared {
    /// The active resources.
    pub(crate) fn now(&self) -> Arc<Experiments> {
        self.active.load_full()
    }

    /// Bytes of all resources, by key.
    pub(crate) fn all(&self) -> Vec<(String, Bytes)> {
        self.bytes.lock().iter().map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// Sets a resource, or removes it where `value` is `None`; returns whether anything changed. If it
    /// cannot be parsed, the previous one stays active.
    pub(crate) fn set(&self, key: &str, value: Option<Bytes>) -> Result<bool, BadResource> {
        let mut bytes = self.bytes.lock();
        if bytes.get(key) == value.as_ref() {
            return Ok(false);
        }
        let mut next = Experiments::clone(&self.active.load());
        next.set(key, value.as_deref())?;
        match value {
            Some(it) => drop(bytes.insert(key.to_owned(), it)),
            None => drop(bytes.remove(key)),
        }
        self.active.store(Arc::new(next));
        Ok(true)
    }
}
