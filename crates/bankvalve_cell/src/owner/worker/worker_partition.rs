//! State of a worker partition and the messages that change it.

use std::collections::BTreeMap;

use super::placement_entry::{PlacementEntry, PlacementPhase};
use super::worker_seat::WorkerSeat;
use crate::contract::CLOCK_RATE_BOUND;
use crate::ids::{CellTime, Epoch, PartitionIndex, RegionName, RowVersion, WorkerName};
use crate::link::{PeerMessage, PlacementStatus, RoomGroup, ServicePoint, TaskId, WorkerCommand};
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
    pub(super) seats: BTreeMap<WorkerName, WorkerSeat>,
    pub(super) entries: BTreeMap<TaskId, PlacementEntry>,
    pub(super) digest_sequence: u64,
    pub(super) digest_due: CellTime,
    pub(super) news_repeat: CellTime,
    pub(super) told_groups: Vec<RoomGroup>,
    pub(super) told_queued: u32,
    pub(super) told_points: Vec<ServicePoint>,
    pub(super) superseded: bool,
    /// What to say of tasks that workers hold but that are not known here.
    pub(super) strays: BTreeMap<WorkerName, Vec<WorkerCommand>>,
    pub(super) team_epochs: BTreeMap<PartitionIndex, Epoch>,
    roster: Option<WorkerRoster>,
    roster_version: RowVersion,
    roster_writing: Option<WorkerRoster>,
    pub(super) numbered: u64,
}

