//! A mixed load whose every answer is held against what the targets truly ran.

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
    caller::{self, Request, Told},
    measure,
    world::World,
};

/// One kind of request in a mix.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Pipeline.
    pub pipeline: &'static str,
    /// Caller key.
    pub bearer: &'static str,
    /// Pool whose runs count as running the request.
    pub pool: &'static str,
    /// Whether its call may not be repeated.
    pub is_keyed: bool,
    /// Whether its answer is read as a stream.
    pub streamed: bool,
    /// Chunks of a whole generation; 0 where nothing is generated.
    pub chunks: u64,
    /// Patience, in milliseconds.
    pub patience_ms: u64,
    /// Relative frequency.
    pub weight: u32,
}

const fn kind(
    pipeline: &'static str,
    bearer: &'static str,
    pool: &'static str,
    chunks: u64,
    patience_ms: u64,
    weight: u32,
) -> Kind {
    let (is_keyed, streamed) = (false, 0 < chunks);
    Kind { pipeline, bearer, pool, is_keyed, streamed, chunks, patience_ms, weight }
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
    /// Requests in all.
    pub requests: usize,
    /// Requests in flight at once.
    pub callers: usize,
    /// Kinds that requests are drawn from.
    pub kinds: Vec<Kind>,
    /// Seed of the draw.
    pub seed: u64,
    /// Part, of a hundred, of the keyed calls that are made again after their answer.
    pub repeats: u32,
    /// Added to every patience.
    pub extra: Duration,
    /// Pause of each caller between two requests.
    pub pause: Duration,
}

impl Mix {
    /// Makes a mix of all kinds.
    pub fn new(requests: usize, callers: usize) -> Mix {
        Mix {
            requests,
            callers,
            kinds: KINDS.to_vec(),
            seed: 1,
            repeats: 10,
            extra: Duration::ZERO,
            pause: Duration::ZERO,
        }
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Mix {
        self.seed = seed;
        self
    }

    /// Keeps only the kinds that a condition holds for.
    pub fn with_kinds(mut self, is_kept: impl Fn(&Kind) -> bool) -> Mix {
        self.kinds.retain(is_kept);
        self
    }

    /// Sets the pause of each caller between two requests.
    pub fn with_pause(mut self, pause: Duration) -> Mix {
        self.pause = pause;
        self
    }
}

/// What callers were told, held against what ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdicts {
    /// Requests made.
    pub requests: u64,
    /// Answered once, whole and in time.
    pub attained: u64,
    /// Answered whole, but late.
    pub late: u64,
    /// Told "not run", and truly not run.
    pub not_run: u64,
    /// Told that it is not known, or that a stage failed after it was sent.
    pub unknown: u64,
    /// Told "not run", but run.
    pub false_not_run: u64,
    /// Calls that may not be repeated, run more than once.
    pub doubled: u64,
    /// Requests with no understandable answer, or told whole but never run or not whole.
    pub lost: u64,
    /// Answers that hold another request's data.
    pub crossed: u64,
    /// Repeated calls that were answered from the record.
    pub replayed: u64,
    /// Problems by kind.
    pub problems: BTreeMap<String, u64>,
}

impl Verdicts {
    /// Number of broken promises.
    pub fn broken(&self) -> u64 {
        self.false_not_run + self.doubled + self.lost + self.crossed
    }

    /// Adds others.
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
    /// What was told in each request that broke a promise.
    pub details: Vec<String>,
    /// Time that the whole load took.
    pub took: Duration,
}

impl Tally {
    /// Verdicts over all pipelines.
    pub fn total(&self) -> Verdicts {
        let mut total = Verdicts::default();
        self.verdicts.values().for_each(|it| total.add(it));
        total
    }

    /// Number of broken promises.
    pub fn broken(&self) -> u64 {
        self.total().broken()
    }
}

/// A request made and what came of it.
struct Made {
    kind: Kind,
    marker: String,
    told: Told,
    took: Duration,
    replayed: bool,
    is_repeat_wrong: bool,
}

/// Addresses of all instances: where a balancer would send callers.
pub fn instances(world: &World) -> Vec<String> {
    (0..world.len()).map(|it| world.callers(it)).collect()
}

/// Runs a mix against a system and judges every answer.
pub async fn run(world: &World, mix: &Mix) -> Tally {
    let started = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(mix.seed);
    let draws: Vec<(Kind, bool)> = (0..mix.requests)
        .map(|_| (draw(&mix.kinds, &mut rng), rng.random_range(0..100) < mix.repeats))
        .collect();
    let made: Vec<Made> = stream::iter(draws.into_iter().enumerate())
        .map(|(index, (kind, repeat))| async move {
            // Instances may have been replaced since the last request.
            let made = one(&world.http, &instances(world), index, kind, mix, repeat).await;
            tokio::time::sleep(mix.pause).await;
            made
        })
        .buffer_unordered(mix.callers)
        .collect()
        .await;
    let took = started.elapsed();
    // What a target still runs for a caller who has been answered must be counted, too.
    tokio::time::sleep(Duration::from_millis(100)).await;
    judge(&made, &world.tally, took)
}

