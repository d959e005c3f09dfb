//! Attempts that may be running, and when to say something about each.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Attempt, CellTime, Epoch, PartitionIndex};
use crate::link::TaskId;

/// An attempt that may be running, and what was last said and heard of it.
#[derive(Clone, Debug)]
pub(super) struct AttemptWatch {
    pub(super) attempt: Attempt,
    pub(super) partition: PartitionIndex,
    pub(super) next_say: CellTime,
    pub(super) said_epoch: Option<Epoch>,
    pub(super) since: CellTime,
    pub(super) queued: bool,
    pub(super) held: bool,
    pub(super) leaving: bool,
    pub(super) withdrawing: bool,
}

impl AttemptWatch {
    pub(super) fn new(attempt: Attempt, partition: PartitionIndex, now: CellTime) -> Self {
        Self {
            attempt,
            partition,
            next_say: now,
            said_epoch: None,
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
pub(super) struct AttemptBook {
    watches: BTreeMap<TaskId, AttemptWatch>,
    due: BTreeSet<(CellTime, TaskId)>,
    placed: BTreeMap<PartitionIndex, BTreeSet<TaskId>>,
    epochs: BTreeMap<PartitionIndex, Epoch>,
}

impl AttemptBook {
    pub(super) fn get(&self, id: &TaskId) -> Option<&AttemptWatch> {
        self.watches.get(id)
    }

    /// Puts a watch in, in place of one for an earlier attempt.
    pub(super) fn insert(&mut self, id: &TaskId, watch: AttemptWatch) {
        self.remove(id);
        self.due.insert((watch.next_say, id.clone()));
        let placed = self.placed.entry(watch.partition).or_default();
        placed.insert(id.clone());
        self.watches.insert(id.clone(), watch);
    }

    pub(super) fn remove(&mut self, id: &TaskId) {
        let Some(watch) = self.watches.remove(id) else {
            return;
        };
        self.due.remove(&(watch.next_say, id.clone()));
        if let Some(placed) = self.placed.get_mut(&watch.partition) {
            placed.remove(id);
        }
    }

    /// Changes a watch, if there is one.
    pub(super) fn edit(&mut self, id: &TaskId, change: impl FnOnce(&mut AttemptWatch)) {
        let Some(watch) = self.watches.get_mut(id) else {
            return;
        };
        let before = watch.next_say;
        change(watch);
        let after = watch.next_say;
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
    pub(super) fn note_epochs<'a>(
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
            self.edit(&id, |watch| watch.next_say = watch.next_say.min(now));
        }
    }
}
