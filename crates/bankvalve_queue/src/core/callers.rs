//! Callers' requests: forwards them to the leader, and serves them there.

use std::time::Duration;

use super::commit::{Effect, Origin};
use super::lead_state::{LeadState, UnconfirmedRequest};
use super::readiness::job_text;
use super::EntryCore;
use crate::caller::{CallerAnswer, CallerRequest, JobState, RefusalReason, ResolvedRequest};
use crate::core::CoreAction;
use crate::customer::CallerIdentity;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, JobId, Ticket};
use crate::ledger::{JobOutcome, LedgerEvent};
use crate::peer::{PeerAddress, PeerMessage};

/// Time without an answer from the leader after which a request is sent again, in addition to the round trip.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// Time without contact with the leader after which no requests are sent to it.
const UNRESPONSIVE_LEADER: Duration = Duration::from_millis(650);
/// Added to that time on members that are not preferred ones in a large site: they learn of the leader
/// later.
const HUB_DELAY: Duration = Duration::from_millis(400);
/// Maximum time that a request waits for a known leader.
const MAX_LEADER_WAIT: Duration = Duration::from_millis(1_800);
/// Share of a caller's timeout after which it gets its final answer, in percent.
pub(super) const TIMEOUT_PERCENT: u64 = 85;
/// Time after which a refused caller may retry, in milliseconds.
pub(super) const RETRY_MS: u64 = 1_000;
/// Age up to which a count of waiting jobs is reused. The platform allows 2 s.
const MAX_COUNT_AGE: Duration = Duration::from_millis(300);
/// Time range over which the retries of callers that were refused for overload are spread, in
/// milliseconds.
const RETRY_SPREAD_MS: u64 = 1_500;
/// Maximum number of open requests of callers.
const MAX_OPEN_REQUESTS: usize = 4_000;

/// An open request of a caller.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) request: CallerRequest,
    caller: CallerIdentity,
    /// Version of the configuration under which the request was interpreted.
    table_version: u64,
    pub(super) since: CoreTime,
    pub(super) until: CoreTime,
    /// Whether the local book is to answer it, by a read index.
    read_locally: bool,
    /// Leader that it was last sent to, and when. That leader may be this instance.
    pub(super) sent: Option<(PeerAddress, CoreTime)>,
    /// Unanswered copies that a leader, possibly this instance, may have accepted.
    pub(super) copies: u32,
}

impl EntryCore {
    /// Accepts a caller's request, or answers it at once: with a refusal, or with the end of a job.
    pub(super) fn handle_request(&mut self, ticket: Ticket, request: ResolvedRequest) {
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            self.refuse(ticket, RefusalReason::Overload);
            return;
        }
        if request.caller.key.is_some() && !self.knows_keys() {
            self.refuse(ticket, RefusalReason::KeysUnsure);
            return;
        }
        let status_job = match &request.request {
            CallerRequest::Status { job } => Some(*job),
            _ => None,
        };
        let caller = request.caller;
        if let Some(answer) = status_job.and_then(|job| self.committed_outcome(job, &caller)) {
            self.actions.push(CoreAction::Answer { ticket, answer });
            return;
        }
        if self.is_leaderless() {
            self.refuse(ticket, RefusalReason::NoLeader);
            return;
        }
        let percent = 100 - self.refuse_percent().min(100);
        let submits = matches!(request.request, CallerRequest::Submit { .. });
        if submits && !self.gate.passes(percent) {
            self.refuse(ticket, RefusalReason::Overload);
            return;
        }
        if let Some(retry_ms) = self.refuse_by_credits(&request.request) {
            self.refuse_until(ticket, RefusalReason::Forecast, retry_ms);
            return;
        }
        let timeout = Duration::from_millis(request.patience_ms * TIMEOUT_PERCENT / 100);
        let (since, until) = (self.now, self.now + timeout);
        let open_request = OpenRequest {
            request: request.request,
            caller: caller.clone(),
            table_version: request.table_version,
            since,
            until,
            read_locally: false,
            sent: None,
            copies: 0,
        };
        self.open_requests.insert(ticket, open_request);
        let confirming_leader =
            status_job.and_then(|job| self.read_local_book(Origin::Local(ticket), job, &caller));
        match (confirming_leader, self.open_requests.get_mut(&ticket)) {
            (Some(leader), Some(open_request)) => {
                open_request.read_locally = true;
                open_request.sent = Some((leader, since));
            }
            (Some(_), None) => {}
            (None, _) => self.send_request(ticket),
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason) {
        // Spreads the retries of callers that are refused at the same time.
        let spread = match reason {
            RefusalReason::Overload => ticket % RETRY_SPREAD_MS,
            _ => 0,
        };
        self.refuse_until(ticket, reason, RETRY_MS + spread);
    }

