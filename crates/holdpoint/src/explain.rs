//! The `explain` command: prints the log events of one request across all instances, with explanations.

use std::{
    fs,
    io::{self, Read, Write},
    path::PathBuf,
};

use clap::ArgMatches;

use crate::failure::Failure;

/// Explanations of log events, by event code.
const MEANINGS: [(&str, &str); 10] = [
    ("E640", "no target in the regions that the request is confined to"),
    ("E700", "sent to a target"),
    ("E701", "the send ended without a complete answer"),
    ("E703", "results of a stage are missing"),
    ("E704", "the stream broke off at its target"),
    ("E705", "denied before a route was chosen"),
    ("E706", "request ended"),
    ("E715", "its caller resumes a stream that the attempt named by first_attempt began"),
    (
        "E707",
        "refused by the instance that batches its first stage: not enough time at the named stage",
    ),
    ("E721", "admitted as late, on spare capacity: not enough time at the named stage"),
];

/// Explanations of the `cause` of a request's end.
const CAUSES: [(&str, &str); 13] = [
    (
        "confined",
        "its route or organisation allows only regions that cannot serve it: refused as not run",
    ),
    ("answered", "the target's complete answer was forwarded"),
    ("caller-gone", "the caller disconnected first"),
    ("overload", "it would have been answered late: refused as not run, with Retry-After"),
    ("stages-late", "its stages could not be completed in time; it has not run"),
    ("stages", "its stages failed"),
    ("target-failed", "the target's error response was forwarded"),
    ("no-target", "no target was left to try"),
    ("attempts-used", "the route allows no further target"),
    ("retry-budget", "the shared retry budget was exhausted"),
    ("time-over", "its deadline passed"),
    (
        "version-unknown",
        "it resumes a stream, and no instance knows which software version began it",
    ),
    ("version-gone", "it resumes a stream, and no target runs the software version that began it"),
];

/// Runs the command on the given files, or on standard input if there are none.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let id: &String = matches.get_one("id").expect("the argument is required");
    let files: Vec<&PathBuf> = matches.get_many("files").into_iter().flatten().collect();
    let mut text = String::new();
    if files.is_empty() {
        let read = io::stdin().read_to_string(&mut text);
        read.map_err(|it| Failure::Input(format!("standard input: {it}")))?;
    }
    text.push_str(&read_logs(files)?);
    let timeline = timeline(&text, id);
    if timeline.is_empty() {
        return Err(Failure::Input(format!("no log line for request {id}")));
    }
    // Ignores a broken pipe: the reader may close it early.
    drop(io::stdout().write_all(timeline.as_bytes()));
    Ok(())
}

/// Reads and concatenates log files; invalid UTF-8 is replaced.
pub(crate) fn read_logs<'a>(
    files: impl IntoIterator<Item = &'a PathBuf>,
) -> Result<String, Failure> {
    let mut text = String::new();
    for file in files {
        let read = fs::read(file);
        let bytes = read.map_err(|it| Failure::Input(format!("{}: {it}", file.display())))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
    Ok(text)
}

/// Lists the log lines of a request by time, each with its explanation and the cause of its end, and those that tell
/// which attempts have resumed its stream.
fn timeline(text: &str, id: &str) -> String {
    let names = [format!("id={id}"), format!("first_attempt={id}")];
    let lines = text
        .lines()
        .filter(|it| it.split_whitespace().any(|it| names.iter().any(|name| name == it)));
    let mut lines: Vec<&str> = lines.collect();
    lines.sort_by(|a, b| time(a).total_cmp(&time(b)));
    let mut out = String::new();
    for line in lines {
        let code = line.split_whitespace().find(|it| MEANINGS.iter().any(|known| known.0 == *it));
        let meaning = code.and_then(|it| MEANINGS.iter().find(|known| known.0 == it));
        out.push_str(&format!("{line}\n    {}\n", meaning.map_or("", |it| it.1)));
        if code == Some("E706") {
            out.push_str(&format!("    cause: {}\n", cause(line)));
        }
    }
    out
}

/// Time in seconds at the start of a line, or 0 if there is none.
fn time(line: &str) -> f64 {
    line.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or(0.0)
}

fn cause(line: &str) -> &'static str {
    let found = line.split_whitespace().find_map(|it| it.strip_prefix("cause="));
    let known = CAUSES.iter().find(|it| Some(it.0) == found);
    known.map_or("the target broke off or did not answer", |it| it.1)
}
