//! What an instance accepts when it gets far more connections than its machine carries.

use holdpoint_core::{
    ids::Millis,
    intake::{Full, Intake, LinkBytes, Resources, Usage},
};

/// Interval of the timers whose lateness is recorded.
const TICK_MS: Millis = 47;
/// Interval at which traffic is measured.
const MEASURE_MS: Millis = 90;
/// Bytes per millisecond of a link of 10 Mbit/s.
const LINK: f64 = 1250.0;
/// Bytes of a request in each direction.
const REQUEST_BYTES: u64 = 9000;

fn small_machine() -> Resources {
    Resources { link: LINK, cores: 0.12, connections: 1000 }
}

/// An instance whose link passes the bytes of accepted requests one after the other, and whose processor serves their
/// work in the same way.
struct World {
    intake: Intake,
    now: Millis,
    /// Bytes of accepted requests that the link has not passed yet.
    queued: f64,
    /// Bytes of other traffic per millisecond.
    other: f64,
    /// Milliseconds of work that the processor has not done yet.
    work: f64,
    request_ms: f64,
    cores: f64,
    has_link: bool,
    /// Whether timers show how much work waits, as they do unless the process runs for a part of the time.
    has_lateness: bool,
    /// Bytes and work since the last request that was served.
    passed: f64,
    done: f64,
    measured: Usage,
    accepted: u64,
    refused: u64,
    /// Longest time that accepted bytes waited for the link, and accepted work for the processor.
    longest_ms: f64,
}

impl World {
    fn new(resources: Resources, request_ms: f64) -> World {
        World {
            intake: Intake::new(resources),
            now: 1_000_000,
            queued: 0.0,
            other: 0.0,
            work: 0.0,
            request_ms,
            cores: resources.cores,
            has_link: resources.link > 0.0,
            has_lateness: true,
            passed: 0.0,
            done: 0.0,
            measured: Usage::default(),
            accepted: 0,
            refused: 0,
            longest_ms: 0.0,
        }
    }

    /// Lets time pass with this many arrivals per second.
    fn run(&mut self, ms: Millis, per_s: u64) {
        for _ in 0..ms {
            self.now += 1;
            if (self.now * per_s) / 1000 != ((self.now - 1) * per_s) / 1000 {
                self.arrive();
            }
            let done = self.work.min(1.0);
            self.work -= done;
            self.done += done;
            self.intake.record_processor(self.cores * done);
            let passed = self.queued.min(if self.has_link { LINK - self.other } else { f64::MAX });
            self.queued -= passed;
            self.passed += passed;
            let cost = REQUEST_BYTES as f64;
            while cost <= self.passed && self.request_ms <= self.done {
                self.passed -= cost;
                self.done -= self.request_ms;
                self.intake.record_served();
            }
            let bytes = |it: f64| LinkBytes { received: it as u64, sent: it as u64 };
            let add = |sum: &mut LinkBytes, it: LinkBytes| {
                sum.received += it.received;
                sum.sent += it.sent;
            };
            add(&mut self.measured.own, bytes(passed));
            add(&mut self.measured.other, bytes(self.other));
            if self.now.is_multiple_of(TICK_MS) {
                let lateness = if self.has_lateness { self.work as Millis } else { 0 };
                self.intake.record_lateness(self.now, lateness);
            }
            if self.now.is_multiple_of(MEASURE_MS) {
                let usage = std::mem::take(&mut self.measured);
                self.intake.record_usage(self.now, MEASURE_MS, usage);
            }
        }
    }

    fn arrive(&mut self) {
        if self.intake.accept(self.now, 0).is_err() {
            self.refused += 1;
            return;
        }
        self.accepted += 1;
        self.intake.record_read();
        self.queued += REQUEST_BYTES as f64;
        self.work += self.request_ms;
        let on_link = if self.has_link { self.queued / (LINK - self.other) } else { 0.0 };
        self.longest_ms = self.longest_ms.max(on_link).max(self.work);
    }

