//! Simulates the platforms that bankvalve runs on, for tests and trials.
//!
//! The [`model`] module holds the table service, the object store, the
//! instance list and the workers as state machines without I/O. Randomised runs
//! drive them under virtual time. [`PlatformStandin`] serves the same models
//! over HTTP, with faults that an operator or a test can inject. The [`site`]
//! module does the same for the platform of the users.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod http;
pub mod model;
pub mod site;

pub use http::{
    FaultSettings, PlatformStandin, ServiceAnswer, StandinPlan, WorkerFault, WorkerGroup,
};
