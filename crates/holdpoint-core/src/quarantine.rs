//! Requests that end the targets that run them.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    num::ParseIntError,
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    directory::TargetId,
    ids::{Millis, Name},
};

/// Start of the keys of held requests in the store; the fingerprint follows.
pub const KEY_PREFIX: &str = "quarantine/";
/// Ends of targets after which a request is held. One or two may be chance: as 46 engines ended within 16 s
/// under a few such requests, 28 of 203 requests that broke off met two ends, and none three.
pub const ENDS: usize = 3;
/// Ends from which on all instances look out for a request's good end.
const WATCHED_ENDS: usize = 2;
/// Most ends that are kept of one request.
const MOST_ENDS: usize = 64;
/// How long a request is held, in milliseconds: callers repeat for seconds, and people have to mend
/// what ends their targets.
pub const HOLD_MS: Millis = 600_000;
/// How long the ends under a request count after the last of them, in milliseconds: as long as it would be
/// held.
const SUSPECT_MS: Millis = 600_000;
/// Most suspects: with two ends each about 2 MB, by the size of their fields. 40 engines that end at once with
/// 48 requests each make 2,000.
const MOST_SUSPECTS: usize = 8192;
/// Most requests that are held.
const MOST_HELD: usize = 1024;

/// What two requests have in common that ask for the same: caller, method, path and body, under
/// whatever ids they come and at whichever instance.
///
/// A cryptographic hash, so that nobody can make a request that is taken for another caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Fingerprint of a request: its parts are the organisation, the method, the host, the path with
    /// its query, and the body.
    pub fn new(parts: &[&[u8]]) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in parts {
            // With its length, so that no byte can move from one part to the next.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        Fingerprint(digest.iter().take(8).fold(0, |sum, it| sum << 8 | u64::from(*it)))
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseIntError> {
        u64::from_str_radix(text, 16).map(Fingerprint)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One life of a target: its id, and when that life began, as the target tells it in milliseconds of
/// Unix time; 0 where it does not tell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// Target.
    pub target: TargetId,
    /// When it was born.
    pub born: Millis,
}

/// A target that ended while it ran a request, as far as its caller can tell: the connection broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Request.
    pub fingerprint: Fingerprint,
    /// Service of the target.
    pub service: Name,
    /// Target.
    pub life: Life,
}

/// A request whose targets have ended.
#[derive(Clone, Debug, Default)]
struct Suspect {
    ends: Vec<EndedRun>,
    /// When it was last heard of.
    last: Millis,
    /// Whether the others were asked to look out for it.
    is_watched: bool,
}

/// A request that is held.
#[derive(Clone, Debug)]
struct Held {
    until: Millis,
    /// Targets that ended under it; none where another instance has found it.
    ends: Vec<EndedRun>,
}

/// What a good end of a request means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// Nothing.
    Nothing,
    /// Whoever judges its ends has to know of it.
    News,
    /// The request was held, and is no more.
    Released,
}

/// What was found of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Some targets have ended under it. Whoever sees it run to a good end says so.
    Watch(Fingerprint),
    /// It goes to no target for so many milliseconds.
    Hold(Fingerprint, Millis),
    /// It has run to a good end.
    Release(Fingerprint),
}

/// The requests under which targets have ended, and those that go to no target any more.
///
/// When a target ends, all that ran there is suspect. The request that ended it meets the next end at
/// the next target; its neighbours run to a good end elsewhere, which clears them. A request is held
/// once [`ENDS`] lives of targets have ended under it with no good end between, unless each of
/// them ended under a request that is held already.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    held: HashMap<Fingerprint, Held>,
}

impl Quarantine {
    /// Takes in that a target ended under a request; whether that was not known.
    pub fn ended(&mut self, now: Millis, run: EndedRun) -> bool {
        if let Some(it) = self.held.get_mut(&run.fingerprint) {
            return note_end(&mut it.ends, run);
        }
        self.make_room(now);
        let suspect = self.suspects.entry(run.fingerprint).or_default();
        if suspect.last + SUSPECT_MS <= now {
            *suspect = Suspect::default();
        }
        suspect.last = now;
        note_end(&mut suspect.ends, run)
    }

    /// Takes in that a request has run to a good end at a service. That says nothing of its ends at others:
    /// the stages of a request that ends its engines are made without harm.
    pub fn passed(&mut self, fingerprint: Fingerprint, service: &str) -> Passed {
        if let Some(it) = self.held.get(&fingerprint) {
            return match it.ends.iter().any(|it| it.service == service) {
                // It was a neighbour of one that ended its targets.
                true => {
                    self.held.remove(&fingerprint);
                    Passed::Released
                }
                false if it.ends.is_empty() => Passed::News,
                false => Passed::Nothing,
            };
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return Passed::Nothing };
        if suspect.ends.is_empty() {
            return Passed::News;
        }
        let before = suspect.ends.len();
        suspect.ends.retain(|it| it.service != service);
        let after = suspect.ends.len();
        if after == 0 {
            self.suspects.remove(&fingerprint);
        }
        if after == before { Passed::Nothing } else { Passed::News }
    }

