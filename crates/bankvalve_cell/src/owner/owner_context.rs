//! What an owner is given for each step, and what it asks to be done.

use super::{CellTimings, GuardSet};
use crate::contract::CellBundle;
use crate::ids::{CellTime, InstanceName, PartitionIndex, Ticket, UnixMillis, WorkerName};
use crate::link::{CallerAnswer, PeerMessage, WorkerExchange};
use crate::membership::WorkerRoster;
use crate::tally::CellTally;

/// Something that an owner asks to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Say something to the owner of a worker partition.
    ToWorkerPartition {
        /// The partition.
        partition: PartitionIndex,
        /// The message.
        message: PeerMessage,
    },
    /// Say something to the owner of a team partition.
    ToTeamPartition {
        /// The partition.
        partition: PartitionIndex,
        /// The message.
        message: PeerMessage,
    },
    /// Exchange with a worker.
    Exchange {
        /// Partition of the worker.
        partition: PartitionIndex,
        /// The worker.
        worker: WorkerName,
        /// Base URL of its API.
        address: String,
        /// What to say.
        exchange: WorkerExchange,
    },
    /// Answer a caller.
    Answer {
        /// Instance that the caller spoke to.
        origin: InstanceName,
        /// Ticket at that instance.
        ticket: Ticket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Record the workers of a partition.
    WriteRoster {
        /// The partition.
        partition: PartitionIndex,
        /// Its workers.
        roster: WorkerRoster,
    },
}

/// What an owner is given for a step.
pub struct OwnerContext<'a> {
    /// The time.
    pub now: CellTime,
    /// The wall clock, for the record only.
    pub wall: UnixMillis,
    /// Times that govern the cell.
    pub timings: &'a CellTimings,
    /// Guards in force.
    pub guards: GuardSet,
    /// Bundle in force.
    pub bundle: &'a CellBundle,
    /// Counters.
    pub tally: &'a mut CellTally,
    /// What is to be done.
    pub actions: &'a mut Vec<OwnerAction>,
}

impl OwnerContext<'_> {
    /// Asks for something to be done.
    pub fn push_action(&mut self, action: OwnerAction) {
        self.actions.push(action);
    }

    /// Says something to the owner of a team partition.
    pub fn send_to_team_owner(&mut self, partition: PartitionIndex, message: PeerMessage) {
        self.push_action(OwnerAction::ToTeamPartition { partition, message });
    }

    /// Says something to the owner of a worker partition.
    pub fn send_to_worker_owner(&mut self, partition: PartitionIndex, message: PeerMessage) {
        self.push_action(OwnerAction::ToWorkerPartition { partition, message });
    }
}
