//! Requests to the table that have no answer yet: how long each is waited for, and what becomes of
//! one whose end nobody tells.
//!
//! A request that is given up after a fixed time and asked for again unchanged may be asked for
//! ever: behind a slow table, or when the answer is large and the link thin. So one that did not
//! come gets more time, and the time of small answers tells how slow the table is.

use std::collections::BTreeMap;
use std::time::Duration;

use super::store_link::StorePurpose;
use super::EntryCore;
use crate::core::CoreAction;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket};
use crate::store::{StoreOutcome, StoreRequest};

/// Longest wait for a read.
const READ_TIME: Duration = Duration::from_millis(900);
/// Longest wait for a write: a slow table takes some half a second.
const WRITE_TIME: Duration = Duration::from_millis(1_200);
/// Added to the wait before a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Most doublings of these times after answers that did not come. After the last one it begins
/// anew, since a table that was silent and is back should not be waited for long.
const DOUBLINGS: u32 = 1;
/// The same for answers that may be large: a configuration of 1.5 MB takes 1.2 s on a link of 10
/// Mbit/s and 6 s on one of 2 Mbit/s.
const LARGE_DOUBLINGS: u32 = 3;
/// The usual time of a small answer, times this, is waited for at least.
const LATENCY_FACTOR: u32 = 2;
/// Longest of these times.
const LONGEST_TIME: Duration = Duration::from_millis(8_000);
/// A request whose answer should have come so long ago, or word that there is none, ends without:
/// the ring of events may have been full when the word was given.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(1);
/// Longest that an answer is reckoned to go on arriving once it has begun: 2 MB take 8 s on a link
/// of 2 Mbit/s.
const LONGEST_ANSWER: Duration = Duration::from_secs(12);
/// Part, as a divisor, by which the usual time of a small answer rises with a slower one; it falls
/// at once with a quicker one, since answers also wait behind large ones on a thin link.
const LATENCY_RISE: u32 = 4;

/// Kind of request, of which the last one tells how long the next may take, and whether it waits
/// for a change.
type QuestionKind = (&'static str, bool);

/// A request to the table that has no answer yet.
#[derive(Debug)]
pub(super) struct OpenStoreRequest {
    pub(super) purpose: StorePurpose,
    pub(super) asked_at: CoreTime,
    /// Time for which the table itself may wait for a change.
    waits: Duration,
    /// When its answer, or word that there is none, is due at the latest.
    due_at: CoreTime,
}

/// How long the table takes, and answers of each kind.
#[derive(Debug, Default)]
pub(super) struct StoreTimeouts {
    /// Doublings of the usual wait, by kind of request.
    doublings: BTreeMap<QuestionKind, u32>,
    /// Usual time of a small answer, lately; none before the first.
    pub(super) latency: Option<Duration>,
}

impl StoreTimeouts {
    /// Usual time of a small answer, lately.
    pub(super) fn usual(&self) -> Duration {
        self.latency.unwrap_or_default()
    }

    fn note_latency(&mut self, took: Duration) {
        let usual = self.latency.unwrap_or(took);
        let risen = usual + took.saturating_sub(usual) / LATENCY_RISE;
        self.latency = Some(risen.min(took));
    }

    fn note_missed(&mut self, kind: QuestionKind, most: u32) {
        let doublings = self.doublings.entry(kind).or_default();
        *doublings = (*doublings + 1) % (most + 1);
    }

    /// An answer came; one that was late, or is large, will be so again.
    fn note_came(&mut self, kind: QuestionKind, took: Duration) {
        if took < READ_TIME / 2 {
            self.doublings.remove(&kind);
        }
    }
}

impl OpenStoreRequest {
    fn kind(&self) -> QuestionKind {
        (self.purpose.name(), !self.waits.is_zero())
    }

    /// Doublings of its time after answers that did not come.
    fn most_doublings(&self) -> u32 {
        match self.purpose {
            StorePurpose::Operator | StorePurpose::Workers { .. } if self.waits.is_zero() => {
                LARGE_DOUBLINGS
            }
            StorePurpose::AskOperator => LARGE_DOUBLINGS,
            // They ask whether the table answers in time.
            StorePurpose::Confirm | StorePurpose::Probe => 0,
            _ => DOUBLINGS,
        }
    }
}

impl StorePurpose {
    fn name(&self) -> &'static str {
        match self {
            StorePurpose::Register => "register",
            StorePurpose::Claim => "claim",
            StorePurpose::Commit { .. } => "commit",
            StorePurpose::CheckCommit { .. } => "check_commit",
            StorePurpose::Confirm => "confirm",
            StorePurpose::ReadLedger { .. } => "read_ledger",
            StorePurpose::LeaderRow => "leader_row",
            StorePurpose::ReadCell => "read_cell",
            StorePurpose::WatchCell => "watch_cell",
            StorePurpose::Operator => "operator",
            StorePurpose::AskOperator => "ask_operator",
            StorePurpose::Workers { .. } => "workers",
            StorePurpose::DropMember => "drop_member",
            StorePurpose::Probe => "probe",
        }
    }

    /// Tells whether its answer is small, so that it shows how long the table itself takes.
    fn is_small(&self) -> bool {
        matches!(
            self,
            StorePurpose::Register
                | StorePurpose::Claim
                | StorePurpose::Commit { .. }
                | StorePurpose::CheckCommit { .. }
                | StorePurpose::Confirm
                | StorePurpose::LeaderRow
                | StorePurpose::Probe
        )
    }
}