    /// Requests per second that were accepted in this time.
    fn accepted_per_s(&mut self, ms: Millis, per_s: u64) -> f64 {
        let before = self.accepted;
        self.run(ms, per_s);
        (self.accepted - before) as f64 * 1000.0 / ms as f64
    }
}

#[test]
fn a_crowd_fills_the_link_and_does_not_wait_for_it() {
    for times in [1, 2, 3, 10] {
        let mut world = World::new(small_machine(), 0.5);
        world.run(10_000, 20);
        assert_eq!(world.refused, 0);
        let carried = LINK * 1000.0 / REQUEST_BYTES as f64;
        let accepted = world.accepted_per_s(8000, times * carried as u64);
        assert!(0.75 * carried <= accepted && accepted <= carried, "{times}: {accepted}");
        assert!(world.longest_ms < 500.0, "{times}: {}", world.longest_ms);
        world.refused = 0;
        world.run(1000, 20);
        world.refused = 0;
        world.run(5000, 20);
        assert_eq!(world.refused, 0, "calm within a second after a crowd of {times} times");
    }
}

#[test]
fn a_crowd_is_not_taken_for_cheap_requests_while_its_bytes_are_on_the_way() {
    let mut intake = Intake::new(small_machine());
    let own = LinkBytes { received: 4 * REQUEST_BYTES, sent: 4 * REQUEST_BYTES };
    let mut now = 1000;
    for _ in 0..50 {
        now += MEASURE_MS;
        (0..4).for_each(|_| intake.record_served());
        intake.record_usage(now, MEASURE_MS, Usage { own, ..Usage::default() });
    }
    // 160 requests a second were read; their bytes arrive, but none was sent to its target yet.
    let own = LinkBytes { received: 8 * own.received, sent: own.sent };
    intake.record_usage(now + MEASURE_MS, MEASURE_MS, Usage { own, ..Usage::default() });
    let [received, sent] = intake.costs();
    assert!(REQUEST_BYTES <= received && REQUEST_BYTES * 9 / 10 <= sent, "{received} {sent}");
}

#[test]
fn traffic_of_others_takes_its_part_of_the_link() {
    let mut world = World::new(small_machine(), 0.5);
    world.other = 0.5 * LINK;
    world.run(10_000, 20);
    let accepted = world.accepted_per_s(8000, 400);
    let carried = 0.5 * LINK * 1000.0 / REQUEST_BYTES as f64;
    assert!(0.5 * carried <= accepted && accepted <= carried, "{accepted} of {carried}");
    assert!(world.longest_ms < 1000.0, "{}", world.longest_ms);
}

#[test]
fn callers_keep_a_part_of_a_link_that_others_fill() {
    let mut intake = Intake::new(small_machine());
    let other = LinkBytes { received: 250_000, sent: 0 };
    for round in 1..20 {
        let usage = Usage { other, ..Usage::default() };
        intake.record_usage(round * MEASURE_MS, MEASURE_MS, usage);
        assert!(!intake.is_strained(round * MEASURE_MS));
    }
    for round in 20..60 {
        assert_eq!(intake.accept(round * MEASURE_MS, 0), Ok(()));
    }
}

#[test]
fn a_crowd_fills_the_processor_and_does_not_wait_for_it() {
    // What a request takes of the processor's share, from cheap to far dearer than assumed.
    for request_ms in [2.0, 8.0, 30.0] {
        let resources = Resources { link: 0.0, ..small_machine() };
        let mut world = World::new(resources, request_ms);
        let carried = 1000.0 / request_ms;
        world.run(5000, (carried / 4.0) as u64);
        world.run(2000, (10.0 * carried).min(1000.0) as u64);
        let accepted = world.accepted_per_s(10_000, (10.0 * carried).min(1000.0) as u64);
        assert!(
            0.6 * carried <= accepted && accepted <= 1.05 * carried,
            "{request_ms}: {accepted}"
        );
        world.longest_ms = 0.0;
        world.run(5000, (10.0 * carried).min(1000.0) as u64);
        assert!(world.longest_ms < 400.0, "{request_ms}: {}", world.longest_ms);
    }
}

