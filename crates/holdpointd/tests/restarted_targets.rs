//! Targets that start again under their id, and entries that name no target.

mod support;

use std::time::Duration;

use holdpoint_adapter_standin::{Behaviour, Target};
use http::StatusCode;

use crate::support::{start, until};

/// Long enough for an entry to be read: instances here read every 50 ms.
const READ: Duration = Duration::from_millis(400);

/// A target that starts again under its id counts its entries anew. An instance that compared the counts
/// alone took the new life's entries for old ones of the last life, number 60 before number 0, and sent on
/// to an address where nobody listens any more.
#[tokio::test]
async fn a_target_that_starts_again_under_its_id_is_found_where_it_is_now() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let first = &system.plain[0];
    (0..60).for_each(|_| system.store.put_target(first, false));
    assert_eq!(system.ask("r-1", "/safe/").await.status, StatusCode::OK);
    first.end();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let second = Target::start(&first.id, "plain", Behaviour::Answer).await;
    assert!(first.born() < second.born());
    system.store.put_target(&second, false);
    tokio::time::sleep(READ).await;
    for id in 0..4 {
        assert_eq!(system.ask(&format!("s-{id}"), "/unsafe/").await.status, StatusCode::OK);
    }
    assert_eq!(second.runs().len(), 4);
    assert_eq!(system.instance.target_count(), 2);
}

/// Leaving ends with the life that announced it.
#[tokio::test]
async fn a_target_that_left_and_starts_again_gets_work_again() {
    let system = start(&[Behaviour::Answer], &[]).await;
    let first = &system.plain[0];
    system.store.put_target(first, true);
    until(|| system.instance.target_count() == 1).await;
    assert_eq!(system.ask("r-1", "/safe/").await.status, StatusCode::SERVICE_UNAVAILABLE);
    first.end();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let second = Target::start(&first.id, "plain", Behaviour::Answer).await;
    system.store.put_target(&second, false);
    until(|| system.instance.target_count() == 2).await;
    assert_eq!(system.ask("r-2", "/safe/").await.status, StatusCode::OK);
    // A late entry of the life that left changes nothing.
    system.store.put_target(first, true);
    tokio::time::sleep(READ).await;
    assert_eq!(system.ask("r-3", "/safe/").await.status, StatusCode::OK);
}

/// An entry may come from another writer. It names no target to use, and the others hold.
#[tokio::test]
async fn entries_that_cannot_be_read_get_no_work_and_leave_the_others() {
    let system = start(&[Behaviour::Answer; 2], &[]).await;
    let (good, lost) = (&system.plain[0], &system.plain[1]);
    let of = |state: &str| {
        format!(
            r#"{{"service":"plain","address":"{}","zone":"z1","version":"v1","slots":8,
                "state":"{state}","sequence":900}}"#,
            lost.address
        )
    };
    let entries = ["", "{", "[7]", r#"{"service":7}"#];
    for (index, it) in entries.into_iter().enumerate() {
        system.store.put_target_bytes(&format!("i-odd-{index}"), it.as_bytes());
    }
    system.store.put_target_bytes("i-odd-state", of("resting").as_bytes());
    system.store.put_target_bytes("i-odd-bytes", b"\xff\xfe\x00");
    system.store.put_target_bytes(&lost.id, of("resting").as_bytes());
    until(|| system.instance.target_count() == 2).await;
    let before = lost.arrived();
    for id in 0..6 {
        assert_eq!(system.ask(&format!("r-{id}"), "/safe/").await.status, StatusCode::OK);
    }
    assert_eq!(lost.arrived(), before);
    assert!(6 <= good.arrived());
    system.store.put_target(lost, false);
    until(|| system.instance.target_count() == 3).await;
}

/// After engines had ended, they stood in the list for seconds more. A request that was to go on elsewhere
/// tried one after the other: nothing listened there, no byte left, and each of these sends was taken from
/// the retry budget of all instances. Of 699 such sends in 40 s came 48 requests that ended so:
///
/// ```text
/// E701 send failed: cause=not-sent
/// E706 request ended: sends=8 status=502 cause=retry-budget
/// ```
#[tokio::test]
async fn targets_that_nothing_reaches_use_up_no_retries() {
    let plain = [Behaviour::Answer, Behaviour::Answer, Behaviour::RunAndCut];
    let system = start(&plain, &[]).await;
    let gone = &system.plain[1];
    gone.end();
    for index in 0..150 {
        let entry = format!(
            r#"{{"service":"plain","address":"{}","zone":"z1","version":"v1","slots":8,
                "state":"ready","sequence":0}}"#,
            gone.address
        );
        system.store.put_target_bytes(&format!("i-gone-{index}"), entry.as_bytes());
    }
    until(|| system.instance.target_count() == 154).await;
    // All others are nearer, and tried first.
    system.store.put_target_in(&system.plain[0], "z9", 0);
    tokio::time::sleep(READ).await;
    for id in 0..4 {
        let answer = system.ask(&format!("r-{id}"), "/safe/").await;
        assert_eq!(answer.status, StatusCode::OK, "request {id}");
    }
}
