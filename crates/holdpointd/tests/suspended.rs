//! The machine is suspended for a while. The monotonic clock and all timers do not count that time, but callers do.
//! A separate test file, since the simulated suspension holds for the whole process.

mod support;

use std::time::{Duration, Instant as Steady};

use holdpoint_adapter_standin::{Behaviour, CallerRequest, call, sample_configuration, set_times};
use holdpoint_platform::{Clock, Instant};
use http::StatusCode;

use crate::support::{start, until};

/// Deadline of the caller and its route, in milliseconds.
const DEADLINE_MS: u64 = 60_000;

/// Guards against deadlines that are extended by the length of a suspension, and against state read before it
/// that still counts as fresh.
#[tokio::test]
async fn a_suspension_counts_as_time_that_has_passed() {
    let clock = Clock::new();
    let before = clock.now();
    Instant::simulate_suspension(Duration::from_secs(5));
    assert!(before + 5000 <= clock.now());

    let system = start(&[Behaviour::RunAndHang], &[Behaviour::RunAndHang]).await;
    let mut configuration = sample_configuration(2);
    [0, 4].into_iter().for_each(|it| set_times(&mut configuration, it, DEADLINE_MS));
    system.store.put_configuration(&configuration);
    until(|| system.instance.version() == 2).await;
    let callers = system.caller_address();
    let send = |id: &str, path: &str| {
        let deadline = DEADLINE_MS.to_string();
        let request = CallerRequest::new(id, path).with_header("holdpoint-deadline-ms", &deadline);
        tokio::spawn(async move { call(callers, request).await })
    };
    let (whole, stream) = (send("r-1", "/safe/"), send("r-2", "/story/"));
    until(|| system.plain_runs() == 1 && system.engine_runs() == 1).await;
    let resumed = Steady::now();
    Instant::simulate_suspension(Duration::from_millis(DEADLINE_MS));
    for (name, pending) in [("whole", whole), ("stream", stream)] {
        let answer = pending.await.unwrap().expect("the instance answers");
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{name}");
    }
    let delay = resumed.elapsed();
    assert!(
        delay < Duration::from_millis(DEADLINE_MS / 6),
        "the answer came late after the suspension: {delay:?}"
    );
}
