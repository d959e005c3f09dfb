//! Which jobs a customer may see and cancel.

use super::commit::Origin;
use super::EntryCore;
use crate::caller::CallerAnswer;
use crate::customer::{CallerIdentity, CustomerName};
use crate::ids::JobId;
use crate::job::JobSpec;
use crate::ledger::JobRecord;

/// Log text for a caller or a job without a customer.
const NO_CUSTOMER: &str = "no customer";

impl EntryCore {
    /// Returns whether a caller may see and cancel a job. The job's customer may, and everyone may if the
    /// job has no customer or its queue is public.
    pub(super) fn may_access(&self, record: &JobRecord, caller: &CallerIdentity) -> bool {
        self.may_access_job_of(&record.spec, caller.customer.as_ref())
    }

    /// Returns whether callers of a customer may see and cancel a job.
    pub(super) fn may_access_job_of(
        &self,
        spec: &JobSpec,
        customer: Option<&CustomerName>,
    ) -> bool {
        if spec.customer.is_none() || spec.customer.as_ref() == customer {
            return true;
        }
        let rule = self
            .table
            .as_ref()
            .and_then(|table| table.queue(&spec.queue));
        rule.is_some_and(|rule| !rule.keyed)
    }

    /// Logs a request about another customer's job. Its answer is the same as if the job did not exist.
    pub(super) fn log_hidden_job(&mut self, caller: &CallerIdentity, job: JobId) {
        let record = self.book.job(job);
        let owner = record.and_then(|record| record.spec.customer.clone());
        self.log_foreign_access(job, owner.as_deref(), caller.customer.as_deref());
    }

    /// Refuses a job that is submitted under the id of another customer's job.
    pub(super) fn refuse_foreign_id(
        &mut self,
        origin: Origin,
        job: JobId,
        owner: Option<&str>,
        requester: Option<&str>,
    ) {
        self.log_foreign_access(job, owner, requester);
        self.answer(origin, CallerAnswer::IdInUse);
    }

    fn log_foreign_access(&mut self, job: JobId, owner: Option<&str>, requester: Option<&str>) {
        self.counters.count("callers", "other_customer");
        let (owner, requester) = (
            owner.unwrap_or(NO_CUSTOMER),
            requester.unwrap_or(NO_CUSTOMER),
        );
        self.log_often("callers", "other_customer", || {
            let detail = format!("requested by {requester}, the job belongs to {owner}");
            (format!("{job:016x}"), detail)
        });
    }
}
