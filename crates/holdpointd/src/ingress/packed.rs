//! Whole lists as peers send them to each other: JSON, compressed.
//!
//! After a restart of all, hundreds ask a few sources for the list of thousands of targets, some over
//! links of 10 Mbit/s or one that two regions share. The list of 2,900 targets is packed once for all who
//! ask.

use std::{
    fmt,
    hash::{Hash, Hasher},
    io::{Read, Write},
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use holdpoint_core::ids::Name;
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::Xxh3;

use crate::ingress::{
    peers::Peer,
    shared::{IngressShared, ListState},
};

/// Largest size of an unpacked list, in bytes: 100 times that of 3,000 targets. What claims to be larger
/// is not read, so that a few bytes cannot fill the memory.
const LARGEST: u64 = 16 << 20;

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
    /// The hash of the peers and, once somebody asked for them, the peers.
    peers: Mutex<Option<(u64, Bytes)>>,
}

impl Packed {
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

    /// All instances; none where their hash is one that the asker has.
    pub(crate) fn peers(&self, shared: &IngressShared, known: u64) -> Option<Bytes> {
        let instances = shared.instances();
        let digest = peers_digest(&instances);
        if digest == known {
            return None;
        }
        let mut made = self.peers.lock();
        match &*made {
            Some((of, packed)) if *of == digest => Some(packed.clone()),
            _ => {
                let packed = pack(&instances);
                *made = Some((digest, packed.clone()));
                Some(packed)
            }
        }
    }
}

/// Hash of instances, in whatever order.
pub(crate) fn peers_digest(instances: &[(Name, Peer)]) -> u64 {
    let hash = |it: &(Name, Peer)| {
        let mut hasher = Xxh3::new();
        it.hash(&mut hasher);
        hasher.finish()
    };
    instances.iter().map(hash).fold(0, u64::wrapping_add)
}

/// Packs a value.
pub(crate) fn pack<T: Serialize>(value: &T) -> Bytes {
    // Lists of names and numbers have no form that JSON lacks.
    compress(&serde_json::to_vec(value).unwrap_or_default())
}

fn compress(json: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail; what is not whole is found to be unreadable.
    let _ = encoder.write_all(json);
    Bytes::from(encoder.finish().unwrap_or_default())
}

/// Reads a packed value.
pub(crate) fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, Unreadable> {
    let mut json = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(LARGEST);
    decoder.read_to_end(&mut json).map_err(Unreadable::Compression)?;
    serde_json::from_slice(&json).map_err(Unreadable::Content)
}
