//! What an entry instance is told when it starts.

use crate::ids::Incarnation;
use crate::machine::{InstanceDetail, PartitionPlan};
use crate::owner::{CellTimings, GuardSet};
use crate::placement::PlacePolicy;

/// What an entry instance is told when it starts.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// The instance.
    pub detail: InstanceDetail,
    /// How the cell is cut into partitions.
    pub plan: PartitionPlan,
    /// Times that govern the cell.
    pub timings: CellTimings,
    /// Guards in force.
    pub guards: GuardSet,
    /// How places are compared.
    pub policy: PlacePolicy,
    /// Least number for this life; later lives need a greater one.
    pub min_incarnation: Incarnation,
}
