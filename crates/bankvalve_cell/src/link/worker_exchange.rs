//! Exchanges between the owner of a worker partition and its workers.
//!
//! Only this module defines the messages of the worker's contract. The
//! guarantees that the contract relies on are listed in `docs/PLATFORM.md`.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{
    Attempt, Epoch, Incarnation, JobId, PartitionIndex, ServiceName, TaskIndex, TeamName,
    WorkerClock,
};
use crate::machine::TaskSize;

/// Identifies one attempt at running one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Team that the job belongs to. Job ids are unique within a team.
    pub team: TeamName,
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job.
    pub task: TaskIndex,
    /// Number of the attempt, starting at one.
    pub attempt: Attempt,
}

impl TaskKey {
    /// Returns the id of the task that this attempt runs.
    pub fn id(&self) -> TaskId {
        TaskId {
            team: self.team.clone(),
            job: self.job.clone(),
            task: self.task,
        }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}/{}#{}",
            self.team, self.job, self.task, self.attempt
        )
    }
}

/// Identifies a task across all of its attempts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Team that the job belongs to.
    pub team: TeamName,
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job.
    pub task: TaskIndex,
}

impl TaskId {
    /// Returns the key of an attempt at this task.
    pub fn attempt(&self, attempt: Attempt) -> TaskKey {
        TaskKey {
            team: self.team.clone(),
            job: self.job.clone(),
            task: self.task,
            attempt,
        }
    }
}

/// Fencing token that orders all exchanges with one worker.
///
/// The worker keeps the greatest token that it has seen and refuses smaller
/// ones. Tokens compare by epoch first, so the tokens of a new owner are
/// greater than all tokens of the previous owner.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FenceToken {
    /// Epoch of the worker partition.
    pub epoch: Epoch,
    /// Number of the exchange within the epoch.
    pub sequence: u64,
}

/// Properties of a task that the worker stores, so that a new owner learns them from its report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLabel {
    /// Team partition that holds the job.
    pub team_partition: PartitionIndex,
    /// Resources that are reserved for the task.
    pub size: TaskSize,
    /// Service that the task serves, if any.
    pub service: Option<ServiceName>,
    /// Whether the task may run again after an attempt was lost.
    pub repeatable: bool,
    /// Whether the task is urgent. Urgent tasks are never preempted.
    pub urgent: bool,
    /// Whether the task belongs to a gang.
    pub gang: bool,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerCommand {
    /// Start a task. Repeating the command for a task that the worker holds changes nothing.
    Start {
        /// The attempt.
        key: TaskKey,
        /// Properties of the task.
        label: TaskLabel,
        /// Declared run time in milliseconds, zero for services.
        run_time_ms: u64,
        /// What the worker runs.
        payload: String,
    },
    /// Save the task's progress.
    Checkpoint {
        /// The attempt.
        key: TaskKey,
    },
    /// Limit the task to a share of its declared processor time.
    Throttle {
        /// The attempt.
        key: TaskKey,
        /// Share in percent.
        percent: u8,
    },
    /// Stop the task.
    Stop {
        /// The attempt.
        key: TaskKey,
        /// Outcome to report for it.
        outcome: TaskOutcome,
    },
    /// Forget a task that has ended and whose outcome is committed to the ledger.
    Forget {
        /// The attempt.
        key: TaskKey,
    },
}

/// One exchange with a worker: renews the leases of the tasks that it holds and carries commands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerExchange {
    /// Token of the exchange. Once it has accepted this exchange, the worker refuses smaller tokens.
    pub token: FenceToken,
    /// Incarnation of the worker that the commands are for, or `None` to request only a report.
    pub incarnation: Option<Incarnation>,
    /// End of the leases on the worker's clock, or `None` to renew no lease.
    pub lease_until: Option<WorkerClock>,
    /// Commands to run, in this order.
    pub commands: Vec<WorkerCommand>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It ran to completion.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// It was stopped because its job was cancelled.
    Cancelled,
    /// It was stopped to free capacity for urgent tasks or to drain the worker.
    Preempted,
    /// It was stopped for using more memory than it declared.
    Overran,
    /// Its lease expired before it was renewed.
    LeaseLapsed,
    /// It may or may not have run to completion, and must not run again.
    Unknown,
}

impl TaskOutcome {
    /// Returns the name used in command output and in the archive.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskOutcome::Succeeded => "succeeded",
            TaskOutcome::Failed => "failed",
            TaskOutcome::Cancelled => "cancelled",
            TaskOutcome::Preempted => "preempted",
            TaskOutcome::Overran => "overran",
            TaskOutcome::LeaseLapsed => "lease_lapsed",
            TaskOutcome::Unknown => "unknown",
        }
    }
}

/// Phase of a task that a worker holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeldPhase {
    /// It runs.
    Running,
    /// It has ended. The worker holds it until a `Forget` command.
    Ended(TaskOutcome),
}

/// A task that a worker holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTask {
    /// The attempt.
    pub key: TaskKey,
    /// Properties that the owner sent with the start command.
    pub label: TaskLabel,
    /// Its phase.
    pub phase: HeldPhase,
    /// Latest measured usage, which lags behind the current usage.
    pub usage: TaskSize,
    /// Run time so far in milliseconds.
    pub ran_ms: u64,
}

/// A worker's answer to an exchange, with all tasks that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Token of the exchange that the report answers.
    pub token: FenceToken,
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// Reading of the worker's clock, in milliseconds.
    pub clock: WorkerClock,
    /// All tasks that it holds, running or ended.
    pub held: Vec<HeldTask>,
    /// Number of requests that it is serving.
    pub slots_in_use: u32,
}

/// Reason why a worker refused an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRefusal {
    /// The worker has seen a greater token.
    TokenPassed {
        /// The greatest token that it has seen.
        greatest: FenceToken,
    },
    /// The commands are for another incarnation of the worker.
    OtherIncarnation,
    /// The requested lease end has already passed on the worker's clock.
    LeaseOver,
}
