//! Start and stop orders to workers, repeated until their outcome is known.

use std::time::Duration;

use super::lead_state::CallPurpose;
use super::lease_renewal::{RENEW_WITHIN, TRIAL_POLL_WAIT};
use super::live_run::{LiveRun, RunPhase};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, TaskKey, WorkerId};
use crate::ledger::{EndKind, JobOutcome, TaskPhase};
use crate::policy::PolicySwitch;
use crate::worker::{StartOrder, StartRefusal, WorkerAnswer, WorkerCall};

/// Maximum time to wait for the answer to an order. Most orders are repeated much earlier, by the time that
/// answers recently took.
const MAX_ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum number of start orders in flight to one worker. Each of them uses a connection.
const MAX_STARTS_IN_FLIGHT: usize = 2;
/// Time before an order that was not sent is repeated.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Maximum number of attempts at an order that is known not to have been carried out.
const MAX_ORDER_TRIES: u32 = 3;
/// Time between two scans of all runs for due orders that the list of due orders lacks.
const ORDER_SCAN_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum age of the list of the workers' entries for a start to be checked against it. After a worker's
/// capacity shrinks, the platform still accepts the old one for its contact time, at least three seconds, and
/// one heartbeat more.
const MAX_ENTRY_AGE: Duration = Duration::from_millis(3_000);
/// Time before a start is checked again if the workers' entries are too old.
const STALE_ENTRY_DELAY: Duration = Duration::from_millis(50);
/// Time before a start that waits for a confirmation is checked again.
const UNCONFIRMED_DELAY: Duration = Duration::from_millis(10);
/// Time before a trial run's start is checked again while a long poll of its worker is in flight.
const LONG_POLL_DELAY: Duration = Duration::from_millis(20);
/// Time before a stop order is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Back-off of a worker that refused an order because it was unwell, or to which an order could not be sent.
const UNWELL_BACKOFF: Duration = Duration::from_millis(1_500);

