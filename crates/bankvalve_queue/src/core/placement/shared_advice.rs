//! Advice that outlives the leadership in which it was requested.
//!
//! A long-running task that is down waits for advice and a permit. If each new leader requested all advice again,
//! the downtime would grow with each change of leader. So the leader tells its standbys what it knows from the
//! policy service about long-running tasks and which requests are in flight, and a successor continues with both.
//! Only permits, which expire within seconds, are requested again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::lead_state::LeadState;
use crate::core::placement::advice::{mark_late, LATE_ANSWER_TIMEOUT};
use crate::core::placement::step_advice::{InFlightAdvice, StepAdvice};
use crate::core::EntryCore;
use crate::ids::{CoreTime, StepKey, WorkerId};
use crate::ledger::JobOutcome;
use crate::peer::{AdviceInFlight, AdviceSummary, PeerAddress, PeerMessage};
use crate::policy::PolicySwitch;
use crate::worker::AdviceAnswer;

/// Interval between two messages with summaries.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of summaries in a message, and in the last one before leadership is handed over. A summary
/// takes some ten bytes for each worker about which the service has answered.
const MAX_SHARED_STEPS: usize = 8;
const MAX_HANDED_OVER_STEPS: usize = 64;
/// Maximum number of summaries that a standby keeps.
const MAX_KNOWN_STEPS: usize = 2_048;

/// Summaries that a standby has received, each with the time of arrival.
pub(in crate::core) type KnownAdvice = BTreeMap<StepKey, (CoreTime, AdviceSummary)>;

impl StepAdvice {
    /// Returns what is known about a step, for standbys.
    fn summary(&self, step: StepKey, now: CoreTime) -> AdviceSummary {
        let in_flight = self.in_flight.iter().map(|request| AdviceInFlight {
            adviser: request.adviser,
            workers: request.workers.clone(),
            expected_ms: request.expected.saturating_sub(now).as_millis() as u64,
        });
        let refused = self.answered.iter().filter(|id| !self.is_allowed(id));
        AdviceSummary {
            step,
            allowed: self.allowed_workers().cloned().collect(),
            refused: refused.cloned().collect(),
            in_flight: in_flight.collect(),
        }
    }
}

/// What a standby has been told.
#[derive(Debug, Default)]
pub(in crate::core) struct ToldAdvice {
    /// Process of the standby.
    life: u64,
    /// For each step, when its advice had last changed.
    steps: BTreeMap<StepKey, CoreTime>,
}

impl ToldAdvice {
    /// Returns the first of these steps about which the standby lacks something, and takes them for told.
    fn take_untold(&mut self, lead: &LeadState, steps: &[StepKey]) -> Vec<StepKey> {
        let mut untold = Vec::new();
        for step in steps {
            let Some(advice) = lead.advice.get(step) else {
                continue;
            };
            let changed_at = Some(advice.changed_at);
            if self.steps.get(step).copied() != changed_at && untold.len() < MAX_SHARED_STEPS {
                self.steps.insert(*step, advice.changed_at);
                untold.push(*step);
            }
        }
        untold
    }
}

impl EntryCore {
    /// Tells the standbys what they lack about long-running tasks, first about those that are down.
    pub(in crate::core) fn share_advice(&mut self) {
        let now = self.now;
        if !self.uses(PolicySwitch::SharedAdvice) {
            return;
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_advice_share || lead.lasting_steps.is_empty() {
            return;
        }
        lead.next_advice_share = now + SHARE_INTERVAL;
        let mut steps = lead.steps_by_downtime();
        let calm = lead.lasting_steps.iter();
        steps.extend(calm.filter(|step| !lead.restarting.contains_key(*step)));
        for standby in self.live_standbys() {
            let life = self
                .peers
                .get(&standby)
                .map_or(0, |peer| peer.heartbeat.life);
            let Some(lead) = self.lead.as_deref_mut() else {
                return;
            };
            let mut told = lead.advice_told.remove(&standby).unwrap_or_default();
            if told.life != life {
                told = ToldAdvice {
                    life,
                    ..ToldAdvice::default()
                };
            }
            told.steps
                .retain(|step, _| lead.lasting_steps.contains(step));
            let untold = told.take_untold(lead, &steps);
            lead.advice_told.insert(standby, told);
            self.send_summaries(standby, &untold);
        }
    }

    /// Tells a standby everything again, because messages to it may not have arrived.
    pub(in crate::core) fn forget_told_advice(&mut self, standby: PeerAddress) {
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.advice_told.remove(&standby);
        }
    }

