//! Limits that targets name in their answers.

use holdpoint_core::{
    directory::TargetInstance,
    ids::Millis,
    target_limits::{Change, Named, TargetLimits},
};
use parking_lot::Mutex;

use crate::{
    events::{self, emit},
    ingress::shared::IngressShared,
    metrics::label,
};

/// Limits of targets, as this instance knows them.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: Mutex<TargetLimits>,
}

impl Limits {
    /// Takes in what a target's answer says of its limit, to a request that was sent at a time.
    pub(crate) fn heard(
        &self,
        shared: &IngressShared,
        target: &TargetInstance,
        named: Named,
        sent: Millis,
    ) {
        if named == Named::Unreadable {
            emit(events::BAD_LIMIT, &shared.settings.instance, &format!("target={}", target.id));
        }
        let change = self.known.lock().heard(shared.clock.now(), &target.id, named, sent);
        self.note(shared, &target.id, change, "answer");
    }

    /// Takes in that a target is gone or has started anew.
    pub(crate) fn remove(&self, id: &str) {
        self.known.lock().remove(id);
    }

    /// A target's limit for the log; nothing where it has none.
    pub(crate) fn shown(&self, id: &str) -> String {
        let per_s = self.known.lock().per_s(id);
        per_s.map_or(String::new(), |it| format!(" limit_per_s={it}"))
    }

    fn note(&self, shared: &IngressShared, id: &str, change: Change, source: &str) {
        let (name, before) = match change {
            Change::Nothing => return,
            Change::Began => ("began", String::new()),
            Change::Altered { before } => ("altered", format!(" before={before}")),
            Change::Ended => ("ended", String::new()),
        };
        let per_s = self.known.lock().per_s(id).map_or("none".to_owned(), |it| it.to_string());
        let detail = format!("target={id} per_s={per_s}{before} source={source}");
        emit(events::LIMIT_NAMED, &shared.settings.instance, &detail);
        shared.metrics.target_limits.add(1, &[label("change", name)]);
    }
}
