//! What instances tell each other of what they know, and the side that tells.
//!
//! An asker says how far it has followed this instance; the answer has what happened since, or all
//! that is known where that is not kept any more or another instance was followed before.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bytes::Bytes;
use holdpoint_core::{
    change_log::Revision,
    directory::{Directory, TargetId, TargetInstance},
    era::{Era, Position},
    evacuation::{Evacuations, Horizon},
    ids::{Millis, Name},
    ingress::Version,
    readers::sends_configuration,
    rollout::ToldOrders,
};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::ingress::{
    peer_service::SUMS,
    peers::{Peer, own_capacity},
    shared::IngressShared,
};

/// How long an answer waits for something new.
pub(crate) const WAIT: Duration = Duration::from_millis(400);
/// How long an answer waits for the leaders to be known.
const LEADERS_WAIT: Duration = Duration::from_millis(2000);
/// News from which on they are packed; fewer are a few kilobytes. 2,900 targets that join within 4 s are
/// some 200 bytes each as they are, to each of 24 followers: 28 Mbit/s.
const MANY_NEWS: usize = 8;
/// Size above which a configuration is not sent to peers that do not read packed ones, in bytes.
const LARGE_CONFIGURATION: usize = 32 << 10;

/// Something that is new at an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum News {
    /// A target instance joined or changed.
    Target(TargetInstance),
    /// A target instance is gone.
    TargetGone(TargetId),
    /// A peer joined or started anew, or has left.
    Peer(Name, Option<Peer>),
    /// A resource was declared, or dropped.
    Resource(String, Option<Bytes>),
}

/// How far an asker has followed another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Place {
    /// Life of the other instance; 0 where none was followed.
    pub(crate) life: u64,
    /// How far its news were taken in.
    pub(crate) revision: Revision,
    /// Hash of the targets that the asker knows, for peers of earlier versions.
    pub(crate) digest: u64,
    /// Sum of their hashes, for all others.
    #[serde(default)]
    pub(crate) sum: Option<u64>,
    /// Version of the configuration that was told of last, if not sent with it.
    pub(crate) version: Version,
}

impl Place {
    /// The same with the targets that this instance knows, in the form that the peer at an address reads.
    pub(crate) fn with_targets(self, shared: &IngressShared, address: &str) -> Place {
        if shared.peers.protocol_of(address) < SUMS {
            return Place { digest: shared.digest(), sum: None, ..self };
        }
        Place { digest: 0, sum: Some(shared.targets_sum()), ..self }
    }

    /// Whether an asker knows the same targets as this instance.
    fn has_targets_of(&self, shared: &IngressShared) -> bool {
        match self.sum {
            Some(it) => it == shared.targets_sum(),
            None => self.digest == shared.digest(),
        }
    }

    /// Whether an asker knows no targets.
    fn has_no_targets(&self) -> bool {
        let none = Directory::default();
        self.sum.map_or(self.digest == none.digest(), |it| it == none.sum())
    }
}

/// What an asker knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Known {
    /// Version of the configuration that it has.
    pub(crate) version: Version,
    /// How long an answer may wait for something new, in milliseconds.
    pub(crate) wait_ms: Millis,
    /// Where it follows from; absent where it wants no more than a later configuration.
    pub(crate) place: Option<Place>,
    /// Whether it wants a large configuration too. A narrow link would not carry one to all who follow
    /// a source, so they read it from the store where they can; those far from the store would fill the
    /// link between the regions so, and have it, packed, from within their region.
    pub(crate) wants_large: bool,
    /// How far it knows the log of orders for failure domains; peers of earlier versions know none.
    #[serde(default)]
    pub(crate) orders: Option<Horizon>,
    /// Era of that log; peers of earlier versions know none.
    #[serde(default)]
    pub(crate) era: Option<Era>,
    /// How far it knows that log's orders to roll out versions; peers of earlier versions know none.
    #[serde(default)]
    pub(crate) rollouts: Option<Horizon>,
    /// Hash of the peers that it knows, if it reads [`Content::Packed`]; peers of earlier versions do
    /// not.
    #[serde(default)]
    pub(crate) peers_digest: Option<u64>,
    /// Whether it passes on to others what it is told.
    #[serde(default)]
    pub(crate) is_relay: bool,
    /// Whether it starts, and wants to know the leaders among the instances.
    #[serde(default)]
    pub(crate) wants_leaders: bool,
}

