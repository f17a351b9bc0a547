//! Splits a byte stream of server-sent events into complete events without changing any byte.

use bytes::{Bytes, BytesMut};

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<String>,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's prefix that contains no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<WholeEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let bytes = self.buffer.split_to(end).freeze();
            self.searched = 0;
            let id = event_id(&bytes);
            events.push(WholeEvent { bytes, id });
        }
        events
    }

    /// Number of bytes buffered of an event that is not complete.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Index after the next blank line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let tail = &self.buffer[from..];
        let lf_end = tail.windows(2).position(|it| it == b"\n\n").map(|it| it + 2);
        let crlf_end = tail.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
        self.searched = self.buffer.len();
        [lf_end, crlf_end].into_iter().flatten().min().map(|it| from + it)
    }
}

/// Reads the id from its own line only: the other lines of the event may hold any bytes.
fn event_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.split(|it| matches!(it, b'\n' | b'\r'));
    let id = lines.rfind(|it| it.starts_with(b"id:"))?;
    Some(std::str::from_utf8(&id[3..]).ok()?.trim().to_owned())
}
