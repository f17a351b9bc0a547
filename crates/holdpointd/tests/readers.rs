//! A few instances read the store and the others follow them. Checks the state that each instance
//! has, and which instances call the store.

mod support;

use holdpoint_adapter_standin::{
    Behaviour, Endpoint, Outage, Target, large_configuration, sample_configuration,
};
use holdpoint_standin::relay::Relay;
use holdpointd::ingress::Ingress;

use crate::support::{
    CONDITION_TIMEOUT, System, start, start_instance, start_linked, start_with_domains, until,
};

/// Names of the instances other than the system's own.
const OTHERS: [&str; 5] = ["b", "c", "d", "e", "f"];

/// Several instances, each with its own gate to the store.
struct Fleet {
    system: System,
    instances: Vec<(Ingress, Endpoint)>,
}

impl Fleet {
    async fn start() -> Fleet {
        Fleet::start_linked(1000.0).await
    }

    /// Starts a fleet whose instances have links of this many Mbit/s.
    async fn start_linked(link_mbps: f64) -> Fleet {
        let first = |gate: &Endpoint| start_linked("a", gate, link_mbps);
        let system = start_with_domains(first, |_| "z1", &[Behaviour::Answer], &[]).await;
        let mut instances = Vec::new();
        for name in OTHERS {
            let gate = system.store.open_endpoint().await;
            instances.push((start_linked(name, &gate, link_mbps), gate));
        }
        let is_complete = |it: &Ingress| it.is_ready() && it.peer_count() == OTHERS.len();
        until(|| instances.iter().all(|it| is_complete(&it.0))).await;
        until(|| is_complete(&system.instance)).await;
        Fleet { system, instances }
    }

    fn all(&self) -> impl Iterator<Item = (&Ingress, &Endpoint)> {
        let first = (&self.system.instance, &self.system.store.endpoint);
        std::iter::once(first).chain(self.instances.iter().map(|it| (&it.0, &it.1)))
    }

    fn counts(&self) -> Vec<usize> {
        self.all().map(|it| it.1.call_count()).collect()
    }

    /// Indices of the instances that call the store, observed until one of them has called it ten
    /// times.
    async fn active_readers(&self) -> Vec<usize> {
        let before = self.counts();
        let increases = || -> Vec<usize> {
            self.counts().iter().zip(&before).map(|(now, then)| now - then).collect()
        };
        until(|| increases().iter().any(|it| 10 <= *it)).await;
        increases().iter().enumerate().filter(|it| 0 < *it.1).map(|it| it.0).collect()
    }

    /// Waits until at most three instances call the store, and returns their indices.
    async fn settle(&self) -> Vec<usize> {
        let waiting = async {
            let mut active_readers = self.active_readers().await;
            while 3 < active_readers.len() {
                active_readers = self.active_readers().await;
            }
            active_readers
        };
        tokio::time::timeout(CONDITION_TIMEOUT, waiting)
            .await
            .expect("at most three instances call the store")
    }

