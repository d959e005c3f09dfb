//! Timeouts, intervals and lease lengths of an entry instance.

use std::time::Duration;

/// Timeouts, intervals and lease lengths; the same on all entry instances of a cell.
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
    /// Interval of exchanges with a worker for which no command waits.
    pub worker_heartbeat: Duration,
    /// Timeout of an exchange with a worker.
    pub worker_answer: Duration,
    /// Length of an entry instance's lease.
    pub instance_lease: Duration,
    /// Interval of renewals of that lease.
    pub instance_renewal: Duration,
    /// Interval of scans of the membership and partition rows.
    pub scan: Duration,
    /// Interval of reads of the bundle's row.
    pub bundle_poll: Duration,
    /// Shortest interval of commits to the ledger.
    pub commit_pace: Duration,
    /// Timeout of a request to the table service.
    pub store_answer: Duration,
    /// Time without an answer after which the table service counts as unavailable for new work.
    pub store_silence: Duration,
    /// Longest time for which an owner goes on commanding workers without an answered scan of its rows.
    pub unattended: Duration,
    /// Interval of digests of a partition.
    pub digest: Duration,
    /// Interval at which a message that needs an answer is repeated.
    pub repeat: Duration,
    /// Time after which a queued task may be moved to another partition.
    pub move_after: Duration,
    /// Time within which all tasks of a gang must reserve capacity; the gang is then withdrawn and retried.
    pub gang_reservation_timeout: Duration,
    /// Time after which reserved capacity is released unless the placement order is repeated.
    pub reservation_timeout: Duration,
    /// Timeout of a caller's command.
    pub command_answer: Duration,
    /// Length of the first quarantine of a worker that fails most of its tasks.
    pub quarantine: Duration,
    /// Shortest interval of batches to a peer; zero sends at once.
    pub peer_pace: Duration,
    /// Interval of heartbeats to a peer.
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
