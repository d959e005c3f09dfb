//! Holds: prolonged by looks at workers, which answer with their lists.

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
use crate::worker::{HoldReport, StartRefusal, WorkerAnswer, WorkerCall};

/// Longest hold that is asked for; a lost worker's tasks start again only when it is over,
/// and what a cut-off worker runs lives so long.
///
/// **NOTE:** Each life tells it to its peers, which reckon with it for earlier lives at its address
/// as well. A version that asks for less must tell the longer one as long as lives before it may have
/// asked for that.
pub(super) const LEASE_DURATION: Duration = Duration::from_millis(5_000);
/// Longest that a worker waits for an end before it answers.
const LOOK_WAIT: Duration = Duration::from_millis(900);
/// The same for a worker with runs whose end is urgent: an answer that is lost shows only when the
/// wait is over, and a short lookup takes about as long.
const URGENT_LOOK_WAIT: Duration = Duration::from_millis(350);
/// The same for a worker that a suspect has to itself: how soon after the start it ends is what tells a
/// guilty task from one that was there by chance, and trials are few and short.
const TRIAL_LOOK_WAIT: Duration = Duration::from_millis(50);
/// Longest time for the way there and back, and a slow worker.
const LOOK_SLACK: Duration = Duration::from_millis(600);
/// Time beyond a call's own after which its answer does not come any more: the link tells of each
/// call in time, unless the core's ring was full.
const LOST_ANSWER: Duration = Duration::from_millis(1_000);
/// Least time between two looks, so that ends that come close together travel together.
const LOOK_PACE: Duration = Duration::from_millis(15);
/// Pause of looks while ends wait to be kept.
const KEEP_PAUSE: Duration = Duration::from_millis(500);
/// A worker that was heard so lately has left one look without an answer, no more.
const FIRST_SILENCE: Duration = Duration::from_millis(1_300);
/// Pause after a look that the worker's port refused: a new process there is found within it.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a look without an answer.
const SILENT_PAUSE: Duration = Duration::from_millis(250);
/// The same for a worker that runs nothing, on a site of many workers.
const IDLE_LOOK_WAIT: Duration = Duration::from_millis(2_000);
/// Workers from which on a site has many, so that looks at idle ones are a load.
const MANY_WORKERS: usize = 500;
/// First looks on their way at once: each needs a new connection, and thousands of them would
/// take the processor for longer than any of them waits.
const FIRST_LOOKS: usize = 150;
/// Looks on their way at workers that were silent before, at least, and as a divisor of all workers:
/// when all are silent it is the leader's own link or processor, and to ask all of them again and
/// again, each on a new connection, keeps it so.
const SILENT_LOOKS: usize = 8;
const SILENT_SHARE: usize = 16;
/// Silence for which a worker that keeps its own entry in the table is waited for: it lives, and
/// its lists will tell which of its runs ended well. Their tasks start elsewhere some seconds later
/// than its hold would allow, in place of running to their ends twice.
const LISTED_SILENCE: Duration = Duration::from_millis(10_000);
/// The same while many workers are silent at once, which is as a rule the leader's own doing.
const COMMON_SILENCE: Duration = Duration::from_millis(30_000);
/// Workers with runs that are silent at once, as a divisor of all with runs, and at least, from
/// which on the silence counts as common.
const COMMON_SHARE: usize = 4;
const COMMON_LEAST: usize = 3;
/// A worker that was heard so lately has its hold prolonged: after a look whose answer is lost (1.5 s)
/// once more. The tasks of a worker that is lost start again no sooner than that and a hold later.
pub(super) const RENEW_WITHIN: Duration = Duration::from_millis(1_600);
/// Longest that a leader commands workers without being sure that it leads.
pub(super) const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(15);
/// A clock of a worker may run 2% slow, and answers take their way.
pub(super) const SLOW_CLOCK_FACTOR: f64 = 1.03;
/// Silence after which an unlisted worker without runs is forgotten.
const FORGET_SEAT: Duration = Duration::from_secs(8);

