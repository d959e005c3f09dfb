//! Tracking of tasks that wait because their worker is out of contact.
//!
//! The last run of such a task is assumed to be still running there. `restart_waits` tracks tasks whose
//! run has ended and that have not started again. [`TaskWaits`] counts both.
//!
//! This module decides nothing. About ten times a second, [`EntryCore::watch_waits`] scans the state on which
//! `lease_renewal` and `placement` base their decisions. It logs when a task starts or stops waiting and for
//! which reason, and counts such tasks for the metrics. `belief_of` calculates for how long a worker that is
//! out of contact may still run its tasks; its result must agree with `lease_renewal`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::holds::UNCONFIRMED_LIMIT;
use super::lead::LeadState;
use super::live_run::{LiveRun, RunPhase};
use super::seat::{Seat, ANSWER_SLACK, CLOCK_SLACK, SILENT_LONG, SLOW_CLOCK_PERCENT};
use super::task_waits::{StartWait, TaskWaits, WaitReason};
use super::EntryCore;
use crate::ids::{CoreTime, RunId, StepKey, TaskKey, WorkerId};
use crate::ledger::{JobOutcome, JobRecord, TaskPhase};

/// Interval between two scans of waiting tasks: a tenth of the shortest wait that is logged.
const LOOK_PACE: Duration = Duration::from_millis(100);
/// Added to the interval for each waiting task: about forty times the cost of scanning one, so that
/// thousands of them take at most a hundredth of a core.
const LOOK_EACH: Duration = Duration::from_micros(20);
/// Time within which a worker usually answers a new leader. The first poll times out after about 0.6 s,
/// and the next one follows 0.25 s later.
const FIRST_ANSWER: Duration = Duration::from_millis(1_500);

/// A run that is assumed to be running on a worker that is out of contact.
#[derive(Clone, Debug)]
struct UnheardRun {
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
    /// How often each reason was found, in the order of [`StartWait::ALL`].
    pub(super) found: [u32; StartWait::ALL.len()],
}

impl EndedRun {
    /// Returns the reason that was found most often, or `None` if the task has not waited long enough to be
    /// reported.
    fn most_found(&self) -> Option<StartWait> {
        self.reason?;
        let found = |reason: &StartWait| self.found[*reason as usize];
        StartWait::ALL.into_iter().max_by_key(found)
    }
}

/// Waiting tasks that a leader tracks.
#[derive(Debug, Default)]
pub(super) struct WaitSight {
    /// Time of the first scan by this leader, which has read the entire ledger by then.
    first_look: Option<CoreTime>,
    next_look: CoreTime,
    unheard: BTreeMap<TaskKey, UnheardRun>,
    pub(super) ended: BTreeMap<TaskKey, EndedRun>,
}

/// Why a run on a worker that is out of contact is assumed to be running.
struct Belief {
    reason: WaitReason,
    /// Time from which on the run is no longer assumed to be running, even without contact; `None` if that is
    /// not known.
    until: Option<CoreTime>,
}

impl WaitSight {
    /// Records that a run ended without success.
    pub(super) fn note_end(&mut self, task: TaskKey, run: RunId, now: CoreTime) {
        let ended = EndedRun {
            run,
            since: now,
            reason: None,
            found: Default::default(),
        };
        self.ended.insert(task, ended);
    }

