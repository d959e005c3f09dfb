//! Orders to workers: starts and stops, repeated until it is sure what became of them.

use std::time::Duration;

use super::lead_state::CallPurpose;
use super::lease_renewal::RENEW_WITHIN;
use super::live_run::{LiveRun, RunPhase};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{TaskKey, WorkerId};
use crate::ledger::{EndKind, JobOutcome, TaskPhase};
use crate::policy::PolicySwitch;
use crate::worker::{StartOrder, StartRefusal, WorkerAnswer, WorkerCall};

/// Longest wait for the answer to an order; as a rule it is repeated long before.
const ORDER_TIME: Duration = Duration::from_millis(350);
/// Starts on their way to one worker, since each takes a connection of its own.
const STARTS_AT_ONCE: usize = 2;
/// Pause before an order that was not sent is tried again.
const ORDER_PAUSE: Duration = Duration::from_millis(120);
/// Tries of an order that was surely not carried out.
const ORDER_TRIES: u32 = 3;
/// Time between two goes through all runs for orders that no list of those due names.
const ORDER_SCAN: Duration = Duration::from_millis(200);
/// Age of what workers say of themselves up to which starts go by it: the platform lets a room that
/// has shrunk count for its time of contact, three seconds at least, and a heartbeat more.
const LIST_AGE: Duration = Duration::from_millis(3_000);
/// Pause of a start while nothing newer is known.
const LIST_PAUSE: Duration = Duration::from_millis(50);
/// Pause before a stop is repeated.
const STOP_PAUSE: Duration = Duration::from_millis(250);
/// Rest of a worker that turned an order away as unwell.
const UNWELL_REST: Duration = Duration::from_millis(1_500);

impl EntryCore {
    /// Sends the order for a run that is kept now.
    pub(super) fn begin_order(&mut self, task: TaskKey, run: u64) {
        let now = self.now;
        let Some((worker, open)) = self.placed_on(task, run) else {
            return;
        };
        if !open || self.gang_is_broken(task.step) {
            let why = if open {
                "its gang is broken"
            } else {
                "its job is over"
            };
            let (how, saved) = (EndKind::NeverRan, String::new());
            self.end_without_report(&worker, task, run, how, saved, why);
            return;
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(live) = lead.live_run(&worker, &task) else {
            return;
        };
        if live.run != run || live.phase != RunPhase::Proposed {
            return;
        }
        live.phase = RunPhase::Ordered;
        live.ordered_at = Some(now);
        let wait = now.saturating_sub(live.began);
        lead.note_order_delay(wait);
        self.send_start(&worker, task);
    }

    /// Tells whether a gang has lost a member, so that the others need not start.
    fn gang_is_broken(&self, step: crate::ids::StepKey) -> bool {
        let Some(job) = self.book.job(step.job) else {
            return false;
        };
        let gang = job.spec.steps[usize::from(step.step)].gang;
        gang && job.step(step).is_some_and(|record| record.waiting > 0)
    }

    fn placed_on(&self, task: TaskKey, run: u64) -> Option<(WorkerId, bool)> {
        let job = self.book.job(task.step.job)?;
        match &job.task(task)?.phase {
            TaskPhase::Placed { worker, run: now } if *now == run => {
                Some((worker.clone(), job.outcome == JobOutcome::Open))
            }
            _ => None,
        }
    }

    fn send_start(&mut self, id: &WorkerId, task: TaskKey) {
        let now = self.now;
        let bound = self.lease_bound();
        if !self.has_room_now(id, task) {
            return;
        }
        if !self.is_within_limit_now(id, task) {
            self.take_start_back(
                id,
                task,
                "limit_lowered",
                "its customer's limit was lowered",
            );
            return;
        }
        let Some(job) = self.book.job(task.step.job) else {
            return;
        };
        let saved = job.task(task).map(|task| task.saved.clone());
        let spec = job.spec.clone();
        let Some(state) = self
            .lead
            .as_deref_mut()
            .and_then(|lead| lead.worker_states.get_mut(id))
        else {
            return;
        };
        let Some(until_ms) = state.lease_deadline(bound) else {
            return;
        };
        // A silent worker's hold must run out, or what it may run is never given up.
        let until_ms = if state.may_renew_lease(now, RENEW_WITHIN) {
            until_ms
        } else {
            state.lease_until
        };
        state.lease_until = state.lease_until.max(until_ms);
        if state.starts_in_flight() >= STARTS_AT_ONCE {
            // The answer to one of them sends the next.
            return;
        }
        let Some(live) = state.runs.get_mut(&task) else {
            return;
        };
        live.busy = true;
        live.tries += 1;
        let run = live.run;
        let order = StartOrder {
            task,
            run,
            job: spec,
            saved: saved.unwrap_or_default(),
            permit: live.permit.clone(),
            until_ms,
        };
        self.counters.count("calls", "start");
        let call = WorkerCall::Start(Box::new(order));
        let time = self.order_time();
        self.call_worker(id, CallPurpose::Start { task, run }, call, time);
    }

    /// Weighs a start, also one that is repeated, against the room that its worker has now: room
    /// shrinks while a start is being kept, which takes seconds where the table is slow or away.
    ///
    /// What would come on top of it is not sent, or stopped if it may be on its way. While it is not
    /// known what the workers say of themselves now, it waits.
    fn has_room_now(&mut self, id: &WorkerId, task: TaskKey) -> bool {
        if !self.enforces(SiteGuard::RoomOfNow) {
            return true;
        }
        let now = self.now;
        let list_age = self.worker_list_at.map(|at| now.saturating_sub(at));
        let wanted = self.resources_of(task);
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return false;
        };
        let entry_is_current = state.entry_is_current();
        let Some(live) = state.runs.get_mut(&task) else {
            return false;
        };
        if list_age.is_none_or(|age| age >= LIST_AGE) || !entry_is_current {
            live.next_at = now + LIST_PAUSE;
            lead.have_order_due(now + LIST_PAUSE, id, task);
            return false;
        }
        // A suspect has the whole worker by the book, and takes what its step does.
        let used = state.used.minus(&live.resources).plus(&wanted);
        if used.fits(&state.entry.room) {
            return true;
        }
        self.take_start_back(id, task, "room_shrunk", "its worker's room has shrunk");
        false
    }

