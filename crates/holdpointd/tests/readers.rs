//! A few instances read the store and the others follow them: what each of them knows, and how
//! often the store is asked.

mod support;

use holdpoint_adapter_standin::{Behaviour, Gate, Outage, Target, sample_configuration};
use holdpointd::ingress::Ingress;

use crate::support::{PATIENCE, System, start, start_instance, until};

/// Instances beside the system's own.
const OTHERS: [&str; 5] = ["b", "c", "d", "e", "f"];

/// Several instances, each with a way of its own to the store.
struct Fleet {
    system: System,
    instances: Vec<(Ingress, Gate)>,
}

impl Fleet {
    async fn start() -> Fleet {
        let system = start(&[Behaviour::Answer], &[]).await;
        let mut instances = Vec::new();
        for name in OTHERS {
            let gate = system.store.open_gate().await;
            instances.push((start_instance(name, &gate), gate));
        }
        let is_complete = |it: &Ingress| it.is_ready() && it.peer_count() == OTHERS.len();
        until(|| instances.iter().all(|it| is_complete(&it.0))).await;
        until(|| is_complete(&system.instance)).await;
        Fleet { system, instances }
    }

    fn all(&self) -> impl Iterator<Item = (&Ingress, &Gate)> {
        let first = (&self.system.instance, &self.system.store.gate);
        std::iter::once(first).chain(self.instances.iter().map(|it| (&it.0, &it.1)))
    }

    fn counts(&self) -> Vec<usize> {
        self.all().map(|it| it.1.call_count()).collect()
    }

    /// Indices of the instances that asked the store in a span in which one of them asked ten
    /// times.
    async fn askers(&self) -> Vec<usize> {
        let before = self.counts();
        let risen = || -> Vec<usize> {
            self.counts().iter().zip(&before).map(|(now, then)| now - then).collect()
        };
        until(|| risen().iter().any(|it| 10 <= *it)).await;
        risen().iter().enumerate().filter(|it| 0 < *it.1).map(|it| it.0).collect()
    }

    /// Waits until no more than the readers ask the store.
    async fn settle(&self) -> Vec<usize> {
        let settled = async {
            let mut askers = self.askers().await;
            while 3 < askers.len() {
                askers = self.askers().await;
            }
            askers
        };
        tokio::time::timeout(PATIENCE, settled).await.expect("few ask the store")
    }

    async fn all_know(&self, version: u64, targets: usize) {
        let knows = |it: &Ingress| it.version() == version && it.target_count() == targets;
        until(|| self.all().all(|it| knows(it.0))).await;
    }
}

#[tokio::test]
async fn a_few_instances_read_the_store_and_all_know_what_it_says() {
    let fleet = Fleet::start().await;
    assert!(!fleet.settle().await.is_empty());
    fleet.system.store.put_configuration(&sample_configuration(4));
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    fleet.system.store.put_target(&joined, false);
    fleet.all_know(4, 3).await;
    fleet.system.store.put_target(&joined, true);
    fleet.all_know(4, 2).await;
}

#[tokio::test]
async fn where_the_store_turns_the_readers_away_others_read_it() {
    let fleet = Fleet::start().await;
    let readers = fleet.settle().await;
    for (index, (_, gate)) in fleet.all().enumerate() {
        if readers.contains(&index) {
            gate.set_outage(Outage::Busy);
        }
    }
    fleet.system.store.put_configuration(&sample_configuration(6));
    fleet.system.store.drop_target("i-plain-0");
    fleet.all_know(6, 1).await;
}

#[tokio::test]
async fn where_the_readers_are_stopped_others_read_the_store() {
    let mut fleet = Fleet::start().await;
    let readers = fleet.settle().await;
    let mut index = 0;
    let mut stopped = Vec::new();
    while index < fleet.instances.len() {
        // The system's own instance stays, whatever it does.
        if readers.contains(&(index + 1 + stopped.len())) {
            stopped.push(fleet.instances.remove(index));
        } else {
            index += 1;
        }
    }
    for (instance, _) in stopped {
        instance.stop().await;
    }
    fleet.system.store.put_configuration(&sample_configuration(8));
    fleet.system.store.drop_target("i-plain-0");
    fleet.all_know(8, 1).await;
}

/// Entries lapse while the store is away, although their targets are well; they come back soon
/// after its return. Until then an instance that believed the store would have no target left.
#[tokio::test]
async fn an_entry_that_lapsed_while_the_store_was_away_may_come_back() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let gate = &system.store.gate;
    gate.set_outage(Outage::Busy);
    let before = gate.call_count();
    until(|| before + 4 < gate.call_count()).await;
    system.store.drop_target("i-plain-0");
    system.store.drop_target("i-encode");
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    gate.set_outage(Outage::None);
    // The new one is known only once the list was read in which the others are missing.
    until(|| system.instance.target_count() == 3).await;
    system.store.put_target(&system.encoder, false);
    // One came back, the other did not.
    until(|| system.instance.target_count() == 2).await;
    assert_eq!(system.ask("r-1", "/safe/").await.status, http::StatusCode::OK);
    assert_eq!(joined.runs().len(), 1);
}