impl EntryCore {
    /// Sends the order for a run whose start has been committed.
    pub(super) fn order_start(&mut self, task: TaskKey, run: u64) {
        let now = self.now;
        let Some((worker, open)) = self.placed_on(task, run) else {
            return;
        };
        if !open || self.gang_is_broken(task.step) {
            let why = if open {
                "a member of its gang has ended"
            } else {
                "its job has ended"
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
        let wait = now.saturating_sub(live.began);
        lead.record_order_delay(wait);
        self.send_start(&worker, task);
    }

    /// Returns whether a gang has lost a member, so that the other members need not start.
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
        if self.awaits_confirmation(id, task)
            || !self.has_capacity_now(id, task)
            || self.awaits_long_poll(id, task)
        {
            return;
        }
        if self.cancel_evacuated_start(id, task) {
            return;
        }
        if !self.is_within_limit_now(id, task) {
            self.cancel_start(
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
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        let Some(until_ms) = state.lease_deadline(bound) else {
            return;
        };
        let may_renew = state.may_renew_lease(now, RENEW_WITHIN);
        if !may_renew && state.lease_left(now).is_zero() {
            // The worker would refuse the order as late.
            let next_at = now + ORDER_RETRY_DELAY;
            if let Some(live) = state.runs.get_mut(&task) {
                live.next_at = next_at;
            }
            lead.schedule_order(next_at, id, task);
            return;
        }
        // The lease of an unresponsive worker must expire, or its runs are never declared lost.
        let until_ms = if may_renew {
            until_ms
        } else {
            state.lease_until
        };
        state.lease_until = state.lease_until.max(until_ms);
        if state.starts_in_flight() >= MAX_STARTS_IN_FLIGHT {
            // The answer to one of these orders sends the next one.
            return;
        }
        let process = state.started;
        let Some(live) = state.runs.get_mut(&task) else {
            return;
        };
        live.busy = true;
        live.tries += 1;
        live.ordered_at.get_or_insert(now);
        live.unanswered_since.get_or_insert(now);
        let run = live.run;
        let order = StartOrder {
            task,
            run,
            job: spec,
            saved: saved.unwrap_or_default(),
            permit: live.permit.clone(),
            until_ms,
            process,
        };
        self.counters.count("calls", "start");
        let call = WorkerCall::Start(Box::new(order));
        let time = self.order_timeout();
        self.call_worker(id, CallPurpose::Start { task, run }, call, time);
    }

    /// Returns whether a start, also a repeated one, fits the current capacity of its worker. The capacity
    /// may shrink while the start is committed, which takes seconds if the table is slow or unavailable.
    ///
    /// A start that does not fit, or whose worker's entry is not usable, is cancelled, or stopped if its order may
    /// be in flight. The start waits while the list of all workers' entries is too old: the table is unavailable.
    fn has_capacity_now(&mut self, id: &WorkerId, task: TaskKey) -> bool {
        if !self.enforces(SiteGuard::RoomOfNow) {
            return true;
        }
        let now = self.now;
        let entry_age = self.worker_list_at.map(|at| now.saturating_sub(at));
        let wanted = self.resources_of(task);
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return false;
        };
        let has_usable_entry = state.has_usable_entry();
        let Some(live) = state.runs.get_mut(&task) else {
            return false;
        };
        if entry_age.is_none_or(|age| age >= MAX_ENTRY_AGE) {
            live.next_at = now + STALE_ENTRY_DELAY;
            lead.schedule_order(now + STALE_ENTRY_DELAY, id, task);
            return false;
        }
        // An entry of another writer, or one that cannot be read, may stand for as long as the worker lives.
        if !has_usable_entry {
            let why = "its worker's entry is not usable";
            self.cancel_start(id, task, "entry_unusable", why);
            return false;
        }
        // An isolated suspect counts as taking the whole worker, but it uses only its step's resources.
        let used = state.used.minus(&live.resources).plus(&wanted);
        if used.fits(&state.entry.room) {
            return true;
        }
        self.cancel_start(id, task, "room_shrunk", "its worker's capacity has shrunk");
        false
    }

    /// Returns whether a start waits until it is confirmed that this instance still leads and that its
    /// configuration is the newest, and schedules it again.
    ///
    /// During a pause of this instance, another one may have led, and the run may have ended. A worker that
    /// was restarted since then has not seen the other leader's token and would accept the order.
    fn awaits_confirmation(&mut self, id: &WorkerId, task: TaskKey) -> bool {
        let now = self.now;
        let unconfirmed_lead = self.enforces(SiteGuard::ConfirmedStart);
        let outdated = !self.may_start_by_config();
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        if !(outdated || (unconfirmed_lead && lead.must_confirm_lead())) {
            return false;
        }
        if let Some(live) = lead.live_run(id, &task) {
            live.next_at = now + UNCONFIRMED_DELAY;
            lead.schedule_order(now + UNCONFIRMED_DELAY, id, task);
        }
        true
    }

    /// Returns whether a trial run's first order waits for the answer to a long poll, and schedules it again.
    ///
    /// The worker answers such a poll only when a run ends or the wait is over. If the run crashed its worker
    /// meanwhile, the leader would not know for how long the worker had it, and the end would be weaker
    /// evidence.
    fn awaits_long_poll(&mut self, id: &WorkerId, task: TaskKey) -> bool {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return false;
        };
        let long_poll = state.poll_in_flight && state.poll_wait > TRIAL_POLL_WAIT;
        let Some(live) = state.runs.get_mut(&task) else {
            return false;
        };
        let waits = live.on_trial && !live.lasting && live.tries == 0 && long_poll;
        if waits {
            live.next_at = now + LONG_POLL_DELAY;
            lead.schedule_order(now + LONG_POLL_DELAY, id, task);
        }
        waits
    }

    /// Cancels a start that its worker, its customer's limit or an evacuation does not allow any more.
    pub(super) fn cancel_start(
        &mut self,
        id: &WorkerId,
        task: TaskKey,
        kind: &'static str,
        why: &str,
    ) {
        let lead = self.lead.as_deref_mut();
        let Some(live) = lead.and_then(|lead| lead.live_run(id, &task)) else {
            return;
        };
        let (run, known_not_started) = (live.run, !live.may_have_started());
        self.counters.count("order_refusals", kind);
        if known_not_started {
            let (how, saved) = (EndKind::NeverRan, String::new());
            self.end_without_report(id, task, run, how, saved, why);
        } else {
            self.stop_run(id, task);
        }
    }

    fn order_timeout(&self) -> Duration {
        let lead = self.lead.as_deref();
        let repeats_quickly = self.uses(PolicySwitch::QuickRepeat);
        lead.filter(|_| repeats_quickly)
            .map_or(MAX_ORDER_TIMEOUT, |lead| {
                lead.answer_limit(MAX_ORDER_TIMEOUT)
            })
    }

    pub(super) fn handle_start_answer(
        &mut self,
        id: &WorkerId,
        task: TaskKey,
        run: u64,
        sent_at: CoreTime,
        answer: &WorkerAnswer,
    ) {
        self.apply_start_answer(id, task, run, answer);
        if matches!(answer, WorkerAnswer::Done { .. }) {
            self.confirm_crash_evidence(id, task, run, sent_at);
        }
        self.send_waiting_starts(id);
    }

    /// Sends start orders to a worker that waited for other start orders to it.
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
            .take(MAX_STARTS_IN_FLIGHT)
            .collect();
        for task in waiting {
            self.send_start(id, task);
        }
    }