    /// Takes a start back for which there is no room any more, or no leave.
    fn take_start_back(&mut self, id: &WorkerId, task: TaskKey, kind: &'static str, why: &str) {
        let lead = self.lead.as_deref_mut();
        let Some(live) = lead.and_then(|lead| lead.live_run(id, &task)) else {
            return;
        };
        let (run, sure) = (live.run, live.copies == 0);
        self.counters.count("order_refusals", kind);
        if sure {
            let (how, saved) = (EndKind::NeverRan, String::new());
            self.end_without_report(id, task, run, how, saved, why);
        } else {
            self.begin_stop_run(id, task);
        }
    }

    fn order_time(&self) -> Duration {
        let lead = self.lead.as_deref();
        let quick = self.uses(PolicySwitch::QuickRepeat);
        lead.filter(|_| quick)
            .map_or(ORDER_TIME, |lead| lead.answer_limit(ORDER_TIME))
    }

    pub(super) fn end_start(
        &mut self,
        id: &WorkerId,
        task: TaskKey,
        run: u64,
        answer: &WorkerAnswer,
    ) {
        self.settle_start(id, task, run, answer);
        self.send_waiting_starts(id);
    }

    /// Sends starts that waited for others to the same worker.
    fn send_waiting_starts(&mut self, id: &WorkerId) {
        let now = self.now;
        let state = self
            .lead
            .as_ref()
            .and_then(|lead| lead.worker_states.get(id));
        let waits = |live: &LiveRun| {
            live.phase == RunPhase::Ordered && !live.busy && live.tries == 0 && now >= live.next_at
        };
        let waiting: Vec<TaskKey> = state
            .into_iter()
            .flat_map(|state| &state.runs)
            .filter(|(_, live)| waits(live))
            .map(|(task, _)| *task)
            .take(STARTS_AT_ONCE)
            .collect();
        for task in waiting {
            self.send_start(id, task);
        }
    }

