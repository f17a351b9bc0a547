//! Messages that replicate state between instances, and the responding side.
//!
//! A follower sends the revision up to which it has followed this instance. The response contains the changes
//! since, or a snapshot if they are no longer kept or the follower has followed another instance before.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bytes::Bytes;
use holdpoint_core::{
    change_log::Revision,
    directory::{Directory, TargetId, TargetInstance},
    epoch::{Epoch, Position},
    evacuation::{Evacuations, LogOffset},
    ids::{Millis, Name},
    ingress::Version,
    readers::sends_configuration,
    rollout::OrdersSnapshot,
};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::ingress::{
    peer_service::TARGET_SUM_PROTOCOL,
    peers::{Peer, own_capacity},
    shared::IngressShared,
};

/// Maximum time that a response waits for an update.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(400);
/// Maximum time that a response waits until the leaders are known.
const LEADERS_WAIT: Duration = Duration::from_millis(2000);
/// Minimum number of changes in a response for these to be compressed; fewer are small anyway. 2,900 targets that join
/// within 4 s are 28 Mbit/s to 24 followers if they are not compressed.
const MIN_PACKED_CHANGES: usize = 8;
/// Size above which a configuration is not sent to peers that cannot read a packed one, unless they want a large
/// one.
const LARGE_CONFIGURATION_BYTES: usize = 32 << 10;

/// A change of the replicated state of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StateChange {
    /// A target joined or changed.
    Target(TargetInstance),
    /// A target was removed.
    TargetGone(TargetId),
    /// A peer joined or restarted; `None` if it has left.
    Peer(Name, Option<Peer>),
    /// A resource was declared; `None` if it was removed.
    Resource(String, Option<Bytes>),
}

/// Position up to which a follower has followed another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FollowPosition {
    /// Incarnation of the other instance; 0 if none was followed.
    #[serde(rename = "life")]
    pub(crate) incarnation: u64,
    /// Revision up to which its changes were applied.
    pub(crate) revision: Revision,
    /// Hash of the targets that the follower knows, for peers of earlier versions.
    pub(crate) digest: u64,
    /// Sum of the hashes of these targets, for all other peers.
    #[serde(default)]
    pub(crate) sum: Option<u64>,
    /// Version of the configuration that the other instance last reported, also if it did not send it.
    pub(crate) version: Version,
}

impl FollowPosition {
    /// The same position with the hash of the targets known here, in the form that the peer at an address reads.
    pub(crate) fn with_targets(self, shared: &IngressShared, address: &str) -> FollowPosition {
        if shared.peers.protocol_of(address) < TARGET_SUM_PROTOCOL {
            return FollowPosition { digest: shared.digest(), sum: None, ..self };
        }
        FollowPosition { digest: 0, sum: Some(shared.targets_sum()), ..self }
    }

    /// Whether the follower knows the same targets as this instance.
    fn has_targets_of(&self, shared: &IngressShared) -> bool {
        match self.sum {
            Some(it) => it == shared.targets_sum(),
            None => self.digest == shared.digest(),
        }
    }

    /// Whether the follower knows no targets.
    fn has_no_targets(&self) -> bool {
        let none = Directory::default();
        self.sum.map_or(self.digest == none.digest(), |it| it == none.sum())
    }
}

/// Request of a follower: the state that it knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FollowRequest {
    /// Version of its configuration.
    pub(crate) version: Version,
    /// How long the response may wait for an update, in milliseconds.
    pub(crate) wait_ms: Millis,
    /// Position to follow from; `None` if it only asks for a newer configuration.
    #[serde(rename = "place")]
    pub(crate) position: Option<FollowPosition>,
    /// Whether it wants a large configuration too. Instances near the store read one from there, to spare the
    /// link of the instance that they follow. Instances far from it get one, packed, from a peer, to spare the
    /// link between the regions.
    pub(crate) wants_large: bool,
    /// Offset up to which it knows the orders for failure domains; peers of earlier versions send none.
    #[serde(default)]
    pub(crate) orders: Option<LogOffset>,
    /// Epoch of the log of these orders; peers of earlier versions send none.
    #[serde(rename = "era", default)]
    pub(crate) epoch: Option<Epoch>,
    /// Offset up to which it knows that log's rollout orders; peers of earlier versions send none.
    #[serde(default)]
    pub(crate) rollouts: Option<LogOffset>,
    /// Hash of the peers that it knows, if it reads [`Content::Packed`]; peers of earlier versions send
    /// none.
    #[serde(default)]
    pub(crate) peers_digest: Option<u64>,
    /// Whether it relays updates to followers of its own.
    #[serde(default)]
    pub(crate) is_relay: bool,
    /// Whether it is starting and asks for the leaders among the instances.
    #[serde(default)]
    pub(crate) wants_leaders: bool,
}

