//! Admission: which requests run now, which wait, and which are refused at once.
//!
//! The gate bounds the requests in flight by a limit that follows what the targets report (additive
//! increase, multiplicative decrease): a queue at the targets means that more is let through than
//! they can run. Requests wait here instead, where they can still be ordered and refused: in a
//! queue for each organisation, the least work first. Queues are served by start-time fair
//! queueing, so that a burst of one organisation lengthens its own queue only. A request whose wait
//! and work would pass its deadline is refused at once, with the time after which the queue would
//! have room for it.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::ids::{Millis, Name};

/// Identifies a request that waits.
pub type Ticket = u64;

/// Steps of virtual time that one request of an organisation with share 1 takes.
const STRIDE: u64 = 1 << 20;
/// Least time between two decreases of the limit, in milliseconds.
const DECREASE_MS: Millis = 100;
/// Factor of one decrease for a full target.
const DECREASE: f64 = 0.9;
/// A queue at a target weighs so many times as much as none: the limit comes to rest where one
/// answer in four has seen a queue, which keeps the targets' batches full.
const QUEUE_WEIGHT: f64 = 8.0;
/// A target that runs so many times as many calls as wait there has no queue.
const NO_QUEUE: u32 = 4;
/// Limit at the start and lowest limit.
const GROWTH: f64 = 4.0;
const START: f64 = 32.0;
const LOWEST: f64 = 4.0;
/// Time over which completions are counted, in milliseconds.
const COUNT_MS: Millis = 200;
/// Weight of the newest count.
const NEWEST: f64 = 0.3;
/// Shortest `Retry-After`, in milliseconds.
const LEAST_RETRY_MS: Millis = 1000;

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Organisation.
    pub organisation: &'a str,
    /// Its weight in fair sharing.
    pub share: u32,
    /// Most requests that it may have in flight on this instance.
    pub cap: u32,
    /// Wall-clock time by which the answer must be whole.
    pub deadline: Millis,
    /// Time that the work usually takes, in milliseconds.
    pub need: Millis,
}

/// What the end of a request says about the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Signal {
    /// Nothing: it ended before a target was asked, or for another reason than load.
    #[default]
    Silent,
    /// Its targets had no queue.
    Clear,
    /// A target had a queue.
    Queued,
    /// A target had a queue as long as what it ran.
    Full,
}

impl Signal {
    /// What a target's report says. A few calls that wait are no queue: they have come since the
    /// last step of the batch.
    pub fn of_load(running: u32, waiting: u32) -> Signal {
        if NO_QUEUE * waiting <= running {
            Signal::Clear
        } else if waiting < running {
            Signal::Queued
        } else {
            Signal::Full
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The organisation has as many requests in flight as it may.
    OrganisationLimit,
    /// The work alone would pass the deadline.
    Hopeless,
    /// The wait and the work would pass the deadline.
    Overload,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It runs now.
    Admit,
    /// It waits; a completion or [`Gate::expire`] names its ticket.
    Defer(Ticket),
    /// It is refused.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When to come back, in milliseconds from now.
        retry_after: Millis,
    },
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    need: Millis,
    latest: Millis,
}

#[derive(Debug, Default)]
struct Queue {
    in_flight: u32,
    share: u32,
    virtual_time: u64,
    waiting: VecDeque<Waiting>,
}

/// Bounds the requests in flight on one instance.
#[derive(Debug)]
pub struct Gate {
    limit: f64,
    /// Whether the limit still doubles: no target has shown a queue yet.
    is_starting: bool,
    ceiling: f64,
    in_flight: usize,
    queues: HashMap<Name, Queue>,
    /// Organisations with requests that wait, by virtual time.
    ready: BTreeSet<(u64, Name)>,
    /// Sum of the shares of those organisations, and of the requests that wait.
    ready_shares: u64,
    waiting: usize,
    virtual_now: u64,
    next_ticket: Ticket,
    gap_ms: f64,
    counted: u32,
    counted_since: Millis,
    last_decrease: Millis,
}

impl Gate {
    /// Makes a gate that never lets more than `ceiling` requests through at once.
    pub fn new(ceiling: usize) -> Gate {
        Gate {
            limit: START.min(ceiling as f64),
            is_starting: true,
            ceiling: ceiling as f64,
            in_flight: 0,
            queues: HashMap::new(),
            ready: BTreeSet::new(),
            ready_shares: 0,
            waiting: 0,
            virtual_now: 0,
            next_ticket: 1,
            gap_ms: 0.0,
            counted: 0,
            counted_since: 0,
            last_decrease: 0,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Limit now in force.
    pub fn limit(&self) -> usize {
        (self.limit as usize).max(1)
    }

    /// Organisations with a request in flight or waiting.
    pub fn organisations(&self) -> usize {
        self.queues.len()
    }

    /// Decides on a request.
    pub fn offer(&mut self, now: Millis, ask: &Ask<'_>) -> Offer {
        let refuse = |reason, retry_after: Millis| Offer::Refuse {
            reason,
            retry_after: retry_after.max(LEAST_RETRY_MS),
        };
        if ask.deadline < now + ask.need {
            self.forget(ask.organisation);
            return refuse(Refusal::Hopeless, ask.need);
        }
        let wait = self.expected_wait(ask);
        let is_full = self.limit() <= self.in_flight;
        let virtual_now = self.virtual_now;
        let queue = self.queues.entry(ask.organisation.to_owned()).or_default();
        // A share that changes while requests wait counts from the next queue on.
        if queue.waiting.is_empty() {
            queue.share = ask.share.max(1);
        }
        if ask.cap <= queue.in_flight + queue.waiting.len() as u32 {
            self.forget(ask.organisation);
            return refuse(Refusal::OrganisationLimit, wait);
        }
        if !is_full && self.ready.is_empty() {
            queue.in_flight += 1;
            queue.virtual_time = queue.virtual_time.max(virtual_now) + stride(queue.share);
            self.in_flight += 1;
            return Offer::Admit;
        }
        if ask.deadline < now + wait + ask.need {
            self.forget(ask.organisation);
            return refuse(Refusal::Overload, wait);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_now);
            self.ready.insert((queue.virtual_time, ask.organisation.to_owned()));
            self.ready_shares += u64::from(queue.share);
        }
        self.waiting += 1;
        let place = queue.waiting.partition_point(|it| it.need <= ask.need);
        let latest = ask.deadline - ask.need;
        queue.waiting.insert(place, Waiting { ticket, need: ask.need, latest });
        Offer::Defer(ticket)
    }

    /// Ends a request and returns the tickets that run now.
    pub fn done(&mut self, now: Millis, organisation: &str, signal: Signal) -> Vec<Ticket> {
        self.learn(now, signal);
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(queue) = self.queues.get_mut(organisation) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
        }
        self.forget(organisation);
        self.fill()
    }

