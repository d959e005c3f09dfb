//! The users' platform as plain state machines: table, workers and policy.

mod site_policy;
mod site_store;
mod site_worker;

pub use site_policy::SitePolicy;
pub use site_store::SiteStore;
pub use site_worker::{SiteRun, SiteWorker, WorkerNews};
