//! Scans of the membership and partition rows, and the claims and releases that follow.

use super::store_requests::StorePurpose;
use super::InstanceCore;
use crate::ids::RowVersion;
use crate::ledger::BatchWriter;
use crate::link::{PeerMessage, StoreOutcome, StoreRequest, TableTransaction};
use crate::membership::{
    assign_partitions, instance_key, InstanceRow, MemberState, PartitionKey, PartitionRow,
    INSTANCE_PREFIX, PARTITION_PREFIX,
};
use crate::owner::{TeamPartition, WorkerPartition};

/// Maximum number of partitions that one scan marks for release; a planned stop releases all at once.
const MOVES_PER_SCAN: usize = 2;

impl InstanceCore {
    /// Scans the partitions' rows, then the instances' rows.
    ///
    /// The order matters: an owner writes its instance row before it claims a
    /// partition. If the later scan of instance rows lacks an owner, that owner has
    /// ended.
    pub(super) fn run_scan(&mut self) {
        if self.lease.scanning || self.now < self.lease.next_scan || self.stopped {
            return;
        }
        self.lease.scanning = true;
        self.lease.last_scan = self.now;
        self.lease.next_scan = self.now + self.settings.timings.scan;
        let prefix = PARTITION_PREFIX.to_owned();
        self.send_store_request(StorePurpose::ScanPartitions, StoreRequest::Scan { prefix });
    }

    pub(super) fn handle_partition_scan(&mut self, outcome: StoreOutcome) {
        let StoreOutcome::Rows(rows) = outcome else {
            self.lease.scanning = false;
            return;
        };
        for stored_row in rows {
            let key = PartitionKey::from_row_key(&stored_row.key);
            let row = PartitionRow::decode(&stored_row.value);
            if let Some((key, row)) = key.zip(row) {
                self.record_partition(key, row, stored_row.version);
            }
        }
        self.lease.last_answered_scan = self.lease.last_scan;
        let prefix = INSTANCE_PREFIX.to_owned();
        self.send_store_request(StorePurpose::ScanInstances, StoreRequest::Scan { prefix });
    }

    pub(super) fn handle_instance_scan(&mut self, outcome: StoreOutcome) {
        self.lease.scanning = false;
        let StoreOutcome::Rows(rows) = outcome else {
            return;
        };
        let rows = rows
            .iter()
            .filter_map(|stored_row| {
                Some((stored_row.version, InstanceRow::decode(&stored_row.value)?))
            })
            .collect();
        let gap_limit = self.settings.timings.scan * 2;
        self.roster.handle_scan(self.now, rows, gap_limit);
        self.reconcile_ownership();
    }

    /// Drops all worker partitions if no scan of their rows was answered within `CellTimings::unattended`.
    ///
    /// A later owner relies on this: once that time has passed, and then the length of a
    /// worker's lease, no task on a worker whose lease this instance renewed can still be
    /// running.
    pub(super) fn drop_workers_without_store(&mut self) {
        let limit = self.settings.timings.unattended;
        // `workers` holds the worker partitions that this instance owns.
        if self.workers.is_empty() || self.now <= self.lease.last_answered_scan + limit {
            return;
        }
        // Only counts the case: no caller is refused here.
        self.tally
            .refuse(crate::refusal::RefusalReason::StoreUnavailable);
        self.workers.clear();
    }

    /// Records a partition row, unless the same or a later version is known.
    pub(super) fn record_partition(
        &mut self,
        key: PartitionKey,
        row: PartitionRow,
        version: RowVersion,
    ) {
        let known = self.partition_rows.get(&key);
        if known.is_some_and(|(_, known)| *known >= version) {
            return;
        }
        if !key.is_team() {
            self.worker_rows.insert(key.index, (row.epoch, version));
        }
        self.partition_rows.insert(key, (row, version));
    }

    /// Claims the partitions that are assigned to this instance, and marks those of others for release.
    pub(super) fn reconcile_ownership(&mut self) {
        if !self.lease.registered {
            return;
        }
        self.drop_lost_partitions();
        self.adopt_claimed_partitions();
        self.revoke_unresponsive_members();
        if self.stopping {
            return;
        }
        let lease = self.settings.timings.instance_lease;
        let candidates = self.roster.candidates(lease);
        let keys = self.partition_keys();
        let owners = assign_partitions(&keys, &candidates);
        let mut moves = 0;
        for (key, desired) in owners {
            let assigned_here = desired == self.settings.detail.name;
            if assigned_here && !self.owns(key) {
                self.try_claim(key);
            } else if !assigned_here && self.owns(key) && moves < MOVES_PER_SCAN {
                moves += 1;
                self.releasing.insert(key);
            } else if assigned_here {
                self.releasing.remove(&key);
            }
        }
    }

    pub(super) fn partition_keys(&self) -> Vec<(PartitionKey, Option<String>)> {
        let plan = &self.settings.plan;
        let workers = (0..plan.worker_partitions())
            .map(|index| (PartitionKey::worker(index), plan.region_of(index).cloned()));
        let teams = (0..plan.team_partitions).map(|index| (PartitionKey::team(index), None));
        workers.chain(teams).collect()
    }

    /// Returns whether this instance acts as the owner of a partition.
    pub(super) fn owns(&self, key: PartitionKey) -> bool {
        if key.is_team() {
            self.teams.contains_key(&key.index)
        } else {
            self.workers.contains_key(&key.index)
        }
    }

