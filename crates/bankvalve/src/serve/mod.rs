//! An entry instance as threads: one for each duty, joined by bounded rings.
//!
//! The `core` thread makes all decisions. The `links` thread carries what it
//! asks for to the platform, the workers and the peers. The `callers`,
//! `peers` and `admin` threads listen; the `list` thread polls the instance
//! list.

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
