//! HTTP calls over pooled connections. Errors tell whether a call may have reached the target.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Maximum size of a response body.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How long an idle connection is kept. Shorter than the idle timeout of targets: if a target
/// closes a connection while a call is being written, the outcome of the call is unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Error of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// No response in time; the call may have been processed.
    Timeout,
    /// The connection broke after it was established; the call may have been processed.
    Broken,
    /// The response could not be parsed.
    BadAnswer,
    /// The response body exceeded the maximum size.
    TooLarge,
    /// The response had this status.
    Status(u16),
    /// The response belonged to another attempt.
    Crossed,
}

impl CallError {
    /// Whether the error proves that the call never left this process.
    pub fn is_never_sent(self) -> bool {
        self == CallError::NotConnected
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// HTTP client; clones share one connection pool.
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
    /// Creates a client with an empty connection pool.
    pub fn new() -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Http { client }
    }

    /// Makes a call and reads the complete response.
    pub async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let exchange = async {
            let (head, body) = self.open(method, address, path, headers, body).await?.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|it| {
                if it.is::<LengthLimitError>() { CallError::TooLarge } else { CallError::Broken }
            })?;
            Ok(Reply { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        tokio::time::timeout(limit, exchange).await.unwrap_or(Err(CallError::Timeout))
    }

    /// Makes a call and returns once the response headers have been received.
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
        // Fails only on an invalid header or address, before anything is sent.
        let request =
            request.body(Full::new(Bytes::from(body))).map_err(|_| CallError::NotConnected)?;
        self.client
            .request(request)
            .await
            .map_err(|it| if it.is_connect() { CallError::NotConnected } else { CallError::Broken })
    }
}
