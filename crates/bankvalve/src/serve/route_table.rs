//! Routes to running tasks of services, and the request slots of the workers owned by this instance.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use bankvalve_cell::instance::{OwnedWorker, ServiceRoute};

/// Limit on the concurrent requests to one worker.
///
/// Only the instance that owns the worker sends requests to it, so a count in this process is exact.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use bankvalve::serve::SlotGate;
///
/// let gate = Arc::new(SlotGate::new(1, 60));
/// let permit = SlotGate::acquire(&gate).unwrap();
/// assert!(SlotGate::acquire(&gate).is_none());
/// drop(permit);
/// assert!(SlotGate::acquire(&gate).is_some());
/// ```
#[derive(Debug)]
pub struct SlotGate {
    limit: u32,
    in_use: AtomicU32,
}

/// A request slot of a worker, released on drop.
#[derive(Debug)]
pub struct SlotPermit {
    gate: Arc<SlotGate>,
}

impl SlotGate {
    /// Creates a gate that admits as many requests as the smaller of the two numbers.
    pub fn new(slots: u32, connections: u32) -> Self {
        let limit = slots.min(connections);
        let in_use = AtomicU32::new(0);
        Self { limit, in_use }
    }

    /// Takes a slot; returns `None` if all are in use.
    pub fn acquire(gate: &Arc<Self>) -> Option<SlotPermit> {
        let more = |used: u32| (used < gate.limit).then_some(used + 1);
        let taken = gate
            .in_use
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
        taken.ok().map(|_| SlotPermit { gate: gate.clone() })
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::Acquire)
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.gate.in_use.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A worker owned by this instance, with its gate.
#[derive(Clone, Debug)]
pub(super) struct GatedWorker {
    pub(super) worker: OwnedWorker,
    pub(super) gate: Arc<SlotGate>,
}

/// Routes to running tasks by team and service, and the workers owned by this instance.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    service_routes: BTreeMap<(String, String), Vec<ServiceRoute>>,
    owned: BTreeMap<String, GatedWorker>,
}

impl RouteTable {
    /// Creates the next table. Workers that are in both tables keep their gates, and with them their slots in
    /// use.
    pub fn next(&self, service_routes: Vec<ServiceRoute>, owned: Vec<OwnedWorker>) -> Self {
        let mut table = Self::default();
        for route in service_routes {
            let name = (
                route.endpoint.key.team.clone(),
                route.endpoint.service.clone(),
            );
            table.service_routes.entry(name).or_default().push(route);
        }
        for worker in owned {
            let known = self.owned.get(&worker.name).map(|known| known.gate.clone());
            let fresh = || Arc::new(SlotGate::new(worker.slots, worker.connections));
            let gate = known.unwrap_or_else(fresh);
            table
                .owned
                .insert(worker.name.clone(), GatedWorker { worker, gate });
        }
        table
    }

    /// Returns the routes to the running tasks of a team's service.
    pub fn routes_of(&self, team: &str, service: &str) -> &[ServiceRoute] {
        let name = (team.to_owned(), service.to_owned());
        self.service_routes.get(&name).map_or(&[], Vec::as_slice)
    }

    pub(super) fn owned_worker(&self, name: &str) -> Option<&GatedWorker> {
        self.owned.get(name)
    }
}