    async fn wait_until_known(&self, version: u64, targets: usize) {
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
    fleet.wait_until_known(4, 3).await;
    fleet.system.store.put_target(&joined, true);
    fleet.wait_until_known(4, 2).await;
}

/// Updates about many targets are compressed, and so are the lists for an instance that starts meanwhile.
#[tokio::test]
async fn many_targets_that_join_and_leave_at_once_are_known_to_all() {
    let fleet = Fleet::start().await;
    fleet.settle().await;
    let mut joined = Vec::new();
    for index in 0..60 {
        let id = format!("i-many-{index}");
        joined.push((id.clone(), Target::start(&id, "plain", Behaviour::Answer).await));
    }
    joined.iter().for_each(|it| fleet.system.store.put_target(&it.1, false));
    fleet.wait_until_known(1, 62).await;
    let gate = fleet.system.store.open_endpoint().await;
    let late = start_instance("late", &gate);
    until(|| late.target_count() == 62 && late.peer_count() == OTHERS.len() + 1).await;
    joined[..40].iter().for_each(|it| fleet.system.store.drop_target(&it.0));
    fleet.wait_until_known(1, 22).await;
    until(|| late.target_count() == 22).await;
    assert_eq!(fleet.system.ask("r-1", "/safe/").await.status, http::StatusCode::OK);
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
    fleet.wait_until_known(6, 1).await;
}

#[tokio::test]
async fn where_the_readers_are_stopped_others_read_the_store() {
    let mut fleet = Fleet::start().await;
    let readers = fleet.settle().await;
    let mut index = 0;
    let mut stopped = Vec::new();
    while index < fleet.instances.len() {
        // The system's own instance is never stopped, even if it is a reader.
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
    fleet.wait_until_known(8, 1).await;
}

/// Entries expire during an outage of the store although their targets are healthy, and are written
/// again soon after it. Guards against an instance that drops these targets in between.
#[tokio::test]
async fn an_entry_that_lapsed_while_the_store_was_away_may_come_back() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let gate = &system.store.endpoint;
    gate.set_outage(Outage::Busy);
    let before = gate.call_count();
    until(|| before + 4 < gate.call_count()).await;
    system.store.drop_target("i-plain-0");
    system.store.drop_target("i-encode");
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    gate.set_outage(Outage::None);
    // The new target is known only once the list without the other entries has been read.
    until(|| system.instance.target_count() == 3).await;
    system.store.put_target(&system.encoder, false);
    // One entry was written again, the other was not.
    until(|| system.instance.target_count() == 2).await;
    assert_eq!(system.ask("r-1", "/safe/").await.status, http::StatusCode::OK);
    assert_eq!(joined.runs().len(), 1);
}

/// Guards against a large configuration that fills the narrow links between peers, which then treat
/// each other as silent.
#[tokio::test]
async fn a_large_configuration_comes_from_the_store_to_each_over_narrow_links() {
    let fleet = Fleet::start_linked(0.1).await;
    let readers = fleet.settle().await;
    let before = fleet.counts();
    fleet.system.store.put_configuration(&large_configuration(4));
    fleet.wait_until_known(4, 2).await;
    for (index, (now, then)) in fleet.counts().iter().zip(before).enumerate() {
        assert!(
            readers.contains(&index) || then < *now,
            "instance {index} has not called the store"
        );
    }
}

/// Guards against a fleet in which every instance reads each change from the store and overloads it. A reader
/// whose link can carry the compressed configuration to all of its followers sends it.
#[tokio::test]
async fn a_large_configuration_comes_from_the_readers_over_wide_links() {
    let fleet = Fleet::start().await;
    let readers = fleet.settle().await;
    let before = fleet.counts();
    fleet.system.store.put_configuration(&large_configuration(4));
    fleet.wait_until_known(4, 2).await;
    for (index, (now, then)) in fleet.counts().iter().zip(before).enumerate() {
        assert!(readers.contains(&index) || then == *now, "instance {index} has called the store");
    }
}

#[tokio::test]
async fn where_the_store_does_not_answer_a_large_configuration_comes_from_a_peer() {
    let fleet = Fleet::start().await;
    fleet.settle().await;
    for (_, gate) in &fleet.instances[1..] {
        gate.set_outage(Outage::Busy);
    }
    fleet.system.store.put_configuration(&large_configuration(4));
    fleet.wait_until_known(4, 2).await;
}

/// Guards against a reader that was cut off, goes on reading from its old offset, and reports the old
/// entry of a target that has been removed.
#[tokio::test]
async fn a_reader_that_was_cut_off_does_not_restore_a_removed_target() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let gate = system.store.open_endpoint().await;
    let other = start_instance("b", &gate);
    let all_count =
        |count| system.instance.target_count() == count && other.target_count() == count;
    until(|| other.is_ready() && other.peer_count() == 1 && all_count(2)).await;
    gate.set_outage(Outage::Busy);
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| all_count(3)).await;
    system.store.drop_target("i-joined");
    until(|| all_count(2)).await;
    let before = gate.call_count();
    gate.set_outage(Outage::None);
    until(|| {
        assert!(all_count(2), "the removed target was restored");
        before + 12 < gate.call_count()
    })
    .await;
}

/// An instance that was cut off from the store and its peers finds an entry missing once it is
/// reconnected. It cannot know whether the entry expired in an outage of the store, but a peer that
/// has read the store without interruption can.
#[tokio::test]
async fn an_instance_that_was_cut_off_alone_learns_at_once_of_removed_targets() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let relay = Relay::start().await;
    relay.forward_to(&system.instance.listen().peers);
    system.store.put_instance("a", &format!("{} 1 1000 1000", relay.address()));
    let gate = system.store.open_endpoint().await;
    let other = start_instance("b", &gate);
    until(|| other.is_ready() && other.peer_count() == 1 && other.target_count() == 2).await;
    relay.set_drops(true, true);
    gate.set_outage(Outage::Busy);
    let before = gate.call_count();
    until(|| before + 4 < gate.call_count()).await;
    system.store.drop_target("i-plain-0");
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    relay.set_drops(false, false);
    gate.set_outage(Outage::None);
    // The new target is known only once the list without the other entry has been read.
    until(|| other.target_count() == 3).await;
    // With the store unavailable, only the peer can report that the entry was removed.
    gate.set_outage(Outage::Busy);
    until(|| other.target_count() == 2).await;
}
