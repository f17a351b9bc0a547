//! What later stages will have to do for requests that are already admitted.
//!
//! The batcher of a request's first stage admits it. The batchers of the stages after that one tell how
//! much waits there and how fast it is made; what was admitted since, and has not arrived there yet,
//! only the admitting batcher knows. It keeps an account of that for each service: pieces by the moment
//! when they are expected, drained at the pace that was told. The account answers a burst on requests
//! with several stages, whose first stage is quick: the queue builds up at the second one, unseen from the
//! first, until all that is in it is late.
//!
//! Whatever is told replaces what was expected by then, so an account that is wrong, since another
//! instance admits too or a request has ended, is put right with the next word of the batcher.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Millis, Name},
    returns::Returns,
};

/// Age up to which what a batcher has told counts, in milliseconds: it tells every 250 ms, and two of these
/// may be lost. After that its stages are taken to need the usual time.
const TOLD_MS: Millis = 800;
/// Width of the spans that expected pieces are counted by, in milliseconds: small against a call.
const SPAN_MS: Millis = 10;
/// Longest time that an account looks ahead, in milliseconds; bounds what it keeps.
const HORIZON_MS: Millis = 10_000;
/// How far ahead an account predicts a queue to be judged by what is told then, in milliseconds: within the
/// time that any stage takes, so that all that arrives by then is already promised.
const FORECAST_MS: Millis = 150;
/// Weight of the newest such judgement: several of them, as calls of different sizes make queues uneven.
const NEWEST_JUDGEMENT: f64 = 0.2;
/// Time over which promises are counted for the time that they leave at present, in milliseconds: a few calls.
const PRESENT_MS: f64 = 1000.0;
/// The same for the time that they leave in the long run: as long as late requests have until their callers
/// leave.
const LASTING_MS: f64 = 4000.0;
/// Longest time of a stage that is reckoned with, in milliseconds.
const LONGEST_MS: f64 = 60_000.0;
/// Largest figure of a load that is believed: a minute, or so many pieces.
const MOST_FIGURE: f64 = 1e6;
/// Most services that accounts are kept of.
const MOST_ACCOUNTS: usize = 256;

/// The load of a service's stage, as the instance that batches it tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageLoad {
    /// Pieces that its usable targets make in a millisecond where calls are full.
    pub per_ms: f64,
    /// Pieces that wait and can be in time.
    pub waiting: f64,
    /// Pieces that wait and will be late.
    pub late: f64,
    /// Time from the start of a piece's call to its result, as of late, in milliseconds.
    pub call_ms: f64,
    /// The same where its call is full.
    pub full_ms: f64,
    /// Most pieces in a call.
    pub most: f64,
    /// How much longer than predicted pieces took of late, in milliseconds.
    pub bias_ms: f64,
    /// Mean distance from that, in milliseconds.
    pub spread_ms: f64,
}

impl StageLoad {
    /// Whether every figure can be reckoned with.
    fn is_sane(&self) -> bool {
        let positive = [
            self.per_ms,
            self.waiting,
            self.late,
            self.call_ms,
            self.full_ms,
            self.most,
            self.spread_ms,
        ];
        let is_bounded = |it: &f64| it.is_finite() && (0.0..=MOST_FIGURE).contains(it);
        positive.iter().all(is_bounded) && is_bounded(&self.bias_ms.abs())
    }

    /// Time of a piece that comes when so many others wait before it, in milliseconds.
    pub fn expected_ms(&self, ahead: f64) -> f64 {
        (self.reckoned_ms(ahead) + self.bias_ms).clamp(0.0, LONGEST_MS)
    }

    /// The same by capacity alone, whatever pieces took of late.
    pub fn reckoned_ms(&self, ahead: f64) -> f64 {
        let fullness = (ahead / self.most.max(1.0)).min(1.0);
        let call = self.call_ms + fullness * (self.full_ms - self.call_ms).max(0.0);
        (ahead / self.per_ms + call).clamp(0.0, LONGEST_MS)
    }
}