#[test]
fn a_crowd_does_not_wait_for_a_processor_whose_timers_are_on_time() {
    for request_ms in [2.0, 8.0, 30.0] {
        let resources = Resources { link: 0.0, ..small_machine() };
        let mut world = World::new(resources, request_ms);
        world.has_lateness = false;
        let carried = 1000.0 / request_ms;
        world.run(5000, (carried / 4.0) as u64);
        world.run(4000, (10.0 * carried).min(1000.0) as u64);
        world.longest_ms = 0.0;
        let accepted = world.accepted_per_s(10_000, (10.0 * carried).min(1000.0) as u64);
        assert!(
            0.6 * carried <= accepted && accepted <= 1.05 * carried,
            "{request_ms}: {accepted}"
        );
        assert!(world.longest_ms < 1000.0, "{request_ms}: {}", world.longest_ms);
    }
}

/// Lateness of a timer that is due at this time, if the process runs for 12 ms in each 100 ms.
fn quota_lateness(due: Millis) -> Millis {
    match due % 100 {
        0..12 => 0,
        it => 100 - it,
    }
}

#[test]
fn a_quota_of_the_processor_is_no_sign_of_a_full_one() {
    let mut intake = Intake::new(small_machine());
    for round in 0..2000 {
        let due = 1000 + round * TICK_MS;
        let now = due + quota_lateness(due);
        // First idle, then with some 20 requests a second.
        if 1000 < round {
            assert_eq!(intake.accept(now, 0), Ok(()));
            intake.record_read();
            intake.record_served();
        }
        intake.record_lateness(now, quota_lateness(due));
        assert!(!intake.is_strained(now), "at {due}");
    }
}

#[test]
fn a_pause_of_the_process_does_not_stop_its_intake() {
    let mut world = World::new(small_machine(), 1.0);
    world.run(5000, 20);
    let paused = world.now;
    world.now += 5000;
    for due in (paused..world.now).step_by(TICK_MS as usize) {
        world.intake.record_lateness(world.now, world.now - due);
    }
    assert!(world.intake.is_strained(world.now));
    world.run(300, 20);
    world.refused = 0;
    world.run(5000, 20);
    assert_eq!(world.refused, 0);
}

#[test]
fn late_timers_without_requests_do_not_refuse_callers() {
    let mut intake = Intake::new(small_machine());
    for round in 1..100 {
        intake.record_lateness(1000 + round * TICK_MS, 500);
    }
    assert_eq!(intake.rate(), Intake::new(small_machine()).rate());
}

#[test]
fn open_connections_are_bounded() {
    let mut intake = Intake::new(small_machine());
    assert_eq!(intake.accept(1000, 999), Ok(()));
    assert_eq!(intake.accept(1000, 1000), Err(Full::Connections));
    assert!(intake.wait(1000, 1000).is_some());
}

#[test]
fn a_machine_of_unknown_size_accepts_all() {
    let mut intake = Intake::new(Resources::default());
    for _ in 0..10_000 {
        assert_eq!(intake.accept(1000, 5000), Ok(()));
    }
    assert_eq!(intake.wait(1000, 5000), None);
}

#[test]
fn after_the_wait_there_is_room() {
    let mut world = World::new(small_machine(), 0.5);
    world.run(5000, 20);
    for _ in 0..200 {
        world.run(20, 1000);
        while let Some(ms) = world.intake.wait(world.now, 0) {
            assert!((10..=200).contains(&ms));
            world.run(ms, 0);
        }
        assert_eq!(world.intake.accept(world.now, 0), Ok(()));
    }
}

/// Connections accepted in ten seconds with this many requests per second on open connections.
fn accepted_beside(kept_per_s: u64, arrivals_per_s: u64) -> f64 {
    let mut world = World::new(small_machine(), 0.5);
    for _ in 0..1000 {
        (0..kept_per_s / 100).for_each(|_| world.intake.charge());
        world.run(10, arrivals_per_s);
    }
    world.accepted as f64 / 10.0
}