impl WorkerPartition {
    /// Takes a partition over; its roster must be given next.
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
            seats: BTreeMap::new(),
            entries: BTreeMap::new(),
            digest_sequence: 0,
            digest_due: now,
            news_repeat: now,
            told_groups: Vec::new(),
            told_queued: 0,
            told_points: Vec::new(),
            superseded: false,
            strays: BTreeMap::new(),
            team_epochs: BTreeMap::new(),
            roster: None,
            roster_version: 0,
            roster_writing: None,
            numbered: 0,
        }
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Tells whether a worker has shown that a later owner exists.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Version of the roster's row, as last read or written.
    pub fn roster_version(&self) -> RowVersion {
        self.roster_version
    }

    /// Takes in the roster's row as read or written.
    pub fn take_roster(&mut self, roster: WorkerRoster, version: RowVersion, now: CellTime) {
        for seat in self.seats.values_mut() {
            seat.recorded = false;
        }
        for detail in &roster.workers {
            let seat = self
                .seats
                .entry(detail.name.clone())
                .or_insert_with(|| WorkerSeat::new(detail.clone(), now));
            seat.recorded = true;
            seat.drained = roster.drained.contains(&detail.name);
        }
        self.roster = Some(roster);
        self.roster_version = version;
        self.roster_writing = None;
    }

    /// Notes the version that the roster's row was read at.
    ///
    /// The owner then writes the roster back: only a write tells that what
    /// was read was the latest.
    pub fn note_roster_version(&mut self, version: RowVersion) {
        self.roster_version = version;
    }

    /// Says that a write of the roster did not take effect.
    pub fn roster_failed(&mut self) {
        self.roster_writing = None;
    }

    /// Tells whether the roster has been read, so that the owner knows whom to fence.
    pub fn has_roster(&self) -> bool {
        self.roster.is_some()
    }

    /// Takes in the platform's instance list, reduced to this partition.
    pub fn take_list(&mut self, listed: &[ListedWorker], now: CellTime) {
        for seat in self.seats.values_mut() {
            seat.listed = None;
        }
        for worker in listed {
            let seat = self
                .seats
                .entry(worker.detail.name.clone())
                .or_insert_with(|| WorkerSeat::new(worker.detail.clone(), now));
            seat.listed = Some(worker.state);
            if seat.detail != worker.detail && seat.tasks == 0 {
                seat.detail = worker.detail.clone();
            }
        }
        let gone = |seat: &WorkerSeat| seat.listed.is_none() && !seat.recorded;
        self.seats.retain(|_, seat| !gone(seat));
    }

    /// Drains a worker or undoes that; returns whether the worker is known.
    pub fn drain(&mut self, worker: &str, drain: bool, ctx: &mut OwnerContext<'_>) -> bool {
        let Some(roster) = &self.roster else {
            return false;
        };
        if !self.seats.contains_key(worker) {
            return false;
        }
        let mut roster = self.roster_writing.as_ref().unwrap_or(roster).clone();
        roster.drained.retain(|name| name != worker);
        if drain {
            roster.drained.push(worker.to_owned());
        }
        self.write_roster(roster, ctx);
        true
    }

    /// Does what is due: exchanges, placements, messages that need repeating.
    pub fn tick(&mut self, ctx: &mut OwnerContext<'_>) {
        if self.roster.is_none() {
            return;
        }
        self.record_new_workers(ctx);
        self.give_up_silent_workers(ctx);
        self.judge_workers(ctx);
        self.tell_of_leaving(ctx);
        self.lapse_holds(ctx);
        self.place_waiting(ctx);
        self.run_exchanges(ctx);
        self.say_what_is_due(ctx);
        self.assert_capacity(ctx);
    }

    /// Starts the exchanges that are due, without waiting for the next tick.
    pub fn run_due(&mut self, ctx: &mut OwnerContext<'_>) {
        if self.roster.is_some() {
            self.run_exchanges(ctx);
        }
    }

    /// What is known of a task, for diagnosis.
    pub fn describe(&self, id: &TaskId) -> Option<String> {
        let entry = self.entries.get(id)?;
        let seat = entry.worker.as_ref().and_then(|name| self.seats.get(name));
        Some(format!(
            "worker partition {} epoch {}: attempt {}, {:?} on {:?} ({:?})",
            self.index,
            self.epoch,
            entry.key.attempt,
            entry.phase,
            entry.worker,
            seat.map(WorkerSeat::state_name)
        ))
    }

    pub(super) fn queue_len(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.is_queued())
            .count()
    }

    /// Makes the next exchange with a worker due at once.
    pub(super) fn hasten(&mut self, worker: Option<&str>, now: CellTime) {
        if let Some(seat) = worker.and_then(|name| self.seats.get_mut(name)) {
            seat.next_exchange = now;
        }
    }

    /// Changes an entry's phase, keeping the worker's reservation in step.
    pub(super) fn set_phase(&mut self, id: &TaskId, phase: PlacementPhase) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let before = entry.takes_room();
        entry.phase = phase;
        let after = entry.takes_room();
        let Some(seat) = entry
            .worker
            .as_ref()
            .and_then(|name| self.seats.get_mut(name))
        else {
            return;
        };
        if before && !after {
            seat.reserved = seat.reserved.minus(entry.label.size);
            seat.tasks -= 1;
        } else if !before && after {
            seat.reserved = seat.reserved.plus(entry.label.size);
            seat.tasks += 1;
        }
    }

    /// Forgets an entry and gives its room back.
    pub(super) fn drop_entry(&mut self, id: &TaskId) {
        self.set_phase(id, PlacementPhase::Recorded);
        self.entries.remove(id);
    }

    /// Marks an entry over and tells its team's owner.
    pub(super) fn set_over(
        &mut self,
        id: &TaskId,
        status: PlacementStatus,
        ctx: &mut OwnerContext<'_>,
    ) {
        self.set_phase(id, PlacementPhase::Over(status));
        self.say(id, ctx);
    }

    /// Tells an entry's team's owner how it stands.
    pub(super) fn say(&mut self, id: &TaskId, ctx: &mut OwnerContext<'_>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let status = match &entry.phase {
            PlacementPhase::Queued => PlacementStatus::Queued,
            PlacementPhase::Held { .. } => PlacementStatus::Held,
            PlacementPhase::Starting { .. } | PlacementPhase::Recorded => return,
            PlacementPhase::Running | PlacementPhase::Stopping { .. } => {
                let Some(seat) = entry.worker.as_ref().and_then(|name| self.seats.get(name)) else {
                    return;
                };
                // Said again until the service's owner has moved the task.
                let again = seat.is_leaving() && entry.label.service.is_some();
                entry.say_at = again.then_some(ctx.now + ctx.timings.repeat);
                PlacementStatus::Started {
                    worker: seat.detail.name.clone(),
                    domain: seat.detail.domain.clone(),
                    rack: seat.detail.rack.clone(),
                    leaving: seat.is_leaving(),
                }
            }
            PlacementPhase::Over(status) => {
                entry.say_at = Some(ctx.now + ctx.timings.repeat);
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
        ctx.tell_team(entry.label.team_partition, message);
    }

    pub(super) fn record_new_workers(&mut self, ctx: &mut OwnerContext<'_>) {
        if self.roster_writing.is_some() || self.seats.values().all(|seat| seat.recorded) {
            return;
        }
        let Some(roster) = &self.roster else { return };
        let mut roster = roster.clone();
        let gone = |seat: &WorkerSeat| seat.listed.is_none() && seat.given_up;
        let kept = self.seats.values().filter(|seat| !gone(seat));
        roster.workers = kept.map(|seat| seat.detail.clone()).collect();
        self.write_roster(roster, ctx);
    }

    pub(super) fn write_roster(&mut self, roster: WorkerRoster, ctx: &mut OwnerContext<'_>) {
        self.roster_writing = Some(roster.clone());
        let partition = self.index;
        ctx.act(OwnerAction::WriteRoster { partition, roster });
    }

    /// Gives up workers whose leases are surely over.
    pub(super) fn give_up_silent_workers(&mut self, ctx: &mut OwnerContext<'_>) {
        let lease_length = ctx.timings.worker_lease;
        let never_reached = (ctx.timings.unattended + lease_length).mul_f64(1.0 + CLOCK_RATE_BOUND);
        let unattended_until = self.claimed_at + never_reached;
        let mut silent = Vec::new();
        for (name, seat) in &mut self.seats {
            let over_at = match seat.lease {
                Some(lease) if ctx.guards.has(GuardName::LeaseEnd) => {
                    lease.surely_over_at(lease_length)
                }
                Some(lease) => lease.received + ctx.timings.worker_heartbeat * 2,
                None => unattended_until,
            };
            if !seat.given_up && ctx.now > over_at {
                seat.given_up = true;
                silent.push(name.clone());
            }
        }
        for name in silent {
            ctx.tally.refuse(RefusalReason::WorkerUnreachable);
            self.lose_tasks_of(&name, ctx);
        }
    }

    /// Settles all tasks of a worker that surely runs none of them.
    pub(super) fn lose_tasks_of(&mut self, worker: &str, ctx: &mut OwnerContext<'_>) {
        let on_worker =
            |entry: &PlacementEntry| entry.takes_room() && entry.worker.as_deref() == Some(worker);
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
                self.set_over(&id, PlacementStatus::Lost, ctx);
            }
        }
    }

    /// Puts an attempt that was never sent back in line.
    pub(super) fn requeue(&mut self, id: &TaskId) {
        self.set_phase(id, PlacementPhase::Queued);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.worker = None;
        }
    }

    pub(super) fn judge_workers(&mut self, ctx: &mut OwnerContext<'_>) {
        let count = self.seats.len().max(1) as f64;
        let sum: f64 = self.seats.values().map(WorkerSeat::failure_share).sum();
        for seat in self.seats.values_mut() {
            let others = (sum - seat.failure_share()) / (count - 1.0).max(1.0);
            seat.judge(ctx.now, others, ctx.timings.quarantine);
        }
    }

    /// Has the services' owners told when a worker begins or ceases to leave.
    pub(super) fn tell_of_leaving(&mut self, ctx: &mut OwnerContext<'_>) {
        let changed: Vec<WorkerName> = self
            .seats
            .values_mut()
            .filter(|seat| seat.fenced && seat.told_leaving != seat.is_leaving())
            .map(|seat| {
                seat.told_leaving = seat.is_leaving();
                seat.detail.name.clone()
            })
            .collect();
        for entry in self.entries.values_mut() {
            let here = |worker: &WorkerName| changed.contains(worker);
            let serves = entry.label.service.is_some();
            if serves && entry.worker.as_ref().is_some_and(here) {
                entry.say_at = Some(ctx.now);
            }
        }
    }

    pub(super) fn lapse_holds(&mut self, ctx: &mut OwnerContext<'_>) {
        let now = ctx.now;
        let lapsed: Vec<TaskId> = self
            .entries
            .iter()
            .filter(
                |(_, entry)| matches!(entry.phase, PlacementPhase::Held { until } if until <= now),
            )
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.drop_entry(&id);
        }
    }

    pub(super) fn say_what_is_due(&mut self, ctx: &mut OwnerContext<'_>) {
        let now = ctx.now;
        let due: Vec<TaskId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.say_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.say(&id, ctx);
        }
    }

    pub(super) fn assert_capacity(&self, ctx: &mut OwnerContext<'_>) {
        for seat in self.seats.values() {
            let holds = seat.reserved.fits_in(seat.detail.size);
            ctx.tally.assert(InvariantKind::Capacity, holds, || {
                format!(
                    "worker {} holds {} of {}",
                    seat.detail.name, seat.reserved, seat.detail.size
                )
            });
        }
    }
}
