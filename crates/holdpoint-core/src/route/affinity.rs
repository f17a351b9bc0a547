//! Prefix affinity: which targets of a pool a call is compared at, by where its prefix is cached.
//!
//! All instances expect a prefix at the same targets, its homes: those of highest weight for it by
//! rendezvous hashing. Requests that share a prefix thus meet without coordination, until a home is so busy
//! that recomputing the prefix elsewhere is faster.
//!
//! In a pool of thousands of targets, scoring each of them costs too much. There a call is compared at the
//! homes of its prefix, the targets that have prefilled it recently, and a random sample.

use std::collections::HashMap;

use holdpoint_schema::resources::Policy;
use rand::{Rng, RngExt};

use super::{Call, Router, lowest_score, predict::prefix_trust};
use crate::{ids::Millis, subset::hashed_weight};

/// Trust that the first home of a prefix caches it, from 0 to 1.
const FIRST_HOME_TRUST: f64 = 0.9;
/// Trust that the second home of a prefix caches it, from 0 to 1.
const SECOND_HOME_TRUST: f64 = 0.2;
/// Weight of the time spent recomputing a prefix, in addition to that time itself, since it also delays the
/// other calls at the target. Large enough against `PREFILL_WEIGHT` that a prefix stays at a target that is
/// prefilling one other prompt.
const RECOMPUTE_WEIGHT: f64 = 8.0;
/// Size of the random sample. Large enough to hold several targets of each failure domain and, almost surely,
/// an idle one. A pool no larger is compared as a whole.
pub(super) const MAX_SAMPLED: usize = 128;
/// Upper bound of the targets tracked for one prefix, the most recent ones.
const MAX_HOLDERS: usize = 4;
/// Upper bound of the prefixes tracked; each takes about 100 bytes.
const MAX_TRACKED_PREFIXES: usize = 16_384;

/// Targets that have prefilled each prefix recently.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    by_prefix: HashMap<u64, (Millis, Vec<String>)>,
}

impl Holders {
    /// Records that a target prefills a prefix.
    pub(super) fn record(&mut self, now: Millis, prefix: u64, address: &str) {
        if MAX_TRACKED_PREFIXES <= self.by_prefix.len() && !self.by_prefix.contains_key(&prefix) {
            self.evict_oldest();
        }
        let (at, holders) = self.by_prefix.entry(prefix).or_default();
        *at = now;
        holders.retain(|it| it != address);
        holders.truncate(MAX_HOLDERS - 1);
        holders.insert(0, address.to_owned());
    }

    /// Evicts the least recently used half of the prefixes.
    fn evict_oldest(&mut self) {
        let mut times: Vec<Millis> = self.by_prefix.values().map(|it| it.0).collect();
        let (_, median, _) = times.select_nth_unstable(MAX_TRACKED_PREFIXES / 2);
        let median = *median;
        self.by_prefix.retain(|_, it| median < it.0);
    }

    fn get(&self, prefix: u64) -> impl Iterator<Item = &String> {
        self.by_prefix.get(&prefix).into_iter().flat_map(|it| &it.1)
    }
}

impl Router {
    /// The target of lowest cost among those that the call is compared at, and the number of these.
    pub(super) fn least_by_affinity(
        &self,
        now: Millis,
        policy: &Policy,
        call: &Call<'_>,
        candidates: Vec<usize>,
        rng: &mut impl Rng,
    ) -> (usize, usize) {
        let homes = call.prefix.map(|it| self.homes(it, &candidates)).unwrap_or_default();
        let compared = self.compared(call, candidates, homes, rng);
        let trust = |index: usize| {
            let expected = match homes.iter().position(|it| *it == Some(index)) {
                Some(0) => FIRST_HOME_TRUST,
                Some(_) => SECOND_HOME_TRUST,
                None => 0.0,
            };
            prefix_trust(&self.targets[index], call, now).min(FIRST_HOME_TRUST).max(expected)
        };
        let pace = self.mean_pace();
        let best = lowest_score(&compared, rng, |it| {
            let target = &self.targets[it];
            let trust = trust(it);
            let recompute_ms = call.prefix_work * (1.0 - trust) * pace;
            self.predict(now, policy, call, target, trust) + RECOMPUTE_WEIGHT * recompute_ms
        });
        (best, compared.len())
    }

    /// The two candidates of highest rendezvous weight, at which all instances expect a prefix.
    fn homes(&self, prefix: u64, candidates: &[usize]) -> [Option<usize>; 2] {
        let mut homes = [None, None];
        let mut weights = [0, 0];
        for it in candidates {
            let weight = hashed_weight(prefix, self.targets[*it].hash);
            if weights[0] <= weight {
                (homes[1], weights[1]) = (homes[0], weights[0]);
                (homes[0], weights[0]) = (Some(*it), weight);
            } else if weights[1] <= weight {
                (homes[1], weights[1]) = (Some(*it), weight);
            }
        }
        homes
    }

    /// The candidates that a call is compared at: all of them up to `MAX_SAMPLED`; of more, the homes of its
    /// prefix, the targets that have prefilled it recently, and a random sample.
    fn compared(
        &self,
        call: &Call<'_>,
        mut candidates: Vec<usize>,
        homes: [Option<usize>; 2],
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        if candidates.len() <= MAX_SAMPLED {
            return candidates;
        }
        // Ejected targets that are used anyway are at the end; the binary search needs them sorted.
        candidates.sort_unstable();
        let holders = call.prefix.into_iter().flat_map(|it| self.holders.get(it));
        let holders = holders.filter_map(|it| self.index.get(it).copied());
        let holders = holders.filter(|it| candidates.binary_search(it).is_ok());
        let mut expected: Vec<usize> = homes.into_iter().flatten().chain(holders).collect();
        expected.sort_unstable();
        expected.dedup();
        for index in 0..MAX_SAMPLED {
            let other = rng.random_range(index..candidates.len());
            candidates.swap(index, other);
        }
        candidates.truncate(MAX_SAMPLED);
        candidates.retain(|it| expected.binary_search(it).is_err());
        candidates.extend(expected);
        candidates
    }
}
