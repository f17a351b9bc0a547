//! Makes one attempt at a generation.
//!
//! Resumes the stream after a broken connection, forwards its chunks in order, and treats it as
//! complete only at the end mark.

use std::time::Duration;

use holdpoint_core::{
    assemble::{Assembler, Progress},
    ids::AttemptId,
    token::{Place, seal},
};
use holdpoint_platform::{
    CallError,
    engine::{Generated, Generation},
};
use holdpoint_schema::platform::Completion;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    metrics::label,
    shared::{Shared, raised},
    traffic::{
        job::{Sink, StreamEvent},
        stage::{AttemptError, AttemptResult, StageRun},
    },
};

/// Maximum number of times that one generation is resumed at its engine.
const MAX_RESUMES: u32 = 6;
/// Pause before a resume.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// Forwards the chunks of a generation to a caller's stream; without a sink, only collects them.
pub(crate) struct ChunkForwarder<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) sink: Option<&'a Sink>,
    pub(crate) place: Place,
}

/// A complete generation.
pub(crate) struct GenerationResult {
    pub(crate) text: String,
    pub(crate) chunks: u64,
    pub(crate) engine_ms: u64,
}

/// Makes one attempt at a generation.
pub(crate) async fn attempt(
    work: &StageRun<'_>,
    address: &str,
    id: &AttemptId,
    completion: &Completion,
    limit: Duration,
    sink: Option<&Sink>,
) -> AttemptResult {
    let job = work.job;
    let shared = &job.shared;
    let deadline = Instant::now() + limit;
    let (started, mut info) = shared.engines.start(address, id, completion, limit).await;
    let generation = match started {
        Ok(it) => it,
        Err(it) => return AttemptResult { result: Err(AttemptError::Call(it)), info },
    };
    let place = Place {
        organisation: job.organisation.clone(),
        pipeline: job.pipeline.clone(),
        request: job.request.clone(),
        stage: work.stage.name.clone(),
        target: address.to_owned(),
        attempt: id.to_string(),
        next: 0,
    };
    let mut forwarder = ChunkForwarder { shared, sink, place };
    // A stream to the caller is bounded by the request's deadline, not by the attempt's timeout.
    let deadline = if sink.is_some() {
        Instant::now() + Duration::from_millis(job.remaining())
    } else {
        deadline
    };
    let guard = CancelOnDrop::new(shared, address, id, sink.is_none());
    let result = forwarder.forward(generation, id, deadline).await;
    if !matches!(result, Err(AttemptError::Call(_))) {
        guard.disarm();
    }
    let result = result.map(|it| {
        info.cost_ms = it.engine_ms;
        json!({ "text": it.text, "chunks": it.chunks })
    });
    AttemptResult { result, info }
}

impl ChunkForwarder<'_> {
    /// Forwards a generation up to its end mark.
    pub(crate) async fn forward(
        &mut self,
        generation: Generation,
        id: &AttemptId,
        deadline: Instant,
    ) -> Result<GenerationResult, AttemptError> {
        let first = self.place.next;
        let mut generation = Some(generation);
        let mut assembler = Assembler::with_next(first);
        let mut res = GenerationResult { text: String::new(), chunks: 0, engine_ms: 0 };
        let mut resumes = 0;
        let mut hand_over = self.shared.hand_over.subscribe();
        loop {
            let Some(stream) = &mut generation else {
                if MAX_RESUMES <= resumes || deadline <= Instant::now() {
                    return Err(self.stream_error(first, CallError::Broken));
                }
                resumes += 1;
                tokio::time::sleep(RESUME_PAUSE).await;
                generation = self.resume(id, assembler.next_index(), deadline).await;
                continue;
            };
            let event = tokio::select! {
                event = tokio::time::timeout_at(deadline, stream.next()) => Some(event),
                () = raised(&mut hand_over), if self.sink.is_some() => None,
            };
            let Some(event) = event else { return Err(self.send_moved().await) };
            match event {
                Err(_) => return Err(self.stream_error(first, CallError::Timeout)),
                Ok(None) | Ok(Some(Err(_))) => generation = None,
                Ok(Some(Ok(Generated::Chunk { index, text }))) => assembler.push(index, text),
                Ok(Some(Ok(Generated::Usage { engine_ms }))) => res.engine_ms = engine_ms,
                Ok(Some(Ok(Generated::End { chunks }))) => {
                    assembler.end(chunks);
                    // Chunks before the end mark are missing: resume to read them again.
                    if assembler.progress() == Progress::Open {
                        generation = None;
                    }
                }
            }
            while let Some((index, text)) = assembler.pop() {
                res.text.push_str(&text);
                self.send_chunk(index, text).await?;
            }
            if assembler.progress() == Progress::Whole {
                res.chunks = assembler.next_index();
                self.shared.metrics.dropped_chunks.add(assembler.dropped(), &[]);
                return Ok(res);
            }
        }
    }

    async fn send_chunk(&mut self, index: u64, text: String) -> Result<(), AttemptError> {
        self.place.next = index + 1;
        let Some(sink) = self.sink else { return Ok(()) };
        let token = seal(&self.place, &self.shared.token_keys);
        let sent = sink.send(StreamEvent::Chunk { token, text }).await;
        sent.map_err(|_| AttemptError::CallerGone)
    }

    async fn resume(&self, id: &AttemptId, next: u64, deadline: Instant) -> Option<Generation> {
        self.shared.metrics.resumes.add(1, &[label("by", "instance")]);
        let limit = deadline.saturating_duration_since(Instant::now());
        self.shared.engines.resume(&self.place.target, id, next, limit).await.ok()
    }

    async fn send_moved(&self) -> AttemptError {
        let token = seal(&self.place, &self.shared.token_keys);
        let sink = self.sink.expect("only a stream is handed over");
        // Fails if the caller has disconnected; it can resume with its last token.
        drop(sink.send(StreamEvent::Moved { token }).await);
        AttemptError::Moved
    }

    /// Error of a broken stream. Once the caller has part of it, no other attempt may follow.
    fn stream_error(&self, first: u64, error: CallError) -> AttemptError {
        let is_partly_sent = self.sink.is_some() && first < self.place.next;
        if is_partly_sent { AttemptError::Cut } else { AttemptError::Call(error) }
    }
}

/// Cancels an abandoned generation when dropped, so that its engine stops working on it.
struct CancelOnDrop {
    engines: holdpoint_platform::EngineClient,
    address: String,
    attempt: String,
    is_armed: bool,
}

impl CancelOnDrop {
    fn new(shared: &Shared, address: &str, id: &AttemptId, is_armed: bool) -> CancelOnDrop {
        CancelOnDrop {
            engines: shared.engines.clone(),
            address: address.to_owned(),
            attempt: id.to_string(),
            is_armed,
        }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        let engines = self.engines.clone();
        let (address, attempt) = (self.address.clone(), self.attempt.clone());
        runtime.spawn(async move { engines.cancel(&address, &attempt).await });
    }
}
