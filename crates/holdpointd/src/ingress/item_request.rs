//! Requests for work items to the instance that batches for a service, and their results.

use holdpoint_core::{
    admitted_work::LaterStage,
    confinement::Confinement,
    ids::{Millis, Name},
    quarantine::Fingerprint,
    stage_graph::{NoResult, WorkItem},
};
use serde::{Deserialize, Serialize};

/// A request for one work item. Times are durations, since the clocks of instances differ.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ItemRequest {
    /// The work item.
    pub(crate) work: WorkItem,
    /// Route of its request; empty if sent by a peer of an earlier version.
    #[serde(default)]
    pub(crate) route: Name,
    /// Milliseconds until its result is due to meet the latency objective; negative if this has passed.
    pub(crate) due_in_ms: i64,
    /// Milliseconds until its request times out.
    pub(crate) left_ms: Millis,
    /// Rank of its request; 0 comes first.
    pub(crate) rank: u32,
    /// Size of its result in bytes.
    pub(crate) bytes: u64,
    /// Failure domain that most of its inputs come from or that its result is read in.
    pub(crate) domain: String,
    /// Bytes transferred between failure domains if it runs in another one.
    pub(crate) near_bytes: u64,
    /// Milliseconds until its result is of no use to the request; negative if this has passed. The serialised
    /// name is that of earlier versions.
    #[serde(rename = "give_up_in_ms")]
    pub(crate) deadline_in_ms: i64,
    /// Milliseconds until its result is due once it cannot meet the objective. Peers of earlier versions send
    /// none; `deadline_in_ms` applies then.
    #[serde(default)]
    pub(crate) late_due_in_ms: Option<i64>,
    /// Whether it is refused at once if it cannot be in time, as its request has used no capacity yet.
    pub(crate) is_refusable: bool,
    /// Milliseconds until its inputs expire.
    #[serde(default)]
    pub(crate) inputs_for_ms: Option<Millis>,
    /// Inputs that can be released once all items requested together have them, with the service that stores
    /// each; set on the first of these items.
    #[serde(default, rename = "used_up")]
    pub(crate) releasable: Vec<(Name, String)>,
    /// Regions that its request is confined to.
    #[serde(default, skip_serializing_if = "Confinement::is_free")]
    pub(crate) confinement: Confinement,
    /// Fingerprint of its request; set on the first of the items requested together. Peers of earlier versions
    /// send none.
    #[serde(default)]
    pub(crate) fingerprint: Option<Fingerprint>,
    /// The stages that follow; set on the first of the items requested together if they may be refused. Peers
    /// of earlier versions send none, and only this stage is checked then.
    #[serde(default)]
    pub(crate) chain: Option<LaterStages>,
}

/// Work items of one stage that are requested together. They differ in their indices only, so that what they have in
/// common is sent once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ItemGroup {
    first: ItemRequest,
    /// Indices of the other items within the stage.
    others: Vec<u32>,
}

impl ItemGroup {
    /// Groups an item with others that differ from it in their indices only.
    pub(crate) fn new(first: ItemRequest, others: Vec<u32>) -> ItemGroup {
        ItemGroup { first, others }
    }

    /// Number of items.
    pub(crate) fn len(&self) -> usize {
        1 + self.others.len()
    }

    /// The items, in the order of their indices.
    pub(crate) fn into_items(self) -> Vec<ItemRequest> {
        let ItemGroup { first, others } = self;
        let other = |item: u32| {
            let mut other = first.clone();
            other.work.item = item;
            other.releasable = Vec::new();
            (other.fingerprint, other.chain) = (None, None);
            other
        };
        let others: Vec<ItemRequest> = others.into_iter().map(other).collect();
        std::iter::once(first).chain(others).collect()
    }
}

/// The stages that follow the requested one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LaterStages {
    /// Stages that follow.
    pub(crate) stages: Vec<LaterStage>,
    /// Milliseconds until the last stage's results are due to meet the latency objective; negative if this has
    /// passed.
    pub(crate) end_in_ms: i64,
    /// Milliseconds until these results are of no use to the request.
    pub(crate) deadline_in_ms: i64,
    /// Whether the sender wants an error if the request can only be served late; it sends the items again then.
    #[serde(default)]
    pub(crate) accepts_late: bool,
}

/// Handle of a result, or why there is none.
pub(crate) type ItemResult = Result<String, NoResult>;
