//! What an instance asks of the one that batches a service, and what it gets.

use holdpoint_core::{
    confinement::Confinement,
    ids::{Millis, Name},
    promises::StageAhead,
    quarantine::Fingerprint,
    stage_graph::{NoResult, PieceWork},
};
use serde::{Deserialize, Serialize};

/// A piece that an instance asks for. Times are spans, since clocks differ.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PieceAsk {
    /// What to make.
    pub(crate) work: PieceWork,
    /// Route of its request; empty where a peer of an earlier version asks.
    #[serde(default)]
    pub(crate) route: Name,
    /// Milliseconds until its result should be there; negative where that is over.
    pub(crate) due_in_ms: i64,
    /// Milliseconds until its request ends.
    pub(crate) left_ms: Millis,
    /// Rank of its request; 0 goes first.
    pub(crate) rank: u32,
    /// Room that its result takes, in bytes.
    pub(crate) bytes: u64,
    /// Failure domain that most of its inputs come from or its result goes to.
    pub(crate) domain: String,
    /// Bytes that are moved between failure domains if it is made in another one.
    pub(crate) near_bytes: u64,
    /// Milliseconds until its result must be there, for the request to be served at all; negative
    /// where that is over. Peers of earlier versions know it by another name.
    #[serde(rename = "give_up_in_ms")]
    pub(crate) deadline_in_ms: i64,
    /// Milliseconds until it is made once it cannot be in time any more; peers of earlier versions name
    /// none, and then its deadline counts.
    #[serde(default)]
    pub(crate) late_due_in_ms: Option<i64>,
    /// Whether it is refused at once where it would not be there in time: nothing has been made for
    /// its request.
    pub(crate) is_refusable: bool,
    /// Milliseconds until the results that it is made from expire.
    #[serde(default)]
    pub(crate) inputs_for_ms: Option<Millis>,
    /// Inputs that nobody needs any more once all pieces asked for together have them, with the
    /// service that keeps each; stands at the first of these pieces.
    #[serde(default)]
    pub(crate) used_up: Vec<(Name, String)>,
    /// Regions that its request is confined to.
    #[serde(default, skip_serializing_if = "Confinement::is_free")]
    pub(crate) confinement: Confinement,
    /// Fingerprint of its request; stands at the first of the pieces that are asked for together. Peers of
    /// earlier versions tell none.
    #[serde(default)]
    pub(crate) fingerprint: Option<Fingerprint>,
    /// What comes after; stands at the first of the pieces that are asked for together, where they may be
    /// refused. Peers of earlier versions tell nothing, and then only their own stage counts.
    #[serde(default)]
    pub(crate) chain: Option<ChainAhead>,
}

/// What comes after the stage that pieces are asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChainAhead {
    /// Stages after it.
    pub(crate) stages: Vec<StageAhead>,
    /// Milliseconds until the last one's results should be there; negative where that is over.
    pub(crate) end_in_ms: i64,
    /// Milliseconds until they must be there, for the request to be served at all.
    pub(crate) deadline_in_ms: i64,
    /// Whether the asker wants to know that the request can only be served late, and then asks again.
    #[serde(default)]
    pub(crate) accepts_late: bool,
}

/// A result's handle, or why there is none.
pub(crate) type PieceResult = Result<String, NoResult>;
