//! Which software version of a service's targets began a stream, and which versions a service has had.
//!
//! What two versions write does not fit together, so a stream is continued only by the version that began it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    directory::TargetId,
    event_split::EventId,
    ids::{Millis, Name},
    subset::hashed_weight,
};

/// Version of a target's software; empty if its entry states none.
pub type TargetVersion = String;

/// Maximum number of streams kept: over ten times what an instance holds for its peers at the peak of 7,400 requests
/// per second over 350 instances.
const MAX_STREAMS: usize = 32_768;
/// Longest time for which a stream is kept, in milliseconds.
const MAX_KEPT_MS: Millis = 120_000;

/// Identifies a stream over its caller's attempts: a hash of the organisation and the id of the attempt that brought
/// its first event. Two organisations may use the same ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Hashes an organisation and the id of an attempt.
    pub fn new(organisation: &str, attempt: &str) -> StreamKey {
        let mut hash = Sha256::new();
        hash.update((organisation.len() as u64).to_be_bytes());
        hash.update(organisation);
        hash.update(attempt);
        let digest = hash.finalize();
        StreamKey(digest.iter().take(8).fold(0, |sum, it| sum << 8 | u64::from(*it)))
    }
}

/// How a request continues a stream. A target gets a caller's last event only with it, so that none continues a stream
/// without a check of its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// Version that began the stream.
    pub version: TargetVersion,
    /// Id of the last event that the caller has received, if it had one.
    pub last_event: Option<EventId>,
}

/// A request for a stream that was sent to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub key: StreamKey,
    /// Version of the target.
    pub version: TargetVersion,
    /// Number of the send. Until the first event another version may take the request; the last one counts.
    pub send: u32,
    /// How long the caller may still resume the stream, in milliseconds.
    pub left_ms: Millis,
}

#[derive(Clone, Debug)]
struct Entry {
    version: TargetVersion,
    send: u32,
    until: Millis,
}

/// The versions that began streams.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    entries: HashMap<StreamKey, Entry>,
    /// The same streams, in the order in which they expire.
    expiring: BTreeSet<(Millis, StreamKey)>,
}

impl StreamVersions {
    /// Records a send. One that was made before the known one changes nothing.
    pub fn record(&mut self, now: Millis, origin: StreamOrigin) {
        let StreamOrigin { key, version, send, left_ms } = origin;
        let mut until = now + left_ms.min(MAX_KEPT_MS);
        if let Some(known) = self.entries.get(&key) {
            if send < known.send {
                return;
            }
            until = until.max(known.until);
            self.expiring.remove(&(known.until, key));
        }
        self.expiring.insert((until, key));
        self.entries.insert(key, Entry { version, send, until });
        self.remove_expired(now);
        while MAX_STREAMS < self.entries.len() {
            let Some((_, first)) = self.expiring.pop_first() else { break };
            self.entries.remove(&first);
        }
    }

    /// The version that began a stream.
    pub fn get(&self, now: Millis, key: StreamKey) -> Option<&TargetVersion> {
        self.entries.get(&key).filter(|it| now < it.until).map(|it| &it.version)
    }

    /// All streams that callers may still resume.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = StreamOrigin> {
        self.entries.iter().filter(move |it| now < it.1.until).map(move |(key, it)| StreamOrigin {
            key: *key,
            version: it.version.clone(),
            send: it.send,
            left_ms: it.until - now,
        })
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Millis) {
        while let Some((until, key)) = self.expiring.first().copied()
            && until <= now
        {
            self.expiring.pop_first();
            self.entries.remove(&key);
        }
    }
}

/// Targets of one version of a service.
#[derive(Clone, Debug)]
struct ListedVersion {
    service: Name,
    version: TargetVersion,
    /// Number of its targets in the list.
    targets: usize,
    /// When its last target left the list, in milliseconds.
    left_at: Millis,
}

/// The versions that the listed targets of each service have, and had a while ago.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Position of each target's version.
    targets: HashMap<TargetId, usize>,
    versions: Vec<ListedVersion>,
}

