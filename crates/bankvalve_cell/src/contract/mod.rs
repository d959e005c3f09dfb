//! Contracts of a cell: jobs, the configuration bundle, and worker leases.

mod cell_bundle;
mod job_spec;
mod worker_lease;

pub use cell_bundle::{CellBundle, TeamContract};
pub use job_spec::{JobKind, JobSpec, PlaceRule, SpecProblem};
pub use worker_lease::{WorkerClockReading, CLOCK_RATE_BOUND};
