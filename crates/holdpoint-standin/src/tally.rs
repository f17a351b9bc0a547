//! What targets truly ran, by the marker that each request carries in its input.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use serde_json::Value;

/// Field of an input that marks the request it belongs to.
pub const MARKER: &str = "marker";

/// Pool and marker, or pool and idempotency key.
type AtPool = (String, String);

/// Counts runs by pool and marker; clones share their counts.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    runs: Arc<Mutex<HashMap<AtPool, u32>>>,
    keys: Arc<Mutex<HashMap<AtPool, Option<Value>>>>,
}

/// How an idempotency key stands at a pool that checks keys.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// Never seen before: the caller of [`Tally::claim_key`] runs it.
    First,
    /// Being run by another call.
    Running,
    /// Run before, with this output.
    Done(Value),
}

impl Tally {
    /// Makes an empty tally.
    pub fn new() -> Tally {
        Tally::default()
    }

    /// Counts a run.
    pub fn add(&self, pool: &str, marker: &str) {
        *self.runs.lock().entry((pool.to_owned(), marker.to_owned())).or_default() += 1;
    }

    /// Checks a key at a pool, whose targets share what they know, and marks it as running.
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
    pub fn end_key(&self, pool: &str, key: &str, output: Value) {
        self.keys.lock().insert((pool.to_owned(), key.to_owned()), Some(output));
    }

    /// Runs of a request by a pool.
    pub fn runs(&self, pool: &str, marker: &str) -> u32 {
        self.runs.lock().get(&(pool.to_owned(), marker.to_owned())).copied().unwrap_or(0)
    }

    /// Runs by a pool, of all requests.
    pub fn total(&self, pool: &str) -> u64 {
        self.runs.lock().iter().filter(|it| it.0.0 == pool).map(|it| u64::from(*it.1)).sum()
    }
}

/// All different markers in a value. An answer that holds another request's marker is crossed.
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
        // A generated text may itself be JSON that an earlier stage put into the prompt.
        Value::String(it) if it.starts_with('{') => {
            if let Ok(inner) = serde_json::from_str(it) {
                collect(&inner, found);
            }
        }
        _ => (),
    }
}
