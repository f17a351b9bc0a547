//! Makes the results of a request's stages, in the order of its graph.

use std::{collections::BTreeMap, time::Duration};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use holdpoint_adapter::stages as wire;
use holdpoint_core::{
    confinement::{Confinement, Within},
    ids::{Millis, Name},
    promises::StageAhead,
    stage_graph::{NoResult, PieceSource, PieceWork, StageGraph},
};

use holdpoint_platform::Instant;

use crate::{
    events::{self, emit},
    ingress::{
        context::Context,
        held::{Held, Results},
        peers::make_anywhere,
        piece_ask::{ChainAhead, PieceAsk, PieceResult},
        send::left,
        spill,
    },
};

/// How often one piece is made anew.
const REMAKES: u32 = 4;
/// Pause before a piece is made anew that found no room.
const ROOM_PAUSE: Duration = Duration::from_millis(120);
/// Pause before a piece is asked for at another instance, which may not know of it yet.
const MOVE_PAUSE: Duration = Duration::from_millis(15);
/// Time after which a target that has begun with its inputs has fetched them: links carry the
/// largest in a few milliseconds, the rest is the way there and the target's turn.
pub(crate) const FETCHED: Duration = Duration::from_millis(80);
/// How often the inputs of a stage are made anew.
const INPUT_REMAKES: u32 = 2;
/// Part of the streams, in a hundred, that the stages leave time enough for: the middle one, and so much of
/// the way to the longer ones as [`FIRST_EVENT_MARGIN`] says.
const FIRST_EVENT_PERCENT: u32 = 50;
/// A quarter of the streams take longer than this one.
const LONGER_FIRST_EVENT_PERCENT: u32 = 75;
/// Part of the distance between the two that is left as a margin. The whole of it on top of the stages' own
/// margin counted calls as late that were in time.
const FIRST_EVENT_MARGIN: f64 = 0.5;
/// Usual time from a model server's taking a request to its first event, until measured.
const FIRST_EVENT_MS: Millis = 300;
/// Usual time of a stage, until its service's configuration is known.
const STAGE_MS: Millis = 400;

/// Results of one stage.
#[derive(Clone, Debug)]
struct Made {
    handles: Vec<String>,
    /// When they expire at their makers.
    until: Instant,
}

type StageOutcome = (usize, Result<Made, NoResult>);

/// Makes all results; they are needed in `domain`. A request that is refused in its own region goes to
/// another one that can serve it in time.
pub(crate) async fn make_all(ctx: &Context, domain: &str) -> Result<Results, NoResult> {
    spill::leave_if_late(ctx).await;
    // The domain is one of its own region.
    let made = make_here(ctx, if ctx.is_spilled() { "" } else { domain }).await;
    let is_refused = matches!(made, Err(NoResult::Overload(_)));
    if is_refused && spill::leave_if_refused(ctx).await {
        return make_here(ctx, "").await;
    }
    made
}

async fn make_here(ctx: &Context, domain: &str) -> Result<Results, NoResult> {
    let graph = StageGraph::new(&ctx.route.stages, &ctx.head.pieces);
    let mut held = Held::new(ctx);
    if graph.is_empty() {
        return Ok(Results::new(Vec::new(), Vec::new(), held));
    }
    let begun = Instant::now();
    let made = make_graph(ctx, &graph, domain, &mut held).await;
    ctx.note_stages(begun);
    let results = made?;
    let last = graph.last().filter_map(|it| Some((it, results[it].as_ref()?)));
    let mut places = BTreeMap::new();
    let mut inputs = Vec::new();
    for (stage, made) in last {
        add_places(ctx, &mut places, &made.handles, ctx.route.stages[stage].bytes);
        inputs.extend(made.handles.iter().cloned());
    }
    Ok(Results::new(inputs, places.into_iter().collect(), held))
}

