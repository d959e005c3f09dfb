//! Events of the ledger.

use serde::{Deserialize, Serialize};

use crate::contract::JobSpec;
use crate::ids::{
    BundleVersion, DomainName, Epoch, InstanceName, JobId, PartitionIndex, RackName, TeamName,
    UnixMillis, WorkerName,
};
use crate::link::{TaskKey, TaskOutcome};
use crate::machine::TaskSize;
use crate::refusal::RefusalReason;

/// Why an attempt is over without an outcome from a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// It certainly never ran.
    NotRun(RefusalReason),
    /// It certainly runs nowhere now, but it may have run.
    Lost,
}

/// Something that was decided or learnt about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerEvent {
    /// An instance took the partition over.
    OwnerTook {
        /// The instance.
        owner: InstanceName,
        /// Its epoch.
        epoch: Epoch,
        /// When.
        at: UnixMillis,
    },
    /// A job was accepted.
    Submitted {
        /// The job.
        spec: Box<JobSpec>,
        /// When.
        at: UnixMillis,
    },
    /// A job was cancelled.
    Cancelled {
        /// The team.
        team: TeamName,
        /// The job.
        job: JobId,
        /// When.
        at: UnixMillis,
    },
    /// An attempt was assigned to a worker partition, which may start it from now on.
    Intended {
        /// The attempt.
        key: TaskKey,
        /// The worker partition.
        partition: PartitionIndex,
        /// The partition's epoch.
        epoch: Epoch,
        /// Bundle in force.
        bundle: BundleVersion,
        /// Partitions that were looked at and could have taken it.
        choices: u32,
        /// When.
        at: UnixMillis,
    },
    /// All tasks of a gang hold room; they may start from now on.
    GangCommitted {
        /// The team.
        team: TeamName,
        /// The job.
        job: JobId,
        /// When.
        at: UnixMillis,
    },
    /// An attempt was seen running.
    Started {
        /// The attempt.
        key: TaskKey,
        /// Where.
        worker: WorkerName,
        /// In which failure domain.
        domain: DomainName,
        /// In which rack.
        rack: RackName,
        /// When it was seen.
        at: UnixMillis,
    },
    /// An attempt is over and surely runs nowhere, with no outcome from a worker.
    Released {
        /// The attempt.
        key: TaskKey,
        /// Why.
        reason: ReleaseReason,
        /// When.
        at: UnixMillis,
    },
    /// An attempt ended on a worker.
    Ended {
        /// The attempt.
        key: TaskKey,
        /// Where.
        worker: WorkerName,
        /// How.
        outcome: TaskOutcome,
        /// Time that it ran, in milliseconds.
        ran_ms: u64,
        /// Largest usage seen.
        peak: TaskSize,
        /// When it was learnt.
        at: UnixMillis,
    },
}

impl LedgerEvent {
    /// The attempt that the event is about, if it is about one.
    pub fn key(&self) -> Option<&TaskKey> {
        match self {
            LedgerEvent::Intended { key, .. }
            | LedgerEvent::Started { key, .. }
            | LedgerEvent::Released { key, .. }
            | LedgerEvent::Ended { key, .. } => Some(key),
            _ => None,
        }
    }

    /// The team and job that the event is about, if it is about one.
    pub fn job(&self) -> Option<(&TeamName, &JobId)> {
        match self {
            LedgerEvent::Submitted { spec, .. } => Some((&spec.team, &spec.id)),
            LedgerEvent::Cancelled { team, job, .. }
            | LedgerEvent::GangCommitted { team, job, .. } => Some((team, job)),
            other => other.key().map(|key| (&key.team, &key.job)),
        }
    }
}
