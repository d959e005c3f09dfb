//! Loading of partitions that were taken over, release of partitions, and planned stops.

use std::time::Duration;

use super::store_requests::StorePurpose;
use super::{CoreAction, InstanceCore};
use crate::link::{PeerMessage, StoreOutcome, StoreRequest, TableTransaction};
use crate::membership::{instance_key, PartitionKey, PartitionRow};
use crate::owner::TeamPartition;

/// Time after which a failed load of a partition's rows is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(300);

impl InstanceCore {
    /// Schedules another load of a partition's rows after one that failed.
    pub(super) fn retry_load_later(&mut self, key: PartitionKey) {
        self.loads.insert(key, self.now + LOAD_RETRY_DELAY);
    }

    /// Loads the partitions that were taken over and whose load is due.
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

    /// Releases partitions that are marked for release, once nothing in them waits to be committed.
    ///
    /// In a planned stop, the instance deregisters once it owns no partition.
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

    /// Deletes the instance's row, so that peers need not wait until its lease expires.
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

    /// Completes a planned stop, whether or not the row was deleted.
    pub(super) fn handle_deregistered(&mut self) {
        self.stopped = true;
        self.send_to_all_peers(&PeerMessage::OwnerChanged);
        self.actions.push(CoreAction::Stopped);
    }

    /// Returns whether an owned partition has nothing to commit and no release is pending.
    pub(super) fn can_release(&self, key: PartitionKey) -> bool {
        let release_pending = self.store_tickets.values().any(
            |(purpose, _)| matches!(purpose, StorePurpose::Release { key: other } if *other == key),
        );
        let flushed = !key.is_team()
            || self
                .teams
                .get(&key.index)
                .is_some_and(TeamPartition::is_flushed);
        !release_pending && flushed && self.owns(key)
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

    /// Begins a planned stop: marks all partitions for release and makes the next renewal due at once.
    ///
    /// The renewal shows peers that the instance is stopping.
    pub(super) fn begin_stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.lease.next_renewal = self.now;
        let teams = self.teams.keys().map(|index| PartitionKey::team(*index));
        let workers = self
            .workers
            .keys()
            .map(|index| PartitionKey::worker(*index));
        self.releasing.extend(teams.chain(workers));
    }
}
