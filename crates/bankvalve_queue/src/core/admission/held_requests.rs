//! Callers' submits that this instance holds while the leader's table is unavailable.

use std::time::Duration;

use super::outage_wait::{HoldDecision, HoldTerms, WaitTally, SERVE_TIME};
use crate::caller::{CallerAnswer, CallerRequest, RefusalReason};
use crate::core::callers::OpenRequest;
use crate::core::readiness::job_text;
use crate::core::{CoreAction, EntryCore};
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket};
use crate::policy::PolicySwitch;

/// Time range over which the retries of callers that are refused at the same time are spread, in
/// milliseconds.
const RETRY_SPREAD_MS: u64 = 500;
/// Maximum time that a request waits for a leader that reads the ledger. Such a leader needed 2.0 s for
/// 30,000 batches over a link of 10 Mbit/s, so with the 1.8 s of other waits requests were refused just
/// before it could serve them.
const MAX_LOADING_WAIT: Duration = Duration::from_millis(2_400);

impl EntryCore {
    /// Returns since when the table is unavailable to the leader: by this instance's own requests if it
    /// leads, otherwise by the leader's heartbeats.
    pub(in crate::core) fn store_away_since(&self) -> Option<CoreTime> {
        let Some(lead) = self.lead.as_deref() else {
            return self.leader.as_ref()?.store_away_since;
        };
        if !self.store_is_unavailable() {
            return None;
        }
        let commit = lead.in_flight_commit.as_ref().map(|commit| commit.since);
        let began = [lead.unavailable_since, lead.unanswered_since, commit];
        began.into_iter().flatten().min()
    }

    /// Holds a submit that the leader has refused because the table is unavailable, or returns the answer
    /// that its caller gets. Only a request without another copy is held.
    pub(in crate::core) fn hold_refused(
        &mut self,
        ticket: Ticket,
        answer: CallerAnswer,
    ) -> Option<CallerAnswer> {
        let reason = RefusalReason::StoreAway;
        let refused = matches!(&answer, CallerAnswer::Refused { reason: by, .. } if *by == reason);
        if !refused || !self.uses(PolicySwitch::OutageWait) || self.stopping {
            return Some(answer);
        }
        let Some(terms) = self.hold_terms(ticket) else {
            return Some(answer);
        };
        self.update_outage();
        match self.outage_wait.consider(self.now, ticket, terms) {
            HoldDecision::Hold => {
                if let Some(open_request) = self.open_requests.get_mut(&ticket) {
                    open_request.copies = 0;
                    open_request.sent = None;
                }
                self.counters.count("outage_wait", "held");
                self.log_first_held(ticket);
                None
            }
            HoldDecision::Refuse { retry, full } => {
                let kind = if full { "full" } else { "refused_at_once" };
                self.counters.count("outage_wait", kind);
                let retry_ms = spread_ms(retry, ticket);
                Some(CallerAnswer::Refused { reason, retry_ms })
            }
        }
    }

    /// Returns the terms of an open submit of which no more than one copy was sent.
    fn hold_terms(&self, ticket: Ticket) -> Option<HoldTerms> {
        let open_request = self.open_requests.get(&ticket)?;
        let CallerRequest::Submit { spec, terms } = &open_request.request else {
            return None;
        };
        let (since, until) = (open_request.since, open_request.until);
        let due_in = Duration::from_millis(spec.due_ms(0).saturating_sub(self.wall));
        let is_single = open_request.copies <= 1 || !self.enforces(SiteGuard::HeldAlone);
        is_single.then(|| HoldTerms::new(since, until, due_in, spec, terms))
    }

    /// Records whether the table is unavailable to the leader, and tells the peers of a change at once.
    pub(in crate::core) fn update_outage(&mut self) {
        let since = self.store_away_since();
        let was_outage = self.outage_wait.is_outage();
        if let Some(length) = self.outage_wait.update(self.now, since) {
            self.log_wait_end(length);
        }
        let passes_on = self.lead.is_some() || (self.is_large_site() && !self.is_behind_hubs());
        if was_outage != since.is_some() && passes_on && self.uses(PolicySwitch::OutageWait) {
            self.next_heartbeat = self.now;
            self.next_other_heartbeat = self.now;
        }
    }

