//! Requests whose answer is a stream of events.
//!
//! Complete events are forwarded at once; partial ones are buffered. Where the route allows it, a stream that
//! breaks off is resumed at another target within the same answer.

use std::time::Duration;

use bytes::BytesMut;
use holdpoint_adapter::headers::TargetHead;
use holdpoint_core::{
    directory::TargetInstance,
    event_split::{EventId, EventSplitter, IdRule, SpoiledEvent, WholeEvent},
    ids::Millis,
    ingress::ResponseKind,
    route::CallOutcome,
    stream_versions::Continuation,
};
use holdpoint_platform::Instant;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        answer::{Answer, streamed},
        attempts::{Attempts, SendEnd, StopCause, end_send},
        connections::Connection,
        context::Context,
        delivery::{Delivered, Delivery, Outbound, SILENT_CAUSE, SendPlan, Undelivered},
        dispatch::Exchanged,
        paths,
        received::ReceivedBody,
        send::{SendOutcome, send},
        stream_origins::{UnknownOrigin, name_of_event},
        unread::{ChunkSender, DeliveryError, MAX_RESPONSE_BYTES},
    },
    metrics::label,
};

/// Logged cause of a stream whose connection to the target broke off.
const BROKEN_CAUSE: &str = "broken";
/// Fraction of the target time that bounds the wait for a first event before another target is tried.
const FIRST_EVENT_FRACTION: f64 = 0.5;
/// The same bound as a multiple of the route's 95th percentile of first-event times; the longer one applies.
const FIRST_EVENT_P95_FACTOR: u64 = 2;
/// Multiple of the route's longest timely pause after which a stream is resumed at another target. Engines
/// pause while they read other prompts, so a shorter silence is no sign of a failure.
const GAP_FACTOR: f64 = 2.0;
/// Shortest pause after which a stream is resumed at another target.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after its first event from which on a stream shows that no part of its prompt crashes the target.
const ANSWER_SETTLE_TIME: Duration = Duration::from_millis(300);
/// Shortest Retry-After of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A stream that has begun.
struct OpenStream {
    target: TargetInstance,
    head: TargetHead,
    parts: Parts,
    body: ReceivedBody,
    connection: Connection,
    splitter: EventSplitter,
    /// Events that are to be forwarded.
    ready: Vec<WholeEvent>,
    /// Whether the body has ended.
    is_ended: bool,
    /// Whether the target has answered for some time.
    has_answered: bool,
    /// When its first event arrived.
    begun: Instant,
    /// When its last events arrived.
    heard: Instant,
    /// Time from the send to the first event, in milliseconds.
    first_ms: Millis,
}

/// How streams are sent.
const PLAN: SendPlan<Box<OpenStream>> = SendPlan {
    send: |ctx, outbound| Box::pin(send_stream(ctx, outbound)),
    late_after: first_event_timeout,
};

/// Serves a request.
pub(crate) async fn serve(ctx: Context) -> Answer {
    let mut attempts = Attempts::default();
    let begin = async {
        let continuation = ctx
            .find_continuation()
            .await
            .map_err(|UnknownOrigin| Undelivered::Stopped(StopCause::UnknownVersion))?;
        open(&ctx, &mut attempts, continuation.as_ref()).await
    };
    let opened = tokio::select! {
        it = begin => it,
        () = ctx.deadline_passed() => Err(Undelivered::Stopped(StopCause::Time)),
        () = ctx.wait_quarantined() => Err(Undelivered::Stopped(StopCause::Quarantined)),
        () = ctx.shared.wait_for_final_answers() => Err(Undelivered::Stopped(StopCause::Stopping)),
    };
    match opened {
        Ok(it) => {
            ctx.record_first_byte();
            // Without a later record, the stream counts as abandoned by its caller.
            ctx.record_end(it.parts.status.as_u16(), "");
            let (sink, frames) = ctx.shared.unread.channel();
            let answer = streamed(&it.parts, frames);
            let handling = ctx.begin_forwarding();
            tokio::spawn(async move {
                forward_stream(ctx, attempts, it, sink).await;
                handling.end();
            });
            answer
        }
        Err(Undelivered::Failed(parts, body)) => ctx.target_failure(&parts, body),
        Err(Undelivered::Stopped(cause)) => {
            ctx.final_answer(cause.name(), cause.retry_after(MIN_RETRY_AFTER))
        }
        Err(Undelivered::NoResults(cause)) => ctx.final_answer(cause, MIN_RETRY_AFTER),
        Err(Undelivered::Overload(it)) => ctx.final_answer("overload", it.max(MIN_RETRY_AFTER)),
        Err(Undelivered::CallerGone) => ctx.final_answer("caller-gone", MIN_RETRY_AFTER),
    }
}