    /// Stops tracking a run, and returns the text for the log line on its end: for how long its worker was
    /// out of contact, and the last reason for the wait. It is empty if the worker was in contact.
    pub(super) fn take_unheard(&mut self, task: &TaskKey, run: RunId, now: CoreTime) -> String {
        let is_meant = |unheard: &UnheardRun| unheard.run == run;
        if !self.unheard.get(task).is_some_and(is_meant) {
            return String::new();
        }
        let unheard = self.unheard.remove(task);
        unheard.map_or_else(String::new, |unheard| {
            let waited = rounded(now.saturating_sub(unheard.since));
            format!(
                ", unheard for {waited:?}, at last by {}",
                unheard.reason.as_str()
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
        match ended.most_found() {
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
        for unheard in self.unheard.values() {
            waits.unheard[unheard.reason as usize] += 1;
            let age = now.saturating_sub(unheard.since);
            waits.oldest_unheard = waits.oldest_unheard.max(Some(age));
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

impl Seat {
    /// Returns when every lease that this leader renewed has expired, or `None` if the worker's clock is not
    /// known.
    fn hold_over_at(&self) -> Option<CoreTime> {
        let (at, reading) = self.clock?;
        let left = Duration::from_millis(self.granted_until.saturating_sub(reading));
        Some(at + CLOCK_SLACK + left * 100 / (100 - SLOW_CLOCK_PERCENT))
    }

    /// Returns the log text on where a run is assumed to be running, and what is known about the worker.
    fn unheard_text(&self, now: CoreTime, since: CoreTime) -> String {
        let address = match self.entry.address.as_str() {
            "" => "address not known",
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
        let silent = rounded(now.saturating_sub(since));
        let heard = if self.heard_at.is_some() {
            "silent for"
        } else {
            "not heard since this leader began, for"
        };
        let port = if self.refused {
            ", its port refuses"
        } else {
            ""
        };
        format!("{address}, {entry}, {heard} {silent:?}{port}")
    }
}

impl EntryCore {
    /// Returns the counts of tasks that have run before and do not run now, for the metrics.
    pub(super) fn task_waits(&self) -> TaskWaits {
        let lead = self.lead.as_deref();
        lead.map_or_else(TaskWaits::default, |lead| lead.wait_sight.waits(self.now))
    }

    /// Scans what tasks wait for, if a scan is due, and logs changes.
    pub(super) fn watch_waits(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let sight = &mut lead.wait_sight;
        if now < sight.next_look {
            return;
        }
        let waiting = sight.unheard.len() + sight.ended.len();
        sight.next_look = now + LOOK_PACE + LOOK_EACH * waiting as u32;
        if sight.first_look.is_none() {
            sight.first_look = Some(now);
            self.adopt_ended();
        }
        self.watch_unheard();
        self.watch_ended();
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
                            lead.wait_sight.note_end(task_key, task.last_run, now);
                        }
                    }
                }
            }
        }
    }

    fn watch_unheard(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let found = self.find_unheard(lead);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let before = std::mem::take(&mut lead.wait_sight.unheard);
        let mut began = Vec::new();
        for (task, (unheard, until)) in &found {
            let known = before.get(task).filter(|old| old.run == unheard.run);
            if known.is_none_or(|old| old.reason != unheard.reason) {
                began.push((*task, unheard.clone(), *until));
            }
        }
        let is_over = |(task, old): &(TaskKey, UnheardRun)| {
            let still = found.get(task);
            still.is_none_or(|(unheard, _)| unheard.run != old.run)
        };
        let over: Vec<(TaskKey, UnheardRun)> = before.into_iter().filter(is_over).collect();
        lead.wait_sight.unheard = found
            .into_iter()
            .map(|(task, (unheard, _))| (task, unheard))
            .collect();
        for (task, unheard, until) in began {
            if self.log_budget.may_log(now, "runs", "unheard") {
                let detail = self.unheard_text(&unheard, until);
                self.log("runs", "unheard", task.to_string(), detail);
            }
        }
        for (task, unheard) in over {
            self.tell_heard(task, &unheard);
        }
    }

    /// Returns tasks that wait for workers that are out of contact, and when the wait ends even without
    /// contact.
    fn find_unheard(&self, lead: &LeadState) -> BTreeMap<TaskKey, (UnheardRun, Option<CoreTime>)> {
        let now = self.now;
        let mut found = BTreeMap::new();
        let mut patience = None;
        for (id, seat) in lead.seats.iter() {
            let Some(since) = self.unheard_since(lead, seat) else {
                continue;
            };
            let patience = *patience.get_or_insert_with(|| self.silence_patience(lead));
            for (task, live) in &seat.runs {
                let waits = live.phase != RunPhase::Proposed && self.awaits_end(*task, live.run);
                if !waits {
                    continue;
                }
                let belief = self.belief_of(id, seat, live, patience);
                // The run is about to be declared lost: its log line names the reason waited for until now.
                let before = lead.wait_sight.unheard.get(task);
                let over = belief.until.is_some_and(|until| until <= now);
                let ends = over && belief.reason != WaitReason::Unconfirmed;
                let reason = match before {
                    Some(before) if ends => before.reason,
                    _ => belief.reason,
                };
                let unheard = UnheardRun {
                    worker: id.clone(),
                    run: live.run,
                    since,
                    reason,
                };
                found.insert(*task, (unheard, belief.until));
            }
        }
        found
    }

    /// Returns since when a worker with runs is out of contact, or `None` if it is in contact.
    fn unheard_since(&self, lead: &LeadState, seat: &Seat) -> Option<CoreTime> {
        if seat.runs.is_empty() {
            return None;
        }
        let began = lead.wait_sight.first_look.unwrap_or(self.now);
        let (since, usual) = match seat.heard_at {
            Some(at) => (at, SILENT_LONG.max(seat.look_wait + ANSWER_SLACK)),
            None => (began.max(seat.known_at), FIRST_ANSWER),
        };
        // A worker's answer may be queued behind the event that is being handled.
        let seen = self.now.saturating_sub(self.lag);
        (seen.saturating_sub(since) >= usual).then_some(since)
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
    fn belief_of(&self, id: &WorkerId, seat: &Seat, live: &LiveRun, patience: Duration) -> Belief {
        let now = self.now;
        let (hold, over_at) = if seat.proved {
            let taken = seat.proved_at + self.former_leaders.longest_hold();
            let former = self.former_holds_over_at(id).min(taken);
            (
                WaitReason::OwnHold,
                seat.hold_over_at().map(|at| at.max(former)),
            )
        } else {
            let reason = if self.is_told_of(id) || self.former_leaders.are_known() {
                WaitReason::FormerHoldKnown
            } else {
                WaitReason::FormerHoldAssumed
            };
            (reason, Some(self.former_holds_over_at(id)))
        };
        let patient_from = seat.heard_at.unwrap_or(seat.known_at);
        let is_waited_for = seat.listed && live.may_end_well();
        let patient_until = is_waited_for.then(|| patient_from + patience);
        let until = over_at.map(|at| patient_until.map_or(at, |patient| at.max(patient)));
        let over = over_at.is_some_and(|at| now > at);
        let reason = if !self.may_command() {
            WaitReason::Unconfirmed
        } else if over && patient_until.is_some() {
            WaitReason::EntryListed
        } else {
            hold
        };
        Belief { reason, until }
    }

    /// Returns the log text on where and why a run is assumed to be running, and what would end the wait.
    fn unheard_text(&self, unheard: &UnheardRun, until: Option<CoreTime>) -> String {
        let now = self.now;
        let (run, worker) = (unheard.run, &unheard.worker);
        let lead = self.lead.as_deref();
        let Some((lead, seat)) = lead.and_then(|lead| Some((lead, lead.seats.get(worker)?))) else {
            return format!("run {run} on {worker}");
        };
        let place = seat.unheard_text(now, unheard.since);
        let reason = unheard.reason.as_str();
        let why = self.reason_text(lead, worker, seat, unheard.reason);
        let unsure = unheard.reason == WaitReason::Unconfirmed;
        let end = match until.map(|until| rounded(until.saturating_sub(now))) {
            Some(left) if unsure => {
                format!("once this leader is sure again, by itself in at most {left:?} from now")
            }
            Some(left) => format!("by itself in at most {left:?}"),
            None => "not by itself, since its clock is not known".to_owned(),
        };
        let asked = if seat.entry.address.is_empty() {
            "it cannot be asked; ends "
        } else {
            "ends with its answer, another life at its address, or "
        };
        format!("run {run} on {worker}, {place}: {reason}, {why}; {asked}{end}")
    }

    fn reason_text(
        &self,
        lead: &LeadState,
        id: &WorkerId,
        seat: &Seat,
        reason: WaitReason,
    ) -> String {
        match reason {
            WaitReason::OwnHold => {
                let reading = seat.clock.map_or(0, |(_, reading)| reading);
                let asked = Duration::from_millis(seat.granted_until.saturating_sub(reading));
                format!("asked until {asked:?} after its last answer by its clock")
            }
            WaitReason::FormerHoldKnown if self.is_told_of(id) => {
                "the ledger has that no leader prolongs its hold".to_owned()
            }
            WaitReason::FormerHoldKnown => {
                "it is known when the leaders before had stopped, and what they asked for"
                    .to_owned()
            }
            WaitReason::FormerHoldAssumed => {
                let longest = self.settings.hold_limit;
                format!(
                    "a leader before was not in touch with this instance: it is assumed to go on for \
                     {UNCONFIRMED_LIMIT:?}, and to ask for {longest:?}"
                )
            }
            WaitReason::EntryListed => "its hold is over, its entry still stands".to_owned(),
            WaitReason::Unconfirmed => {
                let unsure = rounded(self.age(lead.confirmed_at));
                format!(
                    "this leader has not been sure that it leads for {unsure:?} and neither looks \
                     at workers nor gives any up"
                )
            }
        }
    }

    /// Logs that a task no longer waits for a worker that was out of contact. If the run has ended, the log
    /// line on its end says so instead.
    fn tell_heard(&mut self, task: TaskKey, unheard: &UnheardRun) {
        let now = self.now;
        let (run, worker) = (unheard.run, &unheard.worker);
        let lead = self.lead.as_deref();
        let seat = lead.and_then(|lead| lead.seats.get(worker));
        let heard = seat.is_some_and(|seat| seat.heard_at.is_some_and(|at| at > unheard.since));
        let end = if heard {
            "its worker answers"
        } else {
            "the run is not waited for any more"
        };
        let waited = rounded(now.saturating_sub(unheard.since));
        let reason = unheard.reason.as_str();
        self.log_often("runs", "heard", || {
            let detail = format!(
                "run {run} on {worker}: {end}, unheard for {waited:?}, at last by {reason}"
            );
            (task.to_string(), detail)
        });
    }
}

/// Returns a duration in full milliseconds, for the log.
pub(super) fn rounded(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}
