//! Input of each step of a partition's owner, and the actions that it requests.

use super::{CellTimings, GuardSet};
use crate::contract::CellBundle;
use crate::ids::{CellTime, InstanceName, PartitionIndex, Ticket, UnixMillis, WorkerName};
use crate::link::{CallerAnswer, PeerMessage, WorkerExchange};
use crate::membership::WorkerRoster;
use crate::tally::CellTally;

/// An action that a partition's owner requests.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Send a message to the owner of a worker partition.
    ToWorkerPartition {
        /// The partition.
        partition: PartitionIndex,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message to the owner of a team partition.
    ToTeamPartition {
        /// The partition.
        partition: PartitionIndex,
        /// The message.
        message: PeerMessage,
    },
    /// Start an exchange with a worker.
    Exchange {
        /// Partition of the worker.
        partition: PartitionIndex,
        /// The worker.
        worker: WorkerName,
        /// Base URL of its API.
        address: String,
        /// The exchange.
        exchange: WorkerExchange,
    },
    /// Answer a caller.
    Answer {
        /// Instance that received the caller's command.
        origin: InstanceName,
        /// Ticket at that instance.
        ticket: Ticket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Write the roster row of a partition.
    WriteRoster {
        /// The partition.
        partition: PartitionIndex,
        /// The roster.
        roster: WorkerRoster,
    },
}

/// Input and output of a step of a partition's owner.
pub struct OwnerContext<'a> {
    /// The time, by the instance's monotonic clock.
    pub now: CellTime,
    /// The wall-clock time; written to the ledger, used for no decision.
    pub wall: UnixMillis,
    /// Timings of the cell.
    pub timings: &'a CellTimings,
    /// The guards in force.
    pub guards: GuardSet,
    /// The bundle in force.
    pub bundle: &'a CellBundle,
    /// Counters.
    pub tally: &'a mut CellTally,
    /// Actions requested so far.
    pub actions: &'a mut Vec<OwnerAction>,
}

impl OwnerContext<'_> {
    /// Requests an action.
    pub fn push_action(&mut self, action: OwnerAction) {
        self.actions.push(action);
    }

    /// Sends a message to the owner of a team partition.
    pub fn send_to_team_owner(&mut self, partition: PartitionIndex, message: PeerMessage) {
        self.push_action(OwnerAction::ToTeamPartition { partition, message });
    }

    /// Sends a message to the owner of a worker partition.
    pub fn send_to_worker_owner(&mut self, partition: PartitionIndex, message: PeerMessage) {
        self.push_action(OwnerAction::ToWorkerPartition { partition, message });
    }
}
