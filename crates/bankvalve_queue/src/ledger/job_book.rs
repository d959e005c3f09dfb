//! The book: the state of all jobs, built from the ledger's events.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::early_cancels::EarlyCancels;
use super::step_record::{
    count_crash, count_failure, count_run, finish_all_members, finish_gang, record_progress,
};
use super::{CrashCount, CrashEvidence, EndKind, LedgerEvent, StepRecord, TaskPhase, TaskRecord};
use crate::caller::JobState;
use crate::customer::CustomerName;
use crate::ids::{JobId, RunId, StepKey, TaskKey, WallMillis, WorkerId};
use crate::job::{JobSpec, JobTerms};

/// Maximum number of repetitions of a job that are open at once. A job whose repetitions fall due faster than
/// they are done, or are long overdue, would otherwise fill the memory of one leader after another.
const MAX_OPEN_REPETITIONS: usize = 64;

/// State of one repetition of a job.
#[derive(Clone, Debug)]
pub struct RepetitionRecord {
    /// State of each step.
    pub steps: Vec<StepRecord>,
}

impl RepetitionRecord {
    fn new(spec: &JobSpec) -> Self {
        Self {
            steps: spec.steps.iter().map(StepRecord::new).collect(),
        }
    }

    /// Returns whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepRecord::is_done)
    }

    /// Returns whether the steps that a step depends on are done.
    pub fn is_ready(&self, spec: &JobSpec, step: u16) -> bool {
        let after = &spec.steps[usize::from(step)].after;
        after
            .iter()
            .all(|before| self.steps[usize::from(*before)].is_done())
    }
}

/// Whether and how a job has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// It has not ended.
    Open,
    /// All repetitions are done.
    Succeeded,
    /// A task failed permanently or crashed too many workers.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// State of a job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The job as its caller described it.
    pub spec: Arc<JobSpec>,
    /// Terms of its queue at the time of its acceptance.
    pub terms: JobTerms,
    /// When it was accepted, by the leader's time of day.
    pub accepted_at: WallMillis,
    /// When it ended, by the leader's time of day; 0 before that.
    pub ended_at: WallMillis,
    /// Whether and how it has ended.
    pub outcome: JobOutcome,
    /// Whether a task has started.
    pub begun: bool,
    /// Open repetitions of the job by number (`time` in the names means a repetition): those that were opened
    /// and are not done.
    pub times: BTreeMap<u32, RepetitionRecord>,
    /// Number of repetitions that are done.
    pub times_done: u32,
    /// Number of the first repetition that has not been opened yet.
    pub next_time: u32,
}