/// Runs the stages and sends the request until a stream begins.
async fn open(
    ctx: &Context,
    attempts: &mut Attempts,
    continuation: Option<&Continuation>,
) -> Result<Box<OpenStream>, Undelivered> {
    let has_target = |it: &Continuation| ctx.shared.has_open_version(&ctx.service, &it.version);
    if !continuation.is_none_or(has_target) {
        return Err(Undelivered::Stopped(StopCause::VersionGone));
    }
    if continuation.is_some_and(|it| it.last_event.is_some()) {
        ctx.record_work_done();
    }
    let delivered = Delivery::new(ctx, attempts, PLAN, continuation).run().await?;
    let stream = delivered.answer;
    ctx.record_first_event(stream.first_ms);
    if continuation.is_none() {
        if !ctx.confirm_origin(&stream.target).await {
            // Nothing of the stream was forwarded, so that the caller begins anew.
            end_send(ctx, &stream.target, CallOutcome::Cancelled, "origin-unconfirmed");
            return Err(Undelivered::Stopped(StopCause::UnknownVersion));
        }
        ctx.record_stream_start();
    }
    Ok(stream)
}

/// Sends the request and waits for the first complete event.
async fn send_stream(ctx: &Context, outbound: Outbound<'_>) -> SendEnd<Box<OpenStream>> {
    let started = Instant::now();
    let Outbound { target, permit, continuation, inputs, handoff } = outbound;
    let added_headers = ctx.added_headers(&target, continuation, &inputs);
    let sent = send(ctx, &target, (permit, &handoff), &added_headers).await;
    let Exchanged { connection, answer } = match sent {
        SendOutcome::NotSent => return SendEnd::NotSent,
        SendOutcome::NoPath => return SendEnd::NoPath,
        SendOutcome::Blocked(it) => return SendEnd::Blocked(it),
        SendOutcome::Broken => return SendEnd::Broken,
        SendOutcome::Declined(it) if it.lacks_inputs() => return SendEnd::InputsGone(it),
        SendOutcome::Declined(it) => return SendEnd::Declined(it),
        SendOutcome::Answered(it) => *it,
    };
    let (head, response) = answer.into_parts();
    let (parts, body) = response.into_parts();
    if !parts.status.is_success() {
        return match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
            Ok(it) => SendEnd::Failed(Box::new(parts), it.to_bytes()),
            Err(_) => SendEnd::Broken,
        };
    }
    let mut stream = Box::new(OpenStream {
        target,
        head,
        parts,
        body,
        connection,
        splitter: EventSplitter::new(id_rule(ctx), continuation.and_then(|it| it.last_event)),
        ready: Vec::new(),
        is_ended: false,
        has_answered: false,
        begun: started,
        heard: started,
        first_ms: 0,
    });
    let end = await_events(ctx, &mut stream).await;
    stream.begun = Instant::now();
    stream.heard = stream.begun;
    stream.first_ms = (stream.begun - started).as_millis() as Millis;
    end.map_or(SendEnd::Broken, |()| SendEnd::Answered(stream))
}

/// Waits for the next complete events of a stream, or for its end.
///
/// # Errors
///
/// If the stream breaks off.
async fn await_events(ctx: &Context, stream: &mut OpenStream) -> Result<(), Interrupted> {
    loop {
        match next_events(&mut stream.body, &mut stream.splitter).await {
            Next::Events(it) if it.is_empty() => (),
            Next::Events(it) => {
                stream.ready = it;
                return Ok(());
            }
            Next::End => {
                stream.is_ended = true;
                return Ok(());
            }
            Next::Broken => {
                ctx.connection_broken(&stream.target, stream.has_answered);
                return Err(Interrupted::Broken);
            }
            Next::Spoiled(why) => {
                record_spoiled(ctx, stream, why);
                return Err(Interrupted::Spoiled);
            }
        }
    }
}

/// Waits until a stream goes on that has fallen silent.
async fn await_silent(ctx: &Context, mut stream: Box<OpenStream>) -> SendEnd<Box<OpenStream>> {
    match await_events(ctx, &mut stream).await {
        Ok(()) => SendEnd::Answered(stream),
        Err(it) => {
            check_path(ctx, &stream, it).await;
            SendEnd::Broken
        }
    }
}

/// Why a stream does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interrupted {
    /// Its connection broke off.
    Broken,
    /// Its target has sent an event that cannot be used.
    Spoiled,
}

/// Checks the path to a target whose stream broke off.
async fn check_path(ctx: &Context, stream: &OpenStream, why: Interrupted) {
    if why == Interrupted::Broken && !stream.connection.is_relayed() {
        paths::check_interrupted(&ctx.shared, &stream.target).await;
    }
}

/// Which events of the answer need an id. Where one was forwarded without, its stream could not be resumed after it.
fn id_rule(ctx: &Context) -> IdRule {
    if ctx.is_repeatable() { IdRule::Required } else { IdRule::Optional }
}