    /// Removes the requests that can no longer make their deadline and returns their tickets.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        self.drop_waiting(|it| it.latest < now)
    }

    fn drop_waiting(&mut self, is_over: impl Fn(&Waiting) -> bool) -> Vec<Ticket> {
        let mut dropped = Vec::new();
        let mut empty = Vec::new();
        for (_, name) in &self.ready {
            let queue = self.queues.get_mut(name).expect("a ready organisation has a queue");
            dropped.extend(queue.waiting.iter().filter(|it| is_over(it)).map(|it| it.ticket));
            queue.waiting.retain(|it| !is_over(it));
            if queue.waiting.is_empty() {
                empty.push((queue.virtual_time, name.clone()));
                self.ready_shares -= u64::from(queue.share);
            }
        }
        self.waiting -= dropped.len();
        for key in empty {
            self.ready.remove(&key);
            self.forget(&key.1);
        }
        dropped
    }

    fn fill(&mut self) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.in_flight < self.limit() {
            let Some((time, name)) = self.ready.pop_first() else { break };
            self.virtual_now = self.virtual_now.max(time);
            let queue = self.queues.get_mut(&name).expect("a ready organisation has a queue");
            let Some(first) = queue.waiting.pop_front() else { continue };
            self.waiting -= 1;
            admitted.push(first.ticket);
            queue.in_flight += 1;
            queue.virtual_time = time + stride(queue.share);
            self.in_flight += 1;
            if queue.waiting.is_empty() {
                self.ready_shares -= u64::from(queue.share);
            } else {
                self.ready.insert((queue.virtual_time, name));
            }
        }
        admitted
    }

    /// Wait of one more request of an organisation: those of its own queue that go first, and of
    /// the other queues as many as fair queueing serves in the meantime, or all that wait there.
    /// Sums stand for the queues one by one: with 25,000 of them, looking at each cost a request
    /// more than its work.
    fn expected_wait(&self, ask: &Ask<'_>) -> Millis {
        let own = self.queues.get(ask.organisation).filter(|it| !it.waiting.is_empty());
        let first = own.map_or(0, |it| it.waiting.partition_point(|it| it.need <= ask.need)) + 1;
        let own_waiting = own.map_or(0, |it| it.waiting.len());
        let own_share = own.map_or(0, |it| u64::from(it.share));
        let other_shares = (self.ready_shares - own_share) as f64 / f64::from(ask.share.max(1));
        let before = (first as f64 * other_shares).min((self.waiting - own_waiting) as f64);
        ((first as f64 + before) * self.gap_ms) as Millis
    }

    fn learn(&mut self, now: Millis, signal: Signal) {
        let is_busy = self.limit() <= self.in_flight;
        self.count(now, is_busy);
        match signal {
            Signal::Clear if is_busy => {
                let step = if self.is_starting { 1.0 } else { GROWTH / self.limit };
                self.limit = (self.limit + step).min(self.ceiling);
            }
            Signal::Queued => {
                self.is_starting = false;
                self.limit = (self.limit - QUEUE_WEIGHT / self.limit).max(LOWEST);
            }
            Signal::Full if self.last_decrease + DECREASE_MS <= now => {
                self.is_starting = false;
                self.limit = (self.limit.min(self.in_flight as f64) * DECREASE).max(LOWEST);
                self.last_decrease = now;
            }
            Signal::Clear | Signal::Full | Signal::Silent => (),
        }
    }

    /// Counts a completion. Only a time during which the gate was busy throughout says how fast
    /// requests can end.
    fn count(&mut self, now: Millis, is_busy: bool) {
        if !is_busy {
            self.counted = 0;
            self.counted_since = now;
            return;
        }
        self.counted += 1;
        let span = now.saturating_sub(self.counted_since);
        if span < COUNT_MS {
            return;
        }
        let gap = span as f64 / f64::from(self.counted);
        self.gap_ms =
            if self.gap_ms == 0.0 { gap } else { self.gap_ms + NEWEST * (gap - self.gap_ms) };
        self.counted = 0;
        self.counted_since = now;
    }

    fn forget(&mut self, organisation: &str) {
        let idle = |it: &Queue| it.in_flight == 0 && it.waiting.is_empty();
        if self.queues.get(organisation).is_some_and(idle) {
            self.queues.remove(organisation);
        }
    }
}

fn stride(share: u32) -> u64 {
    STRIDE / u64::from(share.max(1))
}
