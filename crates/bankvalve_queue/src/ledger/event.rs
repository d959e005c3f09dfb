//! Events of the ledger and their encoding.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::CrashEvidence;
use crate::customer::CustomerName;
use crate::ids::{JobId, RunId, TaskKey, Ticket, WallMillis, WorkerId};
use crate::job::{JobSpec, JobTerms};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// It succeeded.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
    /// The worker is known to have ended, or its lease to have expired.
    Lost,
    /// The start order is known to have had no effect.
    NeverRan,
    /// The worker ended while running it. As far as is known, this was not a planned stop.
    Crashed(CrashEvidence),
}

impl EndKind {
    /// Returns the word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EndKind::Done => "done",
            EndKind::Failed => "failed",
            EndKind::Stopped => "stopped",
            EndKind::Lapsed => "lapsed",
            EndKind::Broken => "broken",
            EndKind::Alone => "alone",
            EndKind::Lost => "lost",
            EndKind::NeverRan => "never_ran",
            EndKind::Crashed(_) => "crashed",
        }
    }
}

/// A change of a job or of a worker's lease that is committed to the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerEvent {
    /// A job was accepted.
    Accepted {
        /// The job.
        spec: Arc<JobSpec>,
        /// Terms of its queue.
        terms: JobTerms,
        /// When, by the leader's time of day.
        at: WallMillis,
    },
    /// A job was cancelled.
    Cancelled {
        /// The job.
        job: JobId,
        /// When, by the leader's time of day.
        at: WallMillis,
    },
    /// A start order for a run is about to be sent.
    Started {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// The worker.
        worker: WorkerId,
    },
    /// A run has ended.
    Ended {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// How it ended.
        how: EndKind,
        /// Saved progress; empty if there is none.
        saved: String,
        /// When, by the leader's time of day. For a run whose end the worker did not report, the last contact
        /// with the run.
        at: WallMillis,
    },
    /// A worker ended while it had a run that is not declared lost yet, because the worker's lease may still
    /// be valid. Committed as soon as it is seen, because the leader that saw it may fail before the lease
    /// expires.
    CrashSeen {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// What was seen of the worker's end.
        evidence: CrashEvidence,
    },
    /// A worker does not respond. No leader renews its lease until [`HoldResumed`](Self::HoldResumed). "Hold"
    /// means the lease; the event is stored under this name.
    HoldStopped {
        /// The worker.
        worker: WorkerId,
        /// Time after which its lease is known to have expired, in milliseconds.
        over_ms: u64,
        /// Distinguishes this record from all others; 0 if it was made by an earlier version.
        #[serde(default)]
        record: Ticket,
    },
    /// A worker's lease may be renewed again, or the worker is forgotten. Stored under this name.
    HoldResumed {
        /// The worker.
        worker: WorkerId,
    },
    /// A caller was told that a job does not exist when it cancelled it. A later submission of the job does
    /// not start it.
    CancelledUnknown {
        /// The job.
        job: JobId,
        /// Customer of the caller that cancelled it.
        customer: Option<CustomerName>,
        /// When, by the leader's time of day.
        at: WallMillis,
    },
    /// A job was accepted that had been cancelled before. It is cancelled from the start.
    AcceptedCancelled {
        /// The job.
        spec: Arc<JobSpec>,
        /// Terms of its queue.
        terms: JobTerms,
        /// When, by the leader's time of day.
        at: WallMillis,
    },
}

impl LedgerEvent {
    /// Returns whether an instance of a version that does not have the event may skip it: the state of all jobs
    /// that it knows is correct without it.
    pub(crate) fn may_be_skipped(&self) -> bool {
        matches!(
            self,
            LedgerEvent::HoldStopped { .. }
                | LedgerEvent::HoldResumed { .. }
                | LedgerEvent::CancelledUnknown { .. }
                | LedgerEvent::AcceptedCancelled { .. }
        )
    }

    /// Returns the job that the event is about, or `None` if it is about a worker.
    pub fn job(&self) -> Option<JobId> {
        match self {
            LedgerEvent::Accepted { spec, .. } | LedgerEvent::AcceptedCancelled { spec, .. } => {
                Some(spec.id)
            }
            LedgerEvent::Cancelled { job, .. } | LedgerEvent::CancelledUnknown { job, .. } => {
                Some(*job)
            }
            LedgerEvent::Started { task, .. }
            | LedgerEvent::Ended { task, .. }
            | LedgerEvent::CrashSeen { task, .. } => Some(task.step.job),
            LedgerEvent::HoldStopped { .. } | LedgerEvent::HoldResumed { .. } => None,
        }
    }
}

/// Events that are committed in one write.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerBatch {
    /// The events, in order.
    pub events: Vec<LedgerEvent>,
}

impl LedgerBatch {
    /// Encodes the batch.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a batch can be encoded")
    }

    /// Decodes a batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded batch.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::{LedgerBatch, LedgerEvent};
    ///
    /// let batch = LedgerBatch { events: vec![LedgerEvent::Cancelled { job: 7, at: 1 }] };
    /// assert_eq!(LedgerBatch::decode(&batch.encode()).unwrap(), batch);
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
