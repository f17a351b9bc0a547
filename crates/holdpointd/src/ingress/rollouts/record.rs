//! What must outlive the driver of a roll-out: its record in a topic of our own, and the status that
//! operators read. Both are written under the condition that nobody else has written meanwhile, so of
//! two drivers one wins, and one that was paused changes nothing when it wakes.

use std::{sync::Arc, time::Duration};

use holdpoint_adapter::{
    rollouts::{Status, key, parse_status, status_bytes},
    store::{KeyedRecord, ROLLOUTS_TOPIC, STATUS_TOPIC},
};
use holdpoint_core::{
    evacuation::Horizon,
    ids::{Millis, Name},
    rollout::Phase,
};
use holdpoint_schema::ingress::IngressSettings;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::ingress::store::{Eras, StoreClient, StoreError};

/// What a driver records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Record {
    /// Offset of the order.
    pub(super) order: Horizon,
    /// Instance that drives it, and its life.
    pub(super) driver: Name,
    pub(super) life: String,
    /// How it has ended; waiting where it has not.
    pub(super) phase: Phase,
    /// Permits that are given, or may be.
    pub(super) spent: u64,
    /// When the order's time is over, by the clock on the wall, in milliseconds.
    pub(super) until: Millis,
}

/// Why a record was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unwritten {
    /// Another one has written first.
    Fenced,
    /// It may have been written or not.
    Store(StoreError),
}

impl From<StoreError> for Unwritten {
    fn from(error: StoreError) -> Unwritten {
        match error {
            StoreError::Refused(StatusCode::PRECONDITION_FAILED) => Unwritten::Fenced,
            other => Unwritten::Store(other),
        }
    }
}

/// Reads and writes records and statuses.
pub(super) struct Records {
    client: StoreClient,
}

impl Records {
    /// Makes one that has not connected yet.
    pub(super) fn new(settings: &IngressSettings, eras: Arc<Eras>) -> Records {
        let store = &settings.store;
        let timeout = Duration::from_millis(store.timeout_ms);
        Records { client: StoreClient::new(&store.address, timeout, eras) }
    }

    /// Reads the record of a service, and where its topic ends.
    pub(super) async fn read(
        &mut self,
        service: &str,
    ) -> Result<(Option<Record>, u64), StoreError> {
        let (records, end) = self.client.newest(ROLLOUTS_TOPIC).await?;
        let value = value_of(&records, service);
        // A record that cannot be read is as good as none: whoever drives next writes a new one.
        Ok((value.and_then(|it| serde_json::from_slice(it).ok()), end))
    }

    /// Writes the record of a service if its topic still ends there; where it ends then.
    pub(super) async fn write(
        &mut self,
        service: &str,
        record: &Record,
        end: u64,
    ) -> Result<u64, Unwritten> {
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.client.append_at(ROLLOUTS_TOPIC, service, &value, end).await?;
        Ok(end + 1)
    }

    /// Tells operators where a roll-out stands, unless its record is of another order by now.
    pub(super) async fn tell(
        &mut self,
        service: &str,
        order: Horizon,
        status: &Status,
    ) -> Result<(), Unwritten> {
        let (statuses, end) = self.client.newest(STATUS_TOPIC).await?;
        let told = value_of(&statuses, &key(service)).map(|it| parse_status(it));
        if told.is_some_and(|it| it.as_ref() == Ok(status)) {
            return Ok(());
        }
        // Read after the statuses: a driver of a later order writes its record before its status.
        let (record, _) = self.read(service).await?;
        if record.is_none_or(|it| it.order != order) {
            return Err(Unwritten::Fenced);
        }
        self.client.append_at(STATUS_TOPIC, &key(service), &status_bytes(status), end).await?;
        Ok(())
    }
}

fn value_of<'a>(records: &'a [KeyedRecord], key: &str) -> Option<&'a bytes::Bytes> {
    records.iter().find(|it| it.key == key).and_then(|it| it.value.as_ref())
}
