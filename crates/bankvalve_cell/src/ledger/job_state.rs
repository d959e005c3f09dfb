//! State of one job, as the ledger's events leave it.

use serde::{Deserialize, Serialize};

use super::ReleaseReason;
use crate::contract::JobSpec;
use crate::ids::{Attempt, DomainName, Epoch, PartitionIndex, RackName, UnixMillis, WorkerName};
use crate::link::TaskOutcome;
use crate::machine::TaskSize;

/// Failed attempts after which a task is given up.
pub const MAX_FAILED_ATTEMPTS: u32 = 3;
/// Room added, in percent, to the usage seen of a task that overran its declaration.
const OVERRUN_MARGIN_PERCENT: u32 = 10;

/// Phase of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// It waits to be assigned.
    Waiting,
    /// Its attempt is assigned to a worker partition and may run.
    Assigned {
        /// The partition.
        partition: PartitionIndex,
        /// Epoch that the intent was recorded for.
        epoch: Epoch,
    },
    /// Its attempt was seen running.
    Running {
        /// The partition.
        partition: PartitionIndex,
        /// Epoch that the intent was recorded for.
        epoch: Epoch,
    },
    /// It is over.
    Done(TaskOutcome),
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Latest attempt, zero before the first.
    pub attempt: Attempt,
    /// Attempts that failed.
    pub failures: u32,
    /// Its phase.
    pub phase: TaskPhase,
    /// Worker that the latest attempt was seen on.
    pub worker: Option<WorkerName>,
    /// Failure domain of that worker.
    pub domain: Option<DomainName>,
    /// Rack of that worker.
    pub rack: Option<RackName>,
    /// When an attempt was first seen running.
    pub first_started_at: Option<UnixMillis>,
}

impl TaskState {
    fn new() -> Self {
        Self {
            attempt: 0,
            failures: 0,
            phase: TaskPhase::Waiting,
            worker: None,
            domain: None,
            rack: None,
            first_started_at: None,
        }
    }

    /// Tells whether an attempt may be running.
    pub fn is_active(&self) -> bool {
        self.placed_in().is_some()
    }

    /// The partition and epoch of the active attempt.
    pub fn placed_in(&self) -> Option<(PartitionIndex, Epoch)> {
        match self.phase {
            TaskPhase::Assigned { partition, epoch } | TaskPhase::Running { partition, epoch } => {
                Some((partition, epoch))
            }
            _ => None,
        }
    }
}

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Some task is not over.
    Active,
    /// All tasks succeeded.
    Done,
    /// Some task failed or its outcome is unknown.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobPhase {
    /// Name as shown to people.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPhase::Active => "active",
            JobPhase::Done => "done",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        }
    }
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The job.
    pub spec: JobSpec,
    /// Number in the order of acceptance inside the partition.
    pub order: u64,
    /// When it was accepted.
    pub submitted_at: UnixMillis,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether the gang's current attempts may start.
    pub gang_committed: bool,
    /// Its tasks.
    pub tasks: Vec<TaskState>,
    /// Size to reserve for each task, corrected after overruns.
    pub reserve: TaskSize,
    /// Sum of run times of tasks that succeeded, in milliseconds.
    pub ran_ms_sum: u64,
    /// Number of tasks in that sum.
    pub ran_count: u32,
}

impl JobState {
    /// State of a job that was just accepted.
    pub fn new(spec: JobSpec, order: u64, submitted_at: UnixMillis) -> Self {
        let tasks = spec.tasks().map(|_| TaskState::new()).collect();
        let reserve = spec.size;
        Self {
            spec,
            order,
            submitted_at,
            cancelled: false,
            gang_committed: false,
            tasks,
            reserve,
            ran_ms_sum: 0,
            ran_count: 0,
        }
    }