    fn refuse_until(&mut self, ticket: Ticket, reason: RefusalReason, retry_ms: u64) {
        self.counters.refuse(reason);
        let answer = CallerAnswer::Refused { reason, retry_ms };
        self.actions.push(CoreAction::Answer { ticket, answer });
    }

    /// Returns the share of new jobs that the leader does not accept, in percent.
    pub(super) fn refuse_percent(&self) -> u32 {
        match (self.lead.as_deref(), &self.leader) {
            (Some(lead), _) => 100 - lead.load.percent(),
            (None, Some(leader)) => leader.refuse_percent,
            (None, None) => 0,
        }
    }

    /// Returns how a job has ended, by a follower's book: it contains only committed events, and the
    /// end of a job is final.
    ///
    /// A job that is open in this book may have ended since. Its state is returned only with a read index
    /// of the leader (see `follower_reads`), so that a caller whose cancel has been answered does not get
    /// "running" from another instance.
    pub(super) fn committed_outcome(
        &self,
        job: JobId,
        caller: &CallerIdentity,
    ) -> Option<CallerAnswer> {
        if self.lead.is_some() {
            return None;
        }
        let record = self.book.job(job)?;
        let ended = record.outcome != JobOutcome::Open && self.may_access(record, caller);
        ended.then(|| CallerAnswer::State(record.state()))
    }

    pub(super) fn send_request(&mut self, ticket: Ticket) {
        if self.outage_wait.holds(ticket) {
            return;
        }
        let now = self.now;
        let Some(view) = self.leader.as_ref() else {
            return;
        };
        let leader = view.address;
        let is_local = leader == self.settings.address;
        if !is_local && !self.may_send_to_leader() {
            // While nothing is sent, it is certain that no leader has accepted the request. A leader that
            // is loading the ledger announces when it has finished. Repeated requests would fill the link
            // over which it loads.
            return;
        }
        if is_local && !self.lead.as_ref().is_some_and(|lead| lead.loaded) {
            return;
        }
        let Some(open_request) = self.open_requests.get_mut(&ticket) else {
            return;
        };
        open_request.sent = Some((leader, now));
        let (request, caller) = (open_request.request.clone(), open_request.caller.clone());
        let table_version = open_request.table_version;
        let first = open_request.copies == 0;
        open_request.copies += 1;
        if is_local {
            self.serve_interpreted(Origin::Local(ticket), table_version, &caller, request);
        } else {
            let message = PeerMessage::Ask {
                ticket,
                table_version,
                caller,
                request,
            };
            // A request that is sent again bypasses the hub.
            if first {
                self.send_via_hub(leader, message);
            } else {
                self.send_message(leader, message);
            }
        }
    }

    /// Returns whether requests are sent to another instance that leads: it has read the ledger, and was in
    /// contact recently.
    pub(super) fn may_send_to_leader(&self) -> bool {
        let limit = self.leader_contact_limit();
        let view = self.leader.as_ref();
        view.is_some_and(|view| !view.loading && self.age(view.last_contact) <= limit)
    }

