//! Which instances can carry work for all the others.
//!
//! The instances of one deployment may differ by a factor of twenty in their link and by four in
//! their processor. The one that batches a service's pieces moves every handle of that service, and
//! whatever time it loses is lost at all targets of the service. So shared work goes to those that
//! come near the best, whoever they are; all who know the same members choose the same ones.

use serde::{Deserialize, Serialize};

/// Part of the best instance's capacity from which an instance counts as strong. Machines come in
/// few sizes, mostly a factor of two or more apart.
const STRONG_PART: f64 = 0.5;

/// What an instance may use of its machine; 0 where it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
}

impl Capacity {
    /// Smaller part of `best` that this capacity has, of processor and link.
    fn part_of(self, best: Capacity) -> f64 {
        let part = |own: u32, best: u32| f64::from(own) / f64::from(best.max(1));
        part(self.millicores, best.millicores).min(part(self.link_mbps, best.link_mbps))
    }
}

/// Members that are about as strong as the strongest one. None is left out where nothing is known.
pub fn strong<'a>(members: &[(&'a str, Capacity)]) -> Vec<&'a str> {
    let best = Capacity {
        millicores: members.iter().map(|it| it.1.millicores).max().unwrap_or(0),
        link_mbps: members.iter().map(|it| it.1.link_mbps).max().unwrap_or(0),
    };
    let part = |it: &(&str, Capacity)| it.1.part_of(best);
    // The strongest processor and the widest link may be at different instances.
    let most = members.iter().map(part).fold(0.0, f64::max);
    members.iter().filter(|it| STRONG_PART * most <= part(it)).map(|it| it.0).collect()
}
