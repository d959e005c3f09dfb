//! What an instance tells others so that a successor of the leader need not learn it again.

use serde::{Deserialize, Serialize};

use super::PeerAddress;
use crate::ids::{DomainName, StepKey, Ticket, WorkerId};

/// Bound on the leases that former leaders have requested from workers.
///
/// Whoever relies on it knows when the leases of leaders have expired that it has never heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerLeaseBound {
    /// The bound covers the leaders of all epochs before this one.
    pub before_epoch: u64,
    /// Time until all of these leases have expired, in milliseconds by the sender's clock when it sent this; 0 if
    /// they have.
    pub remaining_ms: u64,
    /// Whether the times at which these leaders stopped are known, rather than the worst case.
    pub known: bool,
}

/// The leader's word on a worker's lease that is no longer renewed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppedLeaseBound {
    /// The worker.
    pub worker: WorkerId,
    /// The record in the ledger that the lease is no longer renewed.
    pub record: Ticket,
    /// Time until it has expired, in milliseconds by the leader's clock when it sent this; 0 if it has.
    pub remaining_ms: u64,
}

/// A worker whose entry is gone or may go while another instance takes over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnlistedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Address at which it listens, as IP and port.
    pub address: String,
    /// Service whose tasks it runs.
    pub service: String,
    /// Failure domain.
    pub domain: DomainName,
}

/// An advice request in flight, as the leader tells it to its standbys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceInFlight {
    /// Instance that sends it to the policy service.
    pub adviser: PeerAddress,
    /// Workers in the request.
    pub workers: Vec<WorkerId>,
    /// Time until its answer is expected, in milliseconds.
    pub expected_ms: u64,
}

/// What the leader knows from the policy service about a step with long-running tasks that are down or soon will
/// be. Which workers may run a step does not change; permits expire and are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceSummary {
    /// The step.
    pub step: StepKey,
    /// Workers that may run it.
    pub allowed: Vec<WorkerId>,
    /// Workers that may not run it.
    pub refused: Vec<WorkerId>,
    /// Requests without an answer yet.
    pub in_flight: Vec<AdviceInFlight>,
}
