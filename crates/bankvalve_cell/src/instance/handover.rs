//! Partitions that were taken over are read; those that are to move are released.

use std::time::Duration;

use super::store_requests::StorePurpose;
use super::{CoreAction, InstanceCore};
use crate::link::{PeerMessage, StoreOutcome, StoreRequest, TableTransaction};
use crate::membership::{instance_key, PartitionKey, PartitionRow};
use crate::owner::TeamPartition;

/// Time after which rows that could not be read are asked for again.
const LOAD_AGAIN: Duration = Duration::from_millis(300);

impl InstanceCore {
    /// Asks again later for rows that could not be read.
    pub(super) fn load_later(&mut self, key: PartitionKey) {
        self.loads.insert(key, self.now + LOAD_AGAIN);
    }

    /// Reads the rows of partitions that were taken over.
    pub(super) fn run_loads(&mut self) {
        let now = self.now;
        let due: Vec<PartitionKey> = self
            .loads
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.loads.remove(&key);
            let epoch = self.owned_epoch(key);
            if !self.owns(key) {
                continue;
            }
            if key.is_team() {
                self.load_team(key.index, epoch);
            } else {
                self.read_roster(key.index, epoch);
            }
        }
    }

    /// Releases partitions that are to move, once nothing waits to be committed.
    pub(super) fn run_releases(&mut self) {
        let ready: Vec<PartitionKey> = self
            .releasing
            .iter()
            .copied()
            .filter(|key| self.can_release(*key))
            .collect();
        for key in ready {
            self.release(key);
        }
        if self.stopping && self.workers.is_empty() && self.teams.is_empty() {
            self.deregister();
        }
    }

    /// Takes the instance's own row away, so that peers need not wait for it to be silent.
    pub(super) fn deregister(&mut self) {
        if self.lease.request_pending || self.stopped {
            return;
        }
        self.lease.request_pending = true;
        let key = instance_key(&self.settings.detail.name);
        let mut txn = TableTransaction::default();
        txn.require(key.clone(), self.lease.version);
        txn.delete(key);
        self.send_store_request(StorePurpose::Deregister, StoreRequest::Apply(txn));
    }

    /// Ends a planned stop, whether or not the row could be taken away.
    pub(super) fn handle_deregistered(&mut self) {
        self.stopped = true;
        self.send_to_all_peers(&PeerMessage::OwnerChanged);
        self.actions.push(CoreAction::Stopped);
    }

    pub(super) fn can_release(&self, key: PartitionKey) -> bool {
        let asked = self.store_tickets.values().any(
            |(purpose, _)| matches!(purpose, StorePurpose::Release { key: other } if *other == key),
        );
        let settled = !key.is_team()
            || self
                .teams
                .get(&key.index)
                .is_some_and(TeamPartition::is_flushed);
        !asked && settled && self.owns(key)
    }

    pub(super) fn release(&mut self, key: PartitionKey) {
        let Some((row, version)) = self.partition_rows.get(&key) else {
            return;
        };
        let row = PartitionRow {
            owner: String::new(),
            incarnation: 0,
            epoch: row.epoch,
        };
        let mut txn = TableTransaction::default();
        txn.require(key.row_key(), *version);
        txn.put(key.row_key(), row.encode());
        self.send_store_request(StorePurpose::Release { key }, StoreRequest::Apply(txn));
    }

    pub(super) fn handle_released(&mut self, key: PartitionKey, outcome: &StoreOutcome) {
        match outcome {
            StoreOutcome::Applied { version } => {
                let epoch = self.owned_epoch(key);
                let row = PartitionRow {
                    owner: String::new(),
                    incarnation: 0,
                    epoch,
                };
                self.record_partition(key, row, *version);
                self.drop_partition(key);
                self.send_to_all_peers(&PeerMessage::OwnerChanged);
            }
            StoreOutcome::Busy => {}
            _ => self.lease.scan_soon(),
        }
    }

    /// Begins a planned stop: hands over everything, then stops.
    pub(super) fn begin_stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.lease.next = self.now;
        let teams = self.teams.keys().map(|index| PartitionKey::team(*index));
        let workers = self
            .workers
            .keys()
            .map(|index| PartitionKey::worker(*index));
        self.releasing.extend(teams.chain(workers));
    }
}
