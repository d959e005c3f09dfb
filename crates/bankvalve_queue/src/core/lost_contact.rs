//! Tracking of tasks that wait because their worker is out of contact.
//!
//! The last run of such a task is assumed to be still running there. `restart_waits` tracks tasks whose
//! run has ended and that have not started again. [`TaskWaits`] counts both.
//!
//! This module decides nothing. About ten times a second, [`EntryCore::track_waits`] scans the state on which
//! `lease_renewal` and `placement` base their decisions. It logs when a task starts or stops waiting and for
//! which reason, and counts such tasks for the metrics. `assumed_run` calculates for how long a worker that
//! is out of contact may still run its tasks; its result must agree with `lease_renewal`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::lead_state::LeadState;
use super::lease_renewal::UNCONFIRMED_LIMIT;
use super::live_run::{LiveRun, RunPhase};
use super::task_waits::{StartWait, TaskWaits, WaitReason};
use super::worker_state::{
    WorkerState, ANSWER_SLACK, CLOCK_SLACK, SLOW_CLOCK_PERCENT, UNRESPONSIVE_AFTER,
};
use super::EntryCore;
use crate::ids::{CoreTime, RunId, StepKey, TaskKey, WorkerId};
use crate::ledger::{JobOutcome, JobRecord, TaskPhase};

/// Interval between two scans of waiting tasks: less than a tenth of the shortest wait that is logged, which
/// is [`UNRESPONSIVE_AFTER`].
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Added to [`SCAN_INTERVAL`] for each waiting task: about forty times the cost of scanning one. So
/// scans never take more than a fortieth of a core. Because [`SCAN_INTERVAL`] is added too, they take at most
/// a hundredth as long as the waiting tasks number only a few thousand.
const SCAN_INTERVAL_PER_TASK: Duration = Duration::from_micros(20);
/// Time within which a worker usually answers a new leader. The first poll times out after about 0.6 s,
/// and the next one follows 0.25 s later.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A run that is assumed to be running on a worker that is out of contact.
#[derive(Clone, Debug)]
struct LostContactRun {
    worker: WorkerId,
    run: RunId,
    /// When the worker last answered, or, if it never did, when this leader started to poll it.
    since: CoreTime,
    reason: WaitReason,
}

/// A task whose run has ended.
#[derive(Clone, Debug)]
pub(super) struct EndedRun {
    pub(super) run: RunId,
    /// When it ended, or when this leader first scanned if it ended under a former leader.
    pub(super) since: CoreTime,
    /// Why the task had not started at the last scan; `None` until it has waited long enough to be reported.
    pub(super) reason: Option<StartWait>,
    /// For how long each reason was found, in the order of [`StartWait::ALL`].
    pub(super) waited: [Duration; StartWait::ALL.len()],
    /// When the reason was last determined.
    pub(super) scanned_at: CoreTime,
}

impl EndedRun {
    /// Returns the reason for most of the wait, or `None` if the task has not waited long enough to be
    /// reported.
    fn main_reason(&self) -> Option<StartWait> {
        self.reason?;
        let waited = |reason: &StartWait| self.waited[*reason as usize];
        StartWait::ALL.into_iter().max_by_key(waited)
    }

    /// Records the reason for the wait since the last scan.
    pub(super) fn record_reason(&mut self, reason: StartWait, now: CoreTime) {
        self.waited[reason as usize] += now.saturating_sub(self.scanned_at);
        self.scanned_at = now;
    }

    /// Returns the log text on how the wait so far divides into reasons.
    pub(super) fn parts_text(&self) -> String {
        let parts = StartWait::ALL.into_iter().filter_map(|reason| {
            let waited = self.waited[reason as usize];
            (!waited.is_zero()).then(|| format!("{} {:?}", reason.as_str(), rounded(waited)))
        });
        parts.collect::<Vec<_>>().join(", ")
    }
}

