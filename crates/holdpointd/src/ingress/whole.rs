//! Requests whose answer is one whole body.

use std::time::Duration;

use bytes::Bytes;
use holdpoint_adapter::headers::TargetHead;
use holdpoint_core::{directory::TargetInstance, ids::Millis, route::End, stage_graph::NoResult};
use holdpoint_platform::Instant;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::ingress::{
    answer::{Answer, passed_on, streamed},
    attempts::{Attempts, GiveUpCause, end_send, likely_domain},
    connections::Connection,
    context::Context,
    gate::Barred,
    limits::Permit,
    send::{BACKED_OFF, BodyRead, SHORT_BODY, Sent, asks_backoff, read_body, send},
    stages,
    unread::Keeper,
};

/// Part of the target time after which a repeatable request goes to another target.
const PATIENCE: f64 = 0.5;
/// The same as a multiple of the time that 95 in 100 answers take.
const PATIENCE_OF_USUAL: u64 = 3;
/// When a refused request may come back.
const COME_BACK: Duration = Duration::from_millis(50);

/// An answer that is too long to be held until it is whole.
struct Long {
    target: TargetInstance,
    head: TargetHead,
    parts: Parts,
    /// What has come of it.
    begun: Bytes,
    rest: Incoming,
    connection: Connection,
    started: Instant,
}

/// How a request was answered.
enum Outcome {
    Answer(Answer),
    Long(Box<Long>),
}

/// How one send of a request ended.
enum Ended {
    Answered(Box<Parts>, Bytes),
    Long(Box<Long>),
    /// The target failed it by an answer of its own.
    Failed(Box<Parts>, Bytes),
    NotSent,
    /// No byte was sent, since none may be.
    Barred(Barred),
    Declined,
    /// The same, and the target has asked this instance to back off.
    BackedOff,
    Broken,
    Silent,
}

/// Serves a request.
pub(crate) async fn serve(ctx: Context) -> Answer {
    let give_up = |why: GiveUpCause| Outcome::Answer(ctx.give_up(why.name(), COME_BACK));
    let outcome = tokio::select! {
        it = answer(&ctx) => it,
        () = ctx.time_over() => give_up(GiveUpCause::Time),
        () = ctx.is_held() => give_up(GiveUpCause::Quarantined),
        () = ctx.shared.stop_nears() => give_up(GiveUpCause::Stopping),
    };
    match outcome {
        Outcome::Answer(it) => it,
        Outcome::Long(it) => {
            ctx.note_end(it.parts.status.as_u16(), "");
            let (keeper, frames) = ctx.shared.unread.channel();
            let answer = streamed(&it.parts, frames);
            tokio::spawn(pass_on(ctx, it, keeper));
            answer
        }
    }
}

/// Passes on an answer that is too long to be held, as fast as its caller reads it.
async fn pass_on(ctx: Context, long: Box<Long>, keeper: Keeper) {
    let Long { target, head, parts, begun, rest, connection, started } = *long;
    let passing = async {
        let passed = keeper.send(begun).await;
        passed.map_err(|it| ctx.note_not_passed(it))?;
        let mut rest = rest;
        while let Some(frame) = rest.frame().await {
            let Ok(frame) = frame else {
                ctx.broke_off(&target);
                return Err("broken");
            };
            let passed = keeper.send(frame.into_data().unwrap_or_default()).await;
            passed.map_err(|it| ctx.note_not_passed(it))?;
        }
        Ok(())
    };
    let passed = tokio::select! {
        it = passing => it,
        () = keeper.closed() => Err("caller-gone"),
        () = ctx.time_over() => Err(GiveUpCause::Time.name()),
    };
    let status = parts.status.as_u16();
    match passed {
        Ok(()) => {
            ctx.has_passed();
            if !head.closes {
                ctx.shared.connections.give_back(connection, head.idle_limit);
            }
            let ms = started.elapsed().as_millis() as Millis;
            end_send(&ctx, &target, End::Whole(ms), "answered");
            ctx.note_end(status, "answered");
        }
        Err(cause) => {
            let end = if cause == "broken" { End::Failed } else { End::Dropped };
            end_send(&ctx, &target, end, cause);
            ctx.note_end(status, cause);
            keeper.break_off();
        }
    }
}

async fn answer(ctx: &Context) -> Outcome {
    let inputs = if ctx.route.stages.is_empty() {
        Vec::new()
    } else {
        if let Err(it) = likely_domain(ctx) {
            return Outcome::Answer(ctx.give_up(it.name(), it.return_after(COME_BACK)));
        }
        match tokio::time::timeout(ctx.left(), stages::make_all(ctx, "")).await {
            Ok(Ok(it)) => it.inputs,
            Ok(Err(NoResult::Overload(ms))) => {
                let return_after = Duration::from_millis(ms).max(COME_BACK);
                return Outcome::Answer(ctx.give_up("overload", return_after));
            }
            _ => return Outcome::Answer(ctx.give_up("stages", COME_BACK)),
        }
    };
    let mut attempts = Attempts::default();
    let mut last_failure = None;
    let cause = loop {
        let (target, permit) = match attempts.next(ctx, &[]).await {
            Ok(it) => it,
            Err(it) => break it,
        };
        match attempt(ctx, &attempts, (&target, permit), &inputs).await {
            Ended::Answered(head, body) => {
                ctx.note_end(head.status.as_u16(), "answered");
                return Outcome::Answer(passed_on(&head, body));
            }
            Ended::Long(it) => return Outcome::Long(it),
            Ended::Failed(head, body) => {
                last_failure = Some((head, body));
                if !ctx.is_repeatable() {
                    break GiveUpCause::Attempts;
                }
            }
            Ended::NotSent | Ended::Barred(_) => attempts.never_sent(ctx),
            Ended::Declined | Ended::BackedOff => (),
            Ended::Broken | Ended::Silent if ctx.is_repeatable() => (),
            Ended::Broken | Ended::Silent => break GiveUpCause::Attempts,
        }
    };
    match last_failure {
        Some((head, body)) => {
            ctx.note_end(head.status.as_u16(), "target-failed");
            Outcome::Answer(passed_on(&head, body))
        }
        None => Outcome::Answer(ctx.give_up(cause.name(), cause.return_after(COME_BACK))),
    }
}

