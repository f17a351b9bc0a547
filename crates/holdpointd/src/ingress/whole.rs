//! Requests whose answer is one whole body.

use std::time::Duration;

use bytes::Bytes;
use holdpoint_adapter::headers::{self, TargetHead};
use holdpoint_core::{directory::TargetInstance, ids::Millis, route::CallOutcome};
use holdpoint_platform::Instant;
use http::response::Parts;
use http_body_util::BodyExt;

use crate::ingress::{
    answer::{Answer, passed_on, streamed},
    attempts::{Attempts, SendEnd, StopCause, end_send},
    connections::Connection,
    context::Context,
    delivery::{Delivered, Delivery, Outbound, SendPlan, Undelivered},
    dispatch::Exchanged,
    received::ReceivedBody,
    send::{BodyRead, SHORT_BODY_BYTES, SendOutcome, read_body, send},
    unread::ChunkSender,
};

/// Fraction of the target time after which a repeatable request is sent to another target, if there is one.
const SEND_FRACTION: f64 = 0.5;
/// The same bound as a multiple of the service's 95th percentile of answer times; the longer one applies.
const SEND_P95_FACTOR: u64 = 3;
/// Shortest Retry-After of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// An answer that is too long to be buffered completely.
struct LongAnswer {
    target: TargetInstance,
    head: TargetHead,
    parts: Parts,
    /// Bytes of the body received so far.
    received: Bytes,
    rest: ReceivedBody,
    connection: Connection,
    started: Instant,
}

/// A complete answer, or the beginning of a long one.
enum WholeAnswer {
    Complete(Box<Parts>, Bytes),
    Long(Box<LongAnswer>),
}

/// How a request was answered.
enum Outcome {
    Answer(Answer),
    Long(Box<LongAnswer>),
}

/// How requests for whole answers are sent.
const PLAN: SendPlan<WholeAnswer> = SendPlan {
    send: |ctx, outbound| Box::pin(send_whole(ctx, outbound)),
    late_after: send_timeout,
};

/// Serves a request.
pub(crate) async fn serve(ctx: Context) -> Answer {
    let give_up = |why: StopCause| Outcome::Answer(ctx.final_answer(why.name(), MIN_RETRY_AFTER));
    let outcome = tokio::select! {
        it = answer(&ctx) => it,
        () = ctx.deadline_passed() => give_up(StopCause::Time),
        () = ctx.wait_quarantined() => give_up(StopCause::Quarantined),
        () = ctx.shared.wait_for_final_answers() => give_up(StopCause::Stopping),
    };
    match outcome {
        Outcome::Answer(it) => it,
        Outcome::Long(it) => {
            ctx.record_end(it.parts.status.as_u16(), "");
            let (sink, frames) = ctx.shared.unread.channel();
            let answer = streamed(&it.parts, frames);
            tokio::spawn(forward_rest(ctx, it, sink));
            answer
        }
    }
}

/// Forwards an answer that is too long to be buffered, as fast as its caller reads it.
async fn forward_rest(ctx: Context, long: Box<LongAnswer>, sink: ChunkSender) {
    let handling = ctx.begin_forwarding();
    let LongAnswer { target, head, parts, received, rest, connection, started } = *long;
    let forwarding = async {
        let forwarded = sink.send(received).await;
        forwarded.map_err(|it| ctx.record_undelivered(it))?;
        let mut rest = rest;
        while let Some(frame) = rest.frame().await {
            let Ok(frame) = frame else {
                ctx.connection_broken(&target, true);
                return Err("broken");
            };
            let forwarded = sink.send(frame.into_data().unwrap_or_default()).await;
            forwarded.map_err(|it| ctx.record_undelivered(it))?;
        }
        Ok(())
    };
    let forwarded = tokio::select! {
        it = forwarding => it,
        () = sink.closed() => Err("caller-gone"),
        () = ctx.deadline_passed() => Err(StopCause::Time.name()),
        () = ctx.shared.wait_for_break_off() => Err(StopCause::Stopping.name()),
    };
    let status = parts.status.as_u16();
    match forwarded {
        Ok(()) => {
            ctx.request_completed();
            if !head.is_closing {
                ctx.shared.connections.give_back(connection, head.idle_limit);
            }
            let ms = started.elapsed().as_millis() as Millis;
            end_send(&ctx, &target, CallOutcome::Completed(ms), "answered");
            ctx.record_end(status, "answered");
        }
        Err(cause) => {
            let end = if cause == "broken" { CallOutcome::Failed } else { CallOutcome::Cancelled };
            end_send(&ctx, &target, end, cause);
            ctx.record_cut(status, cause);
            sink.break_off().await;
        }
    }
    handling.end();
}

