//! What is said to and heard from the owners of worker partitions.

use std::time::Duration;

use super::attempt_tracker::TrackedAttempt;
use super::commit::Proposal;
use super::team_partition::{TeamPartition, TeamView};
use crate::ids::{CellTime, Epoch, PartitionIndex, RowVersion};
use crate::ledger::{LedgerEvent, ReleaseReason, TaskPhase};
use crate::link::{
    PeerMessage, PlaceGate, PlaceOrder, PlacementStatus, TaskId, TaskKey, TaskLabel, TaskOutcome,
};
use crate::owner::{GuardName, OwnerContext};
use crate::placement::{PartitionChoice, PlacementRequirements};
use crate::refusal::{RefusalReason, RetryReason};
use crate::tally::InvariantKind;

/// Time between two questions about an attempt that is known to run.
const ASK_RUNNING: Duration = Duration::from_secs(60);
/// Time after which queued urgent work may be moved to another partition.
const URGENT_PATIENCE: Duration = Duration::from_millis(1_200);

impl TeamPartition {
    /// Takes word of how an attempt stands.
    pub fn handle_status(
        &mut self,
        partition: PartitionIndex,
        epoch: Epoch,
        key: &TaskKey,
        status: PlacementStatus,
        view: &TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) {
        if !self.confirmed {
            return;
        }
        let id = key.id();
        if !self.ledger.is_active(key) {
            self.answer_inactive(partition, epoch, key, &status, ctx);
            return;
        }
        if self.uncommitted_tasks.contains(&id) {
            return;
        }
        match status {
            PlacementStatus::Queued => self.update_tracked(&id, |tracked| {
                tracked.queued = true;
                tracked.held = false;
            }),
            PlacementStatus::Held => {
                self.update_tracked(&id, |tracked| {
                    tracked.queued = false;
                    tracked.held = true;
                });
                self.make_job_due(&id.team, &id.job, ctx.now, |tracked| !tracked.held);
            }
            PlacementStatus::Unfenced => {}
            PlacementStatus::Started {
                worker,
                domain,
                rack,
                leaving,
            } => {
                self.update_tracked(&id, |tracked| {
                    tracked.queued = false;
                    tracked.leaving = leaving;
                });
                self.record_running(&id, ctx);
                let job = self.ledger.job(&id.team, &id.job).expect("active");
                if job.tasks[id.task as usize].worker.is_none() {
                    self.propose(Proposal::of(LedgerEvent::Started {
                        key: key.clone(),
                        worker,
                        domain,
                        rack,
                        at: ctx.wall,
                    }));
                }
            }
            PlacementStatus::Ended {
                worker,
                outcome,
                ran_ms,
                peak,
            } => {
                if outcome == TaskOutcome::Failed {
                    ctx.tally.retry(RetryReason::TaskFailed);
                }
                let mut proposal = Proposal::of(LedgerEvent::Ended {
                    key: key.clone(),
                    worker,
                    outcome,
                    ran_ms,
                    peak,
                    at: ctx.wall,
                });
                proposal.effects.push(end_recorded(partition, key));
                self.propose(proposal);
            }
            PlacementStatus::Lost => {
                ctx.tally.retry(RetryReason::TaskLost);
                let reason = if ctx.guards.enforces(GuardName::RepeatOnlyIfAllowed) {
                    ReleaseReason::Lost
                } else {
                    ReleaseReason::NotRun(RefusalReason::WorkerUnreachable)
                };
                self.propose_release(partition, epoch, key, reason, view, ctx);
            }
            PlacementStatus::NotRun(why) => {
                ctx.tally.retry(RetryReason::PlacementRefused);
                self.record_returned(&id, why, ctx);
                let reason = ReleaseReason::NotRun(why);
                self.propose_release(partition, epoch, key, reason, view, ctx);
            }
        }
    }

    /// Marks attempts to be withdrawn; the orders go out with what is due.
    pub(super) fn withdraw_all(&mut self, ids: &[TaskId]) {
        for id in ids {
            self.tracked_attempts.edit(id, |tracked| {
                if !tracked.withdrawing {
                    tracked.withdrawing = true;
                    tracked.next_send = CellTime::ZERO;
                }
            });
        }
    }

    /// Makes what is to be said of a job's attempts due at once.
    pub(super) fn make_job_due(
        &mut self,
        team: &str,
        job: &str,
        now: CellTime,
        which: impl Fn(&TrackedAttempt) -> bool,
    ) {
        for id in self.ledger.task_ids(team, job) {
            self.tracked_attempts.edit(&id, |tracked| {
                if which(tracked) {
                    tracked.next_send = now;
                }
            });
        }
    }

    /// Says again what has had no answer.
    pub(super) fn send_due_messages(&mut self, view: &TeamView<'_>, ctx: &mut OwnerContext<'_>) {
        let epochs = view.worker_rows.iter().map(|(index, row)| (index, row.0));
        self.tracked_attempts.record_epochs(ctx.now, epochs);
        for id in self.tracked_attempts.due_by(ctx.now) {
            self.send_order_or_withdrawal(&id, view, ctx);
        }
    }

