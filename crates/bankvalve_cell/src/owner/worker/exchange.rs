//! Exchanges with workers: fence, ask, renew, command, and what the reports tell.

use super::placement_entry::{PlacementEntry, PlacementPhase};
use super::worker_seat::OpenExchange;
use super::WorkerPartition;
use crate::contract::WorkerLease;
use crate::ids::WorkerName;
use crate::link::{
    FenceToken, HeldPhase, HeldTask, LinkFailure, PlacementStatus, TaskId, TaskOutcome,
    WorkerCommand, WorkerExchange, WorkerRefusal, WorkerReport,
};
use crate::owner::{OwnerAction, OwnerContext};
use crate::refusal::{RefusalReason, RetryReason};
use crate::tally::InvariantKind;

/// Reports in a row with more memory in use than declared, after which a task is stopped.
const OVERRUN_LIMIT: u32 = 3;
/// Share of its declared processors that an overshooting task is held to, in percent.
const THROTTLE_PERCENT: u8 = 100;

impl WorkerPartition {
    /// Starts all exchanges that are due.
    pub(super) fn run_exchanges(&mut self, ctx: &mut OwnerContext<'_>) {
        self.expire_exchanges(ctx);
        let due: Vec<WorkerName> = self
            .seats
            .iter()
            .filter(|(_, seat)| seat.open.is_none() && seat.next_exchange <= ctx.now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.start_exchange(&name, ctx);
        }
    }

    /// Takes a worker's answer, or the lack of one.
    pub fn take_answer(
        &mut self,
        worker: &str,
        token: FenceToken,
        answer: Result<Result<WorkerReport, WorkerRefusal>, LinkFailure>,
        ctx: &mut OwnerContext<'_>,
    ) {
        let Some(seat) = self.seats.get_mut(worker) else {
            return;
        };
        if seat.open.is_none_or(|open| open.token != token) {
            ctx.tally.worker_answers_dropped += 1;
            return;
        }
        seat.open = None;
        match answer {
            Ok(Ok(report)) => self.take_report(worker, &report, ctx),
            Ok(Err(refusal)) => self.take_refusal(worker, refusal, ctx),
            Err(_) => {
                ctx.tally.retry(RetryReason::WorkerAnswerLost);
                seat.next_exchange = ctx.now + ctx.timings.worker_answer / 4;
            }
        }
    }

    fn expire_exchanges(&mut self, ctx: &mut OwnerContext<'_>) {
        for seat in self.seats.values_mut() {
            let limit = ctx.timings.worker_answer * 2;
            if seat.open.is_some_and(|open| ctx.now > open.sent_at + limit) {
                ctx.tally.retry(RetryReason::WorkerAnswerLost);
                seat.open = None;
            }
        }
    }

    fn start_exchange(&mut self, worker: &str, ctx: &mut OwnerContext<'_>) {
        let epoch = self.epoch;
        let seat = self.seats.get_mut(worker).expect("listed");
        let token = seat.next_token(epoch);
        let commands_too = seat.fenced && !seat.given_up && seat.can_renew(ctx.now, ctx.timings);
        let lease = seat.lease.filter(|_| commands_too);
        seat.open = Some(OpenExchange {
            token,
            sent_at: ctx.now,
        });
        seat.next_exchange = ctx.now + ctx.timings.worker_heartbeat;
        let address = seat.detail.address.clone();
        let incarnation = seat.incarnation.filter(|_| commands_too);
        let leaving = seat.is_leaving();
        if leaving {
            self.take_back_unsent(worker, ctx);
        }
        let commands = if commands_too {
            self.commands_for(worker, leaving, ctx)
        } else {
            Vec::new()
        };
        let exchange = WorkerExchange {
            token,
            incarnation,
            lease_until: lease.map(|lease| lease.granted_until(ctx.timings.worker_lease)),
            commands,
        };
        ctx.act(OwnerAction::Exchange {
            partition: self.index,
            worker: worker.to_owned(),
            address,
            exchange,
        });
    }

    /// Puts what was never sent to a worker that now leaves back in line.
    fn take_back_unsent(&mut self, worker: &str, ctx: &mut OwnerContext<'_>) {
        let unsent: Vec<TaskId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.worker.as_deref() == Some(worker))
            .filter(|(_, entry)| entry.is_unsent())
            .map(|(id, _)| id.clone())
            .collect();
        for id in unsent {
            self.requeue(&id);
            self.say(&id, ctx);
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
                    let fresh = !*sent;
                    *sent = true;
                    ctx.tally
                        .assert(InvariantKind::LeavingUntouched, !(fresh && leaving), || {
                            format!("{} started on {worker}, which leaves", entry.key)
                        });
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
        commands.extend(self.strays.get(worker).into_iter().flatten().cloned());
        commands
    }

