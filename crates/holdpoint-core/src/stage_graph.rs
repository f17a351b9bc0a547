//! Graph of the stages that run before a request's own service, and the work items of each stage.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ids::Millis, ingress::StageStep};

/// Input of a work item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemSource {
    /// The request's own key.
    Key(String),
    /// The results with these handles.
    Inputs(Vec<String>),
}

/// A work item to process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkItem {
    /// Id of the request.
    pub request: String,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the item within the stage.
    #[serde(rename = "piece")]
    pub item: u32,
    /// Its input.
    pub source: ItemSource,
}

/// Why a work item has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoResult {
    /// Its deadline could not be met.
    Late,
    /// An input is no longer stored.
    InputGone,
    /// The target had no room for it.
    NoRoom,
    /// The target failed.
    Failed,
    /// No target or instance could be reached.
    Unreachable,
    /// Another instance now batches the items of the service.
    Moved,
    /// Its request can be served, but only late. If it is requested again as late, it is processed
    /// in the time that others leave. Sent only to callers that accept this answer.
    OnlyLate,
    /// It would be too late for its request, which may retry after this many milliseconds.
    Overload(Millis),
}

/// Stages of a request's route, with the number of work items of each.
#[derive(Clone, Debug)]
pub struct StageGraph {
    dependencies: Vec<Vec<usize>>,
    items: Vec<u32>,
}

impl StageGraph {
    /// Creates the graph; stages without items are skipped.
    pub fn new(steps: &[StageStep], items: &[u32]) -> StageGraph {
        let items = (0..steps.len()).map(|it| items.get(it).copied().unwrap_or(1)).collect();
        StageGraph { dependencies: steps.iter().map(|it| it.after.clone()).collect(), items }
    }

    /// Number of stages, including skipped ones.
    pub fn len(&self) -> usize {
        self.dependencies.len()
    }

    /// Whether all stages are skipped.
    pub fn is_empty(&self) -> bool {
        self.items.iter().all(|it| *it == 0)
    }

    /// Number of items of all stages.
    pub fn total_items(&self) -> u64 {
        self.items.iter().copied().map(u64::from).sum()
    }

    /// Number of items of a stage.
    pub fn items(&self, stage: usize) -> u32 {
        self.items[stage]
    }

    /// Direct dependencies of a stage that are not skipped.
    pub fn dependencies(&self, stage: usize) -> impl Iterator<Item = usize> {
        self.dependencies[stage].iter().copied().filter(|it| self.items[*it] != 0)
    }

    /// Whether any stage depends on a stage.
    pub fn has_dependents(&self, stage: usize) -> bool {
        self.dependents(stage).next().is_some()
    }

    /// Stages whose results go to the request's own service.
    pub fn final_stages(&self) -> impl Iterator<Item = usize> {
        (0..self.len()).filter(|it| self.items[*it] != 0 && !self.has_dependents(*it))
    }

    /// Stages to run again when the inputs of a stage are lost: its direct dependencies, and
    /// recursively those of their dependencies whose results are no longer stored, since results
    /// are released after use.
    pub fn stages_to_redo(&self, stage: usize, is_held: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut lost: Vec<usize> = self.dependencies(stage).collect();
        let mut next = 0;
        while next < lost.len() {
            let is_new = |it: &usize| !is_held(*it) && !lost.contains(it);
            let before: Vec<usize> = self.dependencies(lost[next]).filter(is_new).collect();
            lost.extend(before);
            next += 1;
        }
        lost
    }

    /// All direct and indirect dependents of a stage, each with the length of the longest path to
    /// it.
    pub fn all_dependents(&self, stage: usize) -> Vec<(usize, u32)> {
        let mut depths: BTreeMap<usize, u32> = BTreeMap::new();
        let mut next = vec![(stage, 0)];
        while let Some((stage, depth)) = next.pop() {
            for after in self.dependents(stage) {
                let known = depths.entry(after).or_default();
                if *known <= depth {
                    *known = depth + 1;
                    next.push((after, depth + 1));
                }
            }
        }
        depths.into_iter().collect()
    }

    /// Stages that directly depend on a stage.
    pub fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> {
        (0..self.len())
            .filter(move |it| self.items[*it] != 0 && self.dependencies[*it].contains(&stage))
    }
}
