//! Estimates when work items complete, and measures how accurate the estimates were.

use super::{Batcher, targets::Target};
use crate::{
    ids::Millis,
    pieces::{Call, Waiting},
    promises::StageLoad,
};

/// Fraction of the targets' time that may be lent to other regions; the rest is a reserve for
/// unexpected load.
const LENDABLE_FRACTION: f64 = 0.8;
/// Bounds of the ratio of actual to predicted waiting time.
const LAG_RANGE: (f64, f64) = (1.0, 6.0);
/// Weight of the newest item in the moving average of that ratio.
const LAG_WEIGHT: f64 = 0.1;
/// Smallest fraction of the targets' time that is assumed to be left for late items.
const MIN_SPARE_FRACTION: f64 = 0.05;
/// Age at which call measurements have lost half their weight, in milliseconds.
const HALF_LIFE_MS: f64 = 700.0;
/// Weight of the newest call in the moving averages of call measurements.
const CALL_WEIGHT: f64 = 0.1;

/// Predicted and actual time of a call's items, each as a mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// Predicted time from offer to result, in milliseconds.
    pub predicted_ms: f64,
    /// Actual time from offer to result, in milliseconds.
    pub took_ms: f64,
}

/// Moving averages over answered calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallStats {
    /// Decayed sum of call times, each multiplied by its number of items, and decayed sum of items.
    item_ms: f64,
    items: f64,
    /// Mean ratio of a call's items to the largest allowed number, over calls with a backlog behind
    /// them.
    fill_ratio: Option<f64>,
    /// Mean difference between actual and predicted time, in milliseconds.
    bias_ms: f64,
    /// Mean absolute deviation from `bias_ms`, in milliseconds.
    spread_ms: f64,
    /// When a call was last answered.
    last_answered: Millis,
    /// When a call with predicted items was last answered.
    last_predicted: Millis,
}

impl CallStats {
    /// Records a call that was answered after `ms` milliseconds.
    fn record(&mut self, now: Millis, call: &Call, ms: Millis) -> Option<Judgement> {
        self.last_answered = now;
        let retained = 1.0 - CALL_WEIGHT;
        let items = call.pieces.len() as f64;
        self.item_ms = retained * self.item_ms + items * ms as f64;
        self.items = retained * self.items + items;
        let max_items = call.sizes.max_items();
        if call.has_backlog() {
            let fill_ratio = items / max_items as f64;
            let before = self.fill_ratio.unwrap_or(fill_ratio);
            self.fill_ratio = Some(before + CALL_WEIGHT * (fill_ratio - before));
        }
        let predicted_items = || call.pieces.iter().filter_map(|it| Some((it, it.predicted_ms?)));
        let count = predicted_items().count() as f64;
        if count == 0.0 {
            return None;
        }
        let predicted = predicted_items().map(|it| it.1).sum::<f64>() / count;
        let took = predicted_items().map(|it| now.saturating_sub(it.0.offered) as f64).sum::<f64>()
            / count;
        let error = took - predicted;
        let judgement = Judgement { predicted_ms: predicted + self.bias_ms, took_ms: took };
        self.last_predicted = now;
        // Weighted by items, since a randomly chosen item is more likely to be in a large call.
        let weight = (count / self.items).min(1.0);
        self.bias_ms += weight * (error - self.bias_ms);
        self.spread_ms += weight * ((error - self.bias_ms).abs() - self.spread_ms);
        Some(judgement)
    }

    /// Weight of the measured call times. It decays with age: a long time that causes refusals
    /// would otherwise persist, since refused items produce no measurements.
    fn confidence(&self, now: Millis) -> f64 {
        confidence(now.saturating_sub(self.last_answered))
    }

    /// Weight of the measured prediction errors. Late items have no prediction, so while all items
    /// are late no error is measured; the decay keeps an old error from making all later items
    /// late.
    fn error_confidence(&self, now: Millis) -> f64 {
        confidence(now.saturating_sub(self.last_predicted))
    }

