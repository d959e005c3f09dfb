//! The state machine of an entry instance: its lease, its partitions, and its messages and requests.

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
