//! HTTP handlers that change resources and report the status of changes.

use std::sync::Arc;

use axum::{
    Json,
    body::Bytes,
    extract::{Path, State},
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
};
use holdpoint_core::{catalog::check, ids::Offset};
use holdpoint_schema::{
    Fault, Part,
    caller::{ChangeState, ChangeStatus},
    faults,
    records::Change,
};
use serde_json::{Map, Value, json};
use uuid::Uuid;

use crate::{
    control::{Input, change_wait_limit},
    operators::{Refusal, ask_control, auth::operator, parse_kind, resources},
    shared::Shared,
};

/// Header with the change id; a change repeated with the same id is applied once.
const CHANGE_ID_HEADER: &str = "holdpoint-change";

/// `PUT /apis/v1/{kind}/{name}` with the specification as the body.
pub(crate) async fn put(
    State(shared): State<Arc<Shared>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, Refusal> {
    let operator = operator(&shared, &headers)?.to_owned();
    let parsed_kind = parse_kind(&kind)?;
    let value: Value =
        serde_json::from_slice(&body).map_err(|it| Refusal::BadBody(it.to_string()))?;
    let found = name_faults(&kind, &name, &value);
    if !found.is_empty() {
        return Err(Refusal::Faults(found));
    }
    let Value::Object(spec) = value else { return Err(Refusal::UnknownKind) };
    let found = check(&shared.published().catalog, parsed_kind, &spec);
    if !found.is_empty() {
        return Err(Refusal::Faults(found));
    }
    change(&shared, &headers, operator, kind, name, spec).await
}

/// `DELETE /apis/v1/{kind}/{name}`.
pub(crate) async fn delete(
    State(shared): State<Arc<Shared>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    let operator = operator(&shared, &headers)?.to_owned();
    parse_kind(&kind)?;
    change(&shared, &headers, operator, kind, name, Map::new()).await
}

/// `GET /apis/v1/changes/{id}`.
pub(crate) async fn status(
    State(shared): State<Arc<Shared>>,
    Path(change): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    operator(&shared, &headers)?;
    let status = ask_control(&shared, |reply| Input::ChangeStatus { change, reply }).await?;
    Ok(Json(status).into_response())
}

async fn change(
    shared: &Shared,
    headers: &HeaderMap,
    operator: String,
    kind: String,
    name: String,
    spec: Map<String, Value>,
) -> Result<Response, Refusal> {
    let stated = base_version(headers)?;
    let base = match stated {
        Some(it) => it,
        None => {
            let found = resources(shared, &kind, Some(name.clone())).await?;
            found.first().map_or(0, |it| it.1)
        }
    };
    let given_id = headers.get(CHANGE_ID_HEADER).and_then(|it| it.to_str().ok()).map(str::to_owned);
    let id = given_id.unwrap_or_else(|| Uuid::now_v7().to_string());
    let change = Change { change: id.clone(), kind, name, base, spec, operator };
    let asked = ask_control(shared, |reply| Input::Change { change, reply });
    let status = match tokio::time::timeout(change_wait_limit(shared), asked).await {
        Ok(it) => it?,
        Err(_) => {
            let (state, missing) = (ChangeState::Unknown, Vec::new());
            ChangeStatus { change: id, state, version: None, missing }
        }
    };
    Ok(answer(&status, stated.is_some()))
}

fn answer(status: &ChangeStatus, is_conditional: bool) -> Response {
    let code = match status.state {
        ChangeState::Accepted => StatusCode::OK,
        ChangeState::Pending => StatusCode::ACCEPTED,
        ChangeState::Conflict if is_conditional => StatusCode::PRECONDITION_FAILED,
        ChangeState::Conflict => StatusCode::CONFLICT,
        ChangeState::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    (code, Json(status)).into_response()
}

/// Version on which a change is conditional, from `If-Match` or `If-None-Match`.
fn base_version(headers: &HeaderMap) -> Result<Option<Offset>, Refusal> {
    let text = |name| headers.get(name).map(|it| it.to_str().unwrap_or("?").trim_matches('"'));
    if text(header::IF_NONE_MATCH) == Some("*") {
        return Ok(Some(0));
    }
    match text(header::IF_MATCH) {
        None => Ok(None),
        Some(it) => it.parse().map(Some).map_err(|_| Refusal::BadVersion),
    }
}

fn name_faults(kind: &str, name: &str, spec: &Value) -> Vec<Fault> {
    let resource = json!({ "kind": kind, "name": name, "spec": spec });
    let found = faults(Part::ResourceFile, &json!({ "resources": [resource] }));
    let shorten = |it: Fault| {
        let path = it.path.trim_start_matches("/resources/0").trim_start_matches("/spec");
        Fault { path: path.to_owned(), text: it.text }
    };
    found.into_iter().map(shorten).collect()
}
