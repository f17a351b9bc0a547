//! Quarantine of requests that crash the targets that run them.
//!
//! When a target crashes, each request that ran there becomes a suspect. A request under which several
//! incarnations of targets have crashed, without a success in between, is sent to no target for some time.
//!
//! The cause may also be a part that many prompts have in common. So the shared parts of the prompts that a target had
//! not begun to answer are suspects as well, each under a fingerprint of its own.

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
    prompt::{Part, Prompt},
};

/// Prefix of the keys of quarantined requests in the store; the fingerprint follows.
pub const KEY_PREFIX: &str = "quarantine/";
/// Number of crashes after which a request is quarantined. Innocent requests may meet one or two by chance: when 46
/// engines crashed within 16 s under a few requests, 28 of the 203 requests that broke off met two, and none three.
pub const QUARANTINE_CRASHES: usize = 3;
/// Number of crashes from which on all instances report a request's success.
const WATCH_CRASHES: usize = 2;
/// Largest ratio of the crashes that two parts explain at which the more special one is preferred.
const COMPARABLE_FACTOR: usize = 2;
/// Targets that crash within this time of each other may have a cause in common, such as a rack, and count once against a
/// part of prompts, in milliseconds. Their crashes are reported at times that differ by up to this.
const SAME_MOMENT_MS: Millis = 300;
/// How long a part of a prompt counts as answered, in milliseconds.
const ANSWERED_MS: Millis = 1500;
/// Maximum number of parts that count as answered.
const MAX_ANSWERED: usize = 4096;
/// Maximum number of crashes kept for one request.
const MAX_CRASHES: usize = 64;
/// How long a request is quarantined, in milliseconds: longer than callers retry, and long enough for
/// operators to react.
pub const QUARANTINE_MS: Millis = 600_000;
/// How long the crashes under a request count after the last of them, in milliseconds.
const SUSPECT_RETENTION_MS: Millis = 600_000;
/// Maximum number of suspects: about 2 MB with two crashes each. 40 engines that crash at once with 48 requests each
/// make 2,000.
const MAX_SUSPECTS: usize = 8192;
/// Maximum number of quarantined requests.
const MAX_QUARANTINED: usize = 1024;

/// Identifies repetitions of the same request at any instance, whatever their request ids: a hash of
/// organisation, method, host, path and body.
///
/// The hash is cryptographic, so that nobody can craft a request that is treated as another caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Hashes a request's parts: the organisation, the method, the host, the path with its query, and the
    /// body.
    pub fn new(parts: &[&[u8]]) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in parts {
            // The length is hashed as well, so that no byte can move from one part to the next.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        Fingerprint(digest.iter().take(8).fold(0, |sum, it| sum << 8 | u64::from(*it)))
    }
}

impl Fingerprint {
    /// Fingerprints of the parts of a prompt that other requests may share, in their order. A part is another one for
    /// another model or service.
    pub fn of_parts(service: &str, prompt: &Prompt) -> Vec<Fingerprint> {
        let of = |part: &Part| {
            let id = part.id.to_be_bytes();
            Fingerprint::new(&[b"part", service.as_bytes(), prompt.model.as_bytes(), &id])
        };
        prompt.shared_parts().iter().map(of).collect()
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

/// One incarnation of a target: its id and its start time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Target.
    pub target: TargetId,
    /// Start time that the target reports, in milliseconds of Unix time; 0 if it reports none.
    pub born: Millis,
}

/// A crash of a target while it ran a request, seen by the caller as a broken connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Request.
    pub fingerprint: Fingerprint,
    /// Service of the target.
    pub service: Name,
    /// Incarnation of the target that crashed.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Set if the fingerprint is that of a part of the request's prompt. Instances with an earlier protocol take it for
    /// that of a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<PromptPart>,
}

/// A part of the prompt of a request under which a target has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The request.
    pub request: Fingerprint,
    /// Position of the part in the prompt.
    pub position: u32,
}

/// A request under which targets have crashed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<CrashedRun>,
    last_seen: Millis,
    /// Number of moments at which targets crashed under it, and the last of them.
    moments: (usize, Millis),
    /// Whether all instances have been asked to report its success.
    is_watched: bool,
}

impl Suspect {
    fn is_part(&self) -> bool {
        self.crashes.iter().any(|it| it.part.is_some())
    }

