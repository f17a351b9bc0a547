//! The store is restored from a snapshot that is some seconds old. Later records are lost, and their offsets are
//! used again.

mod support;

use holdpoint_adapter_standin::{Behaviour, Target, sample_configuration};
use http::StatusCode;

use crate::support::{start, start_instance, until};

/// Guards against a reader that goes on from its old offset after the restore, and skips new records at reused
/// offsets.
#[tokio::test]
async fn records_at_reused_offsets_are_read() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let snapshot = system.store.snapshot();
    for version in 2..6 {
        system.store.put_configuration(&sample_configuration(version));
    }
    until(|| system.instance.version() == 5).await;
    system.store.restore_snapshot(snapshot);
    system.store.put_configuration(&sample_configuration(9));
    until(|| system.instance.version() == 9).await;
}

/// An active configuration is not replaced by the older one of the snapshot.
#[tokio::test]
async fn an_older_configuration_of_the_snapshot_is_ignored() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let snapshot = system.store.snapshot();
    system.store.put_configuration(&sample_configuration(3));
    until(|| system.instance.version() == 3).await;
    system.store.restore_snapshot(snapshot);
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| system.instance.target_count() == 3).await;
    assert_eq!(system.instance.version(), 3);
}

/// A target that was removed after the snapshot is listed in it as ready. It gets no requests, since its entry
/// is not newer than the last one read.
#[tokio::test]
async fn a_removed_target_is_not_restored_by_the_snapshot() {
    let system = start(&[Behaviour::Answer, Behaviour::Answer], &[]).await;
    let snapshot = system.store.snapshot();
    system.store.drop_target("i-plain-0");
    until(|| system.instance.target_count() == 2).await;
    system.store.restore_snapshot(snapshot);
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| 3 <= system.instance.target_count()).await;
    assert_eq!(system.instance.target_count(), 3);
    for index in 0..20 {
        assert_eq!(system.ask(&format!("r-{index}"), "/safe/").await.status, StatusCode::OK);
    }
    assert!(system.plain[0].runs().is_empty());
}

/// A target that joined after the snapshot is healthy, and writes its entry again. Guards against an instance
/// that drops it in between and leaves a service without targets.
#[tokio::test]
async fn a_target_missing_from_the_snapshot_is_kept_until_it_has_written_its_entry_again() {
    let mut system = start(&[], &[]).await;
    let snapshot = system.store.snapshot();
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| system.instance.target_count() == 2).await;
    system.store.restore_snapshot(snapshot);
    let other = Target::start("i-other", "plain", Behaviour::Decline).await;
    system.store.put_target(&other, false);
    until(|| system.instance.target_count() == 3).await;
    assert_eq!(system.ask("r-1", "/safe/").await.status, StatusCode::OK);
    system.store.put_target(&joined, false);
    system.plain.push(joined);
    tokio::time::sleep(std::time::Duration::from_millis(2600)).await;
    assert_eq!(
        system.instance.target_count(),
        3,
        "the target wrote its entry again in time and is kept"
    );
}

/// The order to evacuate a failure domain was written after the snapshot. The domain stays evacuated until the
/// operator has written the order again, and after that until the order to restore the domain.
#[tokio::test]
async fn a_domain_stays_evacuated_although_the_snapshot_lacks_the_order() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let snapshot = system.store.snapshot();
    system.store.evacuate("z1");
    until(|| !system.instance.evacuated().is_empty()).await;
    system.store.restore_snapshot(snapshot);
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| system.instance.target_count() == 3).await;
    assert_eq!(system.instance.evacuated(), ["z1"]);
    system.store.evacuate("z1");
    system.store.restore("z1");
    until(|| system.instance.evacuated().is_empty()).await;
}

/// If the operator does not write the order again, it is treated as withdrawn after some seconds.
#[tokio::test]
async fn a_domain_whose_evacuation_is_not_ordered_again_is_restored() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let snapshot = system.store.snapshot();
    system.store.evacuate("z1");
    until(|| !system.instance.evacuated().is_empty()).await;
    system.store.restore_snapshot(snapshot);
    until(|| system.instance.evacuated().is_empty()).await;
}

/// An instance that started after the snapshot is not listed in it. Guards against later instances that never
/// discover it.
#[tokio::test]
async fn an_instance_missing_from_the_snapshot_writes_its_entry_again() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let snapshot = system.store.snapshot();
    let other = start_instance("b", &system.store.endpoint);
    until(|| other.is_ready() && other.peer_count() == 1 && system.instance.peer_count() == 1)
        .await;
    system.store.restore_snapshot(snapshot);
    until(|| system.store.instance_names().contains(&"b".to_owned())).await;
    let late = start_instance("c", &system.store.endpoint);
    until(|| late.peer_count() == 2).await;
    until(|| system.instance.peer_count() == 2 && other.peer_count() == 2).await;
}
