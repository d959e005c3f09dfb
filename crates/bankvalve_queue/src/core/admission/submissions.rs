//! Submitted jobs: whether they are accepted, or why they are refused.

use std::sync::Arc;

use crate::caller::{CallerAnswer, RefusalReason};
use crate::core::callers::RETRY_MS;
use crate::core::commit::{Effect, Origin};
use crate::core::job_withdrawal::STORE_RETRY_MS;
use crate::core::EntryCore;
use crate::ids::JobId;
use crate::job::{JobSpec, JobTerms};
use crate::ledger::LedgerEvent;

/// Maximum number of pending events above which new jobs are refused.
const MAX_PENDING_EVENTS: usize = 5_000;

/// Why a new job is refused.
struct Refusal {
    reason: RefusalReason,
    /// Time after which its caller may retry, in milliseconds.
    retry_ms: u64,
    /// What the decision is based on, for the log.
    why: String,
}

impl Refusal {
    fn new(reason: RefusalReason, retry_ms: u64) -> Self {
        let why = String::new();
        Self {
            reason,
            retry_ms,
            why,
        }
    }
}

impl EntryCore {
    /// Accepts or refuses a submitted job, as the leader.
    pub(in crate::core) fn serve_submit(
        &mut self,
        origin: Origin,
        spec: Arc<JobSpec>,
        terms: JobTerms,
    ) {
        let job = spec.id;
        if let Some(record) = self.book.job(job) {
            if record.spec.customer != spec.customer {
                let (owner, submitter) = (record.spec.customer.clone(), spec.customer.clone());
                self.refuse_foreign_id(origin, job, owner.as_deref(), submitter.as_deref());
                return;
            }
            if self.store_is_unavailable() && self.is_uncommitted(job) {
                self.answer(origin, CallerAnswer::Unknown);
                return;
            }
            self.follow_up(Effect::Answer(origin, CallerAnswer::Accepted));
            return;
        }
        if self.is_cancelled_early(&spec) && !self.store_is_unavailable() {
            self.accept_cancelled(origin, spec, terms);
            return;
        }
        if self.is_beyond_limit(&spec) {
            self.refuse_beyond_limit(origin, job);
            return;
        }
        if let Some(refusal) = self.refusal_of(&spec, &terms) {
            let Refusal {
                reason, retry_ms, ..
            } = refusal;
            self.log_often("callers", "refuse", || {
                let customer = spec.customer.as_deref().unwrap_or("no customer");
                let (reason, why) = (reason.as_str(), refusal.why);
                let detail = format!("{reason} of {customer}, retry in {retry_ms} ms{why}");
                (format!("{job:016x}"), detail)
            });
            self.answer(origin, CallerAnswer::Refused { reason, retry_ms });
            return;
        }
        self.record_accepted_work(&spec, &terms);
        self.accept(origin, spec, terms);
    }

    /// Returns why a new job is refused now, or `None` if it is accepted.
    fn refusal_of(&mut self, spec: &JobSpec, terms: &JobTerms) -> Option<Refusal> {
        let pending = self.lead.as_ref().map_or(0, |lead| lead.pending.len());
        if self.store_is_unavailable() {
            return Some(Refusal::new(RefusalReason::StoreAway, STORE_RETRY_MS));
        }
        if pending > MAX_PENDING_EVENTS {
            return Some(Refusal::new(RefusalReason::Overload, RETRY_MS));
        }
        if let Some((retry_ms, why)) = self.refuse_by_forecast(spec, terms) {
            let refusal = Refusal::new(RefusalReason::Forecast, retry_ms);
            return Some(Refusal { why, ..refusal });
        }
        let share = self.take_share(spec.id, spec.customer.as_ref());
        let refuse = |retry_ms| Refusal::new(RefusalReason::ShareSpent, retry_ms);
        share.err().map(refuse)
    }

    fn refuse_beyond_limit(&mut self, origin: Origin, job: JobId) {
        self.counters.count("callers", "beyond_limit");
        let detail = "a gang of the job exceeds its customer's limit".to_owned();
        self.log("callers", "beyond_limit", format!("{job:016x}"), detail);
        self.answer(origin, CallerAnswer::BeyondLimit);
    }

    fn accept(&mut self, origin: Origin, spec: Arc<JobSpec>, terms: JobTerms) {
        let job = spec.id;
        let tasks: u32 = spec.steps.iter().map(|step| step.count).sum();
        let chain = spec.chains_ms().into_iter().max().unwrap_or(0);
        let detail = format!(
            "queue {} steps {} tasks {tasks} chain {chain} ms",
            spec.queue,
            spec.steps.len()
        );
        self.log("callers", "accept", format!("{job:016x}"), detail);
        self.counters.count("jobs", "accepted");
        let at = self.wall;
        let event = LedgerEvent::Accepted { spec, terms, at };
        self.propose(event, Effect::Answer(origin, CallerAnswer::Accepted));
        self.schedule_times(job);
    }

    /// Returns whether a job has events that are not committed yet.
    fn is_uncommitted(&self, job: JobId) -> bool {
        let lead = self.lead.as_deref();
        lead.is_some_and(|lead| lead.uncommitted.contains_key(&job))
    }
}