/// Waiting tasks that a leader tracks.
#[derive(Debug, Default)]
pub(super) struct WaitTracker {
    /// Time of the first scan by this leader, which has read the entire ledger by then.
    first_scan: Option<CoreTime>,
    next_scan: CoreTime,
    lost_contact: BTreeMap<TaskKey, LostContactRun>,
    pub(super) ended: BTreeMap<TaskKey, EndedRun>,
}

/// Why a run on a worker that is out of contact is assumed to be running.
struct AssumedRun {
    reason: WaitReason,
    /// When the run stops being assumed to be running, even without contact; `None` if that is not known.
    until: Option<CoreTime>,
}

impl WaitTracker {
    /// Records that a run ended without success.
    pub(super) fn record_end(&mut self, task: TaskKey, run: RunId, now: CoreTime) {
        let ended = EndedRun {
            run,
            since: now,
            reason: None,
            waited: Default::default(),
            scanned_at: now,
        };
        self.ended.insert(task, ended);
    }

    /// Stops tracking a run, and returns the text for the log line on its end: for how long its worker was
    /// out of contact, and the last reason for the wait. It is empty if the worker was in contact.
    pub(super) fn take_lost_contact_text(
        &mut self,
        task: &TaskKey,
        run: RunId,
        now: CoreTime,
    ) -> String {
        let is_same_run = |lost_contact: &LostContactRun| lost_contact.run == run;
        if !self.lost_contact.get(task).is_some_and(is_same_run) {
            return String::new();
        }
        let lost_contact = self.lost_contact.remove(task);
        lost_contact.map_or_else(String::new, |lost_contact| {
            let waited = rounded(now.saturating_sub(lost_contact.since));
            format!(
                ", out of contact for {waited:?}, last reason {}",
                lost_contact.reason.as_str()
            )
        })
    }

    /// Returns the text for the log line on a start: for how long the task waited since its last run ended.
    pub(super) fn start_text(&self, task: &TaskKey, now: CoreTime) -> String {
        let Some(ended) = self.ended.get(task) else {
            return String::new();
        };
        let waited = rounded(now.saturating_sub(ended.since));
        let run = ended.run;
        match ended.main_reason() {
            Some(reason) => {
                let reason = reason.as_str();
                format!(", {waited:?} after run {run} ended, mostly {reason}")
            }
            None => format!(", {waited:?} after run {run} ended"),
        }
    }

    /// Returns the counts, and the longest waits up to `now`.
    fn waits(&self, now: CoreTime) -> TaskWaits {
        let mut waits = TaskWaits::default();
        for lost_contact in self.lost_contact.values() {
            waits.lost_contact[lost_contact.reason as usize] += 1;
            let age = now.saturating_sub(lost_contact.since);
            waits.oldest_lost_contact = waits.oldest_lost_contact.max(Some(age));
        }
        for ended in self.ended.values() {
            if let Some(reason) = ended.reason {
                waits.starts[reason as usize] += 1;
                let age = now.saturating_sub(ended.since);
                waits.oldest_start = waits.oldest_start.max(Some(age));
            }
        }
        waits
    }
}

impl WorkerState {
    /// Returns when every lease that this leader renewed has expired, or `None` if the worker's clock is not
    /// known.
    fn lease_expires_at(&self) -> Option<CoreTime> {
        let (at, reading) = self.clock?;
        let left = Duration::from_millis(self.lease_until.saturating_sub(reading));
        Some(at + CLOCK_SLACK + left * 100 / (100 - SLOW_CLOCK_PERCENT))
    }

