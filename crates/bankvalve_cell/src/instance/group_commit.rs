//! Group commit: one table transaction at a time for all team partitions of the instance.

use std::time::Duration;

use super::store_requests::StorePurpose;
use super::InstanceCore;
use crate::ids::{CellTime, PartitionIndex};
use crate::link::{StoreOutcome, StoreRequest, TableTransaction};
use crate::membership::PartitionKey;
use crate::owner::{FlushOutcome, GuardName};
use crate::refusal::RetryReason;

/// Time after which a commit without a definite outcome is retried, or its head row is read again.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A commit that was sent to the table service and has no final outcome yet.
#[derive(Clone, Debug)]
struct OpenCommit {
    txn: TableTransaction,
    /// Team partitions with a batch in the transaction, and their owners' epochs.
    parts: Vec<(PartitionIndex, u64)>,
    /// Keys of the failed conditions, if a retry after a lost answer met a conflict.
    conflicts: Vec<String>,
    retry_at: Option<CellTime>,
    /// Whether an answer was lost, so that the commit may have taken effect.
    uncertain: bool,
}

/// The commit in progress, and when the last one was first sent.
#[derive(Clone, Debug, Default)]
pub(super) struct CommitState {
    open: Option<OpenCommit>,
    last_sent: CellTime,
}

impl InstanceCore {
    /// Sends the next commit, or retries the open one if that is due.
    pub(super) fn run_commit(&mut self) {
        if let Some(open) = &self.commits.open {
            if open.retry_at.is_some_and(|at| at <= self.now) {
                self.retry_commit();
            }
            return;
        }
        if self.now < self.commits.last_sent + self.settings.timings.commit_pace {
            return;
        }
        let mut txn = TableTransaction::default();
        let mut parts = Vec::new();
        let indexes: Vec<PartitionIndex> = self.teams.keys().copied().collect();
        for index in indexes {
            self.with_team_partition(index, |owner, _, ctx| {
                if owner.begin_flush(&mut txn, ctx) {
                    parts.push((index, owner.epoch()));
                }
            });
        }
        if parts.is_empty() {
            return;
        }
        self.commits.last_sent = self.now;
        let request = StoreRequest::Apply(txn.clone());
        self.commits.open = Some(OpenCommit {
            txn,
            parts,
            conflicts: Vec::new(),
            retry_at: None,
            uncertain: false,
        });
        self.send_store_request(StorePurpose::Commit, request);
    }

    /// Sends the open commit again, or reads its head row if it met a conflict.
    fn retry_commit(&mut self) {
        let Some(open) = &mut self.commits.open else {
            return;
        };
        open.retry_at = None;
        if open.conflicts.is_empty() {
            let request = StoreRequest::Apply(open.txn.clone());
            self.send_store_request(StorePurpose::Commit, request);
        } else {
            self.read_head();
        }
    }

    /// Handles the outcome of a commit.
    ///
    /// After a lost answer, the same transaction is sent again; its conditions
    /// allow it to take effect at most once. If the retry meets a conflict, a head
    /// row shows whether the first one took effect.
    pub(super) fn handle_commit(&mut self, outcome: StoreOutcome) {
        let retry_at = Some(self.now + COMMIT_RETRY_DELAY);
        let Some(open) = &mut self.commits.open else {
            return;
        };
        match outcome {
            StoreOutcome::Applied { version } => {
                self.finish_commit(&FlushOutcome::Committed(version));
            }
            StoreOutcome::Conflict { keys } if open.uncertain => {
                open.conflicts = keys;
                self.read_head();
            }
            StoreOutcome::Conflict { keys } => self.finish_commit(&FlushOutcome::Conflict(keys)),
            StoreOutcome::Lost if !self.settings.guards.enforces(GuardName::ReadBack) => {
                // Only reached in a check that disables the guard: assumes that the write took effect.
                self.finish_commit(&FlushOutcome::Committed(0));
            }
            StoreOutcome::Lost => {
                open.uncertain = true;
                open.retry_at = retry_at;
            }
            StoreOutcome::Busy | StoreOutcome::Rows(_) => open.retry_at = retry_at,
        }
    }

    /// Reads the head row of one partition of the open commit.
    ///
    /// One row is enough, because the transaction takes effect as a whole or not
    /// at all. If no partition of the commit is owned any more, the commit is
    /// abandoned.
    fn read_head(&mut self) {
        let Some(open) = &self.commits.open else {
            return;
        };
        let first_owner = open
            .parts
            .iter()
            .find_map(|(index, _)| self.teams.get(index));
        let Some(owner) = first_owner else {
            self.commits.open = None;
            return;
        };
        let key = owner.head_key();
        self.send_store_request(StorePurpose::ReadHead, StoreRequest::Read { key });
    }

    /// Handles the head row that shows whether an uncertain commit took effect.
    pub(super) fn handle_head(&mut self, outcome: StoreOutcome) {
        let retry_at = Some(self.now + COMMIT_RETRY_DELAY);
        let Some(open) = &mut self.commits.open else {
            return;
        };
        let StoreOutcome::Rows(rows) = outcome else {
            open.retry_at = retry_at;
            return;
        };
        let keys = std::mem::take(&mut open.conflicts);
        let parts = open.parts.clone();
        let committed = rows.iter().find_map(|row| {
            let took_effect = parts.iter().any(|(index, _)| {
                self.teams.get(index).is_some_and(|owner| {
                    owner.head_key() == row.key && owner.is_head_in_flight(&row.value)
                })
            });
            took_effect.then_some(row.version)
        });
        let outcome = match committed {
            Some(version) => FlushOutcome::Committed(version),
            None => FlushOutcome::Conflict(keys),
        };
        self.finish_commit(&outcome);
    }

    /// Passes the outcome of the commit to its partitions; drops those that are no longer owned.
    fn finish_commit(&mut self, outcome: &FlushOutcome) {
        let Some(open) = self.commits.open.take() else {
            return;
        };
        if matches!(outcome, FlushOutcome::Conflict(_)) {
            self.tally.retry(RetryReason::StoreConflict);
            self.lease.scan_soon();
        }
        for (index, epoch) in open.parts {
            let mut still_owned = true;
            self.with_team_partition(index, |owner, _, ctx| {
                if owner.epoch() == epoch {
                    still_owned = owner.end_flush(outcome, ctx);
                }
            });
            if !still_owned {
                self.drop_partition(PartitionKey::team(index));
            }
        }
    }
}
