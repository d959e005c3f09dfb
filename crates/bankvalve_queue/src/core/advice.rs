//! Questions to the policy service, spread over the instances.
//!
//! The service answers one question at a time for each calling instance, so
//! the leader has its peers ask too. Answers do not change and are kept;
//! permits run out and are renewed before a start that needs one.
//!
//! The pattern that it answers: gangs of some 40 and up to 200 members of which a third of the
//! workers may run a step, each worker that is asked about taking some milliseconds. One question
//! after the other, each about a hundred, took a gang of 80 members five to nine seconds of the ten
//! that it has. So a question about many is cut into parts that several instances ask at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::EntryCore;
use crate::core::CoreAction;
use crate::ids::{CoreTime, StepKey, Ticket, WorkerId};
use crate::peer::{PeerAddress, PeerMessage};
use crate::policy::PolicySwitch;
use crate::queue_table::AdviceRule;
use crate::worker::{AdviceAnswer, AdviceRequest};

/// Most workers that are asked about for a step at once, in parts; the service takes a hundred in one
/// question.
pub(super) const ASK_LIMIT: usize = 300;
/// Workers in a part of a question, where there are enough instances to ask.
const PART: usize = 40;
/// Workers in one question, at most.
const PART_MOST: usize = 100;
/// Share of the instances that ask nothing which one step's question may take, as a divisor: parts
/// cost the service more in all, so they become fewer as instances become busy. With a quarter,
/// batches whose questions wait behind earned 0.80 of their worth in place of 1.00 in a backlog.
const ADVISER_SHARE: usize = 12;
/// A permit is used only this long before it runs out, since the order takes its way and may be
/// repeated; the time that the start takes to be kept comes on top.
const PERMIT_MARGIN: Duration = Duration::from_millis(200);
/// Questions that take longer go to some of the instances only, so that short ones do not wait.
const LONG_QUESTION: Duration = Duration::from_millis(60);
/// Time for the way of a question and its answer.
const ASK_SLACK: Duration = Duration::from_millis(6);
/// Wait beyond the reckoned time before a question is given up.
const ASK_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two looks for questions that had no answer.
const ADVICE_SCAN: Duration = Duration::from_millis(20);
/// Longest queue of questions at an instance, by time, to which another is added. Room is reserved until a
/// question is answered, so a long queue reserves it for permits that come too late to be used.
const ASK_AHEAD: Duration = Duration::from_secs(4);
/// Pause after a question that got no answer.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// A permit for one worker.
#[derive(Clone, Debug)]
struct Permit {
    text: String,
    until: CoreTime,
}

/// A question on its way.
#[derive(Debug)]
struct AdviceFlight {
    ticket: Ticket,
    adviser: PeerAddress,
    asked: Vec<WorkerId>,
    /// When its answer is expected.
    expected: CoreTime,
    long: bool,
    until: CoreTime,
}

/// What is known of the policy's answers for one step.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    good: BTreeMap<WorkerId, Permit>,
    known: BTreeSet<WorkerId>,
    flights: Vec<AdviceFlight>,
    retry_at: CoreTime,
}

impl StepAdvice {
    pub(super) fn is_good(&self, worker: &WorkerId) -> bool {
        self.good.contains_key(worker)
    }

    /// Workers that may run the step.
    pub(super) fn good(&self) -> impl Iterator<Item = &WorkerId> {
        self.good.keys()
    }

    /// Those whose permits hold until a time.
    pub(super) fn permitted(&self, until: CoreTime) -> impl Iterator<Item = &WorkerId> {
        let permits = self.good.iter();
        permits
            .filter(move |(_, permit)| permit.until > until)
            .map(|(id, _)| id)
    }

    pub(super) fn is_known(&self, worker: &WorkerId) -> bool {
        self.known.contains(worker)
    }

    /// The permit for a worker, if it holds until a time.
    pub(super) fn permit(&self, worker: &WorkerId, until: CoreTime) -> Option<&str> {
        let permit = self.good.get(worker)?;
        (permit.until > until).then_some(permit.text.as_str())
    }

    pub(super) fn can_ask(&self, now: CoreTime) -> bool {
        self.flights.is_empty() && now >= self.retry_at
    }

    /// Whether a question may be asked after the last one, whatever is on its way.
    pub(super) fn may_retry(&self, now: CoreTime) -> bool {
        now >= self.retry_at
    }

    /// Whether a question about a worker is on its way.
    pub(super) fn is_asked(&self, worker: &WorkerId) -> bool {
        let mut flights = self.flights.iter();
        flights.any(|flight| flight.asked.contains(worker))
    }

