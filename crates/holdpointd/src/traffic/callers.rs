//! HTTP API for callers.
//!
//! Authenticates and validates a request, admits it, claims its idempotency key where the pipeline
//! may not be repeated, and then runs it.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    body::Body,
    extract::{Path, State},
    http::{HeaderMap, HeaderName, HeaderValue, header},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use holdpoint_core::{
    admit::{Ask, Refusal},
    burn::Cause,
    catalog::Versioned,
    claims::{BadKey, check_key},
    ids::{Millis, Name, sha256_hex},
    ledger::Ledger,
    pipeline::Graph,
    trial::arm_of,
};
use holdpoint_schema::{
    Part, faults, peer::ClaimReply, records::ClaimKey, resources::Organisation,
};
use parking_lot::Mutex;
use serde_json::Value;

use crate::{
    shared::{Published, Shared, Working},
    traffic::{
        PipelineState,
        admission::admit,
        claim::{self, Claim},
        job::{Job, TrialArm},
        problem::{Problem, ProblemKind},
        resume,
        running::{Running, count},
    },
};

/// Request header with the latency that the caller tolerates.
const PATIENCE: HeaderName = HeaderName::from_static("holdpoint-patience-ms");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Response header of an answer that was recorded by an earlier call with the same key.
const REPLAYED: HeaderName = HeaderName::from_static("holdpoint-replayed");

/// Routes of the callers' listener.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/pipelines/{pipeline}/requests", post(request))
        .route("/v1/requests/{id}", get(resume::resume))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .with_state(shared)
}

async fn ready(State(shared): State<Arc<Shared>>) -> Response {
    if shared.is_ready(&shared.now()) {
        "ready\n".into_response()
    } else {
        Problem::before_start(ProblemKind::NotReady).into_response()
    }
}

/// Organisation of a caller key. Keys are looked up by their hash, so the lookup time reveals
/// nothing about them.
pub(crate) fn authenticate<'a>(
    view: &'a Published,
    headers: &HeaderMap,
) -> Result<(&'a Name, &'a Organisation), Problem> {
    let bearer = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    bearer
        .and_then(|it| it.strip_prefix("Bearer "))
        .and_then(|it| view.catalog.organisation_of(&sha256_hex(it.as_bytes())))
        .ok_or_else(|| Problem::before_start(ProblemKind::Unauthorized))
}

/// A request that was read and validated but not yet admitted.
struct CheckedRequest {
    view: Arc<Published>,
    organisation: Name,
    share: u32,
    cap: u32,
    pipeline: Name,
    graph: Arc<Versioned<Graph>>,
    input: Value,
    arrived: Millis,
    deadline: Millis,
    key: Option<String>,
    wants_stream: bool,
    ledger: Ledger,
}

async fn request(
    State(shared): State<Arc<Shared>>,
    Path(pipeline): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let in_flight = shared.in_flight.start();
    let checked = match check(&shared, pipeline, &headers, body).await {
        Ok(it) => it,
        Err(it) => return it.into_response(),
    };
    match serve(&shared, checked, in_flight).await {
        Ok(it) => it,
        Err(it) => it.into_response(),
    }
}

async fn check(
    shared: &Shared,
    pipeline: Name,
    headers: &HeaderMap,
    body: Body,
) -> Result<CheckedRequest, Problem> {
    let refuse = Problem::before_start;
    let view = shared.now();
    if !shared.may_serve(&view) {
        return Err(refuse(ProblemKind::NotReady).with_retry_after(1000));
    }
    let arrived = shared.clock.now();
    let (organisation, details) = authenticate(&view, headers)?;
    let graph = view.catalog.pipelines.get(&pipeline).cloned();
    let graph = graph.ok_or_else(|| refuse(ProblemKind::NoPipeline))?;
    if !details.pipelines.is_empty() && !details.pipelines.contains(&pipeline) {
        return Err(refuse(ProblemKind::Forbidden));
    }
    let tolerated_ms = tolerated_ms(shared, headers, graph.spec.patience_ms)?;
    let key = headers.get(KEY).and_then(|it| it.to_str().ok()).map(str::to_owned);
    let key = key.filter(|_| !graph.spec.is_repeatable());
    if !graph.spec.is_repeatable() {
        check_key_age(shared, key.as_deref(), arrived)?;
    }
    let input = read_input(shared, body, tolerated_ms).await?;
    let accept = headers.get(header::ACCEPT).and_then(|it| it.to_str().ok()).unwrap_or_default();
    Ok(CheckedRequest {
        organisation: organisation.clone(),
        share: details.share,
        cap: details.concurrency,
        pipeline,
        graph,
        input,
        arrived,
        deadline: arrived + tolerated_ms,
        key,
        wants_stream: accept.contains("text/event-stream"),
        ledger: Ledger::new(),
        view,
    })
}

