//! Owner of a worker partition: the only one that speaks to its workers.

mod digest;
mod exchange;
mod orders;
mod placement_entry;
mod placing;
mod worker_partition;
mod worker_seat;

pub use worker_partition::WorkerPartition;
