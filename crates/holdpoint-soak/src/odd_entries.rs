//! Draws and writes odd entries in the store's lists: names that a query has to encode, values that are no entry, and items
//! that cannot be read, in pages that are small or fail.

use std::time::Duration;

use holdpoint_adapter_standin::{PageFault, Store, names};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::{
    Millis,
    plan::{Fault, FaultKind},
};

/// Number of periods in a soak in which odd entries stand in the lists.
const PERIOD_COUNT: usize = 3;
/// Longest period.
const MAX_PERIOD_MS: Millis = 2500;
/// Largest page of such a period, in items.
const MAX_PAGE_ITEMS: usize = 4;
/// Random stream for odd entries.
const STREAM: u64 = 11;
const NAMES: [&str; 9] =
    ["a&b", "a+b", "a#b", "a%41", "a b", "a\nb", "i-\u{e4}", "z%", "versions/a&b"];
const VALUES: [&str; 5] = [
    "{}",
    "null",
    r#"{"until":18446744073709551615}"#,
    "127.0.0.1:0 life 1 1 1 z1 18446744073709551615",
    r#"{"service":"plain","address":"127.0.0.1:99999","slots":1e999}"#,
];
const ITEMS: [&str; 3] = [r#"{"key":"c","value":"%%"}"#, r#"{"key":"\udcff"}"#, "1e999"];
const TOPICS: [&str; 5] = [
    names::TARGETS_TOPIC,
    names::OPERATORS_TOPIC,
    names::INSTANCES_TOPIC,
    names::RESOURCES_TOPIC,
    names::STREAMS_TOPIC,
];

/// Draws the periods in which odd entries stand in the lists.
pub(crate) fn draw(seed: u64, end: Millis) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    // Two periods at once would end each other's page faults.
    let span = (end / PERIOD_COUNT as Millis).max(2);
    let period = |index: usize| {
        let at = index as Millis * span + rng.random_range(0..span / 2);
        let duration = rng.random_range(1..=(span / 2).min(MAX_PERIOD_MS));
        let page_items = rng.random_range(1..=MAX_PAGE_ITEMS);
        let page_fault = match rng.random_range(0..8) {
            0 => PageFault::Busy,
            1 => PageFault::Refused,
            2 => PageFault::Silent,
            3 => PageFault::Restart,
            _ => PageFault::None,
        };
        Fault { at, duration, kind: FaultKind::OddEntries { page_items, page_fault } }
    };
    (0..PERIOD_COUNT).map(period).collect()
}

/// Writes odd entries to all lists, and removes them after a while.
pub(crate) async fn write(
    store: &Store,
    (page_items, page_fault): (usize, PageFault),
    duration: Duration,
) {
    store.set_page_items(page_items);
    for topic in TOPICS {
        for (index, name) in NAMES.iter().enumerate() {
            store.put_record(topic, name, VALUES[index % VALUES.len()].as_bytes());
        }
        for (index, item) in ITEMS.iter().enumerate() {
            store.put_odd_item(topic, &format!("c{index}"), item);
        }
        store.set_page_fault(topic, page_fault);
    }
    sleep(duration).await;
    remove(store);
}

/// Removes all odd entries and faults of pages.
pub(crate) fn remove(store: &Store) {
    store.set_page_items(0);
    for topic in TOPICS {
        store.set_page_fault(topic, PageFault::None);
        store.drop_odd_items(topic);
        NAMES.iter().for_each(|it| store.put_record(topic, it, b""));
    }
}
