//! Workers, as the platform's instance list describes them, and their partitions.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::TaskSize;
use crate::ids::{DomainName, PartitionIndex, RackName, RegionName, WorkerName};

/// A worker: its location, address and capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerDetail {
    /// Name, which stays the same across restarts.
    pub name: WorkerName,
    /// Base URL of its API, such as `http://10.0.3.7:7000`.
    pub address: String,
    /// Region that the worker is in.
    pub region: RegionName,
    /// Failure domain that the worker is in.
    pub domain: DomainName,
    /// Rack that the worker is in.
    pub rack: RackName,
    /// Capacity for tasks.
    pub size: TaskSize,
    /// Maximum number of requests that it serves at the same time.
    pub slots: u32,
    /// Maximum number of connections that it accepts at the same time.
    pub connections: u32,
}

/// State of a machine in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// In service.
    Live,
    /// About to leave the cell; gets no new tasks.
    Leaving,
}

/// A worker as listed in the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// The worker.
    pub detail: WorkerDetail,
    /// Its state in the list.
    pub state: ListState,
}

/// Division of the cell into partitions. It must be the same on every entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartitionPlan {
    /// Regions of the cell. Their order determines which worker partitions belong to each region.
    pub regions: Vec<RegionName>,
    /// Number of worker partitions in each region.
    pub worker_partitions_per_region: u32,
    /// Number of team partitions in the cell.
    pub team_partitions: u32,
}

impl PartitionPlan {
    /// Returns the number of worker partitions in the cell.
    pub fn worker_partitions(&self) -> u32 {
        self.worker_partitions_per_region * self.regions.len() as u32
    }

    /// Returns the team partition that holds a team's jobs.
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

    /// Returns the region of a worker partition, or `None` if the cell has no such partition.
    pub fn region_of(&self, partition: PartitionIndex) -> Option<&RegionName> {
        let per_region = self.worker_partitions_per_region.max(1);
        self.regions.get((partition / per_region) as usize)
    }
}

/// Returns the worker partition that a worker belongs to, or `None` if its region is not in the plan.
///
/// A fixed hash of the name spreads the workers of a rack over all partitions
/// of the region, so the loss of a rack affects each of them a little.
pub fn worker_partition_of(plan: &PartitionPlan, detail: &WorkerDetail) -> Option<PartitionIndex> {
    let region = plan
        .regions
        .iter()
        .position(|name| *name == detail.region)?;
    let per_region = plan.worker_partitions_per_region.max(1);
    let hash = (xxh3_64(detail.name.as_bytes()) % u64::from(per_region)) as u32;
    Some(region as u32 * per_region + hash)
}