/// A stage that comes after the one that a request asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageAhead {
    /// Its service.
    pub service: Name,
    /// Its pieces.
    pub pieces: u32,
    /// How many stages of the request come before it, the one asked for included.
    pub depth: u32,
    /// How long it usually takes, for a batcher that has heard nothing of the service, in milliseconds.
    pub usual_ms: Millis,
}

/// When a request's stages are expected to be made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expected {
    /// Time until the results of the last one are there, in milliseconds.
    pub ms: f64,
    /// How far the truth may well be from that, in milliseconds.
    pub spread_ms: f64,
    /// Time until the pieces of each stage ahead are offered, in milliseconds, in the order of the stages.
    pub arrivals: Vec<f64>,
    /// The stage ahead whose pieces wait longest, and how long in milliseconds.
    pub longest_wait: Option<(Name, f64)>,
    /// Least part of the targets' time that no request in time is promised at present, over all stages.
    pub spare: f64,
    /// The same in the long run.
    pub lasting_spare: f64,
    /// Time that the work promised to late requests takes at the stage with most of it, in milliseconds.
    pub late_ms: f64,
}

/// Account of one service.
#[derive(Clone, Debug, Default)]
struct Account {
    load: StageLoad,
    told: Millis,
    /// Pieces expected after that, by span.
    expected: BTreeMap<Millis, f64>,
    /// Pieces of late requests admitted after that.
    late: f64,
    /// When the queue was predicted for, and how many pieces.
    forecast: Option<(Millis, f64)>,
    /// How many more pieces wait than predicted, as of late. Without a backlog it is what gathers while
    /// targets work on small calls.
    residual: f64,
    /// Pieces promised in time, a millisecond, at present and in the long run.
    promised: PromisedRate,
    lasting: PromisedRate,
    /// When requests that were refused because of it may come back.
    returns: Returns,
}

/// Accounts of the stages that requests admitted here come to later.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    accounts: HashMap<Name, Account>,
}

impl Promises {
    /// Takes in the load that the batcher of a service tells. What makes no sense is not taken in; returns
    /// whether it was. A service without capacity has no account, and its stages are taken to need the
    /// usual time: a target may be back by then.
    pub fn told(&mut self, now: Millis, service: &str, load: StageLoad) -> bool {
        let is_new = !self.accounts.contains_key(service);
        if !load.is_sane() || (is_new && MOST_ACCOUNTS <= self.accounts.len()) {
            return false;
        }
        if load.per_ms == 0.0 {
            self.accounts.remove(service);
            return true;
        }
        let account = self.accounts.entry(service.to_owned()).or_default();
        account.told(now, load);
        true
    }

    /// When the stages ahead are made of a request whose present stage takes `own_ms`.
    pub fn expect(&self, now: Millis, own_ms: f64, ahead: &[StageAhead]) -> Expected {
        let mut expected =
            Expected { ms: own_ms, spare: 1.0, lasting_spare: 1.0, ..Expected::default() };
        expected.arrivals = vec![own_ms; ahead.len()];
        let mut variance = 0.0;
        let deepest = ahead.iter().map(|it| it.depth).max().unwrap_or(0);
        for depth in 1..=deepest {
            let arrival = expected.ms;
            // Stages at one depth are made side by side.
            for (index, stage) in ahead.iter().enumerate().filter(|it| it.1.depth == depth) {
                expected.arrivals[index] = arrival;
                let own = self.of(now, &stage.service);
                let Some(account) = own else {
                    expected.ms = expected.ms.max(arrival + stage.usual_ms as f64);
                    continue;
                };
                let waiting = account.waiting_at(now + arrival as Millis);
                let ms = account.load.expected_ms(waiting + f64::from(stage.pieces) / 2.0);
                expected.ms = expected.ms.max(arrival + ms);
                expected.note(stage, account, now, waiting);
                variance += account.load.spread_ms.powi(2);
            }
        }
        expected.spread_ms = variance.sqrt();
        expected
    }

