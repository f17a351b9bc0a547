//! Bounds the memory that the bodies of requests take. A process that uses up its machine's memory is ended, with all
//! requests that it has accepted.

use std::{error::Error, sync::Arc};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Divisor of the machine's memory that gives the room for bodies.
const MEMORY_DIVISOR: usize = 4;
/// Longest body that is not counted, in bytes: it has room in the memory of its connection.
const SHORT_BYTES: usize = 16 << 10;

/// Room for the bodies of an instance's requests.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    free: Arc<Semaphore>,
}

/// A body, counted until the last reference to it is dropped.
struct CountedBody {
    bytes: BytesMut,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being read.
struct PartialBody<'a> {
    memory: &'a BodyMemory,
    bytes: BytesMut,
    room: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    /// Creates the room of an instance whose machine has `memory_mb` mebibytes of memory; 0 is unknown, and no bound.
    pub(crate) fn new(memory_mb: f64) -> BodyMemory {
        let capacity = match memory_mb {
            0.0 => usize::MAX,
            it => (it * f64::from(1 << 20)) as usize / MEMORY_DIVISOR,
        };
        BodyMemory { free: Arc::new(Semaphore::new(capacity.min(Semaphore::MAX_PERMITS))) }
    }

    /// Reads a body to its end. Returns `None` if there is no room for it; nothing is kept of it then.
    pub(crate) async fn read(
        &self,
        mut body: Limited<Incoming>,
    ) -> Result<Option<Bytes>, Box<dyn Error + Send + Sync>> {
        let mut read = PartialBody { memory: self, bytes: BytesMut::new(), room: None };
        let stated = body.size_hint().exact().unwrap_or(0) as usize;
        let mut read = read.grow(stated).then_some(read);
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame?.into_data() else { continue };
            let Some(it) = &mut read else { continue };
            if it.grow(part.len()) {
                it.bytes.extend_from_slice(&part);
            } else {
                read = None;
            }
        }
        Ok(read.map(PartialBody::into_bytes))
    }

    fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        self.free.clone().try_acquire_many_owned(u32::try_from(bytes).ok()?).ok()
    }
}

impl PartialBody<'_> {
    /// Makes room for more bytes; returns whether there is any.
    fn grow(&mut self, more: usize) -> bool {
        let (needed, capacity) = (self.bytes.len() + more, self.bytes.capacity());
        if needed <= capacity {
            return true;
        }
        // Doubled, as the buffer would be.
        let capacity = needed.max(2 * capacity);
        if SHORT_BYTES < capacity {
            let counted = self.room.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
            let Some(room) = self.memory.reserve(capacity - counted) else { return false };
            match &mut self.room {
                Some(it) => it.merge(room),
                None => self.room = Some(room),
            }
        }
        self.bytes.reserve(capacity - self.bytes.len());
        true
    }

    fn into_bytes(self) -> Bytes {
        match self.room {
            Some(room) => Bytes::from_owner(CountedBody { bytes: self.bytes, _room: room }),
            None => self.bytes.freeze(),
        }
    }
}
