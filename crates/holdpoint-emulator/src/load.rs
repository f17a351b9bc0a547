//! A mixed load of requests. Every answer is compared with the calls that the targets ran.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream};
use hdrhistogram::Histogram;
use holdpoint_platform::Http;
use holdpoint_schema::caller::Run;
use holdpoint_standin::tally::{Tally as Runs, markers};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;
use uuid::Uuid;

use crate::{
    caller::{self, Reply, Request},
    measure,
    world::World,
};

/// One kind of request in a mix.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Pipeline.
    pub pipeline: &'static str,
    /// Bearer token of the caller.
    pub bearer: &'static str,
    /// Pool whose calls count as runs of the request.
    pub pool: &'static str,
    /// Whether it carries an idempotency key: its call may run only once.
    pub is_keyed: bool,
    /// Whether the answer is read as a stream.
    pub streamed: bool,
    /// Chunks of a complete generation; 0 if nothing is generated.
    pub chunks: u64,
    /// Time in which the caller expects the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Relative frequency.
    pub weight: u32,
}

const fn kind(
    pipeline: &'static str,
    bearer: &'static str,
    pool: &'static str,
    chunks: u64,
    timeout_ms: u64,
    weight: u32,
) -> Kind {
    let (is_keyed, streamed) = (false, 0 < chunks);
    Kind { pipeline, bearer, pool, is_keyed, streamed, chunks, timeout_ms, weight }
}

const fn keyed(it: Kind) -> Kind {
    Kind { is_keyed: true, ..it }
}

/// Requests of both users.
pub const KINDS: &[Kind] = &[
    kind("tasting-notes", "demo-winnipeg-shops", "wine-models", 48, 4000, 2),
    kind("pairing", "demo-regina-shops", "wine-models", 16, 2000, 5),
    kind("price-lookup", "demo-calgary-shops", "till-stock", 0, 800, 6),
    keyed(kind("stock-hold", "demo-saskatoon-shops", "till-stock", 0, 2000, 6)),
    keyed(kind("transfer", "demo-head-office", "transfers", 0, 2000, 3)),
    kind("repair-procedure", "demo-technicians", "lamp-models", 48, 4000, 2),
    kind("outage-answer", "demo-clerks", "lamp-models", 16, 2000, 4),
    kind("lamp-status", "demo-rennes-commune", "commune-portal", 0, 1000, 5),
    keyed(kind("work-order", "demo-brest-commune", "dispatch", 0, 2000, 6)),
    keyed(kind("part-order", "demo-planners", "spare-parts", 0, 2000, 3)),
];

/// A bounded mix of requests.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Total number of requests.
    pub requests: usize,
    /// Concurrent requests.
    pub callers: usize,
    /// Kinds that requests are drawn from.
    pub kinds: Vec<Kind>,
    /// Seed of the draw.
    pub seed: u64,
    /// Percentage of keyed calls that are repeated after a whole answer.
    pub repeat_percent: u32,
    /// Added to every request's timeout.
    pub extra: Duration,
    /// Pause of each caller after a request.
    pub pause: Duration,
}

impl Mix {
    /// Creates a mix of all kinds.
    pub fn new(requests: usize, callers: usize) -> Mix {
        Mix {
            requests,
            callers,
            kinds: KINDS.to_vec(),
            seed: 1,
            repeat_percent: 10,
            extra: Duration::ZERO,
            pause: Duration::ZERO,
        }
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Mix {
        self.seed = seed;
        self
    }

    /// Keeps only the kinds for which `is_kept` returns true.
    pub fn with_kinds(mut self, is_kept: impl Fn(&Kind) -> bool) -> Mix {
        self.kinds.retain(is_kept);
        self
    }

    /// Sets the pause of each caller after a request.
    pub fn with_pause(mut self, pause: Duration) -> Mix {
        self.pause = pause;
        self
    }
}

/// Counts of answers, compared with the calls that ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdicts {
    /// Requests sent.
    pub requests: u64,
    /// Whole answers in time.
    pub attained: u64,
    /// Whole answers after the timeout.
    pub late: u64,
    /// Reported as not run or never sent, and not run.
    pub not_run: u64,
    /// Reported as run or as unknown, or keyed and without an answer.
    pub unknown: u64,
    /// Reported as not run, but run.
    pub false_not_run: u64,
    /// Keyed calls that ran more than once.
    pub doubled: u64,
    /// Requests without a valid answer, or answered as whole but never run or incomplete.
    pub lost: u64,
    /// Answers with another request's data, and repeats with another output.
    pub crossed: u64,
    /// Repeated calls answered from the record.
    pub replayed: u64,
    /// Problems by kind.
    pub problems: BTreeMap<String, u64>,
}

