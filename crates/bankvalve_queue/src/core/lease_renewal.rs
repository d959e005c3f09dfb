//! Lease renewal: polls of workers, which renew their leases and return their run lists.
//!
//! A worker keeps its runs until its lease expires by its own clock. Each poll may renew the lease, and its
//! answer lists the runs that are running and those that have ended. Once the lease of an unresponsive worker
//! is known to have expired, the worker is declared lost and its tasks can start elsewhere.
//!
//! A deadline is a reading of one process's clock. Another process of the worker would take it for a much longer
//! lease, which no leader accounts for. So a poll renews the lease only on the connection on which the process has
//! sent its last run lists, and the first poll on each connection asks for the lists alone.

use std::time::Duration;

use super::call_proxies::PROXY_SLACK;
use super::lead_state::{CallPurpose, LeadState, OpenCall};
use super::round_trip::MAX_ROUND_TRIP;
use super::worker_state::{ListConnection, ProcessEnd, WorkerState, UNRESPONSIVE_AFTER};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket, WorkerId};
use crate::ledger::EndKind;
use crate::policy::PolicySwitch;
use crate::worker::{HoldReport, StartRefusal, WorkerAnswer, WorkerCall, IDENTIFICATION_TIMEOUT};

/// Longest lease that a leader requests. A lost worker's tasks start again only after its lease has
/// expired, and a worker that is cut off keeps its runs for that long.
///
/// **NOTE:** Each process sends this value to its peers, which also apply it to earlier processes at its
/// address. A version with a shorter lease must send the longer value for as long as earlier processes may
/// have requested it.
pub(super) const LEASE_DURATION: Duration = Duration::from_millis(5_000);
/// Longest time for which a worker waits for the end of a run before it answers a poll.
const POLL_WAIT: Duration = Duration::from_millis(900);
/// Longest such wait of a worker with urgent runs. The leader notices a lost answer only after the wait, and
/// a short urgent task takes about as long.
const URGENT_POLL_WAIT: Duration = Duration::from_millis(350);
/// Longest such wait of a worker with an isolated suspect. The time from the start to the worker's end shows
/// whether the task crashes its workers or was there by chance, so it must be known precisely. Trial runs are
/// few and short.
pub(super) const TRIAL_POLL_WAIT: Duration = Duration::from_millis(50);
/// Longest time allowed for the round trip of a poll and a slow worker, beyond the wait.
const POLL_SLACK: Duration = Duration::from_millis(600);
/// Time beyond a call's own timeout after which its answer counts as lost. The link reports the outcome of
/// each call in time, unless the core's event ring was full.
const LOST_ANSWER_SLACK: Duration = Duration::from_millis(1_000);
/// Shortest interval between two polls, so that one answer reports ends in quick succession.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Pause between polls while reported ends wait to be committed.
const COMMIT_PAUSE: Duration = Duration::from_millis(500);
/// Time since the last contact within which a worker has left at most one poll unanswered.
const FIRST_MISS_WINDOW: Duration = Duration::from_millis(1_300);
/// Pause after a poll that the worker's port refused within [`FIRST_MISS_WINDOW`], so that a new process
/// there is found soon.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a poll without an answer later than [`FIRST_MISS_WINDOW`]. Within it, the worker is polled
/// again at once.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait before the answer of a worker that runs nothing, on a site with many workers.
const IDLE_POLL_WAIT: Duration = Duration::from_millis(2_000);
/// Number of workers above which the load of polling idle ones matters.
const MANY_WORKERS: usize = 500;
/// Most first polls in flight at once. Each needs a new connection, and thousands of them would occupy the
/// CPU for longer than their timeout.
const MAX_FIRST_POLLS: usize = 150;
/// Polls to unresponsive workers that may always be in flight.
const MIN_UNRESPONSIVE_POLLS: usize = 8;
/// One worker in this many may have such a poll in flight if that is more. When all workers are unresponsive,
/// the cause is the leader's own link or CPU. Polling all of them repeatedly, each on a new connection, would
/// prolong that.
const UNRESPONSIVE_POLL_DIVISOR: usize = 16;
/// Time without contact for which the leader waits for a worker whose entry still exists in the table. Such a
/// worker probably runs, and its run lists will show which of its runs succeeded. Because of the wait, their
/// tasks start elsewhere some seconds later than the lease would allow, but do not run to completion twice.
const LISTED_TIMEOUT: Duration = Duration::from_millis(10_000);
/// The same time while many workers are unresponsive at once, usually because of a fault of the leader
/// itself.
const MASS_LISTED_TIMEOUT: Duration = Duration::from_millis(30_000);
/// Many workers count as unresponsive if one in this many of those with runs is.
const MANY_UNRESPONSIVE_DIVISOR: usize = 4;
/// Smallest number of unresponsive workers with runs that counts as many.
const MIN_MANY_UNRESPONSIVE: usize = 3;
/// Time since the last contact within which start orders renew a worker's lease. Polls renew it only on the
/// connection of the last answer. A lost worker's tasks start again no sooner than this time
/// plus the lease after the last contact.
pub(super) const RENEW_WITHIN: Duration = Duration::from_millis(1_600);
/// Longest time for which a leader sends calls to workers without confirmation of its leadership.
pub(super) const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(15);
/// Factor for the longest time that a lease takes by a worker's clock: the clock may run 2% slow, and answers
/// take time to arrive.
pub(super) const SLOW_CLOCK_FACTOR: f64 = 1.03;
/// Time without contact after which a worker without entry and runs is forgotten.
const FORGET_WORKER_AFTER: Duration = Duration::from_secs(8);

