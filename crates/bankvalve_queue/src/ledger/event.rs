//! Events of the ledger and how they are encoded.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::CrashEvidence;
use crate::ids::{JobId, RunId, TaskKey, WallMillis, WorkerId};
use crate::job::{JobSpec, JobTerms};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// Well.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The worker's hold ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
    /// The worker is surely over, or its hold.
    Lost,
    /// The order surely took no effect.
    NeverRan,
    /// The worker ended under it, by all that is known without having planned to.
    Crashed(CrashEvidence),
}

impl EndKind {
    /// Word for logs.
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

/// Something that happened to a job and is kept.
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
    /// A run is about to be ordered.
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
        /// How.
        how: EndKind,
        /// Progress saved; empty for none.
        saved: String,
        /// When, by the leader's time of day; of a run that no list told of, when it was last heard of.
        at: WallMillis,
    },
    /// A worker ended under a run that is not given up yet, since its hold may last. Kept as soon as it is
    /// seen: the leader that saw it may be lost before.
    CrashSeen {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// What was seen.
        evidence: CrashEvidence,
    },
    /// A worker is silent: no leader prolongs its hold from here on until it is resumed.
    HoldStopped {
        /// The worker.
        worker: WorkerId,
        /// Time after which its hold is over at the latest, in milliseconds.
        over_ms: u64,
    },
    /// A worker's hold may be prolonged again, or it is forgotten.
    HoldResumed {
        /// The worker.
        worker: WorkerId,
    },
}

impl LedgerEvent {
    /// The job that it is about; none if it is about a worker.
    pub fn job(&self) -> Option<JobId> {
        match self {
            LedgerEvent::Accepted { spec, .. } => Some(spec.id),
            LedgerEvent::Cancelled { job, .. } => Some(*job),
            LedgerEvent::Started { task, .. }
            | LedgerEvent::Ended { task, .. }
            | LedgerEvent::CrashSeen { task, .. } => Some(task.step.job),
            LedgerEvent::HoldStopped { .. } | LedgerEvent::HoldResumed { .. } => None,
        }
    }
}

/// Events that are kept in one write.
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
    /// Returns what is wrong with the bytes.
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
