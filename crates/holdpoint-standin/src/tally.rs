//! Counts the runs of requests at targets, by the marker that each request carries in its input.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use serde_json::Value;

/// Input field that identifies the request.
pub const MARKER: &str = "marker";

/// Pool and marker, or pool and idempotency key.
type PoolKey = (String, String);

/// Counts runs by pool and marker; clones share their counts.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    runs: Arc<Mutex<HashMap<PoolKey, u32>>>,
    keys: Arc<Mutex<HashMap<PoolKey, Option<Value>>>>,
}

/// State of an idempotency key at a pool that checks keys.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// Not seen before: the caller of [`Tally::claim_key`] must run the request.
    First,
    /// Another call is running the request.
    Running,
    /// The request has run, with this output.
    Done(Value),
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Tally {
        Tally::default()
    }

    /// Counts a run.
    pub fn add(&self, pool: &str, marker: &str) {
        *self.runs.lock().entry((pool.to_owned(), marker.to_owned())).or_default() += 1;
    }

    /// Returns the state of a key, and marks a new key as running. The targets of a pool share keys.
    pub fn claim_key(&self, pool: &str, key: &str) -> KeyState {
        let mut keys = self.keys.lock();
        match keys.get(&(pool.to_owned(), key.to_owned())) {
            Some(Some(it)) => KeyState::Done(it.clone()),
            Some(None) => KeyState::Running,
            None => {
                keys.insert((pool.to_owned(), key.to_owned()), None);
                KeyState::First
            }
        }
    }

    /// Records the output of a key.
    pub fn complete_key(&self, pool: &str, key: &str, output: Value) {
        self.keys.lock().insert((pool.to_owned(), key.to_owned()), Some(output));
    }

    /// Number of runs of a request at a pool.
    pub fn runs(&self, pool: &str, marker: &str) -> u32 {
        self.runs.lock().get(&(pool.to_owned(), marker.to_owned())).copied().unwrap_or(0)
    }

    /// Number of runs of all requests at a pool.
    pub fn total(&self, pool: &str) -> u64 {
        self.runs.lock().iter().filter(|it| it.0.0 == pool).map(|it| u64::from(*it.1)).sum()
    }
}

/// Distinct markers in a value, sorted. A marker of another request in an answer means that answers
/// were mixed up.
pub fn markers(value: &Value) -> Vec<String> {
    let mut found = Vec::new();
    collect(value, &mut found);
    found.sort_unstable();
    found.dedup();
    found
}

fn collect(value: &Value, found: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                match value {
                    Value::String(it) if name == MARKER => found.push(it.clone()),
                    it => collect(it, found),
                }
            }
        }
        Value::Array(items) => items.iter().for_each(|it| collect(it, found)),
        // Text may itself be JSON, such as the output of an earlier stage in a prompt.
        Value::String(it) if it.starts_with('{') => {
            if let Ok(inner) = serde_json::from_str(it) {
                collect(&inner, found);
            }
        }
        _ => (),
    }
}