impl EntryCore {
    /// Whether this leader may still command workers.
    pub(super) fn may_command(&self) -> bool {
        self.lead
            .as_ref()
            .is_some_and(|lead| self.age(lead.confirmed_at) < UNCONFIRMED_LIMIT)
    }

    /// Looks at workers that are due, and gives up those whose holds are over.
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
        // A worker's word may wait behind the event that is being taken.
        let seen = now.saturating_sub(self.lag);
        let is_unresponsive = |state: &WorkerState| !state.has_contact(seen, UNRESPONSIVE_AFTER);
        let (mut first_looks, mut silent_looks) = (0, 0);
        for state in lead
            .worker_states
            .values()
            .filter(|state| state.poll_in_flight)
        {
            first_looks += usize::from(!state.token_accepted);
            silent_looks += usize::from(state.token_accepted && is_unresponsive(state));
        }
        let mut silent_due = Vec::new();
        let mut over = Vec::new();
        let mut gone = Vec::new();
        for (id, state) in lead.worker_states.iter() {
            let told = self.stopped_leases.unresponsive_since(id);
            let known_at = told.unwrap_or(state.known_at).min(state.known_at);
            let silent = seen.saturating_sub(state.last_contact.unwrap_or(known_at));
            let silent_long = is_unresponsive(state);
            if !state.runs.is_empty() && silent_long && self.is_over(id, state) {
                over.push((id.clone(), state.listed, silent));
            }
            let idle = now.saturating_sub(state.last_contact.unwrap_or(state.known_at));
            if !state.listed && state.runs.is_empty() && idle > FORGET_SEAT {
                gone.push(id.clone());
            } else if !state.poll_is_due(now) {
                continue;
            } else if !state.token_accepted {
                first_looks += 1;
                due.extend((first_looks <= FIRST_LOOKS).then(|| id.clone()));
            } else if silent_long {
                silent_due.push((state.next_poll, id.clone()));
            } else {
                due.push(id.clone());
            }
        }
        let budget = SILENT_LOOKS.max(lead.worker_states.len() / SILENT_SHARE);
        silent_due.sort_unstable();
        silent_due.truncate(budget.saturating_sub(silent_looks));
        due.extend(silent_due.into_iter().map(|(_, id)| id));
        let mut waited_for = Vec::new();
        if !over.is_empty() {
            let patience = self.unresponsive_timeout(lead);
            let is_waited_for =
                |(_, listed, silent): &(WorkerId, bool, Duration)| *listed && *silent < patience;
            (waited_for, over) = over.into_iter().partition(is_waited_for);
        }
        for id in due {
            self.look(&id);
        }
        self.stop_silent_leases();
        for (id, ..) in over {
            self.declare_worker_lost(&id, ProcessEnd::LeaseExpired);
        }
        for (id, ..) in waited_for {
            self.give_up_untold(&id);
        }
        if let Some(lead) = self.lead.as_deref_mut() {
            for id in gone {
                lead.worker_states.remove(&id);
            }
        }
    }

    /// Silence for which a worker that is listed is waited for.
    pub(super) fn unresponsive_timeout(&self, lead: &LeadState) -> Duration {
        if !self.enforces(SiteGuard::LateDone) {
            return Duration::ZERO;
        }
        let busy = lead
            .worker_states
            .values()
            .filter(|state| !state.runs.is_empty());
        let silent = busy
            .clone()
            .filter(|state| !state.has_contact(self.now, UNRESPONSIVE_AFTER));
        let (busy, silent) = (busy.count(), silent.count());
        let common = silent >= COMMON_LEAST && silent * COMMON_SHARE >= busy;
        if common {
            COMMON_SILENCE
        } else {
            LISTED_SILENCE
        }
    }

    /// Ends the runs on a worker whose hold is over and which is waited for, of which its lists will tell
    /// no good end: their tasks would wait for nothing. If an order did arrive after all, its good end
    /// counts when it comes.
    ///
    /// Its entry stands, so nothing tells that the worker has ended.
    fn give_up_untold(&mut self, id: &WorkerId) {
        let now = self.now;
        let lead = self.lead.as_deref();
        let Some(state) = lead.and_then(|lead| lead.worker_states.get(id)) else {
            return;
        };
        let untold = state
            .runs
            .iter()
            .filter(|(_, live)| !live.may_report_success());
        let lost: Vec<_> = untold
            .map(|(task, live)| (*task, live.run, live.saved.clone(), live.summary(now)))
            .collect();
        for (task, run, saved, sight) in lost {
            let why = format!(
                "{}, its entry stands, {sight}",
                ProcessEnd::LeaseExpired.as_str()
            );
            self.end_without_report(id, task, run, EndKind::Lost, saved, &why);
        }
    }

    /// Tells whether all that runs on a silent worker has surely ended.
    fn is_over(&self, id: &WorkerId, state: &WorkerState) -> bool {
        if !self.enforces(SiteGuard::HoldOver) {
            return true;
        }
        let former = self.former_leases_expire_at(id);
        if !state.token_accepted {
            // It may live, and answer: it is asked once, if its entry is there.
            let asked = !state.listed || state.unanswered > 0;
            let workers_known = self.lead.as_deref().is_some_and(|lead| lead.workers_known);
            return self.now > former && workers_known && asked;
        }
        let taken = state.token_accepted_at + self.former_leaders.longest_lease();
        self.now > former.min(taken) && state.lease_has_expired(self.now)
    }

    /// Looks at a worker at once if that is due, without going through all of them.
    pub(super) fn poll_if_due(&mut self, id: &WorkerId) {
        let now = self.now;
        let state = self
            .lead
            .as_ref()
            .and_then(|lead| lead.worker_states.get(id));
        if self.may_command() && state.is_some_and(|state| state.poll_is_due(now)) {
            self.look(id);
        }
    }

    fn look(&mut self, id: &WorkerId) {
        let now = self.now;
        let bound = self.lease_bound();
        let short_looks = self.uses(PolicySwitch::ShortLooks);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let many = lead.worker_states.len() > MANY_WORKERS;
        let proxy = lead.proxies.proxy_of(id);
        let slack = lead.answer_limit(LOOK_SLACK);
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        let heard = state.has_contact(now, RENEW_WITHIN);
        let until_ms = if state.may_renew_lease(now, RENEW_WITHIN) {
            state.lease_deadline(bound)
        } else {
            None
        };
        if let Some(until) = until_ms {
            state.lease_until = state.lease_until.max(until);
        }
        let connection = state.acknowledges_on(proxy);
        let acknowledges = connection.map_or(0, |_| state.last_end_committed);
        let settled = state.last_end_seen == state.last_end_committed
            && (!state.has_unacknowledged_ends() || connection.is_some());
        // One lost answer is made up for at once: a second wait would take it past the silence from which
        // on its hold is not prolonged.
        let wait = if !(state.token_accepted && settled && heard) || state.unanswered > 0 {
            Duration::ZERO
        } else if state.is_on_trial() {
            TRIAL_LOOK_WAIT
        } else if many && state.runs.is_empty() {
            IDLE_LOOK_WAIT
        } else if short_looks && state.has_urgent_run() {
            URGENT_LOOK_WAIT
        } else {
            LOOK_WAIT
        };
        let slack = if state.token_accepted {
            slack
        } else {
            LOOK_SLACK
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
        let purpose = CallPurpose::Poll { acknowledges };
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
        let way = self
            .lead
            .as_deref()
            .map_or(Duration::ZERO, |lead| lead.round_trip_time);
        let slack = proxy.map_or(LOST_ANSWER, |_| PROXY_SLACK + way.min(MAX_ROUND_TRIP));
        let limit = self.now + time + slack;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let (Some(state), Some(incarnation)) = (
            lead.worker_states.get(id),
            lead.worker_states.incarnation_of(id),
        ) else {
            return;
        };
        let address = state.entry.address.clone();
        let open = OpenCall {
            worker: incarnation,
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
            lead.note_answer(now.saturating_sub(open.sent_at));
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
        // Of a process that another has followed, an answer tells nothing any more.
        let Some(state) = lead.worker_states.get_incarnation_mut(&open.worker) else {
            return;
        };
        let id = open.worker.worker.clone();
        match answer {
            WorkerAnswer::OtherLife => {
                if let CallPurpose::Start { task, .. } = purpose {
                    // The other life has turned the order away: it was not carried out.
                    if let Some(live) = state.runs.get_mut(task) {
                        live.busy = false;
                    }
                }
                self.declare_worker_lost(&id, ProcessEnd::OtherLife);
                if let Some(state) = self
                    .lead
                    .as_deref_mut()
                    .and_then(|lead| lead.worker_states.get_mut(&id))
                {
                    state.listed = false;
                    state.poll_in_flight = false;
                    state.next_poll = now + FORGET_SEAT;
                }
            }
            answer => match *purpose {
                CallPurpose::Poll { acknowledges } => {
                    self.end_look(&id, &open, acknowledges, &answer)
                }
                CallPurpose::Start { task, run } => self.end_start(&id, task, run, &answer),
                CallPurpose::Stop { task, run } => self.end_stop(&id, task, run, &answer),
            },
        }
    }

    /// Takes the answer to a look that acknowledged ends up to a number.
    fn end_look(
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
                if !self.identify_process(id, sent_at, report, *clock_ms) {
                    self.end_silent_look(id, sent_at, answer);
                    return;
                }
                if let Some(state) = self.worker_state_mut(id) {
                    if before == Some(state.number) {
                        state.last_end_acknowledged = state.last_end_acknowledged.max(acknowledged);
                    }
                    state.listed_on = report.connection.map(|connection| ListConnection {
                        proxy: open.proxy,
                        connection,
                    });
                }
                self.end_answered_look(id, sent_at, report, *clock_ms);
            }
            // Its connection has ended, which tells nothing of the worker: it is asked on another one.
            WorkerAnswer::NotSent if acknowledged > 0 => {
                self.counters.count("retries", "connection_ended");
                if let Some(state) = self.worker_state_mut(id) {
                    state.next_poll = sent_at;
                }
                self.poll_if_due(id);
            }
            _ => self.end_silent_look(id, sent_at, answer),
        }
    }

    fn end_silent_look(&mut self, id: &WorkerId, sent_at: CoreTime, answer: &WorkerAnswer) {
        let now = self.now;
        let Some(state) = self.worker_state_mut(id) else {
            return;
        };
        // One lost answer is asked for anew at once; a worker that stays silent is not pressed.
        let first_silence = state.has_contact(now, FIRST_SILENCE);
        // A connection that is not made in time is silence and speaks against nobody.
        state.refused = *answer == WorkerAnswer::PortRefused;
        if state.refused {
            state.refused_at.get_or_insert(now);
        }
        state.next_poll = match (first_silence, state.refused) {
            (false, _) => now + SILENT_PAUSE,
            (true, true) => now + REFUSED_PAUSE,
            (true, false) => now,
        };
        let asked = now.saturating_sub(sent_at);
        let runs = state.runs.len();
        state.unanswered += 1;
        let unanswered = state.unanswered;
        if unanswered.is_power_of_two() {
            self.log_often("workers", "silent", || {
                let detail = format!("{answer:?} after {asked:?}, look {unanswered}, {runs} runs");
                (id.to_string(), detail)
            });
        }
        self.counters.count("retries", "worker_silent");
        self.propose_crash_evidence(id);
        if let Some(lead) = self.lead.as_deref_mut().filter(|_| first_silence) {
            lead.note_miss();
        }
    }

    fn end_answered_look(
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
        lead.note_in_time();
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        if let Some(clock) = clock_ms {
            state.note_clock(now, clock);
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
            (sent_at + LOOK_PACE).max(now)
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
                state.next_poll = now + KEEP_PAUSE;
            }
        }
        self.poll_if_due(id);
    }
}
