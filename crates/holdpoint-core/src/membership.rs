//! Membership of the system's own instances, exchanged by gossip.
//!
//! Each instance exchanges digests with neighbours at distances 1, 2, 4, … on the ring of names,
//! so the number of neighbours grows with the logarithm of the number of instances. A digest
//! carries only entries that changed since the last one and that the neighbour did not send itself:
//! full entries, or short acknowledgements if only the offset changed. Only an instance itself updates
//! its entry; others may only declare it stopped, which it refutes by a higher sequence. A full exchange
//! between 350 instances would cost each several times its share of bandwidth (docs/CAPACITY.md).

use std::collections::{BTreeMap, BTreeSet};

use holdpoint_schema::peer::{Ack, Digest, LeavingTarget, Member, Phase};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Incarnation, Millis, Name, Offset};

/// How long a stopped member and a drain notice are kept, in milliseconds.
const RETENTION_MS: Millis = 600_000;
/// Number of neighbours to contact while the log does not answer and a majority must be counted.
pub const WIDE_NEIGHBOURS: usize = 32;

#[derive(Clone, Debug)]
struct MemberState {
    member: Member,
    /// Hash of the incarnation, by which acknowledgements name it.
    hash: u64,
    last_seen: Millis,
    /// Version of the view at the last change of the entry.
    version: u64,
    /// Version of the view at the last change other than of the offset.
    full_version: u64,
    /// Peers that sent the current entry; it is not sent back to them.
    senders: Vec<Incarnation>,
}

impl MemberState {
    fn new(member: Member, last_seen: Millis, version: u64) -> MemberState {
        let hash = hash_incarnation(&member.incarnation);
        MemberState { member, hash, last_seen, version, full_version: version, senders: Vec::new() }
    }

    fn add_sender(&mut self, peer: &str) {
        if !self.senders.iter().any(|it| it == peer) {
            self.senders.push(peer.to_owned());
        }
    }

    /// Records a local change of the full entry, so that it is sent to all peers.
    fn mark_changed(&mut self, version: u64) {
        self.version = version;
        self.full_version = version;
        self.senders.clear();
    }
}

#[derive(Clone, Debug)]
struct DrainNotice {
    incarnation: Incarnation,
    since: Millis,
    version: u64,
}

/// Members and draining targets known to one instance.
#[derive(Clone, Debug)]
pub struct View {
    me: Incarnation,
    members: BTreeMap<Incarnation, MemberState>,
    draining: BTreeMap<String, DrainNotice>,
    /// Instances that the platform lists as live, by name, with their peer addresses.
    listed: BTreeMap<Name, String>,
    version: u64,
    peers: BTreeMap<Incarnation, ExchangeState>,
}

/// Versions up to which two views have been exchanged.
#[derive(Clone, Copy, Debug, Default)]
struct ExchangeState {
    /// Version of the peer's view that has been merged here.
    theirs: u64,
    /// Version of this view that the peer says it has merged.
    mine: u64,
}

impl View {
    /// Makes a view that contains only the instance itself.
    pub fn new(me: Member, now: Millis) -> View {
        let mut view = View {
            me: me.incarnation.clone(),
            members: BTreeMap::new(),
            draining: BTreeMap::new(),
            listed: BTreeMap::new(),
            version: 1,
            peers: BTreeMap::new(),
        };
        let known = MemberState::new(me, now, 1);
        view.members.insert(known.member.incarnation.clone(), known);
        view
    }

    /// The instance's own entry.
    pub fn me(&self) -> &Member {
        &self.members[&self.me].member
    }

