//! Concurrency limit and fair queueing of requests on one instance.
//!
//! The gate limits the requests in flight by additive increase and multiplicative decrease, driven by the
//! queues that targets report. Other requests wait in a queue per organisation, shortest first; the queues
//! are served by start-time fair queueing, so that a burst of one organisation delays only itself. A
//! request that cannot meet its deadline after the expected wait is refused at once, with a `Retry-After`.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::ids::{Millis, Name};

/// Identifies a waiting request.
pub type Ticket = u64;

/// Virtual time that one request of an organisation with share 1 takes.
const STRIDE: u64 = 1 << 20;
/// Minimum time between two multiplicative decreases of the limit, in milliseconds.
const MIN_DECREASE_GAP_MS: Millis = 100;
/// Factor of one decrease, applied when a target is full.
const DECREASE_FACTOR: f64 = 0.9;
/// A completion that saw a queue decreases the limit by this value divided by the limit. It exceeds
/// `INCREASE`, so that the limit settles where a minority of completions see a queue, which keeps the
/// targets' batches full.
const QUEUED_DECREASE: f64 = 8.0;
/// Ratio of running to waiting calls from which on a target counts as having no queue.
const NO_QUEUE_RATIO: u32 = 4;
/// A completion that saw no queue increases the limit by this value divided by the limit.
const INCREASE: f64 = 4.0;
/// Initial limit, in requests.
const INITIAL_LIMIT: f64 = 32.0;
/// Lower bound of the limit, in requests.
const MIN_LIMIT: f64 = 4.0;
/// Minimum window over which the completion interval is measured, in milliseconds.
const COUNT_WINDOW_MS: Millis = 200;
/// EWMA weight of the newest completion interval.
const INTERVAL_WEIGHT: f64 = 0.3;
/// Lower bound of `Retry-After`, in milliseconds.
const MIN_RETRY_MS: Millis = 1000;

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Name of the organisation.
    pub organisation: &'a str,
    /// Its weight in fair sharing.
    pub share: u32,
    /// Upper bound of its requests in flight or waiting on this instance.
    pub cap: u32,
    /// Wall-clock time by which the response must be complete.
    pub deadline: Millis,
    /// Usual service time of the request, in milliseconds.
    pub need: Millis,
}

/// Load observed at the end of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Signal {
    /// Unknown: it ended before a call to a target, or for a reason other than load.
    #[default]
    Silent,
    /// No target had a queue.
    Clear,
    /// A target had a queue.
    Queued,
    /// A target had at least as many calls waiting as running.
    Full,
}

