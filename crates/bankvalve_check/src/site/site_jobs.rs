//! Jobs of a site, and how long their tasks work.

use std::collections::BTreeMap;
use std::sync::Arc;

use bankvalve_queue::{EndKind, JobId, JobSpec, StepSpec, TaskKey, TaskSize};

/// Time for which tasks that last work, in milliseconds: longer than any run.
const LASTING_MS: u64 = 10_000_000;
/// Time that a gang waits for its members, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;

pub(super) fn plan_of(
    specs: &BTreeMap<JobId, Arc<JobSpec>>,
    task: TaskKey,
    time: u64,
    fails: bool,
) -> (TaskSize, Option<(u64, EndKind)>) {
    let Some(spec) = specs.get(&task.step.job) else {
        return (TaskSize::default(), Some((time, EndKind::Done)));
    };
    let step = &spec.steps[usize::from(task.step.step)];
    let work = if step.gang {
        // It waits for the others, and gives up.
        (GANG_WAIT_MS, EndKind::Alone)
    } else if step.lasting {
        (LASTING_MS, EndKind::Done)
    } else if fails {
        (time / 2, EndKind::Failed)
    } else {
        (time, EndKind::Done)
    };
    (step.resources(), Some(work))
}

/// A job of steps for tests: a count of tasks for each, a gang if asked.
pub fn job_of(id: JobId, queue: &str, counts: &[u32], gang: bool) -> JobSpec {
    let steps = counts.iter().enumerate().map(|(number, count)| StepSpec {
        count: *count,
        size: TaskSize {
            millicores: 1_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate_ms: 800,
        after: (0..number as u16).collect(),
        gang,
        ..StepSpec::default()
    });
    JobSpec {
        id,
        queue: queue.into(),
        payload: "work".into(),
        steps: steps.collect(),
        ..JobSpec::default()
    }
}
