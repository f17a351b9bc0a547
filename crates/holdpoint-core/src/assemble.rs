//! Puts the chunks of a stream in order.

use std::collections::BTreeMap;

/// What a stream has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More chunks are to come.
    Open,
    /// Every chunk up to the end mark has been handed out.
    Whole,
}

/// Orders chunks by their index, drops repeated ones and knows which one is missing.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    next: u64,
    early: BTreeMap<u64, String>,
    end: Option<u64>,
    dropped: u64,
}

impl Assembler {
    /// Makes an assembler that expects chunk 0 first.
    pub fn new() -> Assembler {
        Assembler::default()
    }

    /// Makes an assembler that expects chunk `next` first.
    pub fn with_next(next: u64) -> Assembler {
        Assembler { next, ..Assembler::default() }
    }

    /// Takes in a chunk.
    pub fn push(&mut self, index: u64, text: String) {
        if index < self.next || self.early.contains_key(&index) {
            self.dropped += 1;
            return;
        }
        self.early.insert(index, text);
    }

    /// Takes in the end mark, which says how many chunks the stream has.
    pub fn end(&mut self, chunks: u64) {
        self.end = Some(chunks);
    }

    /// Hands out the next chunk in order, with its index.
    pub fn pop(&mut self) -> Option<(u64, String)> {
        let text = self.early.remove(&self.next)?;
        let index = self.next;
        self.next += 1;
        Some((index, text))
    }

    /// Index of the first chunk that has not been handed out.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Number of repeated chunks dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether the stream is whole.
    pub fn progress(&self) -> Progress {
        if self.end.is_some_and(|it| it <= self.next) { Progress::Whole } else { Progress::Open }
    }
}
