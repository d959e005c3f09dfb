//! Requests of callers, after their queue has been resolved, and the answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::customer::CallerIdentity;
use crate::ids::JobId;
use crate::job::{JobSpec, JobTerms};

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Submits a job.
    Submit {
        /// The job.
        spec: Arc<JobSpec>,
        /// Terms of the job's queue.
        terms: JobTerms,
    },
    /// Requests the state of a job.
    Status {
        /// The job.
        job: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Requests the number of a queue's jobs that have not begun.
    Count {
        /// The queue.
        queue: String,
    },
}

/// A request with its caller, and the time that the caller waits.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRequest {
    /// The request.
    pub request: CallerRequest,
    /// Identity of the caller.
    pub caller: CallerIdentity,
    /// How long the caller waits, in milliseconds.
    pub patience_ms: u64,
    /// Version of the configuration under which the request was interpreted.
    pub table_version: u64,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    Pending,
    /// A task has begun.
    Running,
    /// All tasks have succeeded.
    Succeeded,
    /// A task has failed and is not retried.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is accepted and committed to the ledger.
    Accepted,
    /// State of the job.
    State(JobState),
    /// The job is cancelled.
    Cancelled,
    /// The job does not exist.
    NoSuchJob,
    /// The id of the submitted job is already the id of another customer's job.
    IdInUse,
    /// The job can never run: it has a gang that exceeds its customer's limit by itself.
    BeyondLimit,
    /// The configuration in force is at least as new as the request, so a queue or a key that is not in it
    /// does not exist.
    TableIsNewest,
    /// The same, but it came into force only some time after the request. A queue or a key that is in it is
    /// for later requests.
    TableChanged {
        /// Time after which the caller may retry, in milliseconds.
        retry_ms: u64,
    },
    /// Number of the queue's jobs that have not begun.
    Waiting(u64),
    /// The request has had no effect and never will; the caller may retry.
    Refused {
        /// Why it was refused.
        reason: RefusalReason,
        /// Time after which the caller may retry, in milliseconds.
        retry_ms: u64,
    },
    /// It is not known whether the request took effect. It is safe to repeat it.
    Unknown,
}

impl CallerAnswer {
    /// Returns whether a queue or a key that is not in the configuration in force does not exist.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::CallerAnswer;
    ///
    /// assert!(CallerAnswer::TableIsNewest.proves_denial());
    /// assert!(!CallerAnswer::Unknown.proves_denial());
    /// ```
    pub fn proves_denial(&self) -> bool {
        matches!(
            self,
            CallerAnswer::TableIsNewest | CallerAnswer::TableChanged { .. }
        )
    }
}

/// Why the configuration in force denies a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// The configuration has no queue with this host and path.
    NoQueue,
    /// The queue requires a key, and the request has none that can be read.
    NoKey,
    /// The configuration does not have the request's key.
    UnknownKey,
}

impl DenialReason {
    /// Returns the name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            DenialReason::NoQueue => "no_queue",
            DenialReason::NoKey => "no_key",
            DenialReason::UnknownKey => "unknown_key",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No leader is known.
    NoLeader,
    /// The table is unavailable, so nothing can be committed.
    StoreAway,
    /// Too many requests are open, or too many jobs wait to be committed.
    Overload,
    /// The instance is stopping.
    Stopping,
    /// It is not known whether a newer configuration has the queue or the key.
    TableUnsure,
    /// A former leader accepted jobs by a newer configuration than the one under which the request was
    /// interpreted, and the leader does not have it yet.
    ConfigOutdated,
    /// The queue is missing in a newer configuration than the one under which the request was interpreted.
    QueueDropped,
    /// The key is missing in a newer configuration than the one under which the request was interpreted.
    KeyDropped,
    /// The last confirmation that the local configuration, and so its keys, is the newest is too old.
    KeysUnsure,
    /// The site is full, and the customer has submitted more than its share.
    ShareSpent,
    /// The job is expected to end too late, or late at the expense of others.
    Forecast,
    /// Too many cancels of unknown jobs are recorded for the caller's customer, or in all.
    CancelsFull,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [RefusalReason; 12] = [
        RefusalReason::NoLeader,
        RefusalReason::StoreAway,
        RefusalReason::Overload,
        RefusalReason::Stopping,
        RefusalReason::TableUnsure,
        RefusalReason::ConfigOutdated,
        RefusalReason::QueueDropped,
        RefusalReason::KeyDropped,
        RefusalReason::KeysUnsure,
        RefusalReason::ShareSpent,
        RefusalReason::Forecast,
        RefusalReason::CancelsFull,
    ];

    /// Returns the name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoLeader => "no_leader",
            RefusalReason::StoreAway => "store_away",
            RefusalReason::Overload => "overload",
            RefusalReason::Stopping => "stopping",
            RefusalReason::TableUnsure => "table_unsure",
            RefusalReason::ConfigOutdated => "config_outdated",
            RefusalReason::QueueDropped => "queue_dropped",
            RefusalReason::KeyDropped => "key_dropped",
            RefusalReason::KeysUnsure => "keys_unsure",
            RefusalReason::ShareSpent => "share_spent",
            RefusalReason::Forecast => "forecast",
            RefusalReason::CancelsFull => "cancels_full",
        }
    }
}
