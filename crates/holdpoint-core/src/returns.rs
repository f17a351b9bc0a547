//! Spreads the retry times of refused requests at the pace of the free capacity.

use crate::ids::Millis;

/// Upper bound of the delay added by spreading, in milliseconds: callers wait no longer.
const MAX_SPREAD_MS: f64 = 30_000.0;

/// Schedule of retry times for refused requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Returns {
    next_slot: f64,
}

impl Returns {
    /// Retry delay of the next refused request, in milliseconds. `soonest` is the delay until there is capacity for
    /// one request, `gap_ms` the time between two. The schedule restarts when it is further ahead than callers wait,
    /// since a caller that is refused again takes another slot.
    pub fn take(&mut self, now: Millis, soonest: Millis, gap_ms: f64) -> Millis {
        let earliest = (now + soonest) as f64;
        let slot = self.next_slot.max(earliest);
        let at = if earliest + MAX_SPREAD_MS < slot { earliest } else { slot };
        self.next_slot = at + gap_ms;
        at as Millis - now
    }
}
