//! Group commit: one conditional write commits a batch of proposed events.

use serde::{Deserialize, Serialize};

use super::team_partition::TeamPartition;
use crate::ids::{PartitionIndex, RowVersion, TeamName};
use crate::ledger::{LedgerBatch, LedgerEvent, LedgerSnapshot, RecordSegment};
use crate::link::{ObjectRequest, RowImage, TableTransaction, TaskId};
use crate::machine::TaskSize;
use crate::membership::PartitionKey;
use crate::owner::{GuardName, OwnerAction, OwnerContext};
use crate::refusal::RetryReason;
use crate::tally::InvariantKind;

/// Most events in one batch.
const BATCH_LIMIT: usize = 400;
/// Batches between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 160;
/// Most log rows deleted together with a snapshot.
const DELETE_LIMIT: usize = 320;
/// Most batches archived as one object, which is a segment.
const SEGMENT_LIMIT: usize = 64;
/// Number of waiting batches from which a segment is archived before `ARCHIVE_AFTER`.
const SEGMENT_THRESHOLD: usize = 24;
/// Time since the start of the previous segment after which fewer batches are archived too.
const ARCHIVE_AFTER: std::time::Duration = std::time::Duration::from_secs(30);

/// An event that waits to be committed, and the actions to request once it is.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) event: LedgerEvent,
    /// Worker partition whose row must still be at this version.
    pub(super) condition: Option<(PartitionIndex, RowVersion)>,
    pub(super) effects: Vec<OwnerAction>,
    /// Team, resources that the event reserves, and the quota that admitted them.
    pub(super) usage: Option<(TeamName, TaskSize, TaskSize)>,
}

impl Proposal {
    pub(super) fn of(event: LedgerEvent) -> Self {
        Self {
            event,
            condition: None,
            effects: Vec::new(),
            usage: None,
        }
    }

    pub(super) fn task(&self) -> Option<TaskId> {
        self.event.key().map(crate::link::TaskKey::id)
    }
}

/// A batch that was sent to the table service.
#[derive(Debug)]
pub(super) struct InFlightBatch {
    sequence: u64,
    bytes: Vec<u8>,
    proposals: Vec<Proposal>,
    snapshot: bool,
    deleted: Vec<u64>,
}

/// Outcome of the batch in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlushOutcome {
    /// The batch is committed, and its rows are at this version.
    Committed(RowVersion),
    /// Nothing was written, because these rows were not at the required version.
    Conflict(Vec<String>),
}

/// The head row, which names the last batch of the log.
///
/// Every commit of the partition requires its version and rewrites it, so commits take effect in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeadRow {
    sequence: u64,
    #[serde(with = "serde_bytes")]
    hash: [u8; 32],
}

impl TeamPartition {
    /// Queues an event for the next commit.
    pub(super) fn propose(&mut self, proposal: Proposal) {
        if let Some(task) = proposal.task() {
            self.uncommitted_tasks.insert(task);
        }
        if let Some((team, size, _)) = &proposal.usage {
            let pending = self.pending_usage.entry(team.clone()).or_default();
            *pending = pending.plus(*size);
        }
        self.pending.push(proposal);
    }

    /// Adds the next batch to a transaction; returns whether there was one.
    pub fn begin_flush(&mut self, txn: &mut TableTransaction, ctx: &OwnerContext<'_>) -> bool {
        if !self.loaded || self.batch_in_flight.is_some() || self.pending.is_empty() {
            return false;
        }
        let rest = self.pending.split_off(self.pending.len().min(BATCH_LIMIT));
        let proposals = std::mem::replace(&mut self.pending, rest);
        let batch = LedgerBatch {
            partition: self.index,
            sequence: self.sequence + 1,
            previous: self.chain,
            writer: self.writer.clone(),
            events: proposals
                .iter()
                .map(|proposal| proposal.event.clone())
                .collect(),
        };
        let bytes = batch.encode();
        let snapshot = self.sequence >= self.snapshot_sequence + SNAPSHOT_INTERVAL;
        self.require_rows(txn, &proposals, ctx);
        self.write_rows(txn, &batch, &bytes);
        let deleted = if snapshot {
            self.write_snapshot(txn)
        } else {
            Vec::new()
        };
        self.batch_in_flight = Some(InFlightBatch {
            sequence: batch.sequence,
            bytes,
            proposals,
            snapshot,
            deleted,
        });
        true
    }

    /// Returns the key of the head row, whose content shows whether the batch in flight was committed.
    pub fn head_key(&self) -> String {
        format!("{}head", Self::row_prefix(self.index))
    }

