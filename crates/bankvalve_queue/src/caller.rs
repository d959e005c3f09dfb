//! What callers ask, once it is known which queue they mean.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::JobId;
use crate::job::{JobSpec, JobTerms};

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Hands a job in.
    Submit {
        /// The job.
        spec: Arc<JobSpec>,
        /// Terms of its queue.
        terms: JobTerms,
    },
    /// Asks how a job stands.
    Status {
        /// The job.
        job: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Asks how many jobs of a queue have not begun.
    Count {
        /// The queue.
        queue: String,
    },
}

/// A request and how long its caller waits.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRequest {
    /// The request.
    pub request: CallerRequest,
    /// Time that the caller waits, in milliseconds.
    pub patience_ms: u64,
    /// Version of the configuration under which it was read.
    pub table_version: u64,
}

/// How a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    Pending,
    /// A task has begun.
    Running,
    /// All tasks have ended well.
    Succeeded,
    /// A task has failed for good.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is accepted and kept.
    Accepted,
    /// How the job stands.
    State(JobState),
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// The configuration in force is as new as the request: a queue that is not in it is not
    /// there.
    TableIsNewest,
    /// So many jobs of the queue have not begun.
    Waiting(u64),
    /// Not done, and surely never; the caller may come back.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// It is not known whether it was done; asking again is harmless.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No instance is known to lead.
    NoLeader,
    /// The table does not answer, so nothing can be kept.
    StoreAway,
    /// Too many jobs wait to be kept.
    Overload,
    /// The instance stops.
    Stopping,
    /// It is not known whether a newer configuration has the queue.
    TableUnsure,
    /// A newer configuration than the request was read under does not have the queue.
    QueueDropped,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [RefusalReason; 6] = [
        RefusalReason::NoLeader,
        RefusalReason::StoreAway,
        RefusalReason::Overload,
        RefusalReason::Stopping,
        RefusalReason::TableUnsure,
        RefusalReason::QueueDropped,
    ];

    /// Word for logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoLeader => "no_leader",
            RefusalReason::StoreAway => "store_away",
            RefusalReason::Overload => "overload",
            RefusalReason::Stopping => "stopping",
            RefusalReason::TableUnsure => "table_unsure",
            RefusalReason::QueueDropped => "queue_dropped",
        }
    }
}