impl FollowRequest {
    /// A request that only asks for a newer configuration.
    pub(crate) fn configuration_only(shared: &IngressShared, wants_large: bool) -> FollowRequest {
        let version = shared.configuration().version;
        let Position { epoch, offset } = shared.domains.position();
        FollowRequest {
            version,
            wait_ms: 0,
            position: None,
            wants_large,
            orders: Some(offset),
            epoch,
            rollouts: Some(shared.rollouts.position().offset),
            // Without a position, the response contains no peers.
            peers_digest: Some(0),
            is_relay: false,
            wants_leaders: false,
        }
    }
}

/// Response to a follower: the state that it does not know yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Update {
    /// Incarnation of the responding instance.
    #[serde(rename = "life")]
    pub(crate) incarnation: u64,
    /// Revision up to which the follower has followed it now.
    pub(crate) revision: Revision,
    /// Age of the last read of the store in milliseconds; `None` if it is too old.
    pub(crate) age_ms: Option<Millis>,
    /// For how long the responding instance itself has read the store without a failure, in milliseconds;
    /// `None` if it does not read it.
    #[serde(default)]
    pub(crate) steady_ms: Option<Millis>,
    /// Newest epoch of the store known to the responding instance; peers of earlier versions send none.
    #[serde(rename = "era", default)]
    pub(crate) epoch: Option<Epoch>,
    /// Version of the active configuration.
    pub(crate) version: Version,
    /// That configuration, if it is newer than the follower's and the follower wants it.
    pub(crate) configuration: Option<Bytes>,
    /// The same, packed, for followers that read packed lists.
    #[serde(default)]
    pub(crate) packed_configuration: Option<Bytes>,
    /// The evacuated failure domains, if more is known than the follower knows.
    #[serde(default)]
    pub(crate) evacuations: Option<Evacuations>,
    /// The rollout orders, if more is known than the follower knows.
    #[serde(default)]
    pub(crate) rollouts: Option<OrdersSnapshot>,
    /// Whether the responding instance knows all peers in the store rather than only some of them; peers of
    /// earlier versions send none.
    #[serde(default)]
    pub(crate) knows_peers: Option<bool>,
    /// Changes or a snapshot, if the request contained a position.
    pub(crate) content: Option<Content>,
    /// The packed [`Leaders`](crate::ingress::peers::Leaders), if they were requested and are known; peers of
    /// earlier versions send none.
    #[serde(default)]
    pub(crate) leaders: Option<Bytes>,
}

/// Changes or snapshot of targets, peers and resources.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Content {
    /// Changes since the follower's position.
    News(Vec<StateChange>),
    /// Snapshot for peers of earlier versions.
    All {
        /// The [`TargetList`] as JSON; `None` if the follower's targets are the same, or if the list here is
        /// stale and the follower knows some targets.
        targets: Option<Bytes>,
        /// Peers.
        peers: Vec<(Name, Peer)>,
        /// Resources that operators declared, by key.
        #[serde(default)]
        resources: Vec<(String, Bytes)>,
    },
    /// Changes since the follower's position, packed, for followers that read this form.
    PackedNews(Bytes),
    /// Snapshot for followers that read packed lists, without the lists that they already have.
    Packed {
        /// The packed [`TargetList`]; `None` as in [`Content::All`].
        targets: Option<Bytes>,
        /// The packed names and entries of all instances; `None` if the follower's peers are the same.
        peers: Option<Bytes>,
        /// Resources that operators declared, by key.
        resources: Vec<(String, Bytes)>,
    },
}

/// All targets that an instance knows, grouped by their common properties to keep the list small: there may be
/// thousands, and many instances request it at once after a restart.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TargetList {
    /// Targets in the store's list.
    listed: Vec<TargetGroup>,
    /// Targets whose entry may have lapsed while the store was unavailable. They may have left as well, so
    /// instances that have removed them do not add them again.
    lapsed: Vec<TargetId>,
    /// Cold targets and their remaining cold time in milliseconds.
    #[serde(default)]
    cold: Vec<(TargetId, Millis)>,
    /// Start times in milliseconds of Unix time, of targets that report them.
    #[serde(default)]
    born: Vec<(TargetId, Millis)>,
}

