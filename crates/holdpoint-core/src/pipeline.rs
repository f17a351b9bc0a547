//! Pipelines as graphs of stages: validation, execution order and stage inputs.

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

/// A validated pipeline.
#[derive(Clone, Debug)]
pub struct Graph {
    /// Latency that callers tolerate if they state none, in milliseconds.
    pub patience_ms: u64,
    /// Fraction of requests that should be answered once, completely and on time.
    pub objective: f64,
    /// Stages in the order of declaration; the last one returns the answer.
    pub steps: Vec<Step>,
    /// Stage indices in topological order.
    pub order: Vec<usize>,
}

/// Name of a field that the caller's input lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingField(pub String);

impl Graph {
    /// Validates a pipeline and resolves its references; the error lists every fault with its path.
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
            let cyclic = (0..steps.len()).filter(|it| !order.contains(it));
            faults.extend(cyclic.map(|it| cycle_fault(it, &steps[it].stage.name)));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let (patience_ms, objective) = (pipeline.patience_ms, pipeline.objective);
        Ok(Graph { patience_ms, objective, steps, order })
    }

    /// Whether the calls of all stages may be repeated.
    pub fn is_repeatable(&self) -> bool {
        self.steps.iter().all(|it| it.stage.repeatable)
    }

    /// Index of the stage that returns the answer.
    pub fn last(&self) -> usize {
        self.steps.len() - 1
    }

    /// Longest chain of dependent stages from the stage at `index`, itself included, to the answer.
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

/// Inputs of a step, from the caller's input and the outputs of earlier stages.
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
