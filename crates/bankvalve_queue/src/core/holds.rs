//! Holds: prolonged by looks at workers, which answer with their lists.

use std::time::Duration;

use super::carriers::CARRY_SLACK;
use super::lead::{CallPurpose, LeadState, OpenCall};
use super::round_trip::WAY_MOST;
use super::seat::{LifeEnd, ListConnection, Seat, SILENT_LONG};
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
pub(super) const HOLD: Duration = Duration::from_millis(5_000);
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
pub(super) const PROLONG_IF_HEARD: Duration = Duration::from_millis(1_600);
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
    pub(super) fn run_holds(&mut self) {
        self.watch_waits();
        if !self.may_command() {
            return;
        }
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_hold_scan {
            return;
        }
        lead.next_hold_scan = now + lead.scan_pace();
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let mut due = Vec::new();
        // A worker's word may wait behind the event that is being taken.
        let seen = now.saturating_sub(self.lag);
        let is_silent = |seat: &Seat| !seat.is_heard(seen, SILENT_LONG);
        let (mut first_looks, mut silent_looks) = (0, 0);
        for seat in lead.seats.values().filter(|seat| seat.hold_busy) {
            first_looks += usize::from(!seat.proved);
            silent_looks += usize::from(seat.proved && is_silent(seat));
        }
        let mut silent_due = Vec::new();
        let mut over = Vec::new();
        let mut gone = Vec::new();
        for (id, seat) in lead.seats.iter() {
            let told = self.stopped_holds.silent_since(id);
            let known_at = told.unwrap_or(seat.known_at).min(seat.known_at);
            let silent = seen.saturating_sub(seat.heard_at.unwrap_or(known_at));
            let silent_long = is_silent(seat);
            if !seat.runs.is_empty() && silent_long && self.is_over(id, seat) {
                over.push((id.clone(), seat.listed, silent));
            }
            let idle = now.saturating_sub(seat.heard_at.unwrap_or(seat.known_at));
            if !seat.listed && seat.runs.is_empty() && idle > FORGET_SEAT {
                gone.push(id.clone());
            } else if !seat.look_is_due(now) {
                continue;
            } else if !seat.proved {
                first_looks += 1;
                due.extend((first_looks <= FIRST_LOOKS).then(|| id.clone()));
            } else if silent_long {
                silent_due.push((seat.next_hold, id.clone()));
            } else {
                due.push(id.clone());
            }
        }
        let budget = SILENT_LOOKS.max(lead.seats.len() / SILENT_SHARE);
        silent_due.sort_unstable();
        silent_due.truncate(budget.saturating_sub(silent_looks));
        due.extend(silent_due.into_iter().map(|(_, id)| id));
        let mut waited_for = Vec::new();
        if !over.is_empty() {
            let patience = self.silence_patience(lead);
            let is_waited_for =
                |(_, listed, silent): &(WorkerId, bool, Duration)| *listed && *silent < patience;
            (waited_for, over) = over.into_iter().partition(is_waited_for);
        }
        for id in due {
            self.look(&id);
        }
        self.stop_silent_holds();
        for (id, ..) in over {
            self.give_up_seat(&id, LifeEnd::HoldOver);
        }
        for (id, ..) in waited_for {
            self.give_up_untold(&id);
        }
        if let Some(lead) = self.lead.as_deref_mut() {
            for id in gone {
                lead.seats.remove(&id);
            }
        }
    }

    /// Silence for which a worker that is listed is waited for.
    pub(super) fn silence_patience(&self, lead: &LeadState) -> Duration {
        if !self.keeps(SiteGuard::LateDone) {
            return Duration::ZERO;
        }
        let busy = lead.seats.values().filter(|seat| !seat.runs.is_empty());
        let silent = busy
            .clone()
            .filter(|seat| !seat.is_heard(self.now, SILENT_LONG));
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
        let Some(seat) = lead.and_then(|lead| lead.seats.get(id)) else {
            return;
        };
        let untold = seat.runs.iter().filter(|(_, live)| !live.may_end_well());
        let lost: Vec<_> = untold
            .map(|(task, live)| (*task, live.run, live.saved.clone(), live.sight(now)))
            .collect();
        for (task, run, saved, sight) in lost {
            let why = format!("{}, its entry stands, {sight}", LifeEnd::HoldOver.as_str());
            self.end_without_report(id, task, run, EndKind::Lost, saved, &why);
        }
    }

    /// Tells whether all that runs on a silent worker has surely ended.
    fn is_over(&self, id: &WorkerId, seat: &Seat) -> bool {
        if !self.keeps(SiteGuard::HoldOver) {
            return true;
        }
        let former = self.former_holds_over_at(id);
        if !seat.proved {
            // It may live, and answer: it is asked once, if its entry is there.
            let asked = !seat.listed || seat.unanswered > 0;
            let workers_known = self.lead.as_deref().is_some_and(|lead| lead.workers_known);
            return self.now > former && workers_known && asked;
        }
        let taken = seat.proved_at + self.former_leaders.longest_hold();
        self.now > former.min(taken) && seat.hold_is_over(self.now)
    }

    /// Looks at a worker at once if that is due, without going through all of them.
    pub(super) fn look_if_due(&mut self, id: &WorkerId) {
        let now = self.now;
        let seat = self.lead.as_ref().and_then(|lead| lead.seats.get(id));
        if self.may_command() && seat.is_some_and(|seat| seat.look_is_due(now)) {
            self.look(id);
        }
    }

    fn look(&mut self, id: &WorkerId) {
        let now = self.now;
        let bound = self.hold_bound();
        let short_looks = self.uses(PolicySwitch::ShortLooks);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let many = lead.seats.len() > MANY_WORKERS;
        let carrier = lead.carriers.carrier_of(id);
        let slack = lead.answer_limit(LOOK_SLACK);
        let Some(seat) = lead.seats.get_mut(id) else {
            return;
        };
        let heard = seat.is_heard(now, PROLONG_IF_HEARD);
        let until_ms = if seat.may_prolong(now, PROLONG_IF_HEARD) {
            seat.hold_until(bound)
        } else {
            None
        };
        if let Some(until) = until_ms {
            seat.granted_until = seat.granted_until.max(until);
        }
        let connection = seat.acknowledges_on(carrier);
        let acknowledges = connection.map_or(0, |_| seat.kept);
        let settled = seat.seen == seat.kept && (!seat.has_kept_ends() || connection.is_some());
        // One lost answer is made up for at once: a second wait would take it past the silence from which
        // on its hold is not prolonged.
        let wait = if !(seat.proved && settled && heard) || seat.unanswered > 0 {
            Duration::ZERO
        } else if seat.is_on_trial() {
            TRIAL_LOOK_WAIT
        } else if many && seat.runs.is_empty() {
            IDLE_LOOK_WAIT
        } else if short_looks && seat.has_urgent_run() {
            URGENT_LOOK_WAIT
        } else {
            LOOK_WAIT
        };
        let slack = if seat.proved { slack } else { LOOK_SLACK };
        seat.hold_busy = true;
        seat.look_wait = wait;
        let call = WorkerCall::Hold {
            until_ms,
            kept: acknowledges,
            connection,
            wait_ms: wait.as_millis() as u64,
        };
        self.counters.count("calls", "look");
        let purpose = CallPurpose::Hold { acknowledges };
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
        let carrier = self.have_carried(ticket, id, &call, time);
        let way = self
            .lead
            .as_deref()
            .map_or(Duration::ZERO, |lead| lead.way_time);
        let slack = carrier.map_or(LOST_ANSWER, |_| CARRY_SLACK + way.min(WAY_MOST));
        let limit = self.now + time + slack;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let (Some(seat), Some(incarnation)) = (lead.seats.get(id), lead.seats.incarnation_of(id))
        else {
            return;
        };
        let address = seat.entry.address.clone();
        let open = OpenCall {
            worker: incarnation,
            purpose,
            sent_at: self.now,
            carrier,
            limit,
        };
        lead.calls.insert(ticket, open);
        lead.call_limits.insert((limit, ticket));
        let token = lead.epoch;
        if carrier.is_none() {
            self.push_worker_call(ticket, id, address, token, call, time);
        }
    }

    pub(super) fn take_worker_answer(&mut self, ticket: Ticket, answer: WorkerAnswer) {
        let now = self.now;
        if self.pass_answer_on(ticket, &answer) {
            return;
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(open) = lead.calls.remove(&ticket) else {
            return;
        };
        lead.call_limits.remove(&(open.limit, ticket));
        let purpose = &open.purpose;
        let order = !matches!(purpose, CallPurpose::Hold { .. });
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
            self.depose("a worker has seen a later token");
            self.read_leader_row();
            return;
        }
        // Of a process that another has followed, an answer tells nothing any more.
        let Some(seat) = lead.seats.of_mut(&open.worker) else {
            return;
        };
        let id = open.worker.worker.clone();
        match answer {
            WorkerAnswer::OtherLife => {
                if let CallPurpose::Start { task, .. } = purpose {
                    // The other life has turned the order away: it was not carried out.
                    if let Some(live) = seat.runs.get_mut(task) {
                        live.busy = false;
                    }
                }
                self.give_up_seat(&id, LifeEnd::OtherLife);
                if let Some(seat) = self
                    .lead
                    .as_deref_mut()
                    .and_then(|lead| lead.seats.get_mut(&id))
                {
                    seat.listed = false;
                    seat.hold_busy = false;
                    seat.next_hold = now + FORGET_SEAT;
                }
            }
            answer => match *purpose {
                CallPurpose::Hold { acknowledges } => {
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
        if let Some(seat) = self.lead_seat(id) {
            seat.hold_busy = false;
            seat.listed_on = None;
        }
        match answer {
            WorkerAnswer::Done {
                report: Some(report),
                clock_ms,
            } => {
                let before = self.lead_seat(id).map(|seat| seat.number);
                if !self.identify_process(id, sent_at, report, *clock_ms) {
                    self.end_silent_look(id, sent_at, answer);
                    return;
                }
                if let Some(seat) = self.lead_seat(id) {
                    if before == Some(seat.number) {
                        seat.acknowledged = seat.acknowledged.max(acknowledged);
                    }
                    seat.listed_on = report.connection.map(|connection| ListConnection {
                        carrier: open.carrier,
                        connection,
                    });
                }
                self.end_answered_look(id, sent_at, report, *clock_ms);
            }
            // Its connection has ended, which tells nothing of the worker: it is asked on another one.
            WorkerAnswer::NotSent if acknowledged > 0 => {
                self.counters.count("retries", "connection_ended");
                if let Some(seat) = self.lead_seat(id) {
                    seat.next_hold = sent_at;
                }
                self.look_if_due(id);
            }
            _ => self.end_silent_look(id, sent_at, answer),
        }
    }

    fn end_silent_look(&mut self, id: &WorkerId, sent_at: CoreTime, answer: &WorkerAnswer) {
        let now = self.now;
        let Some(seat) = self.lead_seat(id) else {
            return;
        };
        // One lost answer is asked for anew at once; a worker that stays silent is not pressed.
        let first_silence = seat.is_heard(now, FIRST_SILENCE);
        // A connection that is not made in time is silence and speaks against nobody.
        seat.refused = *answer == WorkerAnswer::PortRefused;
        if seat.refused {
            seat.refused_at.get_or_insert(now);
        }
        seat.next_hold = match (first_silence, seat.refused) {
            (false, _) => now + SILENT_PAUSE,
            (true, true) => now + REFUSED_PAUSE,
            (true, false) => now,
        };
        let asked = now.saturating_sub(sent_at);
        let runs = seat.runs.len();
        seat.unanswered += 1;
        let unanswered = seat.unanswered;
        if unanswered.is_power_of_two() {
            self.log_often("workers", "silent", || {
                let detail = format!("{answer:?} after {asked:?}, look {unanswered}, {runs} runs");
                (id.to_string(), detail)
            });
        }
        self.counters.count("retries", "worker_silent");
        self.keep_crashes(id);
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
        let Some(seat) = lead.seats.get_mut(id) else {
            return;
        };
        if let Some(clock) = clock_ms {
            seat.note_clock(now, clock);
        }
        let first = !seat.proved;
        seat.proved = true;
        if first {
            seat.proved_at = now;
        }
        seat.heard_at = Some(now);
        seat.unanswered = 0;
        seat.refused = false;
        seat.refused_at = None;
        seat.over = false;
        seat.forget_crashes();
        seat.next_hold = if first {
            now
        } else {
            (sent_at + LOOK_PACE).max(now)
        };
        self.resume_hold(id);
        self.take_report(id, sent_at, report);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if first {
            lead.stale = true;
        }
        if let Some(seat) = lead.seats.get_mut(id) {
            if seat.seen != seat.kept && !seat.has_kept_ends() {
                seat.next_hold = now + KEEP_PAUSE;
            }
        }
        self.look_if_due(id);
    }
}
