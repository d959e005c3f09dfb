//! Exchanges with workers, which fence them, renew leases and send commands, and handling of their reports.

use super::placement_entry::{PlacementEntry, PlacementPhase};
use super::worker_state::OpenExchange;
use super::WorkerPartition;
use crate::contract::WorkerClockReading;
use crate::ids::WorkerName;
use crate::link::{
    FenceToken, HeldPhase, HeldTask, LinkFailure, PlacementStatus, TaskId, TaskOutcome,
    WorkerCommand, WorkerExchange, WorkerRefusal, WorkerReport,
};
use crate::owner::{OwnerAction, OwnerContext};
use crate::refusal::{RefusalReason, RetryReason};
use crate::tally::InvariantKind;

/// Consecutive reports with more memory in use than declared after which a task is stopped.
const OVERRUN_LIMIT: u32 = 3;
/// Limit for a task that uses more processor time than it declared, in percent of its declaration.
const THROTTLE_PERCENT: u8 = 100;

impl WorkerPartition {
    /// Starts all exchanges that are due.
    pub(super) fn run_exchanges(&mut self, ctx: &mut OwnerContext<'_>) {
        self.expire_exchanges(ctx);
        let due: Vec<WorkerName> = self
            .worker_states
            .iter()
            .filter(|(_, worker_state)| {
                worker_state.open.is_none() && worker_state.next_exchange <= ctx.now
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.start_exchange(&name, ctx);
        }
    }

    /// Handles a worker's answer, or the failure to get one.
    pub fn handle_answer(
        &mut self,
        worker: &str,
        token: FenceToken,
        answer: Result<Result<WorkerReport, WorkerRefusal>, LinkFailure>,
        ctx: &mut OwnerContext<'_>,
    ) {
        let Some(worker_state) = self.worker_states.get_mut(worker) else {
            return;
        };
        if worker_state.open.is_none_or(|open| open.token != token) {
            ctx.tally.worker_answers_dropped += 1;
            return;
        }
        worker_state.open = None;
        match answer {
            Ok(Ok(report)) => self.handle_report(worker, &report, ctx),
            Ok(Err(refusal)) => self.handle_refusal(worker, refusal, ctx),
            Err(_) => {
                ctx.tally.retry(RetryReason::WorkerAnswerLost);
                worker_state.next_exchange = ctx.now + ctx.timings.worker_answer / 4;
            }
        }
    }

    fn expire_exchanges(&mut self, ctx: &mut OwnerContext<'_>) {
        for worker_state in self.worker_states.values_mut() {
            let limit = ctx.timings.worker_answer * 2;
            if worker_state
                .open
                .is_some_and(|open| ctx.now > open.sent_at + limit)
            {
                ctx.tally.retry(RetryReason::WorkerAnswerLost);
                worker_state.open = None;
            }
        }
    }

    fn start_exchange(&mut self, worker: &str, ctx: &mut OwnerContext<'_>) {
        let epoch = self.epoch;
        let worker_state = self.worker_states.get_mut(worker).expect("listed");
        let token = worker_state.next_token(epoch);
        let may_command = worker_state.fenced
            && !worker_state.declared_lost
            && worker_state.can_renew(ctx.now, ctx.timings);
        let lease = worker_state.lease.filter(|_| may_command);
        worker_state.open = Some(OpenExchange {
            token,
            sent_at: ctx.now,
        });
        worker_state.next_exchange = ctx.now + ctx.timings.worker_heartbeat;
        let address = worker_state.detail.address.clone();
        let incarnation = worker_state.incarnation.filter(|_| may_command);
        let leaving = worker_state.is_leaving();
        if leaving {
            self.requeue_unsent(worker, ctx);
        }
        let commands = if may_command {
            self.commands_for(worker, leaving, ctx)
        } else {
            Vec::new()
        };
        let exchange = WorkerExchange {
            token,
            incarnation,
            lease_until: lease.map(|lease| lease.lease_end(ctx.timings.worker_lease)),
            commands,
        };
        ctx.push_action(OwnerAction::Exchange {
            partition: self.index,
            worker: worker.to_owned(),
            address,
            exchange,
        });
    }

    /// Requeues the attempts that were assigned to a worker but never sent to it; the worker is now leaving.
    fn requeue_unsent(&mut self, worker: &str, ctx: &mut OwnerContext<'_>) {
        let unsent: Vec<TaskId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.worker.as_deref() == Some(worker))
            .filter(|(_, entry)| entry.is_unsent())
            .map(|(id, _)| id.clone())
            .collect();
        for id in unsent {
            self.requeue(&id);
            self.send_status(&id, ctx);
        }
    }

