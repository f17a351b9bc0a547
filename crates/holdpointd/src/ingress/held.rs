//! Results of stages that are held for a request until it needs them no longer.

use std::{collections::HashMap, sync::Arc};

use holdpoint_adapter::stages as wire;
use holdpoint_core::{
    confinement::{Within, is_within},
    ids::Name,
};

use crate::ingress::{context::Context, shared::IngressShared};

/// Results held for a request. Dropping them gives them up.
pub(crate) struct Held {
    shared: Arc<IngressShared>,
    /// What the request is confined to, which tells who keeps account of the results.
    within: Within,
    /// Services by handle.
    handles: HashMap<String, Name>,
}

impl Held {
    /// Holds nothing yet for a request.
    pub(crate) fn new(ctx: &Context) -> Held {
        Held { shared: ctx.shared.clone(), within: ctx.within(), handles: HashMap::new() }
    }

    /// Holds results of a service.
    pub(crate) fn keep(&mut self, service: &str, handles: &[String]) {
        self.handles.extend(handles.iter().map(|it| (it.clone(), service.to_owned())));
    }

    /// Takes in the request's bounds, and gives up the results that are kept outside of them; returns
    /// their handles.
    pub(crate) fn confine(&mut self, within: &Within) -> Vec<String> {
        if self.within == *within {
            return Vec::new();
        }
        let is_outside = |it: &&String| {
            let maker = wire::maker(it).and_then(|it| self.shared.target_at(it));
            let domain = maker.map_or_else(String::new, |it| it.domain);
            !is_within(within.as_deref(), &domain)
        };
        let outside: Vec<String> = self.handles.keys().filter(is_outside).cloned().collect();
        self.release(&outside);
        self.within = within.clone();
        outside
    }

    /// Forgets results that whoever made pieces from them has given up.
    pub(crate) fn forget(&mut self, handles: &[String]) {
        handles.iter().for_each(|it| drop(self.handles.remove(it)));
    }

    /// Whether results are there and were not given up.
    pub(crate) fn has(&self, handles: &[String]) -> bool {
        handles.iter().all(|it| self.handles.contains_key(it))
    }

    /// Gives results up.
    pub(crate) fn release(&mut self, handles: &[String]) {
        for handle in handles {
            if let Some(service) = self.handles.remove(handle) {
                self.shared.releases.release(&service, handle.clone());
            }
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        for (handle, service) in self.handles.drain() {
            self.shared.releases.release(&service, handle);
        }
    }
}

/// Results of a request's last stages.
pub(crate) struct Results {
    /// Handles for the request's own service.
    pub(crate) inputs: Vec<String>,
    /// Their bytes by the failure domain that they lie in.
    pub(crate) places: Vec<(Name, u64)>,
    /// Keeps them until they are no longer needed.
    held: Held,
}

impl Results {
    /// Makes results of handles, and of what holds them.
    pub(crate) fn new(inputs: Vec<String>, places: Vec<(Name, u64)>, held: Held) -> Results {
        Results { inputs, places, held }
    }

    /// Whether the request is confined as it was when the results were made.
    pub(crate) fn are_within(&self, within: &Within) -> bool {
        self.inputs.is_empty() || self.held.within == *within
    }

    /// Gives the results up. A target that asks for them later declines, and they are made anew.
    pub(crate) fn release(&mut self) {
        self.held.release(&self.inputs);
    }
}
