//! Commands of callers and operators to an entry instance, and the answers.

use serde::{Deserialize, Serialize};

use crate::contract::{CellBundle, JobSpec, SpecProblem};
use crate::ids::{
    Attempt, BundleVersion, Epoch, Incarnation, InstanceName, JobId, PartitionIndex, TaskIndex,
    TeamName, UnixMillis, WorkerName,
};
use crate::machine::{InstanceDetail, TaskSize, WorkerDetail};
use crate::refusal::RefusalReason;

/// A command of a caller or an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerCommand {
    /// Accept a job.
    Submit {
        /// The job.
        spec: Box<JobSpec>,
    },
    /// Cancel a job.
    Cancel {
        /// The team.
        team: TeamName,
        /// The job.
        job: JobId,
    },
    /// Show the status of a job.
    Status {
        /// The team.
        team: TeamName,
        /// The job.
        job: JobId,
    },
    /// List a team's jobs.
    Jobs {
        /// The team.
        team: TeamName,
    },
    /// Stop placing tasks on a worker and move its tasks to other workers, or undo that.
    DrainWorker {
        /// The worker.
        worker: WorkerName,
        /// Whether to drain the worker or to undo its drain.
        drain: bool,
    },
    /// List the workers of the partitions that this instance owns.
    Workers,
    /// List the entry instances.
    Instances,
    /// Hand over the partitions of an entry instance and stop it.
    DrainInstance {
        /// The instance.
        instance: InstanceName,
    },
    /// Show the bundle in use.
    Bundle,
    /// Use a new bundle, whose version must follow the version in use.
    AcceptBundle {
        /// The bundle.
        bundle: Box<CellBundle>,
    },
}

impl CallerCommand {
    /// Returns the team whose partition owner must answer the command, or `None` if any instance can.
    pub fn team(&self) -> Option<&TeamName> {
        match self {
            CallerCommand::Submit { spec } => Some(&spec.team),
            CallerCommand::Cancel { team, .. }
            | CallerCommand::Status { team, .. }
            | CallerCommand::Jobs { team } => Some(team),
            _ => None,
        }
    }
}

/// A refusal of a command or a request, which has had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Text for the caller: what was expected, or what is missing.
    pub detail: String,
    /// Time after which to retry, in milliseconds, or `None` if a retry does not help.
    pub retry_after_ms: Option<u64>,
    /// The invalid field, if the refusal is about one.
    #[serde(default)]
    pub field: Option<String>,
}

impl Refusal {
    /// Creates a permanent refusal: a retry does not help.
    pub fn permanent(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after_ms: None,
            field: None,
        }
    }

    /// Creates a temporary refusal: a retry after `retry_after_ms` may succeed.
    pub fn temporary(
        reason: RefusalReason,
        detail: impl Into<String>,
        retry_after_ms: u64,
    ) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::permanent(reason, detail)
        }
    }

    /// Creates a permanent refusal for an invalid field.
    pub fn field(problem: SpecProblem) -> Self {
        Self {
            field: Some(problem.field),
            ..Self::permanent(RefusalReason::Malformed, problem.expected)
        }
    }
}

/// Status of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// Index of the task.
    pub task: TaskIndex,
    /// Number of the latest attempt, zero before the first.
    pub attempt: Attempt,
    /// Phase: `waiting`, `assigned`, `running` or the outcome.
    pub phase: String,
    /// Worker that the task runs on or last ran on.
    pub worker: Option<WorkerName>,
    /// Time from submission to the first start, in milliseconds.
    pub waited_ms: Option<u64>,
    /// Why the task waits, if it does.
    pub why: Option<RefusalReason>,
}

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The team.
    pub team: TeamName,
    /// The job.
    pub job: JobId,
    /// Its kind.
    pub kind: String,
    /// Phase: `active`, `done`, `failed` or `cancelled`.
    pub phase: String,
    /// When it was accepted.
    pub submitted_at: UnixMillis,
    /// Its tasks; empty in listings.
    pub tasks: Vec<TaskView>,
}

/// Status of a worker, as its owner knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker.
    pub detail: WorkerDetail,
    /// Worker partition that the worker belongs to.
    pub partition: PartitionIndex,
    /// The entry instance that owns it.
    pub owner: InstanceName,
    /// State: `ready`, `unfenced`, `unreachable`, `draining` or `quarantined`.
    pub state: String,
    /// Capacity in use by tasks and reservations.
    pub reserved: TaskSize,
    /// Number of tasks that use this capacity.
    pub tasks: u32,
}

/// A partition and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionView {
    /// Key of the partition's row in the table service.
    pub key: String,
    /// Its owner, or an empty string if it has none.
    pub owner: InstanceName,
    /// Its epoch.
    pub epoch: Epoch,
}

/// Status of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// The instance.
    pub detail: InstanceDetail,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// State: `live`, `stopping` or `silent`.
    pub state: String,
    /// Number of partitions that it owns.
    pub partitions: u32,
}

/// An answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is committed to the ledger and will run.
    Accepted {
        /// Whether the same job had been accepted before.
        again: bool,
    },
    /// The cancellation is committed to the ledger.
    Cancelled,
    /// Status of the job.
    Job(Box<JobView>),
    /// A team's jobs.
    Jobs(Vec<JobView>),
    /// Status of the listed workers.
    Workers(Vec<WorkerView>),
    /// Entry instances and partitions.
    Instances {
        /// The instances.
        instances: Vec<InstanceView>,
        /// The partitions.
        partitions: Vec<PartitionView>,
    },
    /// The command was carried out.
    Done,
    /// The bundle in use.
    Bundle {
        /// The bundle.
        bundle: Box<CellBundle>,
        /// Time since the table service last confirmed the bundle, in milliseconds.
        confirmed_ms_ago: Option<u64>,
    },
    /// The bundle with this version is in use.
    BundleAccepted(BundleVersion),
    /// The command was refused and has had no effect.
    NotRun(Refusal),
    /// The command may or may not have taken effect. A status request shows whether it has.
    Unknown {
        /// Why the outcome is unknown.
        detail: String,
    },
}