fn draw(kinds: &[Kind], rng: &mut ChaCha8Rng) -> Kind {
    let total: u32 = kinds.iter().map(|it| it.weight).sum();
    let mut place = rng.random_range(0..total);
    for kind in kinds {
        if place < kind.weight {
            return *kind;
        }
        place -= kind.weight;
    }
    kinds[0]
}

async fn one(
    http: &Http,
    instances: &[String],
    index: usize,
    kind: Kind,
    mix: &Mix,
    repeat: bool,
) -> Made {
    let marker = format!("m{}-{index}", mix.seed);
    let request = Request {
        pipeline: kind.pipeline.to_owned(),
        bearer: kind.bearer.to_owned(),
        input: json!({ "marker": marker, "text": "a question of the usual length" }),
        patience: Duration::from_millis(kind.patience_ms) + mix.extra,
        key: kind.is_keyed.then(|| Uuid::now_v7().to_string()),
        streamed: kind.streamed,
    };
    let started = Instant::now();
    let told = caller::request(http, instances, index, &request).await;
    let took = started.elapsed();
    let mut replayed = false;
    let mut is_repeat_wrong = false;
    if repeat && kind.is_keyed && told.is_whole() {
        let again = caller::request(http, instances, index + 1, &request).await;
        replayed = matches!(again, Told::Whole { replayed: true, .. });
        // A repeat gets the same answer, or is told that it cannot be known; never another one.
        is_repeat_wrong = match (&told, &again) {
            (Told::Whole { answer: a, .. }, Told::Whole { answer: b, .. }) => a.output != b.output,
            _ => false,
        };
    }
    Made { kind, marker, told, took, replayed, is_repeat_wrong }
}

fn judge(made: &[Made], runs: &Runs, took: Duration) -> Tally {
    let (verdicts, times) = (BTreeMap::new(), BTreeMap::new());
    let mut tally = Tally { verdicts, times, details: Vec::new(), took };
    for made in made {
        let verdicts = tally.verdicts.entry(made.kind.pipeline.to_owned()).or_default();
        let before = verdicts.broken();
        judge_one(made, runs, verdicts);
        if before < verdicts.broken() {
            let ran = runs.runs(made.kind.pool, &made.marker);
            let (pipeline, told) = (made.kind.pipeline, &made.told);
            tally.details.push(format!("{pipeline} {}: ran {ran}, told {told:?}", made.marker));
        }
        if made.told.is_whole() {
            let name = made.kind.pipeline.to_owned();
            let times = tally.times.entry(name).or_insert_with(measure::times);
            times.saturating_record(made.took.as_micros() as u64);
        }
    }
    tally
}

fn judge_one(made: &Made, runs: &Runs, verdicts: &mut Verdicts) {
    let ran = runs.runs(made.kind.pool, &made.marker);
    verdicts.requests += 1;
    verdicts.replayed += u64::from(made.replayed);
    verdicts.crossed += u64::from(made.is_repeat_wrong);
    if made.kind.is_keyed && 1 < ran {
        verdicts.doubled += 1;
    }
    match &made.told {
        Told::Whole { answer, text, .. } => {
            let found = match text {
                Some(it) => text_markers(it),
                None => markers(&answer.output),
            };
            if found.iter().any(|it| *it != made.marker) {
                verdicts.crossed += 1;
            } else if ran == 0 || found.is_empty() || !is_complete(made, text.as_deref()) {
                verdicts.lost += 1;
            } else if made.took <= Duration::from_millis(made.kind.patience_ms) {
                verdicts.attained += 1;
            } else {
                verdicts.late += 1;
            }
        }
        Told::Problem(problem) => {
            let name = made.told.problem_kind().unwrap_or("other").to_owned();
            *verdicts.problems.entry(name).or_default() += 1;
            match (problem.run, ran) {
                (Run::No, 0) => verdicts.not_run += 1,
                (Run::No, _) => verdicts.false_not_run += 1,
                (Run::Yes | Run::Unknown, _) => verdicts.unknown += 1,
            }
        }
        // A connection that was refused by every instance is a request that was not run.
        Told::Silence(it) if it.is_never_sent() && ran == 0 => verdicts.not_run += 1,
        Told::Silence(_) if made.kind.is_keyed => verdicts.unknown += 1,
        Told::Silence(_) => verdicts.lost += 1,
    }
}

/// Whether a generation has every chunk once and in order.
fn is_complete(made: &Made, text: Option<&str>) -> bool {
    let Some(text) = text else { return true };
    let wanted: String = (0..made.kind.chunks).map(|it| format!("{}/{it} ", made.marker)).collect();
    text == wanted
}

fn text_markers(text: &str) -> Vec<String> {
    let mut found: Vec<String> =
        text.split(' ').filter_map(|it| Some(it.split_once('/')?.0.to_owned())).collect();
    found.sort_unstable();
    found.dedup();
    found
}