/// Latency that the caller tolerates: the request's header or `default_ms`, up to the maximum of the
/// settings.
fn tolerated_ms(
    shared: &Shared,
    headers: &HeaderMap,
    default_ms: Millis,
) -> Result<Millis, Problem> {
    let max_ms = shared.settings.limits.max_patience_ms;
    let Some(value) = headers.get(PATIENCE) else { return Ok(default_ms.min(max_ms)) };
    let stated = value.to_str().ok().and_then(|it| it.parse::<Millis>().ok());
    match stated.filter(|it| 0 < *it) {
        Some(it) => Ok(it.min(max_ms)),
        None => {
            let problem = Problem::before_start(ProblemKind::BadRequest);
            let detail = "must be a whole number of milliseconds above 0";
            Err(problem.with_path("Holdpoint-Patience-Ms").with_detail(detail))
        }
    }
}

fn check_key_age(shared: &Shared, key: Option<&str>, now: Millis) -> Result<(), Problem> {
    let refuse = |kind| Problem::before_start(kind).with_path("Idempotency-Key");
    let key = key.ok_or_else(|| refuse(ProblemKind::KeyMissing))?;
    let timing = &shared.settings.timing;
    check_key(key, now, timing.claim_window_ms, timing.skew_ms).map_err(|it| match it {
        BadKey::Format | BadKey::Future => refuse(ProblemKind::KeyInvalid),
        BadKey::Old => refuse(ProblemKind::KeyExpired),
    })
}

async fn read_input(shared: &Shared, body: Body, tolerated_ms: Millis) -> Result<Value, Problem> {
    let limit = shared.settings.limits.body_bytes as usize;
    let read = axum::body::to_bytes(body, limit);
    let bytes = tokio::time::timeout(Duration::from_millis(tolerated_ms), read)
        .await
        .map_err(|_| Problem::before_start(ProblemKind::SlowBody))?
        .map_err(|it| {
            let is_over = std::error::Error::source(&it)
                .is_some_and(|it| it.is::<http_body_util::LengthLimitError>());
            let kind = if is_over { ProblemKind::TooLarge } else { ProblemKind::BadRequest };
            Problem::before_start(kind)
        })?;
    let refuse = || Problem::before_start(ProblemKind::BadRequest);
    let mut value: Value =
        serde_json::from_slice(&bytes).map_err(|it| refuse().with_detail(it.to_string()))?;
    if let Some(fault) = faults(Part::Call, &value).into_iter().next() {
        return Err(refuse().with_path(fault.path).with_detail(fault.text));
    }
    Ok(value["input"].take())
}

async fn serve(
    shared: &Arc<Shared>,
    checked: CheckedRequest,
    in_flight: Working,
) -> Result<Response, Problem> {
    let state = shared.traffic.pipelines.of(&checked.pipeline, PipelineState::default);
    let need = expected_ms(&state, &checked.graph.spec);
    let ask = Ask {
        organisation: &checked.organisation,
        share: checked.share,
        cap: checked.cap,
        deadline: checked.deadline,
        need,
    };
    let admitted = admit(shared, &ask).await.map_err(|it| {
        let kind = match it.reason {
            Refusal::OrganisationLimit => ProblemKind::OrganisationLimit,
            Refusal::Hopeless => ProblemKind::DeadlineTooShort,
            Refusal::Overload => ProblemKind::Overload,
        };
        let cause = Cause { stage: String::new(), target: String::new(), kind: kind.name().into() };
        state.burn.lock().bad(shared.clock.now(), cause);
        count(shared, &checked.pipeline, kind.name());
        Problem::of_ledger(kind, &checked.ledger).with_retry_after(it.retry_after)
    })?;
    let call = shared.next_call();
    let claim = new_claim(&checked, call);
    let token = match &claim {
        None => None,
        Some(it) => match claim_key(shared, it, checked.deadline, &checked.ledger).await? {
            ClaimOutcome::Won(it) => Some(it),
            ClaimOutcome::Replay(it) => return Ok(replay(it)),
        },
    };
    let request = format!("{}:{call}", shared.incarnation);
    let job = Job {
        shared: shared.clone(),
        trial: trial_of(&checked, &request),
        view: checked.view,
        organisation: checked.organisation,
        pipeline: checked.pipeline,
        graph: checked.graph,
        state,
        input: checked.input,
        call,
        request,
        arrived: checked.arrived,
        deadline: checked.deadline,
        key: checked.key,
        token,
        ledger: checked.ledger,
        load: Mutex::default(),
    };
    let running = Running::new(job, claim, admitted, in_flight);
    if checked.wants_stream {
        return Ok(running.respond_stream().await);
    }
    running.respond().await
}

