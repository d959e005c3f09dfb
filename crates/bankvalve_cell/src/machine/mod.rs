//! Machines of a cell: workers that run tasks, entry instances that run bankvalve.

mod instance_detail;
mod task_size;
mod worker_detail;

pub use instance_detail::InstanceDetail;
pub use task_size::TaskSize;
pub use worker_detail::{
    worker_partition_of, ListState, ListedWorker, PartitionPlan, WorkerDetail,
};
