//! One commit at a time for all team partitions of the instance.

use std::time::Duration;

use super::store_requests::StorePurpose;
use super::InstanceCore;
use crate::ids::{CellTime, PartitionIndex};
use crate::link::{StoreOutcome, StoreRequest, TableTransaction};
use crate::membership::PartitionKey;
use crate::owner::{FlushOutcome, GuardName};
use crate::refusal::RetryReason;

/// Time after which an unanswered commit is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(250);

/// The commit that was sent to the table service.
#[derive(Clone, Debug)]
struct OpenCommit {
    txn: TableTransaction,
    parts: Vec<(PartitionIndex, u64)>,
    /// Conditions that failed, once it is known that they did.
    conflicts: Vec<String>,
    again_at: Option<CellTime>,
    /// Whether an answer was lost, so that it may have taken effect.
    doubtful: bool,
}

/// The instance's commits.
#[derive(Clone, Debug, Default)]
pub(super) struct CommitState {
    open: Option<OpenCommit>,
    last: CellTime,
}

impl InstanceCore {
    /// Sends the next commit, or the last one again.
    pub(super) fn run_commit(&mut self) {
        if let Some(open) = &self.commits.open {
            if open.again_at.is_some_and(|at| at <= self.now) {
                self.send_commit_again();
            }
            return;
        }
        if self.now < self.commits.last + self.settings.timings.commit_pace {
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
        self.commits.last = self.now;
        let request = StoreRequest::Apply(txn.clone());
        self.commits.open = Some(OpenCommit {
            txn,
            parts,
            conflicts: Vec::new(),
            again_at: None,
            doubtful: false,
        });
        self.send_store_request(StorePurpose::Commit, request);
    }

    fn send_commit_again(&mut self) {
        let Some(open) = &mut self.commits.open else {
            return;
        };
        open.again_at = None;
        if open.conflicts.is_empty() {
            let request = StoreRequest::Apply(open.txn.clone());
            self.send_store_request(StorePurpose::Commit, request);
        } else {
            self.read_head();
        }
    }

    /// Takes the answer to a commit.
    ///
    /// A lost answer is resolved by sending the same transaction again: its
    /// conditions let it take effect once at most. If it then conflicts, the
    /// head row tells whether the first one took effect.
    pub(super) fn handle_commit(&mut self, outcome: StoreOutcome) {
        let again_at = Some(self.now + TRY_AGAIN);
        let Some(open) = &mut self.commits.open else {
            return;
        };
        match outcome {
            StoreOutcome::Applied { version } => {
                self.end_commit(&FlushOutcome::Committed(version));
            }
            StoreOutcome::Conflict { keys } if open.doubtful => {
                open.conflicts = keys;
                self.read_head();
            }
            StoreOutcome::Conflict { keys } => self.end_commit(&FlushOutcome::Conflict(keys)),
            StoreOutcome::Lost if !self.settings.guards.enforces(GuardName::ReadBack) => {
                // Only a check that takes the guard away believes this.
                self.end_commit(&FlushOutcome::Committed(0));
            }
            StoreOutcome::Lost => {
                open.doubtful = true;
                open.again_at = again_at;
            }
            StoreOutcome::Busy | StoreOutcome::Rows(_) => open.again_at = again_at,
        }
    }

    fn read_head(&mut self) {
        let Some(open) = &self.commits.open else {
            return;
        };
        let held = open
            .parts
            .iter()
            .find_map(|(index, _)| self.teams.get(index));
        let Some(owner) = held else {
            self.commits.open = None;
            return;
        };
        let key = owner.head_key();
        self.send_store_request(StorePurpose::ReadHead, StoreRequest::Read { key });
    }

    /// Takes the head row that tells whether a doubtful commit took effect.
    pub(super) fn handle_head(&mut self, outcome: StoreOutcome) {
        let again_at = Some(self.now + TRY_AGAIN);
        let Some(open) = &mut self.commits.open else {
            return;
        };
        let StoreOutcome::Rows(rows) = outcome else {
            open.again_at = again_at;
            return;
        };
        let keys = std::mem::take(&mut open.conflicts);
        let parts = open.parts.clone();
        let committed = rows.iter().find_map(|row| {
            let own = parts.iter().any(|(index, _)| {
                self.teams.get(index).is_some_and(|owner| {
                    owner.head_key() == row.key && owner.is_head_in_flight(&row.value)
                })
            });
            own.then_some(row.version)
        });
        let outcome = match committed {
            Some(version) => FlushOutcome::Committed(version),
            None => FlushOutcome::Conflict(keys),
        };
        self.end_commit(&outcome);
    }

    fn end_commit(&mut self, outcome: &FlushOutcome) {
        let Some(open) = self.commits.open.take() else {
            return;
        };
        if matches!(outcome, FlushOutcome::Conflict(_)) {
            self.tally.retry(RetryReason::StoreConflict);
            self.lease.scan_soon();
        }
        for (index, epoch) in open.parts {
            let mut kept = true;
            self.with_team_partition(index, |owner, _, ctx| {
                if owner.epoch() == epoch {
                    kept = owner.end_flush(outcome, ctx);
                }
            });
            if !kept {
                self.drop_partition(PartitionKey::team(index));
            }
        }
    }
}
