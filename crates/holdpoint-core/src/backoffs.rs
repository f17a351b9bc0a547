//! Targets that have asked this instance to back off, and until when.
//!
//! A back-off concerns one target and the one instance that it was asked of: others may still send there. It is
//! no failure of the target, and takes it out for no longer than it asked for.

use std::collections::{HashMap, HashSet};

use crate::{
    directory::TargetId,
    ids::{Millis, Name},
};

/// Longest back-off, in milliseconds. A target that names a longer one by mistake would lose all work of this
/// instance for good; one that means it asks again, of one request each time.
const LONGEST_MS: Millis = 600_000;

/// Targets of which it is remembered that they ask for a time which cannot be read.
const MOST_INVALID: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct BackingOff {
    /// Until when, in milliseconds.
    until: Millis,
    /// When the life of the target began that has asked, where it tells that.
    born: Option<Millis>,
}

/// Targets that have asked this instance to back off.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    /// By service and target.
    by_service: HashMap<Name, HashMap<TargetId, BackingOff>>,
    invalid: HashSet<TargetId>,
}

impl Backoffs {
    /// Takes in that a target asks for so many milliseconds from now on. The latest end holds. Returns the time
    /// that is left where that has become longer.
    pub fn request(
        &mut self,
        now: Millis,
        (id, service): (&str, &str),
        born: Option<Millis>,
        ms: Millis,
    ) -> Option<Millis> {
        let ms = ms.min(LONGEST_MS);
        if ms == 0 {
            return None;
        }
        let of_service = self.by_service.entry(service.to_owned()).or_default();
        of_service.retain(|_, it| now < it.until);
        let known = of_service.entry(id.to_owned()).or_default();
        known.born = known.born.max(born);
        if now + ms <= known.until {
            return None;
        }
        known.until = now + ms;
        Some(ms)
    }

    /// Takes in that a target asks for a time which cannot be read: what it asked for before holds. Returns whether
    /// that is worth a line in the log.
    pub fn note_invalid(&mut self, id: &str) -> bool {
        self.invalid.len() < MOST_INVALID && self.invalid.insert(id.to_owned())
    }

    /// How much longer a target gets nothing of this instance, in milliseconds.
    pub fn left(&self, now: Millis, (id, service): (&str, &str)) -> Millis {
        let known = self.by_service.get(service).and_then(|it| it.get(id));
        known.map_or(0, |it| it.until.saturating_sub(now))
    }

    /// Targets of a service that get nothing of this instance now, and until when in milliseconds.
    pub fn of_service<'a>(
        &'a self,
        now: Millis,
        service: &str,
    ) -> impl Iterator<Item = (&'a TargetId, Millis)> {
        let its = self.by_service.get(service).into_iter().flatten();
        its.map(|(id, it)| (id, it.until)).filter(move |it| now < it.1)
    }

    /// Takes in that a life of a target began at `born`, which knows nothing of what the lives before asked for.
    pub fn new_life(&mut self, id: &str, born: Option<Millis>) {
        for of_service in self.by_service.values_mut() {
            if of_service.get(id).is_some_and(|it| it.born < born) {
                of_service.remove(id);
            }
        }
        self.by_service.retain(|_, it| !it.is_empty());
    }

    /// Forgets those that are over.
    pub fn forget(&mut self, now: Millis) {
        self.by_service.values_mut().for_each(|it| it.retain(|_, it| now < it.until));
        self.by_service.retain(|_, it| !it.is_empty());
    }

    /// Number of targets that are remembered.
    pub fn len(&self) -> usize {
        self.by_service.values().map(HashMap::len).sum()
    }

    /// Whether no target is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }
}
