//! Stands in for the platform that bankvalve runs on.
//!
//! The [`model`] module holds the table service, the object store, the
//! instance list and the workers as plain state machines; randomised runs
//! drive them under virtual time. [`PlatformStandin`] serves the same models
//! over HTTP, with faults that a person or a test can turn on. The [`site`]
//! module holds the users' platform in the same way.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod http;
pub mod model;
pub mod site;

pub use http::{
    FaultSettings, PlatformStandin, ServiceAnswer, StandinPlan, WorkerFault, WorkerGroup,
};
