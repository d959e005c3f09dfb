//! Tracking of tasks whose run has ended and that have not started again, for logs and metrics. This module
//! decides nothing.

use std::time::Duration;

use super::lost_contact::rounded;
use super::task_waits::StartWait;
use super::EntryCore;
use crate::ids::{RunId, TaskKey};
use crate::job::TaskSize;
use crate::ledger::{JobOutcome, TaskPhase};

/// Time after a run's end from which a wait for the next start is reported: about five times what an end, a
/// placement and a start take without faults.
const REPORTED_WAIT: Duration = Duration::from_secs(2);

impl EntryCore {
    /// Logs tasks that have waited long since their run ended, and stops tracking those that no longer wait.
    pub(super) fn track_restart_waits(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let mut ended = std::mem::take(&mut lead.wait_tracker.ended);
        ended.retain(|task, ended| self.still_waits(*task, ended.run));
        let mut largest_free = None;
        let mut reported = Vec::new();
        for (task, ended) in &mut ended {
            if now.saturating_sub(ended.since) < REPORTED_WAIT {
                continue;
            }
            let reason = self.start_wait(*task, &mut largest_free);
            if ended.reason.is_none() {
                let text = self.start_wait_text(*task, reason);
                reported.push((*task, ended.run, ended.since, text));
            }
            ended.reason = Some(reason);
            ended.found[reason as usize] += 1;
        }
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.wait_tracker.ended = ended;
        }
        for (task, run, since, reason) in reported {
            self.log_often("placer", "waits", || {
                let waited = rounded(now.saturating_sub(since));
                let detail = format!("run {run} ended {waited:?} ago, not started: {reason}");
                (task.to_string(), detail)
            });
        }
    }

    /// Returns the text for the log on why a task has not started; for a suspect, with the limits that it may
    /// wait for.
    fn start_wait_text(&self, task: TaskKey, reason: StartWait) -> String {
        match self.lead.as_deref() {
            Some(lead) if reason == StartWait::Suspect => {
                let ended_workers = self.ended_worker_of(&task).into_iter().collect();
                let trials = lead.trials.usage(&ended_workers, &lead.worker_states);
                format!("{}, {trials} including its own", reason.as_str())
            }
            _ => reason.as_str().to_owned(),
        }
    }

    /// Returns whether a task has not been placed again since a run ended.
    fn still_waits(&self, task: TaskKey, run: RunId) -> bool {
        let job = self.book.job(task.step.job);
        let open = job.filter(|job| job.outcome == JobOutcome::Open);
        open.and_then(|job| job.task(task))
            .is_some_and(|record| match &record.phase {
                TaskPhase::Waiting => true,
                TaskPhase::Placed { run: now, .. } => *now == run,
                TaskPhase::Done => false,
            })
    }

    /// Returns why a task has not started, as far as cheap checks show. `largest_free` caches the largest
    /// free capacity of each kind on any worker.
    fn start_wait(&self, task: TaskKey, largest_free: &mut Option<TaskSize>) -> StartWait {
        let now = self.now;
        let (Some(lead), Some(job)) = (self.lead.as_deref(), self.book.job(task.step.job)) else {
            return StartWait::Placing;
        };
        let step = task.step;
        if self.store_is_unavailable() {
            return StartWait::TableAway;
        }
        if !self.may_command() || !lead.workers_known {
            return StartWait::Unconfirmed;
        }
        if !lead.waiting.contains_key(&step) {
            return StartWait::Others;
        }
        let spec = job.spec.steps.get(usize::from(step.step));
        let past_deadline =
            |record| spec.is_some_and(|spec| self.is_past_restart_deadline(spec, record));
        if job
            .task(task)
            .is_some_and(|record| record.is_suspect() && !past_deadline(record))
        {
            return StartWait::Suspect;
        }
        let restarting = lead.restarting.get(&step);
        let awaited = restarting.is_some_and(|restarting| restarting.awaits_capacity());
        if awaited || lead.capacity_claims.contains_key(&step) {
            return StartWait::RoomMade;
        }
        let largest_free = *largest_free.get_or_insert_with(|| lead.max_free());
        if spec.is_some_and(|spec| !spec.resources().fits(&largest_free)) {
            return StartWait::NoRoom;
        }
        let permitted = |step| {
            let advice = lead.advice.get(step);
            advice.is_some_and(|advice| advice.permitted(now).next().is_some())
        };
        if job.terms.advice.is_some() && !permitted(&step) {
            return StartWait::Permits;
        }
        StartWait::Placing
    }
}
