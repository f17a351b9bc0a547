//! Prompts of generation requests: the parts that requests share, and what caching them saves.

use serde::{Deserialize, Serialize};

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Id; equal ids mean equal tokens.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Prompt of a generation request, and the limit of its output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Number of tokens in the prompt.
    pub tokens_in: u32,
    /// Maximum number of output tokens.
    pub tokens_out: u32,
    /// Parts in order; the last one belongs to this request or its session.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Number of tokens that an engine's cache may hold from other requests: all parts but the
    /// last.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|it| it.tokens).sum()
    }

    /// The parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Routing key that requests with the longest shared prefix have in common; `None` if no part
    /// is shared.
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].id)
    }

    /// Number of tokens to process without a cache.
    pub fn tokens_to_read(&self) -> u32 {
        let listed: u32 = self.parts.iter().map(|it| it.tokens).sum();
        self.tokens_in.max(listed)
    }
}
