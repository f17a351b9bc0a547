//! Deterministic choices by rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;

/// Rendezvous weight of `item` for `key`; the highest weight is chosen.
pub fn weight(key: &str, item: &str) -> u64 {
    xxh3_64(format!("{key}\n{item}").as_bytes())
}

/// Hash of an item, for [`hashed_weight`].
pub fn item_hash(item: &str) -> u64 {
    xxh3_64(item.as_bytes())
}

/// Weight of an item for a key, both given by their hashes. Avoids formatting a string for each item.
pub fn hashed_weight(key: u64, item: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&item.to_le_bytes());
    xxh3_64(&bytes)
}

/// The item of highest weight for a key, the same on all instances that know the same items.
pub fn owner<'a>(key: &str, items: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    items.max_by_key(|it| (weight(key, it), *it))
}

/// Indices of the `n` items of highest weight for a key, in rising order.
pub fn subset<'a>(key: &str, items: impl Iterator<Item = &'a str>, n: usize) -> Vec<usize> {
    let mut weights: Vec<(u64, usize)> =
        items.enumerate().map(|(index, it)| (weight(key, it), index)).collect();
    if n < weights.len() {
        weights.select_nth_unstable_by(n, |a, b| b.cmp(a));
        weights.truncate(n);
    }
    let mut indices: Vec<usize> = weights.into_iter().map(|it| it.1).collect();
    indices.sort_unstable();
    indices
}
