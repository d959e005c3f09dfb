//! The state of all jobs, as the ledger's events make it.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::step_record::{
    count_crash, count_failure, finish_gang, finish_whole_gang, keep_progress,
};
use super::{CrashCount, CrashEvidence, EndKind, LedgerEvent, StepRecord, TaskPhase, TaskRecord};
use crate::caller::JobState;
use crate::ids::{JobId, RunId, StepKey, TaskKey, WallMillis, WorkerId};
use crate::job::{JobSpec, JobTerms};

/// Times of a job that are open at once: one whose times come faster than they are done, or are long
/// due, would otherwise fill the memory of one leader after the other.
const OPEN_TIMES: usize = 64;

/// One time of a job.
#[derive(Clone, Debug)]
pub struct RepetitionRecord {
    /// Its steps.
    pub steps: Vec<StepRecord>,
}

impl RepetitionRecord {
    fn new(spec: &JobSpec) -> Self {
        Self {
            steps: spec.steps.iter().map(StepRecord::new).collect(),
        }
    }

    /// Tells whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepRecord::is_done)
    }

    /// Tells whether the steps that a step waits for are done.
    pub fn is_ready(&self, spec: &JobSpec, step: u16) -> bool {
        let after = &spec.steps[usize::from(step)].after;
        after
            .iter()
            .all(|before| self.steps[usize::from(*before)].is_done())
    }
}

/// How a job ended, if it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// It goes on.
    Open,
    /// All times are done.
    Succeeded,
    /// A task failed for good.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// As its caller described it.
    pub spec: Arc<JobSpec>,
    /// Terms of its queue when it was accepted.
    pub terms: JobTerms,
    /// When it was accepted.
    pub accepted_at: WallMillis,
    /// When it ended.
    pub ended_at: WallMillis,
    /// How it ended.
    pub outcome: JobOutcome,
    /// Whether a task has begun.
    pub begun: bool,
    /// Times that have begun to be worked on and are not done.
    pub times: BTreeMap<u32, RepetitionRecord>,
    /// Times that are done.
    pub times_done: u32,
    /// Least time that has not been opened yet.
    pub next_time: u32,
}

