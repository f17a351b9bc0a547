//! How many new connections an instance accepts, so that what it reads is served.
//!
//! A link that is full delays all traffic of the instance, and a processor that is full delays all of its timers, until
//! most requests are late. New connections beyond what link and processor carry are closed unread instead, since their
//! callers are served by other instances at their next try. Requests on open connections are never refused, and new ones
//! get what these leave, and always a part.
//!
//! The link's bandwidth is known, and what a request costs on it is measured. If round trips become long all the same, no
//! new connections are accepted until the queue is gone, and some of the open ones are closed after an answer, since they
//! bring more requests than there is room for. What a request costs of the processor's share is measured while requests
//! take most of it. It also shows when it runs out: timers are late. The rate that it carries is approached from below, as
//! in the slow start of TCP.

use crate::ids::Millis;

/// Part of the link that requests may fill. The rest is for retransmissions, and for bursts within a connection.
const LINK_SHARE: f64 = 0.85;
/// Part of the link from which on it counts as full.
const FULL_SHARE: f64 = 0.95;
/// Factor of the expected cost of a request after a period with a full link, and after one without.
const SURCHARGE: (f64, f64) = (1.05, 0.975);
/// Largest surcharge on the expected cost.
const MAX_SURCHARGE: f64 = 2.0;
/// Time on the link that connections accepted at once may take.
const LINK_BURST_MS: f64 = 80.0;
/// Delay of all round trips from which on new connections wait for the link's queue, in milliseconds.
const QUEUE_DELAY_MS: f64 = 60.0;
/// Part of the link that must be in use for such a delay to be its fault.
const BUSY_SHARE: f64 = 0.3;
/// Longest time for which they wait at once, in milliseconds, and part of all time. The rest leaves some service to
/// callers if round trips have become longer for another reason.
const QUEUE_WAIT_MS: f64 = 500.0;
const QUEUE_WAIT_SHARE: f64 = 0.75;
/// Of the connections whose answers end meanwhile, one in this many is closed.
const CLOSED_ONE_IN: u64 = 4;
/// Time constant of the measured use of the link, in milliseconds.
const USE_MS: f64 = 500.0;
/// Time constant of the measured costs, in milliseconds.
const COST_MS: f64 = 3000.0;
/// Time constant of the measured traffic that no caller of this instance causes, in milliseconds.
const OTHER_MS: f64 = 500.0;
/// Assumed bytes of a request in each direction before any was measured.
const ASSUMED_BYTES: f64 = 8192.0;
/// Number of requests for which the assumed cost counts.
const ASSUMED_COUNT: f64 = 4.0;

/// Time over which the lateness of timers is judged. A quota of the processor makes timers late in a part of each
/// period of 100 ms; only work that does not end makes all of them late.
const LATENESS_WINDOW_MS: Millis = 300;
/// Lateness of all timers of a window beyond the usual one from which on the processor is full, in milliseconds. A
/// request waits that long several times.
const LATENESS_MS: f64 = 10.0;
/// Largest usual lateness, in milliseconds: what a quota makes of the earliest of some timers.
const MAX_USUAL_MS: f64 = 30.0;
/// Factor of the usual lateness after a window with few requests and less lateness.
const USUAL_FADE: f64 = 0.95;
/// Requests per second that a whole core carries at least.
const MIN_PER_CORE_S: f64 = 500.0;
/// Growth of the processor's rate in a window without late timers.
const GROWTH: f64 = 1.5;
/// Factor of the rate that was served while the processor was full.
const BACKOFF: f64 = 0.7;
/// Part of the rate that the processor should carry at least that is left after repeated decreases.
const MIN_FRACTION: f64 = 1.0 / 16.0;
/// Growth of the smallest rate in a window without late timers, until it is as before the decreases.
const FLOOR_GROWTH: f64 = 1.25;
/// How long the rate that was served when the processor was full counts, in milliseconds.
const CARRIED_MS: Millis = 10_000;
/// Part of that rate up to which the rate grows fast.
const NEAR_FULL: f64 = 0.8;
/// Growth beyond it in a window without late timers.
const CREEP: f64 = 1.03;
/// Part of the processor's share that requests may take.
const PROCESSOR_SHARE: f64 = 0.85;
/// Part of the share in use from which on the cost of a request is known. Below, most of the use is no request's.
const PROCESSOR_BUSY: f64 = 0.5;
/// Part of the share above which the clock of the process, or the stated share, must be wrong.
const MAX_PLAUSIBLE_USE: f64 = 1.5;
/// Weight of a window in the rate that follows from the measured cost.
const COST_WEIGHT: f64 = 0.3;
/// Fewer requests in a window do not make timers late.
const MIN_CHARGED: f64 = 3.0;
/// Time of the processor's rate that may be used at once, in milliseconds.
const RATE_BURST_MS: f64 = 400.0;
/// Time of the processor's rate whose requests may wait without being a sign of a full processor, in milliseconds.
const UNSERVED_MS: f64 = 50.0;

