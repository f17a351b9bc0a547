//! Persistent state of a roll-out: the driver's record in an internal topic, and the status that operators
//! read. Writes are conditional on the end of the topic, so that only one of two drivers succeeds, and a
//! driver that resumes after a pause overwrites nothing.

use std::{sync::Arc, time::Duration};

use holdpoint_adapter::{
    rollouts::{Status, key, parse_status, status_bytes},
    store::{KeyedRecord, ROLLOUTS_TOPIC, STATUS_TOPIC},
};
use holdpoint_core::{
    evacuation::LogOffset,
    ids::{Millis, Name},
    rollout::Phase,
};
use holdpoint_schema::ingress::IngressSettings;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::ingress::{
    counted_stream::ByteCounter,
    store::{StoreClient, StoreEpochs, StoreError},
};

/// State that a driver persists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Record {
    /// Offset of the order.
    pub(super) order: LogOffset,
    /// Instance that drives it, and its incarnation.
    pub(super) driver: Name,
    pub(super) life: String,
    /// Final phase; `Waiting` while the roll-out is running.
    pub(super) phase: Phase,
    /// Number of permits granted or reserved.
    pub(super) spent: u64,
    /// Deadline of the order, in milliseconds of Unix time.
    pub(super) until: Millis,
}

/// Why a record was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteError {
    /// Another writer was first.
    Fenced,
    /// The call of the store failed; whether the record was written is unknown.
    Store(StoreError),
}

impl From<StoreError> for WriteError {
    fn from(error: StoreError) -> WriteError {
        match error {
            StoreError::Refused(StatusCode::PRECONDITION_FAILED) => WriteError::Fenced,
            other => WriteError::Store(other),
        }
    }
}

/// Reads and writes records and statuses.
pub(super) struct Records {
    client: StoreClient,
}

impl Records {
    /// Creates a client that is not connected yet.
    pub(super) fn new(
        settings: &IngressSettings,
        epochs: Arc<StoreEpochs>,
        traffic: ByteCounter,
    ) -> Records {
        let store = &settings.store;
        let timeout = Duration::from_millis(store.timeout_ms);
        Records { client: StoreClient::new(&store.address, timeout, epochs, traffic) }
    }

    /// Reads the record of a service and the end offset of its topic.
    pub(super) async fn read(
        &mut self,
        service: &str,
    ) -> Result<(Option<Record>, u64), StoreError> {
        let (records, end) = self.client.newest(ROLLOUTS_TOPIC).await?.complete()?;
        let value = value_of(&records, service);
        // An unreadable record is treated as missing: the next driver writes a new one.
        Ok((value.and_then(|it| serde_json::from_slice(it).ok()), end))
    }

    /// Writes the record of a service if its topic still ends at `end`; returns the new end offset.
    pub(super) async fn write(
        &mut self,
        service: &str,
        record: &Record,
        end: u64,
    ) -> Result<u64, WriteError> {
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.client.append_at(ROLLOUTS_TOPIC, service, &value, end).await?;
        Ok(end + 1)
    }

    /// Writes the status that operators read, unless the record belongs to another order.
    pub(super) async fn write_status(
        &mut self,
        service: &str,
        order: LogOffset,
        status: &Status,
    ) -> Result<(), WriteError> {
        let (statuses, end) = self.client.newest(STATUS_TOPIC).await?.complete()?;
        let published = value_of(&statuses, &key(service)).map(|it| parse_status(it));
        if published.is_some_and(|it| it.as_ref() == Ok(status)) {
            return Ok(());
        }
        // Read after the statuses, as a driver of a later order writes its record before its status.
        let (record, _) = self.read(service).await?;
        if record.is_none_or(|it| it.order != order) {
            return Err(WriteError::Fenced);
        }
        self.client.append_at(STATUS_TOPIC, &key(service), &status_bytes(status), end).await?;
        Ok(())
    }
}

fn value_of<'a>(records: &'a [KeyedRecord], key: &str) -> Option<&'a bytes::Bytes> {
    records.iter().find(|it| it.key == key).and_then(|it| it.value.as_ref())
}
