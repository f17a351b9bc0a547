//! Compares the catalogue of log events in the documentation with the code.

use std::{collections::HashSet, fs, path::Path};

use holdpointd::events::ALL;

#[test]
fn every_event_is_in_the_catalogue_and_no_other() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = fs::read_to_string(path).unwrap();
    let is_row = |it: &&str| {
        it.strip_prefix("| ").is_some_and(|it| it.starts_with(|c: char| c.is_ascii_digit()))
    };
    let rows: Vec<&str> = page.lines().filter(is_row).collect();
    assert_eq!(rows.len(), ALL.len(), "the catalogue has one row per event");
    for event in ALL {
        let level = event.level.as_str().to_lowercase();
        let start = format!("| {} | {level} | {} |", event.code, event.text);
        assert!(
            rows.iter().any(|it| it.starts_with(&start)),
            "the catalogue has no row that starts with {start:?}"
        );
    }
    let codes: HashSet<u16> = ALL.iter().map(|it| it.code).collect();
    assert_eq!(codes.len(), ALL.len(), "two events share a number");
}
