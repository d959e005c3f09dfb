//! For how long a task that lasts has been away, and whether it may be kept waiting any more.
//!
//! Such a task serves users all the while, and may be away for some nine seconds in all: until its
//! worker is sure to be over, for a turn, a free worker or room, and until it is started. The waits add
//! up, and each may have passed under another leader. So the ledger tells since when a task has been
//! away: an end is kept with the time of the last word of the run, not with that at which it was given
//! up, and whoever leads reckons from there. A wait that is there for evidence alone, as a suspect's
//! for its turn, ends when [`is_past_restart_deadline`](EntryCore::is_past_restart_deadline) says so.

use std::time::Duration;

use super::EntryCore;
use crate::ids::{WallMillis, WorkerId};
use crate::job::StepSpec;
use crate::ledger::{EndKind, TaskRecord};

/// Longest that a task that lasts may be away: the users' six seconds from its last run on, and three
/// in which nothing of it runs.
const LONGEST_AWAY: Duration = Duration::from_secs(9);
/// Time that a start takes from when it is decided on until the worker runs it: 0.25 s until waiting
/// steps are gone through again, two ways to the worker and a write, together 0.3 to 0.7 s as measured.
const START_TIME: Duration = Duration::from_millis(1_200);

impl EntryCore {
    /// Tells whether a task has been away for so long that it is started wherever there is room.
    ///
    /// **NOTE:** By the time of day, since no other clock is common to leaders. Where that has fallen
    /// since, the task counts as away for less, and its waits end by their own bounds.
    pub(super) fn is_past_restart_deadline(&self, spec: &StepSpec, task: &TaskRecord) -> bool {
        let away = self.wall.saturating_sub(task.ended_at);
        let ran = task.ended_at > 0;
        spec.lasting && ran && Duration::from_millis(away) >= LONGEST_AWAY - START_TIME
    }

    /// When a run was last heard of that no list will tell of, by the time of day.
    ///
    /// Of a worker that this leader has never heard nothing tells that it lived when the lead began: it
    /// may have been silent for as long as its hold.
    pub(super) fn last_contact_with_run(&self, id: &WorkerId, how: EndKind) -> WallMillis {
        let state = self
            .lead
            .as_deref()
            .and_then(|lead| lead.worker_states.get(id));
        let lost = matches!(how, EndKind::Lost | EndKind::Crashed(_));
        let Some(state) = state.filter(|_| lost) else {
            return self.wall;
        };
        let silent = match state.last_contact {
            Some(at) => self.age(at),
            None => self.age(state.known_at) + self.lease_duration(),
        };
        self.wall.saturating_sub(silent.as_millis() as u64)
    }
}
