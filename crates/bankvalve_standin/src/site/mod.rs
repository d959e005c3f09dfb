//! The platform of the users: table, workers and policy service as state machines without I/O, and all
//! three over HTTP as [`SitePlatform`].

mod site_platform;
mod site_policy;
mod site_store;
mod site_worker;

pub use site_platform::{SeenRun, SitePlatform, StoreFault};
pub use site_policy::SitePolicy;
pub use site_store::SiteStore;
pub use site_worker::{SiteRun, SiteWorker, WorkerEvent, MAX_ENDS_PER_REPORT};