impl JobRecord {
    /// Returns whether a task of it has succeeded.
    pub fn has_done_task(&self) -> bool {
        let steps = self.times.values().flat_map(|time| &time.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        self.times_done > 0 || tasks.any(|task| task.phase == TaskPhase::Done)
    }

    /// Returns the task for which the job failed because workers ended while they ran it, and the ends of
    /// these workers.
    pub fn crashing_task(&self) -> Option<(TaskKey, &CrashCount)> {
        if self.outcome != JobOutcome::Failed {
            return None;
        }
        let steps = self.times.iter().flat_map(|(time, record)| {
            let numbered = record.steps.iter().enumerate();
            numbered.map(move |(number, step)| (*time, number as u16, step))
        });
        steps
            .flat_map(|(time, step, record)| {
                let job = self.spec.id;
                let key = StepKey { job, time, step };
                let tasks = record.tasks.iter().enumerate();
                tasks.map(move |(index, task)| (key.task(index as u32), task))
            })
            .find_map(|(key, task)| {
                let count = task.crash_count()?;
                count.is_conclusive().then_some((key, count))
            })
    }

    /// Returns the job's state as reported to its caller.
    pub fn state(&self) -> JobState {
        match self.outcome {
            JobOutcome::Succeeded => JobState::Succeeded,
            JobOutcome::Failed => JobState::Failed,
            JobOutcome::Cancelled => JobState::Cancelled,
            JobOutcome::Open if self.begun => JobState::Running,
            JobOutcome::Open => JobState::Pending,
        }
    }

    /// Returns whether so many repetitions are open that the next one waits, although it is due.
    pub fn has_max_open_repetitions(&self) -> bool {
        self.times.len() >= MAX_OPEN_REPETITIONS
    }

    /// Returns whether a task is one of the job's, in a repetition that was opened or may be opened next.
    ///
    /// Events that name another task are ignored. If a leader crashed on one, its successors would crash as
    /// well, because they read the same ledger.
    fn has_task(&self, task: TaskKey) -> bool {
        let step = self.spec.steps.get(usize::from(task.step.step));
        let next = self.next_time.saturating_add(MAX_OPEN_REPETITIONS as u32);
        let time = task.step.time;
        time < self.spec.times() && time < next && step.is_some_and(|step| task.index < step.count)
    }

    /// Opens all repetitions up to this one, so that their steps can start.
    pub fn open_repetition(&mut self, time: u32) {
        while self.next_time <= time {
            let record = RepetitionRecord::new(&self.spec);
            self.times.insert(self.next_time, record);
            self.next_time += 1;
        }
    }

    /// Returns a step of an open repetition.
    pub fn step(&self, key: StepKey) -> Option<&StepRecord> {
        self.times.get(&key.time)?.steps.get(usize::from(key.step))
    }

    /// Returns a task of an open repetition.
    pub fn task(&self, key: TaskKey) -> Option<&TaskRecord> {
        self.step(key.step)?.tasks.get(key.index as usize)
    }

    fn apply_start(&mut self, task: TaskKey, run: RunId, worker: &WorkerId) {
        if !self.has_task(task) {
            return;
        }
        self.open_repetition(task.step.time);
        self.begun = true;
        let Some(time) = self.times.get_mut(&task.step.time) else {
            return;
        };
        let Some(step) = time.steps.get_mut(usize::from(task.step.step)) else {
            return;
        };
        let index = task.index as usize;
        let phase = TaskPhase::Placed {
            worker: worker.clone(),
            run,
        };
        step.set_phase(index, phase);
        step.tasks[index].last_run = run;
    }

    fn apply_end(&mut self, task: TaskKey, run: RunId, how: EndKind, saved: &str, at: WallMillis) {
        if !self.has_task(task) {
            return;
        }
        let number = usize::from(task.step.step);
        let Some(spec) = self.spec.steps.get(number) else {
            return;
        };
        let (gang, lasting, attempts) = (spec.gang, spec.lasting, self.terms.attempts);
        let Some(time) = self.times.get_mut(&task.step.time) else {
            return;
        };
        let step = &mut time.steps[number];
        let index = task.index as usize;
        let current =
            matches!(&step.tasks[index].phase, TaskPhase::Placed { run: now, .. } if *now == run);
        // The run was declared lost while its worker did not respond. The worker's report counts.
        let late = how == EndKind::Done && step.may_report_late(index, run) && !lasting;
        if !current && !late {
            return;
        }
        // The task's downtime counts from `ended_at`. A start order that had no effect does not interrupt the
        // downtime, so `ended_at` stays.
        if how != EndKind::NeverRan {
            step.tasks[index].ended_at = at;
        }
        if !saved.is_empty() {
            record_progress(step, index, gang, saved);
        }
        // A worker's report about a run shows that the worker had not ended while it ran it.
        let lost = matches!(how, EndKind::Lost | EndKind::Crashed(_) | EndKind::NeverRan);
        if let Some(count) = step.tasks[index].crashes.as_deref_mut().filter(|_| !lost) {
            count.remove_end(run);
        }
        match how {
            EndKind::Done if lasting => step.set_phase(index, TaskPhase::Waiting),
            EndKind::Done if gang && late => finish_all_members(step),
            EndKind::Done if gang => finish_gang(step, run),
            EndKind::Done => step.set_phase(index, TaskPhase::Done),
            EndKind::Failed => {
                count_failure(step, index, gang, run);
                step.set_phase(index, TaskPhase::Waiting);
                let attempts_exhausted = !lasting && step.tasks[index].failures >= attempts;
                // A run that is being stopped may fail: its job stays cancelled.
                if attempts_exhausted && self.outcome == JobOutcome::Open {
                    self.outcome = JobOutcome::Failed;
                }
            }
            EndKind::Crashed(evidence) => {
                count_crash(&mut step.tasks[index], evidence);
                step.set_phase(index, TaskPhase::Waiting);
            }
            _ => step.set_phase(index, TaskPhase::Waiting),
        }
        if !matches!(how, EndKind::Done | EndKind::NeverRan) {
            // Runs of a long-running task end for many reasons, most of them after a long time.
            if !lasting {
                count_run(&mut step.tasks[index], run, how);
            }
            self.fail_if_crashing(number, task);
        }
        if self.times[&task.step.time].is_done() {
            self.times.remove(&task.step.time);
            self.times_done += 1;
        }
        if self.times_done == self.spec.times() && self.outcome == JobOutcome::Open {
            self.outcome = JobOutcome::Succeeded;
        }
    }

    /// Records that a worker has ended while it had a run that is not declared lost yet.
    fn apply_crash(&mut self, task: TaskKey, run: RunId, evidence: CrashEvidence) {
        if !self.has_task(task) {
            return;
        }
        let time = self.times.get_mut(&task.step.time);
        let step = time.and_then(|time| time.steps.get_mut(usize::from(task.step.step)));
        let Some(record) = step.and_then(|step| step.tasks.get_mut(task.index as usize)) else {
            return;
        };
        if matches!(&record.phase, TaskPhase::Placed { run: now, .. } if *now == run) {
            count_crash(record, evidence);
        }
    }

    /// Fails the job if a task has crashed so many workers that it would take down one after another if it
    /// were started again.
    fn fail_if_crashing(&mut self, step: usize, task: TaskKey) {
        let time = self.times.get(&task.step.time);
        let record = time.and_then(|time| time.steps[step].tasks.get(task.index as usize));
        let count = record.and_then(TaskRecord::crash_count);
        if count.is_some_and(CrashCount::is_conclusive) && self.outcome == JobOutcome::Open {
            self.outcome = JobOutcome::Failed;
        }
    }
}

/// The state of all jobs.
#[derive(Clone, Debug, Default)]
pub struct JobBook {
    jobs: BTreeMap<JobId, JobRecord>,
    early_cancels: EarlyCancels,
    newest_table_version: u64,
}

impl JobBook {
    /// Applies an event.
    pub fn apply(&mut self, event: &LedgerEvent) {
        match event {
            LedgerEvent::Accepted { spec, terms, at } => {
                self.accept(spec, terms, *at, JobOutcome::Open);
                return;
            }
            LedgerEvent::AcceptedCancelled { spec, terms, at } => {
                self.accept(spec, terms, *at, JobOutcome::Cancelled);
                return;
            }
            LedgerEvent::CancelledUnknown { job, customer, at } => {
                self.early_cancels.record(*job, customer, *at);
                return;
            }
            _ => {}
        }
        let Some(job) = event.job().and_then(|job| self.jobs.get_mut(&job)) else {
            return;
        };
        match event {
            LedgerEvent::Accepted { .. }
            | LedgerEvent::AcceptedCancelled { .. }
            | LedgerEvent::CancelledUnknown { .. }
            | LedgerEvent::HoldStopped { .. }
            | LedgerEvent::HoldResumed { .. } => {}
            LedgerEvent::Cancelled { at, .. } => {
                if job.outcome == JobOutcome::Open {
                    job.outcome = JobOutcome::Cancelled;
                    job.ended_at = *at;
                }
            }
            LedgerEvent::Started { task, run, worker } => job.apply_start(*task, *run, worker),
            LedgerEvent::Ended {
                task,
                run,
                how,
                saved,
                at,
            } => {
                let open = job.outcome == JobOutcome::Open;
                job.apply_end(*task, *run, *how, saved, *at);
                if open && job.outcome != JobOutcome::Open {
                    job.ended_at = *at;
                }
            }
            LedgerEvent::CrashSeen {
                task,
                run,
                evidence,
            } => job.apply_crash(*task, *run, *evidence),
        }
    }

