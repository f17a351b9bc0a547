//! Pipelines as graphs of stages: checks, order of work, and the inputs of a stage.

use std::collections::{BTreeMap, HashMap};

use holdpoint_schema::{
    Fault,
    resources::{Pipeline, Stage},
};
use serde_json::{Map, Value};

use crate::ids::Name;

/// Where an input of a stage comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The caller's whole input.
    Input,
    /// One field of the caller's input.
    Field(String),
    /// Output of the stage at this index.
    Stage(usize),
}

/// A stage with its references resolved.
#[derive(Clone, Debug)]
pub struct Step {
    /// The stage as declared.
    pub stage: Stage,
    /// Inputs by name.
    pub inputs: BTreeMap<Name, Source>,
    /// Stages that must end before this one starts, by index.
    pub after: Vec<usize>,
}

/// A pipeline that has been checked.
#[derive(Clone, Debug)]
pub struct Graph {
    /// Patience of a caller that states none, in milliseconds.
    pub patience_ms: u64,
    /// Share of requests to be answered once, whole and in time.
    pub objective: f64,
    /// Stages in the order of declaration; the last one gives the answer.
    pub steps: Vec<Step>,
    /// Indices of the stages in an order in which each follows those that it needs.
    pub order: Vec<usize>,
}

/// An input that the caller's body does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingField(pub String);

impl Graph {
    /// Checks a pipeline and resolves its references; returns every fault with its path.
    pub fn new(pipeline: &Pipeline) -> Result<Graph, Vec<Fault>> {
        let mut faults = Vec::new();
        let names = stage_indices(pipeline, &mut faults);
        let steps: Vec<Step> = pipeline
            .stages
            .iter()
            .enumerate()
            .map(|(index, stage)| step(index, stage, &names, &mut faults))
            .collect();
        let order = order(&steps);
        if order.len() < steps.len() {
            let stuck = (0..steps.len()).filter(|it| !order.contains(it));
            faults.extend(stuck.map(|it| cycle_fault(it, &steps[it].stage.name)));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let (patience_ms, objective) = (pipeline.patience_ms, pipeline.objective);
        Ok(Graph { patience_ms, objective, steps, order })
    }

    /// Whether every stage's call may be made more than once.
    pub fn is_repeatable(&self) -> bool {
        self.steps.iter().all(|it| it.stage.repeatable)
    }

    /// Index of the stage that gives the answer.
    pub fn last(&self) -> usize {
        self.steps.len() - 1
    }

    /// Stages that cannot start before the stage at `index` has ended, itself included, along the
    /// longest chain to the answer.
    pub fn chain_from(&self, index: usize) -> Vec<usize> {
        let mut longest: HashMap<usize, Vec<usize>> = HashMap::new();
        for &at in self.order.iter().rev() {
            let next = (0..self.steps.len())
                .filter(|it| self.steps[*it].after.contains(&at))
                .filter_map(|it| longest.get(&it))
                .max_by_key(|it| it.len());
            let mut chain = vec![at];
            chain.extend(next.into_iter().flatten());
            longest.insert(at, chain);
        }
        longest.remove(&index).unwrap_or_default()
    }
}

/// Inputs of a step, from the caller's input and the outputs so far.
pub fn inputs(
    step: &Step,
    input: &Value,
    outputs: &HashMap<usize, Value>,
) -> Result<Map<String, Value>, MissingField> {
    let mut map = Map::new();
    for (name, source) in &step.inputs {
        let value = match source {
            Source::Input => input,
            Source::Field(it) => input.get(it).ok_or_else(|| MissingField(it.clone()))?,
            Source::Stage(it) => outputs.get(it).unwrap_or(&Value::Null),
        };
        map.insert(name.clone(), value.clone());
    }
    Ok(map)
}

fn stage_indices<'a>(pipeline: &'a Pipeline, faults: &mut Vec<Fault>) -> HashMap<&'a str, usize> {
    let mut names = HashMap::new();
    for (index, stage) in pipeline.stages.iter().enumerate() {
        if names.insert(stage.name.as_str(), index).is_some() {
            let text = format!("stage {:?} is declared twice", stage.name);
            faults.push(Fault { path: format!("/stages/{index}/name"), text });
        }
    }
    names
}

fn step(
    index: usize,
    stage: &Stage,
    names: &HashMap<&str, usize>,
    faults: &mut Vec<Fault>,
) -> Step {
    let mut inputs = BTreeMap::new();
    let mut after = Vec::new();
    for (name, reference) in &stage.inputs {
        match source(reference, names) {
            Some(it) => drop(inputs.insert(name.clone(), it)),
            None => faults.push(Fault {
                path: format!("/stages/{index}/inputs/{name}"),
                text: format!("{reference:?} is no input, field or stage of this pipeline"),
            }),
        }
    }
    after.extend(inputs.values().filter_map(|it| match it {
        Source::Stage(it) => Some(*it),
        Source::Input | Source::Field(_) => None,
    }));
    after.sort_unstable();
    after.dedup();
    Step { stage: stage.clone(), inputs, after }
}

fn source(reference: &str, names: &HashMap<&str, usize>) -> Option<Source> {
    if reference == "input" {
        return Some(Source::Input);
    }
    match reference.split_once('.')? {
        ("input", field) if !field.is_empty() => Some(Source::Field(field.to_owned())),
        ("stages", name) => names.get(name).map(|it| Source::Stage(*it)),
        _ => None,
    }
}

/// Kahn's algorithm; stages on a cycle are left out.
fn order(steps: &[Step]) -> Vec<usize> {
    let mut done: Vec<usize> = Vec::with_capacity(steps.len());
    loop {
        let ready = |it: &usize| {
            !done.contains(it) && steps[*it].after.iter().all(|before| done.contains(before))
        };
        let Some(next) = (0..steps.len()).find(ready) else { return done };
        done.push(next);
    }
}

fn cycle_fault(index: usize, name: &str) -> Fault {
    let text = format!("stage {name:?} is on a cycle or needs one");
    Fault { path: format!("/stages/{index}/inputs"), text }
}
