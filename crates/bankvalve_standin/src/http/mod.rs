//! HTTP server that offers the services of the stand-in platform on one listener.

mod fault_settings;
mod platform_standin;
mod standin_plan;

pub use fault_settings::{FaultSettings, WorkerFault};
pub use platform_standin::{PlatformStandin, ServiceAnswer};
pub use standin_plan::{StandinPlan, WorkerGroup};
