//! Downtime of long-running tasks, and their restart deadline.
//!
//! A long-running task serves users continuously and may be down for about nine seconds in total. In this
//! time its worker must be known to have ended, a free worker or capacity must be found, and the task must
//! start; a suspect also waits until it may start. These waits add up, and each may have passed under
//! another leader. So the ledger records since when a task has been down: an end is committed with the time
//! of the last contact with the run, not with the time at which it was declared lost. Every leader counts
//! from that time. A wait that only serves to collect evidence, such as that of a suspect, ends when
//! [`is_past_restart_deadline`](EntryCore::is_past_restart_deadline) returns true.

use std::time::Duration;

use super::EntryCore;
use crate::ids::{WallMillis, WorkerId};
use crate::job::StepSpec;
use crate::ledger::{EndKind, TaskRecord};

/// Longest time for which a long-running task may be down: the users allow six seconds after its last run,
/// and three more during which it does not run at all.
const MAX_DOWNTIME: Duration = Duration::from_secs(9);
/// Time reserved for a start, from the decision until the worker runs the task. It takes 0.3 to 0.7 s: up
/// to 0.25 s until waiting steps are evaluated again, two messages to the worker, and a write.
const START_TIME: Duration = Duration::from_millis(1_200);

impl EntryCore {
    /// Returns whether a task is past its restart deadline, so that it starts wherever there is capacity.
    ///
    /// **NOTE:** This uses the time of day, because leaders share no other clock. If that has been set back,
    /// the task counts as down for a shorter time, and its waits end by their own limits.
    pub(super) fn is_past_restart_deadline(&self, spec: &StepSpec, task: &TaskRecord) -> bool {
        self.reaches_restart_deadline(spec, task, Duration::ZERO)
    }

    /// Returns whether a task is past its restart deadline, or will be after a time if it is still down.
    pub(super) fn reaches_restart_deadline(
        &self,
        spec: &StepSpec,
        task: &TaskRecord,
        within: Duration,
    ) -> bool {
        let downtime = Duration::from_millis(self.wall.saturating_sub(task.ended_at));
        let ran = task.ended_at > 0;
        spec.lasting && ran && downtime + within >= MAX_DOWNTIME - START_TIME
    }

    /// Returns the last contact with a run whose end no run list will report, by the time of day.
    ///
    /// If a worker never answered this leader, nothing shows that it was up when this leader started. It may
    /// already have been out of contact for as long as its lease.
    pub(super) fn last_contact_with_run(&self, id: &WorkerId, how: EndKind) -> WallMillis {
        let state = self
            .lead
            .as_deref()
            .and_then(|lead| lead.worker_states.get(id));
        let lost = matches!(how, EndKind::Lost | EndKind::Crashed(_));
        let Some(state) = state.filter(|_| lost) else {
            return self.wall;
        };
        let without_contact = match state.last_contact {
            Some(at) => self.age(at),
            None => self.age(state.known_at) + self.lease_duration(),
        };
        self.wall.saturating_sub(without_contact.as_millis() as u64)
    }
}
