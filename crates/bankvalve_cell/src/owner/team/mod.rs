//! Owner of a team partition: the only instance that decides on its teams' jobs.

mod attempt_messages;
mod attempt_tracker;
mod commands;
mod commit;
mod gangs;
mod scheduling;
mod team_partition;

pub use commit::FlushOutcome;
pub use team_partition::{TeamPartition, TeamView};
