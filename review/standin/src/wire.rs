//! Names of the platform, kept apart from the sources.

/// The name on the wire of a key in `wire.txt`.
pub fn wire(key: &str) -> &'static str {
    let lines = include_str!("../wire.txt").lines();
    let mut pairs = lines.filter_map(|it| it.split_once(' '));
    pairs.find(|it| it.0 == key).map(|it| it.1).unwrap_or_else(|| panic!("no name for {key}"))
}
