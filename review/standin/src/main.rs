//! Drivers of the review's cases: `holdpoint-review CASE ROOT FOLDER`.

mod http;
mod json;
mod late_answer;
mod late_refusal;
mod plain_case;
mod plain_server;
mod slow_reader;
mod stage_server;
mod store;
mod system;
mod wire;

use std::path::PathBuf;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &words[..] else {
        println!("usage: holdpoint-review CASE ROOT FOLDER");
        std::process::exit(system::NOT_RUN);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let code = match case.as_str() {
        "late-answer" => late_answer::run(&root, &folder),
        "late-refusal" => late_refusal::run(&root, &folder),
        "slow-reader" => slow_reader::run(&root, &folder),
        _ => system::NOT_RUN,
    };
    std::process::exit(code);
}
