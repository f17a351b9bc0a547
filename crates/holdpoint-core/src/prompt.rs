//! Prompts of generations: parts that requests share, and what a cached part saves.

use serde::{Deserialize, Serialize};

/// A part of a prompt, in its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Id; the same id means the same tokens.
    pub id: u64,
    /// Tokens in it.
    pub tokens: u32,
}

/// What a generation reads and may write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Model.
    pub model: String,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Most tokens out.
    pub tokens_out: u32,
    /// Parts; the last one is the request's own or its session's.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Tokens that other requests may have left in an engine's cache: all parts but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|it| it.tokens).sum()
    }

    /// Key under which requests that share the longest prefix meet; `None` where none is shared.
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].id)
    }

    /// Tokens that have to be read for the request, the cache left aside.
    pub fn tokens_to_read(&self) -> u32 {
        let listed: u32 = self.parts.iter().map(|it| it.tokens).sum();
        self.tokens_in.max(listed)
    }
}
