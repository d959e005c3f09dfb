//! Commands of callers and operators: answered by this instance or forwarded to a partition's owner.

use std::collections::BTreeSet;

use super::{CoreAction, InstanceCore};
use crate::ids::{CellTime, InstanceName, PartitionIndex, Ticket, WorkerName};
use crate::link::{
    CallerAnswer, CallerCommand, InstanceView, PartitionView, PeerMessage, Refusal, WorkerView,
};
use crate::machine::worker_partition_of;
use crate::membership::{MemberState, PartitionKey};
use crate::owner::WorkerPartition;
use crate::refusal::RefusalReason;

/// Time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// A command that has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct OpenCommand {
    deadline: CellTime,
    /// Whether the command changes state; if it expires, its outcome is then unknown.
    changes: bool,
    gather: Option<WorkerGather>,
}

/// Worker lists collected from all instances for one command.
#[derive(Clone, Debug)]
struct WorkerGather {
    /// Peers that have not answered yet.
    awaited: BTreeSet<InstanceName>,
    views: Vec<WorkerView>,
}

impl InstanceCore {
    /// Handles a command that a caller or operator sent to this instance.
    pub(super) fn handle_command(&mut self, ticket: Ticket, command: CallerCommand) {
        let changes = matches!(
            command,
            CallerCommand::Submit { .. }
                | CallerCommand::Cancel { .. }
                | CallerCommand::DrainWorker { .. }
                | CallerCommand::DrainInstance { .. }
                | CallerCommand::AcceptBundle { .. }
        );
        let open = OpenCommand {
            deadline: self.now + self.settings.timings.command_answer,
            changes,
            gather: None,
        };
        self.open_commands.insert(ticket, open);
        let here = self.settings.detail.name.clone();
        match command {
            CallerCommand::Instances => {
                let answer = self.instance_views();
                self.answer(&here, ticket, answer);
            }
            CallerCommand::Workers => self.gather_workers(ticket),
            CallerCommand::Bundle => {
                let answer = self.bundle_answer();
                self.answer(&here, ticket, answer);
            }
            CallerCommand::AcceptBundle { bundle } => self.accept_bundle(ticket, *bundle),
            CallerCommand::DrainInstance { instance } if instance == here => {
                self.begin_stop();
                self.answer(&here, ticket, CallerAnswer::Done);
            }
            CallerCommand::DrainInstance { ref instance } => {
                let to = instance.clone();
                self.forward(ticket, Some(to), command);
            }
            CallerCommand::DrainWorker { ref worker, .. } => {
                let partition = self.partition_of_worker(worker);
                let to = partition.and_then(|index| self.owner_of(PartitionKey::worker(index)));
                self.forward(ticket, to, command);
            }
            _ => {
                let team = command.team().cloned().unwrap_or_default();
                let index = self.settings.plan.team_partition_of(&team);
                let to = self.owner_of(PartitionKey::team(index));
                self.forward(ticket, to, command);
            }
        }
    }

    fn owner_of(&self, key: PartitionKey) -> Option<InstanceName> {
        let (row, _) = self.partition_rows.get(&key)?;
        (!row.owner.is_empty()).then(|| row.owner.clone())
    }

    fn partition_of_worker(&self, worker: &WorkerName) -> Option<PartitionIndex> {
        let listed = self
            .listed
            .iter()
            .find(|known| known.detail.name == *worker)?;
        worker_partition_of(&self.settings.plan, &listed.detail)
    }

    fn forward(&mut self, ticket: Ticket, to: Option<InstanceName>, command: CallerCommand) {
        let here = self.settings.detail.name.clone();
        let reachable = |name: &InstanceName| {
            *name == here
                || self
                    .member_state(name)
                    .is_some_and(|state| matches!(state, MemberState::Live | MemberState::Stopping))
        };
        match to {
            Some(to) if to == here => self.handle_forwarded(&here, ticket, command),
            Some(to) if reachable(&to) => {
                let message = PeerMessage::Forward {
                    origin: here,
                    ticket,
                    command: Box::new(command),
                };
                self.send_to_peer(&to, message);
            }
            _ => {
                let detail = "nobody owns the partition just now";
                self.refuse(&here, ticket, RefusalReason::NoOwner, detail);
            }
        }
    }

    /// Handles a command that this instance or a peer forwarded to this one as the owner.
    pub(super) fn handle_forwarded(
        &mut self,
        origin: &InstanceName,
        ticket: Ticket,
        command: CallerCommand,
    ) {
        match command {
            CallerCommand::Workers => {
                let answer = CallerAnswer::Workers(self.owned_worker_views());
                self.answer(origin, ticket, answer);
            }
            CallerCommand::DrainInstance { .. } => {
                self.begin_stop();
                self.answer(origin, ticket, CallerAnswer::Done);
            }
            CallerCommand::DrainWorker { worker, drain } => {
                self.drain_worker(origin, ticket, &worker, drain);
            }
            command => self.run_team_command(origin, ticket, command),
        }
    }

    /// Passes a command to the owner of its team's partition.
    fn run_team_command(&mut self, origin: &InstanceName, ticket: Ticket, command: CallerCommand) {
        let team = command.team().cloned().unwrap_or_default();
        let index = self.settings.plan.team_partition_of(&team);
        let releasing = self.releasing.contains(&PartitionKey::team(index));
        let loaded = self
            .teams
            .get(&index)
            .is_some_and(|owner| owner.is_confirmed());
        if !loaded || releasing {
            let detail = "the team's partition is changing hands";
            self.refuse(origin, ticket, RefusalReason::NoOwner, detail);
            return;
        }
        let lease_valid = self.has_valid_lease();
        let known = match &command {
            CallerCommand::Status { team, job } | CallerCommand::Cancel { team, job } => {
                let owner = &self.teams[&index];
                owner.ledger().job(team, job).is_some()
            }
            _ => true,
        };
        if !known && !lease_valid {
            let detail = "the lease has lapsed, so that a later owner may know the job";
            self.refuse(origin, ticket, RefusalReason::NoOwner, detail);
            return;
        }
        let origin = origin.clone();
        self.with_team_partition(index, |owner, view, ctx| {
            owner.command(origin, ticket, command, view, ctx);
        });
    }