    /// Whether a question is on its way about workers of which nothing is known.
    pub(super) fn explores(&self) -> bool {
        let mut asked = self.flights.iter().flat_map(|flight| &flight.asked);
        asked.any(|worker| !self.known.contains(worker))
    }

    pub(super) fn is_new(&self) -> bool {
        self.known.is_empty()
    }
}

impl EntryCore {
    /// Asks about workers for a step, in parts; each answer leads to another placement. Returns when
    /// the last one is expected.
    pub(super) fn request_advice(
        &mut self,
        step: StepKey,
        rule: AdviceRule,
        workers: &[WorkerId],
    ) -> CoreTime {
        let part = self.part_of_question(rule, workers.len());
        let parts = workers.chunks(part);
        let expected = parts.map(|part| self.ask_part(step, rule, part.to_vec()));
        expected.max().unwrap_or(self.now)
    }

    /// Workers in each part of a question about so many: few where that is sooner and instances are
    /// at hand that ask nothing else.
    fn part_of_question(&self, rule: AdviceRule, workers: usize) -> usize {
        if rule.time_for(workers) <= LONG_QUESTION {
            return PART_MOST;
        }
        let parts = (self.idle_advisers() / ADVISER_SHARE).max(1);
        workers.div_ceil(parts).clamp(PART, PART_MOST)
    }

    /// Peers that live and ask nothing, as far as is reckoned.
    pub(super) fn idle_advisers(&self) -> usize {
        let now = self.now;
        let busy = self.lead.as_deref().map(|lead| &lead.adviser_busy);
        let is_busy = |address: &PeerAddress| {
            let until = busy.and_then(|busy| busy.get(address));
            until.is_some_and(|until| *until > now)
        };
        let peers = self
            .live_peers()
            .filter(|(_, peer)| !peer.heartbeat.stopping);
        peers.filter(|(address, _)| !is_busy(address)).count()
    }

    fn ask_part(&mut self, step: StepKey, rule: AdviceRule, workers: Vec<WorkerId>) -> CoreTime {
        let now = self.now;
        let takes = rule.time_for(workers.len());
        let adviser = self.choose_adviser(takes);
        let ticket = self.take_ticket();
        let own = self.settings.address;
        let Some(lead) = self.lead.as_deref_mut() else {
            return now;
        };
        let busy = lead.adviser_busy.entry(adviser).or_insert(now);
        *busy = (*busy).max(now) + takes + ASK_SLACK;
        let until = *busy + ASK_TIMEOUT;
        let expected = *busy;
        let time = until.saturating_sub(now);
        let advice = lead.advice.entry(step).or_default();
        advice.flights.push(AdviceFlight {
            ticket,
            adviser,
            asked: workers.clone(),
            expected,
            long: takes > LONG_QUESTION,
            until,
        });
        let ask = AdviceRequest {
            step,
            workers,
            time,
        };
        self.counters.count("calls", "advice");
        if takes > LONG_QUESTION {
            let detail = format!(
                "{} workers by {adviser}, expected after {:?}",
                ask.workers.len(),
                expected.saturating_sub(now)
            );
            self.log("advice", "ask", step.to_string(), detail);
        }
        if adviser == own {
            self.actions.push(CoreAction::Advice { ticket, ask });
        } else {
            self.send_via_hub(adviser, PeerMessage::Advise { ticket, ask });
        }
        expected
    }

    /// The instance that would answer first; long questions leave a third of them free.
    fn choose_adviser(&self, takes: Duration) -> PeerAddress {
        let own = self.settings.address;
        let mut advisers: Vec<PeerAddress> = self
            .live_peers()
            .filter(|(_, peer)| !peer.heartbeat.stopping)
            .map(|(address, _)| address)
            .collect();
        advisers.sort_unstable();
        advisers.push(own);
        let short_only = advisers.len().div_ceil(3);
        let spare = self.uses(PolicySwitch::ShortQuestions);
        if spare && takes > LONG_QUESTION && advisers.len() > short_only {
            advisers.truncate(advisers.len() - short_only);
        }
        let now = self.now;
        let busy = |address: &PeerAddress| {
            let lead = self.lead.as_deref();
            let until = lead.and_then(|lead| lead.adviser_busy.get(address).copied());
            until.unwrap_or(now).max(now)
        };
        let from_own = |address: &PeerAddress| u8::from(*address != own);
        advisers
            .iter()
            .copied()
            .min_by_key(|address| (busy(address), from_own(address)))
            .unwrap_or(own)
    }