async fn make_graph(
    ctx: &Context,
    graph: &StageGraph,
    domain: &str,
    held: &mut Held,
) -> Result<Vec<Option<Made>>, NoResult> {
    let mut results: Vec<Option<Made>> = vec![None; graph.len()];
    let mut is_begun: Vec<bool> = (0..graph.len()).map(|it| graph.pieces(it) == 0).collect();
    let mut running: FuturesUnordered<BoxFuture<'_, StageOutcome>> = FuturesUnordered::new();
    let mut remakes = 0;
    loop {
        for (stage, is_begun) in is_begun.iter_mut().enumerate() {
            if *is_begun || graph.needs(stage).any(|it| results[it].is_none()) {
                continue;
            }
            *is_begun = true;
            let inputs = graph.needs(stage).filter_map(|it| results[it].clone()).collect();
            let made = make_stage(ctx, graph, stage, inputs, domain);
            running.push(Box::pin(async move { (stage, made.await) }));
        }
        let Some((stage, outcome)) = running.next().await else { return Ok(results) };
        match outcome {
            Ok(made) => {
                held.keep(&ctx.route.stages[stage].service, &made.handles);
                results[stage] = Some(made);
                for needed in graph.needs(stage).filter(|it| is_used_by_one(graph, *it)) {
                    held.forget(handles(&results[needed]));
                }
                release_used(graph, &results, held);
            }
            Err(NoResult::InputGone) if remakes < INPUT_REMAKES => {
                remakes += 1;
                is_begun[stage] = false;
                for outside in held.confine(&ctx.within()) {
                    forget_outside(&outside, &mut results, &mut is_begun);
                }
                let is_held =
                    |it: usize| results[it].as_ref().is_some_and(|it| held.has(&it.handles));
                for lost in graph.lost_before(stage, is_held) {
                    held.release(handles(&results[lost].take()));
                    is_begun[lost] = false;
                }
            }
            Err(it) => return Err(it),
        }
    }
}

/// Has the stage of a result made anew that was given up as its request is confined otherwise now.
fn forget_outside(outside: &str, results: &mut [Option<Made>], is_begun: &mut [bool]) {
    for (made, is_begun) in results.iter_mut().zip(is_begun) {
        if handles(made).iter().any(|it| it == outside) {
            *made = None;
            *is_begun = false;
        }
    }
}

fn handles(made: &Option<Made>) -> &[String] {
    made.as_ref().map_or(&[], |it| &it.handles)
}

/// Whether only one stage needs the results of a stage, so that they may be given up by whoever
/// makes the pieces of that one.
fn is_used_by_one(graph: &StageGraph, stage: usize) -> bool {
    graph.after(stage).filter(|it| graph.pieces(*it) != 0).count() == 1
}

/// Gives up the results of stages that every stage after them has used.
fn release_used(graph: &StageGraph, results: &[Option<Made>], held: &mut Held) {
    for (stage, made) in results.iter().enumerate() {
        let Some(made) = made else { continue };
        let is_pending = (0..graph.len())
            .filter(|it| graph.pieces(*it) != 0 && graph.needs(*it).any(|it| it == stage))
            .any(|it| results[it].is_none());
        if graph.is_needed(stage) && !is_pending {
            held.release(&made.handles);
        }
    }
}

async fn make_stage(
    ctx: &Context,
    graph: &StageGraph,
    stage: usize,
    inputs: Vec<Made>,
    domain: &str,
) -> Result<Made, NoResult> {
    let inputs_until = inputs.iter().map(|it| it.until).min();
    let inputs: Vec<String> = inputs.into_iter().flat_map(|it| it.handles).collect();
    let near = near(ctx, graph, stage, &inputs, domain);
    let within = ctx.within();
    let source = if inputs.is_empty() {
        PieceSource::Key(ctx.head.piece_key.clone().unwrap_or_default())
    } else {
        PieceSource::Inputs(inputs)
    };
    let count = graph.pieces(stage);
    let service = &ctx.route.stages[stage].service;
    let mut handles: Vec<Option<String>> = vec![None; count as usize];
    let mut until = None;
    for round in 0..=REMAKES {
        let missing: Vec<u32> = (0..count).filter(|it| handles[*it as usize].is_none()).collect();
        let ask = |piece: &u32| {
            let ask = ask(ctx, graph, stage, *piece, source.clone(), &near);
            let inputs_for_ms = inputs_until.map(|it| left(it).as_millis() as Millis);
            let confinement = confinement(&within);
            PieceAsk { inputs_for_ms, confinement, ..ask }
        };
        let mut asks: Vec<PieceAsk> = missing.iter().map(ask).collect();
        if let Some(first) = asks.first_mut() {
            first.fingerprint = Some(ctx.fingerprint());
        }
        if let (Some(first), PieceSource::Inputs(inputs)) = (asks.first_mut(), &source) {
            first.used_up = used_up(ctx, graph, stage, inputs);
        }
        if let Some(first) = asks.first_mut().filter(|it| it.is_refusable) {
            first.chain = Some(chain_ahead(ctx, graph, stage));
        }
        let region = ctx.region();
        let limit = ctx.left_to_begin();
        let made = tokio::select! {
            it = make_anywhere(&ctx.shared, &region, service, asks, &within, limit) => it,
            () = ctx.bounds_change(&within) => {
                // What waits is withdrawn, and what is made is made anew within the new bounds.
                release_all(ctx, stage, handles);
                return Err(NoResult::InputGone);
            }
        };
        let failure = take_in(&mut handles, &missing, made);
        if handles.iter().any(Option::is_some) {
            ctx.begin_stages();
            until.get_or_insert_with(|| Instant::now() + keep(ctx, service));
        }
        let Some(cause) = failure else { break };
        let detail = format!("id={} stage={stage} round={round} cause={cause:?}", ctx.request.id);
        emit(events::STAGE_FAILED, &ctx.shared.settings.instance, &detail);
        let is_final = round == REMAKES
            || ctx.held_for().is_some()
            || matches!(cause, NoResult::InputGone | NoResult::Late | NoResult::Overload(_));
        if is_final || ctx.left_to_begin().is_zero() {
            release_all(ctx, stage, handles);
            return Err(cause);
        }
        match cause {
            NoResult::NoRoom | NoResult::Unreachable => tokio::time::sleep(ROOM_PAUSE).await,
            NoResult::Moved => tokio::time::sleep(MOVE_PAUSE).await,
            NoResult::OnlyLate => ctx.accept_late(),
            _ => (),
        }
    }
    let handles = handles.into_iter().flatten().collect();
    Ok(Made { handles, until: until.unwrap_or_else(Instant::now) })
}

