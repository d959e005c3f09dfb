//! Owners of partitions: the single writer for a set of workers or teams.

mod cell_timings;
mod guard_set;
mod owner_context;
mod team;
mod worker;

pub use cell_timings::CellTimings;
pub use guard_set::{GuardName, GuardSet};
pub use owner_context::{OwnerAction, OwnerContext};
pub use team::{FlushOutcome, TeamPartition, TeamView};
pub use worker::WorkerPartition;
