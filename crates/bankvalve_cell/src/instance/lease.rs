//! The instance's own lease: its row in the table service, renewed as long as it lives.

use std::time::Duration;

use super::store_requests::StorePurpose;
use super::InstanceCore;
use crate::ids::{CellTime, Incarnation, RowVersion};
use crate::link::{StoreOutcome, StoreRequest, TableTransaction};
use crate::membership::{instance_key, InstanceRow};
use crate::refusal::RetryReason;

/// Least time between two scans.
const SCAN_GAP: Duration = Duration::from_millis(150);
/// Time after which a write that failed is tried again.
const WRITE_AGAIN: Duration = Duration::from_millis(300);

/// The instance's own lease.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseState {
    pub(super) version: RowVersion,
    pub(super) beat: u64,
    pub(super) registered: bool,
    pub(super) request_pending: bool,
    pub(super) next: CellTime,
    /// Time from which the lease counts: when its last renewal was sent.
    pub(super) confirmed: Option<CellTime>,
    pub(super) scanning: bool,
    pub(super) next_scan: CellTime,
    /// When the last scan that was answered had been sent.
    pub(super) last_answered_scan: CellTime,
    pub(super) last_scan: CellTime,
}

impl LeaseState {
    pub(super) fn is_registered(&self) -> bool {
        self.registered
    }

    /// Makes the next scan due as soon as the gap allows.
    pub(super) fn scan_soon(&mut self) {
        self.next_scan = self.next_scan.min(self.last_scan + SCAN_GAP);
    }
}

impl InstanceCore {
    /// Tells whether the instance's own lease holds by its own clock.
    pub(super) fn has_valid_lease(&self) -> bool {
        let length = self.settings.timings.instance_lease;
        self.lease
            .confirmed
            .is_some_and(|at| self.now.saturating_sub(at) < length)
    }

    /// Registers the instance, then renews its lease.
    pub(super) fn run_lease(&mut self) {
        if self.lease.request_pending || self.now < self.lease.next || self.stopped {
            return;
        }
        self.lease.request_pending = true;
        self.lease.next = self.now + self.settings.timings.instance_renewal;
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

    /// Takes in the instance's own row: a new life begins, or the lease goes on.
    pub(super) fn handle_own_row(&mut self, outcome: StoreOutcome) {
        self.lease.request_pending = false;
        let StoreOutcome::Rows(rows) = outcome else {
            return;
        };
        let known = rows.first();
        let version = known.map_or(0, |row| row.version);
        let row = known.and_then(|row| InstanceRow::decode(&row.value));
        let mine = |row: &InstanceRow| row.incarnation == self.incarnation && !row.revoked;
        self.lease.version = version;
        if let Some(row) = row.as_ref().filter(|row| mine(row)) {
            if row.detail == self.settings.detail && self.lease.beat > 0 {
                self.lease.beat = row.beat;
                self.lease.registered = true;
                self.lease.next = self.now;
                return;
            }
        }
        let last = row.map_or(0, |row| row.incarnation);
        let incarnation = self.incarnation.max(last + 1);
        self.begin_incarnation(incarnation);
    }

    /// Begins a life: nothing that an earlier one owned is owned any more.
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
            self.lease.next = self.now + WRITE_AGAIN;
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
                self.lease.next = self.now + WRITE_AGAIN;
            }
        }
    }
}
