//! Input events of an entry instance and the actions that it requests.

use serde::{Deserialize, Serialize};

use crate::ids::{BundleVersion, Incarnation, InstanceName, PartitionIndex, Ticket, WorkerName};
use crate::link::{
    CallerAnswer, CallerCommand, FenceToken, LinkFailure, ObjectOutcome, ObjectRequest,
    PeerMessage, StoreOutcome, StoreRequest, WorkerExchange, WorkerRefusal, WorkerReport,
};
use crate::machine::ListedWorker;

/// Messages to a peer that are sent together.
///
/// The receiver handles batches in order of incarnation and sequence, and drops late and repeated ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerBatch {
    /// The sender.
    pub from: InstanceName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Number of the batch among those that this incarnation sends to this peer, from one.
    pub sequence: u64,
    /// Version of the bundle that the sender has in force.
    pub bundle: BundleVersion,
    /// The messages.
    pub messages: Vec<PeerMessage>,
}

/// An input event of an entry instance.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// The driver's periodic timer fired; all work that is due runs.
    Tick,
    /// A peer's batch arrived.
    Peer(PeerBatch),
    /// A request to the table service has ended, with or without an answer.
    Store {
        /// Ticket of the request.
        ticket: Ticket,
        /// Outcome of the request.
        outcome: StoreOutcome,
    },
    /// A request to the object store has ended, with or without an answer.
    Object {
        /// Ticket of the request.
        ticket: Ticket,
        /// Outcome of the request.
        outcome: ObjectOutcome,
    },
    /// An exchange with a worker has ended, with or without an answer.
    Worker {
        /// Partition of the worker.
        partition: PartitionIndex,
        /// The worker.
        worker: WorkerName,
        /// Fencing token of the exchange.
        token: FenceToken,
        /// The worker's report or refusal, or why no answer came.
        answer: Result<Result<WorkerReport, WorkerRefusal>, LinkFailure>,
    },
    /// The platform's instance list was read.
    List(Vec<ListedWorker>),
    /// A command of a caller or operator arrived.
    Command {
        /// Ticket that the answer must carry.
        ticket: Ticket,
        /// The command.
        command: CallerCommand,
    },
    /// A planned stop of the process was requested.
    Stop,
}

/// An action that an entry instance requests from its driver.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Send a batch to a peer.
    Peer {
        /// The peer.
        to: InstanceName,
        /// Address of its peer listener.
        address: String,
        /// The batch.
        batch: PeerBatch,
    },
    /// Send a request to the table service.
    Store {
        /// Ticket that the outcome must carry.
        ticket: Ticket,
        /// The request.
        request: StoreRequest,
    },
    /// Send a request to the object store.
    Object {
        /// Ticket that the outcome must carry.
        ticket: Ticket,
        /// The request.
        request: ObjectRequest,
    },
    /// Start an exchange with a worker.
    Worker {
        /// Partition of the worker.
        partition: PartitionIndex,
        /// The worker.
        worker: WorkerName,
        /// Base URL of its API.
        address: String,
        /// The exchange.
        exchange: WorkerExchange,
    },
    /// Answer a command.
    Answer {
        /// Ticket of the command.
        ticket: Ticket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// The planned stop is complete: this instance owns no partition and the process may end.
    Stopped,
}
