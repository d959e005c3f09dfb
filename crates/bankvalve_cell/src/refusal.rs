//! Reasons for refusals and retries. Each reason has a counter.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident => $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$doc])* $variant,)*
        }

        impl $name {
            /// All reasons, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name used for counters and in answers.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Reason why work was not accepted, placed or run.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_cell::refusal::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::QuotaExceeded.as_str(), "quota_exceeded");
    /// assert!(RefusalReason::ALL.contains(&RefusalReason::NoRoom));
    /// ```
    RefusalReason {
        /// The request or job is malformed.
        Malformed => "malformed",
        /// The credential is missing, wrong or meant for another kind of link.
        NotAllowed => "not_allowed",
        /// The configuration bundle does not list the team.
        UnknownTeam => "unknown_team",
        /// The team has no job with this id.
        UnknownJob => "unknown_job",
        /// No service with this name is running.
        UnknownService => "unknown_service",
        /// No worker with this name is known.
        UnknownWorker => "unknown_worker",
        /// A job with this id but different content exists.
        JobConflict => "job_conflict",
        /// The job can never run: the quota, the placement rules or the workers' sizes do not allow it.
        CanNeverRun => "can_never_run",
        /// The tasks would exceed the team's quota.
        QuotaExceeded => "quota_exceeded",
        /// Not enough free capacity, or the attempt was withdrawn before it started.
        NoRoom => "no_room",
        /// Placement rules of the job or the bundle exclude every available worker.
        RuleForbids => "rule_forbids",
        /// All slots or connections of the service's targets are in use.
        NoFreeSlot => "no_free_slot",
        /// The partition currently has no owner that is ready to answer.
        NoOwner => "no_owner",
        /// The message refers to an earlier epoch or attempt, or to a partition that is not owned here.
        StaleEpoch => "stale_epoch",
        /// Some workers on which the attempt may run have not been fenced yet.
        NotFenced => "not_fenced",
        /// The table service does not answer, and the work cannot be recorded or confirmed.
        StoreUnavailable => "store_unavailable",
        /// Too many ledger batches wait to be archived.
        ArchiveBacklog => "archive_backlog",
        /// A bounded ring buffer or queue is full.
        QueueFull => "queue_full",
        /// The caller's deadline passed before the request was sent to a target.
        DeadlinePassed => "deadline_passed",
        /// The instance is shutting down.
        Stopping => "stopping",
        /// The bundle's version is not the one after the version in force.
        VersionConflict => "version_conflict",
        /// The worker could not be reached, was declared lost, or never ran the attempt.
        WorkerUnreachable => "worker_unreachable",
        /// A peer instance could not be reached or did not answer in time.
        PeerUnreachable => "peer_unreachable",
    }
}

reasons! {
    /// Reason why something was retried or sent again.
    RetryReason {
        /// A request to the table service got no answer.
        StoreAnswerLost => "store_answer_lost",
        /// A row had changed since it was read, or the rows read do not match.
        StoreConflict => "store_conflict",
        /// The object store refused a write or did not answer.
        ObjectFailed => "object_failed",
        /// An exchange with a worker or a request to it got no usable answer.
        WorkerAnswerLost => "worker_answer_lost",
        /// A placement order got no status in reply.
        PlacementUnanswered => "placement_unanswered",
        /// A worker partition did not run the attempt, for example because it had no free capacity.
        PlacementRefused => "placement_refused",
        /// A gang's reservations were released because they were not complete in time.
        GangHoldLapsed => "gang_hold_lapsed",
        /// The attempt was lost; it may have run.
        TaskLost => "task_lost",
        /// The task was preempted by an urgent task.
        TaskPreempted => "task_preempted",
        /// An attempt at the task failed; the task may run again.
        TaskFailed => "task_failed",
        /// A target did not run a request; the next target, if any, is tried.
        RequestNotRun => "request_not_run",
    }
}