impl Known {
    /// What an asker knows who wants no more than a later configuration.
    pub(crate) fn configuration_only(shared: &IngressShared, wants_large: bool) -> Known {
        let version = shared.configuration().version;
        let Position { era, offset } = shared.domains.position();
        Known {
            version,
            wait_ms: 0,
            place: None,
            wants_large,
            orders: Some(offset),
            era,
            rollouts: Some(shared.rollouts.position().offset),
            // Without a place, no peers are told.
            peers_digest: Some(0),
            is_relay: false,
            wants_leaders: false,
        }
    }
}

/// What is new to an asker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Update {
    /// Life of the instance that answers.
    pub(crate) life: u64,
    /// How far the asker has followed it now.
    pub(crate) revision: Revision,
    /// How long ago the store was read; none where that is too long ago.
    pub(crate) age_ms: Option<Millis>,
    /// For how long the instance that answers has read the store by itself without a failure; none
    /// where it does not.
    #[serde(default)]
    pub(crate) steady_ms: Option<Millis>,
    /// Newest era of the store that the instance which answers has heard of; peers of earlier versions tell
    /// none.
    #[serde(default)]
    pub(crate) era: Option<Era>,
    /// Version of the configuration in force.
    pub(crate) version: Version,
    /// That configuration, where it is later than the asker's and the asker wants it.
    pub(crate) configuration: Option<Bytes>,
    /// The same, packed, to those who read packed lists.
    #[serde(default)]
    pub(crate) packed_configuration: Option<Bytes>,
    /// The failure domains that are evacuated, where more is known than the asker knows.
    #[serde(default)]
    pub(crate) evacuations: Option<Evacuations>,
    /// The orders to roll out versions, where more is known than the asker knows.
    #[serde(default)]
    pub(crate) rollouts: Option<ToldOrders>,
    /// Whether the instance that answers knows the peers as the store has them, rather than a few that it
    /// has met; peers of earlier versions do not tell.
    #[serde(default)]
    pub(crate) knows_peers: Option<bool>,
    /// What else is new, where that was asked for.
    pub(crate) content: Option<Content>,
    /// The packed [`Leaders`](crate::ingress::peers::Leaders), where they were asked for and are known; peers
    /// of earlier versions tell none.
    #[serde(default)]
    pub(crate) leaders: Option<Bytes>,
}

/// What is new of targets and peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Content {
    /// What happened since the asker last heard.
    News(Vec<News>),
    /// All that is known.
    All {
        /// The [`TargetList`] as JSON, which is made once for all who ask; none where the asker's
        /// targets are the same.
        targets: Option<Bytes>,
        /// Peers.
        peers: Vec<(Name, Peer)>,
        /// Resources that operators declared, by key.
        #[serde(default)]
        resources: Vec<(String, Bytes)>,
    },
    /// What happened since the asker last heard, packed, for those who read it so.
    PackedNews(Bytes),
    /// All that is known, for those who read it so: without what they have, and compressed.
    Packed {
        /// The packed [`TargetList`]; none where the asker's targets are the same.
        targets: Option<Bytes>,
        /// The packed names and entries of all instances; none where the asker's peers are the same.
        peers: Option<Bytes>,
        /// Resources that operators declared, by key.
        resources: Vec<(String, Bytes)>,
    },
}

/// All target instances that an instance knows. There may be thousands, and many who ask at once
/// after a restart of all, so what they have in common is said once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TargetList {
    /// Those in the store's list.
    listed: Vec<TargetGroup>,
    /// Those whose entry may have lapsed while the store was away. They may have left as well, so
    /// whoever has heard that they are gone does not take them back.
    lapsed: Vec<TargetId>,
    /// Those that are cold, and for how much longer in milliseconds.
    #[serde(default)]
    cold: Vec<(TargetId, Millis)>,
    /// When their lives began, in milliseconds of Unix time, of those that tell it.
    #[serde(default)]
    born: Vec<(TargetId, Millis)>,
}