    fn apply_start_answer(
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
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        let Some(live) = state.runs.get_mut(&task).filter(|live| live.run == run) else {
            return;
        };
        live.busy = false;
        live.answered |= matches!(answer, WorkerAnswer::Done { .. });
        let is_ordered = live.phase == RunPhase::Ordered;
        if matches!(
            answer,
            WorkerAnswer::Done { .. } | WorkerAnswer::Refused { .. } | WorkerAnswer::Unwell
        ) {
            state.record_start_arrived(&task, now);
        }
        let Some(live) = state.runs.get_mut(&task).filter(|_| is_ordered) else {
            return;
        };
        match answer {
            WorkerAnswer::Done { .. } => {
                live.phase = RunPhase::Running { since: now };
                live.began = now;
                live.measured = live.copies == 0;
                lead.started_jobs.insert(task.step.job);
                self.log_often("runs", "start", || {
                    (task.to_string(), format!("run {run} on {id}"))
                });
                self.stop_confirmed_runs(id);
                return;
            }
            WorkerAnswer::NoReply => {
                live.copies += 1;
                live.next_at = now;
                self.counters.count("retries", "order_unanswered");
                lead.schedule_order(now, id, task);
                self.give_up_unanswered_starts(id, task);
                return;
            }
            WorkerAnswer::PortRefused | WorkerAnswer::NotSent if live.tries < MAX_ORDER_TRIES => {
                live.next_at = now + ORDER_RETRY_DELAY;
                lead.schedule_order(now + ORDER_RETRY_DELAY, id, task);
                self.counters.count("retries", "order_not_sent");
                return;
            }
            WorkerAnswer::Refused {
                reason: StartRefusal::Late,
                ..
            } if live.tries < MAX_ORDER_TRIES => {
                live.next_at = now;
                lead.schedule_order(now, id, task);
                return;
            }
            _ => {}
        }
        let why = match answer {
            WorkerAnswer::Refused { reason, .. } => reason.as_str(),
            WorkerAnswer::Unwell => "unwell",
            _ => "not_sent",
        };
        let known_not_started = live.copies == 0;
        let refused_as_old = matches!(
            answer,
            WorkerAnswer::Refused {
                reason: StartRefusal::Old,
                ..
            }
        );
        // A worker that answers polls, but on whose new connections nothing is sent, would get the task again.
        if matches!(answer, WorkerAnswer::Unwell | WorkerAnswer::NotSent) {
            state.backoff_until = state.backoff_until.max(now + UNWELL_BACKOFF);
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
        if known_not_started && !refused_as_old {
            self.end_without_report(id, task, run, EndKind::NeverRan, String::new(), why);
        } else {
            self.stop_run(id, task);
        }
    }

    /// Stops a run. Its resources become free when the worker reports its end or no longer reports the run.
    pub(super) fn stop_run(&mut self, id: &WorkerId, task: TaskKey) {
        let now = self.now;
        let keeps_resources = self.enforces(SiteGuard::StopsCount);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        let Some(live) = state.runs.get_mut(&task) else {
            return;
        };
        match live.phase {
            RunPhase::Stopping { .. } => return,
            RunPhase::Ordered if live.tries == 0 => {
                let run = live.run;
                let (how, saved) = (EndKind::NeverRan, String::new());
                let why = "it is stopped before its order was sent";
                self.end_without_report(id, task, run, how, saved, why);
                return;
            }
            // Nothing to stop yet. The run is ordered or found missing first; then the stop is requested
            // again.
            RunPhase::Proposed | RunPhase::Adopted => return,
            _ => {}
        }
        let unanswered =
            live.phase == RunPhase::Ordered && live.copies > 0 && live.unanswered_since.is_some();
        live.phase = RunPhase::Stopping { confirmed: None };
        live.next_at = now;
        live.busy = false;
        if unanswered {
            // A gang that ended without this member would be placed there again.
            state.back_off_without_answer(now);
        }
        lead.schedule_order(now, id, task);
        if keeps_resources {
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

    /// Sends the orders that are due, and repeats those without an answer.
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
        lead.next_order_scan = now + ORDER_SCAN_INTERVAL;
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

    /// Sends the order that each of these runs waits for.
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
        let time = self.order_timeout();
        self.call_worker(id, CallPurpose::Stop { task, run }, call, time);
    }

    pub(super) fn handle_stop_answer(
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
        live.next_at = now + STOP_RETRY_DELAY;
        let done = matches!(answer, WorkerAnswer::Done { .. });
        if done {
            live.phase = RunPhase::Stopping {
                confirmed: Some(now),
            };
        }
        lead.schedule_order(now + STOP_RETRY_DELAY, id, task);
        if done {
            self.log_often("runs", "stop", || {
                (task.to_string(), format!("run {run} on {id}"))
            });
        }
    }
}