    /// Sends the held requests once the table is back, and refuses those whose wait is over.
    pub(in crate::core) fn run_outage_wait(&mut self) {
        self.update_outage();
        if self.outage_wait.is_empty() {
            return;
        }
        for ticket in self.outage_wait.overdue(self.now) {
            self.refuse_held(ticket);
        }
        if self.outage_wait.is_outage() && !self.stopping {
            return;
        }
        for ticket in self.outage_wait.release_all(self.now) {
            self.counters.count("outage_wait", "sent");
            self.send_request(ticket);
        }
    }

    /// Returns when a request that was not sent to a leader is refused, given when it otherwise would be.
    ///
    /// If the leader is reading the ledger, the request waits until its final answer is due. Nobody has
    /// accepted it by then, so the refusal is certain. A leader in contact that has just read the ledger gets
    /// the request at once, however long it has waited.
    pub(in crate::core) fn unsent_wait_end(
        &self,
        request: &OpenRequest,
        usual: CoreTime,
    ) -> CoreTime {
        let loading = self.leader.as_ref().is_some_and(|view| view.loading);
        let expects_leader = self.lead.is_some()
            || (loading && self.has_leader_contact())
            || self.may_send_to_leader();
        if !expects_leader || !self.uses(PolicySwitch::OutageWait) {
            return usual;
        }
        let answer_by = request.until.saturating_sub(SERVE_TIME);
        usual.max(answer_by.min(request.since + MAX_LOADING_WAIT))
    }

    /// Gives the caller of a held request its final answer: nothing was accepted.
    fn refuse_held(&mut self, ticket: Ticket) {
        let Some(terms) = self.outage_wait.give_up(self.now, ticket) else {
            return;
        };
        if let Some(open_request) = self.open_requests.remove(&ticket) {
            let waited = self.age(open_request.since);
            self.log_often("callers", "wait_over", || {
                let detail = format!("refused after {waited:?}, the table is still unavailable");
                (job_text(&open_request.request), detail)
            });
        }
        let reason = RefusalReason::StoreAway;
        self.counters.count("outage_wait", "refused_late");
        self.counters.refuse(reason);
        let retry = self.outage_wait.retry_after(self.now, &terms);
        let retry_ms = spread_ms(retry, ticket);
        let answer = CallerAnswer::Refused { reason, retry_ms };
        self.actions.push(CoreAction::Answer { ticket, answer });
    }
}

impl EntryCore {
    /// Logs the first request that is held in an outage.
    fn log_first_held(&mut self, ticket: Ticket) {
        if self.outage_wait.len() > 1 {
            return;
        }
        let job = self.open_requests.get(&ticket);
        let id = job.map_or_else(String::new, |open| job_text(&open.request));
        let lasted = self.outage_wait.lasted(self.now);
        let detail = format!("table unavailable for {lasted:?}, likely back in time");
        self.log("callers", "wait", id, detail);
    }

    /// Logs what became of the submits during an outage that has ended, if there were any.
    fn log_wait_end(&mut self, length: Duration) {
        let waiting = self.outage_wait.len();
        let oldest = self.outage_wait.oldest(self.now);
        let tally = self.outage_wait.take_tally();
        if tally == WaitTally::default() {
            return;
        }
        let detail = format!(
            "table unavailable for {length:?}, {waiting} wait, the oldest for {oldest:?}; {} held, {} of \
             them refused late, {} refused at once, longest wait {:?}",
            tally.held, tally.refused_late, tally.refused_at_once, tally.longest
        );
        self.log("callers", "wait_end", String::new(), detail);
    }
}

/// Returns a time to retry in milliseconds, spread by the request's ticket.
fn spread_ms(retry: Duration, ticket: Ticket) -> u64 {
    retry.as_millis() as u64 + ticket % RETRY_SPREAD_MS
}
