//! Callers' requests: carried to the leader, and answered there.

use std::time::Duration;

use super::commit::{Effect, Origin};
use super::lead_state::{LeadState, UnknownJobRequest};
use super::readiness::job_text;
use super::EntryCore;
use crate::caller::{CallerAnswer, CallerRequest, JobState, RefusalReason, ResolvedRequest};
use crate::core::CoreAction;
use crate::customer::CallerIdentity;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, JobId, Ticket};
use crate::ledger::{JobOutcome, LedgerEvent};
use crate::peer::{PeerAddress, PeerMessage};

/// Wait for a leader's answer before the question is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// A leader that is silent for so long is not sent requests until it is heard again.
const SILENT_LEADER: Duration = Duration::from_millis(650);
/// Age of what far members are told of the leader, beyond that of what near ones hear.
const TOLD_LATER: Duration = Duration::from_millis(400);
/// Longest that a request waits for a leader to be known.
const LEADER_WAIT: Duration = Duration::from_millis(1_800);
/// Share of a caller's patience after which it gets its final answer, in percent.
pub(super) const PATIENCE_PERCENT: u64 = 85;
/// When a refused caller may come back, in milliseconds.
pub(super) const RETRY_MS: u64 = 1_000;
/// Age up to which a count of waiting jobs is told again; the platform allows 2 s.
const COUNT_AGE: Duration = Duration::from_millis(300);
/// Span over which those who are refused for want of means come back.
const RETRY_SPREAD_MS: u64 = 1_500;
/// Most requests that wait for the leader.
const ASK_LIMIT: usize = 4_000;

/// A caller's request that has no answer yet.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) request: CallerRequest,
    caller: CallerIdentity,
    /// Version of the configuration under which it was read.
    table_version: u64,
    pub(super) since: CoreTime,
    until: CoreTime,
    /// Whether the own book answers it, once it is as far as the leader was.
    reading: bool,
    /// Leader that it was last sent to, and when.
    pub(super) sent: Option<(PeerAddress, CoreTime)>,
    /// Copies that a leader, this instance among them, may have taken up and that have no answer.
    pub(super) copies: u32,
}

