//! Open requests to the table: their timeouts, and the end of requests whose result is never reported.
//!
//! With a fixed timeout, a request may be repeated forever without success: because the table is slow,
//! or because the answer is large and the link slow. So the timeout grows after each missing answer,
//! and the latency of small answers shows how slow the table is.

use std::collections::BTreeMap;
use std::time::Duration;

use super::store_link::StorePurpose;
use super::EntryCore;
use crate::core::CoreAction;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket};
use crate::store::{StoreOutcome, StoreRequest};

/// Initial timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Initial timeout of a write. A slow table takes about half a second.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Initial timeout of a watch, in addition to the time that the table itself waits for a change.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Maximum number of doublings of these timeouts after missing answers. Another missing answer resets
/// the timeout, since a long one delays the retry when an unresponsive table has recovered.
const MAX_DOUBLINGS: u32 = 1;
/// Maximum number of doublings for requests whose answer may be large: a configuration of 1.5 MB takes
/// 1.2 s on a link of 10 Mbit/s, and 6 s on one of 2 Mbit/s.
const MAX_LARGE_DOUBLINGS: u32 = 3;
/// Minimum timeout, as a multiple of the usual latency of small answers.
const LATENCY_FACTOR: u32 = 2;
/// Maximum timeout, without the time that the table itself waits for a change.
const MAX_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Time after its timeout from which a request counts as lost even though no event has reported that:
/// the ring of events may have been full when the event was due.
const EXPIRY_SLACK: Duration = Duration::from_secs(1);
/// Time allowed for an answer that has begun to arrive: 2 MB take 8 s on a link of 2 Mbit/s.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(12);
/// Smoothing of the usual latency. After a slower answer it rises by the difference divided by this. After
/// a faster answer it falls to that at once: the slower ones may have waited behind a large answer on a
/// slow link.
const LATENCY_RISE_DIVISOR: u32 = 4;

