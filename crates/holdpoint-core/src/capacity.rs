//! Selects the instances that are strong enough for work on behalf of all others.
//!
//! Instances of one deployment may differ widely in processor and link. The instance that batches a
//! service's work items handles all of that service's traffic, so its delays affect all targets of the
//! service. Shared work goes to instances close to the strongest one; instances with the same view of the
//! members select the same ones.

use serde::{Deserialize, Serialize};

/// Fraction of the strongest instance's capacity from which on an instance counts as strong. Machine sizes
/// mostly differ by a factor of two or more.
const STRONG_FRACTION: f64 = 0.5;

/// Resources that an instance may use of its machine; 0 if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
}

impl Capacity {
    /// This capacity as a fraction of `best`: the smaller of those of processor and link.
    fn fraction_of(self, best: Capacity) -> f64 {
        let fraction = |own: u32, best: u32| f64::from(own) / f64::from(best.max(1));
        fraction(self.millicores, best.millicores).min(fraction(self.link_mbps, best.link_mbps))
    }
}

/// Members about as strong as the strongest one; all members if no capacity is known.
pub fn strong<'a>(members: &[(&'a str, Capacity)]) -> Vec<&'a str> {
    let best = Capacity {
        millicores: members.iter().map(|it| it.1.millicores).max().unwrap_or(0),
        link_mbps: members.iter().map(|it| it.1.link_mbps).max().unwrap_or(0),
    };
    let fraction = |it: &(&str, Capacity)| it.1.fraction_of(best);
    // The fastest processor and the fastest link may belong to different instances.
    let highest = members.iter().map(fraction).fold(0.0, f64::max);
    members.iter().filter(|it| STRONG_FRACTION * highest <= fraction(it)).map(|it| it.0).collect()
}
