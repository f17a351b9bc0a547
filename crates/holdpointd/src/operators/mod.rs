//! HTTP API for operators: resources, changes, watches, reports and metrics.

mod auth;
mod changes;
mod watch;

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{Path, Query, State},
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
    routing::get,
};
use holdpoint_schema::{caller, resources::Kind};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::oneshot;

use crate::{
    control::{Input, Listed},
    operators::auth::operator,
    shared::Shared,
    traffic::merged_report,
};

/// Router for the operators' address.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/apis/v1/{kind}", get(list_resources))
        .route(
            "/apis/v1/{kind}/{name}",
            get(get_resource).put(changes::put).delete(changes::delete),
        )
        .route("/apis/v1/changes/{id}", get(changes::status))
        .route("/apis/v1/instances", get(instances))
        .route("/report/burn", get(burn_report))
        .route("/report/trials/{name}", get(trial_report))
        .route("/metrics", get(metrics))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(readiness))
        .with_state(shared)
}

/// A failure of an operator's call.
#[derive(Clone, Debug)]
pub(crate) enum Refusal {
    Unauthorized,
    UnknownKind,
    NotFound,
    BadBody(String),
    Faults(Vec<holdpoint_schema::Fault>),
    BadVersion,
    Stopping,
    TooOld,
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let (status, kind) = match &self {
            Refusal::Unauthorized => (StatusCode::UNAUTHORIZED, "unauthorized"),
            Refusal::UnknownKind => (StatusCode::NOT_FOUND, "no-kind"),
            Refusal::NotFound => (StatusCode::NOT_FOUND, "not-found"),
            Refusal::BadBody(_) => (StatusCode::BAD_REQUEST, "bad-body"),
            Refusal::Faults(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid"),
            Refusal::BadVersion => (StatusCode::BAD_REQUEST, "bad-version"),
            Refusal::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            Refusal::TooOld => (StatusCode::GONE, "too-old"),
        };
        let faults = match &self {
            Refusal::Faults(it) => it.clone(),
            _ => Vec::new(),
        };
        let faults: Vec<_> =
            faults.iter().map(|it| json!({ "path": it.path, "text": it.text })).collect();
        let detail = match &self {
            Refusal::BadBody(it) => Some(it.clone()),
            _ => None,
        };
        let document = json!({
            "type": format!("urn:holdpoint:problem:{kind}"),
            "title": kind,
            "status": status.as_u16(),
            "detail": detail,
            "run": caller::Run::No,
            "faults": faults,
        });
        let headers = [(header::CONTENT_TYPE, "application/problem+json")];
        (status, headers, Json(document)).into_response()
    }
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    watch: bool,
    #[serde(default)]
    from: u64,
}

async fn list_resources(
    State(shared): State<Arc<Shared>>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    operator(&shared, &headers)?;
    parse_kind(&kind)?;
    if query.watch {
        return watch::watch(&shared, kind, query.from).await;
    }
    let found = resources(&shared, &kind, None).await?;
    let items: Vec<_> = found.iter().map(|it| document(&kind, it)).collect();
    Ok(Json(json!({ "offset": shared.published().offset, "items": items })).into_response())
}

async fn get_resource(
    State(shared): State<Arc<Shared>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    operator(&shared, &headers)?;
    parse_kind(&kind)?;
    let found = resources(&shared, &kind, Some(name)).await?;
    let resource = found.first().ok_or(Refusal::NotFound)?;
    let tag = [(header::ETAG, format!("\"{}\"", resource.1))];
    Ok((tag, Json(document(&kind, resource))).into_response())
}

async fn instances(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    operator(&shared, &headers)?;
    Ok(Json(json!({ "instances": *shared.published().instances })).into_response())
}

async fn burn_report(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    operator(&shared, &headers)?;
    let report = merged_report(&shared).await;
    let pipelines = report.burn_reports(&shared.published());
    let (instances, silent) = (report.instances, report.silent);
    let document = json!({ "pipelines": pipelines, "instances": instances, "silent": silent });
    Ok(Json(document).into_response())
}

async fn trial_report(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    operator(&shared, &headers)?;
    let report = merged_report(&shared).await;
    let found = report.trial_report(&shared.published(), &name).ok_or(Refusal::NotFound)?;
    Ok(Json(found).into_response())
}

async fn metrics(State(shared): State<Arc<Shared>>) -> Response {
    let headers = [(header::CONTENT_TYPE, "text/plain; version=0.0.4")];
    (headers, shared.metrics.text()).into_response()
}

async fn readiness(State(shared): State<Arc<Shared>>) -> Response {
    let is_ready = shared.is_ready(&shared.published());
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, if is_ready { "ready\n" } else { "not ready\n" }).into_response()
}

pub(crate) fn parse_kind(text: &str) -> Result<Kind, Refusal> {
    text.parse().map_err(|_| Refusal::UnknownKind)
}

pub(crate) async fn resources(
    shared: &Shared,
    kind: &str,
    name: Option<String>,
) -> Result<Vec<Listed>, Refusal> {
    let kind = kind.to_owned();
    ask_control(shared, |reply| Input::Resources { kind, name, reply }).await
}

pub(crate) async fn ask_control<T>(
    shared: &Shared,
    input: impl FnOnce(oneshot::Sender<T>) -> Input,
) -> Result<T, Refusal> {
    let (reply, answer) = oneshot::channel();
    shared.control.send(input(reply)).await.map_err(|_| Refusal::Stopping)?;
    answer.await.map_err(|_| Refusal::Stopping)
}

fn document(kind: &str, resource: &Listed) -> serde_json::Value {
    let (name, version, spec) = resource;
    json!({ "kind": kind, "name": name, "version": version, "spec": spec })
}