    /// Returns the time without contact with the leader after which no requests are sent to it. In a large
    /// site, members that are not preferred ones learn of the leader through hubs, a few tenths of a
    /// second later.
    fn leader_contact_limit(&self) -> Duration {
        let delayed = self.is_behind_hubs();
        UNRESPONSIVE_LEADER + if delayed { HUB_DELAY } else { Duration::ZERO }
    }

    /// Sends all open requests to the current leader.
    pub(super) fn resend_requests(&mut self) {
        let tickets: Vec<Ticket> = self.open_requests.keys().copied().collect();
        for ticket in tickets {
            if let Some(open_request) = self.open_requests.get_mut(&ticket) {
                open_request.read_locally = false;
                open_request.sent = None;
            }
            self.send_request(ticket);
        }
    }

    /// Sends a request to the leader that the local book could not answer.
    pub(super) fn request_leader_instead(&mut self, ticket: Ticket) {
        if let Some(open_request) = self.open_requests.get_mut(&ticket) {
            open_request.read_locally = false;
            open_request.sent = None;
        }
        self.send_request(ticket);
    }

    /// Sends unanswered requests again, and ends those whose callers do not wait any longer.
    pub(super) fn run_open_requests(&mut self) {
        let now = self.now;
        let local = self.settings.address;
        let resend = self.enforces(SiteGuard::ResentAsk);
        let pause = RESEND_AFTER + self.round_trip_to_leader();
        let unanswered = |(to, at)| to != local && now.saturating_sub(at) > pause;
        let mut to_resend = Vec::new();
        let mut timed_out = Vec::new();
        for (ticket, open_request) in &self.open_requests {
            if self.outage_wait.holds(*ticket) {
                continue;
            }
            let unsent_until =
                self.unsent_wait_end(open_request, open_request.since + MAX_LEADER_WAIT);
            if now >= open_request.until || (now > unsent_until && open_request.sent.is_none()) {
                timed_out.push(*ticket);
            } else if !open_request.read_locally
                && open_request
                    .sent
                    .is_none_or(|sent| resend && unanswered(sent))
            {
                to_resend.push(*ticket);
            }
        }
        for ticket in timed_out {
            self.time_out_request(ticket);
        }
        for ticket in to_resend {
            self.send_request(ticket);
        }
    }

    fn time_out_request(&mut self, ticket: Ticket) {
        let Some(open_request) = self.open_requests.remove(&ticket) else {
            return;
        };
        self.log_timed_out(&open_request);
        if open_request.copies > 0 || open_request.sent.is_some() {
            self.counters.count("refusals", "unknown");
            let answer = CallerAnswer::Unknown;
            self.actions.push(CoreAction::Answer { ticket, answer });
        } else {
            self.refuse(ticket, RefusalReason::NoLeader);
        }
    }

    /// Answers a caller. The answer becomes `Unknown` if another copy of the request may take effect.
    pub(super) fn finish_request(&mut self, ticket: Ticket, answer: CallerAnswer) {
        let Some(answer) = self.hold_refused(ticket, answer) else {
            return;
        };
        let Some(open_request) = self.open_requests.remove(&ticket) else {
            return;
        };
        self.outage_wait.release(self.now, ticket);
        let cancels = matches!(open_request.request, CallerRequest::Cancel { .. });
        let answer = match answer {
            // A former leader may have committed the job, so it may still run.
            CallerAnswer::Refused { .. } if open_request.copies > 1 => CallerAnswer::Unknown,
            // Another copy may arrive after the job has been submitted, and cancel it.
            CallerAnswer::NoSuchJob if cancels && open_request.copies > 1 => CallerAnswer::Unknown,
            answer => answer,
        };
        if let CallerAnswer::Refused { reason, .. } = &answer {
            self.counters.refuse(*reason);
        }
        self.actions.push(CoreAction::Answer { ticket, answer });
    }

