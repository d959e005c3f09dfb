//! Orders to the owners of worker partitions, and handling of their statuses.

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

/// Interval at which the placement order of a running attempt is repeated to query its status.
const RUNNING_REPEAT: Duration = Duration::from_secs(60);
/// Time after which a queued attempt of an urgent job may be moved to another partition.
///
/// Messages about attempts of urgent jobs are repeated at half this interval.
const URGENT_MOVE_AFTER: Duration = Duration::from_millis(1_200);

impl TeamPartition {
    /// Handles the status of an attempt, sent by the owner of a worker partition.
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

    /// Marks attempts as being withdrawn; the withdrawals are sent with the other due messages.
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

    /// Makes the next messages about a job's attempts due now, for the attempts that `which` selects.
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

    /// Sends the orders and withdrawals that are due, and sets when each is to be repeated.
    pub(super) fn send_due_messages(&mut self, view: &TeamView<'_>, ctx: &mut OwnerContext<'_>) {
        let epochs = view.worker_rows.iter().map(|(index, row)| (index, row.0));
        self.tracked_attempts.record_epochs(ctx.now, epochs);
        for id in self.tracked_attempts.due_by(ctx.now) {
            self.send_order_or_withdrawal(&id, view, ctx);
        }
    }

    /// Sends an order before its intent is committed.
    ///
    /// This happens only if a check disables the guard `IntentFirst`.
    pub(super) fn send_before_commit(
        &mut self,
        id: &TaskId,
        attempt: u32,
        choice: &PartitionChoice,
        ctx: &mut OwnerContext<'_>,
    ) {
        let key = id.attempt(attempt);
        let intent = (choice.partition, choice.epoch);
        let order = self.order_for(&key, intent, PlaceGate::Start, ctx);
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
            URGENT_MOVE_AFTER / 2
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
            let known_running = running && !withdrawing && tracked.sent_epoch == Some(epoch);
            tracked.next_send = now
                + if known_running {
                    RUNNING_REPEAT
                } else {
                    repeat
                };
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

    /// Returns whether all tasks of the gang in partitions with a lower index have reserved capacity.
    fn may_reserve(&self, id: &TaskId) -> bool {
        let Some((partition, _)) = self.placed_in(id) else {
            return false;
        };
        let name = (id.team.clone(), id.job.clone());
        self.gang_reserving_in
            .get(&name)
            .is_none_or(|reserving_in| partition <= *reserving_in)
    }

    /// Returns whether a queued attempt is due to be moved and another partition has capacity for it.
    ///
    /// Attempts of gangs are not moved.
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
        let move_limit = if job.spec.urgent {
            URGENT_MOVE_AFTER
        } else {
            ctx.timings.move_after
        };
        if job.spec.is_gang() || ctx.now < since + move_limit {
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
        intent: (PartitionIndex, Epoch),
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
            intent_epoch: intent.1,
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

    /// Answers a status of an attempt that is not active in the ledger.
    ///
    /// Confirms the end of an attempt that has finished, and withdraws any other.
    fn answer_inactive(
        &self,
        partition: PartitionIndex,
        epoch: Epoch,
        key: &TaskKey,
        status: &PlacementStatus,
        ctx: &mut OwnerContext<'_>,
    ) {
        let finished = matches!(
            status,
            PlacementStatus::Ended { .. } | PlacementStatus::Lost | PlacementStatus::NotRun(_)
        );
        if finished {
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
        let next = ctx.now + RUNNING_REPEAT;
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

/// Returns the version that the worker partition's row must still have when a release is committed.
///
/// Returns `None` if the row is unknown or has another epoch than the status; the release is then refused.
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