impl Verdicts {
    /// Number of violated guarantees.
    pub fn broken(&self) -> u64 {
        self.false_not_run + self.doubled + self.lost + self.crossed
    }

    /// Adds the counts of another.
    pub fn add(&mut self, other: &Verdicts) {
        self.requests += other.requests;
        self.attained += other.attained;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.false_not_run += other.false_not_run;
        self.doubled += other.doubled;
        self.lost += other.lost;
        self.crossed += other.crossed;
        self.replayed += other.replayed;
        for (kind, n) in &other.problems {
            *self.problems.entry(kind.clone()).or_default() += n;
        }
    }
}

/// Result of a load.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Verdicts by pipeline.
    pub verdicts: BTreeMap<String, Verdicts>,
    /// Times of whole answers by pipeline, in microseconds.
    pub times: BTreeMap<String, Histogram<u64>>,
    /// Answer of each request that violated a guarantee.
    pub details: Vec<String>,
    /// Duration of the load.
    pub elapsed: Duration,
}

impl Tally {
    /// Verdicts over all pipelines.
    pub fn total(&self) -> Verdicts {
        let mut total = Verdicts::default();
        self.verdicts.values().for_each(|it| total.add(it));
        total
    }

    /// Number of violated guarantees.
    pub fn broken(&self) -> u64 {
        self.total().broken()
    }
}

/// A request and its result.
struct Exchange {
    kind: Kind,
    marker: String,
    reply: Reply,
    elapsed: Duration,
    replayed: bool,
    is_mismatched: bool,
}

/// Addresses of all instances for callers, including those that have ended.
pub fn instances(world: &World) -> Vec<String> {
    (0..world.len()).map(|it| world.callers(it)).collect()
}

/// Runs a mix against a system and checks every answer.
pub async fn run(world: &World, mix: &Mix) -> Tally {
    let started = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(mix.seed);
    let draws: Vec<(Kind, bool)> = (0..mix.requests)
        .map(|_| (draw(&mix.kinds, &mut rng), rng.random_range(0..100) < mix.repeat_percent))
        .collect();
    let exchanges: Vec<Exchange> = stream::iter(draws.into_iter().enumerate())
        .map(|(index, (kind, repeat))| async move {
            // Read the addresses each time: instances may have been replaced.
            let exchange = run_one(&world.http, &instances(world), index, kind, mix, repeat).await;
            tokio::time::sleep(mix.pause).await;
            exchange
        })
        .buffer_unordered(mix.callers)
        .collect()
        .await;
    let elapsed = started.elapsed();
    // Targets may still run calls whose callers have been answered; these count as well.
    tokio::time::sleep(Duration::from_millis(100)).await;
    judge(&exchanges, &world.tally, elapsed)
}

fn draw(kinds: &[Kind], rng: &mut ChaCha8Rng) -> Kind {
    let total: u32 = kinds.iter().map(|it| it.weight).sum();
    let mut offset = rng.random_range(0..total);
    for kind in kinds {
        if offset < kind.weight {
            return *kind;
        }
        offset -= kind.weight;
    }
    kinds[0]
}