impl EntryCore {
    /// Returns whether this leader may still send calls to workers.
    pub(super) fn may_command(&self) -> bool {
        self.lead
            .as_ref()
            .is_some_and(|lead| self.age(lead.confirmed_at) < UNCONFIRMED_LIMIT)
    }

    /// Polls workers that are due, and declares lost those whose leases have expired.
    pub(super) fn run_polls(&mut self) {
        self.track_waits();
        if !self.may_command() {
            return;
        }
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_poll_scan {
            return;
        }
        lead.next_poll_scan = now + lead.scan_interval();
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let mut due = Vec::new();
        // A worker's answer may be queued behind the event that is being handled.
        let event_time = now.saturating_sub(self.lag);
        let is_unresponsive =
            |state: &WorkerState| !state.has_contact(event_time, UNRESPONSIVE_AFTER);
        let (mut first_polls, mut unresponsive_polls) = (0, 0);
        for state in lead
            .worker_states
            .values()
            .filter(|state| state.poll_in_flight)
        {
            first_polls += usize::from(!state.token_accepted);
            unresponsive_polls += usize::from(state.token_accepted && is_unresponsive(state));
        }
        let (mut first_due, mut unresponsive_due) = (Vec::new(), Vec::new());
        let mut expired = Vec::new();
        let mut forgotten = Vec::new();
        for (id, state) in lead.worker_states.iter() {
            let recorded = self.stopped_leases.unresponsive_since(id);
            let known_at = recorded.unwrap_or(state.known_at).min(state.known_at);
            let without_contact = event_time.saturating_sub(state.last_contact.unwrap_or(known_at));
            let unresponsive = is_unresponsive(state);
            if !state.runs.is_empty() && unresponsive && self.all_runs_ended(id, state) {
                expired.push((id.clone(), state.listed, without_contact));
            }
            let idle = now.saturating_sub(state.last_contact.unwrap_or(state.known_at));
            if !state.listed && state.runs.is_empty() && idle > FORGET_WORKER_AFTER {
                forgotten.push(id.clone());
            } else if !state.poll_is_due(now) {
                continue;
            } else if !state.token_accepted {
                first_due.push((state.next_poll, id.clone()));
            } else if unresponsive {
                unresponsive_due.push((state.next_poll, id.clone()));
            } else {
                due.push(id.clone());
            }
        }
        let budget =
            MIN_UNRESPONSIVE_POLLS.max(lead.worker_states.len() / UNRESPONSIVE_POLL_DIVISOR);
        // By the time at which they are due, so that workers that do not answer do not keep others waiting.
        first_due.sort_unstable();
        first_due.truncate(MAX_FIRST_POLLS.saturating_sub(first_polls));
        due.extend(first_due.into_iter().map(|(_, id)| id));
        unresponsive_due.sort_unstable();
        unresponsive_due.truncate(budget.saturating_sub(unresponsive_polls));
        due.extend(unresponsive_due.into_iter().map(|(_, id)| id));
        let mut waited_for = Vec::new();
        if !expired.is_empty() {
            let timeout = self.unresponsive_timeout(lead);
            let is_waited_for = |(_, listed, without_contact): &(WorkerId, bool, Duration)| {
                *listed && *without_contact < timeout
            };
            (waited_for, expired) = expired.into_iter().partition(is_waited_for);
        }
        for id in due {
            self.poll_worker(&id);
        }
        self.stop_lease_renewals();
        for (id, ..) in expired {
            self.declare_worker_lost(&id, ProcessEnd::LeaseExpired);
        }
        for (id, ..) in waited_for {
            self.end_runs_without_result(&id);
        }
        if let Some(lead) = self.lead.as_deref_mut() {
            for id in forgotten {
                lead.worker_states.remove(&id);
            }
        }
    }

