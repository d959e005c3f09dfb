//! What entry instances say to each other.
//!
//! The link drops, never repeats and never reorders messages between two
//! lives of two instances; whatever must arrive is said again by its sender.

use serde::{Deserialize, Serialize};

use super::{CallerAnswer, CallerCommand, TaskKey, TaskLabel, TaskOutcome};
use crate::contract::PlaceRule;
use crate::ids::{
    DomainName, Epoch, InstanceName, PartitionIndex, RackName, RegionName, ServiceName, Ticket,
    WorkerName,
};
use crate::machine::TaskSize;
use crate::refusal::RefusalReason;

/// Why an exchange over a link has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFailure {
    /// It was surely not sent.
    NotSent,
    /// It may have been received.
    NoAnswer,
}

/// Whether a placement may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceGate {
    /// Start as soon as there is room.
    Start,
    /// Hold room for a gang, and start nothing yet.
    Hold,
}

/// A team owner's order to have an attempt placed in a worker partition.
///
/// It is idempotent: saying it again asks what became of the attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceOrder {
    /// The attempt.
    pub key: TaskKey,
    /// What goes with it to the worker.
    pub label: TaskLabel,
    /// Epoch of the team partition's owner.
    pub team_epoch: Epoch,
    /// Epoch of the worker partition that the intent was recorded for.
    pub intent_epoch: Epoch,
    /// Worker that the attempt is known to have been started on.
    pub started_on: Option<WorkerName>,
    /// Whether it may start.
    pub gate: PlaceGate,
    /// Where it may live; all must admit the worker.
    pub rules: Vec<PlaceRule>,
    /// Failure domain to prefer, for spreading.
    pub prefer_domain: Option<DomainName>,
    /// Share that the team weighs in the queue.
    pub weight: u32,
    /// Expected run time in milliseconds, zero for services.
    pub run_time_ms: u64,
    /// What to run.
    pub payload: String,
}

/// What a worker partition's owner knows of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementStatus {
    /// It waits in the partition's queue; nothing was started.
    Queued,
    /// Room is held for it; nothing was started.
    Held,
    /// It runs.
    Started {
        /// Where.
        worker: WorkerName,
        /// In which failure domain.
        domain: DomainName,
        /// In which rack.
        rack: RackName,
        /// Whether the worker is being emptied.
        leaving: bool,
    },
    /// It ended.
    Ended {
        /// Where it ran.
        worker: WorkerName,
        /// How it ended.
        outcome: TaskOutcome,
        /// Time that it ran, in milliseconds.
        ran_ms: u64,
        /// Largest usage seen.
        peak: TaskSize,
    },
    /// It runs nowhere in the partition and never will, but it may have run.
    Lost,
    /// It runs nowhere in the partition and never did.
    NotRun(RefusalReason),
    /// Workers on which it may run have not been fenced yet.
    Unfenced,
}

/// Room in the part of a worker partition that lies in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityGroup {
    /// The failure domain.
    pub domain: DomainName,
    /// Workers that take new work.
    pub workers: u32,
    /// Free room, summed, after what is queued.
    pub free: TaskSize,
    /// Free room of the workers with the most, up to a few.
    pub largest: Vec<TaskSize>,
    /// Free room and room held by batch tasks together, of the workers with the most, up to a few.
    pub preemptible: Vec<TaskSize>,
    /// The distinct sizes that workers have in all.
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

/// Summary of a worker partition, for those who choose among partitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionDigest {
    /// The partition.
    pub partition: PartitionIndex,
    /// Its owner's epoch.
    pub epoch: Epoch,
    /// Counts the digests of this epoch.
    pub sequence: u64,
    /// Region that it lies in.
    pub region: RegionName,
    /// Tasks waiting in its queue.
    pub queued: u32,
    /// Room by failure domain.
    pub groups: Vec<CapacityGroup>,
}

/// Running tasks of services in a worker partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionEndpoints {
    /// The partition.
    pub partition: PartitionIndex,
    /// Its owner's epoch.
    pub epoch: Epoch,
    /// Counts the lists of this epoch.
    pub sequence: u64,
    /// Region that it lies in.
    pub region: RegionName,
    /// The tasks.
    pub points: Vec<ServiceEndpoint>,
}

/// A message between two entry instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Says that the sender lives; the batch says which bundle it has in force.
    Heartbeat,
    /// A partition has a new owner, or none.
    OwnerChanged,
    /// Summary of a worker partition.
    Digest(PartitionDigest),
    /// Running tasks of services in a worker partition.
    Points(PartitionEndpoints),
    /// Order to place an attempt; goes to a worker partition's owner.
    Place {
        /// The partition.
        partition: PartitionIndex,
        /// Epoch that the sender believes the partition has.
        epoch: Epoch,
        /// The order.
        order: Box<PlaceOrder>,
    },
    /// Order to end an attempt: take it from the queue or stop it.
    Withdraw {
        /// The partition.
        partition: PartitionIndex,
        /// Epoch that the sender believes the partition has.
        epoch: Epoch,
        /// Epoch of the team partition's owner.
        team_epoch: Epoch,
        /// Team partition that asks.
        team_partition: PartitionIndex,
        /// Epoch of the worker partition that the intent was recorded for.
        intent_epoch: Epoch,
        /// Worker that the attempt is known to have been started on.
        started_on: Option<WorkerName>,
        /// The attempt.
        key: TaskKey,
        /// Outcome to report if it runs and is stopped.
        outcome: TaskOutcome,
        /// Whether to leave it alone once it may have started.
        only_waiting: bool,
    },
    /// What became of an attempt; goes to a team partition's owner.
    Status {
        /// Team partition that it is meant for.
        team_partition: PartitionIndex,
        /// Worker partition that speaks.
        partition: PartitionIndex,
        /// Its epoch.
        epoch: Epoch,
        /// The attempt.
        key: TaskKey,
        /// What became of it.
        status: PlacementStatus,
    },
    /// The end of an attempt is recorded; the worker may forget it.
    EndRecorded {
        /// Worker partition that reported it.
        partition: PartitionIndex,
        /// The attempt.
        key: TaskKey,
    },
    /// A caller's command, for the owner of a team partition.
    Forward {
        /// Entry instance that the caller spoke to.
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
