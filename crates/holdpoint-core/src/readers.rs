//! Which instances read the platform's store for all.
//!
//! Every call to the store costs, and its rate is bounded for all instances together. So a few
//! instances read it and the others follow one of those. All who know the same members choose the
//! same readers, without a message; where their views differ, more instances read for a while.

use crate::subset::{subset, weight};

/// Fewest readers: two may be lost at once and one is left.
const LEAST_READERS: usize = 3;
/// Instances to each reader, as far as there are enough of them.
const FOLLOWERS: usize = 24;
/// Key under which readers are chosen.
const KEY: &str = "reader";

/// Members that read the store, in the order of `members`.
pub fn readers<'a>(members: &[&'a str]) -> Vec<&'a str> {
    let wanted = members.len().div_ceil(FOLLOWERS).max(LEAST_READERS);
    let chosen = subset(KEY, members.iter().copied(), wanted);
    chosen.into_iter().map(|it| members[it]).collect()
}

/// The readers in the order in which `own` asks them; each instance has an order of its own, so
/// that a reader's followers spread over the others once it is lost. `own` is left out.
pub fn order_for<'a>(own: &str, readers: &[&'a str]) -> Vec<&'a str> {
    let mut others: Vec<&str> = readers.iter().copied().filter(|it| *it != own).collect();
    others.sort_by_key(|it| std::cmp::Reverse(weight(own, it)));
    others
}
