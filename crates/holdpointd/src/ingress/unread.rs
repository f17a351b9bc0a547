//! What is kept for callers who have not read it yet.
//!
//! A caller may read slowly, or not at all, while its target goes on sending. A target gives up on an answer
//! that stays unread for some seconds, and falls over when what it holds grows beyond its memory, so what it
//! sends is taken from it and kept here, up to a bound for each answer and one for the instance. At a bound
//! no more is read from the target until the caller has taken something; one that takes nothing for a while
//! loses its answer, and all that is kept for it is given back.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use hyper::body::Frame;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::ingress::answer::BrokenOff;

/// Most bytes that are kept of one answer: a stream of five hundred events of 60 bytes.
pub(crate) const MOST_EACH: usize = 32 << 10;
/// Part of the machine's memory that all of it may take.
const MEMORY_PART: usize = 8;
/// How long a caller may take nothing while a bound is reached: less than the seconds after which a target
/// gives up on its answer.
const PATIENCE: Duration = Duration::from_millis(2500);

/// Bytes that may still be kept on an instance.
#[derive(Clone, Debug)]
pub(crate) struct Unread {
    free: Arc<Semaphore>,
    most: usize,
}

/// Bytes of an answer, which count until the caller's connection takes them.
#[derive(Debug)]
pub(crate) struct Chunk {
    bytes: Bytes,
    _of_answer: OwnedSemaphorePermit,
    _of_instance: OwnedSemaphorePermit,
}

/// Why a chunk was not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotPassed {
    /// The caller has left.
    Gone,
    /// The caller has taken nothing for too long.
    Unread {
        /// Bytes that are kept for it.
        kept: usize,
        /// Whether it was the instance's bound that was reached.
        is_full: bool,
    },
}

/// Takes the chunks of one answer.
#[derive(Clone, Debug)]
pub(crate) struct Keeper {
    chunks: mpsc::UnboundedSender<Result<Chunk, BrokenOff>>,
    of_answer: Arc<Semaphore>,
    of_instance: Arc<Semaphore>,
}

impl Unread {
    /// Makes the account of an instance whose machine has so many megabytes of memory.
    pub(crate) fn new(memory_mb: f64) -> Unread {
        let most = ((memory_mb * f64::from(1 << 20)) as usize / MEMORY_PART).max(MOST_EACH);
        Unread { free: Arc::new(Semaphore::new(most)), most }
    }

    /// Bytes that are kept for all callers.
    pub(crate) fn kept(&self) -> usize {
        self.most - self.free.available_permits()
    }

    /// Counts bytes that are held until what this returns is dropped; `None` where there is no room for them.
    pub(crate) fn count(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = bytes.min(MOST_EACH) as u32;
        self.free.clone().try_acquire_many_owned(bytes).ok()
    }

    /// Makes a channel for one answer: the side that takes its chunks, and its body.
    pub(crate) fn channel(
        &self,
    ) -> (Keeper, impl Stream<Item = Result<Frame<Bytes>, BrokenOff>> + use<>) {
        let (chunks, received) = mpsc::unbounded_channel();
        let of_answer = Arc::new(Semaphore::new(MOST_EACH));
        let keeper = Keeper { chunks, of_answer, of_instance: self.free.clone() };
        let frame = |it: Result<Chunk, BrokenOff>| it.map(|it| Frame::data(it.bytes));
        (keeper, UnboundedReceiverStream::new(received).map(frame))
    }
}

impl Keeper {
    /// Keeps bytes for the caller, once there is room for them.
    pub(crate) async fn send(&self, mut bytes: Bytes) -> Result<(), NotPassed> {
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(MOST_EACH));
            self.send_part(part).await?;
        }
        Ok(())
    }

    async fn send_part(&self, bytes: Bytes) -> Result<(), NotPassed> {
        let room = tokio::time::timeout(PATIENCE, self.room(bytes.len()));
        let (of_answer, of_instance) = tokio::select! {
            it = room => match it {
                Ok(Some(it)) => it,
                Ok(None) => return Err(NotPassed::Gone),
                Err(_) => return Err(self.unread(bytes.len())),
            },
            () = self.chunks.closed() => return Err(NotPassed::Gone),
        };
        let chunk = Chunk { bytes, _of_answer: of_answer, _of_instance: of_instance };
        self.chunks.send(Ok(chunk)).map_err(|_| NotPassed::Gone)
    }

    async fn room(&self, bytes: usize) -> Option<(OwnedSemaphorePermit, OwnedSemaphorePermit)> {
        // A part is no longer than the bound of an answer.
        let bytes = bytes as u32;
        let of_answer = self.of_answer.clone().acquire_many_owned(bytes).await.ok()?;
        let of_instance = self.of_instance.clone().acquire_many_owned(bytes).await.ok()?;
        Some((of_answer, of_instance))
    }

    fn unread(&self, bytes: usize) -> NotPassed {
        let free = self.of_answer.available_permits();
        NotPassed::Unread { kept: MOST_EACH - free, is_full: bytes <= free }
    }

    /// Breaks the answer off.
    pub(crate) fn break_off(&self) {
        // A caller who is gone needs no sign.
        drop(self.chunks.send(Err(BrokenOff)));
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }
}