async fn attempt(
    ctx: &Context,
    attempts: &Attempts,
    (target, permit): (&TargetInstance, Permit),
    inputs: &[String],
) -> Ended {
    let Some(begun) = ctx.ledger.begin() else { return Ended::Broken };
    let started = Instant::now();
    let limit = patience(ctx, attempts);
    let sent = tokio::time::timeout(limit, send_whole(ctx, (target, permit), inputs)).await;
    let ms = started.elapsed().as_millis() as Millis;
    match sent {
        Err(_) => {
            end_send(ctx, target, End::Failed, "silent");
            Ended::Silent
        }
        Ok(Ended::NotSent) => {
            begun.never_sent();
            end_send(ctx, target, End::Failed, "not-sent");
            Ended::NotSent
        }
        Ok(Ended::Barred(it)) => {
            begun.never_sent();
            end_send(ctx, target, End::Dropped, it.name());
            Ended::Barred(it)
        }
        Ok(Ended::Declined) => {
            begun.declined();
            end_send(ctx, target, End::Failed, "declined");
            Ended::Declined
        }
        Ok(Ended::BackedOff) => {
            begun.declined();
            end_send(ctx, target, End::Dropped, BACKED_OFF);
            Ended::BackedOff
        }
        Ok(Ended::Answered(head, body)) => {
            ctx.note_first();
            ctx.has_passed();
            ctx.pool.times.lock().record(ctx.shared.clock.now(), ms);
            end_send(ctx, target, End::Whole(ms), "answered");
            Ended::Answered(head, body)
        }
        Ok(Ended::Long(it)) => {
            ctx.note_first();
            Ended::Long(it)
        }
        Ok(Ended::Failed(head, body)) => {
            // A failure of its own now and then says nothing about the target.
            let cause = if asks_backoff(&head) { BACKED_OFF } else { "target-failed" };
            end_send(ctx, target, End::Dropped, cause);
            Ended::Failed(head, body)
        }
        Ok(Ended::Broken | Ended::Silent) => {
            end_send(ctx, target, End::Failed, "broken");
            Ended::Broken
        }
    }
}

async fn send_whole(
    ctx: &Context,
    (target, permit): (&TargetInstance, Permit),
    inputs: &[String],
) -> Ended {
    let added = ctx.added(target, None, inputs);
    match send(ctx, target, permit, &added).await {
        Sent::Nothing => Ended::NotSent,
        Sent::Barred(it) => Ended::Barred(it),
        Sent::Declined { asks_backoff: true, .. } => Ended::BackedOff,
        Sent::Declined { .. } => Ended::Declined,
        Sent::Broken => Ended::Broken,
        Sent::Answered { head, response, connection } => {
            let started = Instant::now();
            let (parts, body) = response.into_parts();
            match read_body(&ctx.shared, body).await {
                BodyRead::Whole(body) => {
                    keep(ctx, &head, parts.status.is_success(), connection);
                    match parts.status.is_server_error() {
                        true => Ended::Failed(Box::new(parts), body),
                        false => Ended::Answered(Box::new(parts), body),
                    }
                }
                BodyRead::Long(begun, rest) => {
                    let target = target.clone();
                    let long = Long { target, head, parts, begun, rest, connection, started };
                    Ended::Long(Box::new(long))
                }
                BodyRead::Broken => {
                    ctx.broke_off(target);
                    Ended::Broken
                }
            }
        }
    }
}

/// Keeps the connection of an answer that was read to its end, unless the request may still be on its way.
fn keep(ctx: &Context, head: &TargetHead, is_success: bool, connection: Connection) {
    let is_sent = is_success || ctx.request.body.len() <= SHORT_BODY;
    if is_sent && !head.closes {
        ctx.shared.connections.give_back(connection, head.idle_limit);
    }
}

/// How long one send is waited for: to the end where no other may follow.
fn patience(ctx: &Context, attempts: &Attempts) -> Duration {
    let left = ctx.left();
    if !ctx.is_repeatable() || !attempts.may_repeat(ctx) {
        return left;
    }
    let usual = ctx.pool.times.lock().quantile(0.95).unwrap_or(0);
    let usual = Duration::from_millis(PATIENCE_OF_USUAL * usual);
    ctx.target_time().mul_f64(PATIENCE).max(usual).min(left)
}
