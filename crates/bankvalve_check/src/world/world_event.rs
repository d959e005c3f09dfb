//! Things that happen at a time in a world.

use std::cmp::Ordering;
use std::time::Duration;

use bankvalve_cell::ids::{PartitionIndex, Ticket};
use bankvalve_cell::instance::CoreEvent;
use bankvalve_cell::link::{ObjectRequest, StoreRequest, WorkerExchange};

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum WorldEvent {
    /// An entry instance's clock ticks.
    Tick {
        /// Index of the entry instance.
        entry: usize,
        /// Its life.
        life: u64,
    },
    /// Something reaches an entry instance.
    Deliver {
        /// Index of the entry instance.
        entry: usize,
        /// The life that it is meant for; none for any.
        life: Option<u64>,
        /// What reaches it.
        event: Box<CoreEvent>,
    },
    /// A request reaches the table service.
    StoreArrives {
        /// Index of the entry instance that asks.
        entry: usize,
        /// Its life.
        life: u64,
        /// Ticket to answer with.
        ticket: Ticket,
        /// The request.
        request: Box<StoreRequest>,
    },
    /// A request reaches the object store.
    ObjectArrives {
        /// Index of the entry instance that asks.
        entry: usize,
        /// Its life.
        life: u64,
        /// Ticket to answer with.
        ticket: Ticket,
        /// The request.
        request: Box<ObjectRequest>,
    },
    /// An exchange reaches a worker.
    ExchangeArrives {
        /// Index of the entry instance that asks.
        entry: usize,
        /// Its life.
        life: u64,
        /// Partition of the worker.
        partition: PartitionIndex,
        /// Name of the worker.
        worker: String,
        /// The exchange.
        exchange: Box<WorkerExchange>,
    },
    /// An entry instance reads the instance list.
    ListPoll {
        /// Index of the entry instance.
        entry: usize,
        /// Its life.
        life: u64,
    },
    /// A paused entry instance goes on.
    Resume {
        /// Index of the entry instance.
        entry: usize,
    },
    /// An entry instance starts a new life.
    Start {
        /// Index of the entry instance.
        entry: usize,
    },
    /// A dead worker starts a new life.
    WorkerBack {
        /// Name of the worker.
        worker: String,
    },
    /// The driver of the run is to be called.
    Wake,
}

/// An event in the queue.
#[derive(Debug)]
pub(super) struct QueuedEvent {
    pub(super) at: Duration,
    pub(super) number: u64,
    pub(super) event: WorldEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    /// The earliest comes first out of a heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}
