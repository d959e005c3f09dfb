//! What callers and workers see of jobs whose times of work are laid out before.

use std::collections::BTreeMap;

use bankvalve_queue::{EndKind, JobId, RunId, StepKey, StepSpec, TaskKey, WorkerId};

use super::SiteWorld;

/// Pause between two saves of a task with checkpoints, in milliseconds.
const SAVE_MS: u64 = 1_000;

/// A job, as its caller sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadJob {
    /// Index of its kind, which is also its queue's priority.
    pub(super) kind: usize,
    /// When it was first handed in, in milliseconds.
    pub(super) asked_ms: u64,
    pub(super) accepted_ms: Option<u64>,
    pub(super) refusals: u32,
    /// Time for which the tasks of each step work at the usual speed, in milliseconds.
    pub(super) step_ms: Vec<u64>,
    /// Time within which it ends to earn its full value, in milliseconds.
    pub(super) objective_ms: u64,
}

/// One run of a task on a worker.
#[derive(Clone, Debug)]
pub(super) struct RunSpan {
    pub(super) task: TaskKey,
    pub(super) worker: WorkerId,
    pub(super) from_ms: u64,
    /// When its work began: for a member of a gang, once all members were there.
    work_from_ms: Option<u64>,
    pub(super) end: Option<(u64, EndKind)>,
    /// Time of its work that later runs need not repeat, in milliseconds.
    saved_ms: u64,
}

impl RunSpan {
    /// Time whose work was lost by an end that was not a good one, in milliseconds.
    pub(super) fn lost_ms(&self) -> u64 {
        match self.end {
            Some((at, how)) if how != EndKind::Done => {
                (at - self.from_ms).saturating_sub(self.saved_ms)
            }
            _ => 0,
        }
    }

    /// When it ended well, in milliseconds.
    pub(super) fn done_ms(&self) -> Option<u64> {
        let (at, how) = self.end?;
        (how == EndKind::Done).then_some(at)
    }
}

/// What callers and workers saw.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadRecord {
    pub(super) jobs: BTreeMap<JobId, LoadJob>,
    pub(super) runs: Vec<RunSpan>,
    open_runs: BTreeMap<(WorkerId, TaskKey, RunId), usize>,
    /// Time of work that each task with checkpoints has saved, in milliseconds.
    saved_ms: BTreeMap<TaskKey, u64>,
    /// Requests to the policy service for each step.
    pub(super) advice: BTreeMap<StepKey, u64>,
    /// How many times the usual time each slow worker takes, by address.
    pub(super) slowness: BTreeMap<String, f64>,
    /// When each worker's runs are looked at next, by address, in milliseconds.
    wakes: BTreeMap<String, u64>,
    /// First and last time at which each worker was seen alive, in milliseconds.
    pub(super) workers: BTreeMap<WorkerId, (u64, u64)>,
    /// Spans in which the table was unavailable or the leader was new, in milliseconds.
    pub(super) unsettled: Vec<(u64, u64)>,
}

impl LoadRecord {
    /// Time for which a task that starts now works on a worker, in milliseconds.
    pub(super) fn work_ms(&self, task: TaskKey, address: &str) -> Option<u64> {
        let job = self.jobs.get(&task.step.job)?;
        let whole = job.step_ms[usize::from(task.step.step)];
        let saved = self.saved_ms.get(&task).copied().unwrap_or(0);
        let slowness = self.slowness.get(address).copied().unwrap_or(1.0);
        let left = whole.saturating_sub(saved).max(1) as f64;
        Some((left * slowness) as u64)
    }

    /// Tells whether a worker's runs would not be looked at by a time anyhow, and notes that they will be. On a
    /// worker that is never idle, each look would otherwise lead to one more.
    pub(super) fn is_new_wake(&mut self, address: &str, now: u64, next: u64) -> bool {
        let wake = self.wakes.entry(address.to_owned()).or_default();
        let is_new = *wake <= now || *wake > next;
        if is_new {
            *wake = next;
        }
        is_new
    }

    pub(super) fn note_start(
        &mut self,
        worker: &WorkerId,
        key: (TaskKey, RunId),
        gang: bool,
        now: u64,
    ) {
        let (task, run) = key;
        let span = RunSpan {
            task,
            worker: worker.clone(),
            from_ms: now,
            work_from_ms: (!gang).then_some(now),
            end: None,
            saved_ms: 0,
        };
        self.open_runs
            .insert((worker.clone(), task, run), self.runs.len());
        self.runs.push(span);
    }

    /// The members of a gang's run begin their work.
    pub(super) fn note_work(&mut self, worker: &WorkerId, key: (TaskKey, RunId), now: u64) {
        let (task, run) = key;
        if let Some(index) = self.open_runs.get(&(worker.clone(), task, run)) {
            self.runs[*index].work_from_ms = Some(now);
        }
    }

    /// A run ended; one that saves its progress leaves what it had saved last, or all if it was stopped.
    pub(super) fn note_end(
        &mut self,
        worker: &WorkerId,
        key: (TaskKey, RunId),
        how: EndKind,
        saves: bool,
        now: u64,
    ) {
        let (task, run) = key;
        let Some(index) = self.open_runs.remove(&(worker.clone(), task, run)) else {
            return;
        };
        let span = &mut self.runs[index];
        span.end = Some((now, how));
        let worked = span.work_from_ms.map_or(0, |from| now - from);
        if saves && how != EndKind::Done {
            span.saved_ms = match how {
                EndKind::Stopped => worked,
                _ => worked - worked % SAVE_MS,
            };
            *self.saved_ms.entry(task).or_default() += span.saved_ms;
        }
    }

    /// A caller was answered that hands in a job.
    pub(super) fn note_answer(&mut self, job: JobId, accepted: bool, refused: bool, now: u64) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.refusals += u32::from(refused);
            if accepted {
                job.accepted_ms.get_or_insert(now);
            }
        }
    }

    /// Tells whether the table was available and the leader not new at a time.
    pub(super) fn is_settled(&self, at_ms: u64) -> bool {
        let within = |span: &&(u64, u64)| (span.0..=span.1).contains(&at_ms);
        !self.unsettled.iter().any(|span| within(&span))
    }
}

impl SiteWorld {
    /// Accepted jobs whose callers do not know of their end.
    pub(super) fn open_jobs(&self) -> usize {
        let jobs = self.load.iter().flat_map(|load| &load.jobs);
        let open =
            jobs.filter(|(id, job)| job.accepted_ms.is_some() && !self.shown.contains_key(id));
        open.count()
    }

    fn load_step(&self, task: TaskKey) -> &StepSpec {
        &self.specs[&task.step.job].steps[usize::from(task.step.step)]
    }

    pub(super) fn note_load_start(&mut self, worker: &WorkerId, task: TaskKey, run: RunId) {
        if self.load.is_some() {
            let gang = self.load_step(task).gang;
            let now = self.now_ms;
            if let Some(load) = self.load.as_mut() {
                load.note_start(worker, (task, run), gang, now);
            }
        }
    }

    pub(super) fn note_load_end(
        &mut self,
        worker: &WorkerId,
        task: TaskKey,
        run: RunId,
        how: EndKind,
    ) {
        if self.load.is_some() {
            let saves = self.load_step(task).checkpoints;
            let now = self.now_ms;
            if let Some(load) = self.load.as_mut() {
                load.note_end(worker, (task, run), how, saves, now);
            }
        }
    }
}
