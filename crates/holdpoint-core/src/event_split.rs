//! Splits a byte stream of server-sent events into complete events without changing any byte, and checks that their ids
//! rise.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Byte order mark that a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Id of an event. Ids rise within a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventId(u64);

impl EventId {
    /// Reads an id; `None` unless it is a decimal number, which blanks may surround.
    pub fn parse(bytes: &[u8]) -> Option<EventId> {
        let text = std::str::from_utf8(bytes).ok()?.trim_matches([' ', '\t']);
        // The standard library also accepts a sign.
        let is_number = text.bytes().all(|it| it.is_ascii_digit());
        is_number.then(|| text.parse().ok().map(EventId))?
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<EventId>,
}

/// Which events of a stream need an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdRule {
    /// All but comments: the stream is resumed after the last event that was forwarded.
    Required,
    /// None, since the stream is not resumed.
    Optional,
}

/// Why an event and all that follows it in its stream cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoiledEvent {
    /// It has no id.
    NoId,
    /// Its id is no number.
    UnreadableId,
    /// It has several ids, so that the end of an event before it is missing.
    SeveralIds,
    /// Its id is not greater than the last one.
    RepeatedId,
}

impl SpoiledEvent {
    /// Name in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            SpoiledEvent::NoId => "no-id",
            SpoiledEvent::UnreadableId => "unreadable-id",
            SpoiledEvent::SeveralIds => "several-ids",
            SpoiledEvent::RepeatedId => "repeated-id",
        }
    }
}

/// Buffers bytes until an event is complete. Returns no event after a spoiled one.
#[derive(Debug)]
pub struct EventSplitter {
    rule: IdRule,
    /// Id that the next one has to be greater than.
    last: Option<EventId>,
    spoiled: Option<SpoiledEvent>,
    /// Whether an event was returned.
    has_begun: bool,
    buffer: BytesMut,
    /// Start of the buffer's last line.
    line_start: usize,
    /// Length of the buffer's prefix whose line ends are known.
    searched: usize,
}

impl EventSplitter {
    /// Creates a splitter for a stream that begins after the event `last`.
    pub fn new(rule: IdRule, last: Option<EventId>) -> EventSplitter {
        EventSplitter {
            rule,
            last,
            spoiled: None,
            has_begun: false,
            buffer: BytesMut::new(),
            line_start: 0,
            searched: 0,
        }
    }

    /// Appends bytes and returns the events that they complete, up to a spoiled one.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<WholeEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while self.spoiled.is_none()
            && let Some(end) = self.find_end()
        {
            let bytes = self.buffer.split_to(end).freeze();
            (self.line_start, self.searched) = (0, 0);
            match self.check(&bytes) {
                Ok(id) => events.push(WholeEvent { bytes, id }),
                Err(it) => self.spoiled = Some(it),
            }
            self.has_begun = true;
        }
        events
    }

    /// Why no more events are returned, if one was spoiled.
    pub fn spoiled(&self) -> Option<SpoiledEvent> {
        self.spoiled
    }

    /// Id of the last event that was returned, or that the stream began after.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Number of bytes buffered of an event that is not complete.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Index after the next blank lines. Lines end with LF, CR or both.
    fn find_end(&mut self) -> Option<usize> {
        while let Some(end) = self.line_end() {
            let (is_blank, next) = (end.at == self.line_start, end.next?);
            (self.line_start, self.searched) = (next, next);
            if is_blank {
                let more = &self.buffer[next..];
                return Some(next + more.iter().take_while(|it| is_line_end(it)).count());
            }
        }
        None
    }

    /// The end of the buffer's last line, if it has one.
    fn line_end(&mut self) -> Option<LineEnd> {
        let Some(length) = self.buffer[self.searched..].iter().position(is_line_end) else {
            self.searched = self.buffer.len();
            return None;
        };
        let at = self.searched + length;
        // If the LF that may belong to a blank line's CR follows later, it is another blank line.
        let next = match (self.buffer[at], self.buffer.get(at + 1)) {
            (b'\r', Some(b'\n')) => Some(at + 2),
            (b'\r', None) if at != self.line_start => None,
            _ => Some(at + 1),
        };
        self.searched = at;
        Some(LineEnd { at, next })
    }

    /// Checks the id of an event, and returns it if there is one.
    fn check(&mut self, event: &[u8]) -> Result<Option<EventId>, SpoiledEvent> {
        let event = match event.strip_prefix(BYTE_ORDER_MARK) {
            Some(it) if !self.has_begun => it,
            _ => event,
        };
        let fields = Fields::of(event);
        let id = fields.id.and_then(EventId::parse);
        if self.rule == IdRule::Required {
            match (fields.id_count, id) {
                (0, _) if fields.has_content => return Err(SpoiledEvent::NoId),
                (2.., _) => return Err(SpoiledEvent::SeveralIds),
                (1, None) => return Err(SpoiledEvent::UnreadableId),
                _ => (),
            }
        }
        if let Some(it) = id {
            if self.last.is_some_and(|last| it <= last) {
                return Err(SpoiledEvent::RepeatedId);
            }
            self.last = id;
        }
        Ok(id)
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Position of a line end, and the start of the next line; `None` if the next byte has to be seen first.
struct LineEnd {
    at: usize,
    next: Option<usize>,
}

/// What is read of an event.
#[derive(Default)]
struct Fields<'a> {
    /// Value of its last id.
    id: Option<&'a [u8]>,
    id_count: usize,
    /// Whether it has other lines than ids, comments and delays for reconnection.
    has_content: bool,
}

impl Fields<'_> {
    fn of(event: &[u8]) -> Fields<'_> {
        let mut fields = Fields::default();
        let lines = event.split(is_line_end);
        for line in lines.filter(|it| !it.is_empty()) {
            let colon = line.iter().position(|it| *it == b':').unwrap_or(line.len());
            let (name, value) = line.split_at(colon);
            match name {
                b"id" => {
                    fields.id = Some(value.strip_prefix(b":").unwrap_or(value));
                    fields.id_count += 1;
                }
                b"" | b"retry" => (),
                _ => fields.has_content = true,
            }
        }
        fields
    }
}
