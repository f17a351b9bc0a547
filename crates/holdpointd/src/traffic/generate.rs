//! One attempt at a generation: start, resume where the connection breaks, hand chunks out in
//! order, and end only at the end mark.

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
        stage::{AttemptError, Attempted, Work},
    },
};

/// Most times one generation is resumed at its engine.
const MAX_RESUMES: u32 = 6;
/// Pause before a resume.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// Where a caller's stream goes, and how it is known.
pub(crate) struct Outlet<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) sink: Option<&'a Sink>,
    pub(crate) place: Place,
}

/// A whole generation.
pub(crate) struct Whole {
    pub(crate) text: String,
    pub(crate) chunks: u64,
    pub(crate) engine_ms: u64,
}

/// Makes one attempt at a generation.
pub(crate) async fn attempt(
    work: &Work<'_>,
    address: &str,
    id: &AttemptId,
    completion: &Completion,
    limit: Duration,
    sink: Option<&Sink>,
) -> Attempted {
    let job = work.job;
    let shared = &job.shared;
    let until = Instant::now() + limit;
    let (started, mut signs) = shared.engines.start(address, id, completion, limit).await;
    let generation = match started {
        Ok(it) => it,
        Err(it) => return Attempted { result: Err(AttemptError::Call(it)), signs },
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
    let mut outlet = Outlet { shared, sink, place };
    // A stream that has begun to reach the caller may go on to the deadline.
    let until = if sink.is_some() {
        Instant::now() + Duration::from_millis(job.remaining())
    } else {
        until
    };
    let guard = CancelOnDrop::new(shared, address, id, sink.is_none());
    let result = outlet.carry(generation, id, until).await;
    if !matches!(result, Err(AttemptError::Call(_))) {
        guard.keep();
    }
    let result = result.map(|it| {
        signs.cost_ms = it.engine_ms;
        json!({ "text": it.text, "chunks": it.chunks })
    });
    Attempted { result, signs }
}

impl Outlet<'_> {
    /// Carries a generation to its end mark.
    pub(crate) async fn carry(
        &mut self,
        generation: Generation,
        id: &AttemptId,
        until: Instant,
    ) -> Result<Whole, AttemptError> {
        let first = self.place.next;
        let mut generation = Some(generation);
        let mut assembler = Assembler::with_next(first);
        let mut whole = Whole { text: String::new(), chunks: 0, engine_ms: 0 };
        let mut resumes = 0;
        let mut hand_over = self.shared.hand_over.subscribe();
        loop {
            let Some(stream) = &mut generation else {
                if MAX_RESUMES <= resumes || until <= Instant::now() {
                    return Err(self.broken(first, CallError::Broken));
                }
                resumes += 1;
                tokio::time::sleep(RESUME_PAUSE).await;
                generation = self.resume(id, assembler.next_index(), until).await;
                continue;
            };
            let event = tokio::select! {
                event = tokio::time::timeout_at(until, stream.next()) => Some(event),
                () = raised(&mut hand_over), if self.sink.is_some() => None,
            };
            let Some(event) = event else { return Err(self.moved().await) };
            match event {
                Err(_) => return Err(self.broken(first, CallError::Timeout)),
                Ok(None) | Ok(Some(Err(_))) => generation = None,
                Ok(Some(Ok(Generated::Chunk { index, text }))) => assembler.push(index, text),
                Ok(Some(Ok(Generated::Usage { engine_ms }))) => whole.engine_ms = engine_ms,
                Ok(Some(Ok(Generated::End { chunks }))) => {
                    assembler.end(chunks);
                    // An end mark with chunks missing: read those again.
                    if assembler.progress() == Progress::Open {
                        generation = None;
                    }
                }
            }
            while let Some((index, text)) = assembler.pop() {
                whole.text.push_str(&text);
                self.hand_out(index, text).await?;
            }
            if assembler.progress() == Progress::Whole {
                whole.chunks = assembler.next_index();
                self.shared.metrics.dropped_chunks.add(assembler.dropped(), &[]);
                return Ok(whole);
            }
        }
    }

    async fn hand_out(&mut self, index: u64, text: String) -> Result<(), AttemptError> {
        self.place.next = index + 1;
        let Some(sink) = self.sink else { return Ok(()) };
        let token = seal(&self.place, &self.shared.token_keys);
        let sent = sink.send(StreamEvent::Chunk { token, text }).await;
        sent.map_err(|_| AttemptError::CallerGone)
    }

    async fn resume(&self, id: &AttemptId, next: u64, until: Instant) -> Option<Generation> {
        self.shared.metrics.resumes.add(1, &[label("by", "instance")]);
        let limit = until.saturating_duration_since(Instant::now());
        self.shared.engines.resume(&self.place.target, id, next, limit).await.ok()
    }

    async fn moved(&self) -> AttemptError {
        let token = seal(&self.place, &self.shared.token_keys);
        let sink = self.sink.expect("only a stream is handed over");
        // A caller who has gone resumes by the last token it saw.
        drop(sink.send(StreamEvent::Moved { token }).await);
        AttemptError::Moved
    }

    /// A stream of which the caller has a part can be followed by nothing else.
    fn broken(&self, first: u64, error: CallError) -> AttemptError {
        let is_partly_out = self.sink.is_some() && first < self.place.next;
        if is_partly_out { AttemptError::Cut } else { AttemptError::Call(error) }
    }
}

/// Cancels a generation that is given up, so that its engine spends no more on it.
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

    fn keep(mut self) {
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
