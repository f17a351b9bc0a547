//! Membership of the system's own instances, and what they tell each other.
//!
//! Each instance exchanges digests with neighbours at distances 1, 2, 4, … on the ring of names,
//! so the number of neighbours grows with the logarithm of the number of instances. A digest
//! carries only what changed since the last one to that neighbour and what it did not tell itself:
//! whole entries, or short acknowledgements where only the offset changed. An instance raises
//! the sequence of its own entry; others may only declare it stopped, which it refutes by raising
//! the sequence again. (Full exchange between 350 instances would cost each of them several
//! times its share of bandwidth; see docs/CAPACITY.md.)

use std::collections::{BTreeMap, BTreeSet};

use holdpoint_schema::peer::{Ack, Digest, LeavingTarget, Member, Phase};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Incarnation, Millis, Name, Offset};

/// How long a stopped member and a leaving target are remembered, in milliseconds.
const MEMORY_MS: Millis = 600_000;
/// Neighbours asked while the log is silent, when a majority must be counted.
pub const WIDE: usize = 32;

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// Hash of the incarnation, by which acknowledgements name it.
    hash: u64,
    heard: Millis,
    /// Version of the view at the last change of the entry.
    version: u64,
    /// Version of the view at the last change of more than its offset.
    whole_version: u64,
    /// Peers that told the entry as it is now; it is not told back to them.
    told_by: Vec<Incarnation>,
}

impl Known {
    fn new(member: Member, heard: Millis, version: u64) -> Known {
        let hash = incarnation_hash(&member.incarnation);
        Known { member, hash, heard, version, whole_version: version, told_by: Vec::new() }
    }

    fn note_teller(&mut self, peer: &str) {
        if !self.told_by.iter().any(|it| it == peer) {
            self.told_by.push(peer.to_owned());
        }
    }

    /// Notes a change of more than the offset, made here.
    fn changed(&mut self, version: u64) {
        self.version = version;
        self.whole_version = version;
        self.told_by.clear();
    }
}

#[derive(Clone, Debug)]
struct Leaving {
    incarnation: Incarnation,
    since: Millis,
    version: u64,
}

/// Members and leaving targets as one instance knows them.
#[derive(Clone, Debug)]
pub struct View {
    me: Incarnation,
    members: BTreeMap<Incarnation, Known>,
    leaving: BTreeMap<String, Leaving>,
    /// Instances that the platform lists as live: name and peer address.
    listed: BTreeMap<Name, String>,
    version: u64,
    /// How far each peer's view and this one have been exchanged.
    peers: BTreeMap<Incarnation, Exchanged>,
}

/// How far two views have been exchanged.
#[derive(Clone, Copy, Debug, Default)]
struct Exchanged {
    /// Version of the peer's view that has been merged here.
    theirs: u64,
    /// Version of this view that the peer says it has merged.
    mine: u64,
}

impl View {
    /// Makes a view in which only the instance itself is known.
    pub fn new(me: Member, now: Millis) -> View {
        let mut view = View {
            me: me.incarnation.clone(),
            members: BTreeMap::new(),
            leaving: BTreeMap::new(),
            listed: BTreeMap::new(),
            version: 1,
            peers: BTreeMap::new(),
        };
        let known = Known::new(me, now, 1);
        view.members.insert(known.member.incarnation.clone(), known);
        view
    }

    /// The instance's own entry.
    pub fn me(&self) -> &Member {
        &self.members[&self.me].member
    }

