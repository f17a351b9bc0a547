//! Services that instances do not reach, as they report it in health checks. Such instances do not own these services.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use holdpoint_core::ids::Name;
use holdpoint_platform::Instant;
use parking_lot::Mutex;

/// How long a report counts. Health checks of a peer in use repeat it more often.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2000);

#[derive(Debug, Default)]
struct Reports {
    own: Vec<Name>,
    /// By the address of the peer, with the time of the report.
    peers: HashMap<String, (Vec<Name>, Instant)>,
}

/// Reports of all instances.
#[derive(Debug, Default)]
pub(super) struct Unreached {
    /// Whether there is any report; saves the lock.
    has_any: AtomicBool,
    reports: Mutex<Reports>,
}

impl Unreached {
    pub(super) fn set_own(&self, services: Vec<Name>) {
        let mut reports = self.reports.lock();
        reports.own = services;
        self.update(&reports);
    }

    pub(super) fn own(&self) -> Vec<Name> {
        self.reports.lock().own.clone()
    }

    /// Sets the report of a peer.
    pub(super) fn set(&self, address: &str, services: Vec<Name>) {
        if services.is_empty() && !self.has_any.load(Ordering::Acquire) {
            return;
        }
        let mut reports = self.reports.lock();
        if services.is_empty() {
            reports.peers.remove(address);
        } else {
            reports.peers.insert(address.to_owned(), (services, Instant::now()));
        }
        reports.peers.retain(|_, it| it.1.elapsed() < REPORT_TIMEOUT);
        self.update(&reports);
    }

    /// Whether an instance does not reach a service; `None` is this instance.
    pub(super) fn contains(&self, address: Option<&str>, service: &str) -> bool {
        if !self.has_any.load(Ordering::Acquire) {
            return false;
        }
        let reports = self.reports.lock();
        let services = match address {
            None => Some(&reports.own),
            Some(it) => {
                let report = reports.peers.get(it);
                report.filter(|it| it.1.elapsed() < REPORT_TIMEOUT).map(|it| &it.0)
            }
        };
        services.is_some_and(|it| it.iter().any(|it| it == service))
    }

    fn update(&self, reports: &Reports) {
        let has_any = !reports.own.is_empty() || !reports.peers.is_empty();
        self.has_any.store(has_any, Ordering::Release);
    }
}