    /// Tells a successor all that it needs about tasks that are down or soon will be, and about all other requests
    /// in flight, so that it does not send them again.
    pub(in crate::core) fn hand_over_advice(&mut self, successor: PeerAddress) {
        if !self.uses(PolicySwitch::SharedAdvice) {
            return;
        }
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let mut steps = lead.steps_by_downtime();
        let others = lead
            .advice
            .iter()
            .filter(|(key, advice)| advice.is_in_flight() && !lead.restarting.contains_key(*key));
        steps.extend(others.map(|(key, _)| *key));
        steps.truncate(MAX_HANDED_OVER_STEPS);
        self.send_summaries(successor, &steps);
    }

    fn send_summaries(&mut self, standby: PeerAddress, steps: &[StepKey]) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let summary = |step: &StepKey| Some(lead.advice.get(step)?.summary(*step, now));
        let summaries: Vec<AdviceSummary> = steps.iter().filter_map(summary).collect();
        if !summaries.is_empty() {
            self.send_message(standby, PeerMessage::AdviceKnown { summaries });
        }
    }

    /// Keeps what the leader knows from the policy service.
    pub(in crate::core) fn handle_known_advice(&mut self, summaries: Vec<AdviceSummary>) {
        if self.lead.is_some() {
            return;
        }
        let now = self.now;
        let summaries = summaries
            .into_iter()
            .map(|summary| (summary.step, (now, summary)));
        self.known_advice.extend(summaries);
        if self.known_advice.len() > MAX_KNOWN_STEPS {
            let book = &self.book;
            self.known_advice.retain(|step, _| {
                let job = book.job(step.job);
                job.is_some_and(|job| job.outcome == JobOutcome::Open)
            });
        }
        while self.known_advice.len() > MAX_KNOWN_STEPS {
            self.known_advice.pop_first();
        }
    }

    /// Starts a leadership with what is known from the policy service, and with the backlogs of the advisers.
    pub(in crate::core) fn inherit_advice(&mut self, lead: &mut LeadState) {
        if !self.uses(PolicySwitch::SharedAdvice) {
            return;
        }
        let now = self.now;
        for (address, peer) in self.live_peers() {
            let backlog = Duration::from_millis(peer.heartbeat.advice_backlog_ms);
            let heard_at = peer.last_contact.unwrap_or(now);
            lead.adviser_busy.insert(address, heard_at + backlog);
        }
        let local = self.settings.address;
        let backlog = self.advice_calls.backlog(now);
        lead.adviser_busy.insert(local, now + backlog);
        let live: BTreeSet<PeerAddress> = self.live_peers().map(|(address, _)| address).collect();
        for (step, (told_at, summary)) in std::mem::take(&mut self.known_advice) {
            let mut advice = StepAdvice::known(summary.allowed, &summary.refused);
            for request in summary.in_flight {
                let expected = told_at + Duration::from_millis(request.expected_ms);
                let until = expected + LATE_ANSWER_TIMEOUT;
                let is_open = if request.adviser == local {
                    self.advice_calls.includes(step, &request.workers)
                } else {
                    live.contains(&request.adviser)
                };
                if is_open && now < until {
                    let ticket = self.take_ticket();
                    let (adviser, workers) = (request.adviser, request.workers);
                    let busy = lead.adviser_busy.entry(adviser).or_insert(expected);
                    *busy = (*busy).max(expected);
                    advice.in_flight.push(InFlightAdvice {
                        ticket,
                        adviser,
                        workers,
                        expected,
                        long: true,
                        until,
                    });
                }
            }
            lead.advice.insert(step, advice);
        }
    }

    /// Handles an answer of the policy service to a request of a former leader.
    pub(in crate::core) fn receive_advice(
        &mut self,
        adviser: PeerAddress,
        step: StepKey,
        workers: Vec<WorkerId>,
        answer: AdviceAnswer,
    ) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let advice = lead.advice.entry(step).or_default();
        let is_answered =
            |request: &InFlightAdvice| request.adviser == adviser && request.workers == workers;
        let mut answered = advice
            .in_flight
            .iter()
            .filter(|request| is_answered(request));
        if answer == AdviceAnswer::NoReply && answered.any(|request| now >= request.expected) {
            mark_late(&mut lead.adviser_busy, adviser, now);
        }
        advice.in_flight.retain(|request| !is_answered(request));
        let asked = workers.len();
        let result = answer.result_text(asked);
        advice.record_answer(workers, answer, now);
        lead.placement_due = true;
        let detail = format!("{result}, to a request of a former leader through {adviser}");
        self.log("advice", "answer", step.to_string(), detail);
    }
}
