//! State of a worker partition and its periodic work.

use std::collections::BTreeMap;

use super::placement_entry::{PlacementEntry, PlacementPhase};
use super::worker_state::WorkerState;
use crate::contract::CLOCK_RATE_BOUND;
use crate::ids::{CellTime, Epoch, PartitionIndex, RegionName, RowVersion, WorkerName};
use crate::link::{
    CapacityGroup, PeerMessage, PlacementStatus, ServiceEndpoint, TaskId, WorkerCommand,
};
use crate::machine::ListedWorker;
use crate::membership::WorkerRoster;
use crate::owner::{GuardName, OwnerAction, OwnerContext};
use crate::placement::PlacePolicy;
use crate::refusal::RefusalReason;
use crate::tally::InvariantKind;

/// A worker partition that this instance owns.
#[derive(Debug)]
pub struct WorkerPartition {
    pub(super) index: PartitionIndex,
    pub(super) epoch: Epoch,
    pub(super) region: RegionName,
    pub(super) policy: PlacePolicy,
    pub(super) claimed_at: CellTime,
    pub(super) worker_states: BTreeMap<WorkerName, WorkerState>,
    pub(super) entries: BTreeMap<TaskId, PlacementEntry>,
    pub(super) digest_sequence: u64,
    pub(super) digest_due: CellTime,
    pub(super) next_full_update: CellTime,
    pub(super) sent_groups: Vec<CapacityGroup>,
    pub(super) sent_queued: u32,
    pub(super) sent_points: Vec<ServiceEndpoint>,
    pub(super) superseded: bool,
    /// Commands for tasks that workers report but that do not match an entry here.
    pub(super) unknown_task_commands: BTreeMap<WorkerName, Vec<WorkerCommand>>,
    pub(super) team_epochs: BTreeMap<PartitionIndex, Epoch>,
    roster: Option<WorkerRoster>,
    roster_version: RowVersion,
    roster_in_flight: Option<WorkerRoster>,
    pub(super) last_order: u64,
}

