//! The machine is suspended for a while: the steady clock and all timers leave that out, callers do not.
//! In a file of its own, since time passes for the whole process.

mod support;

use std::time::{Duration, Instant as Steady};

use holdpoint_adapter_standin::{Behaviour, CallerRequest, call, sample_configuration, set_times};
use holdpoint_platform::{Clock, Instant};
use http::StatusCode;

use crate::support::{start, until};

/// Time of the caller and its route, in milliseconds.
const LONG_MS: u64 = 60_000;

/// An instance went on for as long as its timers said: a caller who had a minute was answered a minute
/// and the suspension after it had asked. What it had read before the suspension counted as fresh too, since
/// the clock by which its age is told left the suspension out.
#[tokio::test]
async fn a_suspension_counts_as_time_that_has_passed() {
    let clock = Clock::new();
    let before = clock.now();
    Instant::suspend(Duration::from_secs(5));
    assert!(before + 5000 <= clock.now());

    let system = start(&[Behaviour::RunAndHang], &[Behaviour::RunAndHang]).await;
    let mut configuration = sample_configuration(2);
    [0, 4].into_iter().for_each(|it| set_times(&mut configuration, it, LONG_MS));
    system.store.put_configuration(&configuration);
    until(|| system.instance.version() == 2).await;
    let callers = system.callers();
    let ask = |id: &str, path: &str| {
        let long = LONG_MS.to_string();
        let request = CallerRequest::new(id, path).with_header("holdpoint-deadline-ms", &long);
        tokio::spawn(async move { call(callers, request).await })
    };
    let (whole, stream) = (ask("r-1", "/safe/"), ask("r-2", "/story/"));
    until(|| system.plain_runs() == 1 && system.engine_runs() == 1).await;
    let begun = Steady::now();
    Instant::suspend(Duration::from_millis(LONG_MS));
    for (name, waiting) in [("whole", whole), ("stream", stream)] {
        let answer = waiting.await.unwrap().expect("there is an answer");
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{name}");
    }
    let took = begun.elapsed();
    assert!(took < Duration::from_millis(LONG_MS / 6), "it is answered at once: {took:?}");
}
