//! Peer messages as earlier builds wrote them: later builds must still read them, since instances are replaced one
//! by one. Each folder has the frames of one protocol version and, as JSON, how the build that wrote them decoded
//! them.

use std::path::{Path, PathBuf};

use holdpointd::ingress::read_peer_frame;
use serde_json::Value;

/// Protocol versions that must still be read.
const VERSIONS: [&str; 1] = ["protocol-5"];

fn frames(version: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(version);
    let files = std::fs::read_dir(folder).unwrap().map(|it| it.unwrap().path());
    files.filter(|it| it.extension().is_some_and(|it| it != "json")).collect()
}

/// Whether `read` has all values of `expected`. It may have more fields, which later builds have added.
fn has_all(expected: &Value, read: &Value) -> bool {
    match (expected, read) {
        (Value::Object(expected), Value::Object(read)) => {
            expected.iter().all(|(name, it)| read.get(name).is_some_and(|read| has_all(it, read)))
        }
        (Value::Array(expected), Value::Array(read)) => {
            expected.len() == read.len() && expected.iter().zip(read).all(|it| has_all(it.0, it.1))
        }
        _ => expected == read,
    }
}

#[test]
fn frames_of_earlier_builds_are_read() {
    for version in VERSIONS {
        let frames = frames(version);
        assert_eq!(frames.len(), 18, "a request and an answer per call");
        for path in frames {
            let is_answer = path.extension().is_some_and(|it| it == "answer");
            let read = read_peer_frame(&std::fs::read(&path).unwrap(), is_answer);
            let read = read.unwrap_or_else(|it| panic!("{}: {it}", path.display()));
            let text = std::fs::read(format!("{}.json", path.display())).unwrap();
            let expected: Value = serde_json::from_slice(&text).unwrap();
            assert!(
                has_all(&expected, &read),
                "{}: read {read}, expected {expected}",
                path.display()
            );
        }
    }
}

#[test]
fn a_truncated_frame_is_rejected() {
    for path in frames(VERSIONS[0]) {
        let frame = std::fs::read(&path).unwrap();
        let is_answer = path.extension().is_some_and(|it| it == "answer");
        for length in 0..frame.len() {
            assert!(read_peer_frame(&frame[..length], is_answer).is_err(), "{}", path.display());
        }
    }
}
