//! HTTP calls over pooled connections, with failures sorted by what they prove.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// Idle connections are closed before a target would: one that it closes while a call is being
/// written leaves that call's outcome unknown.
const IDLE: Duration = Duration::from_secs(10);
/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_millis(1000);

/// Why a call gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// No answer in time; the call may have been acted on.
    Timeout,
    /// The connection broke after it was made; the call may have been acted on.
    Broken,
    /// The answer was not of the expected form.
    BadAnswer,
    /// The answer was larger than is read.
    TooLarge,
    /// The answer had this status.
    Status(u16),
    /// The answer belonged to another attempt.
    Crossed,
}

impl CallError {
    /// Whether the error proves that the call never left this process.
    pub fn is_never_sent(self) -> bool {
        self == CallError::NotConnected
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Makes HTTP calls; clones share their connections.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Http {
    fn default() -> Http {
        Http::new()
    }
}

impl Http {
    /// Makes a client with no connections.
    pub fn new() -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .retry_canceled_requests(false)
            .build(connector);
        Http { client }
    }

    /// Makes a call and reads the whole answer.
    pub async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let whole = async {
            let (head, body) = self.open(method, address, path, headers, body).await?.into_parts();
            let body = Limited::new(body, MAX_ANSWER).collect().await.map_err(|it| {
                if it.is::<LengthLimitError>() { CallError::TooLarge } else { CallError::Broken }
            })?;
            Ok(Reply { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        tokio::time::timeout(limit, whole).await.unwrap_or(Err(CallError::Timeout))
    }

    /// Makes a call and returns once the head of the answer is there.
    pub async fn open(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, CallError> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if !body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        // Only a header or an address that is no HTTP text fails here: nothing is sent.
        let request =
            request.body(Full::new(Bytes::from(body))).map_err(|_| CallError::NotConnected)?;
        self.client
            .request(request)
            .await
            .map_err(|it| if it.is_connect() { CallError::NotConnected } else { CallError::Broken })
    }
}
