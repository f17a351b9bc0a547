//! Guards against requests sent to a target that has announced its drain or asked the sender to back off. Random
//! simulations delay, reorder and lose messages, restart targets and instances, and remove directory entries.

use std::collections::BTreeMap;

use holdpoint_core::{
    backoffs::Backoffs,
    directory::{Change, Directory, TargetInstance},
    ids::Millis,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "service";
/// Upper bound of a message's delay, in milliseconds.
const MAX_DELAY_MS: Millis = 100;
/// Time after a backoff answer in which requests already in flight may still arrive, in milliseconds.
const MAX_IN_FLIGHT_MS: Millis = 500;

#[test]
fn the_latest_backoff_end_applies() {
    let key = ("t-1", SERVICE);
    let mut backoffs = Backoffs::default();
    assert_eq!(backoffs.request(1000, key, Some(1), 3000), Some(3000));
    assert_eq!(backoffs.request(1500, key, Some(1), 1000), None, "a shorter backoff is ignored");
    assert_eq!((backoffs.left(1500, key), backoffs.left(4000, key)), (2500, 0));
    assert_eq!(backoffs.request(2000, key, Some(1), 3000), Some(3000));
    assert_eq!(backoffs.left(2000, key), 3000);
    assert_eq!(backoffs.request(2000, key, Some(1), 0), None);
    assert_eq!(
        backoffs.request(2000, key, Some(1), Millis::MAX),
        Some(600_000),
        "capped at ten minutes"
    );
    assert_eq!(backoffs.left(2000, ("t-2", SERVICE)), 0);
    backoffs.new_life("t-1", Some(1));
    assert_ne!(backoffs.left(2000, key), 0, "the same incarnation was listed again");
    backoffs.new_life("t-1", Some(2));
    assert_eq!(backoffs.left(2000, key), 0, "the next incarnation starts without a backoff");
}

/// Memory is bounded by the number of targets with an active backoff.
#[test]
fn expired_backoffs_are_removed() {
    for targets in [100, 1000, 2000, 20_000] {
        let mut backoffs = Backoffs::default();
        for target in 0..targets {
            backoffs.request(0, (&format!("t-{target}"), SERVICE), None, 1000);
        }
        assert_eq!((backoffs.len(), backoffs.of_service(999, SERVICE).count()), (targets, targets));
        assert_eq!(backoffs.of_service(1000, SERVICE).count(), 0);
        backoffs.request(1000, ("t-0", SERVICE), None, 1000);
        assert_eq!(backoffs.len(), 1);
        backoffs.forget(2000);
        assert!(backoffs.is_empty());
    }
}

#[test]
fn an_invalid_backoff_is_logged_once_per_target_up_to_a_limit() {
    let mut backoffs = Backoffs::default();
    let logged = (0..1000).filter(|it| backoffs.note_invalid(&format!("t-{}", it % 500))).count();
    assert_eq!(logged, 64);
}

enum Message {
    /// A request reaches a target.
    Request { from: usize, incarnation: u32, to: TargetInstance, sent: Millis },
    /// An answer of the target incarnation that received the request.
    Answer {
        to: usize,
        incarnation: u32,
        target: TargetInstance,
        is_draining: bool,
        backoff_ms: Option<Millis>,
    },
    /// A directory entry sent by another instance.
    DirectoryUpdate { to: usize, entry: TargetInstance },
    /// A directory entry from the store, which may be outdated.
    StoreEntry { to: usize, entry: TargetInstance },
}

struct Instance {
    directory: Directory,
    backoffs: Backoffs,
    incarnation: u32,
    /// When the first drain notice of each target incarnation was processed.
    drain_notices: BTreeMap<(String, Millis), Millis>,
    /// Requested backoffs: target, its incarnation, time of the request, end of the backoff.
    requested: Vec<(String, Millis, Millis, Millis)>,
}

struct Target {
    entry: TargetInstance,
    is_draining: bool,
    shedding_until: Millis,
}

struct Simulation {
    now: Millis,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    in_flight: BTreeMap<(Millis, u64), Message>,
    next: u64,
    arrived: u64,
}

impl Simulation {
    fn new(seed: u64, instances: usize, targets: usize) -> Simulation {
        let entry = |it: usize| TargetInstance {
            id: format!("t-{it}"),
            service: SERVICE.to_owned(),
            address: format!("10.0.0.{it}:80"),
            domain: "d".to_owned(),
            slots: 8,
            is_leaving: false,
            sequence: 1,
            cold_left_ms: None,
            born: Some(1),
            version: String::new(),
        };
        let targets: Vec<Target> = (0..targets)
            .map(|it| Target { entry: entry(it), is_draining: false, shedding_until: 0 })
            .collect();
        let instance = |_| {
            let mut directory = Directory::default();
            directory.replace(0, targets.iter().map(|it| it.entry.clone()).collect());
            Instance {
                directory,
                backoffs: Backoffs::default(),
                incarnation: 0,
                drain_notices: BTreeMap::new(),
                requested: Vec::new(),
            }
        };
        Simulation {
            now: 1000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: (0..instances).map(instance).collect(),
            targets,
            in_flight: BTreeMap::new(),
            next: 0,
            arrived: 0,
        }
    }

    fn post(&mut self, message: Message) {
        let at = self.now + self.rng.random_range(1..MAX_DELAY_MS);
        self.next += 1;
        self.in_flight.insert((at, self.next), message);
    }

    /// One instance chooses a target from its own directory, and another one checks the choice and sends the request.
    fn send(&mut self) {
        let count = self.instances.len();
        let (placer, sender) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        let listed = self.instances[placer].directory.all().filter(|it| !it.is_leaving);
        let listed: Vec<String> = listed.map(|it| it.id.clone()).collect();
        if listed.is_empty() {
            return;
        }
        let id = &listed[self.rng.random_range(0..listed.len())];
        let instance = &self.instances[sender];
        let Some(target) = instance.directory.get(id).filter(|it| !it.is_leaving) else { return };
        if instance.backoffs.left(self.now, (id, SERVICE)) != 0 {
            return;
        }
        let (to, incarnation) = (target.clone(), instance.incarnation);
        self.post(Message::Request { from: sender, incarnation, to, sent: self.now });
    }

    fn arrive(&mut self, from: usize, incarnation: u32, to: TargetInstance, sent: Millis) {
        let Some(target) = self.targets.iter().find(|it| it.entry.id == to.id) else { return };
        if target.entry.born != to.born || self.instances[from].incarnation != incarnation {
            return;
        }
        self.arrived += 1;
        let key = (to.id.clone(), to.born.unwrap());
        if let Some(noticed) = self.instances[from].drain_notices.get(&key) {
            assert!(sent <= *noticed, "instance {from} had processed the drain notice of {key:?}");
        }
        for (id, born, requested, until) in &self.instances[from].requested {
            let is_same = (id, *born) == (&key.0, key.1);
            let is_active = (requested + MAX_IN_FLIGHT_MS..*until).contains(&self.now);
            assert!(!(is_same && is_active), "target {id} had asked instance {from} to back off");
        }
        let is_shedding = self.now < target.shedding_until;
        let is_draining = target.is_draining;
        let backoff_ms = is_shedding.then(|| [200, 1000, 3000][self.rng.random_range(0..3)]);
        if let Some(ms) = backoff_ms {
            let requested = (key.0, key.1, self.now, self.now + ms);
            self.instances[from].requested.push(requested);
        }
        self.post(Message::Answer { to: from, incarnation, target: to, is_draining, backoff_ms });
    }

    fn answer(
        &mut self,
        to: usize,
        incarnation: u32,
        target: TargetInstance,
        is_draining: bool,
        backoff_ms: Option<Millis>,
    ) {
        let now = self.now;
        let instance = &mut self.instances[to];
        if instance.incarnation != incarnation {
            return;
        }
        if is_draining {
            instance.drain_notices.entry((target.id.clone(), target.born.unwrap())).or_insert(now);
        }
        // Answers of a former incarnation are ignored, as in the ingress.
        if instance.directory.is_former_life(&target.id, target.born) {
            return;
        }
        if let Some(ms) = backoff_ms {
            instance.backoffs.request(now, (&target.id, SERVICE), target.born, ms);
        }
        if is_draining {
            instance.directory.leave(&target.id, target.born);
            let entry = TargetInstance { is_leaving: true, ..target };
            for to in 0..self.instances.len() {
                if self.rng.random_bool(0.7) {
                    self.post(Message::DirectoryUpdate { to, entry: entry.clone() });
                }
            }
        }
    }

    fn apply_entry(&mut self, to: usize, entry: TargetInstance) {
        let instance = &mut self.instances[to];
        let (id, born) = (entry.id.clone(), entry.born);
        if matches!(instance.directory.put(self.now, entry), Change::Joined | Change::Restarted) {
            instance.backoffs.new_life(&id, born);
        }
    }

    fn inject_fault(&mut self) {
        let (target, to) = (
            self.rng.random_range(0..self.targets.len()),
            self.rng.random_range(0..self.instances.len()),
        );
        match self.rng.random_range(0..8) {
            0 => self.targets[target].is_draining = true,
            1 => self.targets[target].shedding_until = self.now + self.rng.random_range(50..2000),
            2 => {
                // The target restarts under the same id.
                let target = &mut self.targets[target];
                target.entry.born = target.entry.born.map(|it| it + 1);
                target.entry.sequence = 1;
                (target.is_draining, target.shedding_until) = (false, 0);
            }
            3 => {
                let id = self.targets[target].entry.id.clone();
                self.instances[to].directory.remove(&id);
            }
            4 if self.rng.random_bool(0.3) => {
                let entries: Vec<TargetInstance> =
                    self.targets.iter().map(|it| it.entry.clone()).collect();
                let instance = &mut self.instances[to];
                *instance = Instance {
                    directory: Directory::default(),
                    backoffs: Backoffs::default(),
                    incarnation: instance.incarnation + 1,
                    drain_notices: BTreeMap::new(),
                    requested: Vec::new(),
                };
                instance.directory.replace(self.now, entries);
            }
            _ => {
                // The entry lists the target as not draining, may be outdated and arrives late.
                let target = &mut self.targets[target];
                target.entry.sequence += 1;
                let back = self.rng.random_range(0..3).min(target.entry.sequence - 1);
                let entry = TargetInstance {
                    sequence: target.entry.sequence - back,
                    ..target.entry.clone()
                };
                self.post(Message::StoreEntry { to, entry });
            }
        }
    }

    fn run(&mut self, length: Millis) {
        let end = self.now + length;
        while self.now < end {
            self.now += 5;
            while let Some(first) = self.in_flight.first_entry().filter(|it| it.key().0 <= self.now)
            {
                match first.remove() {
                    Message::Request { from, incarnation, to, sent } => {
                        self.arrive(from, incarnation, to, sent);
                    }
                    Message::Answer { to, incarnation, target, is_draining, backoff_ms } => {
                        self.answer(to, incarnation, target, is_draining, backoff_ms);
                    }
                    Message::DirectoryUpdate { to, entry } | Message::StoreEntry { to, entry } => {
                        self.apply_entry(to, entry);
                    }
                }
            }
            self.send();
            if self.rng.random_bool(0.1) {
                self.inject_fault();
            }
        }
    }
}

#[test]
fn drain_notices_and_backoffs_are_respected_in_random_simulations() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed, 8, 4);
        simulation.run(10_000);
        assert!(
            100 < simulation.arrived,
            "seed {seed}: only {} requests arrived",
            simulation.arrived
        );
    }
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, 985, 40);
        simulation.run(10_000);
    }
}
