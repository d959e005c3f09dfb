//! Jobs that are handed in: accepted, or refused and why.

use std::sync::Arc;

use super::callers::RETRY_MS;
use super::commit::{Effect, Origin};
use super::job_withdrawal::STORE_RETRY_MS;
use super::EntryCore;
use crate::caller::{CallerAnswer, RefusalReason};
use crate::ids::JobId;
use crate::job::{JobSpec, JobTerms};
use crate::ledger::LedgerEvent;

/// Most events that may wait to be kept.
const PENDING_LIMIT: usize = 5_000;

impl EntryCore {
    /// Serves a job that is handed in, as the leader.
    pub(super) fn serve_submit(&mut self, origin: Origin, spec: Arc<JobSpec>, terms: JobTerms) {
        let job = spec.id;
        if let Some(record) = self.book.job(job) {
            if record.spec.customer != spec.customer {
                let (owner, other) = (record.spec.customer.clone(), spec.customer.clone());
                self.refuse_stranger(origin, job, owner.as_deref(), other.as_deref());
                return;
            }
            if self.store_is_unavailable() && self.is_unkept(job) {
                self.answer(origin, CallerAnswer::Unknown);
                return;
            }
            self.follow_up(Effect::Answer(origin, CallerAnswer::Accepted));
            return;
        }
        if self.is_beyond_limit(&spec) {
            self.refuse_for_good(origin, job);
            return;
        }
        let refusal = self.refusal_of(&spec);
        if let Some((reason, retry_ms)) = refusal {
            let id = format!("{job:016x}");
            let customer = spec.customer.as_deref().unwrap_or("no customer");
            let detail = format!("{} of {customer}, back in {retry_ms} ms", reason.as_str());
            self.log("callers", "refuse", id, detail);
            self.answer(origin, CallerAnswer::Refused { reason, retry_ms });
            return;
        }
        self.accept(origin, spec, terms);
    }

    /// Why a new job is refused now, and when its caller may come back, in milliseconds.
    fn refusal_of(&mut self, spec: &JobSpec) -> Option<(RefusalReason, u64)> {
        let pending = self.lead.as_ref().map_or(0, |lead| lead.pending.len());
        if self.store_is_unavailable() {
            return Some((RefusalReason::StoreAway, STORE_RETRY_MS));
        }
        if pending > PENDING_LIMIT {
            return Some((RefusalReason::Overload, RETRY_MS));
        }
        let share = self.take_share(spec.id, spec.customer.as_ref());
        share
            .err()
            .map(|retry_ms| (RefusalReason::ShareSpent, retry_ms))
    }

    fn refuse_for_good(&mut self, origin: Origin, job: JobId) {
        self.counters.count("callers", "beyond_limit");
        let detail = "a gang in it is larger than its customer may run at once".to_owned();
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

    /// Tells whether something about a job is not kept yet.
    fn is_unkept(&self, job: JobId) -> bool {
        let lead = self.lead.as_deref();
        lead.is_some_and(|lead| lead.uncommitted.contains_key(&job))
    }
}
