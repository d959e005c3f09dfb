//! Data for the routing of service requests: running service tasks, and workers owned by this instance.

use super::InstanceCore;
use crate::ids::{Epoch, InstanceName, PartitionIndex, RegionName, WorkerName};
use crate::link::{PartitionEndpoints, ServiceEndpoint};
use crate::membership::PartitionKey;

/// A running task of a service, and the instance through which it is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The service, its task and the worker that runs it.
    pub endpoint: ServiceEndpoint,
    /// Region of its worker.
    pub region: RegionName,
    /// Owner of the worker's partition; requests to the task go through it.
    pub owner: InstanceName,
    /// Address of the owner's peer listener.
    pub owner_address: String,
}

/// A worker of a partition that this instance owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedWorker {
    /// The worker.
    pub name: WorkerName,
    /// Base URL of its API.
    pub address: String,
    /// Its partition.
    pub partition: PartitionIndex,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Maximum number of requests that it serves at once.
    pub slots: u32,
    /// Maximum number of connections that it accepts at once.
    pub connections: u32,
}

impl InstanceCore {
    /// Returns routes to the running service tasks, by the latest lists of the worker partitions.
    pub fn service_routes(&self) -> Vec<ServiceRoute> {
        let mut routes = Vec::new();
        for list in self.service_endpoints.values() {
            let key = PartitionKey::worker(list.partition);
            let Some((row, _)) = self.partition_rows.get(&key) else {
                continue;
            };
            let Some((member, _)) = self.roster.row_of(&row.owner) else {
                continue;
            };
            routes.extend(list.points.iter().map(|point| ServiceRoute {
                endpoint: point.clone(),
                region: list.region.clone(),
                owner: row.owner.clone(),
                owner_address: member.detail.peer_address.clone(),
            }));
        }
        routes
    }

    /// Records a worker partition's list of running service tasks, unless the same or a later one is known.
    pub(super) fn handle_endpoints(&mut self, list: PartitionEndpoints) {
        let sequence_of = |list: &PartitionEndpoints| (list.epoch, list.sequence);
        let known = self.service_endpoints.get(&list.partition);
        if known.is_none_or(|known| sequence_of(known) < sequence_of(&list)) {
            self.service_endpoints.insert(list.partition, list);
        }
    }

    /// Returns the workers that this instance may send service requests to.
    pub fn owned_workers(&self) -> Vec<OwnedWorker> {
        self.workers
            .values()
            .flat_map(|owner| owner.serving_workers())
            .collect()
    }
}
