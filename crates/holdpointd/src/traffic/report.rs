//! Reports: service-level burn and trials, of one instance or merged over all.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use holdpoint_core::{
    burn::Window,
    ids::Name,
    trial::{ArmStats, Interval, Verdict, judge},
};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// How long a peer may take to send its part.
const LIMIT: Duration = Duration::from_millis(2000);

/// Part of one instance, or the sum of several.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Windows of each pipeline.
    pub burn: BTreeMap<Name, Vec<Window>>,
    /// Figures of each trial's arms.
    pub trials: BTreeMap<Name, BTreeMap<Name, ArmStats>>,
    /// Instances that it covers.
    pub instances: Vec<Name>,
    /// Instances that gave no answer.
    pub silent: Vec<String>,
}

/// Service-level burn of one pipeline.
#[derive(Clone, Debug, Serialize)]
pub struct BurnReport {
    /// Pipeline.
    pub pipeline: Name,
    /// Share of requests to be answered once, whole and in time.
    pub objective: f64,
    /// Windows, the shortest first.
    pub windows: Vec<Window>,
}

/// One trial.
#[derive(Clone, Debug, Serialize)]
pub struct TrialReport {
    /// Trial.
    pub trial: Name,
    /// Verdict.
    pub verdict: Verdict,
    /// Arms with attainment, cost a request and figures.
    pub arms: BTreeMap<Name, ArmReport>,
}

/// One arm of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct ArmReport {
    /// Attainment with its interval of 95 in 100.
    pub attainment: Interval,
    /// Engine milliseconds a request.
    pub mean_cost: f64,
    /// Figures.
    pub stats: ArmStats,
}

/// Part of this instance.
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

/// Sum over this instance and all live peers.
pub(crate) async fn merged_report(shared: &Arc<Shared>) -> Report {
    let mut report = local_report(shared);
    let view = shared.now();
    let calls = view.peers.iter().map(|peer| async move {
        let call = shared
            .peers
            .call(peer, LIMIT, |client, context| async move { client.report(context).await });
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
                Some(mine) => {
                    mine.iter_mut().zip(windows).for_each(|(a, b)| a.merge(b, objective));
                }
            }
        }
        for (name, arms) in &other.trials {
            let mine = self.trials.entry(name.clone()).or_default();
            for (arm, stats) in arms {
                mine.entry(arm.clone()).or_default().merge(stats);
            }
        }
        self.instances.extend(other.instances.iter().cloned());
    }

    /// Burn of each pipeline that still exists.
    pub fn burn_reports(&self, view: &crate::shared::Published) -> Vec<BurnReport> {
        let of = |(name, windows): (&Name, &Vec<Window>)| {
            let objective = view.catalog.pipelines.get(name)?.spec.objective;
            Some(BurnReport { pipeline: name.clone(), objective, windows: windows.clone() })
        };
        self.burn.iter().filter_map(of).collect()
    }

    /// One trial, where it exists.
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