/// Target instances that have all but their names in common.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct TargetGroup {
    service: Name,
    domain: Name,
    slots: u32,
    is_leaving: bool,
    /// Version of their software; peers of earlier versions tell none.
    #[serde(default)]
    version: String,
    /// Id, address and sequence of each.
    members: Vec<(TargetId, String, u64)>,
}

impl TargetList {
    /// Makes the list of a directory.
    pub(crate) fn new(now: Millis, directory: &Directory) -> TargetList {
        let mut groups: BTreeMap<(&str, &str, u32, bool, &str), Vec<_>> = BTreeMap::new();
        for it in directory.listed() {
            let (service, version) = (it.service.as_str(), it.version.as_str());
            let common = (service, it.domain.as_str(), it.slots, it.is_leaving, version);
            let member = (it.id.clone(), it.address.clone(), it.sequence);
            groups.entry(common).or_default().push(member);
        }
        type Common<'a> = (&'a str, &'a str, u32, bool, &'a str);
        let group = |((service, domain, slots, is_leaving, version), members): (Common<'_>, _)| {
            let (service, domain) = (service.to_owned(), domain.to_owned());
            TargetGroup { service, domain, slots, is_leaving, version: version.to_owned(), members }
        };
        TargetList {
            listed: groups.into_iter().map(group).collect(),
            lapsed: directory.lapsed().cloned().collect(),
            cold: directory.cold(now).map(|(id, left)| (id.clone(), left)).collect(),
            born: directory.listed().filter_map(|it| Some((it.id.clone(), it.born?))).collect(),
        }
    }

    /// Whether a target is in the list, or its entry may have lapsed.
    pub(crate) fn knows(&self, id: &str) -> bool {
        let is_listed = |it: &TargetGroup| it.members.iter().any(|it| it.0 == id);
        self.listed.iter().any(is_listed) || self.lapsed.iter().any(|it| it == id)
    }

    pub(crate) fn into_targets(self) -> (Vec<TargetInstance>, Vec<TargetId>) {
        let cold: HashMap<TargetId, Millis> = self.cold.into_iter().collect();
        let born: HashMap<TargetId, Millis> = self.born.into_iter().collect();
        let (cold, born) = (&cold, &born);
        let targets = self.listed.into_iter().flat_map(|group| {
            let TargetGroup { service, domain, slots, is_leaving, version, members } = group;
            members.into_iter().map(move |(id, address, sequence)| TargetInstance {
                cold_left_ms: cold.get(&id).copied(),
                born: born.get(&id).copied(),
                id,
                service: service.clone(),
                address,
                domain: domain.clone(),
                slots,
                is_leaving,
                sequence,
                version: version.clone(),
            })
        });
        (targets.collect(), self.lapsed)
    }
}