    /// Sends an order before its intent is committed; only a check that takes the guard away does.
    pub(super) fn send_before_commit(
        &mut self,
        id: &TaskId,
        attempt: u32,
        choice: &PartitionChoice,
        ctx: &mut OwnerContext<'_>,
    ) {
        let key = id.attempt(attempt);
        let place = (choice.partition, choice.epoch);
        let order = self.order_for(&key, place, PlaceGate::Start, ctx);
        self.send_order(choice.partition, choice.epoch, order, ctx);
    }

    fn placed_in(&self, id: &TaskId) -> Option<(PartitionIndex, Epoch)> {
        let job = self.ledger.job(&id.team, &id.job)?;
        job.tasks[id.task as usize].placed_in()
    }

    fn send_order_or_withdrawal(
        &mut self,
        id: &TaskId,
        view: &TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) {
        let Some((partition, intent_epoch)) = self.placed_in(id) else {
            return;
        };
        let Some((epoch, _)) = view.worker_rows.get(&partition).copied() else {
            return;
        };
        let job = self.ledger.job(&id.team, &id.job).expect("placed");
        let cancelled = job.cancelled;
        let task = &job.tasks[id.task as usize];
        let running = matches!(task.phase, TaskPhase::Running { .. });
        let waits_for_commit = job.spec.is_gang() && !job.gang_committed && !running;
        let started_on = task.worker.clone();
        let key = id.attempt(task.attempt);
        let repeat = if job.spec.urgent {
            URGENT_PATIENCE / 2
        } else {
            ctx.timings.repeat
        };
        let now = ctx.now;
        let mut repeated = false;
        let mut withdrawing = false;
        self.tracked_attempts.edit(id, |tracked| {
            if tracked.sent_epoch != Some(epoch) {
                tracked.queued = false;
                tracked.held = false;
            }
            repeated = tracked.sent_epoch.is_some() && !running && !tracked.held && !tracked.queued;
            withdrawing = tracked.withdrawing;
            let settled = running && !withdrawing && tracked.sent_epoch == Some(epoch);
            tracked.next_send = now + if settled { ASK_RUNNING } else { repeat };
            tracked.sent_epoch = Some(epoch);
        });
        if repeated {
            ctx.tally.retry(RetryReason::PlacementUnanswered);
        }
        if withdrawing {
            let message = PeerMessage::Withdraw {
                partition,
                epoch,
                team_epoch: self.writer.epoch,
                team_partition: self.index,
                intent_epoch,
                started_on,
                key,
                outcome: if cancelled {
                    TaskOutcome::Cancelled
                } else {
                    TaskOutcome::Preempted
                },
                only_waiting: false,
            };
            ctx.send_to_worker_owner(partition, message);
            return;
        }
        if waits_for_commit && !self.may_reserve(id) {
            return;
        }
        if self.should_move(id, view, ctx) {
            self.withdraw_if_waiting(&key, partition, epoch, intent_epoch, ctx);
            return;
        }
        let gate = if waits_for_commit {
            PlaceGate::Hold
        } else {
            PlaceGate::Start
        };
        let mut order = self.order_for(&key, (partition, intent_epoch), gate, ctx);
        order.started_on = started_on;
        self.send_order(partition, epoch, order, ctx);
    }

    /// Tells whether all tasks of the gang in earlier partitions hold room.
    fn may_reserve(&self, id: &TaskId) -> bool {
        let Some((own, _)) = self.placed_in(id) else {
            return false;
        };
        let name = (id.team.clone(), id.job.clone());
        self.gang_reserving_in
            .get(&name)
            .is_none_or(|turn| own <= *turn)
    }

    /// Tells whether an attempt has queued for long while another partition has room.
    fn should_move(&mut self, id: &TaskId, view: &TeamView<'_>, ctx: &OwnerContext<'_>) -> bool {
        let Some(tracked) = self.tracked_attempts.get(id) else {
            return false;
        };
        if !tracked.queued || !view.store_available {
            return false;
        }
        let since = tracked.since;
        let Some((partition, _)) = self.placed_in(id) else {
            return false;
        };
        let job = self.ledger.job(&id.team, &id.job).expect("placed");
        let patience = if job.spec.urgent {
            URGENT_PATIENCE
        } else {
            ctx.timings.move_after
        };
        if job.spec.is_gang() || ctx.now < since + patience {
            return false;
        }
        let rules = super::scheduling::rules_of(job, ctx);
        let spread = super::scheduling::spread_of(job);
        let requirements = PlacementRequirements {
            need: job.reserve,
            rules: &rules,
            urgent: job.spec.urgent,
            service: job.spec.service().is_some(),
            spread: &spread,
            may_queue: false,
            excluded: Some(partition),
            gang_size: 1,
        };
        let choice = view
            .digest_cache
            .choose(&requirements, &self.policy, &mut self.rng);
        choice.is_some()
    }

