//! HTTP interfaces for callers and operators, for peers, and for monitoring.

mod admin_api;
mod caller_api;
mod error_body;
mod peer_api;

pub use admin_api::AdminApi;
pub use caller_api::CallerApi;
pub use error_body::{ErrorBody, ErrorDetail};
pub use peer_api::PeerApi;
