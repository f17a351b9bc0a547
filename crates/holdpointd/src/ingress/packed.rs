//! Compressed JSON lists that instances send to each other.
//!
//! After a restart of all instances, hundreds of them request the list of targets from a few peers, some over
//! slow links. Each list is compressed once and cached, and large responses are sent one after the other.

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
    peers::Peer,
    shared::{IngressShared, ListKey},
    update_feed::StateChange,
};

/// Maximum size of unpacked data: a hundred times that of a list of 3,000 targets. The rest is cut off, so that a small message cannot exhaust the memory.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// Share of this instance's link for lists; the rest is for pings, updates and callers.
const LIST_LINK_SHARE: f64 = 0.7;

/// Why a packed list cannot be decoded.
#[derive(Debug)]
pub(crate) enum UnpackError {
    /// It cannot be decompressed.
    Compression(std::io::Error),
    /// It is not valid JSON of the expected form, also because it was cut off at the maximum size.
    Content(serde_json::Error),
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnpackError::Compression(it) => write!(f, "cannot be decompressed: {it}"),
            UnpackError::Content(it) => write!(f, "unexpected content: {it}"),
        }
    }
}

/// Cache of packed lists, each with its cache key.
#[derive(Debug, Default)]
pub(crate) struct Packed {
    /// The uncompressed list of targets, for peers of earlier versions.
    pub(crate) plain: Mutex<Option<(ListKey, Bytes)>>,
    targets: Mutex<Option<(ListKey, Bytes)>>,
    /// The configuration, by its version.
    configuration: Mutex<Option<(Version, Bytes)>>,
    /// The changes between two revisions.
    changes: Mutex<Option<((Revision, Revision), Bytes)>>,
    /// When the last list of targets will have been sent.
    free_at: Mutex<Option<Instant>>,
    /// The list of instances, by its hash.
    peers: Mutex<Option<(u64, Bytes)>>,
    /// The leaders, by the hash of all instances.
    leaders: Mutex<Option<(u64, Bytes)>>,
}

impl Packed {
    /// Waits until a list of targets may be sent. Lists are sent one after the other: together, 24 would delay pings
    /// by a second on a link of 10 Mbit/s, so that followers would take the instance for silent and request the list
    /// from another one. Relays, which are few and have followers of their own, do not wait.
    pub(crate) async fn wait_turn(&self, is_relay: bool, bytes: usize, link_mbps: f64) {
        let now = Instant::now();
        let start = {
            let mut free_at = self.free_at.lock();
            let start = free_at.map_or(now, |it| it.max(now));
            *free_at = Some(start + time_to_send(bytes, link_mbps));
            start
        };
        if !is_relay {
            sleep_until(start).await;
        }
    }

    /// The list of targets.
    pub(crate) fn targets(&self, shared: &IngressShared) -> Bytes {
        let (key, list) = shared.target_list_with_key();
        let mut cached = self.targets.lock();
        match &*cached {
            Some((cached_key, packed)) if *cached_key == key => packed.clone(),
            _ => {
                let packed = compress(&list);
                *cached = Some((key, packed.clone()));
                packed
            }
        }
    }

    /// The configuration of this version.
    pub(crate) fn configuration(&self, version: Version, bytes: &[u8]) -> Bytes {
        let mut cached = self.configuration.lock();
        match &*cached {
            Some((cached_key, packed)) if *cached_key == version => packed.clone(),
            _ => {
                let packed = compress(bytes);
                *cached = Some((version, packed.clone()));
                packed
            }
        }
    }

    /// The changes between two revisions. They are cached, as most followers are at the same revision and ask
    /// at the same time.
    pub(crate) fn changes(&self, span: (Revision, Revision), changes: &[StateChange]) -> Bytes {
        let mut cached = self.changes.lock();
        match &*cached {
            Some((cached_key, packed)) if *cached_key == span => packed.clone(),
            _ => {
                let packed = pack(&changes);
                *cached = Some((span, packed.clone()));
                packed
            }
        }
    }

    /// All instances; `None` if their hash equals `known`.
    pub(crate) fn peers(&self, shared: &IngressShared, known: u64) -> Option<Bytes> {
        let digest = shared.instances_digest();
        if digest == known {
            return None;
        }
        let mut cached = self.peers.lock();
        match &*cached {
            Some((cached_key, packed)) if *cached_key == digest => Some(packed.clone()),
            _ => {
                let packed = pack(&shared.instances());
                *cached = Some((digest, packed.clone()));
                Some(packed)
            }
        }
    }
}

impl Packed {
    /// The leaders among all instances.
    pub(crate) fn leaders(&self, shared: &IngressShared) -> Bytes {
        let digest = shared.instances_digest();
        let mut cached = self.leaders.lock();
        match &*cached {
            Some((cached_key, packed)) if *cached_key == digest => packed.clone(),
            _ => {
                let is_draining = shared.is_draining.load(Ordering::Acquire);
                let own = (!is_draining).then(|| shared.own_peer());
                let packed = pack(&shared.peers.leaders(own.as_ref()));
                *cached = Some((digest, packed.clone()));
                packed
            }
        }
    }
}

/// Time to send this many bytes over the share of a link that lists may use; zero if the link's capacity is
/// not known.
fn time_to_send(bytes: usize, link_mbps: f64) -> Duration {
    if link_mbps <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_micros((8.0 * bytes as f64 / (LIST_LINK_SHARE * link_mbps)) as u64)
}

/// Hash of an instance, for the sum over all instances.
pub(crate) fn peer_hash(name: &str, peer: &Peer) -> u64 {
    let mut hasher = Xxh3::new();
    (name, peer).hash(&mut hasher);
    hasher.finish()
}

/// Serialises a value as JSON and compresses it.
pub(crate) fn pack<T: Serialize>(value: &T) -> Bytes {
    // Lists of names and numbers can always be serialised.
    compress(&serde_json::to_vec(value).unwrap_or_default())
}

fn compress(json: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to memory does not fail; an incomplete list would be rejected by the receiver.
    let _ = encoder.write_all(json);
    Bytes::from(encoder.finish().unwrap_or_default())
}

/// Decodes a packed value.
pub(crate) fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, UnpackError> {
    serde_json::from_slice(&decompress(packed)?).map_err(UnpackError::Content)
}

/// Decompresses bytes; output beyond [`MAX_UNPACKED_BYTES`] is cut off.
pub(crate) fn decompress(packed: &[u8]) -> Result<Bytes, UnpackError> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut bytes).map_err(UnpackError::Compression)?;
    Ok(Bytes::from(bytes))
}
