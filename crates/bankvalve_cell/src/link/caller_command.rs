//! What callers and operators ask of an entry instance, and the answers.

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
    /// Tell how a job stands.
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
    /// Stop giving a worker new work and move what it holds, or undo that.
    DrainWorker {
        /// The worker.
        worker: WorkerName,
        /// Whether to drain it.
        drain: bool,
    },
    /// List the workers of the partitions that this instance owns.
    Workers,
    /// List the entry instances.
    Instances,
    /// Stop an entry instance as planned.
    DrainInstance {
        /// The instance.
        instance: InstanceName,
    },
    /// Show the bundle in force.
    Bundle,
    /// Put a bundle in force after the version before it.
    AcceptBundle {
        /// The bundle.
        bundle: Box<CellBundle>,
    },
}

impl CallerCommand {
    /// The team whose partition's owner must answer, if any.
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

/// A refusal: the work was certainly not run, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// What was expected, or what is missing.
    pub detail: String,
    /// When to come back, in milliseconds; none if coming back does not help.
    pub retry_after_ms: Option<u64>,
    /// The field at fault, if one is.
    #[serde(default)]
    pub field: Option<String>,
}

impl Refusal {
    /// Makes a refusal that coming back does not help.
    pub fn permanent(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after_ms: None,
            field: None,
        }
    }

    /// Makes a refusal that ends by itself after a while.
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

    /// Makes a refusal of a malformed field.
    pub fn field(problem: SpecProblem) -> Self {
        Self {
            field: Some(problem.field),
            ..Self::permanent(RefusalReason::Malformed, problem.expected)
        }
    }
}

/// How a task stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// Index of the task.
    pub task: TaskIndex,
    /// Latest attempt, zero before the first.
    pub attempt: Attempt,
    /// Phase: `waiting`, `assigned`, `running` or the outcome.
    pub phase: String,
    /// Worker that it runs or ran on.
    pub worker: Option<WorkerName>,
    /// Time from submission to the first start, in milliseconds.
    pub waited_ms: Option<u64>,
    /// Why it waits.
    pub why: Option<RefusalReason>,
}

/// How a job stands.
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

/// How a worker stands with its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker.
    pub detail: WorkerDetail,
    /// Its partition.
    pub partition: PartitionIndex,
    /// The entry instance that owns it.
    pub owner: InstanceName,
    /// State: `ready`, `unfenced`, `unreachable`, `draining` or `quarantined`.
    pub state: String,
    /// Reserved room.
    pub reserved: TaskSize,
    /// Tasks running on it.
    pub tasks: u32,
}

/// A partition and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionView {
    /// Key of its row.
    pub key: String,
    /// Its owner; empty if it has none.
    pub owner: InstanceName,
    /// Its epoch.
    pub epoch: Epoch,
}

/// How an entry instance stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// The instance.
    pub detail: InstanceDetail,
    /// Its life.
    pub incarnation: Incarnation,
    /// State: `live`, `stopping` or `unresponsive`.
    pub state: String,
    /// Partitions that it owns.
    pub partitions: u32,
}

/// An answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is recorded and will run.
    Accepted {
        /// Whether it had been accepted before.
        again: bool,
    },
    /// The cancellation is recorded.
    Cancelled,
    /// How the job stands.
    Job(Box<JobView>),
    /// A team's jobs.
    Jobs(Vec<JobView>),
    /// Workers.
    Workers(Vec<WorkerView>),
    /// Entry instances and partitions.
    Instances {
        /// The instances.
        instances: Vec<InstanceView>,
        /// The partitions.
        partitions: Vec<PartitionView>,
    },
    /// Done.
    Done,
    /// The bundle in force.
    Bundle {
        /// The bundle.
        bundle: Box<CellBundle>,
        /// How long ago the store last confirmed it, in milliseconds.
        confirmed_ms_ago: Option<u64>,
    },
    /// The bundle is in force from this version on.
    BundleAccepted(BundleVersion),
    /// Certainly not done.
    NotRun(Refusal),
    /// It may or may not have been done; asking for the status tells.
    Unknown {
        /// Why it is not known.
        detail: String,
    },
}
