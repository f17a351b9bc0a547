//! The `report losses` command: summarises from the logs of all instances which requests were not answered
//! in time, and why.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
};

use clap::ArgMatches;
use hdrhistogram::Histogram;
use holdpoint_emulator::plot::{Series, Texts, lines};
use serde::Serialize;

use crate::{
    explain::read_logs,
    failure::Failure,
    output::{Format, table},
};

/// Upper bound of recorded times; longer ones are clamped to it.
const MAX_TIME_MS: u64 = 600_000;
/// Maximum number of unparsable lines that the report shows.
const MAX_UNREAD_LINES: usize = 5;
/// Event code: a batch call ended.
const BATCH_ENDED: &str = "E702";
/// Event code: a request ended.
const REQUEST_ENDED: &str = "E706";

/// A log line, parsed into its `key=value` fields.
struct Line<'a> {
    /// Time in seconds, from the start of the line.
    at: f64,
    instance: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

/// One instance's calls to the targets of a service during one interval.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ServiceRow {
    service: String,
    from_s: u64,
    instance: String,
    calls: u64,
    failed: u64,
    /// Items sent, as a share of the maximum that the calls could have carried.
    filled: f64,
    /// Mean excess of the answered calls' duration over the stated duration, in milliseconds.
    over_ms: f64,
    /// Mean share of the targets' room in use (`used_kb` / `room_kb`).
    room: f64,
    no_room: u64,
    /// Mean over the calls of `waited_ms`, the longest wait of a call's items, in milliseconds.
    wait_ms: f64,
    /// Maximum number of items left in the queue.
    backlog: u64,
}

/// Outcomes and times of the requests of one route; pairs of times are the 50th and 90th percentiles.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RouteRow {
    route: String,
    aim_ms: u64,
    requests: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    left: u64,
    stages_ms: [u64; 2],
    first_ms: [u64; 2],
    late_by_ms: [u64; 2],
}

/// Number of requests of one route not answered in time during one interval, for one reason.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LossRow {
    route: String,
    from_s: u64,
    reason: String,
    requests: u64,
}

/// The complete report.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Losses {
    services: Vec<ServiceRow>,
    routes: Vec<RouteRow>,
    losses: Vec<LossRow>,
    /// Number of lines with one of the two events that could not be parsed.
    unread: usize,
    /// The first of these lines.
    unread_lines: Vec<String>,
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let span: u64 = *matches.get_one("span").expect("the argument has a default");
    let report = losses(&read_logs(files)?, span.max(1));
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        let texts = Texts { title: "Requests not in time", x: "seconds", y: "requests" };
        let drawn = lines(path, texts, &series(&report.losses));
        drawn.map_err(|it| Failure::Input(format!("{}: {it}", path.display())))?;
    }
    match format {
        Format::Json => println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default()),
        Format::Table => println!("{}", as_tables(&report)),
    }
    Ok(())
}

/// Parses log lines and aggregates them over intervals of `span` seconds.
pub(crate) fn losses(text: &str, span: u64) -> Losses {
    let mut report = Losses::default();
    let mut batches: BTreeMap<(String, u64, String), ServiceSum> = BTreeMap::new();
    let mut routes: BTreeMap<String, RouteSum> = BTreeMap::new();
    let mut lost: BTreeMap<(String, u64, String), u64> = BTreeMap::new();
    for line in text.lines() {
        let Some(code) = [BATCH_ENDED, REQUEST_ENDED].into_iter().find(|it| has_code(line, it))
        else {
            continue;
        };
        let read = parse(line, code).and_then(|line| {
            let from_s = line.at.max(0.0) as u64 / span * span;
            if code == BATCH_ENDED {
                let service = line.text("service")?.to_owned();
                let key = (service, from_s, line.instance.to_owned());
                return batches.entry(key).or_default().add(&line);
            }
            let route = line.text("route")?.to_owned();
            let reason = routes.entry(route.clone()).or_default().add(&line)?;
            if let Some(it) = reason {
                *lost.entry((route, from_s, it)).or_default() += 1;
            }
            Some(())
        });
        if read.is_none() {
            report.unread += 1;
            report
                .unread_lines
                .extend((report.unread <= MAX_UNREAD_LINES).then(|| line.to_owned()));
        }
    }
    report.services = batches.into_iter().map(|(key, it)| it.row(key)).collect();
    report.routes = routes.into_iter().map(|(route, it)| it.row(route)).collect();
    let row = |((route, from_s, reason), requests)| LossRow { route, from_s, reason, requests };
    report.losses = lost.into_iter().map(row).collect();
    report.losses.sort_by_key(|it| std::cmp::Reverse(it.requests));
    report
}

