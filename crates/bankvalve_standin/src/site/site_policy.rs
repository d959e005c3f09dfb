//! The service that permits starts.

use bankvalve_queue::{AdviceAnswer, AdviceRequest, StepKey, WorkerId};
use xxhash_rust::xxh3::xxh3_64;

/// Hundred parts of a share.
const PARTS: u64 = 100;

/// Permits some workers to run a step; its answers do not change.
#[derive(Clone, Debug)]
pub struct SitePolicy {
    /// Share of workers that are good, in percent.
    pub good_percent: u64,
    /// Time for which a permit holds, in milliseconds.
    pub valid_ms: u64,
}

impl SitePolicy {
    /// Answers a question at a time in milliseconds.
    pub fn answer(&self, ask: &AdviceRequest, now_ms: u64) -> AdviceAnswer {
        let permits = ask
            .workers
            .iter()
            .filter(|worker| self.is_good(ask.step, worker))
            .map(|worker| (worker.clone(), self.permit(ask.step, worker, now_ms)))
            .collect();
        AdviceAnswer::Good {
            permits,
            valid_ms: self.valid_ms,
        }
    }

    /// Tells whether a permit holds for a step on a worker whose process started at a time: one that was
    /// given to the process before does not.
    pub fn holds(
        &self,
        step: StepKey,
        (worker, started_ms): (&str, u64),
        permit: &str,
        now_ms: u64,
    ) -> bool {
        let Some((given, name)) = permit.split_once('/') else {
            return false;
        };
        let given: u64 = given.parse().unwrap_or(0);
        let holds = given >= started_ms && now_ms <= given + self.valid_ms;
        holds && name == format!("{step}/{worker}")
    }

    fn permit(&self, step: StepKey, worker: &str, now_ms: u64) -> String {
        format!("{now_ms}/{step}/{worker}")
    }

    /// Tells whether a worker may run a step.
    pub fn is_good(&self, step: StepKey, worker: &WorkerId) -> bool {
        let text = format!("{step}/{worker}");
        xxh3_64(text.as_bytes()) % PARTS < self.good_percent
    }
}
