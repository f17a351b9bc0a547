//! The store comes back from a copy some seconds old: what was written since is gone, and the offsets of that
//! are given out again.

mod support;

use holdpoint_adapter_standin::{Behaviour, Target, sample_configuration};
use http::StatusCode;

use crate::support::{start, start_instance, until};

/// The records behind a reader's offset are others after the return. One that read on from there passed over
/// what operators and targets had written again in the place of what was lost.
#[tokio::test]
async fn what_is_written_in_the_place_of_what_was_lost_is_read() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let copy = system.store.copy();
    for version in 2..6 {
        system.store.put_configuration(&sample_configuration(version));
    }
    until(|| system.instance.version() == 5).await;
    system.store.come_back_from(copy);
    system.store.put_configuration(&sample_configuration(9));
    until(|| system.instance.version() == 9).await;
}

/// A configuration in force is not taken back for the older one of the copy.
#[tokio::test]
async fn an_older_configuration_of_the_copy_is_passed_over() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let copy = system.store.copy();
    system.store.put_configuration(&sample_configuration(3));
    until(|| system.instance.version() == 3).await;
    system.store.come_back_from(copy);
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| system.instance.target_count() == 3).await;
    assert_eq!(system.instance.version(), 3);
}

/// A target that left in the seconds that were lost stands in the copy as if it were well. It gets nothing:
/// no entry of it is newer than its last one.
#[tokio::test]
async fn a_target_that_has_left_is_not_brought_back_by_the_copy() {
    let system = start(&[Behaviour::Answer, Behaviour::Answer], &[]).await;
    let copy = system.store.copy();
    system.store.drop_target("i-plain-0");
    until(|| system.instance.target_count() == 2).await;
    system.store.come_back_from(copy);
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| 3 <= system.instance.target_count()).await;
    assert_eq!(system.instance.target_count(), 3);
    for index in 0..20 {
        assert_eq!(system.ask(&format!("r-{index}"), "/safe/").await.status, StatusCode::OK);
    }
    assert!(system.plain[0].runs().is_empty());
}

/// A target that joined in the seconds that were lost is well, and writes its entry again. Until then it is
/// kept: as with entries that lapsed in an outage, a release would leave a service without targets else.
#[tokio::test]
async fn a_target_that_the_copy_lacks_is_kept_until_it_has_written_its_entry_again() {
    let mut system = start(&[], &[]).await;
    let copy = system.store.copy();
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| system.instance.target_count() == 2).await;
    system.store.come_back_from(copy);
    let other = Target::start("i-other", "plain", Behaviour::Decline).await;
    system.store.put_target(&other, false);
    until(|| system.instance.target_count() == 3).await;
    assert_eq!(system.ask("r-1", "/safe/").await.status, StatusCode::OK);
    system.store.put_target(&joined, false);
    system.plain.push(joined);
    tokio::time::sleep(std::time::Duration::from_millis(2600)).await;
    assert_eq!(system.instance.target_count(), 3, "it came back in time");
}

/// The order to empty a domain was given in the seconds that were lost. The domain stays evacuated until the
/// operator has written the order again, and after it; and the order to restore it counts as ever.
#[tokio::test]
async fn a_domain_stays_evacuated_though_the_copy_does_not_say_so() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let copy = system.store.copy();
    system.store.evacuate("z1");
    until(|| !system.instance.evacuated().is_empty()).await;
    system.store.come_back_from(copy);
    let joined = Target::start("i-joined", "plain", Behaviour::Answer).await;
    system.store.put_target(&joined, false);
    until(|| system.instance.target_count() == 3).await;
    assert_eq!(system.instance.evacuated(), ["z1"]);
    system.store.evacuate("z1");
    system.store.restore("z1");
    until(|| system.instance.evacuated().is_empty()).await;
}

/// Where the operator does not write it again, the order is taken to be withdrawn after some seconds.
#[tokio::test]
async fn a_domain_that_nobody_evacuates_again_is_restored() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let copy = system.store.copy();
    system.store.evacuate("z1");
    until(|| !system.instance.evacuated().is_empty()).await;
    system.store.come_back_from(copy);
    until(|| system.instance.evacuated().is_empty()).await;
}

/// An instance that started in the seconds that were lost is in no list of the copy; it writes its entry again.
/// Without that, those who start later never hear of it.
#[tokio::test]
async fn an_instance_that_the_copy_lacks_writes_its_entry_again() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let copy = system.store.copy();
    let other = start_instance("b", &system.store.gate);
    until(|| other.is_ready() && other.peer_count() == 1 && system.instance.peer_count() == 1)
        .await;
    system.store.come_back_from(copy);
    until(|| system.store.instance_names().contains(&"b".to_owned())).await;
    let late = start_instance("c", &system.store.gate);
    until(|| late.peer_count() == 2).await;
    until(|| system.instance.peer_count() == 2 && other.peer_count() == 2).await;
}