fn record_spoiled(ctx: &Context, stream: &OpenStream, why: SpoiledEvent) {
    let detail = format!(
        "id={} target={} cause={} last_event={}",
        LoggedName(&ctx.request.id),
        stream.target.id,
        why.name(),
        name_of_event(stream.splitter.last()),
    );
    emit(events::STREAM_SPOILED, &ctx.shared.settings.instance, &detail);
    let labels = [label("service", ctx.service.as_str()), label("cause", why.name())];
    ctx.shared.metrics.spoiled_streams.add(1, &labels);
}

enum Next {
    Events(Vec<WholeEvent>),
    End,
    Broken,
    Spoiled(SpoiledEvent),
}

async fn next_events(body: &mut ReceivedBody, splitter: &mut EventSplitter) -> Next {
    if let Some(it) = splitter.spoiled() {
        return Next::Spoiled(it);
    }
    match body.frame().await {
        Some(Ok(frame)) => {
            let events = frame.into_data().map_or(Vec::new(), |it| splitter.push(&it));
            // Also guards the memory against a target that never ends an event.
            if MAX_RESPONSE_BYTES < splitter.buffered() {
                Next::Broken
            } else {
                Next::Events(events)
            }
        }
        None if !splitter.is_partial() => Next::End,
        Some(Err(_)) | None => Next::Broken,
    }
}

/// Forwards events until the stream ends, fails for good or is abandoned by its caller.
async fn forward_stream(
    ctx: Context,
    mut attempts: Attempts,
    mut open_stream: Box<OpenStream>,
    sink: ChunkSender,
) {
    let mut last_id: Option<EventId> = ctx.head.last_event.value().copied();
    let status = open_stream.parts.status.as_u16();
    loop {
        let target = open_stream.target.clone();
        let first_ms = open_stream.first_ms;
        let forwarded = tokio::select! {
            it = forward(&ctx, open_stream, &mut last_id, &sink) => it,
            () = sink.closed() => Forwarded::Undelivered(DeliveryError::Disconnected),
            () = ctx.deadline_passed() => Forwarded::Stopped(StopCause::Time),
            () = ctx.shared.wait_for_break_off() => Forwarded::Stopped(StopCause::Stopping),
        };
        let silent = match forwarded {
            Forwarded::Whole => {
                ctx.request_completed();
                end_send(&ctx, &target, CallOutcome::Completed(first_ms), "answered");
                ctx.record_end(status, "answered");
                return;
            }
            Forwarded::Undelivered(why) => {
                let cause = ctx.record_undelivered(why);
                end_send(&ctx, &target, CallOutcome::Cancelled, cause);
                return break_off(&ctx, status, cause, &sink).await;
            }
            Forwarded::Stopped(why) => {
                end_send(&ctx, &target, CallOutcome::Cancelled, why.name());
                return break_off(&ctx, status, why.name(), &sink).await;
            }
            Forwarded::Broken => {
                end_send(&ctx, &target, CallOutcome::Failed, BROKEN_CAUSE);
                if !ctx.is_repeatable() {
                    return break_off(&ctx, status, BROKEN_CAUSE, &sink).await;
                }
                if let Some(it) = attempts.handoff_of(&target) {
                    attempts.failed(&it);
                }
                None
            }
            Forwarded::Silent(it) => Some(it),
        };
        let reopened = tokio::select! {
            it = go_on(&ctx, &mut attempts, (&target, silent), last_id) => it,
            () = sink.closed() => Err(Undelivered::CallerGone),
            () = ctx.deadline_passed() => Err(Undelivered::Stopped(StopCause::Time)),
            () = ctx.shared.wait_for_break_off() => Err(Undelivered::Stopped(StopCause::Stopping)),
        };
        match reopened {
            Ok(it) => open_stream = it,
            Err(why) => {
                let cause = match why {
                    Undelivered::CallerGone
                    | Undelivered::Stopped(StopCause::Time | StopCause::Stopping) => why.name(),
                    _ if attempts.has_failed(&target) => BROKEN_CAUSE,
                    _ => SILENT_CAUSE,
                };
                return break_off(&ctx, status, cause, &sink).await;
            }
        }
    }
}

