//! What the policy service has answered for one step, and the requests in flight for it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{CoreTime, Ticket, WorkerId};
use crate::peer::PeerAddress;
use crate::worker::AdviceAnswer;

/// Time before its expiry from which a permit is not used, because the start order needs time to arrive and
/// may be repeated. The time to commit the start comes in addition.
const PERMIT_MARGIN: Duration = Duration::from_millis(200);
/// Time before the next request for a step after the policy service answered that it is busy.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A permit to run the step on one worker.
#[derive(Clone, Debug)]
pub(super) struct Permit {
    text: String,
    pub(super) until: CoreTime,
}

/// An advice request in flight.
#[derive(Debug)]
pub(super) struct InFlightAdvice {
    pub(super) ticket: Ticket,
    pub(super) adviser: PeerAddress,
    pub(super) workers: Vec<WorkerId>,
    /// When the answer is expected.
    pub(super) expected: CoreTime,
    /// Whether it is a long request.
    pub(super) long: bool,
    /// When it is abandoned.
    pub(super) until: CoreTime,
}

/// What the policy service has answered for one step.
#[derive(Debug, Default)]
pub(in crate::core) struct StepAdvice {
    /// Workers that may run the step, each with its last permit.
    pub(super) allowed: BTreeMap<WorkerId, Permit>,
    /// Workers about which the service has answered.
    pub(super) answered: BTreeSet<WorkerId>,
    pub(super) in_flight: Vec<InFlightAdvice>,
    /// When the next request may be sent.
    retry_at: CoreTime,
    /// When a request was last sent, answered or abandoned.
    pub(super) changed_at: CoreTime,
    /// Number of requests sent.
    pub(super) sent: u32,
    /// Number of requests that ended without an answer.
    pub(super) unanswered: u32,
}

impl StepAdvice {
    /// Creates the advice that a former leader had, without permits.
    pub(super) fn known(allowed: Vec<WorkerId>, refused: &[WorkerId]) -> Self {
        let expired = || Permit {
            text: String::new(),
            until: CoreTime::ZERO,
        };
        let answered = allowed.iter().chain(refused).cloned().collect();
        Self {
            allowed: allowed.into_iter().map(|id| (id, expired())).collect(),
            answered,
            ..Self::default()
        }
    }

    /// Records an answer about workers.
    pub(super) fn record_answer(
        &mut self,
        workers: Vec<WorkerId>,
        answer: AdviceAnswer,
        now: CoreTime,
    ) {
        self.changed_at = now;
        match answer {
            AdviceAnswer::Good { permits, valid_ms } => {
                let valid = Duration::from_millis(valid_ms).saturating_sub(PERMIT_MARGIN);
                self.answered.extend(workers);
                for (worker, text) in permits {
                    let permit = Permit {
                        text,
                        until: now + valid,
                    };
                    // The answer to a request of a former leader may come after a later one.
                    let known = self.allowed.entry(worker).or_insert_with(|| permit.clone());
                    if known.until < permit.until {
                        *known = permit;
                    }
                }
            }
            AdviceAnswer::Busy => self.retry_at = now + BUSY_RETRY_DELAY,
            AdviceAnswer::NoReply => {
                self.retry_at = now;
                self.unanswered += 1;
            }
        }
    }

    pub(in crate::core) fn is_allowed(&self, worker: &WorkerId) -> bool {
        self.allowed.contains_key(worker)
    }

    /// Returns the workers that may run the step.
    pub(in crate::core) fn allowed_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.allowed.keys()
    }

    /// Returns the workers whose permits are valid beyond a time.
    pub(in crate::core) fn permitted(&self, until: CoreTime) -> impl Iterator<Item = &WorkerId> {
        let permits = self.allowed.iter();
        permits
            .filter(move |(_, permit)| permit.until > until)
            .map(|(id, _)| id)
    }

    pub(in crate::core) fn has_answer_for(&self, worker: &WorkerId) -> bool {
        self.answered.contains(worker)
    }

    /// Returns the permit for a worker if it is valid beyond a time.
    pub(in crate::core) fn permit(&self, worker: &WorkerId, until: CoreTime) -> Option<&str> {
        let permit = self.allowed.get(worker)?;
        (permit.until > until).then_some(permit.text.as_str())
    }

    pub(in crate::core) fn can_send_request(&self, now: CoreTime) -> bool {
        self.in_flight.is_empty() && now >= self.retry_at
    }

    /// Returns whether the delay after a busy answer has passed, regardless of requests in flight.
    pub(in crate::core) fn may_retry(&self, now: CoreTime) -> bool {
        now >= self.retry_at
    }

    /// Returns whether a request about a worker is in flight.
    pub(in crate::core) fn is_in_flight_for(&self, worker: &WorkerId) -> bool {
        let mut in_flight = self.in_flight.iter();
        in_flight.any(|request| request.workers.contains(worker))
    }

    /// Returns whether a request is in flight about workers of which nothing is known.
    pub(in crate::core) fn asks_about_unknown(&self) -> bool {
        let mut workers = self.in_flight.iter().flat_map(|request| &request.workers);
        workers.any(|worker| !self.answered.contains(worker))
    }

    pub(in crate::core) fn has_no_answer(&self) -> bool {
        self.answered.is_empty()
    }

    /// Returns whether a request is in flight.
    pub(in crate::core) fn is_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Returns the log text on the requests so far.
    pub(in crate::core) fn requests_text(&self) -> String {
        let in_flight = self.in_flight.len();
        format!(
            "{} advice requests, {} unanswered, {in_flight} in flight",
            self.sent, self.unanswered
        )
    }

    /// Returns whether requests are in flight and none has been answered.
    pub(in crate::core) fn awaits_first_answer(&self) -> bool {
        self.answered.is_empty() && !self.in_flight.is_empty()
    }
}
