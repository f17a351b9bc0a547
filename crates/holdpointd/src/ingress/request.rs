//! Receives a caller's request: reads its body, finds its route, and passes it to the whole-body or the
//! streaming path.

use std::{
    convert::Infallible,
    error::Error,
    future::Future,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use holdpoint_adapter::headers::{self, CallerHead};
use holdpoint_core::{
    ingress::{Configuration, Denied, IngressRoute, ResponseKind, Tenancy},
    ledger::Ledger,
    stage_graph::StageGraph,
};
use holdpoint_platform::Instant;
use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        answer::{Answer, Failure, failure, refusal},
        attempts::StopCause,
        confinement::RequestBounds,
        confirm::confirm,
        context::{Context, ContextParts},
        departure::{Departure, Handling, Step},
        own_load::Unserved,
        send::CallerRequest,
        shared::IngressShared,
        stream, whole,
    },
    shared::InFlightGuard,
};

/// Retry-After of a request that the known configuration does not allow, while a newer one may exist.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);
/// Maximum number of work items of a request. Each item of a stage lists the results of all items of the stage before, so
/// that the memory of a request grows with the square of this number: to 4 MB.
const MAX_ITEMS: u64 = 512;

/// A request whose head has been read, counted until its handling ends.
struct ReadRequest {
    request: Request<Incoming>,
    head: CallerHead,
    arrived: Instant,
    working: InFlightGuard,
    handling: Handling,
}

impl ReadRequest {
    fn new(
        shared: &Arc<IngressShared>,
        request: Request<Incoming>,
        departure: Departure,
    ) -> ReadRequest {
        let head = headers::read_caller(request.headers());
        let id = head.request_id.as_deref().unwrap_or("none");
        let handling = Handling::new(shared.clone(), id, Step::Body, departure);
        let working = shared.in_flight.start();
        ReadRequest { request, head, arrived: Instant::now(), working, handling }
    }
}

/// Serves a request; `is_first` if it is the first one of its connection.
///
/// It is counted before the returned future is polled: the HTTP library drops that unpolled if the caller has closed
/// its side already.
pub(crate) fn serve(
    shared: Arc<IngressShared>,
    request: Request<Incoming>,
    is_first: bool,
    departure: Departure,
) -> impl Future<Output = Result<Answer, Infallible>> {
    let read = ReadRequest::new(&shared, request, departure.clone());
    let counted = (shared.own_load.record_request(is_first), departure);
    serve_read(shared, read, counted)
}