    fn take_refusal(&mut self, worker: &str, refusal: WorkerRefusal, ctx: &mut OwnerContext<'_>) {
        let epoch = self.epoch;
        let seat = self.seats.get_mut(worker).expect("known");
        match refusal {
            WorkerRefusal::TokenPassed { greatest } if greatest.epoch > epoch => {
                self.superseded = true;
            }
            WorkerRefusal::TokenPassed { greatest } => {
                seat.sequence = seat.sequence.max(greatest.sequence);
                seat.next_exchange = ctx.now;
            }
            WorkerRefusal::OtherIncarnation | WorkerRefusal::LeaseOver => {
                ctx.tally.retry(RetryReason::WorkerAnswerLost);
                seat.fenced = false;
                seat.next_exchange = ctx.now;
            }
        }
    }

    fn take_report(&mut self, worker: &str, report: &WorkerReport, ctx: &mut OwnerContext<'_>) {
        let seat = self.seats.get_mut(worker).expect("known");
        let restarted = seat
            .incarnation
            .is_some_and(|known| known != report.incarnation);
        let was_ready = seat.fenced && !seat.given_up;
        seat.incarnation = Some(report.incarnation);
        seat.fenced = true;
        seat.given_up = false;
        seat.lease = Some(WorkerLease {
            reading: report.clock,
            received: ctx.now,
        });
        if restarted {
            self.lose_tasks_of(worker, ctx);
        }
        self.strays.remove(worker);
        for held in &report.held {
            self.take_held(worker, held, ctx);
        }
        self.take_missing(worker, report, ctx);
        let busy = self.has_commands(worker);
        if busy || !was_ready {
            self.hasten(Some(worker), ctx.now);
        }
        self.place_waiting(ctx);
    }

    fn has_commands(&self, worker: &str) -> bool {
        self.strays.contains_key(worker)
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

    fn take_held(&mut self, worker: &str, held: &HeldTask, ctx: &mut OwnerContext<'_>) {
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
                self.end_stray(worker, held, ctx);
                return;
            }
            self.adopt(worker, held, ctx);
        }
        match held.phase {
            HeldPhase::Running => self.take_running(&id, held, ctx),
            HeldPhase::Ended(outcome) => self.take_ended(&id, worker, held, outcome, ctx),
        }
    }

    /// Takes in a task that an earlier owner had started.
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

    /// Ends a held task that is not the one known here.
    fn end_stray(&mut self, worker: &str, held: &HeldTask, ctx: &mut OwnerContext<'_>) {
        let running = held.phase == HeldPhase::Running;
        let known = self.entries.get(&held.key.id());
        ctx.tally.assert(InvariantKind::SinglePlace, !running, || {
            let place = known.and_then(|entry| entry.worker.clone());
            format!("{} runs on {worker} but is known on {place:?}", held.key)
        });
        let key = held.key.clone();
        let command = if running {
            let outcome = TaskOutcome::Cancelled;
            WorkerCommand::Stop { key, outcome }
        } else {
            WorkerCommand::Forget { key }
        };
        let commands = self.strays.entry(worker.to_owned()).or_default();
        commands.push(command);
    }

    fn take_running(&mut self, id: &TaskId, held: &HeldTask, ctx: &mut OwnerContext<'_>) {
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
                self.say(id, ctx);
            }
            PlacementPhase::Running if overran => {
                let outcome = TaskOutcome::Overran;
                self.set_phase(id, PlacementPhase::Stopping { outcome });
            }
            PlacementPhase::Over(_) | PlacementPhase::Recorded => {
                ctx.tally.assert(InvariantKind::SinglePlace, false, || {
                    format!("{} runs although it is over", held.key)
                });
                let outcome = TaskOutcome::Cancelled;
                self.set_phase(id, PlacementPhase::Stopping { outcome });
            }
            _ => {}
        }
    }

    fn take_ended(
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
        if let Some(seat) = self.seats.get_mut(worker) {
            seat.count_outcome(ctx.now, outcome);
        }
        self.set_over(id, status, ctx);
    }

    /// Settles entries that the worker does not hold although it answered.
    fn take_missing(&mut self, worker: &str, report: &WorkerReport, ctx: &mut OwnerContext<'_>) {
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
                    self.set_over(&id, PlacementStatus::Lost, ctx);
                }
                // The report outranks every command that was sent before it,
                // so a start that is not in it was not taken.
                PlacementPhase::Stopping { .. } => {
                    let status = if entry.seen_running {
                        PlacementStatus::Lost
                    } else {
                        PlacementStatus::NotRun(RefusalReason::WorkerUnreachable)
                    };
                    self.set_over(&id, status, ctx);
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
