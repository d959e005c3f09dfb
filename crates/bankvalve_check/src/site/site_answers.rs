//! The promise that each accepted job is answered for: by each instance, in time.

use bankvalve_queue::{CallerAnswer, CallerRequest, JobId};

use super::site_calls::OpenCall;
use super::site_calls::PATIENCE_MS;
use super::site_world::SiteWorld;

/// What a caller was told that asked one instance about one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteAnswer {
    /// The instance.
    pub node: usize,
    /// The job.
    pub job: JobId,
    /// Time from the question to the answer, in milliseconds.
    pub took_ms: u64,
    /// The answer.
    pub answer: CallerAnswer,
}

impl SiteAnswer {
    /// Tells whether it says how the job stands, and in time.
    pub fn is_state_in_time(&self) -> bool {
        matches!(self.answer, CallerAnswer::State(_)) && self.took_ms <= PATIENCE_MS
    }
}

impl SiteWorld {
    /// Asks each instance that runs about each job, once.
    pub fn ask_each(&mut self, jobs: &[JobId]) {
        for node in 0..self.nodes.len() {
            for job in jobs {
                self.ask_at(node, *job);
            }
        }
    }

    /// Asks one instance about a job, once, if it runs.
    pub fn ask_at(&mut self, node: usize, job: JobId) {
        let asked_at = self.now_ms;
        if self.nodes[node].is_up() {
            let call = OpenCall::Check {
                job,
                asked_at,
                after_cancel: self.rules.is_cancelled(job),
            };
            self.call(node, call, CallerRequest::Status { job });
        }
    }

    pub(super) fn note_answer(
        &mut self,
        node: usize,
        job: JobId,
        asked_at: u64,
        answer: CallerAnswer,
    ) {
        self.answers.push(SiteAnswer {
            node,
            job,
            took_ms: self.now_ms - asked_at,
            answer,
        });
    }

    /// Checks, once all who asked have had their time, that each was told how the job stands.
    pub fn check_answers(&mut self) {
        let now = self.now_ms;
        for ((node, _), call) in &self.calls {
            if let OpenCall::Check { job, .. } = call {
                let text = format!("{job:016x}: no answer from instance {node}");
                self.rules.breach("LOST", now, &text);
            }
        }
        for told in self.answers.iter().filter(|told| !told.is_state_in_time()) {
            let SiteAnswer {
                node,
                job,
                took_ms,
                answer,
            } = told;
            let text = format!("{job:016x}: {answer:?} from instance {node} after {took_ms} ms");
            self.rules.breach("LOST", now, &text);
        }
    }
}
