//! The reasons for which bankvalve refuses or retries, each with a counter.

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
            /// All reasons, in the order in which they are documented.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The name used for counters and in answers.
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
    /// Why work was not accepted, placed or run.
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
        /// The credential is missing, wrong or of another kind of link.
        NotAllowed => "not_allowed",
        /// The team is not in the bundle.
        UnknownTeam => "unknown_team",
        /// No job of that id is known.
        UnknownJob => "unknown_job",
        /// No service of that name runs.
        UnknownService => "unknown_service",
        /// No worker of that name is known.
        UnknownWorker => "unknown_worker",
        /// A job of that id exists with another content.
        JobConflict => "job_conflict",
        /// The job can never run: no worker, rule or quota admits it.
        CanNeverRun => "can_never_run",
        /// The team's quota has no room for it.
        QuotaExceeded => "quota_exceeded",
        /// No worker of the partition has room.
        NoRoom => "no_room",
        /// Rules of the job or the bundle keep it off every worker at hand.
        RuleForbids => "rule_forbids",
        /// All slots or connections of the service's targets are taken.
        NoFreeSlot => "no_free_slot",
        /// The partition has no live owner just now.
        NoOwner => "no_owner",
        /// The message names an epoch that has passed.
        StaleEpoch => "stale_epoch",
        /// Workers of the partition have not been fenced yet.
        NotFenced => "not_fenced",
        /// The table service does not answer, and the work needs a record.
        StoreUnavailable => "store_unavailable",
        /// Too much finished work waits to be archived.
        ArchiveBacklog => "archive_backlog",
        /// A bounded ring or queue is full.
        QueueFull => "queue_full",
        /// The caller's deadline passed before the work was handed out.
        DeadlinePassed => "deadline_passed",
        /// The instance is stopping.
        Stopping => "stopping",
        /// The bundle is older than the version it must follow.
        VersionConflict => "version_conflict",
        /// The worker could not be reached or answered outside its contract.
        WorkerUnreachable => "worker_unreachable",
        /// A peer could not be reached.
        PeerUnreachable => "peer_unreachable",
    }
}

reasons! {
    /// Why something was sent or tried again.
    RetryReason {
        /// A write to the table service got no answer.
        StoreAnswerLost => "store_answer_lost",
        /// A row had changed in the meantime.
        StoreConflict => "store_conflict",
        /// The object store refused or did not answer.
        ObjectFailed => "object_failed",
        /// An exchange with a worker got no answer.
        WorkerAnswerLost => "worker_answer_lost",
        /// A placement got no word back.
        PlacementUnanswered => "placement_unanswered",
        /// A placement was refused for lack of room.
        PlacementRefused => "placement_refused",
        /// A hold of a gang lapsed before all were held.
        GangHoldLapsed => "gang_hold_lapsed",
        /// The task was lost with its worker.
        TaskLost => "task_lost",
        /// The task was preempted by urgent work.
        TaskPreempted => "task_preempted",
        /// The task failed and may be tried again.
        TaskFailed => "task_failed",
        /// A request did not run and went to another target.
        RequestNotRun => "request_not_run",
    }
}
