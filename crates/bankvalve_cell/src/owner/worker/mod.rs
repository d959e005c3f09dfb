//! Owner of a worker partition: the only instance that sends commands to its workers.

mod digest;
mod exchange;
mod orders;
mod placement;
mod placement_entry;
mod worker_partition;
mod worker_state;

pub use worker_partition::WorkerPartition;