    fn settle_start(&mut self, id: &WorkerId, task: TaskKey, run: u64, answer: &WorkerAnswer) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        let Some(live) = state.runs.get_mut(&task).filter(|live| live.run == run) else {
            return;
        };
        live.busy = false;
        live.answered |= matches!(answer, WorkerAnswer::Done { .. });
        if live.phase != RunPhase::Ordered {
            return;
        }
        match answer {
            WorkerAnswer::Done { .. } => {
                live.phase = RunPhase::Running { since: now };
                live.began = now;
                live.measured = live.copies == 0;
                lead.begun.insert(task.step.job);
                self.log_often("runs", "start", || {
                    (task.to_string(), format!("run {run} on {id}"))
                });
                return;
            }
            WorkerAnswer::NoReply => {
                live.copies += 1;
                live.next_at = now;
                lead.have_order_due(now, id, task);
                self.counters.count("retries", "order_unanswered");
                return;
            }
            WorkerAnswer::PortRefused | WorkerAnswer::NotSent if live.tries < ORDER_TRIES => {
                live.next_at = now + ORDER_PAUSE;
                lead.have_order_due(now + ORDER_PAUSE, id, task);
                self.counters.count("retries", "order_not_sent");
                return;
            }
            WorkerAnswer::Refused {
                reason: StartRefusal::Late,
                ..
            } if live.tries < ORDER_TRIES => {
                live.next_at = now;
                lead.have_order_due(now, id, task);
                return;
            }
            _ => {}
        }
        let why = match answer {
            WorkerAnswer::Refused { reason, .. } => reason.as_str(),
            WorkerAnswer::Unwell => "unwell",
            _ => "not_sent",
        };
        let sure = live.copies == 0;
        let old = matches!(
            answer,
            WorkerAnswer::Refused {
                reason: StartRefusal::Old,
                ..
            }
        );
        if *answer == WorkerAnswer::Unwell {
            state.backoff_until = state.backoff_until.max(now + UNWELL_REST);
        }
        self.counters.count("order_refusals", why);
        self.log(
            "runs",
            "refused",
            task.to_string(),
            format!("run {run} on {id}: {why}"),
        );
        if why == "permit" {
            self.drop_permit(task.step, id);
        }
        if sure && !old {
            self.end_without_report(id, task, run, EndKind::NeverRan, String::new(), why);
        } else {
            self.begin_stop_run(id, task);
        }
    }

    /// Stops a run; its end, or its absence from the lists, frees the room.
    pub(super) fn begin_stop_run(&mut self, id: &WorkerId, task: TaskKey) {
        let now = self.now;
        let counts = self.enforces(SiteGuard::StopsCount);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(live) = lead.live_run(id, &task) else {
            return;
        };
        match live.phase {
            RunPhase::Stopping { .. } => return,
            // It is ordered or found absent first; then this is asked for again.
            RunPhase::Proposed | RunPhase::Adopted => return,
            _ => {}
        }
        live.phase = RunPhase::Stopping { confirmed: None };
        live.next_at = now;
        live.busy = false;
        lead.have_order_due(now, id, task);
        if counts {
            return;
        }
        let state = self
            .lead
            .as_deref_mut()
            .and_then(|lead| lead.worker_states.get_mut(id));
        if let Some(state) = state {
            state.release_resources(&task);
        }
    }

    /// Repeats orders that have no answer.
    pub(super) fn run_orders(&mut self) {
        if !self.may_command() {
            return;
        }
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let mut due = lead.take_due_orders(now);
        if now < lead.next_order_scan {
            self.send_due_orders(due);
            return;
        }
        lead.next_order_scan = now + ORDER_SCAN;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        for (id, state) in lead.worker_states.iter() {
            let waits = |live: &LiveRun| !live.busy && now >= live.next_at;
            let waiting = state.runs.iter().filter(|(_, live)| waits(live));
            due.extend(waiting.map(|(task, _)| (id.clone(), *task)));
        }
        due.sort_unstable();
        due.dedup();
        self.send_due_orders(due);
    }

    /// Sends orders to runs that wait for one.
    fn send_due_orders(&mut self, due: Vec<(WorkerId, TaskKey)>) {
        let now = self.now;
        for (id, task) in due {
            let live = self
                .lead
                .as_deref_mut()
                .and_then(|lead| lead.live_run(&id, &task));
            let live = live.filter(|live| !live.busy && now >= live.next_at);
            match live.map(|live| &live.phase) {
                Some(RunPhase::Ordered) => self.send_start(&id, task),
                Some(RunPhase::Stopping { confirmed: None }) => self.send_stop(&id, task),
                _ => {}
            }
        }
    }

    fn send_stop(&mut self, id: &WorkerId, task: TaskKey) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(live) = lead.live_run(id, &task) else {
            return;
        };
        live.busy = true;
        let run = live.run;
        self.counters.count("calls", "stop");
        let call = WorkerCall::Stop { task, run };
        let time = self.order_time();
        self.call_worker(id, CallPurpose::Stop { task, run }, call, time);
    }

    pub(super) fn end_stop(
        &mut self,
        id: &WorkerId,
        task: TaskKey,
        run: u64,
        answer: &WorkerAnswer,
    ) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let live = lead.live_run(id, &task).filter(|live| live.run == run);
        let Some(live) = live else {
            return;
        };
        live.busy = false;
        live.next_at = now + STOP_PAUSE;
        let done = matches!(answer, WorkerAnswer::Done { .. });
        if done {
            live.phase = RunPhase::Stopping {
                confirmed: Some(now),
            };
        }
        lead.have_order_due(now + STOP_PAUSE, id, task);
        if done {
            self.log_often("runs", "stop", || {
                (task.to_string(), format!("run {run} on {id}"))
            });
        }
    }
}