/// Part of a burst that must be free before new connections are accepted again.
const FREE_SHARE: f64 = 0.5;
/// Time after which to look again whether a connection was closed, in milliseconds.
const REVIEW_MS: Millis = 50;
/// Shortest and longest wait for room, in milliseconds.
const WAIT_MS: (Millis, Millis) = (10, 200);

/// Part of link and processor that new connections get if open ones take all.
const MIN_NEW_SHARE: f64 = 0.25;
/// Weight of a window in the measured rate of requests on open connections.
const KEPT_WEIGHT: f64 = 0.5;

/// How long the consequences of a full link or processor last, such as timeouts that it caused.
const STRAIN_MS: Millis = 1000;

/// What an instance may use of its machine; 0 if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Bandwidth of the link, in bytes per millisecond in each direction.
    pub link: f64,
    /// Processor, in cores.
    pub cores: f64,
    /// Most open connections of callers.
    pub connections: usize,
}

/// Bytes in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkBytes {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

impl LinkBytes {
    fn values(self) -> [f64; 2] {
        [self.received as f64, self.sent as f64]
    }
}

/// Traffic in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes that requests of this instance's callers caused.
    pub own: LinkBytes,
    /// All other bytes.
    pub other: LinkBytes,
}

/// Why a connection is closed unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The link carries no more requests.
    Link,
    /// The processor serves no more requests.
    Processor,
    /// Too many connections are open.
    Connections,
}

impl Full {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Full::Link => "link",
            Full::Processor => "processor",
            Full::Connections => "connections",
        }
    }
}

/// State of the link in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Direction {
    /// Recent bytes of requests, with weights that fade.
    bytes: f64,
    /// Bytes per millisecond that requests do not cause.
    other: f64,
    /// Expected bytes of accepted requests that the link has not had the time to carry.
    pending: f64,
}

impl Direction {
    /// Bytes per millisecond that new connections may fill of a link with this bandwidth, if requests on open ones take
    /// `kept`.
    fn free(&self, link: f64, kept: f64) -> f64 {
        (LINK_SHARE * link - self.other - kept).max(MIN_NEW_SHARE * link)
    }
}

/// Limits what an instance reads.
#[derive(Clone, Debug)]
pub struct Intake {
    resources: Resources,
    directions: [Direction; 2],
    /// Recent requests, with the same weights as their bytes.
    requests: f64,
    /// When `pending` and `tokens` were last updated.
    updated: Millis,
    is_link_full: bool,
    /// Part of the link in use.
    link_use: f64,
    /// Until when new connections wait for the link's queue, and for how many milliseconds more they may.
    queue_until: Millis,
    queue_wait: f64,
    /// Requests that were answered while the link had a queue.
    answered_in_queue: u64,
    /// Factor of the expected cost, since the link was full in spite of it.
    surcharge: f64,
    /// Least lateness of a timer in the current window, and the largest such of windows with few requests.
    least_lateness: Millis,
    usual_lateness: f64,
    /// Requests per second that the processor may get.
    rate: f64,
    /// Rate that it may get whatever was read before.
    floor: f64,
    /// Requests that it may get now.
    tokens: f64,
    /// Requests charged since the start of the window, and those of them on open connections.
    charged: f64,
    kept: f64,
    /// Measured rate of requests on open connections, per second.
    kept_rate: f64,
    /// Until when new connections count as refused.
    refused_until: Millis,
    /// Requests that were read and not yet served.
    unserved: u64,
    /// Requests served since the start of the window, and since traffic was last recorded.
    served: f64,
    unrecorded: f64,
    /// Until when the processor counts as full.
    processor_full_until: Millis,
    /// Processor time used since the start of the window, in milliseconds.
    processor_ms: f64,
    /// Requests per second that the processor carries according to what one costs, and when that was measured.
    affordable: Option<(Millis, f64)>,
    /// Requests per second that were served when the processor was full, and when that was.
    carried: Option<(Millis, f64)>,
    window_start: Millis,
    strained_until: Millis,
}