    /// Expected time of an item's call, in milliseconds; `usual` without measurements.
    fn call_ms(&self, now: Millis, usual: f64) -> f64 {
        if self.items < 1.0 {
            return usual;
        }
        usual + self.confidence(now) * (self.item_ms / self.items - usual)
    }
}

/// Weight of a measurement of this age, in milliseconds.
fn confidence(age: Millis) -> f64 {
    0.5_f64.powf(age as f64 / HALF_LIFE_MS)
}

impl Batcher {
    /// Expected time until `items` more items with this due time complete, in milliseconds: the
    /// call in progress, the items that go before them, and a call of their own.
    pub fn expected_ms(&self, now: Millis, due: Millis, items: usize) -> Millis {
        let own_call = self.sizes.stated_ms(items.min(self.sizes.max_items()));
        (self.lag * self.predicted_wait(now, due) + own_call) as Millis
    }

    /// Expected time of an item that is queued behind all items that can be on time, in
    /// milliseconds.
    pub fn usual_ms(&self, now: Millis) -> Millis {
        let load = self.load(now);
        load.expected_ms(load.waiting) as Millis
    }

    /// The load of this stage, as reported to the instances that admit requests.
    pub fn load(&self, now: Millis) -> StageLoad {
        let late = self.waiting.iter().filter(|it| self.is_late(now, it)).count();
        self.load_with(now, (self.waiting.len() - late) as f64, late as f64)
    }

    fn load_with(&self, now: Millis, waiting: f64, late: f64) -> StageLoad {
        let max_items = self.sizes.max_items();
        let full_items = self
            .call_stats
            .fill_ratio
            .map_or(max_items as f64, |it| it * max_items as f64)
            .max(1.0);
        let full_ms = self.sizes.call_ms + self.sizes.piece_ms * full_items;
        let usable = || {
            // A target that was only full or out of room keeps its capacity.
            let has_failed = move |it: &Target| it.failures != 0 && now < it.ejected_until;
            let is_usable =
                move |it: &&Target| !it.is_closed && !has_failed(it) && it.backoff_until <= now;
            self.targets.values().filter(is_usable)
        };
        let calls = f64::from(self.sizes.calls.max(1));
        let slowness_of = |it: &Target| it.slowness_at(now).max(1.0);
        let per_ms =
            usable().map(|it| full_items * it.calls_per_ms(calls, full_ms * slowness_of(it))).sum();
        let slowness = usable().map(slowness_of).sum::<f64>() / usable().count().max(1) as f64;
        let confidence = self.call_stats.error_confidence(now);
        let usual_call = self.sizes.stated_ms(max_items.div_ceil(2));
        StageLoad {
            per_ms,
            waiting,
            late,
            call_ms: self.call_stats.call_ms(now, usual_call),
            full_ms: full_ms * slowness.max(1.0),
            most: full_items,
            bias_ms: confidence * self.call_stats.bias_ms,
            spread_ms: confidence * self.call_stats.spread_ms,
        }
    }

    /// Predicted time until an item offered now completes, in milliseconds, without correction for
    /// past errors; `None` if it will be late.
    pub(super) fn predict(&self, now: Millis, item: &Waiting) -> Option<f64> {
        if self.is_late(now, item) {
            return None;
        }
        let ahead = self.ahead(now, item.due) as f64;
        Some(self.load_with(now, ahead, 0.0).reckoned_ms(ahead))
    }

    /// Expected time until `items` more items with this due time complete, corrected by past
    /// errors, and the mean deviation of that estimate; both in milliseconds.
    pub(crate) fn likely_ms(&self, now: Millis, due: Millis, items: usize) -> (f64, f64) {
        let ahead = self.ahead(now, due) as f64;
        let load = self.load_with(now, ahead, 0.0);
        (load.expected_ms(ahead + items as f64 / 2.0), load.spread_ms)
    }

    /// Time until the items that go before one with this due time complete, in milliseconds.
    pub(crate) fn wait_ms(&self, now: Millis, due: Millis) -> f64 {
        self.ahead(now, due) as f64 * self.item_interval(now)
    }

    /// Records the duration of an answered call; returns its predicted and actual time if any of
    /// its items had a prediction.
    pub fn judge(&mut self, now: Millis, call: &Call, ms: Millis) -> Option<Judgement> {
        self.call_stats.record(now, call, ms)
    }

