//! State of one job, built from the ledger's events.

use serde::{Deserialize, Serialize};

use super::ReleaseReason;
use crate::contract::JobSpec;
use crate::ids::{Attempt, DomainName, Epoch, PartitionIndex, RackName, UnixMillis, WorkerName};
use crate::link::TaskOutcome;
use crate::machine::TaskSize;

/// Failed attempts after which a task of a batch job or gang is not run again.
pub const MAX_FAILED_ATTEMPTS: u32 = 3;
/// Margin in percent that is added to the peak memory of a task that exceeded its reservation.
const OVERRUN_MARGIN_PERCENT: u32 = 10;

/// Phase of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task waits to be assigned.
    Waiting,
    /// The latest attempt is assigned to a worker partition and may be running.
    Assigned {
        /// The worker partition.
        partition: PartitionIndex,
        /// The partition's epoch in the ledger event `Intended`, which assigned the attempt.
        epoch: Epoch,
    },
    /// The latest attempt was reported as running.
    Running {
        /// The worker partition.
        partition: PartitionIndex,
        /// The partition's epoch in the ledger event `Intended`, which assigned the attempt.
        epoch: Epoch,
    },
    /// The task has finished.
    Done(TaskOutcome),
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Number of the latest attempt; zero before the first.
    pub attempt: Attempt,
    /// Number of failed attempts.
    pub failures: u32,
    /// Phase of the task.
    pub phase: TaskPhase,
    /// Worker that reported the latest attempt, if any has.
    pub worker: Option<WorkerName>,
    /// Failure domain of that worker.
    pub domain: Option<DomainName>,
    /// Rack of that worker.
    pub rack: Option<RackName>,
    /// Time at which an attempt was first reported as running.
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

    /// Returns whether the latest attempt may be running.
    pub fn is_active(&self) -> bool {
        self.placed_in().is_some()
    }

    /// Returns the worker partition and epoch of the active attempt, or `None` if no attempt is active.
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
    /// Some task has not finished.
    Active,
    /// All tasks succeeded.
    Done,
    /// All tasks have finished, and some did not succeed.
    Failed,
    /// The job was cancelled, and all its tasks have finished.
    Cancelled,
}

impl JobPhase {
    /// Returns the name used in command output.
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
    /// The job as submitted.
    pub spec: JobSpec,
    /// Position in the order in which the team partition accepted its jobs.
    pub order: u64,
    /// Time at which the job was accepted.
    pub submitted_at: UnixMillis,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether the current attempts of the gang may start.
    pub gang_committed: bool,
    /// The job's tasks, by index.
    pub tasks: Vec<TaskState>,
    /// Size to reserve for each task: the declared size, with more memory once a task exceeded it.
    pub reserve: TaskSize,
    /// Sum of the run times of attempts that succeeded, in milliseconds.
    pub ran_ms_sum: u64,
    /// Number of attempts in `ran_ms_sum`.
    pub ran_count: u32,
}

impl JobState {
    /// Creates the state of a job that was just accepted.
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

    /// Returns the job's phase.
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

    /// Returns the expected run time of a task in milliseconds: the mean of the attempts that succeeded,
    /// or the declared time if none has.
    pub fn expected_run_ms(&self) -> u64 {
        if self.ran_count == 0 {
            self.spec.run_time_ms
        } else {
            self.ran_ms_sum / u64::from(self.ran_count)
        }
    }

    /// Returns whether the job is a gang of which some tasks are active while others wait to be assigned.
    pub fn is_broken_gang(&self) -> bool {
        let waiting = |task: &TaskState| task.phase == TaskPhase::Waiting;
        self.spec.is_gang()
            && self.tasks.iter().any(waiting)
            && self.tasks.iter().any(TaskState::is_active)
    }

    /// Returns whether a task may be assigned now. A gang's task may be assigned only while none is active.
    pub fn is_assignable(&self, task: u32) -> bool {
        if self.cancelled || self.tasks[task as usize].phase != TaskPhase::Waiting {
            return false;
        }
        !self.spec.is_gang() || !self.tasks.iter().any(TaskState::is_active)
    }

    /// Applies the end of an attempt, as a worker reported it. The task runs again only if the job is
    /// repeatable.
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

    /// Applies the release of an attempt: no worker reported its end, but it is known not to be running.
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

    /// Marks the job as cancelled. Tasks that wait to be assigned finish at once.
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