    /// Returns the log text on where a run is assumed to be running, and what is known about the worker.
    fn lost_contact_text(&self, now: CoreTime, since: CoreTime) -> String {
        let address = match self.entry.address.as_str() {
            "" => "address unknown",
            address => address,
        };
        let entry = match (self.listed, self.unlisted_at) {
            (true, _) => "entry listed".to_owned(),
            (false, Some(at)) => {
                let gone = rounded(now.saturating_sub(at));
                format!("entry gone for {gone:?}")
            }
            (false, None) => "entry never seen by this leader".to_owned(),
        };
        let without_contact = rounded(now.saturating_sub(since));
        let contact_text = if self.last_contact.is_some() {
            "no contact for"
        } else {
            "no contact since this leader started, for"
        };
        let port = if self.refused {
            ", its port refuses"
        } else {
            ""
        };
        format!("{address}, {entry}, {contact_text} {without_contact:?}{port}")
    }
}

impl EntryCore {
    /// Returns the counts of tasks that have run before and do not run now, for the metrics.
    pub(super) fn task_waits(&self) -> TaskWaits {
        let lead = self.lead.as_deref();
        lead.map_or_else(TaskWaits::default, |lead| lead.wait_tracker.waits(self.now))
    }

    /// Scans what tasks wait for, if a scan is due, and logs changes.
    pub(super) fn track_waits(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let tracker = &mut lead.wait_tracker;
        if now < tracker.next_scan {
            return;
        }
        let waiting = tracker.lost_contact.len() + tracker.ended.len();
        tracker.next_scan = now + SCAN_INTERVAL + SCAN_INTERVAL_PER_TASK * waiting as u32;
        if tracker.first_scan.is_none() {
            tracker.first_scan = Some(now);
            self.adopt_ended();
        }
        self.track_lost_contact();
        self.track_restart_waits();
    }

    /// Starts tracking tasks whose runs ended under a former leader.
    fn adopt_ended(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let open = |job: &&JobRecord| job.outcome == JobOutcome::Open;
        for job in self.book.jobs().filter(open) {
            for (time, record) in &job.times {
                for (number, step) in record.steps.iter().enumerate() {
                    let key = StepKey {
                        job: job.spec.id,
                        time: *time,
                        step: number as u16,
                    };
                    for (index, task) in step.tasks.iter().enumerate() {
                        if task.phase == TaskPhase::Waiting && task.last_run > 0 {
                            let task_key = key.task(index as u32);
                            lead.wait_tracker.record_end(task_key, task.last_run, now);
                        }
                    }
                }
            }
        }
    }

    fn track_lost_contact(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let found = self.find_lost_contact(lead);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let before = std::mem::take(&mut lead.wait_tracker.lost_contact);
        let mut began = Vec::new();
        for (task, (lost_contact, until)) in &found {
            let known = before.get(task).filter(|old| old.run == lost_contact.run);
            if known.is_none_or(|old| old.reason != lost_contact.reason) {
                began.push((*task, lost_contact.clone(), *until));
            }
        }
        let is_finished = |(task, old): &(TaskKey, LostContactRun)| {
            let current = found.get(task);
            current.is_none_or(|(lost_contact, _)| lost_contact.run != old.run)
        };
        let finished: Vec<(TaskKey, LostContactRun)> =
            before.into_iter().filter(is_finished).collect();
        lead.wait_tracker.lost_contact = found
            .into_iter()
            .map(|(task, (lost_contact, _))| (task, lost_contact))
            .collect();
        for (task, lost_contact, until) in began {
            if self.log_budget.may_log(now, "runs", "unheard") {
                let detail = self.lost_contact_text(&lost_contact, until);
                self.log("runs", "unheard", task.to_string(), detail);
            }
        }
        for (task, lost_contact) in finished {
            self.log_wait_ended(task, &lost_contact);
        }
    }

