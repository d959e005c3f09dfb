//! An entry instance: membership, the partitions it owns, and its links.

mod bundle;
mod commands;
mod core_event;
mod core_settings;
mod group_commit;
mod handover;
mod instance_core;
mod lease;
mod ownership;
mod peers;
mod routes;
mod store_requests;

pub use core_event::{CoreAction, CoreEvent, PeerBatch};
pub use core_settings::CoreSettings;
pub use instance_core::InstanceCore;
pub use routes::{OwnedWorker, ServiceRoute};
