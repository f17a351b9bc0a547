//! Splitting streams of events, and the ids that a resumption relies on.

use holdpoint_core::event_split::{EventId, EventSplitter, IdRule, SpoiledEvent, WholeEvent};
use proptest::prelude::*;

fn id(text: &str) -> EventId {
    EventId::parse(text.as_bytes()).unwrap()
}

fn ids(events: &[WholeEvent]) -> Vec<Option<EventId>> {
    events.iter().map(|it| it.id).collect()
}

fn joined(events: &[WholeEvent]) -> Vec<u8> {
    events.iter().flat_map(|it| it.bytes.to_vec()).collect()
}

/// Splits bytes that arrive in parts of these lengths, in turn.
fn split(splitter: &mut EventSplitter, bytes: &[u8], cuts: &[usize]) -> Vec<WholeEvent> {
    let (mut rest, mut cuts, mut out) = (bytes, cuts.iter().cycle(), Vec::new());
    while !rest.is_empty() {
        let (now, later) = rest.split_at((*cuts.next().unwrap()).min(rest.len()));
        out.extend(splitter.push(now));
        rest = later;
    }
    out
}

fn required(last: Option<&str>) -> EventSplitter {
    EventSplitter::new(IdRule::Required, last.map(id))
}

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

proptest! {
    #[test]
    fn events_are_unchanged_for_any_chunking(
        cuts in prop::collection::vec(1..9_usize, 1..80),
        ends in prop::collection::vec(0..LINE_ENDS.len(), 1..12),
    ) {
        let event = |(index, end): (usize, &usize)| {
            let end = LINE_ENDS[*end];
            format!("weights:2{end}id: {index}{end}data: a{end}: note{end}data: b{end}{end}")
        };
        let whole: String = ends.iter().enumerate().map(event).collect();
        let bytes = format!("{whole}id: 99\ndata: par").into_bytes();
        let mut splitter = required(None);
        let out = split(&mut splitter, &bytes, &cuts);
        prop_assert_eq!(joined(&out), whole.into_bytes());
        prop_assert!(splitter.is_partial());
        prop_assert_eq!(splitter.spoiled(), None);
        let found: Vec<EventId> = out.iter().filter_map(|it| it.id).collect();
        let expected: Vec<EventId> = (0..ends.len()).map(|it| id(&it.to_string())).collect();
        prop_assert_eq!(found, expected);
    }

    /// Guards against events after a spoiled one, and against ids that do not rise, whatever bytes arrive.
    #[test]
    fn returned_ids_rise_for_any_bytes(
        at in 0..60_usize,
        bytes in prop::collection::vec(any::<u8>(), 0..4),
        cuts in prop::collection::vec(1..9_usize, 1..20),
    ) {
        let mut stream = b"id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\r\ndata: c\r\n\r\nid: 10\ndata: d\n\n".to_vec();
        let end = (at + bytes.len()).min(stream.len());
        stream.splice(at..end, bytes);
        let mut splitter = required(Some("6"));
        let out = split(&mut splitter, &stream, &cuts);
        prop_assert!(stream.starts_with(&joined(&out)));
        let found: Vec<EventId> = out.iter().filter_map(|it| it.id).collect();
        prop_assert!(found.is_sorted_by(|a, b| a < b));
        prop_assert!(found.first().is_none_or(|it| id("6") < *it));
        if splitter.spoiled().is_some() {
            prop_assert!(splitter.push(b"id: 99\ndata: e\n\n").is_empty());
        }
    }
}

#[test]
fn an_event_whose_id_cannot_be_used_ends_a_stream_that_may_be_resumed() {
    let long = format!("id: {}\ndata: b\n\n", "9".repeat(30));
    for (spoiled, why) in [
        ("id: 3\u{1}\ndata: b\n\n", SpoiledEvent::UnreadableId),
        ("id: 3\0\ndata: b\n\n", SpoiledEvent::UnreadableId),
        ("id: 3\u{c}\ndata: b\n\n", SpoiledEvent::UnreadableId),
        ("id: +3\ndata: b\n\n", SpoiledEvent::UnreadableId),
        ("id: three\ndata: b\n\n", SpoiledEvent::UnreadableId),
        ("id:\ndata: b\n\n", SpoiledEvent::UnreadableId),
        ("id\ndata: b\n\n", SpoiledEvent::UnreadableId),
        (long.as_str(), SpoiledEvent::UnreadableId),
        ("\u{feff}id: 3\ndata: b\n\n", SpoiledEvent::NoId),
        ("ix: 3\ndata: b\n\n", SpoiledEvent::NoId),
        ("data: b\n\n", SpoiledEvent::NoId),
        ("id: 3\ndata: b\nid: 4\ndata: c\n\n", SpoiledEvent::SeveralIds),
        ("id: 2\ndata: b\n\n", SpoiledEvent::RepeatedId),
        ("id: 0\ndata: b\n\n", SpoiledEvent::RepeatedId),
    ] {
        let mut splitter = required(None);
        let out = splitter.push(format!("id: 2\ndata: a\n\n{spoiled}id: 9\n\n").as_bytes());
        assert_eq!(ids(&out), [Some(id("2"))], "{spoiled:?}");
        assert_eq!(splitter.spoiled(), Some(why), "{spoiled:?}");
        assert_eq!(splitter.last(), Some(id("2")), "{spoiled:?}");
    }
}

#[test]
fn comments_and_blank_lines_need_no_id() {
    for part in [": still here\n\n", "\n", "\r\n\r\n", "retry: 100\n\n"] {
        let mut splitter = required(None);
        let stream = format!("id: 2\ndata: a\n\n{part}id: 3\ndata: b\n\n{part}");
        let out = split(&mut splitter, stream.as_bytes(), &[1]);
        assert_eq!(joined(&out), stream.as_bytes(), "{part:?}");
        assert_eq!((splitter.spoiled(), splitter.last()), (None, Some(id("3"))), "{part:?}");
        assert!(!splitter.is_partial(), "{part:?}");
    }
}

#[test]
fn a_byte_order_mark_may_only_begin_a_stream() {
    let mut splitter = required(None);
    let out = splitter.push("\u{feff}id: 0\ndata: a\n\n".as_bytes());
    assert_eq!(ids(&out), [Some(id("0"))]);
    assert_eq!(joined(&out), "\u{feff}id: 0\ndata: a\n\n".as_bytes());
    splitter.push("\u{feff}id: 1\ndata: a\n\n".as_bytes());
    assert_eq!(splitter.spoiled(), Some(SpoiledEvent::NoId));
}

#[test]
fn a_stream_that_is_not_resumed_needs_no_ids_but_may_not_repeat_one() {
    let mut splitter = EventSplitter::new(IdRule::Optional, None);
    let out = splitter.push(b"data: a\n\nid: x\n\nid: 4\ndata: b\n\nid: 4\ndata: c\n\n");
    assert_eq!(ids(&out), [None, None, Some(id("4"))]);
    assert_eq!(splitter.spoiled(), Some(SpoiledEvent::RepeatedId));
}
