//! Rows of the table service that say who lives and who owns what.

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
    /// Holds workers.
    Worker,
    /// Holds teams and their jobs.
    Team,
}

/// Names a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionKey {
    /// Its kind.
    pub kind: PartitionKind,
    /// Its index inside the kind.
    pub index: PartitionIndex,
}

impl PartitionKey {
    /// Names a worker partition.
    pub fn worker(index: PartitionIndex) -> Self {
        let kind = PartitionKind::Worker;
        Self { kind, index }
    }

    /// Names a team partition.
    pub fn team(index: PartitionIndex) -> Self {
        let kind = PartitionKind::Team;
        Self { kind, index }
    }

    /// Tells whether it holds teams.
    pub fn is_team(self) -> bool {
        self.kind == PartitionKind::Team
    }

    /// Key of its row.
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

    /// Reads the key of a row.
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

/// Row that says who owns a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRow {
    /// The owner; empty if it was released.
    pub owner: InstanceName,
    /// The owner's life.
    pub incarnation: Incarnation,
    /// The owner's epoch.
    pub epoch: Epoch,
}

/// Row that an entry instance renews to show that it lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The instance.
    pub detail: InstanceDetail,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts the renewals.
    pub beat: u64,
    /// Whether it hands over what it owns.
    pub stopping: bool,
    /// Whether a peer has declared this life over; it is final.
    pub revoked: bool,
}

/// Row that names the workers that a partition's owner may have spoken to.
///
/// A worker is written here before it is first given work, so that a
/// successor knows whom it must fence although the instance list lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRoster {
    /// The workers.
    pub workers: Vec<WorkerDetail>,
    /// Workers that an operator drains.
    pub drained: Vec<WorkerName>,
}

/// Key of the row that names a partition's workers.
pub(crate) fn roster_key(partition: PartitionIndex) -> String {
    format!("roster/{partition:04}")
}

/// Key of an entry instance's row.
pub(crate) fn instance_key(name: &str) -> String {
    format!("{INSTANCE_PREFIX}{name}")
}

macro_rules! impl_row_encoding {
    ($($row:ty),*) => {
        $(impl $row {
            /// Encodes the row as it is stored.
            ///
            /// # Panics
            ///
            /// Never: every field can be encoded.
            pub fn encode(&self) -> Vec<u8> {
                rmp_serde::to_vec_named(self).expect("a row can be encoded")
            }

            /// Decodes a stored row.
            pub fn decode(bytes: &[u8]) -> Option<Self> {
                rmp_serde::from_slice(bytes).ok()
            }
        })*
    };
}

impl_row_encoding!(PartitionRow, InstanceRow, WorkerRoster);
