//! Limits that targets name: how many requests a second a target takes from all instances together.

use std::collections::HashMap;

use crate::{directory::TargetId, ids::Millis};

/// What an answer of a target says of its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Named {
    /// It names none.
    #[default]
    Nothing,
    /// So many requests a second.
    PerSecond(f64),
    /// Something that cannot be read: what was known before holds.
    Unreadable,
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Nothing.
    Nothing,
    /// The target has named a limit.
    Began,
    /// It has named another one than before.
    Altered {
        /// The one before, in requests a second.
        before: f64,
    },
    /// It names none any more.
    Ended,
}

/// The limit that a target has named.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    /// When the last answer came that named it.
    named: Millis,
}

/// Limits of targets, as an instance knows them.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    limits: HashMap<TargetId, Limit>,
}

impl TargetLimits {
    /// Takes in what an answer says that came at `now` to a request that was sent at `sent`. An answer to a
    /// request that was sent before the limit was last named may be older than that, and does not end it.
    pub fn heard(&mut self, now: Millis, id: &str, named: Named, sent: Millis) -> Change {
        let known = self.limits.get_mut(id);
        match (named, known) {
            (Named::PerSecond(per_s), Some(limit)) => {
                let before = std::mem::replace(&mut limit.per_s, per_s);
                limit.named = now;
                if before == per_s { Change::Nothing } else { Change::Altered { before } }
            }
            (Named::PerSecond(per_s), None) => {
                self.limits.insert(id.to_owned(), Limit { per_s, named: now });
                Change::Began
            }
            (Named::Nothing, Some(limit)) if limit.named < sent => {
                self.limits.remove(id);
                Change::Ended
            }
            (Named::Nothing | Named::Unreadable, _) => Change::Nothing,
        }
    }

    /// Takes in that a target is gone or has started anew, which knows nothing of its former limit.
    pub fn remove(&mut self, id: &str) {
        self.limits.remove(id);
    }

    /// The limit of a target in requests a second, if it has named one.
    pub fn per_s(&self, id: &str) -> Option<f64> {
        self.limits.get(id).map(|it| it.per_s)
    }
}