/// Targets that differ only in id, address and sequence.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct TargetGroup {
    service: Name,
    domain: Name,
    slots: u32,
    #[serde(rename = "is_leaving")]
    is_draining: bool,
    /// Version of their software; peers of earlier versions send none.
    #[serde(default)]
    version: String,
    /// Id, address and sequence of each target.
    members: Vec<(TargetId, String, u64)>,
}

impl TargetList {
    /// Creates the list of the targets in a directory.
    pub(crate) fn new(now: Millis, directory: &Directory) -> TargetList {
        let mut groups: BTreeMap<(&str, &str, u32, bool, &str), Vec<_>> = BTreeMap::new();
        for it in directory.listed() {
            let (service, version) = (it.service.as_str(), it.version.as_str());
            let common = (service, it.domain.as_str(), it.slots, it.is_draining, version);
            let member = (it.id.clone(), it.address.clone(), it.sequence);
            groups.entry(common).or_default().push(member);
        }
        type Common<'a> = (&'a str, &'a str, u32, bool, &'a str);
        let group = |((service, domain, slots, is_draining, version), members): (Common<'_>, _)| {
            let (service, domain) = (service.to_owned(), domain.to_owned());
            TargetGroup {
                service,
                domain,
                slots,
                is_draining,
                version: version.to_owned(),
                members,
            }
        };
        TargetList {
            listed: groups.into_iter().map(group).collect(),
            lapsed: directory.lapsed().cloned().collect(),
            cold: directory.cold(now).map(|(id, left)| (id.clone(), left)).collect(),
            born: directory.listed().filter_map(|it| Some((it.id.clone(), it.born?))).collect(),
        }
    }

    /// Whether a target is in the list, also if its entry may have lapsed.
    pub(crate) fn contains(&self, id: &str) -> bool {
        let is_listed = |it: &TargetGroup| it.members.iter().any(|it| it.0 == id);
        self.listed.iter().any(is_listed) || self.lapsed.iter().any(|it| it == id)
    }

    pub(crate) fn into_targets(self) -> (Vec<TargetInstance>, Vec<TargetId>) {
        let cold: HashMap<TargetId, Millis> = self.cold.into_iter().collect();
        let born: HashMap<TargetId, Millis> = self.born.into_iter().collect();
        let (cold, born) = (&cold, &born);
        let targets = self.listed.into_iter().flat_map(|group| {
            let TargetGroup { service, domain, slots, is_draining, version, members } = group;
            members.into_iter().map(move |(id, address, sequence)| TargetInstance {
                cold_left_ms: cold.get(&id).copied(),
                born: born.get(&id).copied(),
                id,
                service: service.clone(),
                address,
                domain: domain.clone(),
                slots,
                is_draining,
                sequence,
                version: version.clone(),
            })
        });
        (targets.collect(), self.lapsed)
    }
}

