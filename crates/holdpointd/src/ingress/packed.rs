//! Whole lists as peers send them to each other: JSON, compressed.
//!
//! After a restart of all, hundreds ask a few sources for the list of thousands of targets, some over
//! links of 10 Mbit/s or one that two regions share. The list of 2,900 targets is packed once for all who
//! ask.

use std::{
    fmt,
    hash::{Hash, Hasher},
    io::{Read, Write},
    sync::atomic::Ordering,
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use holdpoint_core::{change_log::Revision, ingress::Version};
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::Xxh3;

use crate::ingress::{
    news::News,
    peers::Peer,
    shared::{IngressShared, ListState},
};

/// Largest size of an unpacked list, in bytes: 100 times that of 3,000 targets. What claims to be larger
/// is not read, so that a few bytes cannot fill the memory.
const LARGEST: u64 = 16 << 20;

/// Part of the own link that lists may take; the rest is for pings, news and callers.
const LINK_PART: f64 = 0.7;

/// Why a packed list cannot be read.
#[derive(Debug)]
pub(crate) enum Unreadable {
    /// It cannot be decompressed, or is too large.
    Compression(std::io::Error),
    /// It is not what it should be.
    Content(serde_json::Error),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::Compression(it) => write!(f, "cannot be decompressed: {it}"),
            Unreadable::Content(it) => write!(f, "unexpected content: {it}"),
        }
    }
}

/// The lists as they were packed last, each with what it was made of.
#[derive(Debug, Default)]
pub(crate) struct Packed {
    /// The list of targets as it is, for peers of earlier versions.
    pub(crate) plain: Mutex<Option<(ListState, Bytes)>>,
    targets: Mutex<Option<(ListState, Bytes)>>,
    /// The configuration of a version.
    configuration: Mutex<Option<(Version, Bytes)>>,
    /// The news between two positions.
    news: Mutex<Option<((Revision, Revision), Bytes)>>,
    /// When the last answer with all that is known will have been sent.
    free: Mutex<Option<Instant>>,
    /// The hash of the peers and, once somebody asked for them, the peers.
    peers: Mutex<Option<(u64, Bytes)>>,
    /// The same, and the leaders among them.
    leaders: Mutex<Option<(u64, Bytes)>>,
}

impl Packed {
    /// Waits until an answer with all that is known may be sent. They are sent one after the other: 24 lists
    /// at once are a second of a link of 10 Mbit/s, in which no ping is answered, so that followers would
    /// take the instance for silent and ask the next one for the same list. Relays, which are few and have
    /// followers of their own, go before all others.
    pub(crate) async fn turn(&self, is_relay: bool, bytes: usize, link_mbps: f64) {
        let now = Instant::now();
        let start = {
            let mut free = self.free.lock();
            let start = free.map_or(now, |it| it.max(now));
            *free = Some(start + time_to_send(bytes, link_mbps));
            start
        };
        if !is_relay {
            sleep_until(start).await;
        }
    }

    /// The list of target instances.
    pub(crate) fn targets(&self, shared: &IngressShared) -> Bytes {
        let (state, list) = shared.target_list_with_state();
        let mut made = self.targets.lock();
        match &*made {
            Some((of, packed)) if *of == state => packed.clone(),
            _ => {
                let packed = compress(&list);
                *made = Some((state, packed.clone()));
                packed
            }
        }
    }

    /// The configuration of this version.
    pub(crate) fn configuration(&self, version: Version, bytes: &[u8]) -> Bytes {
        let mut made = self.configuration.lock();
        match &*made {
            Some((of, packed)) if *of == version => packed.clone(),
            _ => {
                let packed = compress(bytes);
                *made = Some((version, packed.clone()));
                packed
            }
        }
    }

    /// What is new between two positions. Most who follow this instance have followed it as far, and ask
    /// at the same moment.
    pub(crate) fn news(&self, span: (Revision, Revision), news: &[News]) -> Bytes {
        let mut made = self.news.lock();
        match &*made {
            Some((of, packed)) if *of == span => packed.clone(),
            _ => {
                let packed = pack(&news);
                *made = Some((span, packed.clone()));
                packed
            }
        }
    }

    /// All instances; none where their hash is one that the asker has.
    pub(crate) fn peers(&self, shared: &IngressShared, known: u64) -> Option<Bytes> {
        let digest = shared.instances_digest();
        if digest == known {
            return None;
        }
        let mut made = self.peers.lock();
        match &*made {
            Some((of, packed)) if *of == digest => Some(packed.clone()),
            _ => {
                let packed = pack(&shared.instances());
                *made = Some((digest, packed.clone()));
                Some(packed)
            }
        }
    }
}

impl Packed {
    /// The leaders among all instances.
    pub(crate) fn leaders(&self, shared: &IngressShared) -> Bytes {
        let digest = shared.instances_digest();
        let mut made = self.leaders.lock();
        match &*made {
            Some((of, packed)) if *of == digest => packed.clone(),
            _ => {
                let is_leaving = shared.is_leaving.load(Ordering::Acquire);
                let own = (!is_leaving).then(|| shared.own_peer());
                let packed = pack(&shared.peers.leaders(own.as_ref()));
                *made = Some((digest, packed.clone()));
                packed
            }
        }
    }
}

/// Time that so many bytes take on the part of a link that lists may take; none where the link is not
/// known.
fn time_to_send(bytes: usize, link_mbps: f64) -> Duration {
    if link_mbps <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_micros((8.0 * bytes as f64 / (LINK_PART * link_mbps)) as u64)
}

/// Hash of an instance; those of all instances are added up.
pub(crate) fn peer_hash(name: &str, peer: &Peer) -> u64 {
    let mut hasher = Xxh3::new();
    (name, peer).hash(&mut hasher);
    hasher.finish()
}

/// Packs a value.
pub(crate) fn pack<T: Serialize>(value: &T) -> Bytes {
    // Lists of names and numbers have no form that JSON lacks.
    compress(&serde_json::to_vec(value).unwrap_or_default())
}

fn compress(json: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to memory does not fail; what is not whole is found to be unreadable.
    let _ = encoder.write_all(json);
    Bytes::from(encoder.finish().unwrap_or_default())
}

/// Reads a packed value.
pub(crate) fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, Unreadable> {
    serde_json::from_slice(&decompress(packed)?).map_err(Unreadable::Content)
}

/// Reads packed bytes.
pub(crate) fn decompress(packed: &[u8]) -> Result<Bytes, Unreadable> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(LARGEST);
    decoder.read_to_end(&mut bytes).map_err(Unreadable::Compression)?;
    Ok(Bytes::from(bytes))
}
