//! Workers as the platform's instance list names them.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::TaskSize;
use crate::ids::{DomainName, PartitionIndex, RackName, RegionName, WorkerName};

/// A worker: where it stands, how it is reached and what it can hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerDetail {
    /// Name, stable over restarts.
    pub name: WorkerName,
    /// Base URL of its API, such as `http://10.0.3.7:7000`.
    pub address: String,
    /// Region that it stands in.
    pub region: RegionName,
    /// Failure domain that it stands in.
    pub domain: DomainName,
    /// Rack that it stands in.
    pub rack: RackName,
    /// Room for tasks.
    pub size: TaskSize,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
}

/// What the instance list says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// In service.
    Live,
    /// Leaving soon: gets no new work.
    Leaving,
}

/// A worker and its state in the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// The worker.
    pub detail: WorkerDetail,
    /// Its state.
    pub state: ListState,
}

/// How the cell is cut into partitions; the same on every entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartitionPlan {
    /// Regions of the cell; their order counts.
    pub regions: Vec<RegionName>,
    /// Worker partitions in each region.
    pub worker_partitions_per_region: u32,
    /// Team partitions in the cell.
    pub team_partitions: u32,
}

impl PartitionPlan {
    /// Number of worker partitions in the cell.
    pub fn worker_partitions(&self) -> u32 {
        self.worker_partitions_per_region * self.regions.len() as u32
    }

    /// The team partition that holds a team's jobs.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_cell::machine::PartitionPlan;
    ///
    /// let plan = PartitionPlan {
    ///     regions: vec!["tasmania".into()],
    ///     worker_partitions_per_region: 4,
    ///     team_partitions: 8,
    /// };
    /// assert!(plan.team_partition_of("billing") < 8);
    /// ```
    pub fn team_partition_of(&self, team: &str) -> PartitionIndex {
        (xxh3_64(team.as_bytes()) % u64::from(self.team_partitions.max(1))) as PartitionIndex
    }

    /// The region that a worker partition lies in.
    pub fn region_of(&self, partition: PartitionIndex) -> Option<&RegionName> {
        let per_region = self.worker_partitions_per_region.max(1);
        self.regions.get((partition / per_region) as usize)
    }
}

/// The worker partition that a worker belongs to, if its region is in the plan.
///
/// A fixed hash of the name spreads the workers of a rack over all
/// partitions of the region, so that a rack's loss is shared out.
pub fn worker_partition_of(plan: &PartitionPlan, detail: &WorkerDetail) -> Option<PartitionIndex> {
    let region = plan
        .regions
        .iter()
        .position(|name| *name == detail.region)?;
    let per_region = plan.worker_partitions_per_region.max(1);
    let hash = (xxh3_64(detail.name.as_bytes()) % u64::from(per_region)) as u32;
    Some(region as u32 * per_region + hash)
}
