//! Connections on which only releases of stage results travel.
//!
//! A release needs nothing of its answer, so its connection can be reused even after an answer that names no call.
//! The answers never leave this module.

use std::time::Duration;

use bytes::Bytes;
use holdpoint_adapter::headers;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use parking_lot::Mutex;

use super::{
    Clearance, Connection, Connections, DEFAULT_IDLE, HashMap, IDLE_MARGIN, IdleConnection,
    Instant, Reuse,
};
use crate::ingress::{gate::ExchangeError, received::check_head};

/// Longest body of an answer after which the connection is kept.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// A connection to a target that carries only releases. It cannot be turned back into a [`Connection`].
#[derive(Debug)]
pub(crate) struct ReleaseConnection {
    connection: Connection,
    /// How long it may be idle; zero if it is not kept.
    limit: Duration,
}

impl ReleaseConnection {
    /// Dedicates a connection on which nothing was sent yet.
    pub(crate) fn new(connection: Connection) -> Option<ReleaseConnection> {
        let is_direct = !connection.is_relayed();
        (is_direct && connection.is_fresh())
            .then_some(ReleaseConnection { connection, limit: Duration::ZERO })
    }

    /// Sends a release, and waits until an answer has arrived whole. Whether it belongs to this release is unknown,
    /// so that it only determines how long the connection is kept.
    pub(crate) async fn send(
        &mut self,
        clearance: Clearance,
        request: Request<Full<Bytes>>,
    ) -> Result<(), ExchangeError> {
        self.limit = Duration::ZERO;
        let sent = self.connection.send(clearance, request).await;
        let response = check_head(sent.map_err(|it| match it.message() {
            Some(_) => ExchangeError::NotSent,
            None => ExchangeError::Broken,
        })?)?;
        let head = headers::read_target(response.status(), response.headers());
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        body.map_err(|_| ExchangeError::Broken)?;
        if !head.is_closing {
            let limit = head.idle_limit.map(|it| it.saturating_sub(IDLE_MARGIN));
            self.limit = limit.unwrap_or(DEFAULT_IDLE);
        }
        Ok(())
    }
}

/// Idle connections for releases, at most one for each target.
#[derive(Debug, Default)]
pub(super) struct IdleReleases(Mutex<HashMap<String, IdleConnection>>);

impl IdleReleases {
    pub(super) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.0.lock().retain(|id, _| is_kept(id));
    }

    pub(super) fn close(&self, target: &str) {
        self.0.lock().remove(target);
    }

    pub(super) fn sweep(&self) {
        self.0.lock().retain(|_, it| it.is_usable(Reuse::Any));
    }
}

impl Connections {
    /// Takes the idle connection for releases to a target.
    pub(crate) fn take_release(&self, target: &str) -> Option<ReleaseConnection> {
        let idle = self.idle_releases.0.lock().remove(target)?;
        let is_usable = idle.is_usable(Reuse::Any);
        is_usable
            .then_some(ReleaseConnection { connection: idle.connection, limit: Duration::ZERO })
    }

    /// Keeps a connection for the next releases to its target.
    pub(crate) fn give_back_release(&self, used: ReleaseConnection) {
        let ReleaseConnection { connection, limit } = used;
        if limit.is_zero() || connection.sender.is_closed() {
            return;
        }
        let target = connection.remote.clone();
        let idle = IdleConnection { connection, since: Instant::now(), limit };
        self.idle_releases.0.lock().insert(target, idle);
    }
}
