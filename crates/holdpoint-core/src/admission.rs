//! Admission of a request by the estimated time of its whole chain of stages.
//!
//! The batcher of the first stage decides, before any work is done for the request. It estimates its own
//! queue, then the queues of the later stages from the work already admitted to them
//! ([`crate::promises`]). A request expected in time is admitted. Another is admitted late where the spare
//! capacity suffices, and refused otherwise.

use crate::{
    batcher::Batcher,
    ids::{Millis, Name},
    promises::{Expected, Promises, StageAhead},
};

/// Safety margin between the expected end of the stages and their due time, in mean errors of the estimate.
const MARGIN_ERRORS: f64 = 1.0;
/// Lower bound of the spare capacity assumed for late requests, as a fraction.
const MIN_SPARE: f64 = 0.05;

/// Value of a late answer from which on late requests are admitted by the spare capacity in the long run; below
/// it by the recent spare capacity, which admits fewer late requests in a burst and serves more in time.
const LONG_RUN_VALUE: f64 = 0.26;

/// Value of the deployment's answers, as configured by its operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Value of a late answer relative to one in time, from 0 to 1.
    pub late_worth: f64,
}

impl Objective {
    /// Expected time of a late request, in milliseconds: after `backlog_ms` of late work before it, and with
    /// only the capacity that requests in time leave.
    fn late_ms(self, now: Millis, batcher: &Batcher, expected: &Expected, backlog_ms: f64) -> f64 {
        if LONG_RUN_VALUE <= self.late_worth {
            return expected.ms + backlog_ms / expected.long_spare.max(MIN_SPARE);
        }
        let spare = expected.spare.min(batcher.spare(now));
        (expected.ms + backlog_ms) / spare.max(MIN_SPARE)
    }

    fn accepts_late(self) -> bool {
        0.0 < self.late_worth
    }
}

/// A request at the batcher of its first stage, before any work was done for it.
#[derive(Clone, Debug)]
pub struct FirstAsk<'a> {
    /// When the first stage's results are due.
    pub due: Millis,
    /// When they are due if the request is served late.
    pub late_due: Millis,
    /// Number of work items of the first stage.
    pub pieces: usize,
    /// Stages after the first one.
    pub ahead: &'a [StageAhead],
    /// When the results of the last stage are due for the request to be in time.
    pub end: Millis,
    /// When they are due at the latest, for the request to be served at all.
    pub deadline: Millis,
    /// Value of its answer.
    pub objective: Objective,
}

/// Admission decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Admitted, expected in time.
    InTime(Expected),
    /// Admitted with spare capacity, expected late.
    Late(Expected),
    /// Refused.
    Refused {
        /// Expected time until its last stage ends, in milliseconds.
        expected: Millis,
        /// Service of the later stage with the longest queue; `None` if the first stage's is longer.
        by: Option<Name>,
        /// How late it would be, in milliseconds.
        excess: Millis,
    },
}

/// Decides on a request, and records the work of its later stages if it is admitted.
pub fn decide(
    now: Millis,
    batcher: &Batcher,
    promises: &mut Promises,
    ask: &FirstAsk<'_>,
) -> Verdict {
    if ask.ahead.is_empty() {
        return decide_single_stage(now, batcher, ask);
    }
    let (own_ms, own_spread) = batcher.likely_ms(now, ask.due, ask.pieces);
    let own_wait = batcher.wait_ms(now, ask.due);
    let mut expected = promises.expect(now, own_ms, ask.ahead);
    expected.spread_ms = expected.spread_ms.hypot(own_spread);
    let needed = (expected.ms + MARGIN_ERRORS * expected.spread_ms) as Millis;
    if now + needed <= ask.end {
        promises.promise(now, ask.ahead, &expected, false);
        return Verdict::InTime(expected);
    }
    let (own_late, _) = batcher.likely_ms(now, ask.late_due, ask.pieces);
    let backlog_ms = (own_late - own_ms).max(0.0) + expected.late_ms;
    let late_ms = ask.objective.late_ms(now, batcher, &expected, backlog_ms);
    if now + late_ms as Millis <= ask.deadline && ask.objective.accepts_late() {
        promises.promise(now, ask.ahead, &expected, true);
        return Verdict::Late(expected);
    }
    Verdict::Refused {
        expected: expected.ms as Millis,
        by: expected.longest_wait.filter(|it| own_wait <= it.1).map(|it| it.0),
        excess: (now + needed).saturating_sub(ask.end),
    }
}

/// Decides on a request with a single stage.
fn decide_single_stage(now: Millis, batcher: &Batcher, ask: &FirstAsk<'_>) -> Verdict {
    let expected_ms = batcher.expected_ms(now, ask.due, ask.pieces);
    let expected = Expected { ms: expected_ms as f64, ..Expected::default() };
    match batcher.admit(now, ask.due, ask.late_due, ask.pieces) {
        Ok(()) if now + expected_ms <= ask.due => Verdict::InTime(expected),
        Ok(()) if ask.objective.accepts_late() => Verdict::Late(expected),
        late => {
            let expected = late.err().unwrap_or(expected_ms);
            let excess = (now + expected).saturating_sub(ask.due);
            Verdict::Refused { expected, by: None, excess }
        }
    }
}
