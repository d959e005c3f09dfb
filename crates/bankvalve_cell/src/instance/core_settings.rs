//! Settings of an entry instance.

use crate::ids::Incarnation;
use crate::machine::{InstanceDetail, PartitionPlan};
use crate::owner::{CellTimings, GuardSet};
use crate::placement::PlacePolicy;

/// Settings that an entry instance is started with.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Name, peer address and location of the instance.
    pub detail: InstanceDetail,
    /// How the cell is divided into partitions.
    pub plan: PartitionPlan,
    /// Timeouts, intervals and lease lengths.
    pub timings: CellTimings,
    /// Guards in force.
    pub guards: GuardSet,
    /// How possible workers and worker partitions are scored.
    pub policy: PlacePolicy,
    /// Lowest incarnation number that this process may register with; each restart needs a higher one.
    pub min_incarnation: Incarnation,
}