    /// What is found by now and was not found before: requests to hold, and to watch.
    pub fn judge(&mut self, now: Millis) -> Vec<Verdict> {
        let of_held = self.held.values().flat_map(|it| &it.ends);
        let explained: HashSet<&Life> = of_held.map(|it| &it.life).collect();
        let is_guilty = |it: &Suspect| {
            ENDS <= it.ends.len() && it.ends.iter().any(|it| !explained.contains(&it.life))
        };
        let guilty = self.suspects.iter().filter(|it| is_guilty(it.1)).map(|it| *it.0);
        let guilty: Vec<Fingerprint> = guilty.collect();
        let mut verdicts = Vec::new();
        for fingerprint in guilty {
            let ends = self.suspects.remove(&fingerprint).unwrap_or_default().ends;
            self.hold(now, fingerprint, HOLD_MS);
            if let Some(it) = self.held.get_mut(&fingerprint) {
                it.ends = ends;
            }
            verdicts.push(Verdict::Hold(fingerprint, HOLD_MS));
        }
        for (fingerprint, suspect) in &mut self.suspects {
            if WATCHED_ENDS <= suspect.ends.len() && !suspect.is_watched {
                suspect.is_watched = true;
                verdicts.push(Verdict::Watch(*fingerprint));
            }
        }
        verdicts
    }

    /// Takes in what another instance has found; whether that was not known.
    pub fn told(&mut self, now: Millis, verdict: Verdict) -> bool {
        match verdict {
            Verdict::Hold(it, ms) => self.hold(now, it, ms),
            Verdict::Release(it) => {
                let was_suspect = self.suspects.remove(&it).is_some();
                self.held.remove(&it).is_some() || was_suspect
            }
            Verdict::Watch(it) => {
                self.make_room(now);
                let suspect = self.suspects.entry(it).or_default();
                suspect.last = now;
                !std::mem::replace(&mut suspect.is_watched, true)
            }
        }
    }

    /// Holds a request for so many milliseconds; whether it was not held.
    fn hold(&mut self, now: Millis, fingerprint: Fingerprint, ms: Millis) -> bool {
        self.held.retain(|_, it| now < it.until);
        let until = now + ms.min(HOLD_MS);
        if let Some(it) = self.held.get_mut(&fingerprint) {
            it.until = it.until.max(until);
            return false;
        }
        if MOST_HELD <= self.held.len()
            && let Some(first) = self.held.iter().min_by_key(|it| it.1.until).map(|it| *it.0)
        {
            self.held.remove(&first);
        }
        self.suspects.remove(&fingerprint);
        self.held.insert(fingerprint, Held { until, ends: Vec::new() });
        true
    }

    /// For how much longer a request is held, in milliseconds; `None` where it is not.
    pub fn held_ms(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let until = self.held.get(&fingerprint)?.until;
        (now < until).then(|| until - now)
    }

    /// Whether a good end of a request is of interest.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint) || self.held.contains_key(&fingerprint)
    }

    /// Whether a request's work shares no call with that of others, so that the next end would hit
    /// itself only.
    pub fn runs_alone(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|it| it.is_watched)
            || self.held.contains_key(&fingerprint)
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.held.is_empty()
    }

    /// Ends at a service that no request is held for.
    pub fn ends_at<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndedRun> {
        let ends = self.suspects.values().flat_map(|it| &it.ends);
        ends.filter(move |it| it.service == service)
    }

    /// Forgets what is over. As long as anything is known, each request that comes is hashed.
    pub fn forget(&mut self, now: Millis) {
        self.suspects.retain(|_, it| now < it.last + SUSPECT_MS);
        self.held.retain(|_, it| now < it.until);
    }

    /// Forgets the oldest suspects where there are too many.
    fn make_room(&mut self, now: Millis) {
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        self.forget(now);
        let mut oldest: Vec<_> = self.suspects.iter().map(|(it, of)| (of.last, *it)).collect();
        oldest.sort_unstable();
        for (_, it) in
            oldest.into_iter().take(self.suspects.len().saturating_sub(MOST_SUSPECTS / 2))
        {
            self.suspects.remove(&it);
        }
    }
}

/// Adds the end of a life that is not known yet; whether it was not.
fn note_end(ends: &mut Vec<EndedRun>, run: EndedRun) -> bool {
    let is_new = ends.len() < MOST_ENDS && ends.iter().all(|it| it.life != run.life);
    if is_new {
        ends.push(run);
    }
    is_new
}