impl Intake {
    /// Limits what an instance with these resources reads.
    pub fn new(resources: Resources) -> Intake {
        let assumed = Direction { bytes: ASSUMED_COUNT * ASSUMED_BYTES, ..Direction::default() };
        let rate = MIN_PER_CORE_S * resources.cores;
        Intake {
            resources,
            directions: [assumed; 2],
            requests: ASSUMED_COUNT,
            updated: 0,
            is_link_full: false,
            link_use: 0.0,
            queue_until: 0,
            queue_wait: QUEUE_WAIT_MS,
            answered_in_queue: 0,
            surcharge: 1.0,
            least_lateness: Millis::MAX,
            usual_lateness: MAX_USUAL_MS,
            rate,
            floor: rate,
            tokens: rate * RATE_BURST_MS / 1000.0,
            charged: 0.0,
            kept: 0.0,
            kept_rate: 0.0,
            refused_until: 0,
            unserved: 0,
            served: 0.0,
            unrecorded: 0.0,
            processor_full_until: 0,
            processor_ms: 0.0,
            affordable: None,
            carried: None,
            window_start: 0,
            strained_until: 0,
        }
    }

    /// Decides on a new connection, with this many open ones. An accepted one counts as one request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is to be closed unread.
    pub fn accept(&mut self, now: Millis, open: usize) -> Result<(), Full> {
        self.update(now);
        let accepted = self.try_accept(now, open);
        if accepted.is_err() {
            self.refused_until = now + STRAIN_MS;
        }
        accepted
    }

    fn try_accept(&mut self, now: Millis, open: usize) -> Result<(), Full> {
        if self.resources.connections != 0 && self.resources.connections <= open {
            return Err(Full::Connections);
        }
        let has_link = self.resources.link > 0.0;
        if self.has_queue(now) || (has_link && self.exceeds_link()) {
            return Err(Full::Link);
        }
        let has_backlog = self.has_backlog(now);
        if self.resources.cores > 0.0 && has_backlog && self.tokens < 1.0 {
            return Err(Full::Processor);
        }
        for index in 0..2 {
            self.directions[index].pending += self.cost(index);
        }
        if has_backlog {
            self.tokens -= 1.0;
        }
        self.charged += 1.0;
        Ok(())
    }

    /// Records further connections that were closed unread. Their requests cross the link all the same.
    pub fn record_closed(&mut self, now: Millis, count: usize) {
        self.update(now);
        self.directions[0].pending += count as f64 * self.cost(0);
        let link = self.resources.link;
        if link > 0.0 && LINK_BURST_MS * link < self.directions[0].pending {
            let ms = (self.directions[0].pending / link) as Millis;
            self.strained_until = self.strained_until.max(now + ms + STRAIN_MS);
        }
    }

    /// Time until new connections can be accepted again, in milliseconds; `None` if they can be now. Some room is
    /// awaited, so that they are not accepted one by one.
    pub fn wait(&mut self, now: Millis, open: usize) -> Option<Millis> {
        self.update(now);
        let resources = self.resources;
        if resources.connections != 0 && resources.connections <= open {
            return Some(REVIEW_MS);
        }
        let mut ms = self.queue_until.saturating_sub(now) as f64;
        if resources.link > 0.0 {
            let burst = FREE_SHARE * LINK_BURST_MS * resources.link;
            for (index, it) in self.directions.iter().enumerate() {
                let free = it.free(resources.link, self.kept_bytes(index));
                ms = ms.max((it.pending - burst) / free);
            }
        }
        if resources.cores > 0.0 {
            let wanted = (FREE_SHARE * self.most_tokens()).max(1.0);
            ms = ms.max(1000.0 * (wanted - self.tokens) / self.new_rate());
        }
        let (shortest, longest) = WAIT_MS;
        (ms > 0.0).then(|| (ms.ceil() as Millis).clamp(shortest, longest))
    }

    /// Counts a request on an open connection, beyond its first.
    pub fn charge(&mut self) {
        self.kept += 1.0;
        self.charged += 1.0;
    }

    /// Whether a connection stays open after an answer.
    pub fn keeps_connection(&mut self, now: Millis) -> bool {
        if !self.has_queue(now) {
            return true;
        }
        self.answered_in_queue += 1;
        !self.answered_in_queue.is_multiple_of(CLOSED_ONE_IN)
    }

    /// Whether new connections are refused, or were recently.
    pub fn is_pressed(&self, now: Millis) -> bool {
        now < self.refused_until || self.is_strained(now)
    }

    /// Counts a request whose head has been read, until [`Self::record_served`].
    pub fn record_read(&mut self) {
        self.unserved += 1;
    }

    /// Counts a request that was sent to a target, or has ended without. Most of its bytes and of its work are done then,
    /// so that the requests of a sudden crowd do not look cheap.
    pub fn record_served(&mut self) {
        self.unserved = self.unserved.saturating_sub(1);
        self.served += 1.0;
        self.unrecorded += 1.0;
    }