async fn answer(ctx: &Context) -> Outcome {
    let mut attempts = Attempts::default();
    let delivered = Delivery::new(ctx, &mut attempts, PLAN, None).run().await;
    let answer = match delivered {
        Ok(Delivered { target, answer, .. }) => {
            ctx.record_first_byte();
            match answer {
                WholeAnswer::Long(it) => return Outcome::Long(it),
                WholeAnswer::Complete(parts, body) => {
                    let ms = ctx.ms_since_send(&target.id);
                    ctx.request_completed();
                    ctx.pool.times.lock().record(ctx.shared.clock.now(), ms);
                    end_send(ctx, &target, CallOutcome::Completed(ms), "answered");
                    ctx.record_end(parts.status.as_u16(), "answered");
                    passed_on(&parts, body)
                }
            }
        }
        Err(Undelivered::Failed(parts, body)) => ctx.target_failure(&parts, body),
        Err(Undelivered::Stopped(cause)) => {
            ctx.final_answer(cause.name(), cause.retry_after(MIN_RETRY_AFTER))
        }
        Err(Undelivered::Overload(it)) => ctx.final_answer("overload", it.max(MIN_RETRY_AFTER)),
        Err(why) => ctx.final_answer(why.name(), MIN_RETRY_AFTER),
    };
    Outcome::Answer(answer)
}

async fn send_whole(ctx: &Context, outbound: Outbound<'_>) -> SendEnd<WholeAnswer> {
    let Outbound { target, permit, inputs, handoff, .. } = outbound;
    let added_headers = ctx.added_headers(&target, None, &inputs);
    let sent = send(ctx, &target, (permit, &handoff), &added_headers).await;
    let Exchanged { connection, answer } = match sent {
        SendOutcome::NotSent => return SendEnd::NotSent,
        SendOutcome::NoPath => return SendEnd::NoPath,
        SendOutcome::Blocked(it) => return SendEnd::Blocked(it),
        SendOutcome::Declined(it) if it.lacks_inputs() => return SendEnd::InputsGone(it),
        SendOutcome::Declined(it) => return SendEnd::Declined(it),
        SendOutcome::Broken => return SendEnd::Broken,
        SendOutcome::Answered(it) => *it,
    };
    let (head, response) = answer.into_parts();
    let started = Instant::now();
    let (parts, body) = response.into_parts();
    let is_replaced = headers::promises_not_run(parts.status);
    match read_body(&ctx.shared, body).await {
        BodyRead::Whole(body) => {
            keep_connection(ctx, &head, parts.status.is_success(), connection);
            match parts.status.is_server_error() || is_replaced {
                true => SendEnd::Failed(Box::new(parts), body),
                false => SendEnd::Answered(WholeAnswer::Complete(Box::new(parts), body)),
            }
        }
        // Nothing of it is forwarded.
        BodyRead::Long(..) if is_replaced => SendEnd::Failed(Box::new(parts), Bytes::new()),
        BodyRead::Long(received, rest) => {
            let long = LongAnswer { target, head, parts, received, rest, connection, started };
            SendEnd::Answered(WholeAnswer::Long(Box::new(long)))
        }
        BodyRead::Broken => {
            ctx.connection_broken(&target, false);
            SendEnd::Broken
        }
    }
}

/// Keeps the connection of a completely read answer, unless the request body may still be in transit.
fn keep_connection(ctx: &Context, head: &TargetHead, is_success: bool, connection: Connection) {
    let is_sent = is_success || ctx.request.body.len() <= SHORT_BODY_BYTES;
    if is_sent && !head.is_closing {
        ctx.shared.connections.give_back(connection, head.idle_limit);
    }
}

/// Time after which a send is late.
fn send_timeout(ctx: &Context) -> Duration {
    let usual = ctx.pool.times.lock().quantile(0.95).unwrap_or(0);
    let usual = Duration::from_millis(SEND_P95_FACTOR * usual);
    ctx.target_time().mul_f64(SEND_FRACTION).max(usual)
}
