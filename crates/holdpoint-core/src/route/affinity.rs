//! Where the targets of a pool cache prefixes: which of them a call is compared at.
//!
//! All instances expect a prefix at the same targets, its homes: those of highest weight for it by
//! rendezvous hashing. So the requests that share a prefix meet without any message, until the target is so
//! busy that reading the prefix anew elsewhere is faster.
//!
//! The load pattern is a fleet of thousands of engines, most of them idle, with hundreds of prompts a second:
//! there a look at each engine costs more than it finds. In a larger pool a call is compared at the homes of
//! its prefix, at those that have read it of late, and at some drawn by chance.

use std::collections::HashMap;

use holdpoint_schema::resources::Policy;
use rand::{Rng, RngExt};

use super::{Call, Router, lowest, predict::prefix_trust};
use crate::{ids::Millis, subset::paired_weight};

/// How far the first and the second home of a prefix are trusted to hold it.
const FIRST_TRUST: f64 = 0.9;
const SECOND_TRUST: f64 = 0.2;
/// Weight of the time for which a prefix is read that another target holds, beside that time itself: it
/// is taken from all that run at the target and is paid for. Large enough beside `READ_WEIGHT` that a
/// prefix stays at a target that reads one other prompt; at 4, 6 to 14 % more tokens were read again.
const REREAD_WEIGHT: f64 = 8.0;
/// Most targets that are drawn by chance: with twelve failure domains some ten of each, so that the one where
/// the inputs lie is among them, and nearly surely an idle one where one of ten is. A pool no larger is
/// compared as a whole.
pub(super) const MOST_DRAWN: usize = 128;
/// Targets that are remembered for a prefix, the last ones that have read it.
const HOLDERS: usize = 4;
/// Most prefixes that targets are remembered for, some 100 bytes each.
const MOST_PREFIXES: usize = 16_384;

/// Which targets have read a prefix of late.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    by_prefix: HashMap<u64, (Millis, Vec<String>)>,
}

impl Holders {
    /// Takes in that a target reads a prefix.
    pub(super) fn note(&mut self, now: Millis, prefix: u64, address: &str) {
        if MOST_PREFIXES <= self.by_prefix.len() && !self.by_prefix.contains_key(&prefix) {
            self.forget();
        }
        let (at, holders) = self.by_prefix.entry(prefix).or_default();
        *at = now;
        holders.retain(|it| it != address);
        holders.truncate(HOLDERS - 1);
        holders.insert(0, address.to_owned());
    }

    /// Forgets the half of the prefixes that were read the longest ago.
    fn forget(&mut self) {
        let mut times: Vec<Millis> = self.by_prefix.values().map(|it| it.0).collect();
        let (_, middle, _) = times.select_nth_unstable(MOST_PREFIXES / 2);
        let middle = *middle;
        self.by_prefix.retain(|_, it| middle < it.0);
    }

    fn of(&self, prefix: u64) -> impl Iterator<Item = &String> {
        self.by_prefix.get(&prefix).into_iter().flat_map(|it| &it.1)
    }
}

impl Router {
    /// The target of least predicted time among those that the call is compared at, and how many these are.
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
                Some(0) => FIRST_TRUST,
                Some(_) => SECOND_TRUST,
                None => 0.0,
            };
            prefix_trust(&self.targets[index], call, now).min(FIRST_TRUST).max(expected)
        };
        let pace = self.mean_pace();
        let best = lowest(&compared, rng, |it| {
            let target = &self.targets[it];
            let trust = trust(it);
            let reread = call.prefix_work * (1.0 - trust) * pace;
            self.predict(now, policy, call, target, trust) + REREAD_WEIGHT * reread
        });
        (best, compared.len())
    }

    /// The two candidates at which all instances expect a prefix.
    fn homes(&self, prefix: u64, candidates: &[usize]) -> [Option<usize>; 2] {
        let mut homes = [None, None];
        let mut weights = [0, 0];
        for it in candidates {
            let weight = paired_weight(prefix, self.targets[*it].hash);
            if weights[0] <= weight {
                (homes[1], weights[1]) = (homes[0], weights[0]);
                (homes[0], weights[0]) = (Some(*it), weight);
            } else if weights[1] <= weight {
                (homes[1], weights[1]) = (Some(*it), weight);
            }
        }
        homes
    }

    /// The candidates that a call is compared at: all of a few; of many, the homes of its prefix, those that
    /// have read it, and some drawn by chance.
    fn compared(
        &self,
        call: &Call<'_>,
        mut candidates: Vec<usize>,
        homes: [Option<usize>; 2],
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        if candidates.len() <= MOST_DRAWN {
            return candidates;
        }
        // Ejected ones that are used all the same stand at the end.
        candidates.sort_unstable();
        let holders = call.prefix.into_iter().flat_map(|it| self.holders.of(it));
        let holders = holders.filter_map(|it| self.index.get(it).copied());
        let holders = holders.filter(|it| candidates.binary_search(it).is_ok());
        let mut expected: Vec<usize> = homes.into_iter().flatten().chain(holders).collect();
        expected.sort_unstable();
        expected.dedup();
        for drawn in 0..MOST_DRAWN {
            let other = rng.random_range(drawn..candidates.len());
            candidates.swap(drawn, other);
        }
        candidates.truncate(MOST_DRAWN);
        candidates.retain(|it| expected.binary_search(it).is_err());
        candidates.extend(expected);
        candidates
    }
}