    /// Returns the tasks that wait for workers that are out of contact, each with the time at which its wait
    /// ends even without contact.
    fn find_lost_contact(
        &self,
        lead: &LeadState,
    ) -> BTreeMap<TaskKey, (LostContactRun, Option<CoreTime>)> {
        let now = self.now;
        let mut found = BTreeMap::new();
        let mut timeout = None;
        for (id, state) in lead.worker_states.iter() {
            let Some(since) = self.out_of_contact_since(lead, state) else {
                continue;
            };
            let timeout = *timeout.get_or_insert_with(|| self.unresponsive_timeout(lead));
            for (task, live) in &state.runs {
                let waits = live.phase != RunPhase::Proposed && self.awaits_end(*task, live.run);
                if !waits {
                    continue;
                }
                let assumed = self.assumed_run(id, state, live, timeout);
                // The run is about to be declared lost. The log line on its end names the reason for the wait
                // so far, so that reason is kept.
                let before = lead.wait_tracker.lost_contact.get(task);
                let expired = assumed.until.is_some_and(|until| until <= now);
                let ends = expired && assumed.reason != WaitReason::Unconfirmed;
                let reason = match before {
                    Some(before) if ends => before.reason,
                    _ => assumed.reason,
                };
                let lost_contact = LostContactRun {
                    worker: id.clone(),
                    run: live.run,
                    since,
                    reason,
                };
                found.insert(*task, (lost_contact, assumed.until));
            }
        }
        found
    }

    /// Returns since when a worker with runs is out of contact, or `None` if it is in contact.
    fn out_of_contact_since(&self, lead: &LeadState, state: &WorkerState) -> Option<CoreTime> {
        if state.runs.is_empty() {
            return None;
        }
        let began = lead.wait_tracker.first_scan.unwrap_or(self.now);
        let (since, max_gap) = match state.last_contact {
            Some(at) => (at, UNRESPONSIVE_AFTER.max(state.poll_wait + ANSWER_SLACK)),
            None => (began.max(state.known_at), FIRST_ANSWER_TIMEOUT),
        };
        // A worker's answer may be queued behind the event that is being handled.
        let event_time = self.now.saturating_sub(self.lag);
        (event_time.saturating_sub(since) >= max_gap).then_some(since)
    }

    /// Returns whether a task of an open job waits for the end of a run.
    fn awaits_end(&self, task: TaskKey, run: RunId) -> bool {
        let job = self.book.job(task.step.job);
        job.is_some_and(|job| {
            let placed = job.task(task).is_some_and(
                |record| matches!(record.phase, TaskPhase::Placed { run: now, .. } if now == run),
            );
            placed && job.outcome == JobOutcome::Open
        })
    }

    /// Returns why a run on a worker that is out of contact is assumed to be running, and until when.
    fn assumed_run(
        &self,
        id: &WorkerId,
        state: &WorkerState,
        live: &LiveRun,
        timeout: Duration,
    ) -> AssumedRun {
        let now = self.now;
        let (lease_reason, expires_at) = if state.token_accepted {
            let former_limit = state.token_accepted_at + self.former_leaders.longest_lease();
            let former_expires_at = self.former_leases_expire_at(id).min(former_limit);
            (
                WaitReason::OwnHold,
                state.lease_expires_at().map(|at| at.max(former_expires_at)),
            )
        } else {
            let reason = if self.is_bounded_by_ledger(id) || self.former_leaders.are_known() {
                WaitReason::FormerHoldKnown
            } else {
                WaitReason::FormerHoldAssumed
            };
            (reason, Some(self.former_leases_expire_at(id)))
        };
        let timeout_from = state.last_contact.unwrap_or(state.known_at);
        let is_waited_for = state.listed && live.may_report_success();
        let timeout_at = is_waited_for.then(|| timeout_from + timeout);
        let until = expires_at.map(|at| timeout_at.map_or(at, |timeout_end| at.max(timeout_end)));
        let expired = expires_at.is_some_and(|at| now > at);
        let reason = if !self.may_command() {
            WaitReason::Unconfirmed
        } else if expired && timeout_at.is_some() {
            WaitReason::EntryListed
        } else {
            lease_reason
        };
        AssumedRun { reason, until }
    }

