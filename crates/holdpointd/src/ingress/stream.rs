//! Requests whose answer is a stream of events.
//!
//! Each whole event is passed on at once; part of one is held back. Where the route allows it, a
//! stream that breaks off goes on at another target inside the same answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use holdpoint_adapter::headers::TargetHead;
use holdpoint_core::{
    directory::TargetInstance,
    event_split::{EventSplitter, WholeEvent},
    ids::Millis,
    ingress::Shape,
    route::End,
    stage_graph::NoResult,
};
use holdpoint_platform::Instant;
use http::{StatusCode, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    events::{self, emit},
    ingress::{
        answer::{Answer, passed_on, streamed},
        attempts::{Attempts, GiveUpCause, end_send, likely_domain},
        connections::Connection,
        context::Context,
        gate::Barred,
        held::Results,
        limits::Permit,
        send::{BACKED_OFF, Sent, asks_backoff, send},
        stages::{self, FETCHED},
        unread::{Keeper, NotPassed},
    },
};

/// Why a stream goes on elsewhere whose target's connection broke off.
const BROKEN: &str = "broken";
/// Part of the target time without a first event after which another target is tried.
const FIRST_PATIENCE: f64 = 0.5;
/// The same as a multiple of the time that 95 in 100 first events take.
const FIRST_PATIENCE_OF_USUAL: u64 = 2;
/// A stream goes on elsewhere after so many times the longest timely pause. Engines pause while
/// they read the prompts of others, so a shorter silence says nothing.
const GAP_PATIENCE: f64 = 2.0;
/// Shortest pause after which a stream goes on elsewhere.
const LEAST_GAP: Duration = Duration::from_millis(800);
/// When a refused request may come back.
const COME_BACK: Duration = Duration::from_millis(500);
/// How often inputs that are gone are made anew for the model server.
const INPUT_REMAKES: u32 = 2;

/// A stream that has begun.
struct Open {
    target: TargetInstance,
    head: TargetHead,
    parts: Parts,
    body: Incoming,
    connection: Connection,
    splitter: EventSplitter,
    first: Vec<WholeEvent>,
    /// Whether the body has already ended.
    is_ended: bool,
    /// Time from the send to the first event, in milliseconds.
    first_ms: Millis,
}

/// How one send of a stream ended before its first event.
enum Ended {
    Open(Box<Open>),
    /// The target failed it by an answer of its own.
    Failed(Box<Parts>, Bytes),
    NotSent,
    /// No byte was sent, since none may be.
    Barred(Barred),
    Declined,
    /// The same, and the target has asked this instance to back off.
    BackedOff,
    InputsGone,
    Broken,
    Silent,
}

