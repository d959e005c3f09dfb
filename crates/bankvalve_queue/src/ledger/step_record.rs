//! The state of a step's tasks, and how ends of their runs change it.

use super::{CrashCount, CrashEnd, CrashEvidence, EndKind};
use crate::ids::{RunId, WallMillis, WorkerId};
use crate::job::StepSpec;

/// Phase of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// It has no run and has not succeeded.
    Waiting,
    /// A start order for a run was sent, or is about to be.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// The run.
        run: RunId,
    },
    /// It has succeeded.
    Done,
}

/// State of a task.
#[derive(Clone, Debug)]
pub struct TaskRecord {
    /// Its phase.
    pub phase: TaskPhase,
    /// Number of its newest run.
    pub last_run: RunId,
    /// Number of runs that failed.
    pub failures: u32,
    /// Ends of workers that had a run of it, or `None` if there were none.
    pub crashes: Option<Box<CrashCount>>,
    /// Time of day of the end of its newest ended run, or of the last contact with that run if the worker
    /// did not report the end; 0 before the first end.
    pub ended_at: WallMillis,
    /// Progress that was saved last; empty if there is none.
    pub saved: String,
}

impl TaskRecord {
    fn new() -> Self {
        Self {
            phase: TaskPhase::Waiting,
            last_run: 0,
            failures: 0,
            crashes: None,
            ended_at: 0,
            saved: String::new(),
        }
    }

    /// Returns the ends of workers that had a run of it, or `None` if there were none.
    pub fn crash_count(&self) -> Option<&CrashCount> {
        self.crashes.as_deref()
    }

    /// Returns whether it is a suspect, which starts on a worker where nothing else runs, if possible.
    pub fn is_suspect(&self) -> bool {
        self.crash_count().is_some_and(CrashCount::is_suspect)
    }
}

/// State of a step in one repetition.
#[derive(Clone, Debug)]
pub struct StepRecord {
    /// Its tasks.
    pub tasks: Vec<TaskRecord>,
    /// Number of tasks that have succeeded.
    pub done: u32,
    /// Number of tasks that are waiting for a run.
    pub waiting: u32,
    /// Newest run of the gang that failed.
    failed_run: RunId,
}

impl StepRecord {
    pub(super) fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskRecord::new(); spec.count as usize],
            done: 0,
            waiting: spec.count,
            failed_run: 0,
        }
    }

    /// Returns whether all tasks have succeeded.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the highest run number that any of its tasks has had.
    pub fn last_run(&self) -> RunId {
        self.tasks
            .iter()
            .map(|task| task.last_run)
            .max()
            .unwrap_or(0)
    }

    /// Returns whether a late success of this run of a task still counts: the task is not done, and the run
    /// is not the one that is placed.
    ///
    /// The run may be missing from this book, which is then incomplete, while the worker's report is right.
    /// If the end were ignored, the worker would forget it, and the task would be done twice.
    pub(crate) fn may_report_late(&self, index: usize, run: RunId) -> bool {
        match self.tasks[index].phase {
            TaskPhase::Waiting => true,
            TaskPhase::Placed { run: now, .. } => run != now,
            TaskPhase::Done => false,
        }
    }

    pub(super) fn set_phase(&mut self, index: usize, phase: TaskPhase) {
        let task = &mut self.tasks[index];
        match task.phase {
            TaskPhase::Waiting => self.waiting -= 1,
            TaskPhase::Done => self.done -= 1,
            TaskPhase::Placed { .. } => {}
        }
        match phase {
            TaskPhase::Waiting => self.waiting += 1,
            TaskPhase::Done => self.done += 1,
            TaskPhase::Placed { .. } => {}
        }
        task.phase = phase;
    }
}

/// Records the saved progress of a run. In a gang, the progress of one member applies to all.
pub(super) fn record_progress(step: &mut StepRecord, index: usize, gang: bool, saved: &str) {
    if gang {
        for task in &mut step.tasks {
            task.saved = saved.to_owned();
        }
    } else {
        step.tasks[index].saved = saved.to_owned();
    }
}

/// Marks the members of a gang that have this run, or none, as done, because one member has succeeded.
pub(super) fn finish_gang(step: &mut StepRecord, run: RunId) {
    for index in 0..step.tasks.len() {
        let same =
            matches!(&step.tasks[index].phase, TaskPhase::Placed { run: now, .. } if *now == run);
        if same || step.tasks[index].phase == TaskPhase::Waiting {
            step.set_phase(index, TaskPhase::Done);
        }
    }
}

/// Marks all members of a gang as done, because a run that was declared lost has succeeded. It does not
/// matter which run the members have now.
pub(super) fn finish_all_members(step: &mut StepRecord) {
    for index in 0..step.tasks.len() {
        if step.tasks[index].phase != TaskPhase::Done {
            step.set_phase(index, TaskPhase::Done);
        }
    }
}

/// Counts a failed run. In a gang, failures of several members in one run count once, for all members.
pub(super) fn count_failure(step: &mut StepRecord, index: usize, gang: bool, run: RunId) {
    if !gang {
        step.tasks[index].failures += 1;
    } else if step.failed_run != run {
        step.failed_run = run;
        for task in &mut step.tasks {
            task.failures += 1;
        }
    }
}

/// Records that a worker ended while it ran a task. This counts only against that task, also in a gang: if
/// forty members run on forty workers, the others are not involved.
pub(super) fn count_crash(task: &mut TaskRecord, evidence: CrashEvidence) {
    let TaskPhase::Placed { worker, run } = &task.phase else {
        return;
    };
    let end = CrashEnd {
        worker: worker.clone(),
        run: *run,
        evidence,
    };
    task.crashes.get_or_insert_default().note(end);
}

/// Counts a run that ended without success, for the limit of starts after several ends. A task without any
/// recorded end has a count only once the end of one of its runs was not reported.
pub(super) fn count_run(task: &mut TaskRecord, run: RunId, how: EndKind) {
    let reported = how != EndKind::Lost;
    let count = if reported {
        task.crashes.as_mut()
    } else {
        Some(task.crashes.get_or_insert_default())
    };
    if let Some(count) = count {
        count.note_run(run, reported);
    }
}
