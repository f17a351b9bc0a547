//! Whether a request is admitted, by what its whole chain of stages can carry.
//!
//! The batcher of the first stage decides, since nothing has been made for the request yet. It expects the
//! request's stages one after the other: its own queue first, then the accounts of what the later ones are
//! promised ([`crate::promises`]). What is expected in time is admitted and promised; what is not is
//! admitted late where the time that requests in time leave suffices, and refused else.

use crate::{
    batcher::Batcher,
    ids::{Millis, Name},
    promises::{Expected, Promises, StageAhead},
};

/// How many mean errors of the estimate must fit between the expected end of the stages and their due time.
/// With errors spread as normal ones are, seven of eight requests admitted at the edge are in time then.
const MARGIN: f64 = 1.0;
/// Least part of the targets' time that is taken to be left for late requests.
const LEAST_SPARE: f64 = 0.05;

/// Worth of a late answer from which on late requests are admitted for the time that others leave in the long
/// run, and else for what they leave at present. In a burst of six seconds the former had 6,489 and 1,387
/// requests of a class in time and late, the latter 6,672 and 684 (of 7,908, one play of 40 s each at 86
/// instances, same seed): the same sum at a worth of 0.26.
const FILLING_WORTH: f64 = 0.26;

/// What the deployment's answers are worth, as its operator declares it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Worth of a late answer as a part of one in time, from 0 to 1.
    pub late_worth: f64,
}

impl Objective {
    /// Time in which a late request is served that stands aside for `aside_ms` of late work before it, and for
    /// all that is promised in time meanwhile.
    fn late_ms(self, now: Millis, batcher: &Batcher, expected: &Expected, aside_ms: f64) -> f64 {
        if FILLING_WORTH <= self.late_worth {
            return expected.ms + aside_ms / expected.lasting_spare.max(LEAST_SPARE);
        }
        let spare = expected.spare.min(batcher.spare(now));
        (expected.ms + aside_ms) / spare.max(LEAST_SPARE)
    }

    /// Whether a request is served although it will be late.
    fn serves_late(self) -> bool {
        0.0 < self.late_worth
    }
}

/// A request that has cost nothing yet, at the batcher of its first stage.
#[derive(Clone, Debug)]
pub struct FirstAsk<'a> {
    /// When the first stage's results should be there.
    pub due: Millis,
    /// When they are made at the latest once they cannot be in time any more.
    pub late_due: Millis,
    /// Pieces of the first stage.
    pub pieces: usize,
    /// Stages after the first one.
    pub ahead: &'a [StageAhead],
    /// When the results of the last stage should be there, for the request to be in time.
    pub end: Millis,
    /// When they must be there, for the request to be served at all.
    pub deadline: Millis,
    /// What its answer is worth.
    pub objective: Objective,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is expected in time.
    InTime(Expected),
    /// It will be late, in the time that others leave.
    Late(Expected),
    /// It is refused.
    Refused {
        /// Time in which its last stage would be made, in milliseconds.
        expected: Millis,
        /// Service whose queue is the longest on its way; the first stage's where there is none.
        by: Option<Name>,
        /// How much too late it would be, in milliseconds.
        excess: Millis,
    },
}

/// Decides on a request, and promises its later stages where it is admitted.
pub fn decide(
    now: Millis,
    batcher: &Batcher,
    promises: &mut Promises,
    ask: &FirstAsk<'_>,
) -> Verdict {
    if ask.ahead.is_empty() {
        return alone(now, batcher, ask);
    }
    let (own_ms, own_spread) = batcher.likely_ms(now, ask.due, ask.pieces);
    let own_wait = batcher.wait_ms(now, ask.due);
    let mut expected = promises.expect(now, own_ms, ask.ahead);
    expected.spread_ms = expected.spread_ms.hypot(own_spread);
    let needed = (expected.ms + MARGIN * expected.spread_ms) as Millis;
    if now + needed <= ask.end {
        promises.promise(now, ask.ahead, &expected, false);
        return Verdict::InTime(expected);
    }
    let (own_late, _) = batcher.likely_ms(now, ask.late_due, ask.pieces);
    let aside_ms = (own_late - own_ms).max(0.0) + expected.late_ms;
    let late_ms = ask.objective.late_ms(now, batcher, &expected, aside_ms);
    if now + late_ms as Millis <= ask.deadline && ask.objective.serves_late() {
        promises.promise(now, ask.ahead, &expected, true);
        return Verdict::Late(expected);
    }
    Verdict::Refused {
        expected: expected.ms as Millis,
        by: expected.longest_wait.filter(|it| own_wait <= it.1).map(|it| it.0),
        excess: (now + needed).saturating_sub(ask.end),
    }
}

/// The verdict on a request with one stage.
fn alone(now: Millis, batcher: &Batcher, ask: &FirstAsk<'_>) -> Verdict {
    let expected_ms = batcher.expected_ms(now, ask.due, ask.pieces);
    let expected = Expected { ms: expected_ms as f64, ..Expected::default() };
    match batcher.admit(now, ask.due, ask.late_due, ask.pieces) {
        Ok(()) if now + expected_ms <= ask.due => Verdict::InTime(expected),
        Ok(()) if ask.objective.serves_late() => Verdict::Late(expected),
        late => {
            let expected = late.err().unwrap_or(expected_ms);
            let excess = (now + expected).saturating_sub(ask.due);
            Verdict::Refused { expected, by: None, excess }
        }
    }
}
