//! The threads of an entry instance, which communicate through bounded queues.
//!
//! - `core` runs the decision logic.
//! - `links` sends the core's requests to the platform, the workers and the peers.
//! - `callers`, `peers` and `admin` serve HTTP requests.
//! - `list` polls the platform's instance list.

mod core_thread;
mod instance_process;
mod link_thread;
mod list_thread;
mod record_reader;
mod request_router;
mod route_table;
mod serve_failure;

pub use core_thread::{CoreHandle, CoreView};
pub use instance_process::{InstanceListeners, InstanceProcess};
pub use record_reader::{RecordEntry, RecordReader};
pub use request_router::{RequestCounts, RequestOutcome, RequestRouter, ServiceRequest};
pub(crate) use request_router::{PEER_NOT_RUN, PEER_UNKNOWN};
pub use route_table::{RouteTable, SlotGate, SlotPermit};
pub use serve_failure::ServeFailure;