impl WorkerPartition {
    /// Makes the state of a partition that was just claimed; its roster must be set next.
    pub fn new(
        index: PartitionIndex,
        epoch: Epoch,
        region: RegionName,
        policy: PlacePolicy,
        now: CellTime,
    ) -> Self {
        Self {
            index,
            epoch,
            region,
            policy,
            claimed_at: now,
            worker_states: BTreeMap::new(),
            entries: BTreeMap::new(),
            digest_sequence: 0,
            digest_due: now,
            next_full_update: now,
            sent_groups: Vec::new(),
            sent_queued: 0,
            sent_points: Vec::new(),
            superseded: false,
            unknown_task_commands: BTreeMap::new(),
            team_epochs: BTreeMap::new(),
            roster: None,
            roster_version: 0,
            roster_in_flight: None,
            last_order: 0,
        }
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether a worker has refused a token because it has seen one of a later owner.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the version of the roster's row, as last read or written.
    pub fn roster_version(&self) -> RowVersion {
        self.roster_version
    }

    /// Sets the roster to the content of its row after a write took effect.
    pub fn handle_roster(&mut self, roster: WorkerRoster, version: RowVersion, now: CellTime) {
        for worker_state in self.worker_states.values_mut() {
            worker_state.in_roster = false;
        }
        for detail in &roster.workers {
            let worker_state = self
                .worker_states
                .entry(detail.name.clone())
                .or_insert_with(|| WorkerState::new(detail.clone(), now));
            worker_state.in_roster = true;
            worker_state.drained = roster.drained.contains(&detail.name);
        }
        self.roster = Some(roster);
        self.roster_version = version;
        self.roster_in_flight = None;
    }

    /// Sets the version that the roster's row was read at.
    ///
    /// The owner then writes the roster back: only a conditional write proves
    /// that the row that was read is the latest.
    pub fn set_roster_version(&mut self, version: RowVersion) {
        self.roster_version = version;
    }

    /// Handles a write of the roster that did not take effect.
    pub fn roster_failed(&mut self) {
        self.roster_in_flight = None;
    }

    /// Returns whether the roster is known, and with it the workers that must be fenced.
    pub fn has_roster(&self) -> bool {
        self.roster.is_some()
    }

    /// Updates the workers from the part of the platform's instance list that belongs to this partition.
    pub fn handle_list(&mut self, listed: &[ListedWorker], now: CellTime) {
        for worker_state in self.worker_states.values_mut() {
            worker_state.listed = None;
        }
        for worker in listed {
            let worker_state = self
                .worker_states
                .entry(worker.detail.name.clone())
                .or_insert_with(|| WorkerState::new(worker.detail.clone(), now));
            worker_state.listed = Some(worker.state);
            if worker_state.detail != worker.detail && worker_state.tasks == 0 {
                worker_state.detail = worker.detail.clone();
            }
        }
        let removable =
            |worker_state: &WorkerState| worker_state.listed.is_none() && !worker_state.in_roster;
        self.worker_states
            .retain(|_, worker_state| !removable(worker_state));
    }

    /// Starts or cancels the drain of a worker; returns whether the worker is known.
    pub fn drain(&mut self, worker: &str, drain: bool, ctx: &mut OwnerContext<'_>) -> bool {
        let Some(roster) = &self.roster else {
            return false;
        };
        if !self.worker_states.contains_key(worker) {
            return false;
        }
        let mut roster = self.roster_in_flight.as_ref().unwrap_or(roster).clone();
        roster.drained.retain(|name| name != worker);
        if drain {
            roster.drained.push(worker.to_owned());
        }
        self.write_roster(roster, ctx);
        true
    }

    /// Does the periodic work that is due: exchanges, placements, repeated status messages.
    pub fn tick(&mut self, ctx: &mut OwnerContext<'_>) {
        if self.roster.is_none() {
            return;
        }
        self.add_new_workers_to_roster(ctx);
        self.declare_lost_workers(ctx);
        self.update_quarantines(ctx);
        self.report_leaving(ctx);
        self.expire_reservations(ctx);
        self.place_waiting(ctx);
        self.run_exchanges(ctx);
        self.send_due_messages(ctx);
        self.assert_capacity(ctx);
    }

    /// Starts the exchanges that are due, without waiting for the next tick.
    pub fn run_due(&mut self, ctx: &mut OwnerContext<'_>) {
        if self.roster.is_some() {
            self.run_exchanges(ctx);
        }
    }

    /// Describes what is known of a task, for diagnosis.
    pub fn describe(&self, id: &TaskId) -> Option<String> {
        let entry = self.entries.get(id)?;
        let worker_state = entry
            .worker
            .as_ref()
            .and_then(|name| self.worker_states.get(name));
        Some(format!(
            "worker partition {} epoch {}: attempt {}, {:?} on {:?} ({:?})",
            self.index,
            self.epoch,
            entry.key.attempt,
            entry.phase,
            entry.worker,
            worker_state.map(WorkerState::state_name)
        ))
    }

    pub(super) fn queue_len(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.is_queued())
            .count()
    }

    /// Makes the next exchange with a worker due at once. An exchange fences the worker, renews its lease and
    /// sends its commands.
    pub(super) fn make_exchange_due(&mut self, worker: Option<&str>, now: CellTime) {
        if let Some(worker_state) = worker.and_then(|name| self.worker_states.get_mut(name)) {
            worker_state.next_exchange = now;
        }
    }

