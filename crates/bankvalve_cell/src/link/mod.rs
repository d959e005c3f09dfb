//! Messages that an entry instance exchanges with callers, workers, peers and the platform's services.

mod caller_command;
mod peer_message;
mod store_request;
mod worker_exchange;

pub use caller_command::{
    CallerAnswer, CallerCommand, InstanceView, JobView, PartitionView, Refusal, TaskView,
    WorkerView,
};
pub use peer_message::{
    CapacityGroup, LinkFailure, PartitionDigest, PartitionEndpoints, PeerMessage, PlaceGate,
    PlaceOrder, PlacementStatus, ServiceEndpoint,
};
pub use store_request::{
    ObjectOutcome, ObjectRequest, RowCondition, RowImage, RowWrite, StoreOutcome, StoreRequest,
    TableTransaction,
};
pub use worker_exchange::{
    FenceToken, HeldPhase, HeldTask, TaskId, TaskKey, TaskLabel, TaskOutcome, WorkerCommand,
    WorkerExchange, WorkerRefusal, WorkerReport,
};
