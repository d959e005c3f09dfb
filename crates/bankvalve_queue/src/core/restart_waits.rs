//! Tracking of tasks whose run has ended and that have not started again, for logs and metrics. This module
//! decides nothing.

use std::time::Duration;

use super::lost_contact::rounded;
use super::placement::step_advice::StepAdvice;
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
            let reason = self.start_wait(*task, &mut largest_free);
            ended.record_reason(reason, now);
            if now.saturating_sub(ended.since) < REPORTED_WAIT {
                continue;
            }
            if ended.reason.is_none() {
                let text = self.start_wait_text(*task, reason);
                reported.push((*task, ended.run, ended.since, text));
            }
            ended.reason = Some(reason);
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
        let advice = lead.advice.get(&step);
        let permitted = advice.is_some_and(|advice| advice.permitted(now).next().is_some());
        if job.terms.advice.is_none() || permitted {
            return StartWait::Placing;
        }
        if advice.is_some_and(StepAdvice::is_in_flight) {
            StartWait::Advice
        } else {
            StartWait::Permits
        }
    }

    /// Logs the downtime of a long-running task that is placed again, and the parts that it consists of.
    pub(super) fn log_downtime(&mut self, task: TaskKey) {
        let Some(detail) = self.downtime_text(task) else {
            return;
        };
        self.log_often("placer", "downtime", || (task.to_string(), detail));
    }

    fn downtime_text(&self, task: TaskKey) -> Option<String> {
        let now = self.now;
        let lead = self.lead.as_deref()?;
        let job = self.book.job(task.step.job)?;
        let spec = job.spec.steps.get(usize::from(task.step.step))?;
        let record = job.task(task)?;
        let ended = lead.wait_tracker.ended.get(&task)?;
        if !spec.lasting || record.ended_at == 0 {
            return None;
        }
        let downtime = Duration::from_millis(self.wall.saturating_sub(record.ended_at));
        let waited = rounded(now.saturating_sub(ended.since));
        let before = downtime.saturating_sub(waited);
        let led = rounded(now.saturating_sub(lead.began_at));
        let epoch = lead.epoch;
        let parts = ended.parts_text();
        let requests = lead
            .advice
            .get(&task.step)
            .map_or_else(|| "no advice request".to_owned(), StepAdvice::requests_text);
        Some(format!(
            "{downtime:?} since the last contact with run {}: {before:?} until its end was known to this leader, \
             then {waited:?} ({parts}), {requests}, epoch {epoch} for {led:?}",
            ended.run
        ))
    }
}
