//! The stages before a request's own service: which pieces are to be made, from what, and when.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ids::Millis, ingress::StageStep};

/// Where a piece's work comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceSource {
    /// From the request's own key.
    Key(String),
    /// From the results with these handles.
    Inputs(Vec<String>),
}

/// One piece to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceWork {
    /// Id of the request.
    pub request: String,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece within the stage.
    pub piece: u32,
    /// What it is made from.
    pub source: PieceSource,
}

/// Why a piece has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoResult {
    /// Its time was over at its turn.
    Late,
    /// An input is gone.
    InputGone,
    /// The target had no room for it.
    NoRoom,
    /// The target failed.
    Failed,
    /// No target or instance could be reached.
    Unreachable,
    /// Another instance batches the service's pieces now.
    Moved,
    /// Its request can be served, but late. Asked for again as a late one, it is made in the time that others
    /// leave. Told only to those who accept it.
    OnlyLate,
    /// It would be too late for its request, which may come back after so many milliseconds.
    Overload(Millis),
}

/// The graph of one request: the route's stages with the request's number of pieces.
#[derive(Clone, Debug)]
pub struct StageGraph {
    after: Vec<Vec<usize>>,
    pieces: Vec<u32>,
}

impl StageGraph {
    /// Makes the graph; a stage with no pieces is left out.
    pub fn new(steps: &[StageStep], pieces: &[u32]) -> StageGraph {
        let pieces = (0..steps.len()).map(|it| pieces.get(it).copied().unwrap_or(1)).collect();
        StageGraph { after: steps.iter().map(|it| it.after.clone()).collect(), pieces }
    }

    /// Number of stages, those left out included.
    pub fn len(&self) -> usize {
        self.after.len()
    }

    /// Whether nothing is to be made.
    pub fn is_empty(&self) -> bool {
        self.pieces.iter().all(|it| *it == 0)
    }

    /// Pieces of a stage.
    pub fn pieces(&self, stage: usize) -> u32 {
        self.pieces[stage]
    }

    /// Stages that a stage needs and that are not left out.
    pub fn needs(&self, stage: usize) -> impl Iterator<Item = usize> {
        self.after[stage].iter().copied().filter(|it| self.pieces[*it] != 0)
    }

    /// Whether another stage comes after a stage.
    pub fn is_needed(&self, stage: usize) -> bool {
        self.after(stage).next().is_some()
    }

    /// Stages whose results the request's own service takes.
    pub fn last(&self) -> impl Iterator<Item = usize> {
        (0..self.len()).filter(|it| self.pieces[*it] != 0 && !self.is_needed(*it))
    }

    /// Stages to make anew where the inputs of a stage are gone: those that it needs, and before them
    /// those whose results are no longer held, since they were given up once they had been used.
    pub fn lost_before(&self, stage: usize, is_held: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut lost: Vec<usize> = self.needs(stage).collect();
        let mut next = 0;
        while next < lost.len() {
            let is_new = |it: &usize| !is_held(*it) && !lost.contains(it);
            let before: Vec<usize> = self.needs(lost[next]).filter(is_new).collect();
            lost.extend(before);
            next += 1;
        }
        lost
    }

    /// All stages that come after a stage, with the number of steps to each along the longest way.
    pub fn ahead(&self, stage: usize) -> Vec<(usize, u32)> {
        let mut depths: BTreeMap<usize, u32> = BTreeMap::new();
        let mut next = vec![(stage, 0)];
        while let Some((stage, depth)) = next.pop() {
            for after in self.after(stage) {
                let known = depths.entry(after).or_default();
                if *known <= depth {
                    *known = depth + 1;
                    next.push((after, depth + 1));
                }
            }
        }
        depths.into_iter().collect()
    }

    /// Stages that need a stage's results.
    pub fn after(&self, stage: usize) -> impl Iterator<Item = usize> {
        (0..self.len()).filter(move |it| self.pieces[*it] != 0 && self.after[*it].contains(&stage))
    }
}
