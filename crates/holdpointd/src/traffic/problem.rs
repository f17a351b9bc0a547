//! Problem documents for callers (RFC 9457). Each states whether the request was run.

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use holdpoint_core::ledger::{Ledger, NotRun};
use holdpoint_schema::caller;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal $status:literal $title:literal;)*) => {
        /// Kinds of problems.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum ProblemKind {
            $($(#[$doc])* $name,)*
        }

        impl ProblemKind {
            /// Name, as in the problem's type URN.
            pub fn name(self) -> &'static str {
                match self { $(ProblemKind::$name => $text,)* }
            }

            /// HTTP status code.
            pub fn status(self) -> u16 {
                match self { $(ProblemKind::$name => $status,)* }
            }

            /// Title.
            pub fn title(self) -> &'static str {
                match self { $(ProblemKind::$name => $title,)* }
            }
        }
    };
}

kinds! {
    /// The instance takes no new work.
    NotReady = "not-ready" 503 "This instance takes no new work now";
    /// No caller key, or an unknown one.
    Unauthorized = "unauthorized" 401 "The caller key is missing or not known";
    /// The organisation may not call this pipeline.
    Forbidden = "forbidden" 403 "The organisation may not do this";
    /// The pipeline does not exist.
    NoPipeline = "no-pipeline" 404 "The pipeline does not exist";
    /// The body or a header is not valid.
    BadRequest = "bad-request" 400 "The request is not valid";
    /// The body did not arrive in time.
    SlowBody = "slow-body" 408 "The body did not arrive in time";
    /// The body is over the limit.
    TooLarge = "too-large" 413 "The body is too large";
    /// The pipeline may not be repeated, so it needs an idempotency key.
    KeyMissing = "key-missing" 400 "This pipeline needs an Idempotency-Key";
    /// The idempotency key is not a UUID of version 7, or lies in the future.
    KeyInvalid = "key-invalid" 400 "The Idempotency-Key is not a current UUID of version 7";
    /// The idempotency key is too old.
    KeyExpired = "key-expired" 422 "The Idempotency-Key is too old";
    /// The idempotency key was used with another body.
    KeyMismatch = "key-mismatch" 422 "The Idempotency-Key was used with another body";
    /// The first request with this key is still running.
    InProgress = "in-progress" 409 "The first request with this key is still running";
    /// The outcome of the first request with this key is not known.
    OutcomeUnknown = "outcome-unknown" 502 "The outcome is not known";
    /// The log could not record the claim in time.
    LogUnavailable = "log-silent" 503 "The claim could not be recorded in time";
    /// The organisation has too many requests in flight.
    OrganisationLimit = "organisation-limit" 429 "The organisation has too many requests in flight";
    /// The request would not be answered in time.
    Overload = "overload" 503 "The request would not be answered in time";
    /// The caller's deadline is shorter than the expected processing time.
    DeadlineTooShort = "deadline-too-short" 504 "The patience is shorter than the work takes";
    /// The deadline passed.
    Deadline = "deadline" 504 "The deadline passed";
    /// No target is available for a stage.
    NoTarget = "no-target" 503 "A stage has no target to go to";
    /// A stage failed.
    StageFailed = "stage-failed" 502 "A stage failed";
    /// The resume token is not accepted.
    BadToken = "bad-token" 400 "The resume token is not accepted";
    /// The stream is no longer available.
    StreamGone = "stream-gone" 410 "The stream is no longer held";
}

/// A problem to be sent to a caller.
#[derive(Clone, Debug)]
pub struct Problem {
    kind: ProblemKind,
    run: caller::Run,
    detail: Option<String>,
    path: Option<String>,
    request: Option<String>,
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem of a request that was not run, as the proof shows.
    pub fn not_run(kind: ProblemKind, _proof: NotRun) -> Problem {
        Problem::new(kind, caller::Run::No)
    }

    /// Creates a problem of a request that may have been run.
    pub fn may_have_run(kind: ProblemKind) -> Problem {
        Problem::new(kind, caller::Run::Unknown)
    }

    /// Creates a problem found before any call to a target could be made.
    pub fn before_start(kind: ProblemKind) -> Problem {
        match Ledger::new().close() {
            Ok(proof) => Problem::not_run(kind, proof),
            Err(_) => Problem::may_have_run(kind),
        }
    }

    /// Creates a problem of a request with this ledger and closes the ledger permanently.
    pub fn of_ledger(kind: ProblemKind, ledger: &Ledger) -> Problem {
        match ledger.close() {
            Ok(proof) => Problem::not_run(kind, proof),
            Err(_) => Problem::may_have_run(kind),
        }
    }

    /// Adds a detail text.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Problem {
        self.detail = Some(detail.into());
        self
    }

    /// Adds the name of the invalid header or the JSON pointer of the invalid field.
    pub fn with_path(mut self, path: impl Into<String>) -> Problem {
        self.path = Some(path.into());
        self
    }

    /// Adds the request id.
    pub fn with_request(mut self, request: impl Into<String>) -> Problem {
        self.request = Some(request.into());
        self
    }

    /// Adds a `Retry-After` header; `ms` is rounded up to whole seconds, at least one.
    pub fn with_retry_after(mut self, ms: u64) -> Problem {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Kind of the problem.
    pub fn kind(&self) -> ProblemKind {
        self.kind
    }

    /// Whether the request was run.
    pub fn run(&self) -> caller::Run {
        self.run
    }

    /// The problem document.
    pub fn document(&self) -> caller::Problem {
        caller::Problem {
            type_: format!("urn:holdpoint:problem:{}", self.kind.name()),
            title: self.kind.title().to_owned(),
            status: self.kind.status(),
            detail: self.detail.clone(),
            run: self.run,
            request: self.request.clone(),
            path: self.path.clone(),
        }
    }

    fn new(kind: ProblemKind, run: caller::Run) -> Problem {
        let (detail, path, request, retry_after_ms) = (None, None, None, None);
        Problem { kind, run, detail, path, request, retry_after_ms }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut reply = (status, Json(self.document())).into_response();
        let headers = reply.headers_mut();
        let problem = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, problem);
        if let Some(ms) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000).max(1)));
        }
        if self.kind == ProblemKind::Unauthorized {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        reply
    }
}
