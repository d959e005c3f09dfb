//! Cancels of unknown jobs: recorded in the ledger before they are answered, so that a submission that is still
//! under way does not start the job, at this leader or a later one.

use std::sync::Arc;

use super::callers::RETRY_MS;
use super::commit::{Effect, Origin};
use super::EntryCore;
use crate::caller::{CallerAnswer, CallerRequest, RefusalReason};
use crate::customer::CallerIdentity;
use crate::guard::SiteGuard;
use crate::ids::JobId;
use crate::job::{JobSpec, JobTerms};
use crate::ledger::LedgerEvent;

impl EntryCore {
    /// Cancels a job that the caller must not know of or that does not exist, and answers that there is no such
    /// job.
    ///
    /// Nothing is promised if the cancel cannot be recorded: too many are for the caller's customer, or in all.
    pub(super) fn cancel_unknown(&mut self, origin: Origin, caller: &CallerIdentity, job: JobId) {
        if !self.enforces(SiteGuard::EarlyCancel) {
            self.await_confirmation(origin, caller, CallerRequest::Cancel { job });
            return;
        }
        let customer = &caller.customer;
        let retention_ms = self.settings.status_time.as_millis() as u64;
        let recorded_at = self.book.early_cancel(job, customer);
        // Records are kept for twice that time, so this one lasts as long as one of an ended job.
        let is_recorded = recorded_at.is_some_and(|at| self.wall < at + retention_ms);
        let effect = Effect::Answer(origin, CallerAnswer::NoSuchJob);
        if is_recorded {
            self.follow_up(effect);
            return;
        }
        if recorded_at.is_none() && !self.book.has_capacity_for_early_cancel(customer) {
            let reason = RefusalReason::CancelsFull;
            let retry_ms = RETRY_MS;
            self.answer(origin, CallerAnswer::Refused { reason, retry_ms });
            return;
        }
        self.counters.count("jobs", "cancelled_unknown");
        self.log_often("callers", "cancel_unknown", || {
            let detail = "no such job, a later submission of it is not started".to_owned();
            (format!("{job:016x}"), detail)
        });
        let event = LedgerEvent::CancelledUnknown {
            job,
            customer: customer.clone(),
            at: self.wall,
        };
        self.propose(event, effect);
    }

    /// Returns whether a caller that may cancel a submitted job did so before the job was known.
    pub(super) fn is_cancelled_early(&self, spec: &JobSpec) -> bool {
        let mut cancellers = self.book.early_cancellers(spec.id);
        cancellers.any(|customer| self.may_access_job_of(spec, customer.as_ref()))
    }

    /// Accepts a job that was cancelled before. None of its tasks starts, and its state is `cancelled`, so that
    /// the answers to the submission, to the cancel and to later requests agree.
    pub(super) fn accept_cancelled(&mut self, origin: Origin, spec: Arc<JobSpec>, terms: JobTerms) {
        let id = format!("{:016x}", spec.id);
        let detail = format!("queue {}, cancelled before it was submitted", spec.queue);
        self.log("callers", "accept_cancelled", id, detail);
        self.counters.count("jobs", "accepted_cancelled");
        let at = self.wall;
        let event = LedgerEvent::AcceptedCancelled { spec, terms, at };
        self.propose(event, Effect::Answer(origin, CallerAnswer::Accepted));
    }
}
