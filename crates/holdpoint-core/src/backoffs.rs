//! Active backoffs: targets that have asked this instance to back off, and until when.
//!
//! A backoff applies to one target and to the one instance that was asked; other instances may still send
//! there. It does not count as a failure of the target and ends after the requested time.

use std::collections::{HashMap, HashSet};

use crate::{
    directory::TargetId,
    ids::{Millis, Name},
};

/// Maximum backoff, in milliseconds. A longer one may be a mistake; a target that means it asks again, at
/// the cost of one request each time.
const MAX_BACKOFF_MS: Millis = 600_000;

/// Maximum number of targets remembered for requesting an unreadable backoff.
const MAX_INVALID: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct ActiveBackoff {
    /// Until when, in milliseconds.
    until: Millis,
    /// Start of the target's incarnation that asked, in milliseconds of Unix time, if it reports one.
    born: Option<Millis>,
}

/// Targets that have asked this instance to back off.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    /// By service and target.
    by_service: HashMap<Name, HashMap<TargetId, ActiveBackoff>>,
    invalid: HashSet<TargetId>,
}

impl Backoffs {
    /// Records that a target requests a backoff of `ms` milliseconds from now. The latest end applies. Returns
    /// the applied backoff in milliseconds if it extends the current one.
    pub fn request(
        &mut self,
        now: Millis,
        (id, service): (&str, &str),
        born: Option<Millis>,
        ms: Millis,
    ) -> Option<Millis> {
        let ms = ms.min(MAX_BACKOFF_MS);
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

    /// Records that a target requests a backoff of unreadable length, which changes nothing. Returns whether to
    /// log that: once for each target, and for a limited number of them.
    pub fn note_invalid(&mut self, id: &str) -> bool {
        self.invalid.len() < MAX_INVALID && self.invalid.insert(id.to_owned())
    }

    /// Remaining backoff of a target in milliseconds; 0 if none is active.
    pub fn left(&self, now: Millis, (id, service): (&str, &str)) -> Millis {
        let known = self.by_service.get(service).and_then(|it| it.get(id));
        known.map_or(0, |it| it.until.saturating_sub(now))
    }

    /// Targets of a service with an active backoff, and its end in milliseconds.
    pub fn of_service<'a>(
        &'a self,
        now: Millis,
        service: &str,
    ) -> impl Iterator<Item = (&'a TargetId, Millis)> {
        let its = self.by_service.get(service).into_iter().flatten();
        its.map(|(id, it)| (id, it.until)).filter(move |it| now < it.1)
    }

    /// Drops the backoffs requested by earlier incarnations of a target than the one that started at `born`.
    pub fn new_life(&mut self, id: &str, born: Option<Millis>) {
        for of_service in self.by_service.values_mut() {
            if of_service.get(id).is_some_and(|it| it.born < born) {
                of_service.remove(id);
            }
        }
        self.by_service.retain(|_, it| !it.is_empty());
    }

    /// Removes expired backoffs.
    pub fn forget(&mut self, now: Millis) {
        self.by_service.values_mut().for_each(|it| it.retain(|_, it| now < it.until));
        self.by_service.retain(|_, it| !it.is_empty());
    }

    /// The number of targets with a recorded backoff; expired ones count until they are removed.
    pub fn len(&self) -> usize {
        self.by_service.values().map(HashMap::len).sum()
    }

    /// Whether no backoff is recorded.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }
}
