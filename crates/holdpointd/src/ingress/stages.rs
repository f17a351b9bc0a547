//! Runs the stages of a request in the order of their dependency graph.
//!
//! A stage is split into work items, which the instance that batches the stage's service sends to its targets.
//! The results stay at the targets that made them and are referred to by handles.

use std::{collections::BTreeMap, time::Duration};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use holdpoint_adapter::stages as wire;
use holdpoint_core::{
    admitted_work::LaterStage,
    confinement::{Confinement, Within},
    ids::{Millis, Name},
    stage_graph::{ItemSource, NoResult, StageGraph, WorkItem},
};

use holdpoint_platform::Instant;

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        context::Context,
        item_request::{ItemGroup, ItemRequest, ItemResult, LaterStages},
        peers::process_anywhere,
        send::time_until,
        spill,
        stage_results::{StageResults, StoredResults},
    },
};

/// Maximum number of retries of a stage's missing items.
const MAX_RETRIES: u32 = 4;
/// Delay before items are retried that no target had room for.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(120);
/// Delay before items are requested from another instance, which may not know yet that it batches the service.
const MOVED_BACKOFF: Duration = Duration::from_millis(15);
/// Time after which a target that has started a call is assumed to have fetched the call's inputs.
pub(crate) const INPUT_FETCH_TIME: Duration = Duration::from_millis(80);
/// Maximum number of times that a request's lost inputs are made again.
const MAX_INPUT_RETRIES: u32 = 2;
/// Percentile of the time to the first event that stages leave time for, see also [`FIRST_EVENT_MARGIN`].
const FIRST_EVENT_PERCENTILE: u32 = 50;
/// Percentile of the time to the first event that the margin is derived from.
const SLOW_FIRST_EVENT_PERCENTILE: u32 = 75;
/// Fraction of the difference between the two percentiles that is added as a margin. The whole difference,
/// on top of the margins of the stages, would make requests count as late that are in time.
const FIRST_EVENT_MARGIN: f64 = 0.5;
/// Assumed time from sending a request to a model server until its first event, as long as none was measured.
const DEFAULT_FIRST_EVENT_MS: Millis = 300;
/// Assumed time of a stage as long as its service has no configuration.
const DEFAULT_STAGE_MS: Millis = 400;

/// Results of one stage.
#[derive(Clone, Debug)]
struct StageOutput {
    handles: Vec<String>,
    /// When the targets that made the results drop them.
    until: Instant,
}

type StageOutcome = (usize, Result<StageOutput, NoResult>);

/// Runs all stages; their final results are needed in failure domain `domain`. A request that is refused in its
/// own region moves to another region that can serve it in time.
pub(crate) async fn run_stages(ctx: &Context, domain: &str) -> Result<StageResults, NoResult> {
    spill::spill_if_late(ctx).await;
    // `domain` lies in the request's own region.
    let made = run_in_region(ctx, if ctx.is_spilled() { "" } else { domain }).await;
    let is_refused = matches!(made, Err(NoResult::Overload(_)));
    if is_refused && spill::spill_if_refused(ctx).await {
        return run_in_region(ctx, "").await;
    }
    made
}

async fn run_in_region(ctx: &Context, domain: &str) -> Result<StageResults, NoResult> {
    let graph = StageGraph::new(&ctx.route.stages, &ctx.head.item_counts);
    let mut held = StoredResults::new(ctx);
    if graph.is_empty() {
        return Ok(StageResults::new(Vec::new(), Vec::new(), held));
    }
    let begun = Instant::now();
    let made = run_graph(ctx, &graph, domain, &mut held).await;
    ctx.record_stages(begun);
    let results = made?;
    let last = graph.final_stages().filter_map(|it| Some((it, results[it].as_ref()?)));
    let mut places = BTreeMap::new();
    let mut inputs = Vec::new();
    for (stage, made) in last {
        add_places(ctx, &mut places, &made.handles, ctx.route.stages[stage].bytes);
        inputs.extend(made.handles.iter().cloned());
    }
    Ok(StageResults::new(inputs, places.into_iter().collect(), held))
}

