//! What an owner says to a worker and what the worker answers.
//!
//! This is the one place where the worker's contract is met. The promises
//! that it rests on are listed in `docs/PLATFORM.md`.

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
    /// Team that the job belongs to; job ids are unique inside it.
    pub team: TeamName,
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task inside the job.
    pub task: TaskIndex,
    /// Attempt, from one.
    pub attempt: Attempt,
}

impl TaskKey {
    /// The task that this is an attempt at.
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

/// Identifies a task, whatever the attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Team that the job belongs to.
    pub team: TeamName,
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task inside the job.
    pub task: TaskIndex,
}

impl TaskId {
    /// The key of an attempt at this task.
    pub fn attempt(&self, attempt: Attempt) -> TaskKey {
        TaskKey {
            team: self.team.clone(),
            job: self.job.clone(),
            task: self.task,
            attempt,
        }
    }
}

/// Token that orders everything said to one worker.
///
/// The worker keeps the greatest token that it has seen and refuses smaller
/// ones. The epoch comes first, so that a new owner outranks the old one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FenceToken {
    /// Epoch of the worker partition's owner.
    pub epoch: Epoch,
    /// Number of the exchange inside the epoch.
    pub sequence: u64,
}

/// What an owner needs to know again of a task that it finds on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLabel {
    /// Team partition that holds the job.
    pub team_partition: PartitionIndex,
    /// Room that is reserved for the task.
    pub size: TaskSize,
    /// Service that the task serves, if any.
    pub service: Option<ServiceName>,
    /// Whether the task may run again when it was lost.
    pub repeatable: bool,
    /// Whether the task is urgent and so never preempted.
    pub urgent: bool,
    /// Whether the task belongs to a gang.
    pub gang: bool,
}

/// One thing that a worker is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerCommand {
    /// Start a task; asking again for a task that is held changes nothing.
    Start {
        /// The attempt.
        key: TaskKey,
        /// What is known of it.
        label: TaskLabel,
        /// Declared run time in milliseconds, zero for services.
        run_time_ms: u64,
        /// What to run.
        payload: String,
    },
    /// Save the task's progress.
    Checkpoint {
        /// The attempt.
        key: TaskKey,
    },
    /// Hold the task to a share of its declared processors.
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
    /// Forget a task that has ended, its outcome being recorded.
    Forget {
        /// The attempt.
        key: TaskKey,
    },
}

/// One exchange with a worker: renews the leases of what it holds, and says what to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerExchange {
    /// Token; smaller ones are refused from now on.
    pub token: FenceToken,
    /// Life of the worker that the commands are meant for; none asks only.
    pub incarnation: Option<Incarnation>,
    /// End of the leases by the worker's clock; none renews nothing.
    pub lease_until: Option<WorkerClock>,
    /// What to do, in order.
    pub commands: Vec<WorkerCommand>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It ran to its end.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// It was stopped because its job was cancelled.
    Cancelled,
    /// It was stopped to make room for urgent work or a drain.
    Preempted,
    /// It was stopped for using more memory than it declared.
    Overran,
    /// Its lease ended before it was renewed.
    LeaseLapsed,
    /// It may or may not have run to its end, and must not run again.
    Unknown,
}

impl TaskOutcome {
    /// Name as shown to people and in the record.
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
    /// It has ended and waits to be forgotten.
    Ended(TaskOutcome),
}

/// A task that a worker holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTask {
    /// The attempt.
    pub key: TaskKey,
    /// What the owner that started it said of it.
    pub label: TaskLabel,
    /// Its phase.
    pub phase: HeldPhase,
    /// Usage, as last measured; it lags.
    pub usage: TaskSize,
    /// Time that it has run, in milliseconds.
    pub ran_ms: u64,
}

/// A worker's answer: everything that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Token of the exchange that this answers.
    pub token: FenceToken,
    /// The worker's life.
    pub incarnation: Incarnation,
    /// Its clock, in milliseconds.
    pub clock: WorkerClock,
    /// Everything that it holds.
    pub held: Vec<HeldTask>,
    /// Requests in progress on it.
    pub slots_in_use: u32,
}

/// Why a worker did not take an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRefusal {
    /// It has seen a greater token.
    TokenPassed {
        /// The greatest token that it has seen.
        greatest: FenceToken,
    },
    /// The commands were meant for an earlier life of it.
    OtherIncarnation,
    /// The lease's end has already passed by its clock.
    LeaseOver,
}