    /// Returns whether a head row is the one that the batch in flight writes.
    pub fn is_head_in_flight(&self, value: &[u8]) -> bool {
        let head = rmp_serde::from_slice::<HeadRow>(value).ok();
        let batch_in_flight = self.batch_in_flight.as_ref();
        head.zip(batch_in_flight)
            .is_some_and(|(head, batch_in_flight)| {
                head.sequence == batch_in_flight.sequence
                    && head.hash == LedgerBatch::hash_of(&batch_in_flight.bytes)
            })
    }

    /// Returns whether a head row names the last batch that was loaded.
    pub(super) fn matches_head(&self, row: Option<&RowImage>) -> bool {
        let head = row.and_then(|row| rmp_serde::from_slice::<HeadRow>(&row.value).ok());
        match head {
            None => self.sequence == 0,
            Some(head) => head.sequence == self.sequence && head.hash == self.chain,
        }
    }

    /// Handles the outcome of the batch in flight; returns whether the partition is still owned.
    pub fn end_flush(&mut self, outcome: &FlushOutcome, ctx: &mut OwnerContext<'_>) -> bool {
        match outcome {
            FlushOutcome::Committed(version) => {
                self.commit(*version, ctx);
                true
            }
            FlushOutcome::Conflict(keys) => {
                let own_row = PartitionKey::team(self.index).row_key();
                if keys.contains(&own_row) || keys.contains(&self.head_key()) {
                    return false;
                }
                self.drop_conflicting(keys, ctx);
                true
            }
        }
    }

    /// Returns the request that archives the next segment, if one is due.
    pub fn begin_archive(&mut self, ctx: &OwnerContext<'_>) -> Option<ObjectRequest> {
        let due = self.log.len() >= SEGMENT_THRESHOLD
            || (!self.log.is_empty() && ctx.now >= self.archive_due);
        if self.archiving.is_some() || !due {
            return None;
        }
        self.archive_due = ctx.now + ARCHIVE_AFTER;
        let segment: Vec<_> = self.log.iter().take(SEGMENT_LIMIT).collect();
        let first = segment.first()?.0;
        let last = segment.last()?.0;
        let batches = segment
            .iter()
            .map(|(_, bytes)| bytes.clone().into())
            .collect();
        self.archiving = Some(last);
        Some(ObjectRequest::Put {
            name: format!("record/{:04}/{first:012}-{last:012}", self.index),
            value: RecordSegment { batches }.encode(),
        })
    }

    /// Handles the outcome of archiving a segment.
    pub fn end_archive(&mut self, stored: bool, ctx: &mut OwnerContext<'_>) {
        let Some(last) = self.archiving.take() else {
            return;
        };
        if !stored {
            ctx.tally.retry(RetryReason::ObjectFailed);
            return;
        }
        self.archived = self.archived.max(last);
        self.log.retain(|(sequence, _)| *sequence > last);
    }

    fn require_rows(
        &self,
        txn: &mut TableTransaction,
        proposals: &[Proposal],
        ctx: &OwnerContext<'_>,
    ) {
        if ctx.guards.enforces(GuardName::CommitFence) {
            txn.require(PartitionKey::team(self.index).row_key(), self.row_version);
            txn.require(self.head_key(), self.head_version);
        }
        if !ctx.guards.enforces(GuardName::ReleaseFence) {
            return;
        }
        let mut rows: Vec<_> = proposals
            .iter()
            .filter_map(|proposal| proposal.condition)
            .collect();
        rows.sort_unstable();
        rows.dedup();
        for (partition, version) in rows {
            txn.require(PartitionKey::worker(partition).row_key(), version);
        }
    }

    fn write_rows(&self, txn: &mut TableTransaction, batch: &LedgerBatch, bytes: &[u8]) {
        let head = HeadRow {
            sequence: batch.sequence,
            hash: LedgerBatch::hash_of(bytes),
        };
        let head = rmp_serde::to_vec_named(&head).expect("a head can be encoded");
        txn.put(self.head_key(), head);
        txn.put(self.log_key(batch.sequence), bytes.to_vec());
    }