    /// Records the traffic of a period that ends now.
    pub fn record_usage(&mut self, now: Millis, ms: Millis, usage: Usage) {
        let ms = (ms as f64).max(1.0);
        let fade = (-ms / COST_MS).exp();
        let weight = 1.0 - (-ms / OTHER_MS).exp();
        self.requests = self.requests * fade + std::mem::take(&mut self.unrecorded);
        let (own, other) = (usage.own.values(), usage.other.values());
        for (index, direction) in self.directions.iter_mut().enumerate() {
            direction.bytes = direction.bytes * fade + own[index];
            direction.other += weight * (other[index] / ms - direction.other);
        }
        // A link that other traffic fills, as at a start, is no reason to refuse callers.
        let is_used = |index: usize| {
            let used = own[index] + other[index];
            FULL_SHARE * self.resources.link * ms <= used && other[index] < own[index]
        };
        let link = self.resources.link;
        let is_full = link > 0.0 && (is_used(0) || is_used(1));
        let bytes = (own[0] + other[0]).max(own[1] + other[1]);
        let used = if link > 0.0 { bytes / (link * ms) } else { 1.0 };
        self.link_use += (1.0 - (-ms / USE_MS).exp()) * (used - self.link_use);
        self.is_link_full = is_full;
        let factor = if is_full { SURCHARGE.0 } else { SURCHARGE.1 };
        self.surcharge = (factor * self.surcharge).clamp(1.0, MAX_SURCHARGE);
        if is_full {
            self.strained_until = now + STRAIN_MS;
        }
    }

    /// Records a delay in milliseconds that all recent round trips had.
    pub fn record_delay(&mut self, now: Millis, delay: f64) {
        if delay < QUEUE_DELAY_MS || self.link_use < BUSY_SHARE {
            self.update(now);
            self.queue_until = self.queue_until.min(now);
            return;
        }
        self.strained_until = now + STRAIN_MS;
        self.wait_for_queue(now, delay);
    }

    /// Lets new connections wait for the link's queue.
    fn wait_for_queue(&mut self, now: Millis, ms: f64) {
        self.update(now);
        // Many short waits in turn would let too few connections in between.
        if self.has_queue(now) || QUEUE_WAIT_MS / 2.0 <= self.queue_wait {
            self.queue_until = now + ms.min(self.queue_wait) as Millis;
        }
    }

    /// Records processor time that the process has used, in milliseconds.
    pub fn record_processor(&mut self, ms: f64) {
        self.processor_ms += ms;
    }

    /// Records by how many milliseconds a timer was late. The timers of a window should fall into different parts of
    /// the period of a processor's quota.
    pub fn record_lateness(&mut self, now: Millis, lateness: Millis) {
        self.least_lateness = self.least_lateness.min(lateness);
        let ms = now.saturating_sub(self.window_start);
        if ms < LATENESS_WINDOW_MS {
            return;
        }
        let least = std::mem::replace(&mut self.least_lateness, Millis::MAX) as f64;
        let read = 1000.0 * std::mem::take(&mut self.charged) / ms as f64;
        let served = 1000.0 * std::mem::take(&mut self.served) / ms as f64;
        let kept = 1000.0 * std::mem::take(&mut self.kept) / ms as f64;
        let used = std::mem::take(&mut self.processor_ms) / ms as f64;
        self.measure_cost(now, used, served);
        self.kept_rate += KEPT_WEIGHT * (kept - self.kept_rate);
        self.window_start = now;
        let is_idle = read * (LATENESS_WINDOW_MS as f64) < 1000.0 * MIN_CHARGED;
        let is_full = LATENESS_MS + self.usual_lateness <= least;
        if is_idle {
            let usual = least.min(MAX_USUAL_MS);
            self.usual_lateness = usual.max(USUAL_FADE * self.usual_lateness);
        }
        if !is_full {
            self.grow(now, read);
            return;
        }
        self.strained_until = now + STRAIN_MS;
        if is_idle {
            return;
        }
        self.processor_full_until = now + STRAIN_MS;
        // In a window that was much longer, the process stood still for a time, and could serve few.
        let is_pause = 2 * LATENESS_WINDOW_MS <= ms;
        let carried = if is_pause { self.rate } else { served };
        if !is_pause {
            self.carried = Some((now, served));
        }
        let least_rate = MIN_FRACTION * self.min_rate();
        self.rate = (BACKOFF * carried).min(self.rate).max(least_rate);
        self.floor = self.floor.min(self.rate);
        self.tokens = self.tokens.min(0.0);
    }

