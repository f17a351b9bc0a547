//! A server runs requests that may run once, and answers some of them with a status of failure that says nothing about
//! whether they ran. Their callers must not be told that they have not run.

use std::{collections::HashMap, process::ExitCode, time::Duration};

use holdpoint_adapter_standin::{Behaviour, CallerRequest, Rejection, Target, call};
use review_standin_2::{BROKEN, Case, HELD, NOT_RUN, start_store};

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const ROUNDS: usize = 60;
/// Requests of one round, which are sent at the same time.
const AT_ONCE: usize = 8;
const REQUESTS: usize = ROUNDS * AT_ONCE;

#[tokio::main]
async fn main() -> ExitCode {
    let Some(mut case) = Case::from_arguments() else { return ExitCode::from(NOT_RUN) };
    let store = start_store().await;
    let mut targets = Vec::new();
    for index in 0..4 {
        let target = Target::start(&format!("i-plain-{index}"), "plain", Behaviour::Slots(6)).await;
        store.put_target(&target, false);
        targets.push(target);
    }
    let engine = Target::start("i-engine", "engine", Behaviour::Events(5)).await;
    store.put_target(&engine, false);
    let Some(daemon) = case.start("front-1", store.endpoint.address, &[]).await else {
        return case.end(NOT_RUN);
    };
    let failure = Rejection::with_backoff(Duration::ZERO).with_values(&[]).after_run();
    let mut answers = HashMap::new();
    for round in 0..ROUNDS {
        // One server of four fails 45 of 100 of the rounds' requests.
        let is_failing = case.has_trouble && round % 20 < 9;
        targets[0].set_rejection(is_failing.then(|| failure.clone()));
        let sent: Vec<_> = (0..AT_ONCE)
            .map(|number| {
                let id = format!("r-{round}-{number}");
                let request = CallerRequest::new(&id, "/unsafe/");
                (id, tokio::spawn(call(daemon.callers, request)))
            })
            .collect();
        for (id, answer) in sent {
            let answer = answer.await.ok().flatten();
            let status = answer.as_ref().map_or(0, |it| it.status.as_u16());
            case.note(&format!("sent {id}, answered {status}"));
            answers.insert(id, status);
        }
    }
    let mut broken = 0;
    let mut runs = 0;
    for target in &targets {
        for run in target.runs() {
            let Some(status) = answers.get(&run.request) else { continue };
            runs += 1;
            if PROMISES.contains(status) {
                broken += 1;
                case.note(&format!(
                    "{} ran at {}, and its caller was answered {status}",
                    run.request, target.id
                ));
            }
        }
    }
    case.note(&format!("requests={REQUESTS} runs={runs} ran_and_told_not_run={broken}"));
    if runs < REQUESTS / 2 {
        return case.end(NOT_RUN);
    }
    case.end(if broken == 0 { HELD } else { BROKEN })
}
