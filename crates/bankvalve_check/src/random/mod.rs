//! Randomised runs with faults.

mod episode;
mod fault_driver;
mod random_command;
mod shrink;

pub use episode::{run_episode, EpisodePlan, EpisodeReport};
pub use fault_driver::FaultDriver;
pub use random_command::run_random;
pub use shrink::shrink_episode;