    /// Fraction of the targets' time that the recent rate of offered items leaves free.
    pub(crate) fn spare(&self, now: Millis) -> f64 {
        (1.0 - self.offer_rate.at(now) * self.item_interval(now)).max(MIN_SPARE_FRACTION)
    }

    /// Number of items that the targets can process within `ms` milliseconds in addition to the
    /// queue and the recent rate of offered items, less a reserve for unexpected load.
    pub fn lendable(&self, now: Millis, ms: Millis) -> u32 {
        if self.usable() == 0 {
            return 0;
        }
        let capacity = LENDABLE_FRACTION * ms as f64 / self.item_interval(now);
        (capacity - self.offer_rate.at(now) * ms as f64 - self.waiting() as f64).max(0.0) as u32
    }

    /// Whether `items` more items can complete by `due`, or by `late_due` with all items offered in
    /// the meantime ahead of them. The error is their expected time, in milliseconds.
    pub fn admit(
        &self,
        now: Millis,
        due: Millis,
        late_due: Millis,
        items: usize,
    ) -> Result<(), Millis> {
        let expected = self.expected_ms(now, due, items);
        if now + expected <= due {
            return Ok(());
        }
        let late = self.expected_ms(now, late_due, items) as f64 / self.spare(now);
        if now + late as Millis <= late_due { Ok(()) } else { Err(expected) }
    }

    /// When a refused request may retry, in milliseconds from now: once there is capacity for its
    /// items, and after the requests refused before it.
    pub fn return_ms(&mut self, now: Millis, due: Millis, items: usize) -> Millis {
        let excess = (now + self.expected_ms(now, due, items)).saturating_sub(due.max(now));
        let gap_ms = items as f64 * self.item_interval(now);
        self.returns.take(now, excess, gap_ms)
    }

    /// Mean time per item over all usable targets with full calls, in milliseconds.
    pub(super) fn item_interval(&self, now: Millis) -> f64 {
        let usable =
            |it: &&Target| !it.is_closed && it.ejected_until <= now && it.backoff_until <= now;
        let max_items = self.sizes.max_items();
        let full_ms = self.sizes.stated_ms(max_items);
        let calls_per_ms: f64 =
            self.targets.values().filter(usable).map(|it| it.calls_per_ms(1.0, full_ms)).sum();
        let calls_per_ms = if calls_per_ms == 0.0 { 1.0 / full_ms } else { calls_per_ms };
        1.0 / (calls_per_ms * max_items as f64)
    }

    /// Number of waiting items that go before one with this due time.
    fn ahead(&self, now: Millis, due: Millis) -> usize {
        let is_late = due < now + self.next_call_ms();
        let is_ahead = |it: &&Waiting| match (self.is_late(now, it), is_late) {
            (true, false) => false,
            (false, true) => true,
            _ => it.effective_due <= due,
        };
        self.waiting.iter().filter(is_ahead).count()
    }

    /// Predicted wait of one more item by the targets' nominal call times, in milliseconds.
    pub(super) fn predicted_wait(&self, now: Millis, due: Millis) -> f64 {
        let usable = |it: &&Target| !it.is_closed && it.is_open(now);
        let is_free = self.targets.values().filter(usable).any(|it| it.calls < self.sizes.calls);
        if is_free && self.waiting.is_empty() {
            return 0.0;
        }
        (self.sizes.max_items() + self.ahead(now, due)) as f64 * self.item_interval(now)
    }

    /// Updates the ratio of actual to predicted waiting time from the items of a call.
    pub(super) fn update_lag(&mut self, now: Millis, items: &[Waiting]) {
        // Late items yield to others, so their wait says nothing about items on time.
        for item in items.iter().filter(|it| !self.sizes.is_late(now, it)) {
            let waited = now.saturating_sub(item.offered) as f64;
            let ratio = (waited / item.predicted_wait.max(20.0)).clamp(LAG_RANGE.0, LAG_RANGE.1);
            self.lag += LAG_WEIGHT * (ratio - self.lag);
        }
    }
}
