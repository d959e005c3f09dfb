//! Finds a shorter run that fails in the same way.

use super::{run_episode, EpisodePlan, EpisodeReport};

/// Times that the number of events is halved towards the shortest.
const HALVINGS: u32 = 7;

/// Leaves out kinds of faults, then events, as long as the same check still fails.
pub fn shrink_episode(plan: &EpisodePlan, report: &EpisodeReport) -> (EpisodePlan, EpisodeReport) {
    let Some(check) = report.findings.first().map(|finding| finding.check) else {
        return (plan.clone(), report.clone());
    };
    let fails = |plan: &EpisodePlan| {
        let report = run_episode(plan);
        let same = report.findings.iter().any(|found| found.check == check);
        same.then_some(report)
    };
    let mut best = (plan.clone(), report.clone());
    for kind in &plan.faults {
        let mut trial = best.0.clone();
        trial.faults.retain(|other| other != kind);
        if let Some(report) = fails(&trial) {
            best = (trial, report);
        }
    }
    let mut step = best.0.events / 2;
    for _ in 0..HALVINGS {
        let mut trial = best.0.clone();
        trial.events = trial.events.saturating_sub(step).max(100);
        if let Some(report) = fails(&trial) {
            best = (trial, report);
        }
        step /= 2;
    }
    best
}