    /// Returns the log text on where and why a run is assumed to be running, and what would end the wait.
    fn lost_contact_text(&self, lost_contact: &LostContactRun, until: Option<CoreTime>) -> String {
        let now = self.now;
        let (run, worker) = (lost_contact.run, &lost_contact.worker);
        let lead = self.lead.as_deref();
        let Some((lead, state)) =
            lead.and_then(|lead| Some((lead, lead.worker_states.get(worker)?)))
        else {
            return format!("run {run} on {worker}");
        };
        let place = state.lost_contact_text(now, lost_contact.since);
        let reason = lost_contact.reason.as_str();
        let why = self.reason_text(lead, worker, state, lost_contact.reason);
        let unconfirmed = lost_contact.reason == WaitReason::Unconfirmed;
        let end = match until.map(|until| rounded(until.saturating_sub(now))) {
            Some(left) if unconfirmed => {
                format!(
                    "once this leader's leadership is confirmed again, and then by itself in at most \
                     {left:?} from now"
                )
            }
            Some(left) => format!("by itself in at most {left:?}"),
            None => "not by itself, because its clock is not known".to_owned(),
        };
        let poll_text = if state.entry.address.is_empty() {
            "it cannot be polled; ends "
        } else {
            "ends with its answer, another process at its address, or "
        };
        format!("run {run} on {worker}, {place}: {reason}, {why}; {poll_text}{end}")
    }

    fn reason_text(
        &self,
        lead: &LeadState,
        id: &WorkerId,
        state: &WorkerState,
        reason: WaitReason,
    ) -> String {
        match reason {
            WaitReason::OwnHold => {
                let reading = state.clock.map_or(0, |(_, reading)| reading);
                let lease = Duration::from_millis(state.lease_until.saturating_sub(reading));
                format!("lease until {lease:?} after its last answer by its clock")
            }
            WaitReason::FormerHoldKnown if self.is_bounded_by_ledger(id) => {
                "the ledger records that no leader renews its lease".to_owned()
            }
            WaitReason::FormerHoldKnown => {
                "it is known when the former leaders stopped, and which leases they requested"
                    .to_owned()
            }
            WaitReason::FormerHoldAssumed => {
                // Mutual contact: the leader and this instance recently received each other's heartbeats.
                // Without it, this instance does not know when the leader stopped (see `former_leaders`).
                let longest = self.settings.hold_limit;
                format!(
                    "a former leader was not in mutual contact with this instance: it is assumed to \
                     continue for {UNCONFIRMED_LIMIT:?}, and to request leases of {longest:?}"
                )
            }
            WaitReason::EntryListed => "its lease has expired, its entry still exists".to_owned(),
            WaitReason::Unconfirmed => {
                let unconfirmed = rounded(self.age(lead.confirmed_at));
                format!(
                    "the leadership of this leader has not been confirmed for {unconfirmed:?}, so it neither \
                     polls workers nor declares any lost"
                )
            }
        }
    }

    /// Logs that a task no longer waits for a worker that was out of contact. If the run has ended, the log
    /// line on its end says so instead.
    fn log_wait_ended(&mut self, task: TaskKey, lost_contact: &LostContactRun) {
        let now = self.now;
        let (run, worker) = (lost_contact.run, &lost_contact.worker);
        let lead = self.lead.as_deref();
        let state = lead.and_then(|lead| lead.worker_states.get(worker));
        let in_contact =
            state.is_some_and(|state| state.last_contact.is_some_and(|at| at > lost_contact.since));
        let end = if in_contact {
            "its worker answers"
        } else {
            "the run is no longer waited for"
        };
        let waited = rounded(now.saturating_sub(lost_contact.since));
        let reason = lost_contact.reason.as_str();
        // The event `heard` covers both cases: the worker answers, or the run is no longer waited for.
        self.log_often("runs", "heard", || {
            let detail = format!(
                "run {run} on {worker}: {end}, out of contact for {waited:?}, last reason {reason}"
            );
            (task.to_string(), detail)
        });
    }
}

/// Returns a duration in full milliseconds, for the log.
pub(super) fn rounded(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}