    pub(super) fn handle_forwarded_request(
        &mut self,
        from: PeerAddress,
        ticket: Ticket,
        table_version: u64,
        caller: &CallerIdentity,
        request: CallerRequest,
    ) {
        let loaded = self.lead.as_ref().is_some_and(|lead| lead.loaded);
        if loaded {
            self.serve_interpreted(Origin::Peer(from, ticket), table_version, caller, request);
        } else {
            let answer = None;
            self.send_via_hub(from, PeerMessage::Reply { ticket, answer });
        }
    }

    /// Handles the leader's answer, which is `None` if it has not accepted the request.
    pub(super) fn handle_reply(
        &mut self,
        from: PeerAddress,
        ticket: Ticket,
        answer: Option<CallerAnswer>,
    ) {
        match answer {
            Some(CallerAnswer::Refused { .. }) if self.is_served_here(ticket) => {
                // The former leader refuses its copy. This instance, which now leads, answers its own.
                if let Some(open_request) = self.open_requests.get_mut(&ticket) {
                    open_request.copies = open_request.copies.saturating_sub(1);
                }
            }
            Some(answer) => self.finish_request(ticket, answer),
            None => {
                let Some(open_request) = self.open_requests.get_mut(&ticket) else {
                    return;
                };
                open_request.copies = open_request.copies.saturating_sub(1);
                if let Some(leader) = self.leader.as_mut().filter(|view| view.address == from) {
                    leader.loading = true;
                }
                if open_request.sent.is_some_and(|(to, _)| to == from) {
                    // That leader has not accepted this copy, so it is sent again soon.
                    let back = RESEND_AFTER - Duration::from_millis(100);
                    open_request.sent = Some((from, self.now.saturating_sub(back)));
                }
            }
        }
    }

    /// Returns whether this instance serves a request itself, as the leader.
    fn is_served_here(&self, ticket: Ticket) -> bool {
        let local = self.settings.address;
        let open_request = self.open_requests.get(&ticket);
        open_request.is_some_and(|request| request.sent.is_some_and(|(to, _)| to == local))
    }

    /// Answers a request that waited until it was confirmed that this instance led when the request
    /// arrived. A job that was unknown then may have been submitted since.
    pub(super) fn serve_confirmed(&mut self, waiting: UnconfirmedRequest) {
        let known = match &waiting.request {
            CallerRequest::Status { job } | CallerRequest::Cancel { job } => {
                self.book.job(*job).is_some()
            }
            CallerRequest::Submit { .. } | CallerRequest::Count { .. } => true,
        };
        if known {
            self.serve_request(waiting.origin, &waiting.caller, waiting.request);
        } else {
            self.answer(waiting.origin, CallerAnswer::NoSuchJob);
        }
    }

    /// Serves a request that was interpreted under a version of the configuration.
    fn serve_interpreted(
        &mut self,
        origin: Origin,
        version: u64,
        caller: &CallerIdentity,
        request: CallerRequest,
    ) {
        let id = job_text(&request);
        let known = match &request {
            CallerRequest::Submit { spec, .. } => self.book.job(spec.id).is_some(),
            _ => false,
        };
        match self.reinterpret(request, caller, version) {
            Ok(request) => self.serve_request(origin, caller, request),
            Err(reason) => {
                let newer = self.table_version();
                let detail = format!(
                    "{}, interpreted under version {version}, {newer} is in force",
                    reason.as_str()
                );
                self.log("callers", "refuse", id, detail);
                let retry_ms = RETRY_MS;
                let answer = match known {
                    // The job may run already, since it was submitted before.
                    true => CallerAnswer::Unknown,
                    false => CallerAnswer::Refused { reason, retry_ms },
                };
                self.answer(origin, answer);
            }
        }
    }

    fn serve_request(&mut self, origin: Origin, caller: &CallerIdentity, request: CallerRequest) {
        match request {
            CallerRequest::Submit { spec, terms } => self.serve_submit(origin, spec, terms),
            CallerRequest::Status { job } => self.serve_status(origin, caller, job),
            CallerRequest::Cancel { job } => self.serve_cancel(origin, caller, job),
            CallerRequest::Count { queue } => {
                let count = self.count_waiting(&queue);
                self.answer(origin, CallerAnswer::Waiting(count));
            }
        }
    }