impl EntryCore {
    pub(super) fn handle_request(&mut self, ticket: Ticket, request: ResolvedRequest) {
        if self.open_requests.len() >= ASK_LIMIT {
            self.refuse(ticket, RefusalReason::Overload);
            return;
        }
        if request.caller.key.is_some() && !self.knows_keys() {
            self.refuse(ticket, RefusalReason::KeysUnsure);
            return;
        }
        let asked = match &request.request {
            CallerRequest::Status { job } => Some(*job),
            _ => None,
        };
        let caller = request.caller;
        if let Some(answer) = asked.and_then(|job| self.committed_outcome(job, &caller)) {
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
        let patience = Duration::from_millis(request.patience_ms * PATIENCE_PERCENT / 100);
        let (since, until) = (self.now, self.now + patience);
        let ask = OpenRequest {
            request: request.request,
            caller: caller.clone(),
            table_version: request.table_version,
            since,
            until,
            reading: false,
            sent: None,
            copies: 0,
        };
        self.open_requests.insert(ticket, ask);
        let reader = asked.and_then(|job| self.read_local_book(Origin::Own(ticket), job, &caller));
        match (reader, self.open_requests.get_mut(&ticket)) {
            (Some(leader), Some(ask)) => {
                ask.reading = true;
                ask.sent = Some((leader, since));
            }
            (Some(_), None) => {}
            (None, _) => self.send_ask(ticket),
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason) {
        self.counters.refuse(reason);
        // Those who are refused together do not come back together.
        let spread = match reason {
            RefusalReason::Overload => ticket % RETRY_SPREAD_MS,
            _ => 0,
        };
        let answer = CallerAnswer::Refused {
            reason,
            retry_ms: RETRY_MS + spread,
        };
        self.actions.push(CoreAction::Answer { ticket, answer });
    }

    /// Share of new jobs that the leader does not take on, in percent.
    pub(super) fn refuse_percent(&self) -> u32 {
        match (self.lead.as_deref(), &self.leader) {
            (Some(lead), _) => 100 - lead.load.percent(),
            (None, Some(leader)) => leader.refuse_percent,
            (None, None) => 0,
        }
    }

    /// How a job ended, by the own book: what is in a follower's is kept, and an end stands for good.
    ///
    /// **NOTE:** One that is open here may be over meanwhile, so that is told only with the leader's
    /// word (see `follower_reads`): a caller that was told of a cancel is not shown the job as
    /// running by another instance.
    pub(super) fn committed_outcome(
        &self,
        job: JobId,
        caller: &CallerIdentity,
    ) -> Option<CallerAnswer> {
        if self.lead.is_some() {
            return None;
        }
        let record = self.book.job(job)?;
        let over = record.outcome != JobOutcome::Open && self.may_access(record, caller);
        over.then(|| CallerAnswer::State(record.state()))
    }

    fn send_ask(&mut self, ticket: Ticket) {
        let now = self.now;
        let Some(view) = self.leader.as_ref() else {
            return;
        };
        let leader = view.address;
        let own = leader == self.settings.address;
        if !own && (view.loading || self.age(view.last_contact) > self.silence_of_leader()) {
            // It stays certain that the request was not taken up. One that reads the ledger says
            // when it has it; requests sent over and over would fill the link that it reads by.
            return;
        }
        if own && !self.lead.as_ref().is_some_and(|lead| lead.loaded) {
            return;
        }
        let Some(ask) = self.open_requests.get_mut(&ticket) else {
            return;
        };
        ask.sent = Some((leader, now));
        let (request, caller) = (ask.request.clone(), ask.caller.clone());
        let table_version = ask.table_version;
        let first = ask.copies == 0;
        ask.copies += 1;
        if own {
            self.serve_read(Origin::Own(ticket), table_version, &caller, request);
        } else {
            let message = PeerMessage::Ask {
                ticket,
                table_version,
                caller,
                request,
            };
            // A question that is sent again goes the straight way.
            if first {
                self.send_via_hub(leader, message);
            } else {
                self.send_message(leader, message);
            }
        }
    }

    /// Silence of the leader after which it is not sent requests. Of many members the far ones are
    /// told of it by others, some tenths of a second later.
    fn silence_of_leader(&self) -> Duration {
        let far = self.is_behind_hubs();
        SILENT_LEADER + if far { TOLD_LATER } else { Duration::ZERO }
    }

    /// Sends all open requests to the leader that is known now.
    pub(super) fn resend_requests(&mut self) {
        let tickets: Vec<Ticket> = self.open_requests.keys().copied().collect();
        for ticket in tickets {
            if let Some(ask) = self.open_requests.get_mut(&ticket) {
                ask.reading = false;
                ask.sent = None;
            }
            self.send_ask(ticket);
        }
    }

    /// Has a request go to the leader that the own book could not answer.
    pub(super) fn request_leader_instead(&mut self, ticket: Ticket) {
        if let Some(ask) = self.open_requests.get_mut(&ticket) {
            ask.reading = false;
            ask.sent = None;
        }
        self.send_ask(ticket);
    }

    /// Sends again what had no answer, and gives up what would come too late.
    pub(super) fn run_open_requests(&mut self) {
        let now = self.now;
        let own = self.settings.address;
        let resent = self.enforces(SiteGuard::ResentAsk);
        let pause = RESEND_AFTER + self.round_trip_to_leader();
        let unanswered = |(to, at)| to != own && now.saturating_sub(at) > pause;
        let mut again = Vec::new();
        let mut over = Vec::new();
        for (ticket, ask) in &self.open_requests {
            let waited = now.saturating_sub(ask.since);
            if now >= ask.until || (waited > LEADER_WAIT && ask.sent.is_none()) {
                over.push(*ticket);
            } else if !ask.reading && ask.sent.is_none_or(|sent| resent && unanswered(sent)) {
                again.push(*ticket);
            }
        }
        for ticket in over {
            self.give_up(ticket);
        }
        for ticket in again {
            self.send_ask(ticket);
        }
    }

    fn give_up(&mut self, ticket: Ticket) {
        let Some(ask) = self.open_requests.remove(&ticket) else {
            return;
        };
        self.log_given_up(&ask);
        if ask.copies > 0 || ask.sent.is_some() {
            self.counters.count("refusals", "unknown");
            let answer = CallerAnswer::Unknown;
            self.actions.push(CoreAction::Answer { ticket, answer });
        } else {
            self.refuse(ticket, RefusalReason::NoLeader);
        }
    }

    pub(super) fn finish_request(&mut self, ticket: Ticket, answer: CallerAnswer) {
        let Some(ask) = self.open_requests.remove(&ticket) else {
            return;
        };
        let cancels = matches!(ask.request, CallerRequest::Cancel { .. });
        let answer = match answer {
            // A leader before may have kept it, so it is not sure that it never runs.
            CallerAnswer::Refused { .. } if ask.copies > 1 => CallerAnswer::Unknown,
            // Another copy may come after its job and take effect.
            CallerAnswer::NoSuchJob if cancels && ask.copies > 1 => CallerAnswer::Unknown,
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
            self.serve_read(Origin::Peer(from, ticket), table_version, caller, request);
        } else {
            let answer = None;
            self.send_via_hub(from, PeerMessage::Reply { ticket, answer });
        }
    }

    pub(super) fn handle_reply(
        &mut self,
        from: PeerAddress,
        ticket: Ticket,
        answer: Option<CallerAnswer>,
    ) {
        match answer {
            Some(CallerAnswer::Refused { .. }) if self.is_served_here(ticket) => {
                // The leader before turns its copy away; this instance answers its own.
                if let Some(ask) = self.open_requests.get_mut(&ticket) {
                    ask.copies = ask.copies.saturating_sub(1);
                }
            }
            Some(answer) => self.finish_request(ticket, answer),
            None => {
                let Some(ask) = self.open_requests.get_mut(&ticket) else {
                    return;
                };
                ask.copies = ask.copies.saturating_sub(1);
                if let Some(leader) = self.leader.as_mut().filter(|view| view.address == from) {
                    leader.loading = true;
                }
                if ask.sent.is_some_and(|(to, _)| to == from) {
                    // It did not take this copy up; it goes out again soon.
                    let back = RESEND_AFTER - Duration::from_millis(100);
                    ask.sent = Some((from, self.now.saturating_sub(back)));
                }
            }
        }
    }

    /// Tells whether this instance leads and has taken a request up itself.
    fn is_served_here(&self, ticket: Ticket) -> bool {
        let own = self.settings.address;
        let ask = self.open_requests.get(&ticket);
        ask.is_some_and(|ask| ask.sent.is_some_and(|(to, _)| to == own))
    }

    /// Answers a request about a job that was not known when it came, now that it is sure that this
    /// instance led then; meanwhile the job may have been handed in.
    pub(super) fn serve_unknown(&mut self, ask: UnknownJobRequest) {
        let known = match &ask.request {
            CallerRequest::Status { job } | CallerRequest::Cancel { job } => {
                self.book.job(*job).is_some()
            }
            CallerRequest::Submit { .. } | CallerRequest::Count { .. } => true,
        };
        if known {
            self.serve_request(ask.origin, &ask.caller, ask.request);
        } else {
            self.answer(ask.origin, CallerAnswer::NoSuchJob);
        }
    }

    /// Serves a request that was read under a version of the configuration.
    fn serve_read(
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
        match self.read_anew(request, caller, version) {
            Ok(request) => self.serve_request(origin, caller, request),
            Err(reason) => {
                let newer = self.table_version();
                let detail = format!(
                    "{}, read under version {version}, {newer} is in force",
                    reason.as_str()
                );
                self.log("callers", "refuse", id, detail);
                let retry_ms = RETRY_MS;
                let answer = match known {
                    // It may run, handed in before.
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

    /// Number of a queue's jobs of which no task has begun, as far as workers have told: an order
    /// without an answer may have begun nothing.
    ///
    /// The count goes through all jobs, thousands on a large site, and is asked for some ninety times
    /// a second there: one serves for a while.
    fn count_waiting(&mut self, queue: &str) -> u64 {
        let now = self.now;
        let lead = self.lead.as_deref();
        let known = lead.and_then(|lead| lead.waiting_counts.get(queue));
        let lately = known.filter(|(at, _)| now.saturating_sub(*at) < COUNT_AGE);
        if let Some((_, count)) = lately {
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
            open && !lead.begun.contains(&job.spec.id)
        };
        self.book.jobs().filter(waits).count() as u64
    }

    fn serve_status(&mut self, origin: Origin, caller: &CallerIdentity, job: JobId) {
        let Some(record) = self.book.job(job) else {
            self.confirm_unknown(origin, caller, CallerRequest::Status { job });
            return;
        };
        if !self.may_access(record, caller) {
            self.hide_job(origin, caller, job);
            return;
        }
        let state = record.state();
        let open = matches!(state, JobState::Pending | JobState::Running);
        // Another may have led while this instance stood still or was cut off, and cancelled or ended
        // the job.
        let doubts = self
            .lead
            .as_deref()
            .is_some_and(LeadState::must_confirm_lead);
        if open && (doubts || self.is_cut_off()) {
            self.confirm_unknown(origin, caller, CallerRequest::Status { job });
            return;
        }
        let ending = |lead: &LeadState| lead.ending.contains(&job);
        let state = if self.lead.as_deref().is_some_and(ending) {
            JobState::Running
        } else {
            state
        };
        if !matches!(state, JobState::Pending | JobState::Running) {
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
            self.confirm_unknown(origin, caller, CallerRequest::Cancel { job });
            return;
        };
        if !self.may_access(record, caller) {
            self.hide_job(origin, caller, job);
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

    /// Says that there is no such job only after it is sure that this instance leads.
    fn confirm_unknown(&mut self, origin: Origin, caller: &CallerIdentity, request: CallerRequest) {
        let at = self.now;
        let caller = caller.clone();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.confirm_waiting.push(UnknownJobRequest {
                at,
                origin,
                caller,
                request,
            });
        }
    }
}