async fn run_graph(
    ctx: &Context,
    graph: &StageGraph,
    domain: &str,
    held: &mut StoredResults,
) -> Result<Vec<Option<StageOutput>>, NoResult> {
    let mut results: Vec<Option<StageOutput>> = vec![None; graph.len()];
    let mut is_begun: Vec<bool> = (0..graph.len()).map(|it| graph.items(it) == 0).collect();
    let mut running: FuturesUnordered<BoxFuture<'_, StageOutcome>> = FuturesUnordered::new();
    let mut retries = 0;
    loop {
        for (stage, is_begun) in is_begun.iter_mut().enumerate() {
            if *is_begun || graph.dependencies(stage).any(|it| results[it].is_none()) {
                continue;
            }
            *is_begun = true;
            let inputs = graph.dependencies(stage).filter_map(|it| results[it].clone()).collect();
            let made = run_stage(ctx, graph, stage, inputs, domain);
            running.push(Box::pin(async move { (stage, made.await) }));
        }
        let Some((stage, outcome)) = running.next().await else { return Ok(results) };
        match outcome {
            Ok(made) => {
                held.add(&ctx.route.stages[stage].service, &made.handles);
                results[stage] = Some(made);
                for needed in
                    graph.dependencies(stage).filter(|it| has_single_dependent(graph, *it))
                {
                    held.remove(handles(&results[needed]));
                }
                release_used(graph, &results, held);
            }
            Err(NoResult::InputGone) if retries < MAX_INPUT_RETRIES => {
                retries += 1;
                is_begun[stage] = false;
                for outside in held.confine(&ctx.within()) {
                    discard_released(&outside, &mut results, &mut is_begun);
                }
                let is_held =
                    |it: usize| results[it].as_ref().is_some_and(|it| held.has(&it.handles));
                for lost in graph.stages_to_redo(stage, is_held) {
                    held.release(handles(&results[lost].take()));
                    is_begun[lost] = false;
                }
            }
            Err(it) => return Err(it),
        }
    }
}

/// Discards the output that contains `outside`, a result released since it lies outside the request's
/// confinement, so that its stage runs again.
fn discard_released(outside: &str, results: &mut [Option<StageOutput>], is_begun: &mut [bool]) {
    for (made, is_begun) in results.iter_mut().zip(is_begun) {
        if handles(made).iter().any(|it| it == outside) {
            *made = None;
            *is_begun = false;
        }
    }
}

fn handles(made: &Option<StageOutput>) -> &[String] {
    made.as_ref().map_or(&[], |it| &it.handles)
}

/// Whether exactly one stage depends on the results, so that the instance that batches this stage may release
/// them.
fn has_single_dependent(graph: &StageGraph, stage: usize) -> bool {
    graph.dependents(stage).filter(|it| graph.items(*it) != 0).count() == 1
}

/// Releases the results of stages whose dependents have all finished.
fn release_used(graph: &StageGraph, results: &[Option<StageOutput>], held: &mut StoredResults) {
    for (stage, made) in results.iter().enumerate() {
        let Some(made) = made else { continue };
        let is_pending = (0..graph.len())
            .filter(|it| graph.items(*it) != 0 && graph.dependencies(*it).any(|it| it == stage))
            .any(|it| results[it].is_none());
        if graph.has_dependents(stage) && !is_pending {
            held.release(&made.handles);
        }
    }
}

async fn run_stage(
    ctx: &Context,
    graph: &StageGraph,
    stage: usize,
    inputs: Vec<StageOutput>,
    domain: &str,
) -> Result<StageOutput, NoResult> {
    let inputs_until = inputs.iter().map(|it| it.until).min();
    let inputs: Vec<String> = inputs.into_iter().flat_map(|it| it.handles).collect();
    let preferred_domain = preferred_domain(ctx, graph, stage, &inputs, domain);
    let within = ctx.within();
    let source = if inputs.is_empty() {
        ItemSource::Key(ctx.head.item_key.value().cloned().unwrap_or_default())
    } else {
        ItemSource::Inputs(inputs)
    };
    let count = graph.items(stage);
    let service = &ctx.route.stages[stage].service;
    let mut handles: Vec<Option<String>> = vec![None; count as usize];
    let mut until = None;
    for round in 0..=MAX_RETRIES {
        let missing: Vec<u32> = (0..count).filter(|it| handles[*it as usize].is_none()).collect();
        let Some((first, others)) = missing.split_first() else { break };
        let mut first = new_request(ctx, graph, stage, *first, source.clone(), &preferred_domain);
        first.inputs_for_ms = inputs_until.map(|it| time_until(it).as_millis() as Millis);
        first.confinement = confinement(&within);
        first.fingerprint = Some(ctx.fingerprint());
        if let ItemSource::Inputs(inputs) = &source {
            first.releasable = releasable_inputs(ctx, graph, stage, inputs);
        }
        if first.is_refusable {
            first.chain = Some(later_stages(ctx, graph, stage));
        }
        let requests = ItemGroup::new(first, others.to_vec());
        let region = ctx.region();
        let limit = ctx.time_to_begin();
        let made = tokio::select! {
            it = process_anywhere(&ctx.shared, &region, service, requests, &within, limit) => it,
            () = ctx.wait_bounds_change(&within) => {
                // Waiting items are cancelled; the stage is run again within the new bounds.
                release_all(ctx, stage, handles);
                return Err(NoResult::InputGone);
            }
        };
        let failure = store_results(&mut handles, &missing, made);
        if handles.iter().any(Option::is_some) {
            ctx.record_work_done();
            until.get_or_insert_with(|| Instant::now() + result_lifetime(ctx, service));
        }
        let Some(cause) = failure else { break };
        let detail = format!(
            "id={} stage={stage} round={round} cause={cause:?}",
            LoggedName(&ctx.request.id)
        );
        emit(events::STAGE_FAILED, &ctx.shared.settings.instance, &detail);
        let is_final = round == MAX_RETRIES
            || ctx.quarantine_left().is_some()
            || matches!(cause, NoResult::InputGone | NoResult::Late | NoResult::Overload(_));
        if is_final || ctx.time_to_begin().is_zero() {
            release_all(ctx, stage, handles);
            return Err(cause);
        }
        match cause {
            NoResult::NoRoom | NoResult::Unreachable => tokio::time::sleep(NO_ROOM_BACKOFF).await,
            NoResult::Moved => tokio::time::sleep(MOVED_BACKOFF).await,
            NoResult::OnlyLate => ctx.accept_late(),
            _ => (),
        }
    }
    let handles = handles.into_iter().flatten().collect();
    Ok(StageOutput { handles, until: until.unwrap_or_else(Instant::now) })
}

