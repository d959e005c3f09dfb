//! What happens to an entry instance, and what it asks to be done.

use serde::{Deserialize, Serialize};

use crate::ids::{BundleVersion, Incarnation, InstanceName, PartitionIndex, Ticket, WorkerName};
use crate::link::{
    CallerAnswer, CallerCommand, FenceToken, LinkFailure, ObjectOutcome, ObjectRequest,
    PeerMessage, StoreOutcome, StoreRequest, WorkerExchange, WorkerRefusal, WorkerReport,
};
use crate::machine::ListedWorker;

/// Messages that go to a peer together.
///
/// A receiver takes each batch once and in order, by life and sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerBatch {
    /// The sender.
    pub from: InstanceName,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// Number of the batch in what this life sends to this peer.
    pub sequence: u64,
    /// Version of the bundle that the sender has in force.
    pub bundle: BundleVersion,
    /// The messages.
    pub messages: Vec<PeerMessage>,
}

/// Something that happens to an entry instance.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// Time has passed.
    Tick,
    /// A peer's batch arrived.
    Peer(PeerBatch),
    /// The table service answered, or did not.
    Store {
        /// Ticket of the request.
        ticket: Ticket,
        /// What became of it.
        outcome: StoreOutcome,
    },
    /// The object store answered, or did not.
    Object {
        /// Ticket of the request.
        ticket: Ticket,
        /// What became of it.
        outcome: ObjectOutcome,
    },
    /// A worker answered, or did not.
    Worker {
        /// Partition of the worker.
        partition: PartitionIndex,
        /// The worker.
        worker: WorkerName,
        /// Token of the exchange.
        token: FenceToken,
        /// The answer.
        answer: Result<Result<WorkerReport, WorkerRefusal>, LinkFailure>,
    },
    /// The platform's instance list was read.
    List(Vec<ListedWorker>),
    /// A caller or operator wants something.
    Command {
        /// Ticket to answer with.
        ticket: Ticket,
        /// What is wanted.
        command: CallerCommand,
    },
    /// The process is to stop as planned.
    Stop,
}

/// Something that an entry instance asks to be done.
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
    /// Ask the table service.
    Store {
        /// Ticket to answer with.
        ticket: Ticket,
        /// The request.
        request: StoreRequest,
    },
    /// Ask the object store.
    Object {
        /// Ticket to answer with.
        ticket: Ticket,
        /// The request.
        request: ObjectRequest,
    },
    /// Exchange with a worker.
    Worker {
        /// Partition of the worker.
        partition: PartitionIndex,
        /// The worker.
        worker: WorkerName,
        /// Base URL of its API.
        address: String,
        /// What to say.
        exchange: WorkerExchange,
    },
    /// Answer a command.
    Answer {
        /// Ticket of the command.
        ticket: Ticket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Everything is handed over; the process may end.
    Stopped,
}