    /// Last position of the part in a prompt; 0 for a request.
    fn position(&self) -> u32 {
        self.crashes.iter().filter_map(|it| Some(it.part?.position)).max().unwrap_or(0)
    }
}

/// A quarantined request.
#[derive(Clone, Debug)]
struct QuarantineEntry {
    until: Millis,
    /// Crashes under it; none if another instance quarantined it.
    crashes: Vec<CrashedRun>,
}

/// Effect of a request's success on the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessEffect {
    /// No effect.
    Nothing,
    /// The instance that judges its crashes has to be informed.
    Report,
    /// The request has been released from quarantine.
    Released,
}

/// A decision on a request, sent to all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Some targets have crashed under it; instances report if it succeeds.
    Watch(Fingerprint),
    /// It is quarantined for this many milliseconds.
    Hold(Fingerprint, Millis),
    /// It has succeeded and is cleared.
    Release(Fingerprint),
}

/// The suspected and the quarantined requests.
///
/// When a target crashes, all requests that ran there are suspects. The one at fault also crashes the next
/// target, while its neighbours succeed elsewhere, which clears them. A request is quarantined once
/// [`QUARANTINE_CRASHES`] incarnations of targets have crashed under it without a success in between, unless all of
/// those crashes are explained by a request that is already quarantined.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Crashes whose target was not yet checked to be gone, with the time of their record.
    unconfirmed: HashMap<Incarnation, Millis>,
    suspects: HashMap<Fingerprint, Suspect>,
    quarantined: HashMap<Fingerprint, QuarantineEntry>,
}

impl Quarantine {
    /// Records a crash of a target under a request. Returns whether it is a new one.
    pub fn record_crash(&mut self, now: Millis, run: CrashedRun) -> bool {
        self.unconfirmed.entry(run.incarnation.clone()).or_insert(now);
        if let Some(it) = self.quarantined.get_mut(&run.fingerprint) {
            return add_crash(&mut it.crashes, run);
        }
        self.evict_suspects(now);
        let suspect = self.suspects.entry(run.fingerprint).or_default();
        if suspect.last_seen + SUSPECT_RETENTION_MS <= now {
            *suspect = Suspect::default();
        }
        suspect.last_seen = now;
        let is_new = add_crash(&mut suspect.crashes, run);
        let (moments, last) = suspect.moments;
        if is_new && (moments == 0 || last + SAME_MOMENT_MS <= now) {
            suspect.moments = (moments + 1, now);
        }
        is_new
    }

    /// Records that a request succeeded at a service. Crashes at other services still count: a request that
    /// crashes one stage's targets may pass all other stages.
    pub fn record_success(&mut self, fingerprint: Fingerprint, service: &str) -> SuccessEffect {
        if let Some(it) = self.quarantined.get(&fingerprint) {
            return match it.crashes.iter().any(|it| it.service == service) {
                // It only ran beside the request that crashed its targets.
                true => {
                    self.quarantined.remove(&fingerprint);
                    SuccessEffect::Released
                }
                false if it.crashes.is_empty() => SuccessEffect::Report,
                false => SuccessEffect::Nothing,
            };
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return SuccessEffect::Nothing;
        };
        if suspect.crashes.is_empty() {
            return SuccessEffect::Report;
        }
        let before = suspect.crashes.len();
        suspect.crashes.retain(|it| it.service != service);
        let after = suspect.crashes.len();
        if after == 0 {
            self.suspects.remove(&fingerprint);
        }
        if after == before { SuccessEffect::Nothing } else { SuccessEffect::Report }
    }

    /// Records that a target of a service has answered a prompt with this part. Unlike a request, a part belongs to one
    /// service, so that a single report clears it; the judge asks for others if it becomes a suspect again.
    pub fn record_part_answered(&mut self, part: Fingerprint, service: &str) -> SuccessEffect {
        let effect = self.record_success(part, service);
        self.suspects.remove(&part);
        effect
    }

    /// Incarnations recorded as crashed at least `age` milliseconds ago. Each is returned once.
    pub fn take_unconfirmed(&mut self, now: Millis, age: Millis) -> Vec<Incarnation> {
        let due = self.unconfirmed.extract_if(|_, it| *it + age <= now);
        due.map(|it| it.0).collect()
    }