    fn commands_for(
        &mut self,
        worker: &str,
        leaving: bool,
        ctx: &mut OwnerContext<'_>,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let here = self
            .entries
            .values_mut()
            .filter(|entry| entry.worker.as_deref() == Some(worker));
        for entry in here {
            match &mut entry.phase {
                PlacementPhase::Starting { sent } => {
                    let first_time = !*sent;
                    *sent = true;
                    ctx.tally.assert(
                        InvariantKind::LeavingUntouched,
                        !(first_time && leaving),
                        || format!("{} started on {worker}, which is leaving", entry.key),
                    );
                    commands.push(start_command(entry));
                }
                PlacementPhase::Stopping { outcome } => {
                    let outcome = *outcome;
                    let key = entry.key.clone();
                    if outcome == TaskOutcome::Preempted {
                        commands.push(WorkerCommand::Checkpoint { key: key.clone() });
                    }
                    commands.push(WorkerCommand::Stop { key, outcome });
                }
                PlacementPhase::Recorded => {
                    let key = entry.key.clone();
                    commands.push(WorkerCommand::Forget { key });
                }
                PlacementPhase::Running if entry.throttled => {
                    let key = entry.key.clone();
                    let percent = THROTTLE_PERCENT;
                    commands.push(WorkerCommand::Throttle { key, percent });
                }
                _ => {}
            }
        }
        commands.extend(
            self.unknown_task_commands
                .get(worker)
                .into_iter()
                .flatten()
                .cloned(),
        );
        commands
    }

    fn handle_refusal(&mut self, worker: &str, refusal: WorkerRefusal, ctx: &mut OwnerContext<'_>) {
        let epoch = self.epoch;
        let worker_state = self.worker_states.get_mut(worker).expect("known");
        match refusal {
            WorkerRefusal::TokenPassed { greatest } if greatest.epoch > epoch => {
                self.superseded = true;
            }
            WorkerRefusal::TokenPassed { greatest } => {
                worker_state.sequence = worker_state.sequence.max(greatest.sequence);
                worker_state.next_exchange = ctx.now;
            }
            WorkerRefusal::OtherIncarnation | WorkerRefusal::LeaseOver => {
                ctx.tally.retry(RetryReason::WorkerAnswerLost);
                worker_state.fenced = false;
                worker_state.next_exchange = ctx.now;
            }
        }
    }

    fn handle_report(&mut self, worker: &str, report: &WorkerReport, ctx: &mut OwnerContext<'_>) {
        let worker_state = self.worker_states.get_mut(worker).expect("known");
        let restarted = worker_state
            .incarnation
            .is_some_and(|known| known != report.incarnation);
        let was_ready = worker_state.fenced && !worker_state.declared_lost;
        worker_state.incarnation = Some(report.incarnation);
        worker_state.fenced = true;
        worker_state.declared_lost = false;
        worker_state.lease = Some(WorkerClockReading {
            reading: report.clock,
            received: ctx.now,
        });
        if restarted {
            self.release_tasks_of(worker, ctx);
        }
        self.unknown_task_commands.remove(worker);
        for held in &report.held {
            self.handle_held(worker, held, ctx);
        }
        self.handle_missing(worker, report, ctx);
        let has_commands_to_send = self.has_commands(worker);
        if has_commands_to_send || !was_ready {
            self.make_exchange_due(Some(worker), ctx.now);
        }
        self.place_waiting(ctx);
    }

    fn has_commands(&self, worker: &str) -> bool {
        self.unknown_task_commands.contains_key(worker)
            || self.entries.values().any(|entry| {
                entry.worker.as_deref() == Some(worker)
                    && matches!(
                        entry.phase,
                        PlacementPhase::Starting { .. }
                            | PlacementPhase::Stopping { .. }
                            | PlacementPhase::Recorded
                    )
            })
    }

    fn handle_held(&mut self, worker: &str, held: &HeldTask, ctx: &mut OwnerContext<'_>) {
        let id = held.key.id();
        let known = self.entries.get(&id);
        let same = known.is_some_and(|entry| {
            entry.key.attempt == held.key.attempt && entry.worker.as_deref() == Some(worker)
        });
        if !same {
            let replaceable = known.is_none_or(|entry| {
                matches!(
                    entry.phase,
                    PlacementPhase::Over(_) | PlacementPhase::Recorded
                ) && entry.key.attempt <= held.key.attempt
            });
            if !replaceable {
                self.end_unknown_task(worker, held, ctx);
                return;
            }
            self.adopt(worker, held, ctx);
        }
        match held.phase {
            HeldPhase::Running => self.handle_running(&id, held, ctx),
            HeldPhase::Ended(outcome) => self.handle_ended(&id, worker, held, outcome, ctx),
        }
    }

