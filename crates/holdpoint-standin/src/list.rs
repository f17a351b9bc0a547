//! Stand-in for the platform's lagging list of live and leaving instances.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use axum::{
    Router,
    extract::State,
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
    routing::get,
};
use holdpoint_schema::platform::{ListState, ListedInstance, ListedTarget, Listing};
use parking_lot::Mutex;

use crate::serve::Server;

#[derive(Debug)]
struct Inner {
    truth: Mutex<Listing>,
    served: Mutex<Listing>,
    stale: Mutex<bool>,
    outage: Mutex<bool>,
}

/// The stand-in.
#[derive(Debug)]
pub struct ListStandin {
    server: Server,
    inner: Arc<Inner>,
}

impl ListStandin {
    /// Starts with an empty list.
    pub async fn start() -> ListStandin {
        let empty = || Listing { instances: Vec::new(), targets: Vec::new() };
        let inner = Arc::new(Inner {
            truth: Mutex::new(empty()),
            served: Mutex::new(empty()),
            stale: Mutex::new(false),
            outage: Mutex::new(false),
        });
        let router = Router::new().route("/list", get(serve)).with_state(inner.clone());
        ListStandin { server: Server::start(router).await, inner }
    }

    /// Address, as IP number and port.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Keeps serving the list as it is now, whatever changes, until switched off.
    pub fn set_stale(&self, stale: bool) {
        *self.inner.stale.lock() = stale;
        self.publish();
    }

    /// Refuses every read until switched off.
    pub fn set_outage(&self, outage: bool) {
        *self.inner.outage.lock() = outage;
    }

    /// Lists an instance, in place of any of the same name.
    pub fn add_instance(&self, name: &str, peers: &str) {
        let mut truth = self.inner.truth.lock();
        truth.instances.retain(|it| it.name != name);
        let (name, peers) = (name.to_owned(), peers.to_owned());
        truth.instances.push(ListedInstance { name, peers, state: ListState::Live });
        drop(truth);
        self.publish();
    }

    /// Takes an instance off the list.
    pub fn remove_instance(&self, name: &str) {
        self.inner.truth.lock().instances.retain(|it| it.name != name);
        self.publish();
    }

    /// Lists a target, in place of any at the same address.
    pub fn add_target(&self, target: ListedTarget) {
        let mut truth = self.inner.truth.lock();
        truth.targets.retain(|it| it.address != target.address);
        truth.targets.push(target);
        drop(truth);
        self.publish();
    }

    /// Marks a target as leaving.
    pub fn leave_target(&self, address: &str) {
        let mut truth = self.inner.truth.lock();
        let found = truth.targets.iter_mut().find(|it| it.address == address);
        if let Some(it) = found {
            it.state = ListState::Leaving;
        }
        drop(truth);
        self.publish();
    }

    fn publish(&self) {
        if !*self.inner.stale.lock() {
            *self.inner.served.lock() = self.inner.truth.lock().clone();
        }
    }
}

async fn serve(State(inner): State<Arc<Inner>>, headers: HeaderMap) -> Response {
    if *inner.outage.lock() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let body = serde_json::to_string(&*inner.served.lock()).unwrap_or_default();
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    let tag = format!("\"{:016x}\"", hasher.finish());
    let known = headers.get(header::IF_NONE_MATCH).and_then(|it| it.to_str().ok());
    if known == Some(tag.as_str()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(header::ETAG, tag), (header::CONTENT_TYPE, "application/json".to_owned())], body)
        .into_response()
}
