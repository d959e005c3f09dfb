//! Choice among places: which worker partition, which worker, whom to preempt.

mod partition_choice;
mod place_policy;
mod preempt_choice;

pub use partition_choice::{PartitionChoice, PlaceWish, RoomBoard};
pub use place_policy::{PlacePolicy, RoomView};
pub use preempt_choice::{choose_victims, VictimCandidate};
