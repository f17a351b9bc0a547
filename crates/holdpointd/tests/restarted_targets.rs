//! Targets that restart under the same id, and entries of the store that cannot be read.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{Behaviour, Target};
use http::StatusCode;

use crate::support::{start, until};

/// Long enough for an entry to be read: the instances poll every 50 ms.
const READ_DELAY: Duration = Duration::from_millis(400);

/// A restarted target numbers its entries from 0 again. Guards against an instance that treats the entries of
/// the new incarnation as outdated and goes on sending to the old address.
#[tokio::test]
async fn a_target_that_starts_again_under_its_id_is_found_where_it_is_now() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let first = &system.plain[0];
    (0..60).for_each(|_| system.store.put_target(first, false));
    assert_eq!(system.ask("r-1", "/safe/").await.status, StatusCode::OK);
    first.stop();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let second = Target::start(&first.id, "plain", Behaviour::Answer).await;
    assert!(first.born() < second.born());
    system.store.put_target(&second, false);
    tokio::time::sleep(READ_DELAY).await;
    for id in 0..4 {
        assert_eq!(system.ask(&format!("s-{id}"), "/unsafe/").await.status, StatusCode::OK);
    }
    assert_eq!(second.runs().len(), 4);
    assert_eq!(system.instance.target_count(), 2);
}

/// A drain notice holds only for the incarnation that announced it.
#[tokio::test]
async fn a_target_that_left_and_starts_again_gets_work_again() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let first = &system.plain[0];
    system.store.put_target(first, true);
    until(|| system.instance.target_count() == 1).await;
    assert_eq!(system.ask("r-1", "/safe/").await.status, StatusCode::SERVICE_UNAVAILABLE);
    first.stop();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let second = Target::start(&first.id, "plain", Behaviour::Answer).await;
    system.store.put_target(&second, false);
    until(|| system.instance.target_count() == 2).await;
    assert_eq!(system.ask("r-2", "/safe/").await.status, StatusCode::OK);
    // A late entry of the drained incarnation changes nothing.
    system.store.put_target(first, true);
    tokio::time::sleep(READ_DELAY).await;
    assert_eq!(system.ask("r-3", "/safe/").await.status, StatusCode::OK);
}

/// Guards against an unreadable entry that gets requests or that affects other targets.
#[tokio::test]
async fn entries_that_cannot_be_read_get_no_requests_and_do_not_affect_others() {
    let system = start(&[Behaviour::Answer; 2], &[]).await;
    let (good, unreadable) = (&system.plain[0], &system.plain[1]);
    let entry = |state: &str| {
        format!(
            r#"{{"service":"plain","address":"{}","zone":"z1","version":"v1","slots":8,
                "state":"{state}","sequence":900}}"#,
            unreadable.address
        )
    };
    let entries = ["", "{", "[7]", r#"{"service":7}"#];
    for (index, it) in entries.into_iter().enumerate() {
        system.store.put_target_bytes(&format!("i-odd-{index}"), it.as_bytes());
    }
    system.store.put_target_bytes("i-odd-state", entry("resting").as_bytes());
    system.store.put_target_bytes("i-odd-bytes", b"\xff\xfe\x00");
    system.store.put_target_bytes(&unreadable.id, entry("resting").as_bytes());
    until(|| system.instance.target_count() == 2).await;
    let before = unreadable.arrived();
    for id in 0..6 {
        assert_eq!(system.ask(&format!("r-{id}"), "/safe/").await.status, StatusCode::OK);
    }
    assert_eq!(unreadable.arrived(), before);
    assert!(6 <= good.arrived());
    system.store.put_target(unreadable, false);
    until(|| system.instance.target_count() == 3).await;
}

/// Guards against sends to targets that have ended but are still listed, which fail before any byte is sent,
/// and yet use up the retry budget.
#[tokio::test]
async fn targets_that_nothing_reaches_use_up_no_retries() {
    let plain = [Behaviour::Answer, Behaviour::Answer, Behaviour::RunAndCut];
    let system = start(&plain, &[]).await;
    let ended = &system.plain[1];
    ended.stop();
    for index in 0..150 {
        let entry = format!(
            r#"{{"service":"plain","address":"{}","zone":"z1","version":"v1","slots":8,
                "state":"ready","sequence":0}}"#,
            ended.address
        );
        system.store.put_target_bytes(&format!("i-gone-{index}"), entry.as_bytes());
    }
    until(|| system.instance.target_count() == 154).await;
    // All other targets are nearer, and tried first.
    system.store.put_target_in(&system.plain[0], "z9", 0);
    tokio::time::sleep(READ_DELAY).await;
    for id in 0..4 {
        let answer = system.ask(&format!("r-{id}"), "/safe/").await;
        assert_eq!(answer.status, StatusCode::OK, "request {id}");
    }
}
