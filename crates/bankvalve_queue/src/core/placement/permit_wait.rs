//! When a long-running task that restarts has a permit for a worker.
//!
//! Capacity for such a task is planned where both the capacity and a permit are there soonest. So plans stay with the
//! workers for which permits are requested, unless another one is ready sooner. Otherwise a request would be sent
//! for each worker whose capacity happens to become free, and take the policy service's time from all others.

use std::time::Duration;

use crate::core::placement::StepToPlace;
use crate::core::EntryCore;
use crate::ids::WorkerId;

impl EntryCore {
    /// Returns the time until there is a permit for a worker whose capacity is free after a time: none if it has one
    /// that is still valid then, until its answer if it is requested, or else that of a request.
    pub(in crate::core) fn time_until_permit(
        &self,
        step: &StepToPlace,
        worker: &WorkerId,
        after: Duration,
    ) -> Duration {
        let (Some(rule), Some(lead)) = (step.rule, self.lead.as_deref()) else {
            return Duration::ZERO;
        };
        let takes = rule.time_for(1);
        let Some(advice) = lead.advice.get(&step.key) else {
            return takes;
        };
        let start_at = self.now + after + lead.time_to_commit();
        if advice.permit(worker, start_at).is_some() {
            return Duration::ZERO;
        }
        let in_flight = advice.in_flight.iter();
        let requested = in_flight.filter(|request| request.workers.contains(worker));
        let expected = requested.map(|request| request.expected).min();
        expected.map_or(takes, |expected| expected.saturating_sub(self.now))
    }
}