    /// Records that an incarnation of a target is alive, so that it has not crashed: an instance, or all of them, had
    /// only lost the path to it. Returns the requests that are released from quarantine by this.
    pub fn record_alive(&mut self, incarnation: &Incarnation) -> Vec<Fingerprint> {
        for it in self.suspects.values_mut() {
            it.crashes.retain(|it| it.incarnation != *incarnation);
        }
        self.suspects.retain(|_, it| !it.crashes.is_empty() || it.is_watched);
        let mut released = Vec::new();
        self.quarantined.retain(|fingerprint, it| {
            let before = it.crashes.len();
            it.crashes.retain(|it| it.incarnation != *incarnation);
            let is_held = it.crashes.len() == before || QUARANTINE_CRASHES <= it.crashes.len();
            if !is_held {
                released.push(*fingerprint);
            }
            is_held
        });
        released
    }

    /// Returns new decisions: requests and parts to quarantine, which takes effect here at once, and to watch.
    pub fn judge(&mut self, now: Millis) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        while let Some(it) = self.culprit_part() {
            verdicts.push(self.hold(now, it));
        }
        let known_crashes = self.quarantined.values().flat_map(|it| &it.crashes);
        let explained: HashSet<&Incarnation> = known_crashes.map(|it| &it.incarnation).collect();
        let is_over_limit = |it: &Suspect| {
            !it.is_part()
                && QUARANTINE_CRASHES <= it.crashes.len()
                && it.crashes.iter().any(|it| !explained.contains(&it.incarnation))
        };
        let culprits = self.suspects.iter().filter(|it| is_over_limit(it.1)).map(|it| *it.0);
        let culprits: Vec<Fingerprint> = culprits.collect();
        for fingerprint in culprits {
            verdicts.push(self.hold(now, fingerprint));
        }
        for (fingerprint, suspect) in &mut self.suspects {
            if WATCH_CRASHES <= suspect.crashes.len() && !suspect.is_watched {
                suspect.is_watched = true;
                verdicts.push(Verdict::Watch(*fingerprint));
            }
        }
        verdicts
    }

    /// The part that explains most crashes: several that no quarantined part explains, at different moments and under
    /// different requests, since one request alone is quarantined by its content. Of parts that explain a comparable number, the last one of the
    /// prompt is preferred: the first ones are shared by more requests, which crash with others.
    fn culprit_part(&self) -> Option<Fingerprint> {
        let held = self.quarantined.values().flat_map(|it| &it.crashes);
        let explained: HashSet<&Incarnation> =
            held.filter(|it| it.part.is_some()).map(|it| &it.incarnation).collect();
        let unexplained = |of: &Suspect| {
            let crashes: Vec<&CrashedRun> =
                of.crashes.iter().filter(|it| !explained.contains(&it.incarnation)).collect();
            let requests: HashSet<Fingerprint> =
                crashes.iter().filter_map(|it| Some(it.part?.request)).collect();
            (1 < requests.len()).then_some(crashes.len())
        };
        let candidates: Vec<(usize, u32, Fingerprint)> = self
            .suspects
            .iter()
            .filter(|it| it.1.is_part() && QUARANTINE_CRASHES <= it.1.moments.0)
            .filter_map(|(fingerprint, it)| Some((unexplained(it)?, it.position(), *fingerprint)))
            .filter(|it| QUARANTINE_CRASHES <= it.0)
            .collect();
        let most = candidates.iter().map(|it| it.0).max()?;
        let explains_most = candidates.iter().filter(|it| most <= COMPARABLE_FACTOR * it.0);
        explains_most.max_by_key(|it| (it.1, it.0, it.2)).map(|it| it.2)
    }

    /// Quarantines a suspect of this instance, with the crashes that it explains.
    fn hold(&mut self, now: Millis, fingerprint: Fingerprint) -> Verdict {
        let crashes = self.suspects.remove(&fingerprint).unwrap_or_default().crashes;
        self.quarantine(now, fingerprint, QUARANTINE_MS);
        if let Some(it) = self.quarantined.get_mut(&fingerprint) {
            it.crashes = crashes;
        }
        Verdict::Hold(fingerprint, QUARANTINE_MS)
    }

    /// Applies a decision of another instance. Returns whether it was not known before.
    pub fn apply_verdict(&mut self, now: Millis, verdict: Verdict) -> bool {
        match verdict {
            Verdict::Hold(it, ms) => self.quarantine(now, it, ms),
            Verdict::Release(it) => {
                let was_suspect = self.suspects.remove(&it).is_some();
                self.quarantined.remove(&it).is_some() || was_suspect
            }
            Verdict::Watch(it) => {
                self.evict_suspects(now);
                let suspect = self.suspects.entry(it).or_default();
                suspect.last_seen = now;
                !std::mem::replace(&mut suspect.is_watched, true)
            }
        }
    }

    /// Quarantines a request for `ms` milliseconds. Returns whether it was not quarantined before.
    fn quarantine(&mut self, now: Millis, fingerprint: Fingerprint, ms: Millis) -> bool {
        self.quarantined.retain(|_, it| now < it.until);
        let until = now + ms.min(QUARANTINE_MS);
        if let Some(it) = self.quarantined.get_mut(&fingerprint) {
            it.until = it.until.max(until);
            return false;
        }
        if MAX_QUARANTINED <= self.quarantined.len()
            && let Some(first) = self.quarantined.iter().min_by_key(|it| it.1.until).map(|it| *it.0)
        {
            self.quarantined.remove(&first);
        }
        self.suspects.remove(&fingerprint);
        self.quarantined.insert(fingerprint, QuarantineEntry { until, crashes: Vec::new() });
        true
    }

    /// Remaining quarantine of a request in milliseconds; `None` if it is not quarantined.
    pub fn remaining_ms(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let until = self.quarantined.get(&fingerprint)?.until;
        (now < until).then(|| until - now)
    }

    /// Whether a request is suspected or quarantined, so that its success has to be recorded.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint) || self.quarantined.contains_key(&fingerprint)
    }

    /// Whether a request's work items must not share a batch with those of others, so that the next crash
    /// affects no other request.
    pub fn runs_alone(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|it| it.is_watched)
            || self.quarantined.contains_key(&fingerprint)
    }

    /// Whether any request is quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantined.is_empty()
    }

    /// Whether no request is suspected or quarantined.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.quarantined.is_empty()
    }

    /// Crashes at a service under requests that are not quarantined.
    pub fn crashes_at<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a CrashedRun> {
        let crashes = self.suspects.values().flat_map(|it| &it.crashes);
        crashes.filter(move |it| it.service == service)
    }

    /// Removes expired entries. While any entry remains, each incoming request has to be hashed.
    pub fn remove_expired(&mut self, now: Millis) {
        self.suspects.retain(|_, it| now < it.last_seen + SUSPECT_RETENTION_MS);
        self.quarantined.retain(|_, it| now < it.until);
    }

    /// Evicts the oldest suspects if there are too many.
    fn evict_suspects(&mut self, now: Millis) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.remove_expired(now);
        let mut oldest: Vec<_> = self.suspects.iter().map(|(it, of)| (of.last_seen, *it)).collect();
        oldest.sort_unstable();
        for (_, it) in oldest.into_iter().take(self.suspects.len().saturating_sub(MAX_SUSPECTS / 2))
        {
            self.suspects.remove(&it);
        }
    }
}

