//! Stage results that targets store for a request until it no longer needs them.
//!
//! Dropping the set releases the results.

use std::{collections::HashMap, sync::Arc};

use holdpoint_adapter::stages as wire;
use holdpoint_core::{
    confinement::{Within, is_within},
    ids::Name,
};

use crate::ingress::{context::Context, shared::IngressShared};

/// Results stored for a request. Dropping them releases them.
pub(crate) struct StoredResults {
    shared: Arc<IngressShared>,
    /// Regions that the request was confined to when the results were last checked against them.
    within: Within,
    /// Services by handle.
    handles: HashMap<String, Name>,
}

impl StoredResults {
    /// Creates an empty set for a request.
    pub(crate) fn new(ctx: &Context) -> StoredResults {
        StoredResults { shared: ctx.shared.clone(), within: ctx.within(), handles: HashMap::new() }
    }

    /// Adds results of a service.
    pub(crate) fn add(&mut self, service: &str, handles: &[String]) {
        self.handles.extend(handles.iter().map(|it| (it.clone(), service.to_owned())));
    }

    /// Applies new bounds of the request: releases the results stored outside of them, and returns their
    /// handles.
    pub(crate) fn confine(&mut self, within: &Within) -> Vec<String> {
        if self.within == *within {
            return Vec::new();
        }
        let is_outside = |it: &&String| {
            let maker = wire::producer(it).and_then(|it| self.shared.target_at(it));
            let domain = maker.map_or_else(String::new, |it| it.domain);
            !is_within(within.as_deref(), &domain)
        };
        let outside: Vec<String> = self.handles.keys().filter(is_outside).cloned().collect();
        self.release(&outside);
        self.within = within.clone();
        outside
    }

    /// Removes results that were already released by the call that consumed them.
    pub(crate) fn remove(&mut self, handles: &[String]) {
        handles.iter().for_each(|it| drop(self.handles.remove(it)));
    }

    /// Whether all of these results are stored and not released.
    pub(crate) fn has(&self, handles: &[String]) -> bool {
        handles.iter().all(|it| self.handles.contains_key(it))
    }

    /// Releases results.
    pub(crate) fn release(&mut self, handles: &[String]) {
        for handle in handles {
            if let Some(service) = self.handles.remove(handle) {
                self.shared.releases.release(&service, handle.clone());
            }
        }
    }
}

impl Drop for StoredResults {
    fn drop(&mut self) {
        for (handle, service) in self.handles.drain() {
            self.shared.releases.release(&service, handle);
        }
    }
}

/// Results of a request's last stages.
pub(crate) struct StageResults {
    /// Handles for the request's own service.
    pub(crate) inputs: Vec<String>,
    /// Their bytes by the failure domain that stores them.
    pub(crate) domain_bytes: Vec<(Name, u64)>,
    /// Releases them when dropped.
    held: StoredResults,
    is_released: bool,
}

impl StageResults {
    /// Creates the results from their handles, their sizes by failure domain, and the set that stores them.
    pub(crate) fn new(
        inputs: Vec<String>,
        domain_bytes: Vec<(Name, u64)>,
        held: StoredResults,
    ) -> StageResults {
        StageResults { inputs, domain_bytes, held, is_released: false }
    }

    /// Whether the request's bounds are those that the results were made under.
    pub(crate) fn match_bounds(&self, within: &Within) -> bool {
        self.inputs.is_empty() || self.held.within == *within
    }

    /// Releases the results. A target that fetches them later declines the request, and the stages run again.
    pub(crate) fn release(&mut self) {
        self.held.release(&self.inputs);
        self.is_released = true;
    }

    /// Whether another send can use the results.
    pub(crate) fn is_usable(&self, within: &Within) -> bool {
        self.match_bounds(within) && (self.inputs.is_empty() || !self.is_released)
    }
}