/// How long a service's targets keep results.
fn keep(ctx: &Context, service: &str) -> Duration {
    let configuration = ctx.shared.configuration();
    let limits = configuration.services.get(service).and_then(|it| it.batches.as_ref());
    Duration::from_millis(limits.map_or(0, |it| it.keep_ms))
}

/// Inputs of a stage that no other stage needs, with the services that keep them.
fn used_up(
    ctx: &Context,
    graph: &StageGraph,
    stage: usize,
    inputs: &[String],
) -> Vec<(Name, String)> {
    // Inputs stand in the order of the stages that they come from.
    let keepers = graph.needs(stage).flat_map(|needed| {
        let count = graph.pieces(needed) as usize;
        std::iter::repeat_n(needed, count)
    });
    keepers
        .zip(inputs)
        .filter(|it| is_used_by_one(graph, it.0))
        .map(|(needed, handle)| (ctx.route.stages[needed].service.clone(), handle.clone()))
        .collect()
}

/// Failure domain that a stage's pieces are best made in, and the bytes that each of them moves
/// between failure domains otherwise: its inputs, and its result where the request's own service
/// takes it in `domain`.
fn near(
    ctx: &Context,
    graph: &StageGraph,
    stage: usize,
    inputs: &[String],
    domain: &str,
) -> (String, u64) {
    let mut bytes: BTreeMap<String, u64> = BTreeMap::new();
    if !graph.is_needed(stage) {
        *bytes.entry(domain.to_owned()).or_default() += ctx.route.stages[stage].bytes;
    }
    let input_bytes = graph.needs(stage).map(|it| ctx.route.stages[it].bytes).max().unwrap_or(0);
    add_places(ctx, &mut bytes, inputs, input_bytes);
    bytes.into_iter().max_by_key(|it| it.1).unwrap_or_default()
}

/// Adds the bytes of results to those of the failure domains that they lie in.
fn add_places(
    ctx: &Context,
    places: &mut BTreeMap<Name, u64>,
    handles: &[String],
    bytes_each: u64,
) {
    let makers = handles.iter().filter_map(|it| ctx.shared.target_at(wire::maker(it)?));
    makers.for_each(|it| *places.entry(it.domain).or_default() += bytes_each);
}

/// Takes in results; returns why one is missing, if one is.
fn take_in(
    handles: &mut [Option<String>],
    missing: &[u32],
    made: Vec<PieceResult>,
) -> Option<NoResult> {
    let mut failure = None;
    for (piece, result) in missing.iter().zip(made) {
        match result {
            Ok(it) => handles[*piece as usize] = Some(it),
            Err(it) if it == NoResult::InputGone || failure.is_none() => failure = Some(it),
            Err(_) => (),
        }
    }
    failure
}

fn release_all(ctx: &Context, stage: usize, handles: Vec<Option<String>>) {
    let service = &ctx.route.stages[stage].service;
    let releases = &ctx.shared.releases;
    handles.into_iter().flatten().for_each(|it| releases.release(service, it));
}

fn confinement(within: &Within) -> Confinement {
    within.as_ref().map_or_else(Confinement::default, |it| it.confinement())
}