    /// Tells whether an instance is at hand that would soon ask a question.
    pub(super) fn has_adviser_soon(&self, rule: AdviceRule, workers: usize) -> bool {
        let takes = rule.time_for(workers.min(PART));
        let adviser = self.choose_adviser(takes);
        let busy = self.lead.as_deref().map(|lead| &lead.adviser_busy);
        let until = busy.and_then(|busy| busy.get(&adviser));
        until.is_none_or(|until| *until <= self.now + ASK_AHEAD)
    }

    /// Carries a question for the leader.
    pub(super) fn proxy_advice(&mut self, from: PeerAddress, ticket: Ticket, ask: AdviceRequest) {
        let own_ticket = self.take_ticket();
        self.proxied_advice.insert(own_ticket, (from, ticket));
        self.actions.push(CoreAction::Advice {
            ticket: own_ticket,
            ask,
        });
    }

    pub(super) fn handle_advice(&mut self, ticket: Ticket, answer: AdviceAnswer) {
        match self.proxied_advice.remove(&ticket) {
            Some((peer, ticket)) => {
                self.send_via_hub(peer, PeerMessage::Advised { ticket, answer });
            }
            None => self.end_advice(ticket, answer),
        }
    }

    pub(super) fn end_advice(&mut self, ticket: Ticket, answer: AdviceAnswer) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let place = |advice: &StepAdvice| {
            let mut flights = advice.flights.iter();
            flights.position(|flight| flight.ticket == ticket)
        };
        let mut all = lead.advice.iter_mut();
        let found = all.find_map(|(step, advice)| Some((*step, place(advice)?, advice)));
        let Some((step, place, advice)) = found else {
            return;
        };
        let flight = advice.flights.swap_remove(place);
        lead.placement_due = true;
        let kind = match &answer {
            AdviceAnswer::Good { permits, .. } => {
                format!("{} good of {}", permits.len(), flight.asked.len())
            }
            other => format!("{other:?}"),
        };
        let late = now.saturating_sub(flight.expected);
        match answer {
            AdviceAnswer::Good { permits, valid_ms } => {
                let valid = Duration::from_millis(valid_ms).saturating_sub(PERMIT_MARGIN);
                advice.known.extend(flight.asked);
                for (worker, text) in permits {
                    let until = now + valid;
                    advice.good.insert(worker, Permit { text, until });
                }
            }
            AdviceAnswer::Busy => {
                advice.retry_at = now + ASK_PAUSE;
                self.counters.count("retries", "advice_busy");
            }
            AdviceAnswer::NoReply => {
                advice.retry_at = now;
                self.counters.count("retries", "advice_unanswered");
            }
        }
        if flight.long {
            self.log(
                "advice",
                "answer",
                step.to_string(),
                format!("{kind}, {late:?} late"),
            );
        }
    }

    pub(super) fn drop_permit(&mut self, step: StepKey, worker: &WorkerId) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if let Some(permit) = lead
            .advice
            .get_mut(&step)
            .and_then(|advice| advice.good.get_mut(worker))
        {
            permit.until = CoreTime::ZERO;
        }
    }

    /// Forgets the permits for a worker: they were for the process before.
    pub(super) fn drop_permits_of(&mut self, worker: &WorkerId) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let advices = lead.advice.values_mut();
        for permit in advices.filter_map(|advice| advice.good.get_mut(worker)) {
            permit.until = CoreTime::ZERO;
        }
    }

    /// Asks others in place of a peer that does not answer.
    pub(super) fn reassign_advice(&mut self, peer: PeerAddress) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.adviser_busy.remove(&peer);
        for advice in lead.advice.values_mut() {
            let before = advice.flights.len();
            advice.flights.retain(|flight| flight.adviser != peer);
            lead.placement_due |= advice.flights.len() < before;
        }
    }

    /// Gives up questions that have had no answer for too long.
    pub(super) fn run_advice(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_advice_scan {
            return;
        }
        lead.next_advice_scan = now + ADVICE_SCAN;
        let mut lost = Vec::new();
        for advice in lead.advice.values_mut() {
            let flights = advice.flights.iter().filter(|flight| now > flight.until);
            lost.extend(flights.map(|flight| flight.adviser));
            advice.flights.retain(|flight| now <= flight.until);
        }
        lead.placement_due |= !lost.is_empty();
        self.counters
            .count_many("retries", "advice_unanswered", lost.len() as u64);
        // An instance that is behind what is reckoned, with questions of a leader before, stays behind for as long as
        // new ones replace those that are given up.
        let free_at = now + ASK_AHEAD + ASK_TIMEOUT;
        for adviser in lost {
            let busy = lead.adviser_busy.entry(adviser).or_insert(free_at);
            *busy = (*busy).max(free_at);
        }
    }
}