fn has_code(line: &str, code: &str) -> bool {
    line.split_whitespace().any(|it| it == code)
}

fn parse<'a>(line: &'a str, code: &str) -> Option<Line<'a>> {
    let at = line.split_whitespace().next()?.parse().ok()?;
    let (_, rest) = line.split_once(code)?;
    let (instance, detail) = rest.trim_start().split_once(':')?;
    let fields = detail.split_whitespace().filter_map(|it| it.split_once('=')).collect();
    Some(Line { at, instance, fields })
}

impl Line<'_> {
    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).copied()
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}

#[derive(Default)]
struct ServiceSum {
    calls: u64,
    answered: u64,
    failed: u64,
    items: u64,
    max_items: u64,
    over_ms: f64,
    room: f64,
    no_room: u64,
    wait_ms: u64,
    backlog: u64,
}

impl ServiceSum {
    fn add(&mut self, line: &Line<'_>) -> Option<()> {
        let number = |name| line.number(name);
        let (items, max_items) = (number("pieces")?, number("most")?);
        let (ms, stated) = (number("ms")?, number("stated_ms")?);
        let (used, room) = (number("used_kb")?, number("room_kb")?);
        let (no_room, wait, left) = (number("no_room")?, number("waited_ms")?, number("left")?);
        let is_answered = line.text("end")? == "answered";
        self.calls += 1;
        self.answered += u64::from(is_answered);
        self.failed += u64::from(!is_answered);
        self.items += items;
        self.max_items += max_items;
        self.over_ms += if is_answered { ms as f64 - stated as f64 } else { 0.0 };
        self.room += used as f64 / room.max(1) as f64;
        self.no_room += no_room;
        self.wait_ms += wait;
        self.backlog = self.backlog.max(left);
        Some(())
    }

    fn row(self, (service, from_s, instance): (String, u64, String)) -> ServiceRow {
        let calls = self.calls.max(1) as f64;
        ServiceRow {
            service,
            from_s,
            instance,
            calls: self.calls,
            failed: self.failed,
            filled: self.items as f64 / self.max_items.max(1) as f64,
            over_ms: self.over_ms / self.answered.max(1) as f64,
            room: self.room / calls,
            no_room: self.no_room,
            wait_ms: self.wait_ms as f64 / calls,
            backlog: self.backlog,
        }
    }
}

struct RouteSum {
    aim_ms: u64,
    outcomes: BTreeMap<Outcome, u64>,
    stages: Histogram<u32>,
    first: Histogram<u32>,
    late_by: Histogram<u32>,
}

impl Default for RouteSum {
    fn default() -> RouteSum {
        let empty = Histogram::new_with_max(MAX_TIME_MS, 2).expect("the bounds are constants");
        RouteSum {
            aim_ms: 0,
            outcomes: BTreeMap::new(),
            stages: empty.clone(),
            first: empty.clone(),
            late_by: empty,
        }
    }
}

/// Outcome of a request from the caller's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    InTime,
    Late,
    Refused,
    Failed,
    CallerGone,
}

