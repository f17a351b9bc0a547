//! Records in the store of the versions that services have had, for the case that all instances are lost.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use holdpoint_adapter::store::RESOURCES_TOPIC;
use holdpoint_core::{
    ids::{Millis, Name},
    stream_versions::TargetVersion,
};
use serde::{Deserialize, Serialize};

use super::{MAX_STREAM_MS, StreamOrigins};
use crate::ingress::{peers::Owners, shared::IngressShared, store::unix_ms};

/// Time from the start of an instance until it has found its peers, so that one instance writes the records of services with
/// a single version.
const SETTLE_TIME: Duration = Duration::from_millis(2000);
/// How long the record in the store that a service has several versions is valid, in milliseconds. Longer than the
/// clocks of machines differ.
const MIXED_VALID_MS: Millis = 15_000;
/// Longest validity of a record that is believed, in milliseconds: the clocks of machines differ by seconds.
const MAX_AHEAD_MS: Millis = MIXED_VALID_MS + 30_000;
/// Remaining validity at which that record is written again, in milliseconds.
const MIXED_REFRESH_MS: Millis = 10_000;
/// Prefix of the keys of these records; the name of the service follows.
const KEY_PREFIX: &str = "versions/";

/// Record in the store of the versions that a service has had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    /// Until when the service may have several, in milliseconds of Unix time.
    until: Millis,
    /// The version, if it has had only one for as long as a stream may run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    only: Option<TargetVersion>,
}

impl VersionRecord {
    fn mixed() -> VersionRecord {
        VersionRecord { until: unix_ms() + MIXED_VALID_MS, only: None }
    }

    fn single(version: &TargetVersion) -> VersionRecord {
        VersionRecord { until: 0, only: Some(version.clone()) }
    }

    /// Parses a record; `None` for one that no instance has written, which would be valid for ever.
    fn parse(value: &[u8]) -> Option<VersionRecord> {
        let record: VersionRecord = serde_json::from_slice(value).ok()?;
        (record.until <= unix_ms() + MAX_AHEAD_MS).then_some(record)
    }

    /// Whether the service has had several versions within the longest time of a stream.
    fn is_recent(&self) -> bool {
        unix_ms() < self.until + MAX_STREAM_MS
    }

    /// Whether it need not be written again while the service has several versions.
    fn stays_mixed(&self) -> bool {
        unix_ms() + MIXED_REFRESH_MS < self.until
    }

    /// Whether the service may have had another version than this one within the longest time of a stream.
    fn contradicts(&self, version: &TargetVersion) -> bool {
        self.is_recent() || self.names_other(version)
    }

    /// Whether it had another one when the record was written.
    fn names_other(&self, version: &TargetVersion) -> bool {
        self.only.as_ref().is_some_and(|it| it != version)
    }
}

impl StreamOrigins {
    /// Whether the store tells that some service has had several versions within the longest time of a stream.
    pub(super) fn has_recent_record(&self) -> bool {
        let stored = self.stored.lock();
        stored.values().any(|it| VersionRecord::parse(it).is_some_and(|it| it.is_recent()))
    }

    fn record_of(&self, service: &str) -> Option<VersionRecord> {
        self.stored.lock().get(&key_of(service)).and_then(|it| VersionRecord::parse(it))
    }

    /// Whether the store tells that a service may have had another version within the longest time of a stream.
    pub(super) fn is_contradicted(&self, service: &str, version: &TargetVersion) -> bool {
        self.record_of(service).is_some_and(|it| it.contradicts(version))
    }
}

/// Writes the records that the store lacks or has outdated, if this instance owns them.
pub(super) fn write_due(shared: &Arc<IngressShared>, now: Millis) {
    for (service, record) in due(shared, now) {
        let key = key_of(&service);
        if shared.peers.owner_of(Owners::Any, &key).is_none() {
            tokio::spawn(write_record(shared.clone(), key, record));
        }
    }
}

fn due(shared: &IngressShared, now: Millis) -> Vec<(Name, VersionRecord)> {
    let origins = &shared.origins;
    let history = origins.history.lock();
    let mixed = history.mixed(now, MAX_STREAM_MS);
    let single = history.single(now, MAX_STREAM_MS);
    drop(history);
    let mut due = Vec::new();
    for service in mixed {
        if !origins.record_of(&service).is_some_and(|it| it.stays_mixed()) {
            due.push((service, VersionRecord::mixed()));
        }
    }
    let has_read = *shared.reading.borrow() && origins.is_store_read();
    if !has_read || shared.uptime() < SETTLE_TIME {
        return due;
    }
    for (service, version) in single {
        match origins.record_of(&service) {
            Some(it) if it.names_other(&version) => due.push((service, VersionRecord::mixed())),
            Some(it) if it.only.is_some() || it.is_recent() => (),
            // Before, streams of other versions may be left that began when no instance ran that is left.
            Some(_) if shared.uptime() < Duration::from_millis(MAX_STREAM_MS) => (),
            _ => due.push((service, VersionRecord::single(&version))),
        }
    }
    due
}

/// Applies a record of the store. Returns `None` if the key is of another kind, else whether it has changed.
pub(crate) fn apply_stored(
    shared: &IngressShared,
    key: &str,
    value: Option<Bytes>,
) -> Option<bool> {
    key.strip_prefix(KEY_PREFIX)?;
    let mut stored = shared.origins.stored.lock();
    if stored.get(key) == value.as_ref() {
        return Some(false);
    }
    match value {
        Some(it) => drop(stored.insert(key.to_owned(), it)),
        None => drop(stored.remove(key)),
    }
    Some(true)
}

/// Writes a record on the versions of a service. A failed write is repeated by the next review.
async fn write_record(shared: Arc<IngressShared>, key: String, record: VersionRecord) {
    let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
    if shared.store_client().append(RESOURCES_TOPIC, &key, &value).await.is_ok() {
        shared.set_resource(&key, Some(value));
    }
}

fn key_of(service: &str) -> String {
    format!("{KEY_PREFIX}{service}")
}
