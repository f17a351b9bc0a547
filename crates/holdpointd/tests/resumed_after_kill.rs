//! Streams that callers resume after all instances were killed at once, beside a change of their targets' software
//! version. The instances are processes of their own.

mod support;

use std::{net::SocketAddr, time::Duration};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Outage, Store, Target, names, sample_configuration,
};
use http::StatusCode;
use tokio::{net::TcpStream, time::sleep};

use crate::support::{
    daemon::Daemon,
    streams::{Begun, begin, resume, versions},
};

/// Events of a whole stream, and those that its caller has when all instances are killed.
const EVENTS: u64 = 8;
const BEGUN: usize = 3;
const MEMORY_MB: f64 = 260.0;
/// Deadline of the callers, within which they resume their streams.
const DEADLINE_MS: &str = "20000";
/// Time in which an instance has written to the store what it knows of its services' versions.
const WRITE_TIME: Duration = Duration::from_millis(4000);
/// Time from a change of the list to a kill, in which an instance has read the list and written nothing yet.
const READ_TIME: Duration = Duration::from_millis(300);

/// A store, the targets of a service at an old version, and those of a new one that are not listed yet.
struct Fixture {
    store: Store,
    _plain: Target,
    old: Vec<Target>,
    new: Vec<Target>,
}

async fn engines(version: &'static str) -> Vec<Target> {
    let mut engines = Vec::new();
    for index in 0..2 {
        let id = format!("i-{version}-{index}");
        let engine = Target::start(&id, "engine", Behaviour::HangAfter(BEGUN as u64)).await;
        engine.set_version(version);
        engines.push(engine);
    }
    engines
}

impl Fixture {
    async fn start() -> Fixture {
        let store = Store::start().await;
        store.put_configuration(&sample_configuration(1));
        let plain = Target::start("i-plain", "plain", Behaviour::Answer).await;
        store.put_target(&plain, false);
        let fixture =
            Fixture { store, _plain: plain, old: engines("v1").await, new: engines("v2").await };
        fixture.list(&fixture.old);
        fixture
    }

    fn list(&self, engines: &[Target]) {
        engines.iter().for_each(|it| self.store.put_version(it, it.version(), false));
    }

    fn remove(&self, engines: &[Target]) {
        engines.iter().for_each(|it| self.store.drop_target(&it.id));
    }

    async fn start_daemon(&self, name: &str) -> Daemon {
        let daemon = Daemon::start(name, &self.store, MEMORY_MB);
        daemon.until_serving().await;
        daemon
    }

    /// Begins a stream, whose caller leaves after some events.
    async fn begin(&self, daemon: &Daemon, id: &str) -> Begun {
        let request = CallerRequest::new(id, "/story/").with_header(names::DEADLINE, DEADLINE_MS);
        let begun = begin(address(daemon), request, BEGUN).await;
        assert_eq!(begun.status, StatusCode::OK, "the stream begins");
        begun
    }

    /// Resumes a stream at another daemon, where all targets answer to the end.
    async fn resume(&self, daemon: &Daemon, id: &str) -> Begun {
        for it in self.old.iter().chain(&self.new) {
            it.set_behaviour(Behaviour::Events(EVENTS));
        }
        let request = resume(&format!("{id}-again"), "/story/", id, BEGUN as u64 - 1);
        begin(address(daemon), request, EVENTS as usize).await
    }
}

fn address(daemon: &Daemon) -> SocketAddr {
    daemon.callers.parse().unwrap()
}

/// Asserts that what a caller got of a stream in two attempts comes from one version.
fn assert_one_version(begun: &Begun, rest: &Begun) {
    let events = format!("{}{}", begun.body, rest.body);
    assert!(versions(&events).len() <= 1, "events of two versions, {}: {events}", rest.status);
}

