//! Reorders the chunks of a stream.

use std::collections::BTreeMap;

/// State of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More chunks are expected.
    Open,
    /// All chunks before the end mark have been returned.
    Whole,
}

/// Orders chunks by index and drops duplicates.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    next: u64,
    buffered: BTreeMap<u64, String>,
    end: Option<u64>,
    dropped: u64,
}

impl Assembler {
    /// Creates an assembler that expects chunk 0 first.
    pub fn new() -> Assembler {
        Assembler::default()
    }

    /// Creates an assembler that expects chunk `next` first.
    pub fn with_next(next: u64) -> Assembler {
        Assembler { next, ..Assembler::default() }
    }

    /// Adds a chunk.
    pub fn push(&mut self, index: u64, text: String) {
        if index < self.next || self.buffered.contains_key(&index) {
            self.dropped += 1;
            return;
        }
        self.buffered.insert(index, text);
    }

    /// Records the end mark, which gives the number of chunks of the stream.
    pub fn end(&mut self, chunks: u64) {
        self.end = Some(chunks);
    }

    /// Returns the next chunk in order, with its index.
    pub fn pop(&mut self) -> Option<(u64, String)> {
        let text = self.buffered.remove(&self.next)?;
        let index = self.next;
        self.next += 1;
        Some((index, text))
    }

    /// Index of the first chunk that has not been returned.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Number of duplicate chunks that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether all chunks of the stream have been returned.
    pub fn progress(&self) -> Progress {
        if self.end.is_some_and(|it| it <= self.next) { Progress::Whole } else { Progress::Open }
    }
}
