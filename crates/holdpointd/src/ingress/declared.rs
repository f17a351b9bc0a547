//! Policies and trials that operators declare in the store, as they are in force here.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;
use bytes::Bytes;
use holdpoint_core::experiments::{BadResource, Experiments};
use parking_lot::Mutex;

/// Resources in force, with the bytes that they were declared by, for peers.
#[derive(Default)]
pub(crate) struct Declared {
    bytes: Mutex<BTreeMap<String, Bytes>>,
    in_force: ArcSwap<Experiments>,
}

impl Declared {
    /// Resources in force.
    pub(crate) fn now(&self) -> Arc<Experiments> {
        self.in_force.load_full()
    }

    /// All resources by key.
    pub(crate) fn all(&self) -> Vec<(String, Bytes)> {
        self.bytes.lock().iter().map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// Puts a resource in force, or drops it; whether that is new. One that cannot be read leaves
    /// the one before it in force.
    pub(crate) fn set(&self, key: &str, value: Option<Bytes>) -> Result<bool, BadResource> {
        let mut bytes = self.bytes.lock();
        if bytes.get(key) == value.as_ref() {
            return Ok(false);
        }
        let mut next = Experiments::clone(&self.in_force.load());
        next.set(key, value.as_deref())?;
        match value {
            Some(it) => drop(bytes.insert(key.to_owned(), it)),
            None => drop(bytes.remove(key)),
        }
        self.in_force.store(Arc::new(next));
        Ok(true)
    }
}