    /// Counts up with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All members known, stopped ones included.
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
        me.heard = now;
        if me.member.phase == phase && me.member.applied == applied {
            return;
        }
        self.version += 1;
        me.member.seq += 1;
        if me.member.phase != phase {
            me.whole_version = self.version;
        }
        me.member.phase = phase;
        me.member.applied = applied;
        me.version = self.version;
        me.told_by.clear();
    }

    /// Takes in the platform's list of live instances. A member that it no longer names may be
    /// declared stopped after silence; a name that it holds is needed for every change.
    pub fn set_listed(&mut self, listed: BTreeMap<Name, String>) {
        if self.listed != listed {
            self.version += 1;
        }
        self.listed = listed;
    }

    /// Makes a digest for a peer. It carries what changed since the version that the peer last
    /// said it had merged, so a lost digest is made up for by the next one.
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
            leaving: self.leaving_since(known.mine),
        };
        let is_news = |it: &&Known| {
            known.mine < it.version
                && !peer.is_some_and(|peer| it.told_by.iter().any(|by| by == peer))
        };
        for it in self.members.values().filter(is_news) {
            if known.mine < it.whole_version {
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

    /// Takes in a digest; returns whether anything in it was new.
    pub fn merge(&mut self, digest: &Digest, now: Millis) -> bool {
        let before = self.version;
        let exchanged = self.peers.entry(digest.from.clone()).or_default();
        exchanged.theirs = exchanged.theirs.max(digest.version);
        exchanged.mine = exchanged.mine.max(digest.seen);
        if let Some(it) = self.members.get_mut(&digest.from) {
            it.heard = now;
        }
        digest.members.iter().for_each(|it| self.merge_member(it, &digest.from, now));
        self.merge_acks(&digest.acks, &digest.from, now);
        digest.leaving.iter().for_each(|it| self.set_leaving(&it.address, &it.incarnation, now));
        before != self.version
    }

    fn leaving_since(&self, since: u64) -> Vec<LeavingTarget> {
        let newer = self.leaving.iter().filter(|it| since < it.1.version);
        newer
            .map(|it| LeavingTarget {
                address: it.0.clone(),
                incarnation: it.1.incarnation.clone(),
            })
            .collect()
    }

    /// Notes that a target is leaving. The sign sticks to its incarnation.
    pub fn set_leaving(&mut self, address: &str, incarnation: &str, now: Millis) {
        if self.is_leaving(address, incarnation) {
            return;
        }
        self.version += 1;
        let incarnation = incarnation.to_owned();
        let leaving = Leaving { incarnation, since: now, version: self.version };
        self.leaving.insert(address.to_owned(), leaving);
    }

    /// Whether this incarnation of a target is leaving.
    pub fn is_leaving(&self, address: &str, incarnation: &str) -> bool {
        self.leaving.get(address).is_some_and(|it| it.incarnation == incarnation)
    }

    /// Incarnation of the target at an address that was last said to be leaving.
    pub fn leaving_at(&self, address: &str) -> Option<&str> {
        self.leaving.get(address).map(|it| it.incarnation.as_str())
    }

    /// Leaving targets: address and incarnation.
    pub fn leaving(&self) -> impl Iterator<Item = (&str, &str)> {
        self.leaving.iter().map(|it| (it.0.as_str(), it.1.incarnation.as_str()))
    }

    /// Peer addresses of the neighbours: those at distances 1, 2, 4, … on the ring of names, and
    /// with `wide` the next [`WIDE`] as well, which for smaller systems is everyone.
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
        let near = if wide { WIDE.min(names.len() - 1) } else { 0 };
        for distance in 1..=near {
            chosen.insert(ring[names[(place + distance) % names.len()]].to_owned());
        }
        chosen.into_iter().collect()
    }

    /// Declares members stopped that have been silent for `dead_ms`, that the platform's list
    /// does not name, and that are among `watched` (peer addresses this instance talks to).
    pub fn bury(&mut self, now: Millis, dead_ms: Millis, watched: &[String]) {
        let me = self.me.clone();
        let mut version = self.version;
        for (incarnation, known) in &mut self.members {
            let is_silent = known.heard + dead_ms < now && *incarnation != me;
            let is_open = known.member.phase != Phase::Stopped;
            let is_listed = self.listed.get(&known.member.name) == Some(&known.member.peers);
            if is_open && is_silent && !is_listed && watched.contains(&known.member.peers) {
                known.member.phase = Phase::Stopped;
                known.member.seq += 1;
                version += 1;
                known.changed(version);
            }
        }
        self.version = version;
        let is_old = |it: &Known| it.heard + MEMORY_MS < now;
        let stopped = |it: &Known| it.member.phase == Phase::Stopped;
        self.members.retain(|incarnation, it| *incarnation == me || !(is_old(it) && stopped(it)));
        self.leaving.retain(|_, it| now < it.since + MEMORY_MS);
        let members = &self.members;
        self.peers.retain(|it, _| members.contains_key(it));
    }

    /// Names of live instances that have not put `offset` in force. A listed name with no live
    /// member counts as missing: nothing proves what it serves.
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
                it.note_teller(from);
            }
            if theirs.seq <= it.member.seq {
                return;
            }
        }
        self.version += 1;
        self.stop_older(theirs);
        let mut known = Known::new(theirs.clone(), now, self.version);
        known.told_by.push(from.to_owned());
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
                known.heard = now;
                known.told_by.clear();
            }
            known.note_teller(from);
        }
    }

    /// A restart under the same name ends the older incarnation. Incarnations sort by their
    /// start time.
    fn stop_older(&mut self, newer: &Member) {
        let version = self.version;
        for (incarnation, known) in &mut self.members {
            let is_older = known.member.name == newer.name && *incarnation < newer.incarnation;
            if is_older && *incarnation != self.me && known.member.phase != Phase::Stopped {
                known.member.phase = Phase::Stopped;
                known.member.seq += 1;
                known.changed(version);
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
        me.changed(self.version);
    }
}

fn incarnation_hash(incarnation: &str) -> u64 {
    xxh3_64(incarnation.as_bytes())
}
