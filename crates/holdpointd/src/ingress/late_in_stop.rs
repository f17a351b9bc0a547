//! Refuses requests that a stopping instance has read too late to answer, while they have not run.

use std::time::Duration;

use holdpoint_core::ids::Millis;

use crate::{
    events::{self, LoggedName, emit},
    ingress::{answer::Answer, attempts::StopCause, context::Context, send::time_until},
};

/// Retry-After of a refused request; other instances can serve it at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Percentile of answer times that has to fit into the rest of a stop. A request that may be repeated is resumed or sent again
/// elsewhere if it is cut, and is refused only where that is likely.
const REPEATABLE_QUANTILE: f64 = 0.5;
const SINGLE_RUN_QUANTILE: f64 = 0.95;

impl Context {
    /// Refuses the request if this instance stops, and requests of its route usually take longer than what is left.
    pub(crate) fn refuse_late_in_stop(&self) -> Option<Answer> {
        let left = time_until(*self.shared.final_answers_at.get()?);
        let usual_ms = self.usual_ms();
        if Duration::from_millis(usual_ms) < left {
            return None;
        }
        let detail = format!(
            "id={} route={} usual_ms={usual_ms} left_ms={}",
            LoggedName(&self.request.id),
            self.route.name,
            left.as_millis()
        );
        emit(events::REFUSED_IN_STOP, &self.shared.settings.instance, &detail);
        Some(self.final_answer(StopCause::Stopping.name(), RETRY_AFTER))
    }

    /// Time that the route's requests usually take; their target time if none is known.
    fn usual_ms(&self) -> Millis {
        let quantile = if self.is_repeatable() { REPEATABLE_QUANTILE } else { SINGLE_RUN_QUANTILE };
        let times = self.shared.answer_times.get_or_create(&self.route.name, Default::default);
        let usual = times.lock().quantile(quantile);
        usual.unwrap_or(self.route.objective_ms)
    }
}
