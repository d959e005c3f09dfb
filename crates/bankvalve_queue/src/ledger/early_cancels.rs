//! Cancels that arrived before their job: kept until no copy of the submission can arrive any more.

use std::collections::BTreeMap;

use crate::customer::CustomerName;
use crate::ids::{JobId, WallMillis};

/// Maximum number of recorded cancels of one customer. Callers without a customer count as one.
const MAX_CANCELS_PER_CUSTOMER: usize = 8_192;
/// Maximum number of recorded cancels of all customers.
const MAX_CANCELS: usize = 65_536;

/// Cancels of jobs that were unknown when their caller was told so, by job and customer of the caller.
///
/// A submission of such a job may still be under way: at an instance that stands still, on a link between
/// instances, or at a former leader. It must not start the job.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyCancels {
    cancelled_at: BTreeMap<(JobId, Option<CustomerName>), WallMillis>,
    counts: BTreeMap<Option<CustomerName>, usize>,
}

impl EarlyCancels {
    /// Records a cancel. A repeated one counts from its later time.
    pub(super) fn record(&mut self, job: JobId, customer: &Option<CustomerName>, at: WallMillis) {
        let key = (job, customer.clone());
        let latest = self.cancelled_at.get(&key).copied().unwrap_or(0).max(at);
        if self.cancelled_at.insert(key, latest).is_none() {
            *self.counts.entry(customer.clone()).or_default() += 1;
        }
    }

    /// Returns when a customer's callers last cancelled a job.
    pub(super) fn cancelled_at(
        &self,
        job: JobId,
        customer: &Option<CustomerName>,
    ) -> Option<WallMillis> {
        let key = (job, customer.clone());
        self.cancelled_at.get(&key).copied()
    }

    /// Returns the customers whose callers have cancelled a job.
    pub(super) fn customers(&self, job: JobId) -> impl Iterator<Item = &Option<CustomerName>> {
        let of_job = self.cancelled_at.range((job, None)..);
        let of_job = of_job.take_while(move |((cancelled, _), _)| *cancelled == job);
        of_job.map(|((_, customer), _)| customer)
    }

    /// Returns whether another cancel of a customer can be recorded.
    pub(super) fn has_capacity(&self, customer: &Option<CustomerName>) -> bool {
        let count = self.counts.get(customer).copied().unwrap_or(0);
        count < MAX_CANCELS_PER_CUSTOMER && self.cancelled_at.len() < MAX_CANCELS
    }

    /// Removes the cancels from before a time.
    pub(super) fn forget(&mut self, before: WallMillis) {
        let counts = &mut self.counts;
        self.cancelled_at.retain(|(_, customer), at| {
            let kept = *at >= before;
            if let Some(count) = counts.get_mut(customer).filter(|_| !kept) {
                *count -= 1;
            }
            kept
        });
        counts.retain(|_, count| *count > 0);
    }
}