/// Responds to a request of a follower.
pub(crate) async fn respond(shared: &IngressShared, known: FollowRequest) -> Update {
    // After a restart of all instances, followers get the response once the list has been read, without
    // repeated requests.
    let _ = timeout(Duration::from_millis(known.wait_ms).min(MAX_WAIT), shared.first_read()).await;
    let mut has_news = shared.updated.subscribe();
    if !is_behind(shared, &known) && shared.fresh_age().is_some() {
        let wait = Duration::from_millis(known.wait_ms).min(MAX_WAIT);
        // After a timeout, the response contains no changes.
        let _ = timeout(wait, has_news.changed()).await;
    }
    if known.position.is_some_and(|it| needs_target_list(shared, &it)) {
        let bytes = shared.packed.targets(shared).len();
        let link_mbps = f64::from(own_capacity(&shared.settings).link_mbps);
        shared.packed.wait_turn(known.is_relay, bytes, link_mbps).await;
    }
    let (changes, revision) = shared.changes_since(known.position.map_or(0, |it| it.revision));
    let is_fresh = shared.fresh_age().is_some();
    let content = known.position.map(|position| {
        match changes.filter(|_| position.incarnation == shared.incarnation) {
            Some(it) if known.peers_digest.is_some() && MIN_PACKED_CHANGES <= it.len() => {
                Content::PackedNews(shared.packed.changes((position.revision, revision), &it))
            }
            Some(it) => Content::News(it),
            None => snapshot(shared, &position, known.peers_digest, is_fresh),
        }
    });
    let version = shared.configuration().version;
    let newer = (known.version < version).then(|| shared.configuration_bytes());
    let packs = known.peers_digest.is_some();
    let packed = newer.as_ref().filter(|_| packs);
    let packed = packed.map(|it| shared.packed.configuration(version, it));
    let link_mbps = own_capacity(&shared.settings).link_mbps;
    let is_sent = |it: &Bytes| known.wants_large || sends_configuration(it.len(), link_mbps);
    let packed_configuration = packed.filter(is_sent);
    let is_small = |it: &Bytes| known.wants_large || it.len() <= LARGE_CONFIGURATION_BYTES;
    let configuration = newer.filter(|it| !packs && is_small(it));
    let age_ms = shared.fresh_age();
    let steady_ms = shared.steady_ms();
    let evacuations = lacks_orders(shared, &known).then(|| shared.domains.state());
    let rollouts =
        lacks_rollouts(shared, &known).then(|| shared.rollouts.snapshot(shared.clock.now()));
    Update {
        incarnation: shared.incarnation,
        revision,
        age_ms,
        steady_ms,
        epoch: shared.epochs.newest(),
        version,
        configuration,
        packed_configuration,
        evacuations,
        rollouts,
        knows_peers: Some(shared.peers.is_complete()),
        content,
        leaders: if known.wants_leaders { leaders(shared).await } else { None },
    }
}

/// The packed leaders, once the peers are known here; `None` after a timeout or if the peers were not read.
async fn leaders(shared: &IngressShared) -> Option<Bytes> {
    let mut peers_known = shared.peers_known.subscribe();
    let known = async {
        // The sender lives as long as the instance.
        let _ = peers_known.wait_for(|it| *it).await;
    };
    timeout(LEADERS_WAIT, known).await.ok()?;
    shared.peers.is_complete().then(|| shared.packed.leaders(shared))
}

/// Whether a follower needs the whole list of targets: the changes since its position are no longer kept, and
/// its targets differ.
fn needs_target_list(shared: &IngressShared, position: &FollowPosition) -> bool {
    let is_kept = position.incarnation == shared.incarnation
        && shared.changes_since(position.revision).0.is_some();
    !is_kept && !position.has_targets_of(shared)
}

/// Snapshot of the state here, without the lists whose hashes equal the follower's.
fn snapshot(
    shared: &IngressShared,
    position: &FollowPosition,
    peers_digest: Option<u64>,
    is_fresh: bool,
) -> Content {
    // A stale list is of use only to followers that know no targets.
    let is_wanted = is_fresh || position.has_no_targets();
    let needs_targets = is_wanted && !position.has_targets_of(shared);
    let resources = shared.resources();
    match peers_digest {
        None => {
            let targets = needs_targets.then(|| shared.target_list());
            Content::All { targets, peers: shared.instances(), resources }
        }
        Some(digest) => {
            let targets = needs_targets.then(|| shared.packed.targets(shared));
            let peers = shared.packed.peers(shared, digest);
            Content::Packed { targets, peers, resources }
        }
    }
}

/// Whether the response is due at once: the follower lacks changes that are known here, or sent no position.
fn is_behind(shared: &IngressShared, known: &FollowRequest) -> bool {
    let is_same = |it: FollowPosition| {
        let (changes, _) = shared.changes_since(it.revision);
        it.incarnation == shared.incarnation && changes.is_some_and(|it| it.is_empty())
    };
    known.version < shared.configuration().version
        || lacks_orders(shared, known)
        || !known.position.is_some_and(is_same)
}

/// Whether the follower lacks orders for failure domains or rollout orders.
fn lacks_orders(shared: &IngressShared, known: &FollowRequest) -> bool {
    let at = |offset| Position { epoch: known.epoch, offset };
    known.orders.is_some_and(|it| shared.domains.position().is_after(at(it)))
        || lacks_rollouts(shared, known)
}

/// Whether the follower lacks rollout orders.
fn lacks_rollouts(shared: &IngressShared, known: &FollowRequest) -> bool {
    let at = |offset| Position { epoch: known.epoch, offset };
    known.rollouts.is_some_and(|it| shared.rollouts.position().is_after(at(it)))
}
