//! Checks of what really ran on the workers.

use std::collections::BTreeMap;

use bankvalve_cell::link::{TaskId, TaskKey};

use super::HistoryCheck;
use crate::world::CellWorld;

/// Slack for the rounding of clocks, in milliseconds.
const ROUNDING_MS: f64 = 3.0;

/// A run of a task in the world's time.
#[derive(Clone, Debug)]
struct TaskRun {
    key: TaskKey,
    worker: String,
    repeatable: bool,
    started: f64,
    ended: f64,
}

/// Checks the runs of all workers.
pub fn check_runs(world: &CellWorld, checks: &mut HistoryCheck) {
    let mut runs = BTreeMap::<TaskId, Vec<TaskRun>>::new();
    for (name, slot) in &world.platform.workers {
        checks.make(
            "capacity on workers",
            slot.model.overfull().is_none(),
            || format!("worker {name} held {:?}", slot.model.overfull()),
        );
        for record in slot.model.records() {
            let ended = record.ended.map(|clock| slot.world_ms(clock));
            runs.entry(record.key.id()).or_default().push(TaskRun {
                key: record.key.clone(),
                worker: name.clone(),
                repeatable: record.label.repeatable,
                started: slot.world_ms(record.started),
                ended: ended.unwrap_or(f64::MAX),
            });
        }
    }
    for runs in runs.values_mut() {
        runs.sort_by(|a, b| a.started.total_cmp(&b.started));
        check_one_place(runs, checks);
        check_once(runs, checks);
    }
}

fn check_one_place(runs: &[TaskRun], checks: &mut HistoryCheck) {
    for pair in runs.windows(2) {
        let apart = pair[1].started + ROUNDING_MS >= pair[0].ended;
        checks.make("one place at a time", apart, || {
            format!(
                "{} ran on {} from {:.0} to {:.0} ms, {} on {} from {:.0} ms",
                pair[0].key,
                pair[0].worker,
                pair[0].started,
                pair[0].ended,
                pair[1].key,
                pair[1].worker,
                pair[1].started
            )
        });
    }
}

fn check_once(runs: &[TaskRun], checks: &mut HistoryCheck) {
    let Some(first) = runs.first().filter(|run| !run.repeatable) else {
        return;
    };
    checks.make("not repeated", runs.len() == 1, || {
        format!("{} ran {} times", first.key, runs.len())
    });
}