    /// Raises the rate after a window without late timers in which this rate was read.
    fn grow(&mut self, now: Millis, read: f64) {
        self.floor = (FLOOR_GROWTH * self.floor).min(self.min_rate());
        let grown = self.floor.max(GROWTH * read);
        self.carried = self.carried.filter(|it| now < it.0 + CARRIED_MS);
        // Near the rate at which the processor was full, it grows slowly.
        self.rate = match self.carried {
            Some((_, carried)) => grown.min((NEAR_FULL * carried).max(CREEP * self.rate)),
            None => grown,
        };
        if let Some((_, affordable)) = self.affordable {
            self.rate = self.rate.min(affordable);
        }
    }

    /// Derives the rate that the processor carries from what requests cost in a window, given the cores used and the
    /// requests served per second.
    fn measure_cost(&mut self, now: Millis, used: f64, served: f64) {
        self.affordable = self.affordable.filter(|it| now < it.0 + CARRIED_MS);
        let share = self.resources.cores;
        let is_plausible = used < MAX_PLAUSIBLE_USE * share;
        // The limits of a whole core show in its timers, and several instances of one process share its clock.
        if 1.0 <= share || !is_plausible || used < PROCESSOR_BUSY * share || served <= 0.0 {
            return;
        }
        let rate = PROCESSOR_SHARE * share / used * served;
        if PROCESSOR_SHARE * share < used {
            self.processor_full_until = now + STRAIN_MS;
        }
        let before = self.affordable.map_or(rate, |it| it.1);
        self.affordable = Some((now, before + COST_WEIGHT * (rate - before)));
    }

    /// Whether the link or the processor is full or was so recently that timeouts may be its fault.
    pub fn is_strained(&self, now: Millis) -> bool {
        now < self.strained_until
    }

    /// Whether new connections wait for the link's queue.
    pub fn has_queue(&self, now: Millis) -> bool {
        now < self.queue_until
    }

    /// Whether the link is full.
    pub fn is_link_full(&self) -> bool {
        self.is_link_full
    }

    /// Bytes that one request is expected to cost, received and sent.
    pub fn costs(&self) -> [u64; 2] {
        [self.cost(0) as u64, self.cost(1) as u64]
    }

    /// Measured rate of requests on open connections, per second.
    pub fn kept_rate(&self) -> f64 {
        self.kept_rate
    }

    /// Requests per second that the processor may get.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn cost(&self, direction: usize) -> f64 {
        self.surcharge * self.directions[direction].bytes / self.requests.max(1.0)
    }

    fn exceeds_link(&self) -> bool {
        let burst = LINK_BURST_MS * self.resources.link;
        let exceeds = |index: usize| {
            let pending = self.directions[index].pending;
            // One request that is larger than the burst must still be possible.
            pending > 0.0 && burst < pending + self.cost(index)
        };
        exceeds(0) || exceeds(1)
    }

    fn update(&mut self, now: Millis) {
        let ms = now.saturating_sub(self.updated) as f64;
        let waited = now.min(self.queue_until).saturating_sub(self.updated) as f64;
        self.queue_wait = (self.queue_wait + QUEUE_WAIT_SHARE * ms - waited).min(QUEUE_WAIT_MS);
        self.updated = now;
        for index in 0..2 {
            let kept = self.kept_bytes(index);
            let it = &mut self.directions[index];
            it.pending = (it.pending - it.free(self.resources.link, kept) * ms).max(0.0);
        }
        let tokens = self.tokens + self.new_rate() * ms / 1000.0;
        self.tokens = tokens.min(self.most_tokens());
    }

    /// Whether requests wait for the processor: some that it has read, or answers, which are counted nowhere.
    fn has_backlog(&self, now: Millis) -> bool {
        now < self.processor_full_until || self.rate * UNSERVED_MS / 1000.0 <= self.unserved as f64
    }

    /// Requests per second that the processor may get on new connections.
    fn new_rate(&self) -> f64 {
        (self.rate - self.kept_rate).max(MIN_NEW_SHARE * self.rate)
    }

    /// Bytes per millisecond that requests on open connections take.
    fn kept_bytes(&self, direction: usize) -> f64 {
        self.kept_rate * self.cost(direction) / 1000.0
    }

    fn most_tokens(&self) -> f64 {
        (self.rate * RATE_BURST_MS / 1000.0).max(1.0)
    }

    /// Rate that the processor should carry at least, in requests per second.
    fn min_rate(&self) -> f64 {
        MIN_PER_CORE_S * self.resources.cores
    }
}
