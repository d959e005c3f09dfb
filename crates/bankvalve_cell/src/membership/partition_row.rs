//! Rows in the table service that record live instances, owners of partitions and known workers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation, InstanceName, PartitionIndex, WorkerName};
use crate::machine::{InstanceDetail, WorkerDetail};

/// Prefix of all instance rows.
pub(crate) const INSTANCE_PREFIX: &str = "instance/";
/// Prefix of all partition rows.
pub(crate) const PARTITION_PREFIX: &str = "partition/";

/// Kind of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PartitionKind {
    /// Contains workers.
    Worker,
    /// Contains teams and their jobs.
    Team,
}

/// Kind and index of a partition, which identify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionKey {
    /// Kind of the partition.
    pub kind: PartitionKind,
    /// Index among the partitions of this kind.
    pub index: PartitionIndex,
}

impl PartitionKey {
    /// Returns the key of a worker partition.
    pub fn worker(index: PartitionIndex) -> Self {
        let kind = PartitionKind::Worker;
        Self { kind, index }
    }

    /// Returns the key of a team partition.
    pub fn team(index: PartitionIndex) -> Self {
        let kind = PartitionKind::Team;
        Self { kind, index }
    }

    /// Returns whether this is a team partition.
    pub fn is_team(self) -> bool {
        self.kind == PartitionKind::Team
    }

    /// Returns the key of the partition's row in the table service.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_cell::membership::PartitionKey;
    ///
    /// let key = PartitionKey::worker(7);
    /// assert_eq!(key.row_key(), "partition/worker/0007");
    /// assert_eq!(PartitionKey::from_row_key("partition/worker/0007"), Some(key));
    /// ```
    pub fn row_key(self) -> String {
        format!("{PARTITION_PREFIX}{self}")
    }

    /// Parses the key of a partition's row.
    pub fn from_row_key(key: &str) -> Option<Self> {
        let (kind, index) = key.strip_prefix(PARTITION_PREFIX)?.split_once('/')?;
        let index = index.parse().ok()?;
        match kind {
            "worker" => Some(Self::worker(index)),
            "team" => Some(Self::team(index)),
            _ => None,
        }
    }
}

impl fmt::Display for PartitionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_team() { "team" } else { "worker" };
        write!(f, "{kind}/{:04}", self.index)
    }
}

/// Row that records the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRow {
    /// Name of the owner; empty if the partition was released.
    pub owner: InstanceName,
    /// The owner's incarnation.
    pub incarnation: Incarnation,
    /// The owner's epoch.
    pub epoch: Epoch,
}

/// Row that an entry instance renews to show that it is live.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The instance.
    pub detail: InstanceDetail,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Number of renewals.
    pub beat: u64,
    /// Whether the instance is shutting down and hands over its partitions.
    pub stopping: bool,
    /// Whether a peer has declared that this incarnation has ended; this is never undone.
    pub revoked: bool,
}

/// Row that lists the workers to which a partition's owner may have sent commands.
///
/// The owner adds a worker here before it first sends it work. A successor
/// therefore knows which workers to fence even if the instance list lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRoster {
    /// The workers.
    pub workers: Vec<WorkerDetail>,
    /// Names of the workers that an operator is draining.
    pub drained: Vec<WorkerName>,
}

/// Returns the key of the row that lists a partition's workers.
pub(crate) fn roster_key(partition: PartitionIndex) -> String {
    format!("roster/{partition:04}")
}

/// Returns the key of an entry instance's row.
pub(crate) fn instance_key(name: &str) -> String {
    format!("{INSTANCE_PREFIX}{name}")
}

macro_rules! impl_row_encoding {
    ($($row:ty),*) => {
        $(impl $row {
            /// Encodes the row for storage.
            ///
            /// # Panics
            ///
            /// Does not panic: every field can be encoded.
            pub fn encode(&self) -> Vec<u8> {
                rmp_serde::to_vec_named(self).expect("a row can be encoded")
            }

            /// Decodes a stored row, or returns `None` if the bytes are not such a row.
            pub fn decode(bytes: &[u8]) -> Option<Self> {
                rmp_serde::from_slice(bytes).ok()
            }
        })*
    };
}

impl_row_encoding!(PartitionRow, InstanceRow, WorkerRoster);