async fn serve_read(
    shared: Arc<IngressShared>,
    read: ReadRequest,
    (unserved, departure): (Unserved, Departure),
) -> Result<Answer, Infallible> {
    let ReadRequest { request, head, arrived, working, mut handling } = read;
    let counted = (working, unserved, departure);
    let admitted = admit(&shared, request, head, arrived, &mut handling, counted).await;
    let mut answer = match admitted {
        Ok(it) => {
            handling.enter(Step::Answer);
            match it.route.response {
                ResponseKind::Whole => whole::serve(it).await,
                ResponseKind::Events { .. } => stream::serve(it).await,
            }
        }
        Err(it) => it,
    };
    handling.end();
    let is_kept = shared.own_load.keeps_connection(shared.clock.now());
    if !is_kept || shared.is_draining.load(Ordering::Acquire) {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// Refuses a request that has waited for too long to be accepted by an instance that is full. Counted as in [`serve`].
pub(crate) fn refuse(
    shared: Arc<IngressShared>,
    request: Request<Incoming>,
    departure: Departure,
) -> impl Future<Output = Result<Answer, Infallible>> {
    let read = ReadRequest::new(&shared, request, departure);
    refuse_read(shared, read)
}

async fn refuse_read(shared: Arc<IngressShared>, read: ReadRequest) -> Result<Answer, Infallible> {
    let ReadRequest { request, head, working: _working, handling, .. } = read;
    let id = head.request_id.as_deref();
    let body = discard_body(&shared.configuration(), &head, request.into_body()).await;
    let (mut answer, cause) = match (body, Ledger::new().close()) {
        (Ok(()), Ok(proof)) => {
            let retry_after = shared.own_load.wait(shared.clock.now());
            (refusal(proof, id, retry_after.unwrap_or(UNCONFIGURED_RETRY)), "full".to_owned())
        }
        (Ok(()), Err(_)) => (failure(Failure::Broken, id), "full".to_owned()),
        (Err(it), _) => (failure(it, id), format!("{it:?}")),
    };
    let detail = format!("id={} cause={cause}", LoggedName(id.unwrap_or("none")));
    shared.metrics.refused_full.add(1, &[]);
    emit(events::REFUSED_FULL, &shared.settings.instance, &detail);
    handling.end();
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    Ok(answer)
}

/// Reads a request and finds its route. An error is the final answer to the request.
async fn admit(
    shared: &Arc<IngressShared>,
    request: Request<Incoming>,
    head: CallerHead,
    arrived: Instant,
    handling: &mut Handling,
    (working, unserved, departure): (InFlightGuard, Unserved, Departure),
) -> Result<Context, Answer> {
    let configuration = shared.configuration();
    let (parts, body) = request.into_parts();
    let deny = |it: Failure| {
        let id = head.request_id.as_deref();
        let detail = format!(
            "id={} cause={it:?} path={} version={}",
            LoggedName(id.unwrap_or("none")),
            parts.uri.path(),
            shared.configuration().version
        );
        emit(events::REQUEST_DENIED, &shared.settings.instance, &detail);
        failure(it, id)
    };
    let refuse = |cause: &str| {
        let id = head.request_id.as_deref();
        let detail = format!(
            "id={} cause={cause} path={} version={}",
            LoggedName(id.unwrap_or("none")),
            parts.uri.path(),
            shared.configuration().version
        );
        emit(events::REQUEST_DENIED, &shared.settings.instance, &detail);
        match Ledger::new().close() {
            Ok(proof) => refusal(proof, id, UNCONFIGURED_RETRY),
            Err(_) => failure(Failure::Broken, id),
        }
    };
    let body = read_body(shared, &configuration, &head, body).await.map_err(deny)?;
    let Some(body) = body else { return Err(refuse("no-memory")) };
    let deadline = head.timeout.map(|it| arrived + it);
    if !shared.has_started() {
        // After a restart of all instances, callers arrive before any instance is ready, and a refusal
        // would use up their retry as well.
        handling.enter(Step::Start);
        let waited = wait_for(shared, deadline, Box::pin(shared.wait_until_started())).await;
        waited.map_err(|it| refuse(it.name()))?;
    }
    let configuration = shared.configuration();
    if configuration.version == 0 {
        return Err(refuse("unconfigured"));
    }
    let Some(id) = head.request_id.clone() else { return Err(deny(Failure::BadRequest)) };
    let request = CallerRequest {
        method: parts.method.clone(),
        path: parts.uri.clone(),
        headers: parts.headers.clone(),
        body,
        id,
    };
    handling.enter(Step::Confirmation);
    if find_route(&configuration, &request, &head).is_err() {
        let confirmed = wait_for(shared, deadline, Box::pin(confirm(shared))).await;
        if !confirmed.map_err(|it| refuse(it.name()))? {
            // A denial is final, and this instance may have missed the configuration that allows the request.
            return Err(refuse("unconfirmed"));
        }
    }
    let configuration = shared.configuration();
    let (route, organisation) =
        find_route(&configuration, &request, &head).map_err(|it| deny(denial_failure(it)))?;
    if has_malformed_head(route, &head) {
        return Err(deny(Failure::BadRequest));
    }
    if MAX_ITEMS < StageGraph::new(&route.stages, &head.item_counts).total_items() {
        return Err(refuse("too-many-items"));
    }
    let confinement = route.confinement_for(organisation.map(Arc::as_ref));
    let within = confinement.bounds(&shared.topology);
    let service = route.service_of(&request.id).ok_or_else(|| deny(Failure::NoRoute))?.to_owned();
    let parts = ContextParts {
        request,
        route: route.clone(),
        service,
        organisation: organisation.map(|it| it.name.clone()),
        rank: route.rank_for(organisation.map(Arc::as_ref)),
        bounds: RequestBounds::new(configuration.version, within),
        version: configuration.version,
        arrived,
        working,
        unserved,
        departure,
        head: head.clone(),
    };
    let ctx = Context::new(shared.clone(), parts);
    let refused = ctx.refuse_quarantined().or_else(|| ctx.refuse_confined());
    refused.or_else(|| ctx.refuse_late_in_stop()).map_or(Ok(ctx), Err)
}

/// Waits for a future until the request's deadline, or until pending requests must get a final answer because of a stop.
async fn wait_for<T>(
    shared: &IngressShared,
    deadline: Option<Instant>,
    // Boxed, since each request in flight would hold room for it, and few wait.
    wait: Pin<Box<impl Future<Output = T>>>,
) -> Result<T, StopCause> {
    let deadline_passed = async {
        match deadline {
            Some(it) => shared.wait_until(it).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        it = wait => Ok(it),
        () = deadline_passed => Err(StopCause::Time),
        () = shared.wait_for_final_answers() => Err(StopCause::Stopping),
    }
}

/// Finds the route of a request, and the organisation that its key belongs to.
fn find_route<'a>(
    configuration: &'a Configuration,
    request: &CallerRequest,
    head: &CallerHead,
) -> Result<(&'a Arc<IngressRoute>, Option<&'a Arc<Tenancy>>), Denied> {
    let route = configuration.route(request.host(), request.path.path())?;
    let organisation = configuration.organisation(route, head.key.as_deref())?;
    Ok((route, organisation))
}

/// Whether a header that its route uses cannot be read. Sent on without it, the request would be another one: a resumed
/// stream would begin anew, and work items would lack their inputs.
fn has_malformed_head(route: &IngressRoute, head: &CallerHead) -> bool {
    let is_stream = matches!(route.response, ResponseKind::Events { .. });
    is_stream && head.last_event.is_malformed()
        || !route.stages.is_empty() && head.item_key.is_malformed()
}

fn denial_failure(denied: Denied) -> Failure {
    match denied {
        Denied::NoRoute => Failure::NoRoute,
        Denied::BadKey => Failure::BadKey,
    }
}

/// Reads a body; `None` if there is no memory for it.
async fn read_body(
    shared: &IngressShared,
    configuration: &Configuration,
    head: &CallerHead,
    body: Incoming,
) -> Result<Option<Bytes>, Failure> {
    if body.is_end_stream() {
        return Ok(Some(Bytes::new()));
    }
    let read = shared.bodies.read(Limited::new(body, configuration.limits.body_bytes));
    in_body_time(configuration, head, read).await
}

/// Reads a body under the same limits as one that is used, and keeps nothing of it.
async fn discard_body(
    configuration: &Configuration,
    head: &CallerHead,
    body: Incoming,
) -> Result<(), Failure> {
    let mut body = Limited::new(body, configuration.limits.body_bytes);
    let discarded = async {
        while let Some(it) = body.frame().await {
            drop(it?);
        }
        Ok(())
    };
    in_body_time(configuration, head, discarded).await
}

/// Waits until a body is read, for as long as its caller may take to send it.
async fn in_body_time<T>(
    configuration: &Configuration,
    head: &CallerHead,
    read: impl Future<Output = Result<T, Box<dyn Error + Send + Sync>>>,
) -> Result<T, Failure> {
    let limit = Duration::from_millis(configuration.limits.head_ms);
    let limit = head.timeout.map_or(limit, |it| it.max(limit));
    match tokio::time::timeout(limit, read).await {
        Ok(Ok(it)) => Ok(it),
        Ok(Err(it)) if it.is::<LengthLimitError>() => Err(Failure::TooLarge),
        Ok(Err(_)) => Err(Failure::BadRequest),
        Err(_) => Err(Failure::SlowBody),
    }
}