    /// Changes an entry's phase and updates the worker's reserved capacity to match.
    pub(super) fn set_phase(&mut self, id: &TaskId, phase: PlacementPhase) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let used_before = entry.uses_capacity();
        entry.phase = phase;
        let uses_now = entry.uses_capacity();
        let Some(worker_state) = entry
            .worker
            .as_ref()
            .and_then(|name| self.worker_states.get_mut(name))
        else {
            return;
        };
        if used_before && !uses_now {
            worker_state.reserved = worker_state.reserved.minus(entry.label.size);
            worker_state.tasks -= 1;
        } else if !used_before && uses_now {
            worker_state.reserved = worker_state.reserved.plus(entry.label.size);
            worker_state.tasks += 1;
        }
    }

    /// Removes an entry and releases its capacity.
    pub(super) fn drop_entry(&mut self, id: &TaskId) {
        self.set_phase(id, PlacementPhase::Recorded);
        self.entries.remove(id);
    }

    /// Marks an entry finished and sends the status to its team's owner.
    pub(super) fn finish_entry(
        &mut self,
        id: &TaskId,
        status: PlacementStatus,
        ctx: &mut OwnerContext<'_>,
    ) {
        self.set_phase(id, PlacementPhase::Over(status));
        self.send_status(id, ctx);
    }

    /// Sends the status of an entry to its team's owner.
    pub(super) fn send_status(&mut self, id: &TaskId, ctx: &mut OwnerContext<'_>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let status = match &entry.phase {
            PlacementPhase::Queued => PlacementStatus::Queued,
            PlacementPhase::Held { .. } => PlacementStatus::Held,
            PlacementPhase::Starting { .. } | PlacementPhase::Recorded => return,
            PlacementPhase::Running | PlacementPhase::Stopping { .. } => {
                let Some(worker_state) = entry
                    .worker
                    .as_ref()
                    .and_then(|name| self.worker_states.get(name))
                else {
                    return;
                };
                // Repeated until the service's owner has moved the task.
                let again = worker_state.is_leaving() && entry.label.service.is_some();
                entry.send_at = again.then_some(ctx.now + ctx.timings.repeat);
                PlacementStatus::Started {
                    worker: worker_state.detail.name.clone(),
                    domain: worker_state.detail.domain.clone(),
                    rack: worker_state.detail.rack.clone(),
                    leaving: worker_state.is_leaving(),
                }
            }
            PlacementPhase::Over(status) => {
                entry.send_at = Some(ctx.now + ctx.timings.repeat);
                status.clone()
            }
        };
        let message = PeerMessage::Status {
            team_partition: entry.label.team_partition,
            partition: self.index,
            epoch: self.epoch,
            key: entry.key.clone(),
            status,
        };
        ctx.send_to_team_owner(entry.label.team_partition, message);
    }

    pub(super) fn add_new_workers_to_roster(&mut self, ctx: &mut OwnerContext<'_>) {
        if self.roster_in_flight.is_some()
            || self
                .worker_states
                .values()
                .all(|worker_state| worker_state.in_roster)
        {
            return;
        }
        let Some(roster) = &self.roster else { return };
        let mut roster = roster.clone();
        let removable = |worker_state: &WorkerState| {
            worker_state.listed.is_none() && worker_state.declared_lost
        };
        let remaining = self
            .worker_states
            .values()
            .filter(|worker_state| !removable(worker_state));
        roster.workers = remaining
            .map(|worker_state| worker_state.detail.clone())
            .collect();
        self.write_roster(roster, ctx);
    }

    pub(super) fn write_roster(&mut self, roster: WorkerRoster, ctx: &mut OwnerContext<'_>) {
        self.roster_in_flight = Some(roster.clone());
        let partition = self.index;
        ctx.push_action(OwnerAction::WriteRoster { partition, roster });
    }

    /// Declares workers lost whose leases are known to have expired.
    pub(super) fn declare_lost_workers(&mut self, ctx: &mut OwnerContext<'_>) {
        let lease_length = ctx.timings.worker_lease;
        // A worker that never answered may run tasks of the former owner. That owner may go on granting
        // leases for `unattended` after the claim, and these leases then take their length to expire.
        let former_owner_limit =
            (ctx.timings.unattended + lease_length).mul_f64(1.0 + CLOCK_RATE_BOUND);
        let former_owner_until = self.claimed_at + former_owner_limit;
        let mut unresponsive = Vec::new();
        for (name, worker_state) in &mut self.worker_states {
            let expires_at = match worker_state.lease {
                Some(lease) if ctx.guards.enforces(GuardName::LeaseEnd) => {
                    lease.expires_by(lease_length)
                }
                Some(lease) => lease.received + ctx.timings.worker_heartbeat * 2,
                None => former_owner_until,
            };
            if !worker_state.declared_lost && ctx.now > expires_at {
                worker_state.declared_lost = true;
                unresponsive.push(name.clone());
            }
        }
        for name in unresponsive {
            ctx.tally.refuse(RefusalReason::WorkerUnreachable);
            self.release_tasks_of(&name, ctx);
        }
    }

    /// Requeues or declares lost all tasks of a worker that is known to run none of them.
    pub(super) fn release_tasks_of(&mut self, worker: &str, ctx: &mut OwnerContext<'_>) {
        let on_worker = |entry: &PlacementEntry| {
            entry.uses_capacity() && entry.worker.as_deref() == Some(worker)
        };
        let lost: Vec<TaskId> = self
            .entries
            .iter()
            .filter(|(_, entry)| on_worker(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            if self.entries[&id].is_unsent() {
                self.requeue(&id);
            } else {
                self.finish_entry(&id, PlacementStatus::Lost, ctx);
            }
        }
    }

    /// Puts an attempt that was never sent to its worker back into the queue.
    pub(super) fn requeue(&mut self, id: &TaskId) {
        self.set_phase(id, PlacementPhase::Queued);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.worker = None;
        }
    }

    pub(super) fn update_quarantines(&mut self, ctx: &mut OwnerContext<'_>) {
        let count = self.worker_states.len().max(1) as f64;
        let sum: f64 = self
            .worker_states
            .values()
            .map(WorkerState::failure_share)
            .sum();
        for worker_state in self.worker_states.values_mut() {
            let others = (sum - worker_state.failure_share()) / (count - 1.0).max(1.0);
            worker_state.update_quarantine(ctx.now, others, ctx.timings.quarantine);
        }
    }

    /// Schedules status messages to the owners of services when a worker starts or stops leaving.
    pub(super) fn report_leaving(&mut self, ctx: &mut OwnerContext<'_>) {
        let changed: Vec<WorkerName> = self
            .worker_states
            .values_mut()
            .filter(|worker_state| {
                worker_state.fenced && worker_state.reported_leaving != worker_state.is_leaving()
            })
            .map(|worker_state| {
                worker_state.reported_leaving = worker_state.is_leaving();
                worker_state.detail.name.clone()
            })
            .collect();
        for entry in self.entries.values_mut() {
            let here = |worker: &WorkerName| changed.contains(worker);
            let serves = entry.label.service.is_some();
            if serves && entry.worker.as_ref().is_some_and(here) {
                entry.send_at = Some(ctx.now);
            }
        }
    }

    pub(super) fn expire_reservations(&mut self, ctx: &mut OwnerContext<'_>) {
        let now = ctx.now;
        let expired: Vec<TaskId> = self
            .entries
            .iter()
            .filter(
                |(_, entry)| matches!(entry.phase, PlacementPhase::Held { until } if until <= now),
            )
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.drop_entry(&id);
        }
    }

    pub(super) fn send_due_messages(&mut self, ctx: &mut OwnerContext<'_>) {
        let now = ctx.now;
        let due: Vec<TaskId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.send_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.send_status(&id, ctx);
        }
    }

    pub(super) fn assert_capacity(&self, ctx: &mut OwnerContext<'_>) {
        for worker_state in self.worker_states.values() {
            let fits_size = worker_state.reserved.fits_in(worker_state.detail.size);
            ctx.tally.assert(InvariantKind::Capacity, fits_size, || {
                format!(
                    "worker {} has reserved {} of {}",
                    worker_state.detail.name, worker_state.reserved, worker_state.detail.size
                )
            });
        }
    }
}
