//! Checks that each process serves with the newest configuration, at the start and after the last fault.

use std::time::Duration;

use holdpoint_adapter_standin::{CallerRequest, call};

use crate::{
    fleet::{Fleet, key},
    verdict::{Finding, Invariant},
};

/// Prefix of the ids of requests that check whether a process has recovered.
pub(crate) const PROBE: &str = "probe-";

/// Time limit for a process to serve requests again, at the start and after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until each process serves with the newest configuration; reports those that time out.
pub(crate) async fn await_recovery(fleet: &Fleet) -> Vec<Finding> {
    let start = fleet.clock.now();
    let mut findings = Vec::new();
    for process in 0..fleet.callers.addresses.len() {
        let recovered =
            tokio::time::timeout(RECOVERY_TIMEOUT, wait_until_serving(fleet, process)).await;
        if recovered.is_err() {
            let id = format!("p{process}");
            let version = *fleet.version.lock();
            let detail = format!("does not serve with configuration {version}");
            findings.push(Finding { invariant: Invariant::Recovered, id, at: start, detail });
        }
    }
    findings
}

async fn wait_until_serving(fleet: &Fleet, process: usize) {
    let mut count = 0;
    loop {
        count += 1;
        let key = match *fleet.version.lock() {
            1 => "key-1".to_owned(),
            version => key(version),
        };
        let request = |path: &str| {
            let id = format!("{PROBE}{process}-{}-{count}", fleet.clock.now());
            CallerRequest::new(&id, path).with_header("authorization", &format!("Bearer {key}"))
        };
        let address = *fleet.callers.addresses[process].lock();
        if let Some(it) = address {
            let plain = call(it, request("/safe/")).await;
            let staged = call(it, request("/staged/").with_items("1,1")).await;
            if [plain, staged].into_iter().all(|it| it.is_some_and(|it| it.status == 200)) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
