//! Times that govern an entry instance.

use std::time::Duration;

/// Times that govern an entry instance; the same on all instances of a cell.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::owner::CellTimings;
///
/// let timings = CellTimings::default();
/// assert!(timings.worker_heartbeat * 2 < timings.worker_lease);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellTimings {
    /// Length of the lease under which a worker runs tasks.
    pub worker_lease: Duration,
    /// Time between two exchanges with a worker that has nothing to do.
    pub worker_heartbeat: Duration,
    /// Time after which an exchange with a worker counts as unanswered.
    pub worker_answer: Duration,
    /// Length of an entry instance's lease.
    pub instance_lease: Duration,
    /// Time between two renewals of that lease.
    pub instance_renewal: Duration,
    /// Time between two scans of the membership and partition rows.
    pub scan: Duration,
    /// Time between two reads of the bundle's row.
    pub bundle_poll: Duration,
    /// Least time between two commits to the ledger.
    pub commit_pace: Duration,
    /// Time after which a request to the store counts as unanswered.
    pub store_answer: Duration,
    /// Time after which the store counts as unavailable for new work.
    pub store_silence: Duration,
    /// Longest that an owner goes on commanding workers without the store.
    pub unattended: Duration,
    /// Time between two digests of a partition.
    pub digest: Duration,
    /// Time between two repetitions of a message that needs an answer.
    pub repeat: Duration,
    /// Time after which a queued task may be moved to another partition.
    pub move_after: Duration,
    /// Time in which all tasks of a gang must hold room.
    pub gang_reservation_timeout: Duration,
    /// Time that a hold lasts without being asked for again.
    pub reservation_timeout: Duration,
    /// Time after which a caller's command counts as unanswered.
    pub command_answer: Duration,
    /// First time that a worker is quarantined for failing everything.
    pub quarantine: Duration,
    /// Time between two batches to a peer; zero sends at once.
    pub peer_pace: Duration,
    /// Time between two heartbeats to a peer.
    pub peer_heartbeat: Duration,
}

impl Default for CellTimings {
    fn default() -> Self {
        Self {
            worker_lease: Duration::from_secs(15),
            worker_heartbeat: Duration::from_secs(4),
            worker_answer: Duration::from_secs(2),
            instance_lease: Duration::from_secs(6),
            instance_renewal: Duration::from_secs(2),
            scan: Duration::from_secs(2),
            bundle_poll: Duration::from_secs(1),
            commit_pace: Duration::from_millis(40),
            store_answer: Duration::from_secs(2),
            store_silence: Duration::from_secs(5),
            unattended: Duration::from_secs(2 * 3600),
            digest: Duration::from_millis(500),
            repeat: Duration::from_secs(2),
            move_after: Duration::from_secs(3),
            gang_reservation_timeout: Duration::from_secs(8),
            reservation_timeout: Duration::from_secs(10),
            command_answer: Duration::from_secs(6),
            quarantine: Duration::from_secs(30),
            peer_pace: Duration::from_millis(20),
            peer_heartbeat: Duration::from_secs(1),
        }
    }
}