/// Guards against a stream that another version continues since nobody saw both: the targets were replaced while no
/// instance ran.
#[tokio::test]
async fn a_stream_is_not_continued_by_a_version_that_came_while_no_instance_ran() {
    let fixture = Fixture::start().await;
    let daemon = fixture.start_daemon("replaced-1").await;
    sleep(WRITE_TIME).await;
    let begun = fixture.begin(&daemon, "r-1").await;
    drop(daemon);
    fixture.remove(&fixture.old);
    fixture.list(&fixture.new);
    let daemon = fixture.start_daemon("replaced-2").await;
    assert_one_version(&begun, &fixture.resume(&daemon, "r-1").await);
    // A second look, after the new instance has written what it knows.
    sleep(WRITE_TIME).await;
    assert_one_version(&begun, &fixture.resume(&daemon, "r-1").await);
}

/// Guards against the same where the old version's targets left just before the kill, and nothing was written since.
#[tokio::test]
async fn a_stream_is_not_continued_by_another_version_if_its_own_left_just_before_the_kill() {
    let fixture = Fixture::start().await;
    let daemon = fixture.start_daemon("left-1").await;
    sleep(WRITE_TIME).await;
    let begun = fixture.begin(&daemon, "r-1").await;
    fixture.list(&fixture.new);
    fixture.remove(&fixture.old);
    sleep(READ_TIME).await;
    drop(daemon);
    let daemon = fixture.start_daemon("left-2").await;
    assert_one_version(&begun, &fixture.resume(&daemon, "r-1").await);
}

/// Guards against the same where the store is away at the restart, and where the origin of a stream is not written yet.
#[tokio::test]
async fn a_stream_is_not_continued_by_another_version_if_the_store_is_away_at_the_restart() {
    let fixture = Fixture::start().await;
    let daemon = fixture.start_daemon("away-1").await;
    fixture.list(&fixture.new);
    sleep(WRITE_TIME).await;
    let begun = fixture.begin(&daemon, "r-1").await;
    drop(daemon);
    let written_by: Vec<&str> = versions(&begun.body).into_iter().collect();
    fixture.remove(if written_by == ["v1"] { &fixture.old } else { &fixture.new });
    fixture.store.endpoint.set_outage(Outage::Busy);
    let daemon = Daemon::start("away-2", &fixture.store, MEMORY_MB);
    while TcpStream::connect(address(&daemon)).await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    assert_one_version(&begun, &fixture.resume(&daemon, "r-1").await);
    fixture.store.endpoint.set_outage(Outage::None);
    daemon.until_serving().await;
    assert_one_version(&begun, &fixture.resume(&daemon, "r-1").await);
}

/// Guards against streams of a single version that are refused after a kill of all.
#[tokio::test]
async fn a_stream_of_the_only_version_goes_on_after_a_kill_of_all() {
    let fixture = Fixture::start().await;
    let daemon = fixture.start_daemon("only-1").await;
    sleep(WRITE_TIME).await;
    let begun = fixture.begin(&daemon, "r-1").await;
    drop(daemon);
    let daemon = fixture.start_daemon("only-2").await;
    let rest = fixture.resume(&daemon, "r-1").await;
    assert_eq!(rest.status, StatusCode::OK);
    assert_eq!(versions(&rest.body), versions(&begun.body));
}

/// Guards against streams that were begun before their service had two versions, and that nobody knows after a kill of
/// all.
#[tokio::test]
async fn a_stream_begun_before_another_version_came_goes_on_after_a_kill_of_all() {
    let fixture = Fixture::start().await;
    let daemon = fixture.start_daemon("before-1").await;
    sleep(WRITE_TIME).await;
    let begun = fixture.begin(&daemon, "r-1").await;
    fixture.list(&fixture.new);
    sleep(WRITE_TIME).await;
    drop(daemon);
    let daemon = fixture.start_daemon("before-2").await;
    sleep(WRITE_TIME).await;
    let rest = fixture.resume(&daemon, "r-1").await;
    assert_eq!(rest.status, StatusCode::OK);
    assert_eq!(versions(&rest.body), versions(&begun.body));
}