    /// Version of the view; increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All known members, including stopped ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|it| &it.member)
    }

    /// Members that are not stopped.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|it| it.phase != Phase::Stopped)
    }

    /// Whether an incarnation is known and not stopped.
    pub fn is_live(&self, incarnation: &str) -> bool {
        self.members.get(incarnation).is_some_and(|it| it.member.phase != Phase::Stopped)
    }

    /// Whether an incarnation is known to have stopped.
    pub fn is_stopped(&self, incarnation: &str) -> bool {
        self.members.get(incarnation).is_some_and(|it| it.member.phase == Phase::Stopped)
    }

    /// Sets the instance's own phase and offset; the next digests carry them.
    pub fn set_me(&mut self, phase: Phase, applied: Offset, now: Millis) {
        let me = self.members.get_mut(&self.me).expect("the view holds its own instance");
        me.last_seen = now;
        if me.member.phase == phase && me.member.applied == applied {
            return;
        }
        self.version += 1;
        me.member.seq += 1;
        if me.member.phase != phase {
            me.full_version = self.version;
        }
        me.member.phase = phase;
        me.member.applied = applied;
        me.version = self.version;
        me.senders.clear();
    }

    /// Sets the platform's list of live instances. A silent member may be declared stopped only if it is
    /// not listed; every change must be applied by all listed names.
    pub fn set_listed(&mut self, listed: BTreeMap<Name, String>) {
        if self.listed != listed {
            self.version += 1;
        }
        self.listed = listed;
    }

    /// Makes a digest for a peer. It carries the changes since the version that the peer last
    /// acknowledged, so the next digest makes up for a lost one.
    pub fn digest_for(
        &self,
        peer: Option<&str>,
        head: Offset,
        confirmed_ms: Option<u64>,
    ) -> Digest {
        let known = peer.and_then(|it| self.peers.get(it)).copied().unwrap_or_default();
        let mut digest = Digest {
            from: self.me.clone(),
            head,
            confirmed_ms,
            version: self.version,
            seen: known.theirs,
            members: Vec::new(),
            acks: Vec::new(),
            leaving: self.drain_notices_since(known.mine),
        };
        let is_unsent = |it: &&MemberState| {
            known.mine < it.version
                && !peer.is_some_and(|peer| it.senders.iter().any(|by| by == peer))
        };
        for it in self.members.values().filter(is_unsent) {
            if known.mine < it.full_version {
                digest.members.push(it.member.clone());
            } else {
                digest.acks.push(Ack { i: it.hash, s: it.member.seq, a: it.member.applied });
            }
        }
        digest
    }

    /// Incarnation of the live member at a peer address.
    pub fn incarnation_at(&self, peers: &str) -> Option<&Incarnation> {
        self.live().find(|it| it.peers == peers).map(|it| &it.incarnation)
    }

    /// Merges a digest; returns whether it changed the view.
    pub fn merge(&mut self, digest: &Digest, now: Millis) -> bool {
        let before = self.version;
        let exchanged = self.peers.entry(digest.from.clone()).or_default();
        exchanged.theirs = exchanged.theirs.max(digest.version);
        exchanged.mine = exchanged.mine.max(digest.seen);
        if let Some(it) = self.members.get_mut(&digest.from) {
            it.last_seen = now;
        }
        digest.members.iter().for_each(|it| self.merge_member(it, &digest.from, now));
        self.merge_acks(&digest.acks, &digest.from, now);
        digest.leaving.iter().for_each(|it| self.set_draining(&it.address, &it.incarnation, now));
        before != self.version
    }

    fn drain_notices_since(&self, since: u64) -> Vec<LeavingTarget> {
        let newer = self.draining.iter().filter(|it| since < it.1.version);
        newer
            .map(|it| LeavingTarget {
                address: it.0.clone(),
                incarnation: it.1.incarnation.clone(),
            })
            .collect()
    }

    /// Records a drain notice, which stays valid for the target's incarnation.
    pub fn set_draining(&mut self, address: &str, incarnation: &str, now: Millis) {
        if self.is_draining(address, incarnation) {
            return;
        }
        self.version += 1;
        let incarnation = incarnation.to_owned();
        let notice = DrainNotice { incarnation, since: now, version: self.version };
        self.draining.insert(address.to_owned(), notice);
    }

    /// Whether this incarnation of a target is draining.
    pub fn is_draining(&self, address: &str, incarnation: &str) -> bool {
        self.draining.get(address).is_some_and(|it| it.incarnation == incarnation)
    }

    /// Incarnation of the latest drain notice for an address.
    pub fn draining_at(&self, address: &str) -> Option<&str> {
        self.draining.get(address).map(|it| it.incarnation.as_str())
    }

    /// Draining targets: address and incarnation.
    pub fn draining(&self) -> impl Iterator<Item = (&str, &str)> {
        self.draining.iter().map(|it| (it.0.as_str(), it.1.incarnation.as_str()))
    }

    /// Peer addresses of the neighbours: those at distances 1, 2, 4, … on the ring of names, and
    /// with `wide` also the next [`WIDE_NEIGHBOURS`], which covers all members of a small system.
    pub fn neighbours(&self, wide: bool) -> Vec<String> {
        let mut ring: BTreeMap<&str, &str> = BTreeMap::new();
        ring.extend(self.listed.iter().map(|it| (it.0.as_str(), it.1.as_str())));
        ring.extend(self.live().map(|it| (it.name.as_str(), it.peers.as_str())));
        let names: Vec<&str> = ring.keys().copied().collect();
        let me = self.me().name.as_str();
        let Some(place) = names.iter().position(|it| *it == me) else { return Vec::new() };
        let mut chosen = BTreeSet::new();
        let mut distance = 1;
        while distance < names.len() {
            let name = names[(place + distance) % names.len()];
            chosen.insert(ring[name].to_owned());
            distance *= 2;
        }
        let near = if wide { WIDE_NEIGHBOURS.min(names.len() - 1) } else { 0 };
        for distance in 1..=near {
            chosen.insert(ring[names[(place + distance) % names.len()]].to_owned());
        }
        chosen.into_iter().collect()
    }

    /// Declares members stopped that have been silent for `dead_ms` milliseconds, that the platform
    /// does not list, and whose peer address is among `watched` (those this instance talks to). Evicts
    /// expired entries.
    pub fn stop_silent(&mut self, now: Millis, dead_ms: Millis, watched: &[String]) {
        let me = self.me.clone();
        let mut version = self.version;
        for (incarnation, known) in &mut self.members {
            let is_silent = known.last_seen + dead_ms < now && *incarnation != me;
            let is_open = known.member.phase != Phase::Stopped;
            let is_listed = self.listed.get(&known.member.name) == Some(&known.member.peers);
            if is_open && is_silent && !is_listed && watched.contains(&known.member.peers) {
                known.member.phase = Phase::Stopped;
                known.member.seq += 1;
                version += 1;
                known.mark_changed(version);
            }
        }
        self.version = version;
        let is_old = |it: &MemberState| it.last_seen + RETENTION_MS < now;
        let stopped = |it: &MemberState| it.member.phase == Phase::Stopped;
        self.members.retain(|incarnation, it| *incarnation == me || !(is_old(it) && stopped(it)));
        self.draining.retain(|_, it| now < it.since + RETENTION_MS);
        let members = &self.members;
        self.peers.retain(|it, _| members.contains_key(it));
    }

    /// Names of live instances that have not applied `offset`, except draining ones. A listed name with no
    /// live member counts as missing, since its state is unknown.
    pub fn missing(&self, offset: Offset) -> Vec<Name> {
        let mut missing: BTreeSet<Name> = self
            .live()
            .filter(|it| it.applied < offset && it.phase != Phase::Draining)
            .map(|it| it.name.clone())
            .collect();
        let known: BTreeSet<&str> = self.live().map(|it| it.name.as_str()).collect();
        let unknown = self.listed.keys().filter(|it| !known.contains(it.as_str()));
        missing.extend(unknown.cloned());
        missing.into_iter().collect()
    }

    fn merge_member(&mut self, theirs: &Member, from: &str, now: Millis) {
        if theirs.incarnation == self.me {
            self.refute(theirs);
            return;
        }
        if let Some(it) = self.members.get_mut(&theirs.incarnation) {
            if theirs.seq == it.member.seq {
                it.add_sender(from);
            }
            if theirs.seq <= it.member.seq {
                return;
            }
        }
        self.version += 1;
        self.stop_older(theirs);
        let mut known = MemberState::new(theirs.clone(), now, self.version);
        known.senders.push(from.to_owned());
        self.members.insert(theirs.incarnation.clone(), known);
    }

    fn merge_acks(&mut self, acks: &[Ack], from: &str, now: Millis) {
        if acks.is_empty() {
            return;
        }
        let by_hash: BTreeMap<u64, &Ack> = acks.iter().map(|it| (it.i, it)).collect();
        for (incarnation, known) in &mut self.members {
            let Some(ack) = by_hash.get(&known.hash) else { continue };
            if *incarnation == self.me || ack.s < known.member.seq {
                continue;
            }
            if known.member.seq < ack.s {
                self.version += 1;
                known.member.seq = ack.s;
                known.member.applied = ack.a;
                known.version = self.version;
                known.last_seen = now;
                known.senders.clear();
            }
            known.add_sender(from);
        }
    }

    /// Declares older incarnations of the same name stopped. Incarnations sort by their start time.
    fn stop_older(&mut self, newer: &Member) {
        let version = self.version;
        for (incarnation, known) in &mut self.members {
            let is_older = known.member.name == newer.name && *incarnation < newer.incarnation;
            if is_older && *incarnation != self.me && known.member.phase != Phase::Stopped {
                known.member.phase = Phase::Stopped;
                known.member.seq += 1;
                known.mark_changed(version);
            }
        }
    }

    fn refute(&mut self, theirs: &Member) {
        let me = self.members.get_mut(&self.me).expect("the view holds its own instance");
        if theirs.seq <= me.member.seq || *theirs == me.member {
            return;
        }
        me.member.seq = theirs.seq + 1;
        self.version += 1;
        me.mark_changed(self.version);
    }
}

fn hash_incarnation(incarnation: &str) -> u64 {
    xxh3_64(incarnation.as_bytes())
}
