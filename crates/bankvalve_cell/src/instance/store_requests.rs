//! Open requests to the table service and the object store, and dispatch of their outcomes.

use super::InstanceCore;
use crate::ids::{CellTime, Epoch, Incarnation, PartitionIndex, Ticket};
use crate::link::{ObjectOutcome, RowImage, StoreOutcome, StoreRequest, TableTransaction};
use crate::membership::{PartitionKey, PartitionRow, WorkerRoster};
use crate::owner::TeamPartition;
use crate::refusal::RetryReason;

/// Purpose of a request to the table service, by which its outcome is dispatched.
#[derive(Clone, Debug)]
pub(super) enum StorePurpose {
    ReadOwnRow,
    Register {
        incarnation: Incarnation,
    },
    Renew {
        sent: CellTime,
    },
    ScanPartitions,
    ScanInstances,
    Revoke,
    Claim {
        key: PartitionKey,
        row: PartitionRow,
    },
    Release {
        key: PartitionKey,
    },
    LoadTeam {
        index: PartitionIndex,
        epoch: Epoch,
    },
    ReadRoster {
        index: PartitionIndex,
        epoch: Epoch,
    },
    WriteRoster {
        index: PartitionIndex,
        epoch: Epoch,
        roster: WorkerRoster,
    },
    Commit,
    ReadHead,
    ReadBundle,
    AcceptBundle,
    ReadAccepted,
    Deregister,
}

/// Purpose of a request to the object store.
#[derive(Clone, Copy, Debug)]
pub(super) enum ObjectPurpose {
    Archive(PartitionIndex),
}

impl InstanceCore {
    /// Handles the outcome of a request to the table service.
    pub(super) fn handle_store_outcome(&mut self, ticket: Ticket, outcome: StoreOutcome) {
        let Some((purpose, _)) = self.store_tickets.remove(&ticket) else {
            return;
        };
        match outcome {
            StoreOutcome::Lost => self.tally.retry(RetryReason::StoreAnswerLost),
            StoreOutcome::Busy => {}
            _ => self.store_answered_at = Some(self.now),
        }
        match purpose {
            StorePurpose::ReadOwnRow => self.handle_own_row(outcome),
            StorePurpose::Register { incarnation } => self.handle_registered(incarnation, &outcome),
            StorePurpose::Renew { sent } => self.handle_renewed(sent, &outcome),
            StorePurpose::ScanPartitions => self.handle_partition_scan(outcome),
            StorePurpose::ScanInstances => self.handle_instance_scan(outcome),
            StorePurpose::Revoke => self.lease.scan_soon(),
            StorePurpose::Claim { key, row } => self.handle_claimed(key, &row, &outcome),
            StorePurpose::Release { key } => self.handle_released(key, &outcome),
            StorePurpose::LoadTeam { index, epoch } => self.handle_team_rows(index, epoch, outcome),
            StorePurpose::ReadRoster { index, epoch } => self.handle_roster(index, epoch, outcome),
            StorePurpose::WriteRoster {
                index,
                epoch,
                roster,
            } => self.handle_roster_written(index, epoch, roster, &outcome),
            StorePurpose::Commit => self.handle_commit(outcome),
            StorePurpose::ReadHead => self.handle_head(outcome),
            StorePurpose::ReadBundle => self.handle_bundle_row(outcome),
            StorePurpose::AcceptBundle => self.handle_bundle_accepted(&outcome),
            StorePurpose::ReadAccepted => self.handle_accepted_row(outcome),
            StorePurpose::Deregister => self.handle_deregistered(),
        }
    }

