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

/// Reason why an attempt has finished although no worker reported its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// The attempt is known never to have run.
    NotRun(RefusalReason),
    /// The attempt is known not to be running now, but it may have run.
    Lost,
}

/// Event of a team partition: a decision, a report about an attempt, or a change of owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerEvent {
    /// An instance took over the team partition.
    OwnerTook {
        /// The instance.
        owner: InstanceName,
        /// The instance's epoch as owner.
        epoch: Epoch,
        /// Time of the event.
        at: UnixMillis,
    },
    /// A job was accepted.
    Submitted {
        /// The job.
        spec: Box<JobSpec>,
        /// Time of the event.
        at: UnixMillis,
    },
    /// A job was cancelled.
    Cancelled {
        /// The team.
        team: TeamName,
        /// The job.
        job: JobId,
        /// Time of the event.
        at: UnixMillis,
    },
    /// An attempt was assigned to a worker partition, which may start it once this event is committed.
    Intended {
        /// The attempt.
        key: TaskKey,
        /// The worker partition.
        partition: PartitionIndex,
        /// The worker partition's epoch.
        epoch: Epoch,
        /// Version of the bundle in force.
        bundle: BundleVersion,
        /// Number of capacity groups that the partition was chosen from.
        choices: u32,
        /// Time of the event.
        at: UnixMillis,
    },
    /// Capacity is reserved for all tasks of a gang, which may start once this event is committed.
    GangCommitted {
        /// The team.
        team: TeamName,
        /// The job.
        job: JobId,
        /// Time of the event.
        at: UnixMillis,
    },
    /// An attempt was reported as running.
    Started {
        /// The attempt.
        key: TaskKey,
        /// Worker that runs it.
        worker: WorkerName,
        /// Failure domain of the worker.
        domain: DomainName,
        /// Rack of the worker.
        rack: RackName,
        /// Time at which the report was handled.
        at: UnixMillis,
    },
    /// An attempt is known not to be running, and no worker reported its end.
    Released {
        /// The attempt.
        key: TaskKey,
        /// Reason for the release.
        reason: ReleaseReason,
        /// Time of the event.
        at: UnixMillis,
    },
    /// A worker reported the end of an attempt.
    Ended {
        /// The attempt.
        key: TaskKey,
        /// Worker that ran it.
        worker: WorkerName,
        /// How the attempt ended.
        outcome: TaskOutcome,
        /// Run time in milliseconds.
        ran_ms: u64,
        /// Highest usage that the worker reported.
        peak: TaskSize,
        /// Time at which the report was handled.
        at: UnixMillis,
    },
}

impl LedgerEvent {
    /// Returns the attempt that the event concerns, or `None` if it concerns none.
    pub fn key(&self) -> Option<&TaskKey> {
        match self {
            LedgerEvent::Intended { key, .. }
            | LedgerEvent::Started { key, .. }
            | LedgerEvent::Released { key, .. }
            | LedgerEvent::Ended { key, .. } => Some(key),
            _ => None,
        }
    }

    /// Returns the team and job that the event concerns, or `None` if it concerns none.
    pub fn job(&self) -> Option<(&TeamName, &JobId)> {
        match self {
            LedgerEvent::Submitted { spec, .. } => Some((&spec.team, &spec.id)),
            LedgerEvent::Cancelled { team, job, .. }
            | LedgerEvent::GangCommitted { team, job, .. } => Some((team, job)),
            other => other.key().map(|key| (&key.team, &key.job)),
        }
    }
}