/// Waits until a silent stream goes on, or another target continues it or one that broke off.
async fn go_on(
    ctx: &Context,
    attempts: &mut Attempts,
    (target, silent): (&TargetInstance, Option<Box<OpenStream>>),
    last_event: Option<EventId>,
) -> Result<Box<OpenStream>, Undelivered> {
    let continuation = Continuation { version: target.version.clone(), last_event };
    let (silent_ms, begun) = (ctx.silent_ms(), Instant::now());
    let mut delivery = Delivery::new(ctx, attempts, PLAN, Some(&continuation));
    if let Some(it) = silent {
        delivery = delivery.with_late(target, Box::pin(await_silent(ctx, it)));
    }
    let delivered = delivery.run().await;
    let delivered = match delivered {
        Ok(Delivered { is_same: true, mut answer, .. }) => {
            record_events(ctx, &mut answer);
            return Ok(answer);
        }
        it => it,
    };
    let cause = if attempts.has_failed(target) { BROKEN_CAUSE } else { SILENT_CAUSE };
    let detail = format!(
        "id={} from={} from_version={} cause={cause} last_event={} to_version={} resumed={} \
         failure={} silent_ms={silent_ms} took_ms={} heard_ms={}",
        LoggedName(&ctx.request.id),
        target.id,
        target.version,
        name_of_event(last_event),
        delivered.as_ref().map_or("none", |it| it.target.version.as_str()),
        delivered.is_ok(),
        delivered.as_ref().err().map_or("none", Undelivered::name),
        begun.elapsed().as_millis(),
        paths::heard_ms(&ctx.shared, &target.id),
    );
    emit(events::STREAM_INTERRUPTED, &ctx.shared.settings.instance, &detail);
    let stream = delivered?.answer;
    ctx.record_first_event(stream.first_ms);
    ctx.record_gap(Duration::from_millis(ctx.silent_ms()));
    Ok(stream)
}

async fn break_off(ctx: &Context, status: u16, cause: &'static str, sink: &ChunkSender) {
    ctx.record_cut(status, cause);
    sink.break_off().await;
}

/// How the forwarding of one target's stream ended.
enum Forwarded {
    Whole,
    Broken,
    /// The target is silent for longer than streams usually are.
    Silent(Box<OpenStream>),
    Undelivered(DeliveryError),
    /// The deadline has passed, or the instance stops.
    Stopped(StopCause),
}

async fn forward(
    ctx: &Context,
    mut stream: Box<OpenStream>,
    last_id: &mut Option<EventId>,
    sink: &ChunkSender,
) -> Forwarded {
    let gap = gap_timeout(ctx);
    loop {
        if let Err(it) = forward_events(std::mem::take(&mut stream.ready), last_id, sink).await {
            return Forwarded::Undelivered(it);
        }
        if stream.is_ended {
            return keep_connection(ctx, *stream);
        }
        match timeout(gap, await_events(ctx, &mut stream)).await {
            Ok(Ok(())) => record_events(ctx, &mut stream),
            Ok(Err(it)) => {
                check_path(ctx, &stream, it).await;
                return Forwarded::Broken;
            }
            Err(_) => return Forwarded::Silent(stream),
        }
    }
}

/// Records that a stream goes on.
fn record_events(ctx: &Context, stream: &mut OpenStream) {
    if !stream.connection.is_relayed() {
        paths::record_heard(&ctx.shared, &stream.target);
    }
    let now = Instant::now();
    ctx.record_gap(now - stream.heard);
    stream.heard = now;
    if !stream.has_answered && ANSWER_SETTLE_TIME <= now - stream.begun {
        stream.has_answered = true;
        ctx.prompt_answered();
    }
}

/// Ends a complete stream, and keeps its connection unless the target closes it.
fn keep_connection(ctx: &Context, stream: OpenStream) -> Forwarded {
    let OpenStream { connection, head, .. } = stream;
    if !head.is_closing {
        ctx.shared.connections.give_back(connection, head.idle_limit);
    }
    Forwarded::Whole
}

/// Forwards events as one chunk, and records the id of the last one.
async fn forward_events(
    events: Vec<WholeEvent>,
    last_id: &mut Option<EventId>,
    sink: &ChunkSender,
) -> Result<(), DeliveryError> {
    *last_id = events.iter().rev().find_map(|it| it.id).or(*last_id);
    let bytes = match &events[..] {
        [] => return Ok(()),
        [one] => one.bytes.clone(),
        many => {
            let mut joined = BytesMut::new();
            many.iter().for_each(|it| joined.extend_from_slice(&it.bytes));
            joined.freeze()
        }
    };
    sink.send(bytes).await
}

/// Time after which a send without an event is late.
fn first_event_timeout(ctx: &Context) -> Duration {
    let usual = ctx.first_event_ms(95).unwrap_or(0);
    let usual = Duration::from_millis(FIRST_EVENT_P95_FACTOR * usual);
    ctx.target_time().mul_f64(FIRST_EVENT_FRACTION).max(usual)
}

/// Silence after which a stream may be resumed at another target.
fn gap_timeout(ctx: &Context) -> Duration {
    match ctx.route.response {
        ResponseKind::Events { gap_ms, .. } if ctx.is_repeatable() => {
            Duration::from_millis(gap_ms).mul_f64(GAP_FACTOR).max(MIN_GAP_TIMEOUT)
        }
        _ => ctx.left(),
    }
}