    /// Handles requests that the driver has not reported on within two timeouts as lost.
    pub(super) fn expire_store_tickets(&mut self) {
        let limit = self.settings.timings.store_answer * 2;
        let now = self.now;
        let expired: Vec<Ticket> = self
            .store_tickets
            .iter()
            .filter(|(_, (_, sent))| now.saturating_sub(*sent) > limit)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.handle_store_outcome(ticket, StoreOutcome::Lost);
        }
    }

    /// Handles the outcome of a request to the object store.
    pub(super) fn handle_object_outcome(&mut self, ticket: Ticket, outcome: &ObjectOutcome) {
        let Some(purpose) = self.object_tickets.remove(&ticket) else {
            return;
        };
        let ObjectPurpose::Archive(index) = purpose;
        let stored = *outcome == ObjectOutcome::Stored;
        self.with_team_partition(index, |owner, _, ctx| owner.end_archive(stored, ctx));
    }

    /// Reads a team partition's rows after it was claimed.
    pub(super) fn load_team(&mut self, index: PartitionIndex, epoch: Epoch) {
        let prefix = TeamPartition::row_prefix(index);
        let purpose = StorePurpose::LoadTeam { index, epoch };
        self.send_store_request(purpose, StoreRequest::Scan { prefix });
    }

    /// Reads a worker partition's roster after it was claimed.
    pub(super) fn read_roster(&mut self, index: PartitionIndex, epoch: Epoch) {
        let key = crate::membership::roster_key(index);
        let purpose = StorePurpose::ReadRoster { index, epoch };
        self.send_store_request(purpose, StoreRequest::Read { key });
    }

    /// Writes a worker partition's roster, if this instance still owns the partition.
    pub(super) fn write_roster(&mut self, index: PartitionIndex, roster: WorkerRoster) {
        let Some(owner) = self.workers.get(&index) else {
            return;
        };
        let epoch = owner.epoch();
        let key = PartitionKey::worker(index);
        let Some((_, version)) = self.partition_rows.get(&key) else {
            return;
        };
        let mut txn = TableTransaction::default();
        let roster_key = crate::membership::roster_key(index);
        txn.require(key.row_key(), *version);
        txn.require(roster_key.clone(), owner.roster_version());
        txn.put(roster_key, roster.encode());
        let purpose = StorePurpose::WriteRoster {
            index,
            epoch,
            roster,
        };
        self.send_store_request(purpose, StoreRequest::Apply(txn));
    }

    fn handle_team_rows(&mut self, index: PartitionIndex, epoch: Epoch, outcome: StoreOutcome) {
        let current = self.teams.get(&index).map(TeamPartition::epoch);
        if current != Some(epoch) {
            return;
        }
        match outcome {
            StoreOutcome::Rows(rows) => {
                let mut consistent = false;
                self.with_team_partition(index, |owner, _, ctx| {
                    consistent = owner.load(&rows, ctx)
                });
                if !consistent {
                    self.retry_load_later(PartitionKey::team(index));
                }
            }
            _ => self.retry_load_later(PartitionKey::team(index)),
        }
    }

    fn handle_roster(&mut self, index: PartitionIndex, epoch: Epoch, outcome: StoreOutcome) {
        let Some(owner) = self.workers.get_mut(&index) else {
            return;
        };
        if owner.epoch() != epoch {
            return;
        }
        let StoreOutcome::Rows(rows) = outcome else {
            self.retry_load_later(PartitionKey::worker(index));
            return;
        };
        let decode = |row: &RowImage| Some((WorkerRoster::decode(&row.value)?, row.version));
        let (roster, version) = rows.first().and_then(decode).unwrap_or_default();
        owner.set_roster_version(version);
        self.write_roster(index, roster);
    }

    fn handle_roster_written(
        &mut self,
        index: PartitionIndex,
        epoch: Epoch,
        roster: WorkerRoster,
        outcome: &StoreOutcome,
    ) {
        let now = self.now;
        let Some(owner) = self.workers.get_mut(&index) else {
            return;
        };
        if owner.epoch() != epoch {
            return;
        }
        match outcome {
            StoreOutcome::Applied { version } => {
                owner.handle_roster(roster, *version, now);
                self.update_listed_workers(index);
            }
            _ => {
                owner.roster_failed();
                self.retry_load_later(PartitionKey::worker(index));
                self.lease.scan_soon();
            }
        }
    }
}