    fn withdraw_if_waiting(
        &self,
        key: &TaskKey,
        partition: PartitionIndex,
        epoch: Epoch,
        intent_epoch: Epoch,
        ctx: &mut OwnerContext<'_>,
    ) {
        let message = PeerMessage::Withdraw {
            partition,
            epoch,
            team_epoch: self.writer.epoch,
            team_partition: self.index,
            intent_epoch,
            started_on: None,
            key: key.clone(),
            outcome: TaskOutcome::Preempted,
            only_waiting: true,
        };
        ctx.send_to_worker_owner(partition, message);
    }

    fn order_for(
        &self,
        key: &TaskKey,
        place: (PartitionIndex, Epoch),
        gate: PlaceGate,
        ctx: &OwnerContext<'_>,
    ) -> PlaceOrder {
        let job = self.ledger.job(&key.team, &key.job).expect("placed");
        let contract = ctx.bundle.teams.get(&key.team);
        PlaceOrder {
            key: key.clone(),
            label: TaskLabel {
                team_partition: self.index,
                size: job.reserve,
                service: job.spec.service().cloned(),
                repeatable: job.spec.repeatable,
                urgent: job.spec.urgent,
                gang: job.spec.is_gang(),
            },
            team_epoch: self.writer.epoch,
            intent_epoch: place.1,
            started_on: None,
            gate,
            rules: super::scheduling::rules_of(job, ctx),
            prefer_domain: self.preferred_domain(&key.id()),
            weight: contract.map_or(1, |contract| contract.weight),
            run_time_ms: job.spec.run_time_ms,
            payload: job.spec.payload.clone(),
        }
    }

    fn send_order(
        &self,
        partition: PartitionIndex,
        epoch: Epoch,
        order: PlaceOrder,
        ctx: &mut OwnerContext<'_>,
    ) {
        let committed = self.ledger.is_active(&order.key);
        ctx.tally.assert(InvariantKind::IntentFirst, committed, || {
            format!("{} was sent before its intent was committed", order.key)
        });
        let order = Box::new(order);
        let message = PeerMessage::Place {
            partition,
            epoch,
            order,
        };
        ctx.send_to_worker_owner(partition, message);
    }

    fn propose_release(
        &mut self,
        partition: PartitionIndex,
        epoch: Epoch,
        key: &TaskKey,
        reason: ReleaseReason,
        view: &TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) {
        let Some(version) = release_condition(partition, epoch, view, ctx) else {
            ctx.tally.refuse(RefusalReason::StaleEpoch);
            return;
        };
        let mut proposal = Proposal::of(LedgerEvent::Released {
            key: key.clone(),
            reason,
            at: ctx.wall,
        });
        proposal.condition = Some((partition, version));
        proposal.effects.push(end_recorded(partition, key));
        self.propose(proposal);
    }

    /// Answers word of an attempt that is over or was never intended.
    fn answer_inactive(
        &self,
        partition: PartitionIndex,
        epoch: Epoch,
        key: &TaskKey,
        status: &PlacementStatus,
        ctx: &mut OwnerContext<'_>,
    ) {
        let over = matches!(
            status,
            PlacementStatus::Ended { .. } | PlacementStatus::Lost | PlacementStatus::NotRun(_)
        );
        if over {
            let key = key.clone();
            ctx.send_to_worker_owner(partition, PeerMessage::EndRecorded { partition, key });
            return;
        }
        let message = PeerMessage::Withdraw {
            partition,
            epoch,
            team_epoch: self.writer.epoch,
            team_partition: self.index,
            intent_epoch: epoch,
            started_on: None,
            key: key.clone(),
            outcome: TaskOutcome::Cancelled,
            only_waiting: false,
        };
        ctx.send_to_worker_owner(partition, message);
    }

    fn record_running(&mut self, id: &TaskId, ctx: &OwnerContext<'_>) {
        let next = ctx.now + ASK_RUNNING;
        self.update_tracked(id, |tracked| {
            if !tracked.withdrawing {
                tracked.next_send = next;
            }
        });
    }

    fn update_tracked(&mut self, id: &TaskId, change: impl FnOnce(&mut TrackedAttempt)) {
        self.tracked_attempts.edit(id, change);
    }
}

/// Version at which the worker partition's row must stand for its word to count.
fn release_condition(
    partition: PartitionIndex,
    epoch: Epoch,
    view: &TeamView<'_>,
    ctx: &OwnerContext<'_>,
) -> Option<RowVersion> {
    let (known, version) = view.worker_rows.get(&partition).copied()?;
    (known == epoch || !ctx.guards.enforces(GuardName::ReleaseFence)).then_some(version)
}

fn end_recorded(partition: PartitionIndex, key: &TaskKey) -> crate::owner::OwnerAction {
    let key = key.clone();
    let message = PeerMessage::EndRecorded { partition, key };
    crate::owner::OwnerAction::ToWorkerPartition { partition, message }
}
