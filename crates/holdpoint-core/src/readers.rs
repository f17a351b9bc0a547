//! Which instances read the platform's store for all, and which pass on what they have read.
//!
//! Every call to the store costs, and its rate is bounded for all instances together. So a few
//! instances read it and the others follow them. One reader's link does not carry the news to
//! hundreds, so relays stand between: they follow a reader, and the others follow any of the sources,
//! which are the readers and the relays. All who know the same members choose the same ones, without
//! a message; where their views differ, more instances read for a while.

use crate::subset::{subset, weight};

/// Readers: two may be lost at once and one is left.
const READERS: usize = 3;
/// Instances to each source, as far as there are enough of them.
const FOLLOWERS: usize = 24;
/// Key under which both are chosen.
const KEY: &str = "reader";

/// Members that read the store, in the order of `members`.
pub fn readers<'a>(members: &[&'a str]) -> Vec<&'a str> {
    chosen(members, READERS)
}

/// Members that the others follow, readers included, in the order of `members`.
pub fn sources<'a>(members: &[&'a str]) -> Vec<&'a str> {
    chosen(members, members.len().div_ceil(FOLLOWERS).max(READERS))
}

fn chosen<'a>(members: &[&'a str], count: usize) -> Vec<&'a str> {
    let indices = subset(KEY, members.iter().copied(), count);
    indices.into_iter().map(|it| members[it]).collect()
}

/// The sources in the order in which `own` asks them; each instance has an order of its own, so
/// that a source's followers spread over the others once it is lost. `own` is left out.
pub fn order_for<'a>(own: &str, sources: &[&'a str]) -> Vec<&'a str> {
    let mut others: Vec<&str> = sources.iter().copied().filter(|it| *it != own).collect();
    others.sort_by_key(|it| std::cmp::Reverse(weight(own, it)));
    others
}