    /// Adds an entry for a task that a worker reports and that an earlier owner started.
    fn adopt(&mut self, worker: &str, held: &HeldTask, ctx: &mut OwnerContext<'_>) {
        let id = held.key.id();
        self.drop_entry(&id);
        let key = held.key.clone();
        let label = held.label.clone();
        let phase = PlacementPhase::Queued;
        let mut entry = PlacementEntry::found(key, label, phase, ctx.now, 0);
        entry.worker = Some(worker.to_owned());
        self.entries.insert(id.clone(), entry);
        if held.phase == HeldPhase::Running {
            self.set_phase(&id, PlacementPhase::Starting { sent: true });
        }
    }

    /// Queues a command that stops or forgets a reported task that does not match the entry here.
    fn end_unknown_task(&mut self, worker: &str, held: &HeldTask, ctx: &mut OwnerContext<'_>) {
        let running = held.phase == HeldPhase::Running;
        let known = self.entries.get(&held.key.id());
        ctx.tally.assert(InvariantKind::SinglePlace, !running, || {
            let place = known.and_then(|entry| entry.worker.clone());
            format!("{} runs on {worker} but is assigned to {place:?}", held.key)
        });
        let key = held.key.clone();
        let command = if running {
            let outcome = TaskOutcome::Cancelled;
            WorkerCommand::Stop { key, outcome }
        } else {
            WorkerCommand::Forget { key }
        };
        let commands = self
            .unknown_task_commands
            .entry(worker.to_owned())
            .or_default();
        commands.push(command);
    }

    fn handle_running(&mut self, id: &TaskId, held: &HeldTask, ctx: &mut OwnerContext<'_>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.seen_running = true;
        entry.ran_ms = held.ran_ms;
        entry.peak = entry.peak.max(held.usage);
        entry.throttled = held.usage.millicores > entry.label.size.millicores;
        if held.usage.memory_mib > entry.label.size.memory_mib {
            entry.overran += 1;
        } else {
            entry.overran = 0;
        }
        let overran = entry.overran >= OVERRUN_LIMIT;
        let phase = entry.phase.clone();
        match phase {
            PlacementPhase::Starting { .. } => {
                self.set_phase(id, PlacementPhase::Running);
                self.send_status(id, ctx);
            }
            PlacementPhase::Running if overran => {
                let outcome = TaskOutcome::Overran;
                self.set_phase(id, PlacementPhase::Stopping { outcome });
            }
            PlacementPhase::Over(_) | PlacementPhase::Recorded => {
                ctx.tally.assert(InvariantKind::SinglePlace, false, || {
                    format!("{} runs although it has finished", held.key)
                });
                let outcome = TaskOutcome::Cancelled;
                self.set_phase(id, PlacementPhase::Stopping { outcome });
            }
            _ => {}
        }
    }

    fn handle_ended(
        &mut self,
        id: &TaskId,
        worker: &str,
        held: &HeldTask,
        outcome: TaskOutcome,
        ctx: &mut OwnerContext<'_>,
    ) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let reported = matches!(
            entry.phase,
            PlacementPhase::Over(PlacementStatus::Ended { .. }) | PlacementPhase::Recorded
        );
        if reported {
            return;
        }
        let status = PlacementStatus::Ended {
            worker: worker.to_owned(),
            outcome,
            ran_ms: held.ran_ms,
            peak: entry.peak.max(held.usage),
        };
        if let Some(worker_state) = self.worker_states.get_mut(worker) {
            worker_state.count_outcome(ctx.now, outcome);
        }
        self.finish_entry(id, status, ctx);
    }

    /// Handles entries of a worker that are missing from its report.
    fn handle_missing(&mut self, worker: &str, report: &WorkerReport, ctx: &mut OwnerContext<'_>) {
        let missing: Vec<TaskId> = self
            .entries
            .values()
            .filter(|entry| entry.worker.as_deref() == Some(worker))
            .filter(|entry| !report.held.iter().any(|held| held.key == entry.key))
            .map(|entry| entry.key.id())
            .collect();
        for id in missing {
            let entry = &self.entries[&id];
            match entry.phase {
                PlacementPhase::Running => {
                    self.finish_entry(&id, PlacementStatus::Lost, ctx);
                }
                // The report answers the latest token, and the worker refuses
                // older ones. A start command that was sent before and that the
                // report does not show can therefore no longer take effect.
                PlacementPhase::Stopping { .. } => {
                    let status = if entry.seen_running {
                        PlacementStatus::Lost
                    } else {
                        PlacementStatus::NotRun(RefusalReason::WorkerUnreachable)
                    };
                    self.finish_entry(&id, status, ctx);
                }
                PlacementPhase::Recorded => self.drop_entry(&id),
                _ => {}
            }
        }
    }
}

fn start_command(entry: &PlacementEntry) -> WorkerCommand {
    let need = entry.need.as_ref();
    WorkerCommand::Start {
        key: entry.key.clone(),
        label: entry.label.clone(),
        run_time_ms: need.map_or(0, |need| need.run_time_ms),
        payload: need.map(|need| need.payload.clone()).unwrap_or_default(),
    }
}
