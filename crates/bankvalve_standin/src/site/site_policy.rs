//! Policy service: issues the permits that starts require.

use bankvalve_queue::{AdviceAnswer, AdviceRequest, StepKey, WorkerId};
use xxhash_rust::xxh3::xxh3_64;

/// Divisor that maps a hash to a percentage.
const PERCENT: u64 = 100;

/// Policy under which a fixed share of the workers may run a step. The same step and worker always get the
/// same decision.
#[derive(Clone, Debug)]
pub struct SitePolicy {
    /// Share of workers that may run a step, in percent.
    pub good_percent: u64,
    /// Time for which a permit is valid, in milliseconds.
    pub valid_ms: u64,
}

impl SitePolicy {
    /// Answers an advice request that arrives at `now_ms`.
    pub fn answer(&self, request: &AdviceRequest, now_ms: u64) -> AdviceAnswer {
        let permits = request
            .workers
            .iter()
            .filter(|worker| self.is_good(request.step, worker))
            .map(|worker| (worker.clone(), self.permit(request.step, worker, now_ms)))
            .collect();
        AdviceAnswer::Good {
            permits,
            valid_ms: self.valid_ms,
        }
    }

    /// Returns whether a permit is valid for a step on a worker whose process started at `started_ms`.
    /// Permits that were issued before that time are not valid.
    pub fn is_permit_valid(
        &self,
        step: StepKey,
        (worker, started_ms): (&str, u64),
        permit: &str,
        now_ms: u64,
    ) -> bool {
        let Some((issued_ms, name)) = permit.split_once('/') else {
            return false;
        };
        let issued_ms: u64 = issued_ms.parse().unwrap_or(0);
        let valid = issued_ms >= started_ms && now_ms <= issued_ms + self.valid_ms;
        valid && name == format!("{step}/{worker}")
    }

    fn permit(&self, step: StepKey, worker: &str, now_ms: u64) -> String {
        format!("{now_ms}/{step}/{worker}")
    }

    /// Returns whether a worker may run a step.
    pub fn is_good(&self, step: StepKey, worker: &WorkerId) -> bool {
        let text = format!("{step}/{worker}");
        xxh3_64(text.as_bytes()) % PERCENT < self.good_percent
    }
}