/// How long a service's targets keep results.
fn result_lifetime(ctx: &Context, service: &str) -> Duration {
    let configuration = ctx.shared.configuration();
    let limits = configuration.services.get(service).and_then(|it| it.batches.as_ref());
    Duration::from_millis(limits.map_or(0, |it| it.keep_ms))
}

/// Inputs of a stage that no other stage needs, with the services that store them.
fn releasable_inputs(
    ctx: &Context,
    graph: &StageGraph,
    stage: usize,
    inputs: &[String],
) -> Vec<(Name, String)> {
    // Inputs are in the order of the stages that made them.
    let makers_by_input = graph.dependencies(stage).flat_map(|needed| {
        let count = graph.items(needed) as usize;
        std::iter::repeat_n(needed, count)
    });
    makers_by_input
        .zip(inputs)
        .filter(|it| has_single_dependent(graph, it.0))
        .map(|(needed, handle)| (ctx.route.stages[needed].service.clone(), handle.clone()))
        .collect()
}

/// Preferred failure domain for a stage's items, and the bytes that each of them transfers between failure
/// domains if it runs in another one: its inputs, and its result if the request's own service reads it in
/// `domain`.
fn preferred_domain(
    ctx: &Context,
    graph: &StageGraph,
    stage: usize,
    inputs: &[String],
    domain: &str,
) -> (String, u64) {
    let mut bytes: BTreeMap<String, u64> = BTreeMap::new();
    if !graph.has_dependents(stage) {
        *bytes.entry(domain.to_owned()).or_default() += ctx.route.stages[stage].bytes;
    }
    let input_bytes =
        graph.dependencies(stage).map(|it| ctx.route.stages[it].bytes).max().unwrap_or(0);
    add_places(ctx, &mut bytes, inputs, input_bytes);
    bytes.into_iter().max_by_key(|it| it.1).unwrap_or_default()
}

/// Adds the bytes of results to the totals of the failure domains that store them.
fn add_places(
    ctx: &Context,
    places: &mut BTreeMap<Name, u64>,
    handles: &[String],
    bytes_each: u64,
) {
    let makers = handles.iter().filter_map(|it| ctx.shared.target_at(wire::producer(it)?));
    makers.for_each(|it| *places.entry(it.domain).or_default() += bytes_each);
}