/// Adds a crash unless one of the same incarnation is known. Returns whether it was added.
fn add_crash(crashes: &mut Vec<CrashedRun>, run: CrashedRun) -> bool {
    let is_new =
        crashes.len() < MAX_CRASHES && crashes.iter().all(|it| it.incarnation != run.incarnation);
    if is_new {
        crashes.push(run);
    }
    is_new
}

/// Parts of prompts that targets have answered not long ago. A crash does not make them suspects.
#[derive(Clone, Debug, Default)]
pub struct AnsweredParts {
    answered: HashMap<Fingerprint, Millis>,
}

impl AnsweredParts {
    /// Records that a target answers a prompt with these parts.
    pub fn record(&mut self, now: Millis, parts: &[Fingerprint]) {
        if MAX_ANSWERED < self.answered.len() + parts.len() {
            self.answered.retain(|_, at| now < *at + ANSWERED_MS);
        }
        if self.answered.len() + parts.len() <= MAX_ANSWERED {
            self.answered.extend(parts.iter().map(|it| (*it, now)));
        }
    }

    /// Whether a target has answered a prompt with this part not long ago.
    pub fn contains(&self, now: Millis, part: Fingerprint) -> bool {
        self.answered.get(&part).is_some_and(|at| now < *at + ANSWERED_MS)
    }
}