    /// Returns whether a partition row names this incarnation as the owner.
    pub(super) fn is_own_row(&self, row: &PartitionRow) -> bool {
        row.owner == self.settings.detail.name && row.incarnation == self.incarnation
    }

    /// Drops partitions whose rows name another owner or epoch.
    pub(super) fn drop_lost_partitions(&mut self) {
        let lost: Vec<PartitionKey> = self
            .partition_rows
            .iter()
            .filter(|(key, (row, _))| {
                self.owns(**key) && !(self.is_own_row(row) && self.owned_epoch(**key) == row.epoch)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in lost {
            self.drop_partition(key);
        }
    }

    /// Returns the epoch under which this instance owns a partition, or zero.
    pub(super) fn owned_epoch(&self, key: PartitionKey) -> u64 {
        if key.is_team() {
            self.teams.get(&key.index).map_or(0, TeamPartition::epoch)
        } else {
            self.workers
                .get(&key.index)
                .map_or(0, WorkerPartition::epoch)
        }
    }

    pub(super) fn drop_partition(&mut self, key: PartitionKey) {
        self.releasing.remove(&key);
        if key.is_team() {
            self.drop_team(key.index);
        } else {
            self.workers.remove(&key.index);
        }
    }

    pub(super) fn drop_team(&mut self, index: u32) {
        // Refuses the commands whose events were not sent to the table service.
        self.with_team_partition(index, |owner, _, ctx| owner.abandon(ctx));
        self.teams.remove(&index);
    }

    /// Takes over partitions whose claim took effect although its answer was lost.
    pub(super) fn adopt_claimed_partitions(&mut self) {
        let claimed: Vec<(PartitionKey, PartitionRow, RowVersion)> = self
            .partition_rows
            .iter()
            .filter(|(key, (row, _))| self.is_own_row(row) && !self.owns(**key))
            .map(|(key, (row, version))| (*key, row.clone(), *version))
            .collect();
        for (key, row, version) in claimed {
            self.take_over(key, &row, version);
        }
    }

    /// Revokes the incarnations of peers whose rows have not changed for longer than a lease.
    pub(super) fn revoke_unresponsive_members(&mut self) {
        let lease = self.settings.timings.instance_lease;
        for (mut row, version) in self.roster.unresponsive(lease) {
            if row.detail.name == self.settings.detail.name {
                continue;
            }
            row.revoked = true;
            let key = instance_key(&row.detail.name);
            let mut txn = TableTransaction::default();
            txn.require(key.clone(), version);
            txn.put(key, row.encode());
            self.send_store_request(StorePurpose::Revoke, StoreRequest::Apply(txn));
        }
    }

    /// Claims a partition if it has no owner or its owner's incarnation has ended.
    pub(super) fn try_claim(&mut self, key: PartitionKey) {
        let known = self.partition_rows.get(&key);
        let (version, epoch, vacant) = match known {
            None => (0, 0, true),
            Some((row, version)) => {
                let is_vacant =
                    row.owner.is_empty() || self.roster.has_ended(&row.owner, row.incarnation);
                (*version, row.epoch, is_vacant)
            }
        };
        let claiming = self.store_tickets.values().any(
            |(purpose, _)| matches!(purpose, StorePurpose::Claim { key: other, .. } if *other == key),
        );
        if !vacant || claiming {
            return;
        }
        let row = PartitionRow {
            owner: self.settings.detail.name.clone(),
            incarnation: self.incarnation,
            epoch: epoch + 1,
        };
        let mut txn = TableTransaction::default();
        txn.require(key.row_key(), version);
        txn.put(key.row_key(), row.encode());
        let purpose = StorePurpose::Claim { key, row };
        self.send_store_request(purpose, StoreRequest::Apply(txn));
    }

    pub(super) fn handle_claimed(
        &mut self,
        key: PartitionKey,
        row: &PartitionRow,
        outcome: &StoreOutcome,
    ) {
        if !self.is_own_row(row) {
            return;
        }
        match outcome {
            StoreOutcome::Applied { version } => {
                self.record_partition(key, row.clone(), *version);
                self.take_over(key, row, *version);
                self.send_to_all_peers(&PeerMessage::OwnerChanged);
            }
            _ => self.lease.scan_soon(),
        }
    }

    /// Becomes the owner of a claimed partition and schedules the read of its rows.
    pub(super) fn take_over(&mut self, key: PartitionKey, row: &PartitionRow, version: RowVersion) {
        self.tally.claims += 1;
        let index = key.index;
        let policy = self.settings.policy.clone();
        if key.is_team() {
            let writer = BatchWriter {
                instance: row.owner.clone(),
                incarnation: row.incarnation,
                epoch: row.epoch,
            };
            let owner = TeamPartition::new(index, writer, version, policy, self.now);
            self.teams.insert(index, owner);
        } else {
            let region = self.settings.plan.region_of(index).cloned();
            let region = region.unwrap_or_default();
            let owner = WorkerPartition::new(index, row.epoch, region, policy, self.now);
            self.workers.insert(index, owner);
        }
        // The read of the partition's rows is due at once.
        self.loads.insert(key, self.now);
        if self.stopping {
            self.releasing.insert(key);
        }
    }

    /// Returns the state of an instance according to this instance's scans, or `None` if the last scan found
    /// no row of it.
    pub(super) fn member_state(&self, name: &str) -> Option<MemberState> {
        let lease = self.settings.timings.instance_lease;
        self.roster.state_of(name, lease)
    }
}