async fn run_one(
    http: &Http,
    instances: &[String],
    index: usize,
    kind: Kind,
    mix: &Mix,
    repeat: bool,
) -> Exchange {
    let marker = format!("m{}-{index}", mix.seed);
    let request = Request {
        pipeline: kind.pipeline.to_owned(),
        bearer: kind.bearer.to_owned(),
        input: json!({ "marker": marker, "text": "a question of the usual length" }),
        timeout: Duration::from_millis(kind.timeout_ms) + mix.extra,
        key: kind.is_keyed.then(|| Uuid::now_v7().to_string()),
        streamed: kind.streamed,
    };
    let started = Instant::now();
    let reply = caller::request(http, instances, index, &request).await;
    let elapsed = started.elapsed();
    let mut replayed = false;
    let mut is_mismatched = false;
    if repeat && kind.is_keyed && reply.is_whole() {
        let again = caller::request(http, instances, index + 1, &request).await;
        replayed = matches!(again, Reply::Whole { replayed: true, .. });
        // A repeat must not return a different output; a problem is allowed.
        is_mismatched = match (&reply, &again) {
            (Reply::Whole { answer: a, .. }, Reply::Whole { answer: b, .. }) => {
                a.output != b.output
            }
            _ => false,
        };
    }
    Exchange { kind, marker, reply, elapsed, replayed, is_mismatched }
}

fn judge(exchanges: &[Exchange], runs: &Runs, elapsed: Duration) -> Tally {
    let (verdicts, times) = (BTreeMap::new(), BTreeMap::new());
    let mut tally = Tally { verdicts, times, details: Vec::new(), elapsed };
    for exchange in exchanges {
        let verdicts = tally.verdicts.entry(exchange.kind.pipeline.to_owned()).or_default();
        let before = verdicts.broken();
        judge_exchange(exchange, runs, verdicts);
        if before < verdicts.broken() {
            let ran = runs.runs(exchange.kind.pool, &exchange.marker);
            let (pipeline, reply) = (exchange.kind.pipeline, &exchange.reply);
            tally
                .details
                .push(format!("{pipeline} {}: ran {ran}, told {reply:?}", exchange.marker));
        }
        if exchange.reply.is_whole() {
            let name = exchange.kind.pipeline.to_owned();
            let times = tally.times.entry(name).or_insert_with(measure::new_histogram);
            times.saturating_record(exchange.elapsed.as_micros() as u64);
        }
    }
    tally
}

fn judge_exchange(exchange: &Exchange, runs: &Runs, verdicts: &mut Verdicts) {
    let ran = runs.runs(exchange.kind.pool, &exchange.marker);
    verdicts.requests += 1;
    verdicts.replayed += u64::from(exchange.replayed);
    verdicts.crossed += u64::from(exchange.is_mismatched);
    if exchange.kind.is_keyed && 1 < ran {
        verdicts.doubled += 1;
    }
    match &exchange.reply {
        Reply::Whole { answer, text, .. } => {
            let found = match text {
                Some(it) => text_markers(it),
                None => markers(&answer.output),
            };
            if found.iter().any(|it| *it != exchange.marker) {
                verdicts.crossed += 1;
            } else if ran == 0 || found.is_empty() || !is_complete(exchange, text.as_deref()) {
                verdicts.lost += 1;
            } else if exchange.elapsed <= Duration::from_millis(exchange.kind.timeout_ms) {
                verdicts.attained += 1;
            } else {
                verdicts.late += 1;
            }
        }
        Reply::Problem(problem) => {
            let name = exchange.reply.problem_kind().unwrap_or("other").to_owned();
            *verdicts.problems.entry(name).or_default() += 1;
            match (problem.run, ran) {
                (Run::No, 0) => verdicts.not_run += 1,
                (Run::No, _) => verdicts.false_not_run += 1,
                (Run::Yes | Run::Unknown, _) => verdicts.unknown += 1,
            }
        }
        // A request that was never sent was not run.
        Reply::Silence(it) if it.is_unsent() && ran == 0 => verdicts.not_run += 1,
        Reply::Silence(_) if exchange.kind.is_keyed => verdicts.unknown += 1,
        Reply::Silence(_) => verdicts.lost += 1,
    }
}

/// Whether a generation has every chunk exactly once and in order.
fn is_complete(exchange: &Exchange, text: Option<&str>) -> bool {
    let Some(text) = text else { return true };
    let expected: String =
        (0..exchange.kind.chunks).map(|it| format!("{}/{it} ", exchange.marker)).collect();
    text == expected
}

fn text_markers(text: &str) -> Vec<String> {
    let mut found: Vec<String> =
        text.split(' ').filter_map(|it| Some(it.split_once('/')?.0.to_owned())).collect();
    found.sort_unstable();
    found.dedup();
    found
}