#[test]
fn new_connections_get_what_open_ones_leave_and_always_a_part() {
    let carried = LINK * 1000.0 / REQUEST_BYTES as f64;
    let (alone, beside_some, beside_all) =
        (accepted_beside(0, 400), accepted_beside(100, 400), accepted_beside(1000, 400));
    assert!(beside_some < 0.6 * alone, "{beside_some} of {alone}");
    assert!(0.2 * carried <= beside_all && beside_all < 0.6 * alone, "{beside_all} of {alone}");
}

#[test]
fn requests_that_are_served_at_once_are_not_refused_however_many_come() {
    let mut intake = Intake::new(Resources { link: 0.0, ..small_machine() });
    for count in 0..5000 {
        assert_eq!(intake.accept(1000 + count / 10, 0), Ok(()));
        intake.record_read();
        intake.record_served();
    }
}

/// Serves requests that half fill the link in the time between two measurements; returns their traffic.
fn half_full(intake: &mut Intake) -> LinkBytes {
    let count = (0.5 * LINK * MEASURE_MS as f64) as u64 / REQUEST_BYTES;
    for _ in 0..count {
        intake.record_read();
        intake.record_served();
    }
    LinkBytes { received: count * REQUEST_BYTES, sent: count * REQUEST_BYTES }
}

/// An instance whose link is half full, at this time.
fn busy(now: &mut Millis) -> Intake {
    let mut intake = Intake::new(small_machine());
    for _ in 0..20 {
        *now += MEASURE_MS;
        let own = half_full(&mut intake);
        intake.record_usage(*now, MEASURE_MS, Usage { own, ..Usage::default() });
    }
    intake
}

#[test]
fn new_connections_wait_until_the_link_has_passed_its_queue() {
    let mut now = 1000;
    let mut intake = busy(&mut now);
    intake.record_delay(now, 5.0);
    assert_eq!(intake.accept(now, 0), Ok(()));
    assert!(intake.keeps_connection(now));
    intake.record_delay(now, 200.0);
    assert_eq!(intake.accept(now, 0), Err(Full::Link));
    assert!(intake.wait(now, 0).is_some() && intake.is_strained(now));
    let closed = (0..100).filter(|_| !intake.keeps_connection(now)).count();
    assert!((10..=50).contains(&closed), "{closed}");
    now += 50;
    intake.record_delay(now, 10.0);
    assert_eq!(intake.accept(now, 0), Ok(()));
}

#[test]
fn round_trips_that_stay_long_leave_a_quarter_of_the_time_to_new_connections() {
    let mut now = 1000;
    let mut intake = busy(&mut now);
    let mut accepted = 0;
    for _ in 0..100 {
        now += MEASURE_MS;
        intake.record_delay(now, 300.0);
        let own = half_full(&mut intake);
        intake.record_usage(now, MEASURE_MS, Usage { own, ..Usage::default() });
        accepted += usize::from(intake.accept(now, 0).is_ok());
    }
    assert!((20..=40).contains(&accepted), "{accepted} of 100");
}

#[test]
fn long_round_trips_are_not_the_fault_of_an_idle_link() {
    let mut intake = Intake::new(small_machine());
    for round in 0..100 {
        intake.record_delay(1000 + 10 * round, 300.0);
        assert!(!intake.is_strained(1000 + 10 * round));
        assert_eq!(intake.accept(1000 + 10 * round, 0), Ok(()));
    }
}

#[test]
fn requests_on_connections_that_are_closed_unread_take_their_time_on_the_link() {
    let mut now = 1000;
    let mut intake = busy(&mut now);
    intake.record_closed(now, 100);
    // The link passes some 140 requests a second.
    assert!(intake.is_strained(now + 500));
    assert_eq!(intake.accept(now + 300, 0), Err(Full::Link));
    assert_eq!(intake.accept(now + 2000, 0), Ok(()));
}