    fn accept(
        &mut self,
        spec: &Arc<JobSpec>,
        terms: &JobTerms,
        at: WallMillis,
        outcome: JobOutcome,
    ) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.newest_table_version = self.newest_table_version.max(terms.table_version);
        let mut record = JobRecord {
            spec: spec.clone(),
            terms: terms.clone(),
            accepted_at: at,
            ended_at: if outcome == JobOutcome::Open { 0 } else { at },
            outcome,
            begun: false,
            times: BTreeMap::new(),
            times_done: 0,
            next_time: 0,
        };
        if spec.repeats == 0 {
            record.open_repetition(0);
        }
        self.jobs.insert(spec.id, record);
    }

    /// Returns a job.
    pub fn job(&self, id: JobId) -> Option<&JobRecord> {
        self.jobs.get(&id)
    }

    /// Returns a job, to open a repetition of it.
    pub fn job_mut(&mut self, id: JobId) -> Option<&mut JobRecord> {
        self.jobs.get_mut(&id)
    }

    /// Iterates over all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.values()
    }

    /// Returns the newest version of the configuration by which a job was accepted; 0 if there was no job.
    pub fn newest_table_version(&self) -> u64 {
        self.newest_table_version
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Removes a job whose acceptance was applied but is known not to be committed.
    pub fn withdraw(&mut self, id: JobId) {
        self.jobs.remove(&id);
    }

    /// Returns when a customer's callers last cancelled a job that was unknown; `None` if they did not, or too
    /// long ago.
    pub fn early_cancel(&self, job: JobId, customer: &Option<CustomerName>) -> Option<WallMillis> {
        self.early_cancels.cancelled_at(job, customer)
    }

    /// Returns the customers whose callers have cancelled a job that was unknown.
    pub fn early_cancellers(&self, job: JobId) -> impl Iterator<Item = &Option<CustomerName>> {
        self.early_cancels.customers(job)
    }

    /// Returns whether another cancel of an unknown job can be recorded for a customer. Their number is
    /// limited, for each customer and in all.
    pub fn has_capacity_for_early_cancel(&self, customer: &Option<CustomerName>) -> bool {
        self.early_cancels.has_capacity(customer)
    }

    /// Removes jobs that ended, and cancels of unknown jobs, before a time.
    pub fn forget_ended(&mut self, before: WallMillis) {
        self.early_cancels.forget(before);
        self.jobs
            .retain(|_, job| job.outcome == JobOutcome::Open || job.ended_at >= before);
    }
}
