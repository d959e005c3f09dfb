//! Advice requests that this instance sends to the policy service as an adviser, for the leader or as the leader.
//!
//! A request outlives the leadership in which it was made. Its answer goes to the leader that made it, and to the
//! present leader if another instance leads by then. An answer may arrive before it is known who leads next, so
//! recent ones are kept for that leader.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::placement::advice::LATE_ANSWER_TIMEOUT;
use super::EntryCore;
use crate::ids::{CoreTime, StepKey, Ticket, WorkerId};
use crate::peer::{PeerAddress, PeerMessage};
use crate::policy::PolicySwitch;
use crate::worker::{AdviceAnswer, AdviceRequest};

/// Time for which an answer is kept for the next leader.
const KEEP_ANSWERS: Duration = Duration::from_secs(5);
/// Maximum number of answers that are kept.
const MAX_KEPT_ANSWERS: usize = 64;

/// The leadership in which a request was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AdviceOrigin {
    leader: PeerAddress,
    /// Newest epoch that this instance knew then. An instance may lead again, with other tickets.
    epoch: u64,
}

/// A request to the policy service without an answer yet.
#[derive(Debug)]
struct AdviceCall {
    origin: AdviceOrigin,
    /// The leader's ticket of the request.
    ticket: Ticket,
    step: StepKey,
    workers: Vec<WorkerId>,
    /// When the answer is expected.
    expected: CoreTime,
}

/// An answer of the policy service.
#[derive(Clone, Debug)]
struct KeptAnswer {
    origin: AdviceOrigin,
    step: StepKey,
    workers: Vec<WorkerId>,
    answer: AdviceAnswer,
    arrived_at: CoreTime,
}

/// Requests of this instance to the policy service, and their recent answers.
#[derive(Debug, Default)]
pub(super) struct AdviceCalls {
    open: BTreeMap<Ticket, AdviceCall>,
    answers: VecDeque<KeptAnswer>,
}

impl AdviceCalls {
    /// Returns whether no request is without an answer.
    pub(super) fn are_finished(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the time until all requests are expected to be answered.
    pub(super) fn backlog(&self, now: CoreTime) -> Duration {
        let expected = self.open.values().map(|call| call.expected);
        expected.max().unwrap_or(now).saturating_sub(now)
    }

    /// Returns whether a request about these workers has no answer yet.
    pub(super) fn includes(&self, step: StepKey, workers: &[WorkerId]) -> bool {
        let mut calls = self.open.values();
        calls.any(|call| call.step == step && call.workers == workers)
    }

    fn keep(&mut self, answer: KeptAnswer) {
        let now = answer.arrived_at;
        self.answers
            .retain(|kept| now.saturating_sub(kept.arrived_at) < KEEP_ANSWERS);
        if self.answers.len() == MAX_KEPT_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(answer);
    }
}

impl KeptAnswer {
    /// Returns the answer with the time for which its permits are still valid.
    fn answer_at(&self, now: CoreTime) -> AdviceAnswer {
        let age = now.saturating_sub(self.arrived_at).as_millis() as u64;
        match self.answer.clone() {
            AdviceAnswer::Good { permits, valid_ms } => AdviceAnswer::Good {
                permits,
                valid_ms: valid_ms.saturating_sub(age),
            },
            answer => answer,
        }
    }
}

impl EntryCore {
    /// Sends an advice request of a leader to the policy service.
    pub(super) fn proxy_advice(&mut self, from: PeerAddress, ticket: Ticket, ask: AdviceRequest) {
        let local_ticket = self.take_ticket();
        self.call_policy_service((from, ticket), local_ticket, ask);
    }

    /// Sends an advice request of this leader to the policy service.
    pub(super) fn send_own_advice(&mut self, ticket: Ticket, ask: AdviceRequest) {
        self.call_policy_service((self.settings.address, ticket), ticket, ask);
    }

    fn call_policy_service(
        &mut self,
        origin: (PeerAddress, Ticket),
        ticket: Ticket,
        ask: AdviceRequest,
    ) {
        let (leader, leader_ticket) = origin;
        let call = AdviceCall {
            origin: AdviceOrigin {
                leader,
                epoch: self.highest_epoch,
            },
            ticket: leader_ticket,
            step: ask.step,
            workers: ask.workers.clone(),
            expected: self.now + ask.time.saturating_sub(LATE_ANSWER_TIMEOUT),
        };
        self.advice_calls.open.insert(ticket, call);
        self.actions.push(super::CoreAction::Advice { ticket, ask });
    }

    /// Handles the policy service's answer to a request of this instance.
    pub(super) fn handle_advice(&mut self, ticket: Ticket, answer: AdviceAnswer) {
        let Some(call) = self.advice_calls.open.remove(&ticket) else {
            return;
        };
        let (origin, ticket) = (call.origin, call.ticket);
        let local = self.settings.address;
        if origin.leader == local && self.finish_advice(ticket, answer.clone()) {
            return;
        }
        let kept = KeptAnswer {
            origin,
            step: call.step,
            workers: call.workers,
            answer: answer.clone(),
            arrived_at: self.now,
        };
        if origin.leader != local {
            self.send_via_hub(origin.leader, PeerMessage::Advised { ticket, answer });
        }
        if !self.uses(PolicySwitch::SharedAdvice) {
            return;
        }
        self.pass_to_leader(&kept);
        self.advice_calls.keep(kept);
    }

    /// Gives the next leader the recent answers to requests of other leaders.
    pub(super) fn pass_kept_answers(&mut self) {
        let answers: Vec<KeptAnswer> = self.advice_calls.answers.iter().cloned().collect();
        for kept in answers {
            if self.age(kept.arrived_at) < KEEP_ANSWERS {
                self.pass_to_leader(&kept);
            }
        }
    }

    /// Gives the present leader an answer, unless it made the request in this leadership.
    fn pass_to_leader(&mut self, kept: &KeptAnswer) {
        let local = self.settings.address;
        let (step, workers) = (kept.step, kept.workers.clone());
        let answer = kept.answer_at(self.now);
        if self.lead.is_some() {
            self.receive_advice(local, step, workers, answer);
            return;
        }
        let leader = self.leader.as_ref().filter(|leader| {
            let made_it = leader.address == kept.origin.leader && leader.epoch == kept.origin.epoch;
            !made_it && leader.address != local
        });
        let Some(leader) = leader.map(|leader| leader.address) else {
            return;
        };
        let message = PeerMessage::AdviceAnswered {
            step,
            workers,
            answer,
        };
        self.send_via_hub(leader, message);
    }
}
