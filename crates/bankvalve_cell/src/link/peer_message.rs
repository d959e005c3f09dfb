//! Messages between entry instances.
//!
//! The link may drop messages. It never duplicates or reorders the messages
//! that one incarnation of an instance sends to one incarnation of another.
//! A sender repeats the messages that must arrive.

use serde::{Deserialize, Serialize};

use super::{CallerAnswer, CallerCommand, TaskKey, TaskLabel, TaskOutcome};
use crate::contract::PlaceRule;
use crate::ids::{
    DomainName, Epoch, InstanceName, PartitionIndex, RackName, RegionName, ServiceName, Ticket,
    WorkerName,
};
use crate::machine::TaskSize;
use crate::refusal::RefusalReason;

/// Reason why an exchange over a link has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFailure {
    /// The request is known not to have been sent.
    NotSent,
    /// No answer came, but the request may have been received.
    NoAnswer,
}

/// Whether a placement may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceGate {
    /// Start as soon as there is free capacity.
    Start,
    /// Reserve capacity for a gang task, but do not start it yet.
    Hold,
}

/// A placement order: a team partition's owner asks for an attempt to be placed in a worker partition.
///
/// The order is idempotent: the answer to a repeated order is the attempt's
/// placement status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceOrder {
    /// The attempt.
    pub key: TaskKey,
    /// Properties of the task, which are passed on to the worker.
    pub label: TaskLabel,
    /// Epoch of the team partition.
    pub team_epoch: Epoch,
    /// Epoch of the worker partition that the attempt's committed intent names.
    pub intent_epoch: Epoch,
    /// Worker on which the attempt is known to have started, if any.
    pub started_on: Option<WorkerName>,
    /// Whether the attempt may start or only reserves capacity.
    pub gate: PlaceGate,
    /// Placement rules, all of which must admit the worker.
    pub rules: Vec<PlaceRule>,
    /// Preferred failure domain, which spreads the tasks of a service.
    pub prefer_domain: Option<DomainName>,
    /// Weight of the team in the order of the partition's queue.
    pub weight: u32,
    /// Expected run time in milliseconds, zero for services.
    pub run_time_ms: u64,
    /// What the worker runs.
    pub payload: String,
}

/// Status of an attempt, as the worker partition's owner knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementStatus {
    /// The attempt waits in the partition's queue and has not been started.
    Queued,
    /// Capacity is reserved for the attempt, which has not been started.
    Held,
    /// The attempt runs.
    Started {
        /// Worker that it runs on.
        worker: WorkerName,
        /// Failure domain of the worker.
        domain: DomainName,
        /// Rack of the worker.
        rack: RackName,
        /// Whether the worker is draining or leaving.
        leaving: bool,
    },
    /// The attempt ran and has ended.
    Ended {
        /// Worker that it ran on.
        worker: WorkerName,
        /// How it ended.
        outcome: TaskOutcome,
        /// Run time in milliseconds.
        ran_ms: u64,
        /// Highest usage that was observed.
        peak: TaskSize,
    },
    /// The attempt does not run in the partition and never will, but it may have run.
    Lost,
    /// The attempt does not run in the partition, never ran there and never will.
    NotRun(RefusalReason),
    /// Unknown for now: workers on which the attempt may run have not been fenced yet.
    Unfenced,
}

/// Capacity of the workers of a partition that are in one failure domain and accept tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityGroup {
    /// The failure domain.
    pub domain: DomainName,
    /// Number of these workers.
    pub workers: u32,
    /// Total free capacity of these workers. The sizes of all queued attempts of the partition are
    /// subtracted from the first group of a digest.
    pub free: TaskSize,
    /// Free capacity of the few workers with the most of it, largest first.
    pub largest: Vec<TaskSize>,
    /// Sum of free capacity and capacity used by preemptible batch tasks, of the few workers with the
    /// most of it, largest first.
    pub preemptible: Vec<TaskSize>,
    /// The distinct total capacities of these workers, smallest first.
    pub classes: Vec<TaskSize>,
}

