//! Stand-in for the platform's list of live and draining instances and targets, which may be stale.

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
    current: Mutex<Listing>,
    served: Mutex<Listing>,
    stale: Mutex<bool>,
    outage: Mutex<bool>,
}

/// Server of the list.
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
            current: Mutex::new(empty()),
            served: Mutex::new(empty()),
            stale: Mutex::new(false),
            outage: Mutex::new(false),
        });
        let router = Router::new().route("/list", get(serve)).with_state(inner.clone());
        ListStandin { server: Server::start(router).await, inner }
    }

    /// Address as `IP:port`.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// While set, keeps serving the list as it was when set, ignoring changes.
    pub fn set_stale(&self, stale: bool) {
        *self.inner.stale.lock() = stale;
        self.publish();
    }

    /// While set, rejects every read with status 503.
    pub fn set_outage(&self, outage: bool) {
        *self.inner.outage.lock() = outage;
    }

    /// Lists an instance, replacing any with the same name.
    pub fn add_instance(&self, name: &str, peers: &str) {
        let mut current = self.inner.current.lock();
        current.instances.retain(|it| it.name != name);
        let (name, peers) = (name.to_owned(), peers.to_owned());
        current.instances.push(ListedInstance { name, peers, state: ListState::Live });
        drop(current);
        self.publish();
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        self.inner.current.lock().instances.retain(|it| it.name != name);
        self.publish();
    }

    /// Lists a target, replacing any with the same address.
    pub fn add_target(&self, target: ListedTarget) {
        let mut current = self.inner.current.lock();
        current.targets.retain(|it| it.address != target.address);
        current.targets.push(target);
        drop(current);
        self.publish();
    }

    /// Marks a target as draining.
    pub fn drain_target(&self, address: &str) {
        let mut current = self.inner.current.lock();
        let found = current.targets.iter_mut().find(|it| it.address == address);
        if let Some(it) = found {
            it.state = ListState::Leaving;
        }
        drop(current);
        self.publish();
    }

    fn publish(&self) {
        if !*self.inner.stale.lock() {
            *self.inner.served.lock() = self.inner.current.lock().clone();
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