    /// Returns the time without contact for which the leader waits for a worker whose entry exists.
    pub(super) fn unresponsive_timeout(&self, lead: &LeadState) -> Duration {
        if !self.enforces(SiteGuard::LateDone) {
            return Duration::ZERO;
        }
        let with_runs = lead
            .worker_states
            .values()
            .filter(|state| !state.runs.is_empty());
        let unresponsive_workers = with_runs
            .clone()
            .filter(|state| !state.has_contact(self.now, UNRESPONSIVE_AFTER));
        let (with_runs, unresponsive_workers) = (with_runs.count(), unresponsive_workers.count());
        let many_unresponsive = unresponsive_workers >= MIN_MANY_UNRESPONSIVE
            && unresponsive_workers * MANY_UNRESPONSIVE_DIVISOR >= with_runs;
        if many_unresponsive {
            MASS_LISTED_TIMEOUT
        } else {
            LISTED_TIMEOUT
        }
    }

    /// Ends those runs on a worker with an expired lease for which its run lists will report no success,
    /// while the leader still waits for the worker. Their tasks gain nothing from the wait. If an order did
    /// arrive, a success that is reported later still counts.
    ///
    /// The runs end as lost, not as crashed: the worker's entry still exists, so nothing shows that the
    /// worker has ended.
    fn end_runs_without_result(&mut self, id: &WorkerId) {
        let now = self.now;
        let lead = self.lead.as_deref();
        let Some(state) = lead.and_then(|lead| lead.worker_states.get(id)) else {
            return;
        };
        let without_result = state
            .runs
            .iter()
            .filter(|(_, live)| !live.may_report_success());
        let lost: Vec<_> = without_result
            .map(|(task, live)| (*task, live.run, live.saved.clone(), live.summary(now)))
            .collect();
        for (task, run, saved, run_summary) in lost {
            let why = format!(
                "{}, its entry still exists, {run_summary}",
                ProcessEnd::LeaseExpired.as_str()
            );
            self.end_without_report(id, task, run, EndKind::Lost, saved, &why);
        }
    }

    /// Returns whether all runs on an unresponsive worker are known to have ended.
    fn all_runs_ended(&self, id: &WorkerId, state: &WorkerState) -> bool {
        if !self.enforces(SiteGuard::HoldOver) {
            return true;
        }
        let former = self.former_leases_expire_at(id);
        if !state.token_accepted {
            // The worker may still be up: if its entry exists, it must have been polled without an answer.
            let polled = !state.listed || state.unanswered > 0;
            let workers_known = self.lead.as_deref().is_some_and(|lead| lead.workers_known);
            return self.now > former && workers_known && polled;
        }
        let former_bound = state.token_accepted_at + self.former_leaders.longest_lease();
        self.now > former.min(former_bound) && state.lease_has_expired(self.now)
    }

    /// Polls a worker at once if that is due, without scanning all workers.
    pub(super) fn poll_if_due(&mut self, id: &WorkerId) {
        let now = self.now;
        let state = self
            .lead
            .as_ref()
            .and_then(|lead| lead.worker_states.get(id));
        if self.may_command() && state.is_some_and(|state| state.poll_is_due(now)) {
            self.poll_worker(id);
        }
    }

    fn poll_worker(&mut self, id: &WorkerId) {
        let now = self.now;
        let bound = self.lease_bound();
        let short_polls = self.uses(PolicySwitch::ShortLooks);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let many = lead.worker_states.len() > MANY_WORKERS;
        let proxy = lead.proxies.proxy_of(id);
        let slack = lead.answer_limit(POLL_SLACK);
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        let in_contact = state.has_contact(now, RENEW_WITHIN);
        let connection = state.connection_of(proxy);
        // Without a connection to the process, the poll only finds out which process answers.
        let until_ms = connection
            .filter(|_| state.may_renew_lease(now, RENEW_WITHIN))
            .and_then(|_| state.lease_deadline(bound));
        if let Some(until) = until_ms {
            state.lease_until = state.lease_until.max(until);
        }
        let acknowledges = connection.map_or(0, |_| state.last_end_committed);
        let settled = state.last_end_seen == state.last_end_committed
            && (!state.has_unacknowledged_ends() || connection.is_some());
        let must_not_wait = !state.token_accepted
            || !in_contact
            || connection.is_none()
            || state.awaits_further_ends()
            || state.awaits_absence();
        // After a lost answer the worker does not wait. A second wait would exceed the time since the last
        // contact within which its lease is renewed.
        let wait = if must_not_wait || !settled || state.unanswered > 0 {
            Duration::ZERO
        } else if state.is_on_trial() {
            TRIAL_POLL_WAIT
        } else if many && state.runs.is_empty() {
            IDLE_POLL_WAIT
        } else if short_polls && state.has_urgent_run() {
            URGENT_POLL_WAIT
        } else {
            POLL_WAIT
        };
        let slack = if state.token_accepted {
            slack
        } else {
            POLL_SLACK
        };
        state.poll_in_flight = true;
        state.poll_wait = wait;
        let call = WorkerCall::Hold {
            until_ms,
            kept: acknowledges,
            connection,
            wait_ms: wait.as_millis() as u64,
        };
        self.counters.count("calls", "look");
        let purpose = CallPurpose::Poll {
            acknowledges,
            is_bound: connection.is_some(),
        };
        self.call_worker(id, purpose, call, wait + slack);
    }

