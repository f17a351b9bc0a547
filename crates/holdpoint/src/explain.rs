//! `explain`: the story of one request, from the logs of all instances.

use std::{
    fs,
    io::{self, Read, Write},
    path::PathBuf,
};

use clap::ArgMatches;

use crate::failure::Failure;

/// What a numbered event says about a request, in words.
const MEANINGS: [(&str, &str); 9] = [
    ("E640", "the regions that it is confined to have no target for it"),
    ("E700", "sent to a target"),
    ("E701", "that send ended without a whole answer"),
    ("E703", "results of a stage were missing"),
    ("E704", "its stream broke off at its target"),
    ("E705", "denied before it had a route"),
    ("E706", "ended"),
    (
        "E707",
        "refused by the instance that batches its first stage, for want of time at the stage named",
    ),
    (
        "E721",
        "admitted as late, in the time that others leave, for want of time at the stage named",
    ),
];

/// What the cause of an end means.
const CAUSES: [(&str, &str); 11] = [
    (
        "confined",
        "its route or organisation allows only regions that cannot serve it: refused as not run",
    ),
    ("answered", "the target's whole answer was passed on"),
    ("caller-gone", "its caller left first"),
    ("overload", "it would have been late: refused as not run, with a time to come back"),
    ("stages-late", "its stages could not be made in time; it has not run"),
    ("stages", "its stages failed"),
    ("target-failed", "the target's own failure was passed on"),
    ("no-target", "no target was left to try"),
    ("attempts-used", "the route allows no further target"),
    ("retry-budget", "the shared retry budget was used up"),
    ("time-over", "its time was over"),
];

/// Runs the command: reads the files, or standard input where none is named.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let id: &String = matches.get_one("id").expect("the argument is required");
    let files: Vec<&PathBuf> = matches.get_many("files").into_iter().flatten().collect();
    let mut text = String::new();
    if files.is_empty() {
        let read = io::stdin().read_to_string(&mut text);
        read.map_err(|it| Failure::File(format!("standard input: {it}")))?;
    }
    text.push_str(&read_logs(files)?);
    let story = story(&text, id);
    if story.is_empty() {
        return Err(Failure::File(format!("no line of the logs names the request {id}")));
    }
    // A reader who closes the pipe early has read enough.
    drop(io::stdout().write_all(story.as_bytes()));
    Ok(())
}

/// Reads logs one after the other; bytes that are no text are replaced.
pub(crate) fn read_logs<'a>(
    files: impl IntoIterator<Item = &'a PathBuf>,
) -> Result<String, Failure> {
    let mut text = String::new();
    for file in files {
        let read = fs::read(file);
        let bytes = read.map_err(|it| Failure::File(format!("{}: {it}", file.display())))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
    Ok(text)
}

/// The lines that name a request, each with its meaning, and the cause of its end in words.
fn story(text: &str, id: &str) -> String {
    let name = format!("id={id}");
    let lines = text.lines().filter(|it| it.split_whitespace().any(|it| it == name));
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

/// Time at the start of a line, as a test bench puts it there; 0 where there is none.
fn time(line: &str) -> f64 {
    line.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or(0.0)
}

fn cause(line: &str) -> &'static str {
    let found = line.split_whitespace().find_map(|it| it.strip_prefix("cause="));
    let known = CAUSES.iter().find(|it| Some(it.0) == found);
    known.map_or("the target broke off or was silent", |it| it.1)
}
