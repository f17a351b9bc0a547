//! Proof that a request was not run.
//!
//! A [`Ledger`] counts the calls sent for one request. [`NotRun`] has no public constructor. It is returned
//! only by closing a ledger without sent calls, after which no call can be sent.

use std::sync::atomic::{AtomicU64, Ordering};

/// Top bit of the state, set once the ledger is closed.
const CLOSED_BIT: u64 = 1 << 63;

/// Counts the calls sent for one request.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Number of calls that may have been sent; the top bit is set once closed.
    state: AtomicU64,
}

/// A call that may have been sent. It stays counted when dropped.
#[derive(Debug)]
#[must_use]
pub struct CallGuard<'a> {
    ledger: &'a Ledger,
}

/// Proof that no call was sent for a request and that none will be.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun(());

/// Proof that an answer belongs to the call that it was received for.
///
/// A target may send more than one answer to a request. The later one arrives in the place of the answer to the next
/// request on the connection, and says nothing about that request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnAnswer(());

/// Error: at least one call may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MayHaveRun;

impl Ledger {
    /// Creates an open ledger without sent calls.
    pub fn new() -> Ledger {
        Ledger::default()
    }

    /// Counts a call as sent. Returns `None` if the ledger is closed; the call must not be sent then.
    pub fn begin(&self) -> Option<CallGuard<'_>> {
        let add = |state: u64| (state & CLOSED_BIT == 0).then_some(state + 1);
        self.state.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(CallGuard { ledger: self })
    }

    /// Closes the ledger for good; returns the proof if no call was sent.
    pub fn close(&self) -> Result<NotRun, MayHaveRun> {
        let before = self.state.fetch_or(CLOSED_BIT, Ordering::AcqRel);
        if before & !CLOSED_BIT == 0 { Ok(NotRun(())) } else { Err(MayHaveRun) }
    }
}

impl OwnAnswer {
    /// Compares the id in an answer with the id that was sent. `None` if they differ, also if only one of them is
    /// there.
    pub fn check(sent: Option<&str>, answered: Option<&str>) -> Option<OwnAnswer> {
        (sent == answered).then_some(OwnAnswer(()))
    }
}

impl CallGuard<'_> {
    /// Uncounts the call, whose connection was never made, so that no byte of it was sent.
    pub fn never_sent(self) {
        self.ledger.state.fetch_sub(1, Ordering::AcqRel);
    }

    /// Uncounts the call, which the target has reported as not run and never to be run.
    pub fn declined(self, _: &OwnAnswer) {
        self.ledger.state.fetch_sub(1, Ordering::AcqRel);
    }
}
