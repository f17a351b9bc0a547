//! Targets that leave, or ask an instance to back off, in random worlds: answers come late and overtake each other,
//! targets start again under their id, entries lapse and come back, instances start again and hear of each other's
//! news late or not at all.

use std::collections::BTreeMap;

use holdpoint_core::{
    backoffs::Backoffs,
    directory::{Change, Directory, TargetInstance},
    ids::Millis,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "service";
/// Longest time between the gate and the arrival, and between an answer and its arrival, in milliseconds.
const WAY_MS: Millis = 100;
/// How long after an answer requests may still arrive that were under way, in milliseconds.
const UNDER_WAY_MS: Millis = 500;

#[test]
fn the_latest_end_of_a_back_off_holds() {
    let its = ("t-1", SERVICE);
    let mut backoffs = Backoffs::default();
    assert_eq!(backoffs.request(1000, its, Some(1), 3000), Some(3000));
    assert_eq!(backoffs.request(1500, its, Some(1), 1000), None, "a shorter one");
    assert_eq!((backoffs.left(1500, its), backoffs.left(4000, its)), (2500, 0));
    assert_eq!(backoffs.request(2000, its, Some(1), 3000), Some(3000));
    assert_eq!(backoffs.left(2000, its), 3000);
    assert_eq!(backoffs.request(2000, its, Some(1), 0), None);
    assert_eq!(
        backoffs.request(2000, its, Some(1), Millis::MAX),
        Some(600_000),
        "ten minutes at most"
    );
    assert_eq!(backoffs.left(2000, ("t-2", SERVICE)), 0);
    backoffs.new_life("t-1", Some(1));
    assert_ne!(backoffs.left(2000, its), 0, "its entry lapsed and is back");
    backoffs.new_life("t-1", Some(2));
    assert_eq!(backoffs.left(2000, its), 0, "its next life");
}

/// What is kept is bounded by the targets that still want a back-off, at any size.
#[test]
fn back_offs_that_are_over_are_forgotten() {
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
fn a_figure_that_cannot_be_read_is_told_once_for_each_of_a_few_targets() {
    let mut backoffs = Backoffs::default();
    let told = (0..1000).filter(|it| backoffs.note_invalid(&format!("t-{}", it % 500))).count();
    assert_eq!(told, 64);
}

enum Message {
    /// A request passes the gate of an instance.
    Arrive { from: usize, life: u32, to: TargetInstance, sent: Millis },
    /// An answer, of the life that was sent to.
    Answer {
        to: usize,
        life: u32,
        target: TargetInstance,
        is_leaving: bool,
        backoff_ms: Option<Millis>,
    },
    /// News between instances: a target as the teller lists it.
    News { to: usize, entry: TargetInstance },
    /// An entry of the store, perhaps an old one.
    Entry { to: usize, entry: TargetInstance },
}

struct Instance {
    directory: Directory,
    backoffs: Backoffs,
    life: u32,
    /// When it passed on an answer that said a life leaves.
    told_leaving: BTreeMap<(String, Millis), Millis>,
    /// When a life asked it to back off, and until when.
    asked: Vec<(String, Millis, Millis, Millis)>,
}

struct Target {
    entry: TargetInstance,
    is_leaving: bool,
    sheds_until: Millis,
}

struct World {
    now: Millis,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    under_way: BTreeMap<(Millis, u64), Message>,
    next: u64,
    arrived: u64,
}

impl World {
    fn new(seed: u64, instances: usize, targets: usize) -> World {
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
            .map(|it| Target { entry: entry(it), is_leaving: false, sheds_until: 0 })
            .collect();
        let instance = |_| {
            let mut directory = Directory::default();
            directory.replace(0, targets.iter().map(|it| it.entry.clone()).collect());
            Instance {
                directory,
                backoffs: Backoffs::default(),
                life: 0,
                told_leaving: BTreeMap::new(),
                asked: Vec::new(),
            }
        };
        World {
            now: 1000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: (0..instances).map(instance).collect(),
            targets,
            under_way: BTreeMap::new(),
            next: 0,
            arrived: 0,
        }
    }

    fn post(&mut self, message: Message) {
        let at = self.now + self.rng.random_range(1..WAY_MS);
        self.next += 1;
        self.under_way.insert((at, self.next), message);
    }

    /// A request is placed by any instance, which knows what it knows, and passes the gate of another one.
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
        let (to, life) = (target.clone(), instance.life);
        self.post(Message::Arrive { from: sender, life, to, sent: self.now });
    }

    fn arrive(&mut self, from: usize, life: u32, to: TargetInstance, sent: Millis) {
        let Some(target) = self.targets.iter().find(|it| it.entry.id == to.id) else { return };
        if target.entry.born != to.born || self.instances[from].life != life {
            return;
        }
        self.arrived += 1;
        let key = (to.id.clone(), to.born.unwrap());
        if let Some(told) = self.instances[from].told_leaving.get(&key) {
            assert!(sent <= *told, "instance {from} had passed on that {key:?} leaves");
        }
        for (id, born, asked, until) in &self.instances[from].asked {
            let is_its = (id, *born) == (&key.0, key.1);
            let in_time = (asked + UNDER_WAY_MS..*until).contains(&self.now);
            assert!(!(is_its && in_time), "{id} had asked instance {from} to back off");
        }
        let sheds = self.now < target.sheds_until;
        let is_leaving = target.is_leaving;
        let backoff_ms = sheds.then(|| [200, 1000, 3000][self.rng.random_range(0..3)]);
        if let Some(ms) = backoff_ms {
            let asked = (key.0, key.1, self.now, self.now + ms);
            self.instances[from].asked.push(asked);
        }
        self.post(Message::Answer { to: from, life, target: to, is_leaving, backoff_ms });
    }

    fn answer(
        &mut self,
        to: usize,
        life: u32,
        target: TargetInstance,
        is_leaving: bool,
        backoff_ms: Option<Millis>,
    ) {
        let now = self.now;
        let instance = &mut self.instances[to];
        if instance.life != life {
            return;
        }
        if is_leaving {
            instance.told_leaving.entry((target.id.clone(), target.born.unwrap())).or_insert(now);
        }
        // As the gate does: an answer of a former life tells nothing.
        if instance.directory.is_former_life(&target.id, target.born) {
            return;
        }
        if let Some(ms) = backoff_ms {
            instance.backoffs.request(now, (&target.id, SERVICE), target.born, ms);
        }
        if is_leaving {
            instance.directory.leave(&target.id, target.born);
            let entry = TargetInstance { is_leaving: true, ..target };
            for to in 0..self.instances.len() {
                if self.rng.random_bool(0.7) {
                    self.post(Message::News { to, entry: entry.clone() });
                }
            }
        }
    }

    fn take_entry(&mut self, to: usize, entry: TargetInstance) {
        let instance = &mut self.instances[to];
        let (id, born) = (entry.id.clone(), entry.born);
        if matches!(instance.directory.put(self.now, entry), Change::Joined | Change::Restarted) {
            instance.backoffs.new_life(&id, born);
        }
    }

    fn trouble(&mut self) {
        let (target, to) = (
            self.rng.random_range(0..self.targets.len()),
            self.rng.random_range(0..self.instances.len()),
        );
        match self.rng.random_range(0..8) {
            0 => self.targets[target].is_leaving = true,
            1 => self.targets[target].sheds_until = self.now + self.rng.random_range(50..2000),
            2 => {
                // It starts again under its id.
                let target = &mut self.targets[target];
                target.entry.born = target.entry.born.map(|it| it + 1);
                target.entry.sequence = 1;
                (target.is_leaving, target.sheds_until) = (false, 0);
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
                    life: instance.life + 1,
                    told_leaving: BTreeMap::new(),
                    asked: Vec::new(),
                };
                instance.directory.replace(self.now, entries);
            }
            _ => {
                // The entry says ready; it may be an older one, and comes late.
                let target = &mut self.targets[target];
                target.entry.sequence += 1;
                let back = self.rng.random_range(0..3).min(target.entry.sequence - 1);
                let entry = TargetInstance {
                    sequence: target.entry.sequence - back,
                    ..target.entry.clone()
                };
                self.post(Message::Entry { to, entry });
            }
        }
    }

    fn run(&mut self, length: Millis) {
        let end = self.now + length;
        while self.now < end {
            self.now += 5;
            while let Some(first) = self.under_way.first_entry().filter(|it| it.key().0 <= self.now)
            {
                match first.remove() {
                    Message::Arrive { from, life, to, sent } => self.arrive(from, life, to, sent),
                    Message::Answer { to, life, target, is_leaving, backoff_ms } => {
                        self.answer(to, life, target, is_leaving, backoff_ms);
                    }
                    Message::News { to, entry } | Message::Entry { to, entry } => {
                        self.take_entry(to, entry);
                    }
                }
            }
            self.send();
            if self.rng.random_bool(0.1) {
                self.trouble();
            }
        }
    }
}

#[test]
fn what_targets_say_holds_in_random_worlds() {
    for seed in 0..200 {
        let mut world = World::new(seed, 8, 4);
        world.run(10_000);
        assert!(100 < world.arrived, "seed {seed}: {} arrived", world.arrived);
    }
    for seed in 0..4 {
        let mut world = World::new(seed, 985, 40);
        world.run(10_000);
    }
}
