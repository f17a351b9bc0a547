//! Buffers response data that callers have not read yet.
//!
//! Targets abort responses that stay unread for some seconds, and crash when their own buffers outgrow their
//! memory, so a target's data is read at once and buffered here, up to a limit for each response and one for
//! the instance. At a limit, reading from the target pauses until the caller reads; a caller that reads nothing
//! until a timeout loses its response, and the buffer is freed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use hyper::body::Frame;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::ingress::answer::EndedEarly;

/// Maximum number of bytes buffered for one response: a stream of five hundred events of 60 bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 32 << 10;
/// Divisor of the machine's memory that gives the limit for the instance.
const MEMORY_DIVISOR: usize = 8;
/// How long a caller may read nothing while a limit is reached; shorter than the time after which a target
/// aborts its response.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long the end of a response that breaks off waits until its data is written.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// How long a write to a caller may be blocked. Longer than `READ_TIMEOUT`, so that the response is recorded as
/// unread before its connection is closed.
pub(crate) const WRITE_TIMEOUT: Duration = READ_TIMEOUT.saturating_mul(2);

/// Capacity of an instance for unread response data.
#[derive(Clone, Debug)]
pub(crate) struct UnreadBuffers {
    free: Arc<Semaphore>,
    capacity: usize,
}

/// Data of a response, counted against both limits until it is written to the caller's connection.
#[derive(Debug)]
pub(crate) struct Chunk {
    bytes: Bytes,
    _of_answer: OwnedSemaphorePermit,
    _of_instance: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why data was not passed on to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeliveryError {
    /// The caller has disconnected.
    Disconnected,
    /// The caller has read nothing until the timeout.
    ReadTimeout {
        /// Bytes buffered for it.
        buffered: usize,
        /// Whether the limit reached was that of the instance.
        is_full: bool,
    },
}

/// Sender of one response's data.
#[derive(Clone, Debug)]
pub(crate) struct ChunkSender {
    chunks: mpsc::UnboundedSender<Result<Chunk, EndedEarly>>,
    of_answer: Arc<Semaphore>,
    of_instance: Arc<Semaphore>,
}

impl UnreadBuffers {
    /// Creates the buffer capacity of an instance whose machine has `memory_mb` mebibytes of memory.
    pub(crate) fn new(memory_mb: f64) -> UnreadBuffers {
        let capacity =
            ((memory_mb * f64::from(1 << 20)) as usize / MEMORY_DIVISOR).max(MAX_RESPONSE_BYTES);
        UnreadBuffers { free: Arc::new(Semaphore::new(capacity)), capacity }
    }

    /// Bytes buffered for all callers.
    pub(crate) fn buffered(&self) -> usize {
        self.capacity - self.free.available_permits()
    }

    /// Counts bytes as buffered until the returned permit is dropped; `None` if there is no room for them.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = bytes.min(MAX_RESPONSE_BYTES) as u32;
        self.free.clone().try_acquire_many_owned(bytes).ok()
    }

    /// Creates the buffer of one response: its sender, and the body for the caller.
    pub(crate) fn channel(
        &self,
    ) -> (ChunkSender, impl Stream<Item = Result<Frame<Bytes>, EndedEarly>> + use<>) {
        let (chunks, received) = mpsc::unbounded_channel();
        let of_answer = Arc::new(Semaphore::new(MAX_RESPONSE_BYTES));
        let sender = ChunkSender { chunks, of_answer, of_instance: self.free.clone() };
        let frame = |it: Result<Chunk, EndedEarly>| it.map(|it| Frame::data(Bytes::from_owner(it)));
        (sender, UnboundedReceiverStream::new(received).map(frame))
    }
}

impl ChunkSender {
    /// Buffers data for the caller, waiting for room.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or reads nothing until the timeout.
    pub(crate) async fn send(&self, mut bytes: Bytes) -> Result<(), DeliveryError> {
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(MAX_RESPONSE_BYTES));
            self.send_part(part).await?;
        }
        Ok(())
    }

    async fn send_part(&self, bytes: Bytes) -> Result<(), DeliveryError> {
        let room = tokio::time::timeout(READ_TIMEOUT, self.room(bytes.len()));
        let (of_answer, of_instance) = tokio::select! {
            it = room => match it {
                Ok(Some(it)) => it,
                Ok(None) => return Err(DeliveryError::Disconnected),
                Err(_) => return Err(self.unread(bytes.len())),
            },
            () = self.chunks.closed() => return Err(DeliveryError::Disconnected),
        };
        let chunk = Chunk { bytes, _of_answer: of_answer, _of_instance: of_instance };
        self.chunks.send(Ok(chunk)).map_err(|_| DeliveryError::Disconnected)
    }

    async fn room(&self, bytes: usize) -> Option<(OwnedSemaphorePermit, OwnedSemaphorePermit)> {
        // A part is at most `MAX_RESPONSE_BYTES` bytes long.
        let bytes = bytes as u32;
        let of_answer = self.of_answer.clone().acquire_many_owned(bytes).await.ok()?;
        let of_instance = self.of_instance.clone().acquire_many_owned(bytes).await.ok()?;
        Some((of_answer, of_instance))
    }

    fn unread(&self, bytes: usize) -> DeliveryError {
        let free = self.of_answer.available_permits();
        DeliveryError::ReadTimeout { buffered: MAX_RESPONSE_BYTES - free, is_full: bytes <= free }
    }

    /// Ends the response early with an error, after what was sent before has been written.
    pub(crate) async fn break_off(&self) {
        // An error closes the connection without a flush.
        let written = self.of_answer.acquire_many(MAX_RESPONSE_BYTES as u32);
        drop(tokio::time::timeout(FLUSH_TIME, written).await);
        // A caller that has disconnected needs no error.
        drop(self.chunks.send(Err(EndedEarly)));
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }
}
