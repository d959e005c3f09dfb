//! Summaries of a worker partition: digests and endpoint lists for all instances, and views for operators.

use std::collections::BTreeMap;

use super::placement_entry::PlacementEntry;
use super::worker_state::WorkerState;
use super::WorkerPartition;
use crate::ids::{DomainName, InstanceName};
use crate::instance::OwnedWorker;
use crate::link::{
    CapacityGroup, PartitionDigest, PartitionEndpoints, PeerMessage, ServiceEndpoint, WorkerView,
};
use crate::machine::TaskSize;
use crate::owner::OwnerContext;

/// Digest intervals after which an update is sent although nothing has changed.
const FULL_UPDATE_EVERY: u32 = 10;
/// Workers of a group whose free capacity the digest lists one by one.
const LARGEST_COUNT: usize = 4;

impl WorkerPartition {
    /// Returns the updates about the partition that are due to be sent to all instances.
    ///
    /// A digest or endpoint list that has not changed is sent again only every
    /// `FULL_UPDATE_EVERY` digest intervals, for instances that missed it.
    pub fn due_updates(&mut self, ctx: &OwnerContext<'_>) -> Vec<PeerMessage> {
        let mut updates = Vec::new();
        if ctx.now < self.digest_due || !self.has_roster() {
            return updates;
        }
        self.digest_due = ctx.now + ctx.timings.digest;
        let send_all = ctx.now >= self.next_full_update;
        if send_all {
            self.next_full_update = ctx.now + ctx.timings.digest * FULL_UPDATE_EVERY;
        }
        self.digest_sequence += 1;
        let digest = self.digest();
        let already_sent = self.sent_groups == digest.groups && self.sent_queued == digest.queued;
        if send_all || !already_sent {
            self.sent_groups = digest.groups.clone();
            self.sent_queued = digest.queued;
            updates.push(PeerMessage::Digest(digest));
        }
        let points = self.service_endpoints();
        if send_all || points != self.sent_points {
            self.sent_points = points.clone();
            updates.push(PeerMessage::Points(PartitionEndpoints {
                partition: self.index,
                epoch: self.epoch,
                sequence: self.digest_sequence,
                region: self.region.clone(),
                points,
            }));
        }
        updates
    }

    /// Returns the digest of the partition's present state.
    pub fn digest(&self) -> PartitionDigest {
        PartitionDigest {
            partition: self.index,
            epoch: self.epoch,
            sequence: self.digest_sequence,
            region: self.region.clone(),
            queued: self.queue_len() as u32,
            groups: self.capacity_groups(),
        }
    }

    /// Returns the status of each worker of the partition.
    pub fn worker_views(&self, owner: &InstanceName) -> Vec<WorkerView> {
        let view = |worker_state: &WorkerState| WorkerView {
            detail: worker_state.detail.clone(),
            partition: self.index,
            owner: owner.clone(),
            state: worker_state.state_name().into(),
            reserved: worker_state.reserved,
            tasks: worker_state.tasks,
        };
        self.worker_states.values().map(view).collect()
    }

    /// Returns the workers that requests may be sent to.
    pub fn serving_workers(&self) -> Vec<OwnedWorker> {
        let serving =
            |worker_state: &&WorkerState| worker_state.fenced && !worker_state.declared_lost;
        self.worker_states
            .values()
            .filter(serving)
            .map(|worker_state| OwnedWorker {
                name: worker_state.detail.name.clone(),
                address: worker_state.detail.address.clone(),
                partition: self.index,
                epoch: self.epoch,
                slots: worker_state.detail.slots,
                connections: worker_state.detail.connections,
            })
            .collect()
    }

    /// Returns the reserved and the total capacity, summed over workers that are fenced and not lost.
    pub fn capacity_in_use(&self) -> (TaskSize, TaskSize) {
        let zero = (TaskSize::default(), TaskSize::default());
        self.worker_states
            .values()
            .filter(|worker_state| worker_state.fenced && !worker_state.declared_lost)
            .fold(zero, |(used, all), worker_state| {
                (
                    used.plus(worker_state.reserved),
                    all.plus(worker_state.detail.size),
                )
            })
    }

    fn capacity_groups(&self) -> Vec<CapacityGroup> {
        let mut groups = BTreeMap::<DomainName, Vec<&WorkerState>>::new();
        for worker_state in self
            .worker_states
            .values()
            .filter(|worker_state| worker_state.accepts_tasks())
        {
            let domain = worker_state.detail.domain.clone();
            groups.entry(domain).or_default().push(worker_state);
        }
        let mut queued_size = self
            .entries
            .values()
            .filter(|entry| entry.is_queued())
            .fold(TaskSize::default(), |sum, entry| sum.plus(entry.label.size));
        let preemptible = self.preemptible_by_worker();
        groups
            .into_iter()
            .map(|(domain, worker_states)| {
                let group = capacity_group(domain, &worker_states, queued_size, &preemptible);
                queued_size = TaskSize::default();
                group
            })
            .collect()
    }

    fn preemptible_by_worker(&self) -> BTreeMap<&str, TaskSize> {
        let mut capacities = BTreeMap::<&str, TaskSize>::new();
        for entry in self.entries.values().filter(|entry| entry.is_preemptible()) {
            if let Some(worker) = entry.worker.as_deref() {
                let capacity = capacities.entry(worker).or_default();
                *capacity = capacity.plus(entry.label.size);
            }
        }
        capacities
    }

    fn service_endpoints(&self) -> Vec<ServiceEndpoint> {
        let endpoint = |entry: &PlacementEntry| {
            let service = entry.label.service.clone()?;
            let worker_state = self.worker_states.get(entry.worker.as_ref()?)?;
            let serves = entry.phase == super::placement_entry::PlacementPhase::Running;
            if !serves || worker_state.is_leaving() || worker_state.declared_lost {
                return None;
            }
            Some(ServiceEndpoint {
                service,
                key: entry.key.clone(),
                worker: worker_state.detail.name.clone(),
                domain: worker_state.detail.domain.clone(),
            })
        };
        self.entries.values().filter_map(endpoint).collect()
    }
}

fn capacity_group(
    domain: DomainName,
    worker_states: &[&WorkerState],
    queued_size: TaskSize,
    preemptible: &BTreeMap<&str, TaskSize>,
) -> CapacityGroup {
    let mut capacities: Vec<TaskSize> = worker_states
        .iter()
        .map(|worker_state| worker_state.free())
        .collect();
    capacities.sort_by(|a, b| b.cmp(a));
    let free = capacities
        .iter()
        .fold(TaskSize::default(), |sum, capacity| sum.plus(*capacity));
    let mut classes: Vec<TaskSize> = worker_states
        .iter()
        .map(|worker_state| worker_state.detail.size)
        .collect();
    classes.sort();
    classes.dedup();
    let preemptible_on =
        |worker_state: &&WorkerState| preemptible.get(worker_state.detail.name.as_str()).copied();
    let mut with_preemption: Vec<TaskSize> = worker_states
        .iter()
        .map(|worker_state| {
            worker_state
                .free()
                .plus(preemptible_on(worker_state).unwrap_or_default())
        })
        .collect();
    with_preemption.sort_by(|a, b| b.cmp(a));
    with_preemption.truncate(LARGEST_COUNT);
    CapacityGroup {
        domain,
        workers: worker_states.len() as u32,
        free: free.minus(queued_size),
        largest: capacities.into_iter().take(LARGEST_COUNT).collect(),
        preemptible: with_preemption,
        classes,
    }
}
