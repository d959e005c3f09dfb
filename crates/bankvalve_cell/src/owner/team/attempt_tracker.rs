//! Attempts that may be running, and when to send the next message about each.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Attempt, CellTime, Epoch, PartitionIndex};
use crate::link::TaskId;

/// An attempt that may be running, with what was last sent and reported about it.
#[derive(Clone, Debug)]
pub(super) struct TrackedAttempt {
    pub(super) attempt: Attempt,
    pub(super) partition: PartitionIndex,
    /// When the next order or withdrawal is due.
    pub(super) next_send: CellTime,
    /// Epoch of the worker partition when the last message became due, `None` before the first.
    pub(super) sent_epoch: Option<Epoch>,
    /// When this owner began to track the attempt.
    pub(super) since: CellTime,
    pub(super) queued: bool,
    /// Whether the worker partition's owner has reported a reservation for this gang task.
    pub(super) held: bool,
    /// Whether the attempt's worker is draining or no longer listed as live.
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

/// Tracked attempts, indexed by task, by due time and by worker partition.
///
/// A step visits only the attempts whose next message is due, so its cost
/// does not grow with the number of attempts that run.
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

    /// Tracks an attempt, in place of an earlier attempt of the same task.
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

    /// Changes a task's tracked attempt, if there is one, and indexes its new due time.
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

    /// Returns the tasks whose next message is due at `now`.
    pub(super) fn due_by(&self, now: CellTime) -> Vec<TaskId> {
        let due = self.due.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| id.clone()).collect()
    }

    /// Makes messages about attempts due in worker partitions whose epoch has changed.
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
