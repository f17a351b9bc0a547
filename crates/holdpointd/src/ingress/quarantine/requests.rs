//! What the quarantine learns from a request, and how it applies to one.

use std::time::Duration;

use holdpoint_core::{directory::TargetInstance, quarantine::Fingerprint};

use crate::{
    events::{self, LoggedName, emit},
    ingress::{answer::Answer, context::Context},
};

impl Context {
    /// Records that the connection to a target broke while the target ran the request. `has_answered` tells that it had
    /// answered the prompt for some time, so that no part of it has crashed the target.
    pub(crate) fn connection_broken(&self, target: &TargetInstance, has_answered: bool) {
        let now = self.shared.clock.now();
        let quarantines = &self.shared.quarantines;
        let parts = if has_answered { &[][..] } else { self.part_fingerprints() };
        let suspects = (0..).zip(parts.iter().copied());
        let suspects = suspects.filter(|it| !quarantines.was_answered(now, it.1));
        quarantines.connection_broken(self.fingerprint(), suspects, target);
    }

    /// Records that the request was completed.
    pub(crate) fn request_completed(&self) {
        self.shared.quarantines.request_completed(&self.service, || self.fingerprint());
        self.prompt_answered();
    }

    /// Records that a target has answered the prompt for some time.
    pub(crate) fn prompt_answered(&self) {
        let parts = self.part_fingerprints();
        if !parts.is_empty() {
            let now = self.shared.clock.now();
            self.shared.quarantines.parts_answered(now, &self.service, parts);
        }
    }

    /// Fingerprints of the parts of the prompt that other requests may share.
    fn part_fingerprints(&self) -> &[Fingerprint] {
        self.parts.get_or_init(|| Fingerprint::of_parts(&self.service, &self.head.prompt))
    }

    fn find_quarantined(&self) -> Option<(Fingerprint, Duration)> {
        let fingerprints =
            || std::iter::once(self.fingerprint()).chain(self.part_fingerprints().iter().copied());
        let found = self.shared.quarantines.find(self.shared.clock.now(), fingerprints);
        found.map(|(fingerprint, ms)| (fingerprint, Duration::from_millis(ms)))
    }

    /// Remaining quarantine of the request, or of a part of its prompt; `None` if it is not quarantined.
    pub(crate) fn quarantine_left(&self) -> Option<Duration> {
        self.find_quarantined().map(|it| it.1)
    }

    /// Waits until the request is quarantined.
    pub(crate) async fn wait_quarantined(&self) {
        let mut quarantine_added = self.shared.quarantines.quarantine_added.subscribe();
        // The sender lives as long as the instance.
        while self.quarantine_left().is_none() && quarantine_added.changed().await.is_ok() {}
    }

    /// Refuses the request if it is quarantined.
    pub(crate) fn refuse_quarantined(&self) -> Option<Answer> {
        let (fingerprint, left) = self.find_quarantined()?;
        let detail = format!(
            "id={} fingerprint={fingerprint} left_ms={}",
            LoggedName(&self.request.id),
            left.as_millis()
        );
        emit(events::REFUSED_QUARANTINED, &self.shared.settings.instance, &detail);
        Some(self.final_answer("quarantined", left))
    }
}