    /// Adds a snapshot of the state before the next batch to a transaction, and deletes archived log rows.
    ///
    /// Returns the sequence numbers of the deleted rows.
    fn write_snapshot(&self, txn: &mut TableTransaction) -> Vec<u64> {
        let key = format!("{}snap", Self::row_prefix(self.index));
        let snapshot =
            LedgerSnapshot::encode(self.sequence, &self.chain, self.archived, &self.ledger);
        txn.put(key, snapshot);
        let archived = |sequence: &&u64| **sequence <= self.archived;
        let deleted: Vec<u64> = self
            .rows
            .iter()
            .take_while(archived)
            .take(DELETE_LIMIT)
            .copied()
            .collect();
        for sequence in &deleted {
            txn.delete(self.log_key(*sequence));
        }
        deleted
    }

    fn log_key(&self, sequence: u64) -> String {
        format!("{}log/{sequence:012}", Self::row_prefix(self.index))
    }

    fn commit(&mut self, version: RowVersion, ctx: &mut OwnerContext<'_>) {
        let Some(batch_in_flight) = self.batch_in_flight.take() else {
            return;
        };
        let next = self.sequence + 1;
        ctx.tally.assert(
            InvariantKind::ChainUnbroken,
            batch_in_flight.sequence == next && version > self.head_version,
            || {
                format!(
                    "team partition {}: batch {} was committed after batch {}",
                    self.index,
                    batch_in_flight.sequence,
                    next - 1
                )
            },
        );
        self.head_version = version;
        self.sequence = batch_in_flight.sequence;
        self.chain = LedgerBatch::hash_of(&batch_in_flight.bytes);
        self.rows.insert(batch_in_flight.sequence);
        self.log
            .push_back((batch_in_flight.sequence, batch_in_flight.bytes));
        if batch_in_flight.snapshot {
            self.snapshot_sequence = batch_in_flight.sequence - 1;
        }
        for sequence in batch_in_flight.deleted {
            self.rows.remove(&sequence);
        }
        self.confirmed = true;
        ctx.tally.ledger_commits += 1;
        for proposal in batch_in_flight.proposals {
            ctx.tally.ledger_events += 1;
            self.apply_committed(proposal, ctx);
        }
    }

    fn apply_committed(&mut self, proposal: Proposal, ctx: &mut OwnerContext<'_>) {
        self.ledger.apply(&proposal.event);
        self.clear_uncommitted(&proposal);
        if let Some((team, _, quota)) = &proposal.usage {
            let used = self.ledger.usage_of(team);
            ctx.tally
                .assert(InvariantKind::Quota, used.fits_in(*quota), || {
                    format!("team {team} has reserved {used} of {quota}")
                });
        }
        if let Some(task) = proposal.task() {
            self.index_task(&task, ctx.now);
            if matches!(proposal.event, LedgerEvent::Intended { .. }) {
                self.waits.remove(&task);
            }
        } else if let Some((team, job)) = proposal.event.job() {
            self.index_job(team, job, ctx.now);
            if matches!(proposal.event, LedgerEvent::GangCommitted { .. }) {
                self.make_job_due(team, job, ctx.now, |_| true);
            }
        }
        for effect in proposal.effects {
            ctx.push_action(effect);
        }
    }

    /// Removes a proposal from the tasks with uncommitted events and from the pending usage.
    fn clear_uncommitted(&mut self, proposal: &Proposal) {
        if let Some(task) = proposal.task() {
            self.uncommitted_tasks.remove(&task);
        }
        if let Some((team, size, _)) = &proposal.usage {
            if let Some(pending) = self.pending_usage.get_mut(team) {
                *pending = pending.minus(*size);
            }
        }
    }

    /// Drops proposals that depend on a changed row of a worker partition, and queues the others again.
    fn drop_conflicting(&mut self, keys: &[String], ctx: &mut OwnerContext<'_>) {
        let Some(batch_in_flight) = self.batch_in_flight.take() else {
            return;
        };
        let conflicts = |proposal: &Proposal| {
            proposal.condition.is_some_and(|(partition, _)| {
                keys.contains(&PartitionKey::worker(partition).row_key())
            })
        };
        let (dropped, mut remaining): (Vec<_>, Vec<_>) =
            batch_in_flight.proposals.into_iter().partition(conflicts);
        for proposal in &dropped {
            ctx.tally.retry(RetryReason::StoreConflict);
            self.clear_uncommitted(proposal);
        }
        remaining.append(&mut self.pending);
        self.pending = remaining;
    }
}

impl InFlightBatch {
    pub(super) fn proposals(&self) -> impl Iterator<Item = &Proposal> {
        self.proposals.iter()
    }

    pub(super) fn proposals_mut(&mut self) -> impl Iterator<Item = &mut Proposal> {
        self.proposals.iter_mut()
    }
}
