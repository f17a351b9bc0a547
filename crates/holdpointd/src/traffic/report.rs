//! Reports of error-budget burn and trials, for one instance or merged over all live ones.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use holdpoint_core::{
    burn::Window,
    ids::Name,
    trial::{ArmStats, Interval, Verdict, judge},
};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// Timeout of a peer's report.
const PEER_TIMEOUT: Duration = Duration::from_millis(2000);

/// Report of one instance, or the sum over several.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Burn windows of each pipeline.
    pub burn: BTreeMap<Name, Vec<Window>>,
    /// Statistics of each trial's arms.
    pub trials: BTreeMap<Name, BTreeMap<Name, ArmStats>>,
    /// Instances included.
    pub instances: Vec<Name>,
    /// Peers that did not answer.
    pub silent: Vec<String>,
}

/// Error-budget burn of one pipeline.
#[derive(Clone, Debug, Serialize)]
pub struct BurnReport {
    /// Pipeline.
    pub pipeline: Name,
    /// Target fraction of requests answered once, completely and on time.
    pub objective: f64,
    /// Burn windows, shortest first.
    pub windows: Vec<Window>,
}

/// Result of one trial.
#[derive(Clone, Debug, Serialize)]
pub struct TrialReport {
    /// Trial.
    pub trial: Name,
    /// Verdict.
    pub verdict: Verdict,
    /// Results of the arms, by name.
    pub arms: BTreeMap<Name, ArmReport>,
}

/// Result of one arm of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct ArmReport {
    /// Attainment with its 95 % confidence interval.
    pub attainment: Interval,
    /// Mean engine milliseconds per request.
    pub mean_cost: f64,
    /// Statistics.
    pub stats: ArmStats,
}

/// Report of this instance.
pub(crate) fn local_report(shared: &Shared) -> Report {
    let view = shared.now();
    let now = shared.clock.now();
    let mut report =
        Report { instances: vec![shared.settings.instance.clone()], ..Report::default() };
    for (name, state) in shared.traffic.pipelines.all() {
        let objective = view.catalog.pipelines.get(&name).map_or(0.95, |it| it.spec.objective);
        report.burn.insert(name, state.burn.lock().report(now, objective));
    }
    for (name, arms) in shared.traffic.trials.all() {
        report.trials.insert(name, arms.lock().clone());
    }
    report
}

/// Report of this instance merged with those of all live peers.
pub(crate) async fn merged_report(shared: &Arc<Shared>) -> Report {
    let mut report = local_report(shared);
    let view = shared.now();
    let calls = view.peers.iter().map(|peer| async move {
        let call = shared.peers.call(peer, PEER_TIMEOUT, |client, context| async move {
            client.report(context).await
        });
        let text = call.await.ok()?;
        serde_json::from_str::<Report>(&text).ok()
    });
    let parts = futures::future::join_all(calls).await;
    for (peer, part) in view.peers.iter().zip(parts) {
        match part {
            Some(it) => report.merge(&it, &view),
            None => report.silent.push(peer.clone()),
        }
    }
    report
}

impl Report {
    fn merge(&mut self, other: &Report, view: &crate::shared::Published) {
        for (name, windows) in &other.burn {
            let objective = view.catalog.pipelines.get(name).map_or(0.95, |it| it.spec.objective);
            match self.burn.get_mut(name) {
                None => drop(self.burn.insert(name.clone(), windows.clone())),
                Some(own) => {
                    own.iter_mut().zip(windows).for_each(|(a, b)| a.merge(b, objective));
                }
            }
        }
        for (name, arms) in &other.trials {
            let own = self.trials.entry(name.clone()).or_default();
            for (arm, stats) in arms {
                own.entry(arm.clone()).or_default().merge(stats);
            }
        }
        self.instances.extend(other.instances.iter().cloned());
    }

    /// Burn of each pipeline in the catalog.
    pub fn burn_reports(&self, view: &crate::shared::Published) -> Vec<BurnReport> {
        let of = |(name, windows): (&Name, &Vec<Window>)| {
            let objective = view.catalog.pipelines.get(name)?.spec.objective;
            Some(BurnReport { pipeline: name.clone(), objective, windows: windows.clone() })
        };
        self.burn.iter().filter_map(of).collect()
    }

    /// Result of a trial; `None` if the catalog has no such trial.
    pub fn trial_report(&self, view: &crate::shared::Published, name: &str) -> Option<TrialReport> {
        let trial = &view.catalog.trials.get(name)?.spec;
        let stats = self.trials.get(name).cloned().unwrap_or_default();
        let verdict = judge(trial, &stats);
        let arm = |stats: ArmStats| ArmReport {
            attainment: stats.attainment(),
            mean_cost: stats.mean_cost(),
            stats,
        };
        let arms = stats.into_iter().map(|(name, it)| (name, arm(it))).collect();
        Some(TrialReport { trial: name.to_owned(), verdict, arms })
    }
}