/// Kind of request: the name of its purpose, and whether the table waits for a change. Requests of one
/// kind share a timeout.
type RequestKind = (&'static str, bool);

/// An open request to the table.
#[derive(Debug)]
pub(super) struct OpenStoreRequest {
    pub(super) purpose: StorePurpose,
    pub(super) sent_at: CoreTime,
    /// Time that the table itself may wait for a change.
    table_wait: Duration,
    /// When the request counts as lost, if neither its answer nor its failure has been reported.
    expires_at: CoreTime,
}

/// Timeouts of requests to the table, by kind, and the table's usual latency.
#[derive(Debug, Default)]
pub(super) struct StoreTimeouts {
    /// Number of doublings of the initial timeout.
    doublings: BTreeMap<RequestKind, u32>,
    /// Usual latency of small answers, or `None` before the first one.
    pub(super) latency: Option<Duration>,
}

impl StoreTimeouts {
    /// Returns the usual latency of small answers, or zero before the first one.
    pub(super) fn usual_latency(&self) -> Duration {
        self.latency.unwrap_or_default()
    }

    fn record_latency(&mut self, took: Duration) {
        let usual_latency = self.latency.unwrap_or(took);
        let risen = usual_latency + took.saturating_sub(usual_latency) / LATENCY_RISE_DIVISOR;
        self.latency = Some(risen.min(took));
    }

    fn record_miss(&mut self, kind: RequestKind, most: u32) {
        let doublings = self.doublings.entry(kind).or_default();
        *doublings = (*doublings + 1) % (most + 1);
    }

    /// Resets the timeout after a fast answer. After a slow one it stays, since the next one may be as
    /// slow or as large.
    fn record_answer(&mut self, kind: RequestKind, took: Duration) {
        if took < READ_TIMEOUT / 2 {
            self.doublings.remove(&kind);
        }
    }
}

impl OpenStoreRequest {
    fn kind(&self) -> RequestKind {
        (self.purpose.name(), !self.table_wait.is_zero())
    }

    /// Returns the maximum number of doublings of the timeout.
    fn max_doublings(&self) -> u32 {
        match self.purpose {
            StorePurpose::WatchConfig | StorePurpose::Workers { .. }
                if self.table_wait.is_zero() =>
            {
                MAX_LARGE_DOUBLINGS
            }
            StorePurpose::QueryConfig => MAX_LARGE_DOUBLINGS,
            // When many instances register at once, their writes wait for each other.
            StorePurpose::Register => MAX_LARGE_DOUBLINGS,
            // These check whether the table answers in time, so their timeout is fixed.
            StorePurpose::Confirm | StorePurpose::Probe => 0,
            _ => MAX_DOUBLINGS,
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
            StorePurpose::ReadMembers => "read_members",
            StorePurpose::WatchMembers => "watch_members",
            StorePurpose::ReadOwnRow => "read_own_row",
            StorePurpose::WatchConfig => "operator",
            StorePurpose::QueryConfig => "ask_operator",
            StorePurpose::ReadEvacuations => "evacuations",
            StorePurpose::Workers { .. } => "workers",
            StorePurpose::DropMember => "drop_member",
            StorePurpose::Probe => "probe",
        }
    }

    /// Returns whether the answer is small, so that its latency is that of the table itself.
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
    /// Sends a request to the table, with the timeout of its kind.
    pub(super) fn send_store_request(
        &mut self,
        purpose: StorePurpose,
        request: StoreRequest,
    ) -> Ticket {
        let (base, table_wait) = match &request {
            StoreRequest::Transact { .. } => (WRITE_TIMEOUT, Duration::ZERO),
            StoreRequest::Watch { wait_ms, .. }
            | StoreRequest::WatchOperator { wait_ms, .. }
            | StoreRequest::WatchWorkers { wait_ms, .. } => {
                (WATCH_SLACK, Duration::from_millis(*wait_ms))
            }
            _ => (READ_TIMEOUT, Duration::ZERO),
        };
        let timeouts = &self.store_timeouts;
        let kind = (purpose.name(), !table_wait.is_zero());
        let doublings = timeouts.doublings.get(&kind).copied();
        let doublings = doublings.filter(|_| self.enforces(SiteGuard::GrowingPatience));
        let time = (base * 2_u32.pow(doublings.unwrap_or(0)))
            .max(timeouts.usual_latency() * LATENCY_FACTOR)
            .min(MAX_TIMEOUT);
        self.open_store_request(purpose, request, table_wait, time)
    }

    /// Sends a request to the table, with a given timeout.
    pub(super) fn send_store_request_within(
        &mut self,
        purpose: StorePurpose,
        request: StoreRequest,
        time: Duration,
    ) -> Ticket {
        self.open_store_request(purpose, request, Duration::ZERO, time)
    }

    fn open_store_request(
        &mut self,
        purpose: StorePurpose,
        request: StoreRequest,
        table_wait: Duration,
        time: Duration,
    ) -> Ticket {
        let time = table_wait + time;
        let ticket = self.take_ticket();
        let pending_request = OpenStoreRequest {
            purpose,
            sent_at: self.now,
            table_wait,
            expires_at: self.now + time + EXPIRY_SLACK,
        };
        self.open_store_requests.insert(ticket, pending_request);
        self.actions.push(CoreAction::Store {
            ticket,
            request,
            time,
        });
        ticket
    }

    /// Adjusts the timeout and the usual latency after an answer, or after a missing one.
    pub(super) fn update_timeouts(
        &mut self,
        pending_request: &OpenStoreRequest,
        outcome: &StoreOutcome,
    ) {
        let took = self.age(pending_request.sent_at);
        let kind = pending_request.kind();
        match outcome {
            StoreOutcome::Lost => {
                let most = pending_request.max_doublings();
                self.store_timeouts.record_miss(kind, most);
            }
            StoreOutcome::Busy => {}
            _ => {
                let transfer = took.saturating_sub(pending_request.table_wait);
                self.store_timeouts.record_answer(kind, transfer);
                if pending_request.purpose.is_small() {
                    self.store_timeouts.record_latency(took);
                }
            }
        }
    }

    /// Allows more time for an answer that has begun to arrive.
    pub(super) fn extend_store_request(&mut self, ticket: Ticket) {
        if let Some(pending_request) = self.open_store_requests.get_mut(&ticket) {
            pending_request.expires_at = pending_request.expires_at.max(self.now + MAX_ANSWER_TIME);
        }
    }

    /// Ends requests as lost whose outcome should have been reported some time ago.
    pub(super) fn expire_store_requests(&mut self) {
        let now = self.now;
        let expired: Vec<Ticket> = self
            .open_store_requests
            .iter()
            .filter(|(_, pending_request)| now > pending_request.expires_at)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.counters.count("retries", "store_forgotten");
            self.handle_store_answer(ticket, StoreOutcome::Lost);
        }
    }
}
