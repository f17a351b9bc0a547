//! Messages between instances as earlier builds wrote them, which later ones still have to read: machines are
//! replaced one after the other. Each folder has the frames of one version of the protocol, and what its own build
//! read in them.

use std::path::{Path, PathBuf};

use holdpointd::ingress::read_peer_frame;
use serde_json::Value;

/// Versions of the protocol whose frames are kept.
const VERSIONS: [&str; 1] = ["protocol-5"];

fn frames(version: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(version);
    let files = std::fs::read_dir(folder).unwrap().map(|it| it.unwrap().path());
    files.filter(|it| it.extension().is_some_and(|it| it != "json")).collect()
}

/// Whether all that is told is read. Fields may have come since.
fn is_read(told: &Value, read: &Value) -> bool {
    match (told, read) {
        (Value::Object(told), Value::Object(read)) => {
            told.iter().all(|(name, it)| read.get(name).is_some_and(|read| is_read(it, read)))
        }
        (Value::Array(told), Value::Array(read)) => {
            told.len() == read.len() && told.iter().zip(read).all(|it| is_read(it.0, it.1))
        }
        _ => told == read,
    }
}

#[test]
fn frames_of_earlier_builds_are_read() {
    for version in VERSIONS {
        let frames = frames(version);
        assert_eq!(frames.len(), 18, "a question and an answer of each call");
        for path in frames {
            let is_answer = path.extension().is_some_and(|it| it == "answer");
            let read = read_peer_frame(&std::fs::read(&path).unwrap(), is_answer);
            let read = read.unwrap_or_else(|it| panic!("{}: {it}", path.display()));
            let text = std::fs::read(format!("{}.json", path.display())).unwrap();
            let told: Value = serde_json::from_slice(&text).unwrap();
            assert!(is_read(&told, &read), "{}: {read} in place of {told}", path.display());
        }
    }
}

#[test]
fn a_frame_that_is_cut_off_is_no_message() {
    for path in frames(VERSIONS[0]) {
        let frame = std::fs::read(&path).unwrap();
        let is_answer = path.extension().is_some_and(|it| it == "answer");
        for length in 0..frame.len() {
            assert!(read_peer_frame(&frame[..length], is_answer).is_err(), "{}", path.display());
        }
    }
}
