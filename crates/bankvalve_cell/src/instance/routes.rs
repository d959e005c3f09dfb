//! What the request path needs to know: where services run and which workers are owned here.

use super::InstanceCore;
use crate::ids::{Epoch, InstanceName, PartitionIndex, RegionName, WorkerName};
use crate::link::{PartitionEndpoints, ServiceEndpoint};
use crate::membership::PartitionKey;

/// A running task of a service, and the instance to reach it through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The task.
    pub endpoint: ServiceEndpoint,
    /// Region of its worker.
    pub region: RegionName,
    /// Owner of the worker's partition.
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
    /// Requests that it serves at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
}

impl InstanceCore {
    /// Where services run, as last heard.
    pub fn service_routes(&self) -> Vec<ServiceRoute> {
        let mut routes = Vec::new();
        for list in self.points.values() {
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

    /// Takes in a list of running tasks of services, unless a later one is known.
    pub(super) fn handle_points(&mut self, list: PartitionEndpoints) {
        let place = |list: &PartitionEndpoints| (list.epoch, list.sequence);
        let known = self.points.get(&list.partition);
        if known.is_none_or(|known| place(known) < place(&list)) {
            self.points.insert(list.partition, list);
        }
    }

    /// Workers that this instance may send requests to.
    pub fn owned_workers(&self) -> Vec<OwnedWorker> {
        self.workers
            .values()
            .flat_map(|owner| owner.serving_workers())
            .collect()
    }
}