fn ask(
    ctx: &Context,
    graph: &StageGraph,
    stage: usize,
    piece: u32,
    source: PieceSource,
    (domain, near_bytes): &(String, u64),
) -> PieceAsk {
    let step = &ctx.route.stages[stage];
    let first_ms = first_event_ms(ctx);
    let after_ms = ms_after(ctx, graph, stage) + first_ms;
    let spent = (ctx.arrived.elapsed() + ctx.asked_before).as_millis() as i64;
    let left_ms = ctx.left_to_begin().as_millis() as Millis;
    let slack_ms = left_ms as i64 - after_ms as i64;
    let due_in_ms = ctx.route.target_ms as i64 - after_ms as i64 - spent;
    PieceAsk {
        work: PieceWork { request: ctx.request.id.clone(), stage, piece, source },
        route: ctx.route.name.clone(),
        // What was admitted late stands aside for what can be in time, at every stage.
        due_in_ms: if ctx.is_late() { 0 } else { due_in_ms },
        left_ms,
        rank: ctx.rank,
        bytes: step.bytes,
        domain: domain.clone(),
        near_bytes: *near_bytes,
        deadline_in_ms: slack_ms,
        late_due_in_ms: Some(slack_ms / (1 + stages_after(graph, stage)) as i64),
        is_refusable: !ctx.has_begun() && !ctx.is_late(),
        inputs_for_ms: None,
        used_up: Vec::new(),
        confinement: Confinement::default(),
        fingerprint: None,
        chain: None,
    }
}

/// Time from the send to the first event that is left for it, in milliseconds.
pub(crate) fn first_event_ms(ctx: &Context) -> Millis {
    let middle = ctx.first_event_ms(FIRST_EVENT_PERCENT).unwrap_or(FIRST_EVENT_MS);
    let longer = ctx.first_event_ms(LONGER_FIRST_EVENT_PERCENT).unwrap_or(middle);
    middle + (FIRST_EVENT_MARGIN * longer.saturating_sub(middle) as f64) as Millis
}

/// What comes after a stage that is asked for first.
fn chain_ahead(ctx: &Context, graph: &StageGraph, stage: usize) -> ChainAhead {
    let stages = graph.ahead(stage).into_iter().map(|(it, depth)| {
        let service = &ctx.route.stages[it].service;
        StageAhead {
            service: service.clone(),
            pieces: graph.pieces(it),
            depth,
            usual_ms: usual_ms(ctx, service),
        }
    });
    let first_ms = first_event_ms(ctx) as i64;
    let spent = (ctx.arrived.elapsed() + ctx.asked_before).as_millis() as i64;
    ChainAhead {
        stages: stages.collect(),
        end_in_ms: ctx.route.target_ms as i64 - first_ms - spent,
        deadline_in_ms: ctx.left_to_begin().as_millis() as i64 - first_ms,
        accepts_late: true,
    }
}

/// Time that a stage at a service usually takes, in milliseconds.
pub(crate) fn usual_ms(ctx: &Context, service: &str) -> Millis {
    let stated = stage_ms(ctx, service);
    ctx.shared.pools.of(ctx.shared.clock.now(), service).stage_ms(ctx.shared.clock.now(), stated)
}

/// Time that all stages of a request usually take, along the longest chain, in milliseconds.
pub(crate) fn usual_total_ms(ctx: &Context) -> Millis {
    let graph = StageGraph::new(&ctx.route.stages, &ctx.head.pieces);
    let total = |stage: usize| {
        usual_ms(ctx, &ctx.route.stages[stage].service) + ms_after(ctx, &graph, stage)
    };
    (0..graph.len()).filter(|it| graph.pieces(*it) != 0).map(total).max().unwrap_or(0)
}

/// Time that the stages after a stage usually take, along the longest chain, in milliseconds.
fn ms_after(ctx: &Context, graph: &StageGraph, stage: usize) -> Millis {
    let later = graph
        .after(stage)
        .map(|it| usual_ms(ctx, &ctx.route.stages[it].service) + ms_after(ctx, graph, it));
    later.max().unwrap_or(0)
}

/// Number of steps after a stage along the longest chain, the request's own service included.
fn stages_after(graph: &StageGraph, stage: usize) -> usize {
    1 + graph.after(stage).map(|it| stages_after(graph, it)).max().unwrap_or(0)
}

/// Time that a stage at a service takes without a queue, in milliseconds.
pub(crate) fn stage_ms(ctx: &Context, service: &str) -> Millis {
    let configuration = ctx.shared.configuration();
    let limits = configuration.services.get(service).and_then(|it| it.batches.as_ref());
    limits.map_or(STAGE_MS, |it| (1.5 * it.call_ms + 4.0 * it.piece_ms) as Millis)
}
