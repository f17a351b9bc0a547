//! Choice of the failure domains that count as near.

use std::collections::BTreeMap;

use holdpoint_core::topology::Topology;

fn regions(pairs: &[(&str, &str)]) -> BTreeMap<String, String> {
    pairs.iter().map(|it| (it.0.to_owned(), it.1.to_owned())).collect()
}

#[test]
fn only_domains_of_the_own_region_are_near_with_several_regions() {
    let split = Topology::new("east", regions(&[("a", "east"), ("b", "north")]));
    assert!(split.is_split());
    assert!(split.is_near("a"));
    assert!(!split.is_near("b"));
    assert!(!split.is_near("unknown"));
    assert_eq!(split.all(), ["east", "north"]);
}

#[test]
fn all_domains_are_near_without_several_known_regions() {
    let one = Topology::new("east", regions(&[("a", "east"), ("b", "east")]));
    let unstated = Topology::new("", regions(&[("a", "east"), ("b", "north")]));
    for it in [one, unstated, Topology::default()] {
        assert!(!it.is_split());
        assert!(it.is_near("a") && it.is_near("b") && it.is_near("unknown"));
    }
}
