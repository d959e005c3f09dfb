//! Membership: which entry instances are live, and which partitions each of them should own.

mod member_roster;
mod partition_row;
mod rendezvous;

pub use member_roster::{MemberRoster, MemberState};
pub(crate) use partition_row::{instance_key, roster_key, INSTANCE_PREFIX, PARTITION_PREFIX};
pub use partition_row::{InstanceRow, PartitionKey, PartitionKind, PartitionRow, WorkerRoster};
pub use rendezvous::{assign_partitions, rendezvous_score, Candidate};
