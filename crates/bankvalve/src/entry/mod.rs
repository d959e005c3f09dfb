//! An entry instance on the users' platform: threads connected by bounded queues.
//!
//! The `core` thread makes all decisions of [`bankvalve_queue::EntryCore`].
//! The `links` thread sends its requests to the table, the policy service,
//! the workers and the peers. The `callers`, `peers`, `readiness` and
//! `metrics` threads serve HTTP. The `decisions` thread writes the log.

mod boot_time;
mod core_loop;
mod decision_log;
mod entry_listeners;
mod entry_metrics;
mod entry_process;
mod link_loop;
mod listeners;

pub use core_loop::EntryHandle;
pub use decision_log::{line_chunks, DecisionLog, LineLevel};
pub use entry_metrics::EntryMetrics;
pub use entry_process::EntryProcess;