impl Signal {
    /// Signal of a target's load report. A small share of waiting calls is not a queue: they arrived
    /// since the last step of the batch.
    pub fn of_load(running: u32, waiting: u32) -> Signal {
        if NO_QUEUE_RATIO * waiting <= running {
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
    /// The organisation has reached its cap.
    OrganisationLimit,
    /// The service time alone exceeds the deadline.
    Hopeless,
    /// The expected wait and the service time exceed the deadline.
    Overload,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The request runs now.
    Admit,
    /// The request waits until [`Gate::done`] or [`Gate::expire`] returns its ticket.
    Defer(Ticket),
    /// The request is refused.
    Refuse {
        /// Reason of the refusal.
        reason: Refusal,
        /// Time after which to retry, in milliseconds.
        retry_after: Millis,
    },
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    need: Millis,
    latest_start: Millis,
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
    /// Whether the limit is in slow start: no target has had a queue yet.
    is_starting: bool,
    ceiling: f64,
    in_flight: usize,
    queues: HashMap<Name, Queue>,
    /// Organisations with waiting requests, by virtual time.
    ready: BTreeSet<(u64, Name)>,
    /// Sum of the shares of the organisations in `ready`.
    ready_shares: u64,
    waiting: usize,
    virtual_now: u64,
    next_ticket: Ticket,
    interval_ms: f64,
    counted: u32,
    counted_since: Millis,
    last_decrease: Millis,
}

impl Gate {
    /// Creates a gate that admits at most `ceiling` requests at once.
    pub fn new(ceiling: usize) -> Gate {
        Gate {
            limit: INITIAL_LIMIT.min(ceiling as f64),
            is_starting: true,
            ceiling: ceiling as f64,
            in_flight: 0,
            queues: HashMap::new(),
            ready: BTreeSet::new(),
            ready_shares: 0,
            waiting: 0,
            virtual_now: 0,
            next_ticket: 1,
            interval_ms: 0.0,
            counted: 0,
            counted_since: 0,
            last_decrease: 0,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Current limit of the requests in flight.
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
            retry_after: retry_after.max(MIN_RETRY_MS),
        };
        if ask.deadline < now + ask.need {
            self.remove_if_idle(ask.organisation);
            return refuse(Refusal::Hopeless, ask.need);
        }
        let wait = self.expected_wait(ask);
        let is_full = self.limit() <= self.in_flight;
        let virtual_now = self.virtual_now;
        let queue = self.queues.entry(ask.organisation.to_owned()).or_default();
        // A changed share applies only while the queue is empty, to keep `ready_shares` consistent.
        if queue.waiting.is_empty() {
            queue.share = ask.share.max(1);
        }
        if ask.cap <= queue.in_flight + queue.waiting.len() as u32 {
            self.remove_if_idle(ask.organisation);
            return refuse(Refusal::OrganisationLimit, wait);
        }
        if !is_full && self.ready.is_empty() {
            queue.in_flight += 1;
            queue.virtual_time = queue.virtual_time.max(virtual_now) + stride(queue.share);
            self.in_flight += 1;
            return Offer::Admit;
        }
        if ask.deadline < now + wait + ask.need {
            self.remove_if_idle(ask.organisation);
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
        let latest_start = ask.deadline - ask.need;
        queue.waiting.insert(place, Waiting { ticket, need: ask.need, latest_start });
        Offer::Defer(ticket)
    }

    /// Records the end of a request and returns the tickets of the requests that run now.
    pub fn done(&mut self, now: Millis, organisation: &str, signal: Signal) -> Vec<Ticket> {
        self.adjust_limit(now, signal);
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(queue) = self.queues.get_mut(organisation) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
        }
        self.remove_if_idle(organisation);
        self.admit_waiting()
    }

    /// Removes the waiting requests that can no longer meet their deadline and returns their tickets.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        self.remove_waiting(|it| it.latest_start < now)
    }

    fn remove_waiting(&mut self, is_expired: impl Fn(&Waiting) -> bool) -> Vec<Ticket> {
        let mut removed = Vec::new();
        let mut empty = Vec::new();
        for (_, name) in &self.ready {
            let queue = self.queues.get_mut(name).expect("a ready organisation has a queue");
            removed.extend(queue.waiting.iter().filter(|it| is_expired(it)).map(|it| it.ticket));
            queue.waiting.retain(|it| !is_expired(it));
            if queue.waiting.is_empty() {
                empty.push((queue.virtual_time, name.clone()));
                self.ready_shares -= u64::from(queue.share);
            }
        }
        self.waiting -= removed.len();
        for key in empty {
            self.ready.remove(&key);
            self.remove_if_idle(&key.1);
        }
        removed
    }

    fn admit_waiting(&mut self) -> Vec<Ticket> {
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

    /// Expected wait of a new request: the requests before it in its own queue, and those of other
    /// queues that fair queueing serves meanwhile. Uses sums over the other queues, since there may be
    /// thousands of them.
    fn expected_wait(&self, ask: &Ask<'_>) -> Millis {
        let own = self.queues.get(ask.organisation).filter(|it| !it.waiting.is_empty());
        let first = own.map_or(0, |it| it.waiting.partition_point(|it| it.need <= ask.need)) + 1;
        let own_waiting = own.map_or(0, |it| it.waiting.len());
        let own_share = own.map_or(0, |it| u64::from(it.share));
        let other_shares = (self.ready_shares - own_share) as f64 / f64::from(ask.share.max(1));
        let before = (first as f64 * other_shares).min((self.waiting - own_waiting) as f64);
        ((first as f64 + before) * self.interval_ms) as Millis
    }

    fn adjust_limit(&mut self, now: Millis, signal: Signal) {
        let is_busy = self.limit() <= self.in_flight;
        self.count(now, is_busy);
        match signal {
            Signal::Clear if is_busy => {
                let step = if self.is_starting { 1.0 } else { INCREASE / self.limit };
                self.limit = (self.limit + step).min(self.ceiling);
            }
            Signal::Queued => {
                self.is_starting = false;
                self.limit = (self.limit - QUEUED_DECREASE / self.limit).max(MIN_LIMIT);
            }
            Signal::Full if self.last_decrease + MIN_DECREASE_GAP_MS <= now => {
                self.is_starting = false;
                self.limit =
                    (self.limit.min(self.in_flight as f64) * DECREASE_FACTOR).max(MIN_LIMIT);
                self.last_decrease = now;
            }
            Signal::Clear | Signal::Full | Signal::Silent => (),
        }
    }

    /// Counts a completion. The interval between completions is measured only while the gate is busy
    /// throughout, when it reflects capacity and not demand.
    fn count(&mut self, now: Millis, is_busy: bool) {
        if !is_busy {
            self.counted = 0;
            self.counted_since = now;
            return;
        }
        self.counted += 1;
        let span = now.saturating_sub(self.counted_since);
        if span < COUNT_WINDOW_MS {
            return;
        }
        let interval = span as f64 / f64::from(self.counted);
        self.interval_ms = if self.interval_ms == 0.0 {
            interval
        } else {
            self.interval_ms + INTERVAL_WEIGHT * (interval - self.interval_ms)
        };
        self.counted = 0;
        self.counted_since = now;
    }

    fn remove_if_idle(&mut self, organisation: &str) {
        let idle = |it: &Queue| it.in_flight == 0 && it.waiting.is_empty();
        if self.queues.get(organisation).is_some_and(idle) {
            self.queues.remove(organisation);
        }
    }
}

fn stride(share: u32) -> u64 {
    STRIDE / u64::from(share.max(1))
}
