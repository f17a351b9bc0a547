//! When requests that are refused may come back.

use crate::ids::Millis;

/// Time over which they are spread, in milliseconds: callers wait no longer.
const SPREAD_MS: f64 = 30_000.0;

/// The times at which refused requests may come back, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Returns {
    next: f64,
}

impl Returns {
    /// When the next one may come back, in milliseconds, where there is room for one in `soonest` at the earliest and
    /// for another one each `gap_ms`. A caller that is refused again takes another turn; so the turns begin anew
    /// where they are further off than callers wait.
    pub fn take(&mut self, now: Millis, soonest: Millis, gap_ms: f64) -> Millis {
        let earliest = (now + soonest) as f64;
        let turn = self.next.max(earliest);
        let at = if earliest + SPREAD_MS < turn { earliest } else { turn };
        self.next = at + gap_ms;
        at as Millis - now
    }
}
