//! `report losses`: where a day's answers in time were lost, from the logs of all instances.

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
    output::{Form, table},
};

/// Longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;
/// Lines that cannot be read and are shown.
const UNREAD_SHOWN: usize = 5;
/// Numbers of the events that are read: a batch ended, a request ended.
const BATCH: &str = "E702";
const REQUEST_ENDED: &str = "E706";

/// One line of a log, with the fields after its text.
struct Line<'a> {
    /// Seconds, as a test bench puts them at the start of each line.
    at: f64,
    instance: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

/// What one instance's calls to the targets of a service were like, in a span of time.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ServiceRow {
    service: String,
    from_s: u64,
    instance: String,
    calls: u64,
    failed: u64,
    /// Part of the pieces that the calls could have carried.
    filled: f64,
    /// Mean time over the stated one, in milliseconds.
    over_ms: f64,
    /// Mean part of the targets' room that was taken.
    room: f64,
    no_room: u64,
    /// Mean of the longest wait of each call's pieces, in milliseconds.
    wait_ms: f64,
    /// Most pieces that were left waiting.
    backlog: u64,
}

/// How the requests of a route ended.
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

/// Requests of one route that were lost in a span of time, for one reason.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LossRow {
    route: String,
    from_s: u64,
    reason: String,
    requests: u64,
}

/// All that the report says.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Losses {
    services: Vec<ServiceRow>,
    routes: Vec<RouteRow>,
    losses: Vec<LossRow>,
    /// Lines of the two events that could not be read, and the first of them.
    unread: usize,
    unread_lines: Vec<String>,
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches, form: Form) -> Result<(), Failure> {
    let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let span: u64 = *matches.get_one("span").expect("the argument has a default");
    let report = losses(&read_logs(files)?, span.max(1));
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        let texts = Texts { title: "Requests not in time", x: "seconds", y: "requests" };
        let drawn = lines(path, texts, &series(&report.losses));
        drawn.map_err(|it| Failure::File(format!("{}: {it}", path.display())))?;
    }
    match form {
        Form::Json => println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default()),
        Form::Table => println!("{}", as_tables(&report)),
    }
    Ok(())
}

/// Reads the lines of logs and sums them up, in spans of so many seconds.
pub(crate) fn losses(text: &str, span: u64) -> Losses {
    let mut report = Losses::default();
    let mut batches: BTreeMap<(String, u64, String), ServiceSum> = BTreeMap::new();
    let mut routes: BTreeMap<String, RouteSum> = BTreeMap::new();
    let mut lost: BTreeMap<(String, u64, String), u64> = BTreeMap::new();
    for line in text.lines() {
        let Some(code) = [BATCH, REQUEST_ENDED].into_iter().find(|it| has_code(line, it)) else {
            continue;
        };
        let read = parse(line, code).and_then(|line| {
            let from_s = line.at.max(0.0) as u64 / span * span;
            if code == BATCH {
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
            report.unread_lines.extend((report.unread <= UNREAD_SHOWN).then(|| line.to_owned()));
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
    pieces: u64,
    most: u64,
    over_ms: f64,
    room: f64,
    no_room: u64,
    wait_ms: u64,
    backlog: u64,
}

impl ServiceSum {
    fn add(&mut self, line: &Line<'_>) -> Option<()> {
        let number = |name| line.number(name);
        let (pieces, most) = (number("pieces")?, number("most")?);
        let (ms, stated) = (number("ms")?, number("stated_ms")?);
        let (used, room) = (number("used_kb")?, number("room_kb")?);
        let (no_room, wait, left) = (number("no_room")?, number("waited_ms")?, number("left")?);
        let is_answered = line.text("end")? == "answered";
        self.calls += 1;
        self.answered += u64::from(is_answered);
        self.failed += u64::from(!is_answered);
        self.pieces += pieces;
        self.most += most;
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
            filled: self.pieces as f64 / self.most.max(1) as f64,
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
    ends: BTreeMap<End, u64>,
    stages: Histogram<u32>,
    first: Histogram<u32>,
    late_by: Histogram<u32>,
}

impl Default for RouteSum {
    fn default() -> RouteSum {
        let empty = Histogram::new_with_max(LONGEST_MS, 2).expect("the bounds are constants");
        RouteSum {
            aim_ms: 0,
            ends: BTreeMap::new(),
            stages: empty.clone(),
            first: empty.clone(),
            late_by: empty,
        }
    }
}

/// How a request ended, as far as its caller is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    InTime,
    Late,
    Refused,
    Failed,
    Left,
}

impl RouteSum {
    /// Takes in the end of a request; returns why it was lost, if it was.
    fn add(&mut self, line: &Line<'_>) -> Option<Option<String>> {
        let (aim, ms) = (line.number("aim_ms")?, line.number("ms")?);
        let (first, stages) = (line.number("first_ms")?, line.number("stages_ms")?);
        let (cause, status) = (line.text("cause")?, line.number("status")?);
        let first = if first == 0 { ms } else { first };
        let end = match (cause, status) {
            ("answered", _) if first <= aim => End::InTime,
            ("answered", _) => End::Late,
            ("caller-gone", _) => End::Left,
            (_, 503) => End::Refused,
            _ => End::Failed,
        };
        self.aim_ms = aim;
        *self.ends.entry(end).or_default() += 1;
        if matches!(end, End::InTime | End::Late) {
            self.stages.saturating_record(stages);
            self.first.saturating_record(first);
        }
        if end == End::Late {
            self.late_by.saturating_record(first - aim);
        }
        let reason = match end {
            End::InTime => None,
            End::Late => Some("late".to_owned()),
            _ => Some(cause.to_owned()),
        };
        Some(reason)
    }

    fn row(self, route: String) -> RouteRow {
        let count = |end| self.ends.get(&end).copied().unwrap_or(0);
        let quantiles =
            |it: &Histogram<u32>| [it.value_at_quantile(0.5), it.value_at_quantile(0.9)];
        RouteRow {
            route,
            aim_ms: self.aim_ms,
            requests: self.ends.values().sum(),
            in_time: count(End::InTime),
            late: count(End::Late),
            refused: count(End::Refused),
            failed: count(End::Failed),
            left: count(End::Left),
            stages_ms: quantiles(&self.stages),
            first_ms: quantiles(&self.first),
            late_by_ms: quantiles(&self.late_by),
        }
    }
}

/// Lost requests by reason over time, all routes together.
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
        let ends = [it.requests, it.in_time, it.late, it.refused, it.failed, it.left];
        let mut row = vec![it.route.clone(), it.aim_ms.to_string()];
        row.extend(ends.iter().map(u64::to_string));
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