impl VersionHistory {
    /// Records the entry of a target.
    pub fn put(&mut self, now: Millis, id: &str, service: &str, version: &str) {
        if let Some(it) = self.targets.get(id).map(|it| &self.versions[*it])
            && it.service == service
            && it.version == version
        {
            return;
        }
        self.remove(now, id);
        let is_same = |it: &ListedVersion| it.service == service && it.version == version;
        let position = self.versions.iter().position(is_same).unwrap_or_else(|| {
            let listed = ListedVersion {
                service: service.to_owned(),
                version: version.to_owned(),
                targets: 0,
                left_at: 0,
            };
            let is_old = |it: &ListedVersion| it.targets == 0 && it.left_at + MAX_KEPT_MS <= now;
            let free = self.versions.iter().position(is_old).unwrap_or(self.versions.len());
            match self.versions.get_mut(free) {
                Some(it) => *it = listed,
                None => self.versions.push(listed),
            }
            free
        });
        self.versions[position].targets += 1;
        self.targets.insert(id.to_owned(), position);
    }

    /// Records that a target has left the list.
    pub fn remove(&mut self, now: Millis, id: &str) {
        let Some(position) = self.targets.remove(id) else { return };
        let it = &mut self.versions[position];
        it.targets -= 1;
        it.left_at = now;
    }

    /// Versions of a service that were listed within the last `window_ms` milliseconds.
    pub fn recent<'a>(
        &'a self,
        now: Millis,
        service: &'a str,
        window_ms: Millis,
    ) -> impl Iterator<Item = &'a TargetVersion> {
        let is_recent = move |it: &&ListedVersion| it.targets != 0 || now < it.left_at + window_ms;
        let of_service = self.versions.iter().filter(move |it| it.service == service);
        of_service.filter(is_recent).map(|it| &it.version)
    }

    /// The only version of a service that was listed within the last `window_ms` milliseconds.
    pub fn only(&self, now: Millis, service: &str, window_ms: Millis) -> Option<TargetVersion> {
        let mut recent = self.recent(now, service, window_ms);
        let only = recent.next()?;
        recent.next().is_none().then(|| only.clone())
    }

    /// Services with a single version within the last `window_ms` milliseconds, and that version.
    pub fn single(&self, now: Millis, window_ms: Millis) -> BTreeMap<Name, TargetVersion> {
        let services: BTreeSet<&Name> = self.versions.iter().map(|it| &it.service).collect();
        let single = |it: &Name| Some((it.clone(), self.only(now, it, window_ms)?));
        services.into_iter().filter_map(single).collect()
    }

    /// Services with several versions within the last `window_ms` milliseconds.
    pub fn mixed(&self, now: Millis, window_ms: Millis) -> BTreeSet<Name> {
        let services = self.versions.iter().map(|it| &it.service);
        let is_mixed = |it: &&Name| 1 < self.recent(now, it, window_ms).count();
        services.filter(is_mixed).cloned().collect()
    }
}

/// Positions of the instances that keep the origin of a stream, given the hash and the failure domain of each
/// candidate: those of highest rendezvous weight, in as many failure domains as possible. Whoever tells them passes its
/// own domain as `avoided`; the first ones of other domains are among those that any instance asks.
pub fn holders<'a>(
    key: StreamKey,
    candidates: impl Iterator<Item = (u64, &'a str)>,
    avoided: Option<&'a str>,
    count: usize,
) -> Vec<usize> {
    let candidates = candidates.enumerate();
    let mut ranked: Vec<(u64, usize, &str)> = candidates
        .map(|(index, (hash, domain))| (hashed_weight(key.0, hash), index, domain))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut domains: Vec<&str> = avoided.into_iter().collect();
    let mut chosen: Vec<usize> = Vec::new();
    for (_, index, domain) in &ranked {
        if chosen.len() < count && !domains.contains(domain) {
            domains.push(domain);
            chosen.push(*index);
        }
    }
    for (_, index, _) in &ranked {
        if chosen.len() < count && !chosen.contains(index) {
            chosen.push(*index);
        }
    }
    chosen
}