    pub(super) fn call_worker(
        &mut self,
        id: &WorkerId,
        purpose: CallPurpose,
        call: WorkerCall,
        time: Duration,
    ) {
        let ticket = self.take_ticket();
        let proxy = self.send_via_proxy(ticket, id, &call, time);
        let trip = self
            .lead
            .as_deref()
            .map_or(Duration::ZERO, |lead| lead.round_trip_time);
        let slack = proxy.map_or(LOST_ANSWER_SLACK, |_| {
            PROXY_SLACK + trip.min(MAX_ROUND_TRIP)
        });
        // The order may have to wait for a new connection on which its process identifies itself.
        let setup = match purpose {
            CallPurpose::Start { .. } => IDENTIFICATION_TIMEOUT,
            _ => Duration::ZERO,
        };
        let limit = self.now + setup + time + slack;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let (Some(state), Some(incarnation)) = (
            lead.worker_states.get(id),
            lead.worker_states.incarnation_of(id),
        ) else {
            return;
        };
        let address = state.call_address().to_owned();
        let open = OpenCall {
            worker: incarnation,
            address: address.clone(),
            purpose,
            sent_at: self.now,
            proxy,
            limit,
        };
        lead.calls.insert(ticket, open);
        lead.call_deadlines.insert((limit, ticket));
        let token = lead.epoch;
        if proxy.is_none() {
            self.push_worker_call(ticket, id, address, token, call, time);
        }
    }