/// A running task of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEndpoint {
    /// The service.
    pub service: ServiceName,
    /// The task.
    pub key: TaskKey,
    /// Worker that it runs on.
    pub worker: WorkerName,
    /// Failure domain of the worker.
    pub domain: DomainName,
}

/// Summary of a worker partition, used by team partition owners to choose a partition for a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionDigest {
    /// The partition.
    pub partition: PartitionIndex,
    /// Epoch of the partition.
    pub epoch: Epoch,
    /// Number of the digest within the epoch.
    pub sequence: u64,
    /// Region of the partition.
    pub region: RegionName,
    /// Number of attempts that wait in its queue.
    pub queued: u32,
    /// Capacity by failure domain.
    pub groups: Vec<CapacityGroup>,
}

/// Running tasks of services in a worker partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionEndpoints {
    /// The partition.
    pub partition: PartitionIndex,
    /// Epoch of the partition.
    pub epoch: Epoch,
    /// Number of the list within the epoch.
    pub sequence: u64,
    /// Region of the partition.
    pub region: RegionName,
    /// The running tasks.
    pub points: Vec<ServiceEndpoint>,
}

/// A message between two entry instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Shows that the sender is running. The batch that carries it has the version of the sender's bundle.
    Heartbeat,
    /// A partition has a new owner or no owner. The receiver soon scans the table service.
    OwnerChanged,
    /// Summary of a worker partition.
    Digest(PartitionDigest),
    /// Running tasks of services in a worker partition.
    Points(PartitionEndpoints),
    /// Order to a worker partition's owner to place an attempt.
    Place {
        /// The partition.
        partition: PartitionIndex,
        /// Epoch of the partition, as far as the sender knows.
        epoch: Epoch,
        /// The order.
        order: Box<PlaceOrder>,
    },
    /// Order to a worker partition's owner to end an attempt: remove it from the queue or stop it.
    Withdraw {
        /// The partition.
        partition: PartitionIndex,
        /// Epoch of the partition, as far as the sender knows.
        epoch: Epoch,
        /// Epoch of the team partition.
        team_epoch: Epoch,
        /// Team partition that withdraws the attempt.
        team_partition: PartitionIndex,
        /// Epoch of the worker partition that the attempt's committed intent names.
        intent_epoch: Epoch,
        /// Worker on which the attempt is known to have started, if any.
        started_on: Option<WorkerName>,
        /// The attempt.
        key: TaskKey,
        /// Outcome to report if the attempt runs and is stopped.
        outcome: TaskOutcome,
        /// Whether to withdraw the attempt only if it cannot have started yet.
        only_waiting: bool,
    },
    /// Status of an attempt, sent to a team partition's owner.
    Status {
        /// Team partition that the status is sent to.
        team_partition: PartitionIndex,
        /// Worker partition whose owner sends the status.
        partition: PartitionIndex,
        /// Epoch of the worker partition.
        epoch: Epoch,
        /// The attempt.
        key: TaskKey,
        /// Its status.
        status: PlacementStatus,
    },
    /// The end of an attempt is committed to the ledger, so the worker may forget the attempt.
    EndRecorded {
        /// Worker partition that reported the end.
        partition: PartitionIndex,
        /// The attempt.
        key: TaskKey,
    },
    /// A caller's command, forwarded to the owner of a team partition.
    Forward {
        /// Entry instance that received the command from the caller.
        origin: InstanceName,
        /// Ticket at that instance.
        ticket: Ticket,
        /// The command.
        command: Box<CallerCommand>,
    },
    /// The answer to a forwarded command.
    Answer {
        /// Ticket at the entry instance that forwarded it.
        ticket: Ticket,
        /// The answer.
        answer: Box<CallerAnswer>,
    },
}
