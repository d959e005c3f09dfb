//! Attempts that may be running, and when to say something about each.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Attempt, CellTime, Epoch, PartitionIndex};
use crate::link::TaskId;

/// An attempt that may be running, and what was last said and heard of it.
#[derive(Clone, Debug)]
pub(super) struct TrackedAttempt {
    pub(super) attempt: Attempt,
    pub(super) partition: PartitionIndex,
    pub(super) next_send: CellTime,
    pub(super) sent_epoch: Option<Epoch>,
    pub(super) since: CellTime,
    pub(super) queued: bool,
    pub(super) held: bool,
    pub(super) leaving: bool,
    pub(super) withdrawing: bool,
}

impl TrackedAttempt {
    pub(super) fn new(attempt: Attempt, partition: PartitionIndex, now: CellTime) -> Self {
        Self {
            attempt,
            partition,
            next_send: now,
            sent_epoch: None,
            since: now,
            queued: false,
            held: false,
            leaving: false,
            withdrawing: false,
        }
    }
}

/// Watches by task, by time and by worker partition.
///
/// A step looks only at what is due, so that its cost does not grow with
/// what merely runs.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptTracker {
    tracked_attempts: BTreeMap<TaskId, TrackedAttempt>,
    due: BTreeSet<(CellTime, TaskId)>,
    placed: BTreeMap<PartitionIndex, BTreeSet<TaskId>>,
    epochs: BTreeMap<PartitionIndex, Epoch>,
}

impl AttemptTracker {
    pub(super) fn get(&self, id: &TaskId) -> Option<&TrackedAttempt> {
        self.tracked_attempts.get(id)
    }

    /// Puts a watch in, in place of one for an earlier attempt.
    pub(super) fn insert(&mut self, id: &TaskId, tracked: TrackedAttempt) {
        self.remove(id);
        self.due.insert((tracked.next_send, id.clone()));
        let placed = self.placed.entry(tracked.partition).or_default();
        placed.insert(id.clone());
        self.tracked_attempts.insert(id.clone(), tracked);
    }

    pub(super) fn remove(&mut self, id: &TaskId) {
        let Some(tracked) = self.tracked_attempts.remove(id) else {
            return;
        };
        self.due.remove(&(tracked.next_send, id.clone()));
        if let Some(placed) = self.placed.get_mut(&tracked.partition) {
            placed.remove(id);
        }
    }

    /// Changes a watch, if there is one.
    pub(super) fn edit(&mut self, id: &TaskId, change: impl FnOnce(&mut TrackedAttempt)) {
        let Some(tracked) = self.tracked_attempts.get_mut(id) else {
            return;
        };
        let before = tracked.next_send;
        change(tracked);
        let after = tracked.next_send;
        if before != after {
            self.due.remove(&(before, id.clone()));
            self.due.insert((after, id.clone()));
        }
    }

    /// Tasks about which something is to be said by a time.
    pub(super) fn due_by(&self, now: CellTime) -> Vec<TaskId> {
        let due = self.due.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| id.clone()).collect()
    }

    /// Makes the watches of worker partitions that have a new owner due.
    pub(super) fn record_epochs<'a>(
        &mut self,
        now: CellTime,
        epochs: impl Iterator<Item = (&'a PartitionIndex, Epoch)>,
    ) {
        let mut moved = Vec::new();
        for (partition, epoch) in epochs {
            if self.epochs.get(partition) != Some(&epoch) {
                self.epochs.insert(*partition, epoch);
                moved.extend(self.placed.get(partition).into_iter().flatten().cloned());
            }
        }
        for id in moved {
            self.edit(&id, |tracked| {
                tracked.next_send = tracked.next_send.min(now)
            });
        }
    }
}