/// Answers one who follows this instance.
pub(crate) async fn answer(shared: &IngressShared, known: Known) -> Update {
    // After a restart of all, those who ask have the answer as soon as it is known, and need not ask
    // again and again.
    let _ = timeout(Duration::from_millis(known.wait_ms).min(WAIT), shared.first_read()).await;
    let mut has_news = shared.has_news.subscribe();
    if !is_behind(shared, &known) && shared.fresh_age().is_some() {
        let wait = Duration::from_millis(known.wait_ms).min(WAIT);
        // Where the wait is over without news, the answer tells that there are none.
        let _ = timeout(wait, has_news.changed()).await;
    }
    if known.place.is_some_and(|it| wants_targets(shared, &it)) {
        let bytes = shared.packed.targets(shared).len();
        let link_mbps = f64::from(own_capacity(&shared.settings).link_mbps);
        shared.packed.turn(known.is_relay, bytes, link_mbps).await;
    }
    let (news, revision) = shared.news_since(known.place.map_or(0, |it| it.revision));
    let is_fresh = shared.fresh_age().is_some();
    let content = known.place.map(|place| match news.filter(|_| place.life == shared.life) {
        Some(it) if known.peers_digest.is_some() && MANY_NEWS <= it.len() => {
            Content::PackedNews(shared.packed.news((place.revision, revision), &it))
        }
        Some(it) => Content::News(it),
        None => all_known(shared, &place, known.peers_digest, is_fresh),
    });
    let version = shared.configuration().version;
    let newer = (known.version < version).then(|| shared.configuration_bytes());
    let packs = known.peers_digest.is_some();
    let packed = newer.as_ref().filter(|_| packs);
    let packed = packed.map(|it| shared.packed.configuration(version, it));
    let link_mbps = own_capacity(&shared.settings).link_mbps;
    let is_sent = |it: &Bytes| known.wants_large || sends_configuration(it.len(), link_mbps);
    let packed_configuration = packed.filter(is_sent);
    let is_small = |it: &Bytes| known.wants_large || it.len() <= LARGE_CONFIGURATION;
    let configuration = newer.filter(|it| !packs && is_small(it));
    let age_ms = shared.fresh_age();
    let steady_ms = shared.steady_ms();
    let evacuations = knows_less(shared, &known).then(|| shared.domains.state());
    let rollouts =
        knows_fewer_rollouts(shared, &known).then(|| shared.rollouts.told(shared.clock.now()));
    Update {
        life: shared.life,
        revision,
        age_ms,
        steady_ms,
        era: shared.eras.newest(),
        version,
        configuration,
        packed_configuration,
        evacuations,
        rollouts,
        knows_peers: Some(shared.peers.were_read()),
        content,
        leaders: if known.wants_leaders { leaders(shared).await } else { None },
    }
}

/// The leaders, once the peers are known here.
async fn leaders(shared: &IngressShared) -> Option<Bytes> {
    let mut peers_known = shared.peers_known.subscribe();
    let known = async {
        // The sender lives as long as the instance.
        let _ = peers_known.wait_for(|it| *it).await;
    };
    timeout(LEADERS_WAIT, known).await.ok()?;
    shared.peers.were_read().then(|| shared.packed.leaders(shared))
}

/// Whether an asker gets the whole list of targets: the news that it has missed are not kept, and its
/// targets are others.
fn wants_targets(shared: &IngressShared, place: &Place) -> bool {
    let is_kept = place.life == shared.life && shared.news_since(place.revision).0.is_some();
    !is_kept && !place.has_targets_of(shared)
}

/// All that this instance knows and an asker does not, by the hashes of what it knows.
fn all_known(
    shared: &IngressShared,
    place: &Place,
    peers_digest: Option<u64>,
    is_fresh: bool,
) -> Content {
    // What was read too long ago helps only those who know nothing.
    let is_wanted = is_fresh || place.has_no_targets();
    let is_other = is_wanted && !place.has_targets_of(shared);
    let resources = shared.resources();
    match peers_digest {
        None => {
            let targets = is_other.then(|| shared.target_list());
            Content::All { targets, peers: shared.instances(), resources }
        }
        Some(digest) => {
            let targets = is_other.then(|| shared.packed.targets(shared));
            let peers = shared.packed.peers(shared, digest);
            Content::Packed { targets, peers, resources }
        }
    }
}

/// Whether there is something new to tell already.
fn is_behind(shared: &IngressShared, known: &Known) -> bool {
    let is_same = |it: Place| {
        let (news, _) = shared.news_since(it.revision);
        it.life == shared.life && news.is_some_and(|it| it.is_empty())
    };
    known.version < shared.configuration().version
        || knows_less(shared, known)
        || !known.place.is_some_and(is_same)
}

/// Whether an asker knows less of the orders for failure domains.
fn knows_less(shared: &IngressShared, known: &Known) -> bool {
    let at = |offset| Position { era: known.era, offset };
    known.orders.is_some_and(|it| shared.domains.position().is_after(at(it)))
        || knows_fewer_rollouts(shared, known)
}

/// Whether an asker knows less of the orders to roll out versions.
fn knows_fewer_rollouts(shared: &IngressShared, known: &Known) -> bool {
    let at = |offset| Position { era: known.era, offset };
    known.rollouts.is_some_and(|it| shared.rollouts.position().is_after(at(it)))
}