    /// The job's phase.
    pub fn phase(&self) -> JobPhase {
        let finished = |task: &TaskState| matches!(task.phase, TaskPhase::Done(_));
        if !self.tasks.iter().all(finished) {
            return JobPhase::Active;
        }
        if self.cancelled {
            return JobPhase::Cancelled;
        }
        let succeeded =
            |task: &TaskState| matches!(task.phase, TaskPhase::Done(TaskOutcome::Succeeded));
        if self.tasks.iter().all(succeeded) {
            JobPhase::Done
        } else {
            JobPhase::Failed
        }
    }

    /// Expected run time of a task in milliseconds: learnt if any has finished, else declared.
    pub fn expected_run_ms(&self) -> u64 {
        if self.ran_count == 0 {
            self.spec.run_time_ms
        } else {
            self.ran_ms_sum / u64::from(self.ran_count)
        }
    }

    /// Tells whether a gang has an attempt that is active while another must start anew.
    pub fn is_broken_gang(&self) -> bool {
        let waiting = |task: &TaskState| task.phase == TaskPhase::Waiting;
        self.spec.is_gang()
            && self.tasks.iter().any(waiting)
            && self.tasks.iter().any(TaskState::is_active)
    }

    /// Tells whether a task may be assigned now.
    pub fn is_assignable(&self, task: u32) -> bool {
        if self.cancelled || self.tasks[task as usize].phase != TaskPhase::Waiting {
            return false;
        }
        !self.spec.is_gang() || !self.tasks.iter().any(TaskState::is_active)
    }

    /// Applies the end of an attempt on a worker.
    pub fn apply_end(&mut self, task: u32, outcome: TaskOutcome, ran_ms: u64, peak: TaskSize) {
        self.update_estimates(outcome, ran_ms, peak);
        let service = self.spec.service().is_some();
        let repeatable = self.spec.repeatable;
        let cancelled = self.cancelled;
        let state = &mut self.tasks[task as usize];
        let failed = matches!(outcome, TaskOutcome::Failed | TaskOutcome::Overran);
        if failed {
            state.failures += 1;
        }
        let runs_again = !cancelled
            && repeatable
            && match outcome {
                TaskOutcome::Succeeded => service,
                TaskOutcome::Failed | TaskOutcome::Overran => {
                    service || state.failures < MAX_FAILED_ATTEMPTS
                }
                TaskOutcome::Preempted | TaskOutcome::LeaseLapsed => true,
                TaskOutcome::Cancelled | TaskOutcome::Unknown => false,
            };
        state.phase = if runs_again {
            TaskPhase::Waiting
        } else {
            TaskPhase::Done(outcome)
        };
    }

    /// Applies the release of an attempt that no worker reported the end of.
    pub fn apply_release(&mut self, task: u32, reason: ReleaseReason) {
        let cancelled = self.cancelled;
        let repeatable = self.spec.repeatable;
        let state = &mut self.tasks[task as usize];
        state.phase = match reason {
            ReleaseReason::Lost if !repeatable => TaskPhase::Done(TaskOutcome::Unknown),
            _ if cancelled => TaskPhase::Done(TaskOutcome::Cancelled),
            _ => TaskPhase::Waiting,
        };
    }

    /// Marks the job cancelled; tasks that wait are over at once.
    pub fn apply_cancel(&mut self) {
        self.cancelled = true;
        for state in &mut self.tasks {
            if state.phase == TaskPhase::Waiting {
                state.phase = TaskPhase::Done(TaskOutcome::Cancelled);
            }
        }
    }

    fn update_estimates(&mut self, outcome: TaskOutcome, ran_ms: u64, peak: TaskSize) {
        if outcome == TaskOutcome::Succeeded {
            self.ran_ms_sum += ran_ms;
            self.ran_count += 1;
        }
        if outcome == TaskOutcome::Overran {
            let memory = peak.memory_mib.saturating_mul(100 + OVERRUN_MARGIN_PERCENT) / 100;
            self.reserve.memory_mib = self.reserve.memory_mib.max(memory);
        }
    }
}