    pub(super) fn handle_worker_answer(&mut self, ticket: Ticket, answer: WorkerAnswer) {
        let now = self.now;
        if self.forward_answer(ticket, &answer) {
            return;
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(open) = lead.calls.remove(&ticket) else {
            return;
        };
        lead.call_deadlines.remove(&(open.limit, ticket));
        let purpose = &open.purpose;
        let order = !matches!(purpose, CallPurpose::Poll { .. });
        if order && matches!(answer, WorkerAnswer::Done { .. }) {
            lead.record_answer_time(now.saturating_sub(open.sent_at));
        }
        let fenced = matches!(
            answer,
            WorkerAnswer::Refused {
                reason: StartRefusal::Fenced,
                ..
            }
        );
        if fenced {
            self.step_down("a worker has seen a later token");
            self.read_leader_row();
            return;
        }
        let entries_known = lead.workers_known;
        // Answers of a process that another one has replaced are ignored.
        let Some(state) = lead.worker_states.get_incarnation_mut(&open.worker) else {
            return;
        };
        let id = open.worker.worker.clone();
        if let (WorkerAnswer::OtherLife, CallPurpose::Start { task, .. }) = (&answer, purpose) {
            // The other process has refused the order, so it was not executed.
            if let Some(live) = state.runs.get_mut(task) {
                live.busy = false;
            }
        }
        match state.evidence_in(answer, &open.address, entries_known) {
            WorkerAnswer::OtherLife => {
                self.declare_worker_lost(&id, ProcessEnd::OtherLife);
                if let Some(state) = self
                    .lead
                    .as_deref_mut()
                    .and_then(|lead| lead.worker_states.get_mut(&id))
                {
                    state.poll_in_flight = false;
                    if state.entry.address == open.address {
                        state.listed = false;
                        state.next_poll = now + FORGET_WORKER_AFTER;
                    } else {
                        // The next process may answer at the entry's address.
                        state.answered_at = None;
                        state.told_address = None;
                        state.next_poll = now;
                    }
                }
            }
            answer => match *purpose {
                CallPurpose::Poll {
                    acknowledges,
                    is_bound,
                } => {
                    if is_bound && answer == WorkerAnswer::NotSent {
                        self.handle_closed_connection(&id, open.sent_at);
                    } else {
                        self.handle_poll_answer(&id, &open, acknowledges, &answer);
                    }
                }
                CallPurpose::Start { task, run } => {
                    self.handle_start_answer(&id, task, run, open.sent_at, &answer)
                }
                CallPurpose::Stop { task, run } => self.handle_stop_answer(&id, task, run, &answer),
            },
        }
    }

    /// Handles the answer to a poll that acknowledged ends up to a number.
    fn handle_poll_answer(
        &mut self,
        id: &WorkerId,
        open: &OpenCall,
        acknowledged: u64,
        answer: &WorkerAnswer,
    ) {
        let sent_at = open.sent_at;
        if let Some(state) = self.worker_state_mut(id) {
            state.poll_in_flight = false;
            state.listed_on = None;
        }
        match answer {
            WorkerAnswer::Done {
                report: Some(report),
                clock_ms,
            } => {
                let before = self.worker_state_mut(id).map(|state| state.number);
                if !self.identify_process(id, sent_at, report) {
                    self.handle_unanswered_poll(id, sent_at, answer);
                    return;
                }
                if let Some(state) = self.worker_state_mut(id) {
                    if before == Some(state.number) {
                        state.last_end_acknowledged = state.last_end_acknowledged.max(acknowledged);
                    }
                    state.answered_at = Some(open.address.clone());
                    state.listed_on = report.connection.map(|connection| ListConnection {
                        proxy: open.proxy,
                        connection,
                    });
                }
                self.handle_answered_poll(id, sent_at, report, *clock_ms);
            }
            _ => self.handle_unanswered_poll(id, sent_at, answer),
        }
    }

    /// Polls a worker on another connection, because the one for the last poll has closed. That shows nothing
    /// about the worker.
    fn handle_closed_connection(&mut self, id: &WorkerId, sent_at: CoreTime) {
        self.counters.count("retries", "connection_ended");
        if let Some(state) = self.worker_state_mut(id) {
            state.poll_in_flight = false;
            state.listed_on = None;
            state.next_poll = sent_at;
        }
        self.poll_if_due(id);
    }

    fn handle_unanswered_poll(&mut self, id: &WorkerId, sent_at: CoreTime, answer: &WorkerAnswer) {
        let now = self.now;
        let Some(state) = self.worker_state_mut(id) else {
            return;
        };
        // Polls again at once after a first lost answer, and after a pause if the worker stays unresponsive.
        let first_miss = state.has_contact(now, FIRST_MISS_WINDOW);
        // A connection timeout counts as no answer, and is no evidence that the worker has ended.
        state.refused = *answer == WorkerAnswer::PortRefused;
        if state.refused {
            state.refused_at.get_or_insert(now);
        }
        state.next_poll = match (first_miss, state.refused) {
            (false, _) => now + UNRESPONSIVE_PAUSE,
            (true, true) => now + REFUSED_PAUSE,
            (true, false) => now,
        };
        let waited = now.saturating_sub(sent_at);
        let runs = state.runs.len();
        state.unanswered += 1;
        let unanswered = state.unanswered;
        if unanswered.is_power_of_two() {
            self.log_often("workers", "silent", || {
                let detail = format!("{answer:?} after {waited:?}, poll {unanswered}, {runs} runs");
                (id.to_string(), detail)
            });
        }
        self.counters.count("retries", "worker_silent");
        self.propose_crash_evidence(id);
        if let Some(lead) = self.lead.as_deref_mut().filter(|_| first_miss) {
            lead.record_missed_answer();
        }
    }

    fn handle_answered_poll(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
        clock_ms: Option<u64>,
    ) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.record_answer_in_time();
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        if let Some(clock) = clock_ms {
            state.record_clock(now, clock);
        }
        let first = !state.token_accepted;
        state.token_accepted = true;
        if first {
            state.token_accepted_at = now;
        }
        state.last_contact = Some(now);
        state.unanswered = 0;
        state.refused = false;
        state.refused_at = None;
        state.declared_lost = false;
        state.forget_crashes();
        state.next_poll = if first {
            now
        } else {
            (sent_at + MIN_POLL_INTERVAL).max(now)
        };
        self.request_lease_renewal(id);
        self.handle_report(id, sent_at, report);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if first {
            lead.placement_due = true;
        }
        if let Some(state) = lead.worker_states.get_mut(id) {
            if state.last_end_seen != state.last_end_committed && !state.has_unacknowledged_ends() {
                state.next_poll = now + COMMIT_PAUSE;
            }
        }
        self.poll_if_due(id);
    }
}