    /// Returns the number of a queue's jobs of which no worker has reported that a task began. A job whose
    /// order is unanswered counts, since nothing may have begun.
    ///
    /// Counting scans all jobs, which are thousands on a large site, and is requested about ninety times a
    /// second there. So a count is reused for a while.
    fn count_waiting(&mut self, queue: &str) -> u64 {
        let now = self.now;
        let lead = self.lead.as_deref();
        let known = lead.and_then(|lead| lead.waiting_counts.get(queue));
        let recent = known.filter(|(at, _)| now.saturating_sub(*at) < MAX_COUNT_AGE);
        if let Some((_, count)) = recent {
            return *count;
        }
        let count = self.count_waiting_now(queue);
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.waiting_counts.insert(queue.to_owned(), (now, count));
        }
        count
    }

    fn count_waiting_now(&self, queue: &str) -> u64 {
        let Some(lead) = self.lead.as_deref() else {
            return 0;
        };
        let waits = |job: &&crate::ledger::JobRecord| {
            let open = job.outcome == JobOutcome::Open && job.spec.queue == queue;
            open && !lead.started_jobs.contains(&job.spec.id)
        };
        self.book.jobs().filter(waits).count() as u64
    }

    fn serve_status(&mut self, origin: Origin, caller: &CallerIdentity, job: JobId) {
        let Some(record) = self.book.job(job) else {
            self.await_confirmation(origin, caller, CallerRequest::Status { job });
            return;
        };
        if !self.may_access(record, caller) {
            self.log_hidden_job(caller, job);
            self.answer(origin, CallerAnswer::NoSuchJob);
            return;
        }
        let ending = |lead: &LeadState| lead.ending.contains(&job);
        let state = if self.lead.as_deref().is_some_and(ending) {
            JobState::Running
        } else {
            record.state()
        };
        let open = matches!(state, JobState::Pending | JobState::Running);
        // While this instance was frozen or cut off, another leader may have cancelled the job or
        // recorded its end.
        let unconfirmed = self
            .lead
            .as_deref()
            .is_some_and(LeadState::must_confirm_lead);
        if open && (unconfirmed || self.is_cut_off()) {
            self.await_confirmation(origin, caller, CallerRequest::Status { job });
            return;
        }
        if !open {
            self.log(
                "callers",
                "shown",
                format!("{job:016x}"),
                format!("{state:?}"),
            );
        }
        self.answer(origin, CallerAnswer::State(state));
    }

    fn serve_cancel(&mut self, origin: Origin, caller: &CallerIdentity, job: JobId) {
        let Some(record) = self.book.job(job) else {
            self.cancel_unknown(origin, caller, job);
            return;
        };
        if !self.may_access(record, caller) {
            self.log_hidden_job(caller, job);
            self.cancel_unknown(origin, caller, job);
            return;
        }
        let effect = Effect::Answer(origin, CallerAnswer::Cancelled);
        if record.outcome == JobOutcome::Open {
            self.log("callers", "cancel", format!("{job:016x}"), String::new());
            self.counters.count("jobs", "cancelled");
            let at = self.wall;
            self.propose(LedgerEvent::Cancelled { job, at }, effect);
        } else {
            self.follow_up(effect);
        }
    }

    /// Queues a request until it is confirmed that this instance leads. Only then may it answer that there
    /// is no such job, or that a job is open.
    pub(super) fn await_confirmation(
        &mut self,
        origin: Origin,
        caller: &CallerIdentity,
        request: CallerRequest,
    ) {
        let at = self.now;
        let caller = caller.clone();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.requests_awaiting_confirmation
                .push(UnconfirmedRequest {
                    at,
                    origin,
                    caller,
                    request,
                });
        }
    }
}
