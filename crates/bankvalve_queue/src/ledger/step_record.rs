//! A step's tasks, and what ends of their runs do to them.

use super::{CrashCount, CrashEnd, CrashEvidence};
use crate::ids::{RunId, WallMillis, WorkerId};
use crate::job::StepSpec;

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// It has no run.
    Waiting,
    /// A run was ordered, or is about to be.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// The run.
        run: RunId,
    },
    /// It has ended well.
    Done,
}

/// A task.
#[derive(Clone, Debug)]
pub struct TaskRecord {
    /// Where it stands.
    pub phase: TaskPhase,
    /// Number of its newest run.
    pub last_run: RunId,
    /// Runs that failed.
    pub failures: u32,
    /// Workers that ended under it, if any did.
    pub crashes: Option<Box<CrashCount>>,
    /// When its newest run that ended was last known to run, by the time of day; 0 before that.
    pub ended_at: WallMillis,
    /// Progress saved last; empty for none.
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

    /// Workers that ended under it, if any did.
    pub fn crash_count(&self) -> Option<&CrashCount> {
        self.crashes.as_deref()
    }

    /// Whether it is started only where nothing else runs.
    pub fn is_suspect(&self) -> bool {
        self.crash_count().is_some_and(CrashCount::is_suspect)
    }
}

/// A step of one time.
#[derive(Clone, Debug)]
pub struct StepRecord {
    /// Its tasks.
    pub tasks: Vec<TaskRecord>,
    /// Tasks that ended well.
    pub done: u32,
    /// Tasks without a run.
    pub waiting: u32,
    /// Newest run of a gang that failed.
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

    /// Tells whether all tasks have ended well.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Greatest run number that any of its tasks has had.
    pub fn last_run(&self) -> RunId {
        self.tasks
            .iter()
            .map(|task| task.last_run)
            .max()
            .unwrap_or(0)
    }

    /// Tells whether a good end of another run than the one that is placed may still come of a task.
    ///
    /// That no start of the run is known speaks against this book, not against the worker's word:
    /// passed over, the end would be forgotten and its task done twice.
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

/// Progress of one member of a gang is good for all of them.
pub(super) fn keep_progress(step: &mut StepRecord, index: usize, gang: bool, saved: &str) {
    if gang {
        for task in &mut step.tasks {
            task.saved = saved.to_owned();
        }
    } else {
        step.tasks[index].saved = saved.to_owned();
    }
}

/// One good end of a gang stands for all members of the run.
pub(super) fn finish_gang(step: &mut StepRecord, run: RunId) {
    for index in 0..step.tasks.len() {
        let same =
            matches!(&step.tasks[index].phase, TaskPhase::Placed { run: now, .. } if *now == run);
        if same || step.tasks[index].phase == TaskPhase::Waiting {
            step.set_phase(index, TaskPhase::Done);
        }
    }
}

/// The same for a run that was given up, whatever has become of the members since.
pub(super) fn finish_whole_gang(step: &mut StepRecord) {
    for index in 0..step.tasks.len() {
        if step.tasks[index].phase != TaskPhase::Done {
            step.set_phase(index, TaskPhase::Done);
        }
    }
}

/// A failure of any member of a gang counts once a run, for all members.
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

/// A worker ended under a task. It counts against that one alone, also in a gang: of forty members on
/// as many workers the others have nothing to do with it.
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