    fn drain_worker(
        &mut self,
        origin: &InstanceName,
        ticket: Ticket,
        worker: &WorkerName,
        drain: bool,
    ) {
        let mut known = false;
        if let Some(index) = self.partition_of_worker(worker) {
            self.with_worker_partition(index, |owner: &mut WorkerPartition, ctx| {
                known = owner.drain(worker, drain, ctx);
            });
        }
        if known {
            self.answer(origin, ticket, CallerAnswer::Done);
        } else {
            let detail = format!("worker {worker} is not known to its partition's owner");
            self.refuse(origin, ticket, RefusalReason::UnknownWorker, &detail);
        }
    }

    fn gather_workers(&mut self, ticket: Ticket) {
        let here = self.settings.detail.name.clone();
        let others = self.peer_names();
        let views = self.owned_worker_views();
        let Some(open) = self.open_commands.get_mut(&ticket) else {
            return;
        };
        open.gather = Some(WorkerGather {
            awaited: others.iter().cloned().collect(),
            views,
        });
        for to in others {
            let message = PeerMessage::Forward {
                origin: here.clone(),
                ticket,
                command: Box::new(CallerCommand::Workers),
            };
            self.send_to_peer(&to, message);
        }
        self.finish_gather_if_complete(ticket);
    }

    /// Handles a peer's answer to a forwarded command.
    pub(super) fn handle_answer(
        &mut self,
        from: &InstanceName,
        ticket: Ticket,
        answer: CallerAnswer,
    ) {
        let here = self.settings.detail.name.clone();
        let gather = self
            .open_commands
            .get_mut(&ticket)
            .and_then(|open| open.gather.as_mut());
        let Some(gather) = gather else {
            self.answer(&here, ticket, answer);
            return;
        };
        if let CallerAnswer::Workers(views) = answer {
            if gather.awaited.remove(from) {
                gather.views.extend(views);
            }
        }
        self.finish_gather_if_complete(ticket);
    }

    fn finish_gather_if_complete(&mut self, ticket: Ticket) {
        let gather = self
            .open_commands
            .get_mut(&ticket)
            .and_then(|open| open.gather.as_mut());
        if let Some(gather) = gather.filter(|gather| gather.awaited.is_empty()) {
            let views = std::mem::take(&mut gather.views);
            self.answer_workers(ticket, views);
        }
    }

    fn answer_workers(&mut self, ticket: Ticket, mut views: Vec<WorkerView>) {
        let here = self.settings.detail.name.clone();
        views.sort_by(|a, b| a.detail.name.cmp(&b.detail.name));
        self.answer(&here, ticket, CallerAnswer::Workers(views));
    }

    fn owned_worker_views(&self) -> Vec<WorkerView> {
        let here = &self.settings.detail.name;
        let partitions = self.workers.values();
        partitions
            .flat_map(|owner| owner.worker_views(here))
            .collect()
    }

    fn instance_views(&self) -> CallerAnswer {
        let lease = self.settings.timings.instance_lease;
        let owned = |name: &str| {
            let rows = self.partition_rows.values();
            rows.filter(|(row, _)| row.owner == name).count() as u32
        };
        let instances = self
            .roster
            .all(lease)
            .map(|(row, state)| InstanceView {
                detail: row.detail.clone(),
                incarnation: row.incarnation,
                state: state.as_str().into(),
                partitions: owned(&row.detail.name),
            })
            .collect();
        let partitions = self
            .partition_rows
            .iter()
            .map(|(key, (row, _))| PartitionView {
                key: key.to_string(),
                owner: row.owner.clone(),
                epoch: row.epoch,
            })
            .collect();
        CallerAnswer::Instances {
            instances,
            partitions,
        }
    }

    /// Answers a command, directly or through the instance that received it.
    pub(super) fn answer(&mut self, origin: &InstanceName, ticket: Ticket, answer: CallerAnswer) {
        if *origin == self.settings.detail.name {
            if self.open_commands.remove(&ticket).is_some() {
                self.actions.push(CoreAction::Answer { ticket, answer });
            }
            return;
        }
        let answer = Box::new(answer);
        self.send_to_peer(origin, PeerMessage::Answer { ticket, answer });
    }

    fn refuse(
        &mut self,
        origin: &InstanceName,
        ticket: Ticket,
        reason: RefusalReason,
        detail: &str,
    ) {
        self.tally.refuse(reason);
        let refusal = Refusal::temporary(reason, detail, RETRY_AFTER_MS);
        self.answer(origin, ticket, CallerAnswer::NotRun(refusal));
    }

    /// Answers commands whose deadline has passed.
    pub(super) fn expire_commands(&mut self) {
        let now = self.now;
        let expired: Vec<Ticket> = self
            .open_commands
            .iter()
            .filter(|(_, open)| open.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        let here = self.settings.detail.name.clone();
        for ticket in expired {
            let open = self.open_commands[&ticket].clone();
            if let Some(gather) = open.gather {
                self.answer_workers(ticket, gather.views);
            } else if open.changes {
                let detail = "the owner did not answer in time; ask for the status".into();
                self.answer(&here, ticket, CallerAnswer::Unknown { detail });
            } else {
                let detail = "the owner did not answer in time";
                self.refuse(&here, ticket, RefusalReason::PeerUnreachable, detail);
            }
        }
    }
}
