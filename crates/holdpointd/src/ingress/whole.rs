//! Requests whose answer is one whole body.

use std::time::Duration;

use bytes::Bytes;
use holdpoint_core::{directory::TargetInstance, ids::Millis, route::End, stage_graph::NoResult};
use holdpoint_platform::Instant;
use http::response::Parts;

use crate::ingress::{
    answer::{Answer, passed_on},
    attempts::{Attempts, NoSend, end_send},
    context::Context,
    send::{Sent, send, whole_body},
    stages,
};

/// Part of the target time after which a repeatable request goes to another target.
const PATIENCE: f64 = 0.5;
/// The same as a multiple of the time that 95 in 100 answers take.
const PATIENCE_OF_USUAL: u64 = 3;
/// When a refused request may come back.
const COME_BACK: Duration = Duration::from_millis(50);

/// How one send of a request ended.
enum Ended {
    Answered(Box<Parts>, Bytes),
    /// The target failed it by an answer of its own.
    Failed(Box<Parts>, Bytes),
    NotSent,
    Declined,
    Broken,
    Silent,
}

/// Serves a request.
pub(crate) async fn serve(ctx: &Context) -> Answer {
    tokio::select! {
        it = answer(ctx) => it,
        () = ctx.time_over() => ctx.give_up(NoSend::Time.name(), COME_BACK),
        () = ctx.is_held() => ctx.give_up(NoSend::Quarantined.name(), COME_BACK),
        () = ctx.shared.stop_nears() => ctx.give_up(NoSend::Stopping.name(), COME_BACK),
    }
}

async fn answer(ctx: &Context) -> Answer {
    let inputs = if ctx.route.stages.is_empty() {
        Vec::new()
    } else {
        match tokio::time::timeout(ctx.left(), stages::make_all(ctx, "")).await {
            Ok(Ok(it)) => it.inputs,
            Ok(Err(NoResult::Overload(ms))) => {
                return ctx.give_up("overload", Duration::from_millis(ms).max(COME_BACK));
            }
            _ => return ctx.give_up("stages", COME_BACK),
        }
    };
    let mut attempts = Attempts::default();
    let mut last_failure = None;
    let cause = loop {
        let target = match attempts.next(ctx, &[]).await {
            Ok(it) => it,
            Err(it) => break it,
        };
        match attempt(ctx, &attempts, &target, &inputs).await {
            Ended::Answered(head, body) => {
                ctx.note_end(head.status.as_u16(), "answered");
                return passed_on(&head, body);
            }
            Ended::Failed(head, body) => {
                last_failure = Some((head, body));
                if !ctx.is_repeatable() {
                    break NoSend::Attempts;
                }
            }
            Ended::NotSent => attempts.never_sent(ctx),
            Ended::Declined => (),
            Ended::Broken | Ended::Silent if ctx.is_repeatable() => (),
            Ended::Broken | Ended::Silent => break NoSend::Attempts,
        }
    };
    match last_failure {
        Some((head, body)) => {
            ctx.note_end(head.status.as_u16(), "target-failed");
            passed_on(&head, body)
        }
        None => ctx.give_up(cause.name(), COME_BACK),
    }
}

async fn attempt(
    ctx: &Context,
    attempts: &Attempts,
    target: &TargetInstance,
    inputs: &[String],
) -> Ended {
    let Some(begun) = ctx.ledger.begin() else { return Ended::Broken };
    let started = Instant::now();
    let limit = patience(ctx, attempts);
    let sent = tokio::time::timeout(limit, send_whole(ctx, target, inputs)).await;
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
        Ok(Ended::Declined) => {
            begun.declined();
            end_send(ctx, target, End::Failed, "declined");
            Ended::Declined
        }
        Ok(Ended::Answered(head, body)) => {
            ctx.note_first();
            ctx.has_passed();
            ctx.pool.times.lock().record(ctx.shared.clock.now(), ms);
            end_send(ctx, target, End::Whole(ms), "answered");
            Ended::Answered(head, body)
        }
        Ok(Ended::Failed(head, body)) => {
            // A failure of its own now and then says nothing about the target.
            end_send(ctx, target, End::Dropped, "target-failed");
            Ended::Failed(head, body)
        }
        Ok(Ended::Broken | Ended::Silent) => {
            end_send(ctx, target, End::Failed, "broken");
            Ended::Broken
        }
    }
}

async fn send_whole(ctx: &Context, target: &TargetInstance, inputs: &[String]) -> Ended {
    let added = ctx.added(target, None, inputs);
    match send(ctx, target, &added).await {
        Sent::Nothing => Ended::NotSent,
        Sent::Declined { head, .. } => {
            ctx.pool.report(ctx.shared.clock.now(), &target.id, head.load);
            if head.is_misdirected {
                ctx.shared.target_leaves(&target.id, "misdirected");
            }
            Ended::Declined
        }
        Sent::Broken => Ended::Broken,
        Sent::Answered { head, response, connection } => {
            ctx.pool.report(ctx.shared.clock.now(), &target.id, head.load);
            let (parts, body) = response.into_parts();
            let copy = parts.clone();
            let response = http::Response::from_parts(parts, body);
            let body = whole_body(&ctx.shared, &head, response, connection, &ctx.request).await;
            match body {
                Some(it) if copy.status.is_server_error() => Ended::Failed(Box::new(copy), it),
                Some(it) => Ended::Answered(Box::new(copy), it),
                None => {
                    ctx.broke_off(target);
                    Ended::Broken
                }
            }
        }
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