impl RouteSum {
    /// Adds an ended request and returns why it was lost: `Some(None)` if it was answered in time. Returns
    /// `None` if the line lacks a field.
    fn add(&mut self, line: &Line<'_>) -> Option<Option<String>> {
        let (aim, ms) = (line.number("aim_ms")?, line.number("ms")?);
        let (first, stages) = (line.number("first_ms")?, line.number("stages_ms")?);
        let (cause, status) = (line.text("cause")?, line.number("status")?);
        let first = if first == 0 { ms } else { first };
        let outcome = match (cause, status) {
            ("answered", _) if first <= aim => Outcome::InTime,
            ("answered", _) => Outcome::Late,
            ("caller-gone", _) => Outcome::CallerGone,
            (_, 503) => Outcome::Refused,
            _ => Outcome::Failed,
        };
        self.aim_ms = aim;
        *self.outcomes.entry(outcome).or_default() += 1;
        if matches!(outcome, Outcome::InTime | Outcome::Late) {
            self.stages.saturating_record(stages);
            self.first.saturating_record(first);
        }
        if outcome == Outcome::Late {
            self.late_by.saturating_record(first - aim);
        }
        let reason = match outcome {
            Outcome::InTime => None,
            Outcome::Late => Some("late".to_owned()),
            _ => Some(cause.to_owned()),
        };
        Some(reason)
    }

    fn row(self, route: String) -> RouteRow {
        let count = |outcome| self.outcomes.get(&outcome).copied().unwrap_or(0);
        let quantiles =
            |it: &Histogram<u32>| [it.value_at_quantile(0.5), it.value_at_quantile(0.9)];
        RouteRow {
            route,
            aim_ms: self.aim_ms,
            requests: self.outcomes.values().sum(),
            in_time: count(Outcome::InTime),
            late: count(Outcome::Late),
            refused: count(Outcome::Refused),
            failed: count(Outcome::Failed),
            left: count(Outcome::CallerGone),
            stages_ms: quantiles(&self.stages),
            first_ms: quantiles(&self.first),
            late_by_ms: quantiles(&self.late_by),
        }
    }
}

/// Requests not answered in time, by reason over time, summed over all routes.
fn series(losses: &[LossRow]) -> Vec<Series> {
    let reasons: BTreeSet<&str> = losses.iter().map(|it| it.reason.as_str()).collect();
    let points = |reason: &str| {
        let mut by_span: BTreeMap<u64, u64> = BTreeMap::new();
        for it in losses.iter().filter(|it| it.reason == reason) {
            *by_span.entry(it.from_s).or_default() += it.requests;
        }
        by_span.into_iter().map(|(from_s, lost)| (from_s as f64, lost as f64)).collect()
    };
    reasons.iter().map(|it| Series { name: (*it).to_owned(), points: points(it) }).collect()
}

fn as_tables(report: &Losses) -> String {
    let pair = |it: [u64; 2]| format!("{} / {}", it[0], it[1]);
    let services = report.services.iter().map(|it| {
        vec![
            it.service.clone(),
            it.from_s.to_string(),
            it.instance.clone(),
            format!("{} ({})", it.calls, it.failed),
            format!("{:.2}", it.filled),
            format!("{:.0}", it.over_ms),
            format!("{:.2}", it.room),
            it.no_room.to_string(),
            format!("{:.0}", it.wait_ms),
            it.backlog.to_string(),
        ]
    });
    let routes = report.routes.iter().map(|it| {
        let outcomes = [it.requests, it.in_time, it.late, it.refused, it.failed, it.left];
        let mut row = vec![it.route.clone(), it.aim_ms.to_string()];
        row.extend(outcomes.iter().map(u64::to_string));
        row.extend([pair(it.stages_ms), pair(it.first_ms), pair(it.late_by_ms)]);
        row
    });
    let losses = report.losses.iter().map(|it| {
        vec![it.requests.to_string(), it.route.clone(), it.from_s.to_string(), it.reason.clone()]
    });
    let mut text = [
        table(
            &[
                "service",
                "from s",
                "batched by",
                "calls (failed)",
                "filled",
                "over ms",
                "room",
                "no room",
                "wait ms",
                "backlog",
            ],
            services.collect(),
        ),
        table(
            &[
                "route",
                "aim ms",
                "requests",
                "in time",
                "late",
                "refused",
                "failed",
                "left",
                "stages ms 50/90",
                "first ms 50/90",
                "late by ms 50/90",
            ],
            routes.collect(),
        ),
        table(&["lost", "route", "from s", "reason"], losses.collect()),
    ]
    .join("\n\n");
    if report.unread != 0 {
        text.push_str(&format!(
            "\n\n{} lines could not be read, the first of them:",
            report.unread
        ));
        report.unread_lines.iter().for_each(|it| text.push_str(&format!("\n  {it}")));
    }
    text
}
