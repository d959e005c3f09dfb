//! Membership: which entry instances live, and which of them should own what.

mod member_roster;
mod partition_row;
mod rendezvous;

pub use member_roster::{MemberRoster, MemberState};
pub(crate) use partition_row::{instance_key, roster_key, INSTANCE_PREFIX, PARTITION_PREFIX};
pub use partition_row::{InstanceRow, PartitionKey, PartitionKind, PartitionRow, WorkerRoster};
pub use rendezvous::{assign_partitions, rendezvous_score, Candidate};