/// Stores results; returns the cause of a failure if any failed, preferring a lost input.
fn store_results(
    handles: &mut [Option<String>],
    missing: &[u32],
    made: Vec<ItemResult>,
) -> Option<NoResult> {
    let mut failure = None;
    for (item, result) in missing.iter().zip(made) {
        match result {
            Ok(it) => handles[*item as usize] = Some(it),
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

fn new_request(
    ctx: &Context,
    graph: &StageGraph,
    stage: usize,
    item: u32,
    source: ItemSource,
    (domain, near_bytes): &(String, u64),
) -> ItemRequest {
    let step = &ctx.route.stages[stage];
    let first_ms = first_event_ms(ctx);
    let after_ms = later_stages_ms(ctx, graph, stage) + first_ms;
    let spent_ms = (ctx.arrived.elapsed() + ctx.retry_elapsed).as_millis() as i64;
    let left_ms = ctx.time_to_begin().as_millis() as Millis;
    let slack_ms = left_ms as i64 - after_ms as i64;
    let due_in_ms = ctx.route.objective_ms as i64 - after_ms as i64 - spent_ms;
    ItemRequest {
        work: WorkItem { request: ctx.request.id.clone(), stage, item, source },
        route: ctx.route.name.clone(),
        // Requests admitted late yield to those that can meet their objective, at every stage.
        due_in_ms: if ctx.is_late() { 0 } else { due_in_ms },
        left_ms,
        rank: ctx.rank,
        bytes: step.bytes,
        domain: domain.clone(),
        near_bytes: *near_bytes,
        deadline_in_ms: slack_ms,
        late_due_in_ms: Some(slack_ms / (1 + steps_after(graph, stage)) as i64),
        is_refusable: !ctx.has_work_done() && !ctx.is_late(),
        inputs_for_ms: None,
        releasable: Vec::new(),
        confinement: Confinement::default(),
        fingerprint: None,
        chain: None,
    }
}

/// Time reserved from the send to the first event, in milliseconds.
pub(crate) fn first_event_ms(ctx: &Context) -> Millis {
    let median = ctx.first_event_ms(FIRST_EVENT_PERCENTILE).unwrap_or(DEFAULT_FIRST_EVENT_MS);
    let slow = ctx.first_event_ms(SLOW_FIRST_EVENT_PERCENTILE).unwrap_or(median);
    median + (FIRST_EVENT_MARGIN * slow.saturating_sub(median) as f64) as Millis
}

/// The stages after the first one that is requested, and their time limits.
fn later_stages(ctx: &Context, graph: &StageGraph, stage: usize) -> LaterStages {
    let stages = graph.all_dependents(stage).into_iter().map(|(it, depth)| {
        let service = &ctx.route.stages[it].service;
        LaterStage {
            service: service.clone(),
            items: graph.items(it),
            depth,
            usual_ms: expected_stage_ms(ctx, service),
        }
    });
    let first_ms = first_event_ms(ctx) as i64;
    let spent_ms = (ctx.arrived.elapsed() + ctx.retry_elapsed).as_millis() as i64;
    LaterStages {
        stages: stages.collect(),
        end_in_ms: ctx.route.objective_ms as i64 - first_ms - spent_ms,
        deadline_in_ms: ctx.time_to_begin().as_millis() as i64 - first_ms,
        accepts_late: true,
    }
}

/// Expected time of a stage at a service, including its queue, in milliseconds.
pub(crate) fn expected_stage_ms(ctx: &Context, service: &str) -> Millis {
    let stated = nominal_stage_ms(ctx, service);
    ctx.shared.pools.of(ctx.shared.clock.now(), service).stage_ms(ctx.shared.clock.now(), stated)
}

/// Expected time of all stages of a request along the longest chain, in milliseconds.
pub(crate) fn expected_total_ms(ctx: &Context) -> Millis {
    let graph = StageGraph::new(&ctx.route.stages, &ctx.head.item_counts);
    let total = |stage: usize| {
        expected_stage_ms(ctx, &ctx.route.stages[stage].service)
            + later_stages_ms(ctx, &graph, stage)
    };
    (0..graph.len()).filter(|it| graph.items(*it) != 0).map(total).max().unwrap_or(0)
}

/// Expected time of the stages that follow a stage, along the longest chain, in milliseconds.
fn later_stages_ms(ctx: &Context, graph: &StageGraph, stage: usize) -> Millis {
    let later = graph.dependents(stage).map(|it| {
        expected_stage_ms(ctx, &ctx.route.stages[it].service) + later_stages_ms(ctx, graph, it)
    });
    later.max().unwrap_or(0)
}

/// Number of steps that follow a stage along the longest chain, including the request's own service.
fn steps_after(graph: &StageGraph, stage: usize) -> usize {
    1 + graph.dependents(stage).map(|it| steps_after(graph, it)).max().unwrap_or(0)
}

/// Time of a stage at a service without a queue, in milliseconds.
pub(crate) fn nominal_stage_ms(ctx: &Context, service: &str) -> Millis {
    let configuration = ctx.shared.configuration();
    let limits = configuration.services.get(service).and_then(|it| it.batches.as_ref());
    limits.map_or(DEFAULT_STAGE_MS, |it| (1.5 * it.call_ms + 4.0 * it.item_ms) as Millis)
}