/// Sum of the median durations of the stages in the longest chain, in milliseconds. Stages without
/// data are left out.
fn expected_ms(state: &PipelineState, graph: &Graph) -> Millis {
    let times = state.times.lock();
    let first = graph.order.first().copied().unwrap_or(0);
    let chain = graph.chain_from(first);
    let usual = |it: &usize| times.get(&graph.steps[*it].stage.name)?.quantile(0.5);
    chain.iter().filter_map(usual).sum()
}

fn new_claim(checked: &CheckedRequest, call: u64) -> Option<Claim> {
    let key = ClaimKey {
        organisation: checked.organisation.clone(),
        pipeline: checked.pipeline.clone(),
        key: checked.key.clone()?,
    };
    let body_hash = sha256_hex(checked.input.to_string().as_bytes());
    Some(Claim { key, body_hash, call })
}

enum ClaimOutcome {
    Won(u64),
    Replay(String),
}

/// Claims the key. The request runs only if this call won the claim. Otherwise nothing is sent, and
/// a claim that may still be appended to the log is released.
async fn claim_key(
    shared: &Arc<Shared>,
    claim: &Claim,
    deadline: Millis,
    ledger: &Ledger,
) -> Result<ClaimOutcome, Problem> {
    let reply = claim::claim(shared, claim, deadline).await;
    let refuse = |kind| Problem::of_ledger(kind, ledger);
    match reply {
        ClaimReply::Won(_) if deadline <= shared.clock.now() => {
            claim::release(shared, claim, "deadline");
            Err(refuse(ProblemKind::Deadline))
        }
        ClaimReply::Won(it) => Ok(ClaimOutcome::Won(it)),
        ClaimReply::Done(it) => Ok(ClaimOutcome::Replay(it)),
        ClaimReply::Held(_) => {
            // A claim of this call may still be in flight and must not outlive the holder's.
            claim::release(shared, claim, "held");
            Err(Problem::may_have_run(ProblemKind::InProgress).with_retry_after(1000))
        }
        ClaimReply::Unknown => Err(Problem::may_have_run(ProblemKind::OutcomeUnknown)),
        ClaimReply::Mismatch => {
            claim::release(shared, claim, "mismatch");
            Err(refuse(ProblemKind::KeyMismatch))
        }
        ClaimReply::Expired => Err(refuse(ProblemKind::KeyExpired)),
        ClaimReply::Silent => {
            claim::release(shared, claim, "log silent");
            Err(refuse(ProblemKind::LogUnavailable).with_retry_after(2000))
        }
    }
}

fn replay(answer: String) -> Response {
    let headers = [
        (header::CONTENT_TYPE, HeaderValue::from_static("application/json")),
        (REPLAYED, HeaderValue::from_static("true")),
    ];
    (headers, answer).into_response()
}

/// Trial and arm of a request. The trials of a pipeline share its requests evenly.
fn trial_of(checked: &CheckedRequest, request: &str) -> Option<TrialArm> {
    let stable = checked.key.as_deref().unwrap_or(request);
    let trials = checked.view.catalog.trials.iter();
    let trials: Vec<_> = trials.filter(|it| it.1.spec.pipeline == checked.pipeline).collect();
    let names = trials.iter().map(|it| it.0.as_str());
    let name = holdpoint_core::subset::owner(stable, names)?;
    let trial = &trials.iter().find(|it| it.0 == name)?.1.spec;
    let arm = arm_of(name, trial, stable)?;
    let policy = checked.view.catalog.policy(&arm.policy);
    Some(TrialArm { trial: name.to_owned(), arm: arm.name.clone(), policy })
}
