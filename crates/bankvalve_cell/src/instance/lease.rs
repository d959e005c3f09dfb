//! Lease of this instance: its row in the table service, renewed at intervals.

use std::time::Duration;

use super::store_requests::StorePurpose;
use super::InstanceCore;
use crate::ids::{CellTime, Incarnation, RowVersion};
use crate::link::{StoreOutcome, StoreRequest, TableTransaction};
use crate::membership::{instance_key, InstanceRow};
use crate::refusal::RetryReason;

/// Shortest interval between the starts of two scans.
const MIN_SCAN_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which a failed write of the instance's row is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// State of this instance's lease, and of its scans of the membership and partition rows.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseState {
    /// Version of the instance's row, as last read or written.
    pub(super) version: RowVersion,
    pub(super) beat: u64,
    pub(super) registered: bool,
    /// Whether a read or write of the instance's row has no outcome yet.
    pub(super) request_pending: bool,
    pub(super) next_renewal: CellTime,
    /// Start of the lease: when the last confirmed renewal was sent, or when the
    /// registration was confirmed.
    pub(super) confirmed: Option<CellTime>,
    pub(super) scanning: bool,
    pub(super) next_scan: CellTime,
    /// When the last scan whose partition rows were received was sent.
    pub(super) last_answered_scan: CellTime,
    pub(super) last_scan: CellTime,
}

impl LeaseState {
    pub(super) fn is_registered(&self) -> bool {
        self.registered
    }

    /// Makes the next scan due as soon as `MIN_SCAN_INTERVAL` allows.
    pub(super) fn scan_soon(&mut self) {
        self.next_scan = self.next_scan.min(self.last_scan + MIN_SCAN_INTERVAL);
    }
}

impl InstanceCore {
    /// Returns whether this instance's lease is still valid by its own clock.
    pub(super) fn has_valid_lease(&self) -> bool {
        let length = self.settings.timings.instance_lease;
        self.lease
            .confirmed
            .is_some_and(|at| self.now.saturating_sub(at) < length)
    }

    /// Registers the instance, then renews its lease.
    pub(super) fn run_lease(&mut self) {
        if self.lease.request_pending || self.now < self.lease.next_renewal || self.stopped {
            return;
        }
        self.lease.request_pending = true;
        self.lease.next_renewal = self.now + self.settings.timings.instance_renewal;
        if !self.lease.registered {
            let key = instance_key(&self.settings.detail.name);
            self.send_store_request(StorePurpose::ReadOwnRow, StoreRequest::Read { key });
            return;
        }
        let sent = self.now;
        let row = self.own_row(self.lease.beat + 1);
        self.write_own_row(&row, StorePurpose::Renew { sent });
    }

    pub(super) fn own_row(&self, beat: u64) -> InstanceRow {
        InstanceRow {
            detail: self.settings.detail.clone(),
            incarnation: self.incarnation,
            beat,
            stopping: self.stopping,
            revoked: false,
        }
    }

    pub(super) fn write_own_row(&mut self, row: &InstanceRow, purpose: StorePurpose) {
        let key = instance_key(&self.settings.detail.name);
        let mut txn = TableTransaction::default();
        txn.require(key.clone(), self.lease.version);
        txn.put(key, row.encode());
        self.send_store_request(purpose, StoreRequest::Apply(txn));
    }

    /// Handles the instance's row, which is read at the start and after a failed write.
    ///
    /// If the row shows that this incarnation is registered, its renewals go on.
    /// Otherwise a new incarnation begins.
    pub(super) fn handle_own_row(&mut self, outcome: StoreOutcome) {
        self.lease.request_pending = false;
        let StoreOutcome::Rows(rows) = outcome else {
            return;
        };
        let known = rows.first();
        let version = known.map_or(0, |row| row.version);
        let row = known.and_then(|row| InstanceRow::decode(&row.value));
        let is_this_incarnation =
            |row: &InstanceRow| row.incarnation == self.incarnation && !row.revoked;
        self.lease.version = version;
        if let Some(row) = row.as_ref().filter(|row| is_this_incarnation(row)) {
            if row.detail == self.settings.detail && self.lease.beat > 0 {
                self.lease.beat = row.beat;
                self.lease.registered = true;
                self.lease.next_renewal = self.now;
                return;
            }
        }
        let last_incarnation = row.map_or(0, |row| row.incarnation);
        let incarnation = self.incarnation.max(last_incarnation + 1);
        self.begin_incarnation(incarnation);
    }

    /// Drops all partitions of the previous incarnation and registers a new one.
    pub(super) fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.workers.clear();
        let teams: Vec<u32> = self.teams.keys().copied().collect();
        for index in teams {
            self.drop_team(index);
        }
        self.releasing.clear();
        self.peers.begin_incarnation();
        self.lease.request_pending = true;
        self.lease.beat = 1;
        let row = self.own_row(1);
        self.write_own_row(&row, StorePurpose::Register { incarnation });
    }

    pub(super) fn handle_registered(&mut self, incarnation: Incarnation, outcome: &StoreOutcome) {
        self.lease.request_pending = false;
        if incarnation != self.incarnation {
            return;
        }
        if let StoreOutcome::Applied { version } = outcome {
            self.lease.version = *version;
            self.lease.registered = true;
            self.lease.confirmed = Some(self.now);
            self.lease.scan_soon();
        } else {
            self.lease.next_renewal = self.now + WRITE_RETRY_DELAY;
        }
    }

    pub(super) fn handle_renewed(&mut self, sent: CellTime, outcome: &StoreOutcome) {
        self.lease.request_pending = false;
        match outcome {
            StoreOutcome::Applied { version } => {
                self.lease.version = *version;
                self.lease.beat += 1;
                self.lease.confirmed = Some(sent);
            }
            StoreOutcome::Busy => {}
            _ => {
                self.tally.retry(RetryReason::StoreConflict);
                self.lease.registered = false;
                self.lease.next_renewal = self.now + WRITE_RETRY_DELAY;
            }
        }
    }
}
