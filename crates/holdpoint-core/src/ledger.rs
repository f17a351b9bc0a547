//! Proof that a request was not run.
//!
//! A [`Ledger`] counts the calls sent for one request. [`NotRun`] has no public constructor: the
//! only way to one is to close a ledger under which nothing was sent, after which nothing can be.

use std::sync::atomic::{AtomicU64, Ordering};

const CLOSED: u64 = 1 << 63;

/// Counts the calls sent for one request.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Calls begun and not known to be unsent; the top bit is set once closed.
    word: AtomicU64,
}

/// A call that may have been sent; dropping it leaves it counted.
#[derive(Debug)]
#[must_use]
pub struct Begun<'a> {
    ledger: &'a Ledger,
}

/// Proof that no call was sent for a request and that none will be.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun(());

/// At least one call may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MayHaveRun;

impl Ledger {
    /// Makes an open ledger with nothing sent.
    pub fn new() -> Ledger {
        Ledger::default()
    }

    /// Counts a call as sent; `None` where the ledger is closed and the call must not be made.
    pub fn begin(&self) -> Option<Begun<'_>> {
        let add = |word: u64| (word & CLOSED == 0).then_some(word + 1);
        self.word.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Begun { ledger: self })
    }

    /// Closes the ledger for good and returns the proof where nothing was sent.
    pub fn close(&self) -> Result<NotRun, MayHaveRun> {
        let before = self.word.fetch_or(CLOSED, Ordering::AcqRel);
        if before & !CLOSED == 0 { Ok(NotRun(())) } else { Err(MayHaveRun) }
    }
}

impl Begun<'_> {
    /// Takes the call back: its connection was never made, so no byte of it left this process.
    pub fn never_sent(self) {
        self.ledger.word.fetch_sub(1, Ordering::AcqRel);
    }

    /// Takes the call back on the target's own word that it has not run it and never will.
    pub fn declined(self) {
        self.ledger.word.fetch_sub(1, Ordering::AcqRel);
    }
}