impl JobRecord {
    /// Tells whether a task of it has ended well.
    pub fn has_done_task(&self) -> bool {
        let steps = self.times.values().flat_map(|time| &time.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        self.times_done > 0 || tasks.any(|task| task.phase == TaskPhase::Done)
    }

    /// The task for which it was given up because workers ended under it, with these.
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

    /// How the job stands, as its caller is told.
    pub fn state(&self) -> JobState {
        match self.outcome {
            JobOutcome::Succeeded => JobState::Succeeded,
            JobOutcome::Failed => JobState::Failed,
            JobOutcome::Cancelled => JobState::Cancelled,
            JobOutcome::Open if self.begun => JobState::Running,
            JobOutcome::Open => JobState::Pending,
        }
    }

    /// Whether it has so many open times that the next one waits, although it is due.
    pub fn has_max_open_repetitions(&self) -> bool {
        self.times.len() >= OPEN_TIMES
    }

    /// Whether a task is one of the job's, of a time that is open or may be opened next.
    ///
    /// What names another one is passed over: a leader that ended on it would hand it to the next,
    /// which reads the same ledger.
    fn has_place_for(&self, task: TaskKey) -> bool {
        let step = self.spec.steps.get(usize::from(task.step.step));
        let next = self.next_time.saturating_add(OPEN_TIMES as u32);
        let time = task.step.time;
        time < self.spec.times() && time < next && step.is_some_and(|step| task.index < step.count)
    }

    /// Opens a time, so that its steps can be worked on.
    pub fn open_repetition(&mut self, time: u32) {
        while self.next_time <= time {
            let record = RepetitionRecord::new(&self.spec);
            self.times.insert(self.next_time, record);
            self.next_time += 1;
        }
    }

    /// A step of an open time.
    pub fn step(&self, key: StepKey) -> Option<&StepRecord> {
        self.times.get(&key.time)?.steps.get(usize::from(key.step))
    }

    /// A task of an open time.
    pub fn task(&self, key: TaskKey) -> Option<&TaskRecord> {
        self.step(key.step)?.tasks.get(key.index as usize)
    }

    fn apply_start(&mut self, task: TaskKey, run: RunId, worker: &WorkerId) {
        if !self.has_place_for(task) {
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
        if !self.has_place_for(task) {
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
        // It was given up meanwhile, as its worker was silent; the worker's word counts.
        let late = how == EndKind::Done && step.may_report_late(index, run) && !lasting;
        if !current && !late {
            return;
        }
        // An order that took no effect ended no time away.
        if how != EndKind::NeverRan {
            step.tasks[index].ended_at = at;
        }
        if !saved.is_empty() {
            keep_progress(step, index, gang, saved);
        }
        // What a worker tells of a run shows that it had not ended under it.
        let lost = matches!(how, EndKind::Lost | EndKind::Crashed(_) | EndKind::NeverRan);
        if let Some(count) = step.tasks[index].crashes.as_deref_mut().filter(|_| !lost) {
            count.remove_end(run);
        }
        match how {
            EndKind::Done if lasting => step.set_phase(index, TaskPhase::Waiting),
            EndKind::Done if gang && late => finish_whole_gang(step),
            EndKind::Done if gang => finish_gang(step, run),
            EndKind::Done => step.set_phase(index, TaskPhase::Done),
            EndKind::Failed => {
                count_failure(step, index, gang, run);
                step.set_phase(index, TaskPhase::Waiting);
                let spent = !lasting && step.tasks[index].failures >= attempts;
                // A run that is being stopped may fail: its job stays cancelled.
                if spent && self.outcome == JobOutcome::Open {
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
            // The runs of a task that lasts end for many reasons, most of them after a long life.
            let counted = step.tasks[index].crashes.as_mut().filter(|_| !lasting);
            if let Some(count) = counted {
                count.note_run(run, how != EndKind::Lost);
            }
            self.give_up_if_spent(number, task);
        }
        if self.times[&task.step.time].is_done() {
            self.times.remove(&task.step.time);
            self.times_done += 1;
        }
        if self.times_done == self.spec.times() && self.outcome == JobOutcome::Open {
            self.outcome = JobOutcome::Succeeded;
        }
    }

    /// A worker has ended under a run that is not given up yet.
    fn apply_crash(&mut self, task: TaskKey, run: RunId, evidence: CrashEvidence) {
        if !self.has_place_for(task) {
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

    /// Gives the job up for a task that, started again and again, would take one worker after the other
    /// down.
    fn give_up_if_spent(&mut self, step: usize, task: TaskKey) {
        let time = self.times.get(&task.step.time);
        let record = time.and_then(|time| time.steps[step].tasks.get(task.index as usize));
        let count = record.and_then(TaskRecord::crash_count);
        if count.is_some_and(CrashCount::is_conclusive) && self.outcome == JobOutcome::Open {
            self.outcome = JobOutcome::Failed;
        }
    }
}

/// All jobs.
#[derive(Clone, Debug, Default)]
pub struct JobBook {
    jobs: BTreeMap<JobId, JobRecord>,
}

impl JobBook {
    /// Applies an event.
    pub fn apply(&mut self, event: &LedgerEvent) {
        if let LedgerEvent::Accepted { spec, terms, at } = event {
            self.accept(spec, terms, *at);
            return;
        }
        let Some(job) = event.job().and_then(|job| self.jobs.get_mut(&job)) else {
            return;
        };
        match event {
            LedgerEvent::Accepted { .. }
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

    fn accept(&mut self, spec: &Arc<JobSpec>, terms: &JobTerms, at: WallMillis) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        let mut record = JobRecord {
            spec: spec.clone(),
            terms: terms.clone(),
            accepted_at: at,
            ended_at: 0,
            outcome: JobOutcome::Open,
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

    /// A job.
    pub fn job(&self, id: JobId) -> Option<&JobRecord> {
        self.jobs.get(&id)
    }

    /// A job, to open a time of it.
    pub fn job_mut(&mut self, id: JobId) -> Option<&mut JobRecord> {
        self.jobs.get_mut(&id)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.values()
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Takes back a job that was applied but surely not kept.
    pub fn withdraw(&mut self, id: JobId) {
        self.jobs.remove(&id);
    }

    /// Forgets jobs that ended before a time.
    pub fn forget_ended(&mut self, before: WallMillis) {
        self.jobs
            .retain(|_, job| job.outcome == JobOutcome::Open || job.ended_at >= before);
    }
}
