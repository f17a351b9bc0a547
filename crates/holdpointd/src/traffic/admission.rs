//! Admission control: passes requests to the gate and wakes those that wait there.

use std::{collections::HashMap, sync::Arc, time::Duration};

use holdpoint_core::{
    admit::{Ask, Gate, Offer, Refusal, Signal, Ticket},
    ids::{Millis, Name},
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::shared::Shared;

/// Interval between checks of the waiting requests against their deadlines.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Inner {
    gate: Gate,
    waiters: HashMap<Ticket, oneshot::Sender<bool>>,
}

/// The gate with the requests waiting at it.
#[derive(Debug)]
pub(crate) struct Admission {
    inner: Mutex<Inner>,
}

/// A refusal, with the time in milliseconds after which the caller may retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) reason: Refusal,
    pub(crate) retry_after: Millis,
}

/// Permit of an admitted request; dropping it ends the request at the gate.
pub(crate) struct Admitted {
    shared: Arc<Shared>,
    organisation: Name,
    signal: Signal,
}

impl Admission {
    pub(crate) fn new(ceiling: usize) -> Admission {
        Admission { inner: Mutex::new(Inner { gate: Gate::new(ceiling), waiters: HashMap::new() }) }
    }

    fn done(&self, now: Millis, organisation: &str, signal: Signal) {
        let mut inner = self.inner.lock();
        let mut tickets = inner.gate.done(now, organisation, signal);
        while let Some(ticket) = tickets.pop() {
            let waiter = inner.waiters.remove(&ticket);
            let is_gone = waiter.is_none_or(|it| it.send(true).is_err());
            if is_gone {
                // The waiting caller has disconnected; admit the next request.
                tickets.extend(inner.gate.done(now, organisation, Signal::Silent));
            }
        }
    }

    fn expire(&self, now: Millis) {
        let mut inner = self.inner.lock();
        for ticket in inner.gate.expire(now) {
            if let Some(it) = inner.waiters.remove(&ticket) {
                let _ = it.send(false);
            }
        }
    }
}

/// Admits a request, now or after a wait, or refuses it.
pub(crate) async fn admit(shared: &Arc<Shared>, ask: &Ask<'_>) -> Result<Admitted, Refused> {
    let admission = &shared.traffic.admission;
    let admitted = || Admitted {
        shared: shared.clone(),
        organisation: ask.organisation.to_owned(),
        signal: Signal::Silent,
    };
    let receiver = {
        let mut inner = admission.inner.lock();
        match inner.gate.offer(shared.clock.now(), ask) {
            Offer::Admit => return Ok(admitted()),
            Offer::Refuse { reason, retry_after } => return Err(Refused { reason, retry_after }),
            Offer::Defer(ticket) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiters.insert(ticket, sender);
                receiver
            }
        }
    };
    match receiver.await {
        Ok(true) => Ok(admitted()),
        Ok(false) | Err(_) => Err(Refused { reason: Refusal::Overload, retry_after: 1000 }),
    }
}

/// Periodically refuses waiting requests that can no longer meet their deadline; never returns.
pub(crate) async fn expire_waiting(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        shared.traffic.admission.expire(shared.clock.now());
    }
}

impl Admitted {
    /// Sets the load that the request's targets reported.
    pub(crate) fn set_signal(&mut self, signal: Signal) {
        self.signal = signal;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.traffic.admission.done(now, &self.organisation, self.signal);
    }
}