    /// Takes in that a request was admitted whose stages ahead are expected so.
    pub fn promise(
        &mut self,
        now: Millis,
        ahead: &[StageAhead],
        expected: &Expected,
        is_late: bool,
    ) {
        for (stage, arrival) in ahead.iter().zip(&expected.arrivals) {
            let Some(account) = self.accounts.get_mut(&stage.service) else { continue };
            let pieces = f64::from(stage.pieces);
            if is_late {
                account.late += pieces;
                continue;
            }
            let arrival = (*arrival as Millis).min(HORIZON_MS);
            *account.expected.entry((now + arrival) / SPAN_MS).or_default() += pieces;
            account.promised.count(now, pieces, PRESENT_MS);
            account.lasting.count(now, pieces, LASTING_MS);
        }
    }

    /// When a request may come back that a service's queue has refused, in milliseconds: `excess` later, and
    /// after those that were refused before it, at the pace of the service.
    pub fn return_ms(&mut self, now: Millis, service: &str, excess: Millis, pieces: u32) -> Millis {
        let Some(account) = self.accounts.get_mut(service) else { return excess };
        account.returns.take(now, excess, f64::from(pieces) / account.load.per_ms)
    }

    /// Pieces that are expected at a service and have not been told of, in time and late ones together.
    pub fn outstanding(&self, service: &str) -> f64 {
        self.accounts.get(service).map_or(0.0, |it| it.expected.values().sum::<f64>() + it.late)
    }

    fn of(&self, now: Millis, service: &str) -> Option<&Account> {
        self.accounts.get(service).filter(|it| now <= it.told + TOLD_MS)
    }
}

impl Expected {
    fn note(&mut self, stage: &StageAhead, account: &Account, now: Millis, waiting: f64) {
        let per_ms = account.load.per_ms;
        let wait = waiting / per_ms;
        if self.longest_wait.as_ref().is_none_or(|it| it.1 < wait) {
            self.longest_wait = Some((stage.service.clone(), wait));
        }
        self.spare = self.spare.min(1.0 - account.promised.at(now, PRESENT_MS) / per_ms);
        let lasting = 1.0 - account.lasting.at(now, LASTING_MS) / per_ms;
        self.lasting_spare = self.lasting_spare.min(lasting);
        self.late_ms = self.late_ms.max((account.load.late + account.late) / per_ms);
    }
}

impl Account {
    fn told(&mut self, now: Millis, load: StageLoad) {
        if let Some((_, predicted)) = self.forecast.take_if(|it| it.0 <= now) {
            self.residual += NEWEST_JUDGEMENT * (load.waiting - predicted - self.residual);
        }
        self.load = load;
        self.told = now;
        self.late = 0.0;
        self.expected = self.expected.split_off(&(now / SPAN_MS + 1));
        if self.forecast.is_none() {
            let at = now + FORECAST_MS;
            self.forecast = Some((at, self.reckoned_at(at)));
        }
    }

    /// Pieces that wait at a time, as far as it was told and promised.
    fn waiting_at(&self, at: Millis) -> f64 {
        (self.reckoned_at(at) + self.residual).max(0.0)
    }

    fn reckoned_at(&self, at: Millis) -> f64 {
        let mut waiting = self.load.waiting;
        let mut time = self.told;
        for (span, pieces) in &self.expected {
            let arrival = span * SPAN_MS;
            if at < arrival {
                break;
            }
            waiting = self.drained(waiting, time, arrival) + pieces;
            time = time.max(arrival);
        }
        self.drained(waiting, time, at)
    }

    fn drained(&self, waiting: f64, from: Millis, to: Millis) -> f64 {
        (waiting - to.saturating_sub(from) as f64 * self.load.per_ms).max(0.0)
    }
}

/// How much was promised of late; what is older counts less and less.
#[derive(Clone, Copy, Debug, Default)]
struct PromisedRate {
    per_ms: f64,
    counted: Millis,
}

impl PromisedRate {
    fn at(&self, now: Millis, span_ms: f64) -> f64 {
        self.per_ms * (-(now.saturating_sub(self.counted) as f64) / span_ms).exp()
    }

    fn count(&mut self, now: Millis, pieces: f64, span_ms: f64) {
        self.per_ms = self.at(now, span_ms) + pieces / span_ms;
        self.counted = now;
    }
}
