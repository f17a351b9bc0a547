//! Model of an inference engine with continuous batching and a prefix cache.

use std::collections::VecDeque;

/// Maximum calls in one batch.
pub(crate) const SLOTS: usize = 16;
/// Base duration of a step.
const STEP_BASE_US: u64 = 6000;
/// Added to a step for each call in the batch.
const STEP_PER_CALL_US: u64 = 120;
/// Time to read one prompt token.
const PROMPT_TOKEN_US: f64 = 15.0;
/// Fraction of the prompt time that a cached prefix saves.
const CACHE_SAVING: f64 = 0.5;
/// Cache hit ratio that the capacity estimate assumes.
const HIT_RATIO: f64 = 0.5;
/// Maximum prefixes in the cache.
const CACHE_PREFIXES: usize = 8;

/// A call at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) request: usize,
    pub(crate) prompt: u32,
    pub(crate) left: u32,
    pub(crate) prefix: u64,
    pub(crate) deadline_us: u64,
    /// Engine time used, in microseconds.
    pub(crate) used_us: u64,
}

/// Calls that ended in one step.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    /// Calls whose output is complete.
    pub(crate) completed: Vec<Work>,
    /// Calls cancelled because their deadline has passed.
    pub(crate) dropped: Vec<Work>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) slowness: u64,
    pub(crate) waiting: VecDeque<Work>,
    pub(crate) running: Vec<Work>,
    pub(crate) is_stepping: bool,
    cache: VecDeque<u64>,
}

impl Engine {
    /// Creates an idle engine whose steps take `slowness` times as long.
    pub(crate) fn new(slowness: u64) -> Engine {
        Engine { slowness, ..Engine::default() }
    }

    /// Fills the batch from the queue. Returns the duration of the step in microseconds, and the
    /// queued calls whose deadline has passed.
    pub(crate) fn begin_step(&mut self, now_us: u64) -> (u64, Vec<Work>) {
        let mut dropped = Vec::new();
        let mut prompt_us = 0;
        while self.running.len() < SLOTS {
            let Some(mut work) = self.waiting.pop_front() else { break };
            if work.deadline_us < now_us {
                dropped.push(work);
                continue;
            }
            let reading = self.prompt_us(&work);
            work.used_us += reading;
            prompt_us += reading;
            self.cache_prefix(work.prefix);
            self.running.push(work);
        }
        let step =
            (STEP_BASE_US + STEP_PER_CALL_US * self.running.len() as u64) * self.slowness.max(1);
        (step + prompt_us, dropped)
    }

    /// Ends a step that took `took_us`.
    pub(crate) fn end_step(&mut self, now_us: u64, took_us: u64) -> StepResult {
        let mut result = StepResult::default();
        let share = took_us / self.running.len().max(1) as u64;
        for mut work in std::mem::take(&mut self.running) {
            work.used_us += share;
            work.left -= 1;
            if work.left == 0 {
                result.completed.push(work);
            } else if work.deadline_us < now_us {
                result.dropped.push(work);
            } else {
                self.running.push(work);
            }
        }
        result
    }

    /// Tokens still to be generated for all calls of this engine.
    pub(crate) fn backlog(&self) -> u64 {
        self.waiting.iter().chain(&self.running).map(|it| u64::from(it.left)).sum()
    }

    /// Whether the cache holds a prefix.
    pub(crate) fn has_prefix(&self, prefix: u64) -> bool {
        self.cache.contains(&prefix)
    }

    fn prompt_us(&self, work: &Work) -> u64 {
        let part = if self.has_prefix(work.prefix) { 1.0 - CACHE_SAVING } else { 1.0 };
        (f64::from(work.prompt) * PROMPT_TOKEN_US * part) as u64 * self.slowness.max(1)
    }

    fn cache_prefix(&mut self, prefix: u64) {
        self.cache.retain(|it| *it != prefix);
        self.cache.push_back(prefix);
        if CACHE_PREFIXES < self.cache.len() {
            self.cache.pop_front();
        }
    }
}

/// Estimated calls per second of one engine with full batches, for a mean prompt and output in
/// tokens.
pub(crate) fn capacity(prompt: f64, output: f64) -> f64 {
    let step_us = (STEP_BASE_US + STEP_PER_CALL_US * SLOTS as u64) as f64;
    // Reading a prompt occupies the engine alone; the batch shares a step.
    let read = 1.0 - CACHE_SAVING * HIT_RATIO;
    let call_us = prompt * PROMPT_TOKEN_US * read + output * step_us / SLOTS as f64;
    1e6 / call_us
}