/// Why a stream did not begin.
enum NotOpen {
    Failed(Box<Parts>, Bytes),
    GiveUpCause(GiveUpCause),
    /// The results of its stages are missing.
    NoResults(&'static str),
    /// The stages have too much to do; they would take so long.
    Overload(Duration),
    /// Nobody waits for it any more.
    CallerGone,
}

/// Serves a request.
pub(crate) async fn serve(ctx: Context) -> Answer {
    let mut attempts = Attempts::default();
    let opened = tokio::select! {
        it = open(&ctx, &mut attempts, None) => it,
        () = ctx.time_over() => Err(NotOpen::GiveUpCause(GiveUpCause::Time)),
        () = ctx.is_held() => Err(NotOpen::GiveUpCause(GiveUpCause::Quarantined)),
        () = ctx.shared.stop_nears() => Err(NotOpen::GiveUpCause(GiveUpCause::Stopping)),
    };
    match opened {
        Ok(it) => {
            ctx.note_first();
            // Until its end the stream counts as left by its caller.
            ctx.note_end(it.parts.status.as_u16(), "");
            let (keeper, frames) = ctx.shared.unread.channel();
            let answer = streamed(&it.parts, frames);
            tokio::spawn(pump(ctx, attempts, it, keeper));
            answer
        }
        Err(NotOpen::Failed(parts, body)) => {
            ctx.note_end(parts.status.as_u16(), "target-failed");
            passed_on(&parts, body)
        }
        Err(NotOpen::GiveUpCause(cause)) => {
            ctx.give_up(cause.name(), cause.return_after(COME_BACK))
        }
        Err(NotOpen::NoResults(cause)) => ctx.give_up(cause, COME_BACK),
        Err(NotOpen::Overload(it)) => ctx.give_up("overload", it.max(COME_BACK)),
        Err(NotOpen::CallerGone) => ctx.give_up("caller-gone", COME_BACK),
    }
}

/// Makes the stages' results and sends the request until a stream begins.
async fn open(
    ctx: &Context,
    attempts: &mut Attempts,
    last_event: Option<&str>,
) -> Result<Box<Open>, NotOpen> {
    let mut results = stage_results(ctx).await?;
    let mut remakes = 0;
    let mut last_failure = None;
    let cause = loop {
        let (target, permit) = match attempts.next(ctx, &results.places).await {
            Ok(it) => it,
            Err(it) => break it,
        };
        let ended = if results.are_within(&ctx.within()) {
            attempt(ctx, attempts, (&target, permit), last_event, &mut results).await
        } else {
            end_send(ctx, &target, End::Dropped, "bounds-changed");
            Ended::InputsGone
        };
        match ended {
            Ended::Open(it) => return Ok(it),
            Ended::Failed(parts, body) => {
                last_failure = Some((parts, body));
                if !ctx.is_repeatable() {
                    break GiveUpCause::Attempts;
                }
            }
            Ended::NotSent | Ended::Barred(_) => attempts.never_sent(ctx),
            Ended::InputsGone if remakes < INPUT_REMAKES => {
                remakes += 1;
                attempts.take_back();
                results = stage_results(ctx).await?;
            }
            Ended::Declined | Ended::BackedOff | Ended::InputsGone => (),
            Ended::Broken | Ended::Silent if ctx.is_repeatable() => (),
            Ended::Broken | Ended::Silent => break GiveUpCause::Attempts,
        }
    };
    match last_failure {
        Some((parts, body)) => Err(NotOpen::Failed(parts, body)),
        None => Err(NotOpen::GiveUpCause(cause)),
    }
}

async fn stage_results(ctx: &Context) -> Result<Results, NotOpen> {
    let domain = likely_domain(ctx).map_err(NotOpen::GiveUpCause)?;
    stages::make_all(ctx, &domain).await.map_err(|it| match it {
        NoResult::Overload(ms) => NotOpen::Overload(Duration::from_millis(ms)),
        NoResult::Late => NotOpen::NoResults("stages-late"),
        _ => NotOpen::NoResults("stages"),
    })
}

async fn attempt(
    ctx: &Context,
    attempts: &Attempts,
    (target, permit): (&TargetInstance, Permit),
    last_event: Option<&str>,
    results: &mut Results,
) -> Ended {
    let Some(begun) = ctx.ledger.begin() else { return Ended::Broken };
    let limit = first_patience(ctx, attempts);
    let sent =
        tokio::time::timeout(limit, send_inputs(ctx, (target, permit), last_event, results)).await;
    let ended = sent.unwrap_or(Ended::Silent);
    match &ended {
        Ended::Open(it) => ctx.first_event_took(it.first_ms),
        Ended::Failed(parts, _) if asks_backoff(parts) => {
            end_send(ctx, target, End::Dropped, BACKED_OFF);
        }
        Ended::Failed(..) => end_send(ctx, target, End::Failed, "target-failed"),
        Ended::NotSent => {
            begun.never_sent();
            end_send(ctx, target, End::Failed, "not-sent");
        }
        Ended::Barred(it) => {
            begun.never_sent();
            end_send(ctx, target, End::Dropped, it.name());
        }
        Ended::Declined => {
            begun.declined();
            end_send(ctx, target, End::Failed, "declined");
        }
        Ended::BackedOff => {
            begun.declined();
            end_send(ctx, target, End::Dropped, BACKED_OFF);
        }
        Ended::InputsGone => {
            begun.declined();
            end_send(ctx, target, End::Dropped, "inputs-gone");
        }
        Ended::Broken => end_send(ctx, target, End::Failed, "broken"),
        Ended::Silent => end_send(ctx, target, End::Failed, "silent"),
    }
    ended
}

/// Sends the request, and gives its inputs up once the target has fetched them, which it does before
/// it reads the prompt. Their makers have room again while the prompt is read.
async fn send_inputs(
    ctx: &Context,
    (target, permit): (&TargetInstance, Permit),
    last_event: Option<&str>,
    results: &mut Results,
) -> Ended {
    let inputs = results.inputs.clone();
    let sending = send_stream(ctx, (target, permit), last_event, &inputs);
    tokio::pin!(sending);
    if inputs.is_empty() || ctx.pool.has_queue(&target.id) {
        return sending.await;
    }
    tokio::select! {
        it = &mut sending => it,
        () = tokio::time::sleep(FETCHED) => {
            results.release();
            sending.await
        }
    }
}

/// Sends the request and waits for the first whole event.
async fn send_stream(
    ctx: &Context,
    (target, permit): (&TargetInstance, Permit),
    last_event: Option<&str>,
    inputs: &[String],
) -> Ended {
    let started = Instant::now();
    let added = ctx.added(target, last_event, inputs);
    let sent = send(ctx, target, permit, &added).await;
    let (head, response, connection) = match sent {
        Sent::Nothing => return Ended::NotSent,
        Sent::Barred(it) => return Ended::Barred(it),
        Sent::Broken => return Ended::Broken,
        Sent::Declined { asks_backoff: true, .. } => return Ended::BackedOff,
        Sent::Declined { status: StatusCode::CONFLICT, .. } => return Ended::InputsGone,
        Sent::Declined { .. } => return Ended::Declined,
        Sent::Answered { head, response, connection } => (head, response, connection),
    };
    let (parts, mut body) = response.into_parts();
    if !parts.status.is_success() {
        return match body.collect().await {
            Ok(it) => Ended::Failed(Box::new(parts), it.to_bytes()),
            Err(_) => Ended::Broken,
        };
    }
    let mut splitter = EventSplitter::default();
    loop {
        let (first, is_ended) = match next_events(&mut body, &mut splitter).await {
            Next::Events(it) if it.is_empty() => continue,
            Next::Events(it) => (it, false),
            Next::End => (Vec::new(), true),
            Next::Broken => {
                ctx.broke_off(target);
                return Ended::Broken;
            }
        };
        return Ended::Open(Box::new(Open {
            target: target.clone(),
            head,
            parts,
            body,
            connection,
            splitter,
            first,
            is_ended,
            first_ms: started.elapsed().as_millis() as Millis,
        }));
    }
}

enum Next {
    Events(Vec<WholeEvent>),
    End,
    Broken,
}

async fn next_events(body: &mut Incoming, splitter: &mut EventSplitter) -> Next {
    match body.frame().await {
        Some(Ok(frame)) => {
            Next::Events(frame.into_data().map_or(Vec::new(), |it| splitter.push(&it)))
        }
        None if !splitter.is_partial() => Next::End,
        Some(Err(_)) | None => Next::Broken,
    }
}

/// Passes events on until the stream ends, breaks off for good or is left by its caller.
async fn pump(ctx: Context, mut attempts: Attempts, mut open_stream: Box<Open>, keeper: Keeper) {
    let mut last_id: Option<String> = ctx.head.last_event.clone();
    let status = open_stream.parts.status.as_u16();
    loop {
        let target = open_stream.target.clone();
        let first_ms = open_stream.first_ms;
        let passed = tokio::select! {
            it = pass(&ctx, &attempts, open_stream, &mut last_id, &keeper) => it,
            () = keeper.closed() => Passed::NotPassed(NotPassed::Gone),
            () = ctx.time_over() => Passed::TimeOver,
        };
        match passed {
            Passed::Whole => {
                ctx.has_passed();
                end_send(&ctx, &target, End::Whole(first_ms), "answered");
                ctx.note_end(status, "answered");
                return;
            }
            Passed::NotPassed(why) => {
                let cause = ctx.note_not_passed(why);
                end_send(&ctx, &target, End::Dropped, cause);
                return break_off(&ctx, status, cause, &keeper);
            }
            Passed::TimeOver => {
                end_send(&ctx, &target, End::Dropped, "time-over");
                return break_off(&ctx, status, "time-over", &keeper);
            }
            Passed::Broken(cause) => {
                if cause == BROKEN {
                    ctx.broke_off(&target);
                }
                end_send(&ctx, &target, End::Failed, cause);
                if !ctx.is_repeatable() {
                    return break_off(&ctx, status, cause, &keeper);
                }
                let reopened = tokio::select! {
                    it = open(&ctx, &mut attempts, last_id.as_deref()) => it,
                    () = keeper.closed() => Err(NotOpen::CallerGone),
                    () = ctx.time_over() => Err(NotOpen::GiveUpCause(GiveUpCause::Time)),
                };
                let event = last_id.as_deref().unwrap_or("none");
                let detail = format!(
                    "id={} from={} cause={cause} last_event={event} resumed={}",
                    ctx.request.id,
                    target.id,
                    reopened.is_ok()
                );
                emit(events::STREAM_MOVED, &ctx.shared.settings.instance, &detail);
                match reopened {
                    Ok(it) => open_stream = it,
                    Err(_) => return break_off(&ctx, status, cause, &keeper),
                }
            }
        }
    }
}

fn break_off(ctx: &Context, status: u16, cause: &'static str, keeper: &Keeper) {
    ctx.note_end(status, cause);
    keeper.break_off();
}

/// How the passing on of one target's stream ended.
enum Passed {
    Whole,
    Broken(&'static str),
    NotPassed(NotPassed),
    TimeOver,
}

async fn pass(
    ctx: &Context,
    attempts: &Attempts,
    open: Box<Open>,
    last_id: &mut Option<String>,
    keeper: &Keeper,
) -> Passed {
    let Open { head, mut body, connection, mut splitter, first, is_ended, .. } = *open;
    if let Err(it) = pass_events(first, last_id, keeper).await {
        return Passed::NotPassed(it);
    }
    let gap = gap_patience(ctx, attempts);
    if is_ended {
        return keep(ctx, connection, &head);
    }
    let mut last = Instant::now();
    loop {
        let next = tokio::time::timeout(gap, next_events(&mut body, &mut splitter)).await;
        match next {
            Ok(Next::Events(events)) => {
                let now = Instant::now();
                ctx.note_gap(now - last);
                last = now;
                if let Err(it) = pass_events(events, last_id, keeper).await {
                    return Passed::NotPassed(it);
                }
            }
            Ok(Next::End) => return keep(ctx, connection, &head),
            Ok(Next::Broken) => return Passed::Broken(BROKEN),
            Err(_) => return Passed::Broken("silent"),
        }
    }
}

/// Ends a stream that came whole; its connection is kept.
fn keep(ctx: &Context, connection: Connection, head: &TargetHead) -> Passed {
    if !head.closes {
        ctx.shared.connections.give_back(connection, head.idle_limit);
    }
    Passed::Whole
}

/// Passes events on in one piece.
async fn pass_events(
    events: Vec<WholeEvent>,
    last_id: &mut Option<String>,
    keeper: &Keeper,
) -> Result<(), NotPassed> {
    if let Some(it) = events.iter().rev().find_map(|it| it.id.clone()) {
        *last_id = Some(it);
    }
    let bytes = match &events[..] {
        [] => return Ok(()),
        [one] => one.bytes.clone(),
        many => {
            let mut joined = BytesMut::new();
            many.iter().for_each(|it| joined.extend_from_slice(&it.bytes));
            joined.freeze()
        }
    };
    keeper.send(bytes).await
}

/// How long a first event is waited for: to the end where no other send may follow.
fn first_patience(ctx: &Context, attempts: &Attempts) -> Duration {
    let left = ctx.left();
    if !ctx.is_repeatable() || !attempts.may_repeat(ctx) {
        return left;
    }
    let usual = ctx.first_event_ms(95).unwrap_or(0);
    let usual = Duration::from_millis(FIRST_PATIENCE_OF_USUAL * usual);
    ctx.target_time().mul_f64(FIRST_PATIENCE).max(usual).min(left)
}

/// How long the next event is waited for.
fn gap_patience(ctx: &Context, attempts: &Attempts) -> Duration {
    match ctx.route.shape {
        Shape::Events { gap_ms, .. } if ctx.is_repeatable() && attempts.may_repeat(ctx) => {
            Duration::from_millis(gap_ms).mul_f64(GAP_PATIENCE).max(LEAST_GAP)
        }
        _ => ctx.left(),
    }
}
