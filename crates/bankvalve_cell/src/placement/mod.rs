//! Choice of a worker partition and a worker for a task, and of the tasks to preempt.

mod partition_choice;
mod place_policy;
mod preempt_choice;

pub use partition_choice::{DigestCache, PartitionChoice, PlacementRequirements};
pub use place_policy::{PlacePolicy, ScoreInput};
pub use preempt_choice::{choose_victims, VictimCandidate};
