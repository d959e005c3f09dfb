//! Orders from the owners of team partitions: place an attempt, withdraw it, forget it.

use super::placement_entry::{PlacementEntry, PlacementPhase};
use super::worker_state::WorkerState;
use super::WorkerPartition;
use crate::ids::{Epoch, PartitionIndex, WorkerName};
use crate::link::{
    PeerMessage, PlaceGate, PlaceOrder, PlacementStatus, TaskId, TaskKey, TaskLabel, TaskOutcome,
};
use crate::owner::{GuardName, OwnerContext};
use crate::refusal::RefusalReason;
use crate::tally::InvariantKind;

/// Attempts that a partition's queue accepts for each worker.
const QUEUE_PER_WORKER: usize = 6;
/// Attempts that a partition's queue accepts in addition, whatever the number of workers.
const QUEUE_BASE: usize = 24;

impl WorkerPartition {
    /// Handles an order to place an attempt.
    pub fn place(&mut self, order: PlaceOrder, ctx: &mut OwnerContext<'_>) {
        let team_partition = order.label.team_partition;
        if !self.admit_team_epoch(team_partition, order.team_epoch, ctx) {
            return;
        }
        let id = order.key.id();
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.key.attempt == order.key.attempt {
                self.repeat_order(&id, &order, ctx);
                return;
            }
            if entry.key.attempt > order.key.attempt {
                ctx.tally.refuse(RefusalReason::StaleEpoch);
                return;
            }
            let finished = matches!(
                entry.phase,
                PlacementPhase::Over(_) | PlacementPhase::Recorded
            );
            ctx.tally.assert(InvariantKind::SinglePlace, finished, || {
                format!(
                    "{} was ordered while {} has not finished",
                    order.key, entry.key
                )
            });
            if !finished {
                return;
            }
            self.drop_entry(&id);
        }
        if order.intent_epoch != self.epoch {
            let worker = order.started_on.as_ref();
            self.answer_for_earlier_epoch(order.key, team_partition, worker, ctx);
            return;
        }
        self.enqueue(order, ctx);
    }

    /// Handles an order to withdraw an attempt.
    pub fn withdraw(&mut self, request: PeerMessage, ctx: &mut OwnerContext<'_>) {
        let PeerMessage::Withdraw {
            team_epoch,
            team_partition,
            intent_epoch,
            started_on,
            key,
            outcome,
            only_waiting,
            ..
        } = request
        else {
            return;
        };
        if !self.admit_team_epoch(team_partition, team_epoch, ctx) {
            return;
        }
        let id = key.id();
        let known = self.entries.get(&id).map(|entry| entry.key.attempt);
        if known == Some(key.attempt) {
            self.end_entry(&id, outcome, only_waiting, ctx);
            return;
        }
        if only_waiting && intent_epoch == self.epoch {
            return;
        }
        if known.is_some_and(|attempt| attempt > key.attempt) {
            return;
        }
        if intent_epoch == self.epoch {
            let status = PlacementStatus::NotRun(RefusalReason::NoRoom);
            self.record_finished(key, team_partition, status, ctx);
            return;
        }
        self.answer_for_earlier_epoch(key, team_partition, started_on.as_ref(), ctx);
    }

    /// Handles the message that the end of an attempt is committed to the ledger.
    pub fn end_recorded(&mut self, key: &TaskKey, ctx: &mut OwnerContext<'_>) {
        let id = key.id();
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.key.attempt != key.attempt {
            return;
        }
        let PlacementPhase::Over(status) = &entry.phase else {
            return;
        };
        if matches!(status, PlacementStatus::Ended { .. }) {
            entry.phase = PlacementPhase::Recorded;
            entry.send_at = None;
            let worker = entry.worker.clone();
            self.make_exchange_due(worker.as_deref(), ctx.now);
        } else {
            self.entries.remove(&id);
        }
    }

    /// Sends the status of an attempt that has no entry here.
    pub(super) fn send_status_of(
        &self,
        key: TaskKey,
        team_partition: PartitionIndex,
        status: PlacementStatus,
        ctx: &mut OwnerContext<'_>,
    ) {
        let message = PeerMessage::Status {
            team_partition,
            partition: self.index,
            epoch: self.epoch,
            key,
            status,
        };
        ctx.send_to_team_owner(team_partition, message);
    }

    pub(super) fn admit_team_epoch(
        &mut self,
        team_partition: PartitionIndex,
        epoch: Epoch,
        ctx: &mut OwnerContext<'_>,
    ) -> bool {
        let known = self.team_epochs.entry(team_partition).or_insert(epoch);
        if epoch < *known {
            ctx.tally.refuse(RefusalReason::StaleEpoch);
            return false;
        }
        *known = epoch;
        true
    }

    pub(super) fn repeat_order(
        &mut self,
        id: &TaskId,
        order: &PlaceOrder,
        ctx: &mut OwnerContext<'_>,
    ) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let Some(need) = &mut entry.need {
            need.gate = order.gate;
        }
        if let PlacementPhase::Held { until } = &mut entry.phase {
            *until = ctx.now + ctx.timings.reservation_timeout;
            if order.gate == PlaceGate::Start {
                let worker = entry.worker.clone();
                self.set_phase(id, PlacementPhase::Starting { sent: false });
                self.make_exchange_due(worker.as_deref(), ctx.now);
            }
        }
        self.send_status(id, ctx);
    }

    pub(super) fn enqueue(&mut self, order: PlaceOrder, ctx: &mut OwnerContext<'_>) {
        let limit = QUEUE_BASE + QUEUE_PER_WORKER * self.worker_states.len();
        if self.queue_len() >= limit {
            ctx.tally.refuse(RefusalReason::QueueFull);
            let status = PlacementStatus::NotRun(RefusalReason::QueueFull);
            let team_partition = order.label.team_partition;
            self.record_finished(order.key, team_partition, status, ctx);
            return;
        }
        self.last_order += 1;
        let id = order.key.id();
        let entry = PlacementEntry::ordered(order, ctx.now, self.last_order);
        self.entries.insert(id.clone(), entry);
        self.place_waiting(ctx);
        if self.entries.get(&id).is_some_and(PlacementEntry::is_queued) {
            self.send_status(&id, ctx);
        }
    }

    /// Adds a finished entry for an attempt that has none here, and sends its status.
    pub(super) fn record_finished(
        &mut self,
        key: TaskKey,
        team_partition: PartitionIndex,
        status: PlacementStatus,
        ctx: &mut OwnerContext<'_>,
    ) {
        self.last_order += 1;
        let id = key.id();
        let phase = PlacementPhase::Over(status);
        let label = empty_label(team_partition);
        let entry = PlacementEntry::found(key, label, phase, ctx.now, self.last_order);
        self.entries.insert(id.clone(), entry);
        self.send_status(&id, ctx);
    }

    /// Answers for an attempt whose intent was committed for an earlier owner's epoch.
    ///
    /// Once every worker that may run the attempt has answered under this
    /// epoch, or was declared lost, and none of them reports it, the attempt
    /// runs nowhere and never will.
    pub(super) fn answer_for_earlier_epoch(
        &mut self,
        key: TaskKey,
        team_partition: PartitionIndex,
        started_on: Option<&WorkerName>,
        ctx: &mut OwnerContext<'_>,
    ) {
        let cannot_run_it =
            |worker_state: &WorkerState| worker_state.fenced || worker_state.declared_lost;
        let known = match started_on {
            Some(worker) => self.worker_states.get(worker).is_none_or(cannot_run_it),
            None => self
                .worker_states
                .values()
                .filter(|worker_state| worker_state.in_roster)
                .all(cannot_run_it),
        };
        if known || !ctx.guards.enforces(GuardName::WorkerFence) {
            self.record_finished(key, team_partition, PlacementStatus::Lost, ctx);
        } else {
            ctx.tally.refuse(RefusalReason::NotFenced);
            self.send_status_of(key, team_partition, PlacementStatus::Unfenced, ctx);
        }
    }

    pub(super) fn end_entry(
        &mut self,
        id: &TaskId,
        outcome: TaskOutcome,
        only_waiting: bool,
        ctx: &mut OwnerContext<'_>,
    ) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        let worker = entry.worker.clone();
        match entry.phase {
            PlacementPhase::Queued
            | PlacementPhase::Held { .. }
            | PlacementPhase::Starting { sent: false } => {
                let status = PlacementStatus::NotRun(RefusalReason::NoRoom);
                self.finish_entry(id, status, ctx);
            }
            PlacementPhase::Starting { sent: true } | PlacementPhase::Running if !only_waiting => {
                self.set_phase(id, PlacementPhase::Stopping { outcome });
                self.make_exchange_due(worker.as_deref(), ctx.now);
            }
            _ => self.send_status(id, ctx),
        }
    }
}

fn empty_label(team_partition: PartitionIndex) -> TaskLabel {
    TaskLabel {
        team_partition,
        size: Default::default(),
        service: None,
        repeatable: false,
        urgent: false,
        gang: false,
    }
}