impl EntryCore {
    /// Asks the table, and waits for its answer as long as the last ones of its kind ask for.
    pub(super) fn send_store_request(
        &mut self,
        purpose: StorePurpose,
        request: StoreRequest,
    ) -> Ticket {
        let (base, waits) = match &request {
            StoreRequest::Transact { .. } => (WRITE_TIME, Duration::ZERO),
            StoreRequest::Watch { wait_ms, .. }
            | StoreRequest::WatchOperator { wait_ms, .. }
            | StoreRequest::WatchWorkers { wait_ms, .. } => {
                (WATCH_SLACK, Duration::from_millis(*wait_ms))
            }
            _ => (READ_TIME, Duration::ZERO),
        };
        let patience = &self.store_timeouts;
        let kind = (purpose.name(), !waits.is_zero());
        let doublings = patience.doublings.get(&kind).copied();
        let doublings = doublings.filter(|_| self.enforces(SiteGuard::GrowingPatience));
        let time = (base * 2_u32.pow(doublings.unwrap_or(0)))
            .max(patience.usual() * LATENCY_FACTOR)
            .min(LONGEST_TIME);
        self.ask_question(purpose, request, waits, time)
    }

    /// Asks the table and waits for its answer no longer than a time.
    pub(super) fn send_store_request_within(
        &mut self,
        purpose: StorePurpose,
        request: StoreRequest,
        time: Duration,
    ) -> Ticket {
        self.ask_question(purpose, request, Duration::ZERO, time)
    }

    fn ask_question(
        &mut self,
        purpose: StorePurpose,
        request: StoreRequest,
        waits: Duration,
        time: Duration,
    ) -> Ticket {
        let time = waits + time;
        let ticket = self.take_ticket();
        let question = OpenStoreRequest {
            purpose,
            asked_at: self.now,
            waits,
            due_at: self.now + time + FORGOTTEN_AFTER,
        };
        self.open_store_requests.insert(ticket, question);
        self.actions.push(CoreAction::Store {
            ticket,
            request,
            time,
        });
        ticket
    }

    /// Notes how an answer came, or that none did.
    pub(super) fn note_answer_time(&mut self, question: &OpenStoreRequest, outcome: &StoreOutcome) {
        let took = self.age(question.asked_at);
        let kind = question.kind();
        match outcome {
            StoreOutcome::Lost => {
                let most = question.most_doublings();
                self.store_timeouts.note_missed(kind, most);
            }
            StoreOutcome::Busy => {}
            _ => {
                let carried = took.saturating_sub(question.waits);
                self.store_timeouts.note_came(kind, carried);
                if question.purpose.is_small() {
                    self.store_timeouts.note_latency(took);
                }
            }
        }
    }

    /// The answer to a request has begun to arrive, and is waited for as long as it goes on.
    pub(super) fn extend_store_request(&mut self, ticket: Ticket) {
        if let Some(question) = self.open_store_requests.get_mut(&ticket) {
            question.due_at = question.due_at.max(self.now + LONGEST_ANSWER);
        }
    }

    /// Ends requests of whose end no word came, as lost.
    pub(super) fn expire_store_requests(&mut self) {
        let now = self.now;
        let forgotten: Vec<Ticket> = self
            .open_store_requests
            .iter()
            .filter(|(_, question)| now > question.due_at)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in forgotten {
            self.counters.count("retries", "store_forgotten");
            self.handle_store_answer(ticket, StoreOutcome::Lost);
        }
    }
}
