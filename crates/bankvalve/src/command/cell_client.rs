//! Typed calls of the versioned interface.

use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Method;
use bankvalve_cell::contract::{CellBundle, JobSpec};
use bankvalve_cell::link::{InstanceView, JobView, PartitionView, WorkerView};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::api_client::{ApiClient, CallAs};
use super::{CommandFailure, FailureKind};
use crate::serve::RecordEntry;

/// Time for which a refused job is submitted again when that may help.
const COME_BACK_TIME: Duration = Duration::from_secs(20);
/// Time after which a job whose submission had no answer is submitted again.
const ANSWER_LOST_TIME: Duration = Duration::from_millis(500);

/// Entry instances and the partitions that they own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<InstanceView>,
    /// The partitions.
    pub partitions: Vec<PartitionView>,
}

/// Calls of a team's callers.
impl ApiClient {
    /// Submits a job; tells whether it had been accepted before.
    ///
    /// Comes back when it is told to, for a while. Submitting again is safe
    /// even if an answer was lost: the job's id makes it the same job.
    ///
    /// # Errors
    ///
    /// Returns the last refusal.
    pub fn submit(&self, job: &JobSpec) -> Result<bool, CommandFailure> {
        let begun = Instant::now();
        loop {
            let failure = match self.submit_once(job) {
                Ok(again) => return Ok(again),
                Err(failure) => failure,
            };
            let wait = match failure.kind {
                FailureKind::Unknown => Some(ANSWER_LOST_TIME),
                _ => failure.retry_after_ms.map(Duration::from_millis),
            };
            match wait {
                Some(wait) if begun.elapsed() + wait < COME_BACK_TIME => {
                    log::info!("client: job {} is submitted again: {failure}", job.id);
                    thread::sleep(wait);
                }
                _ => return Err(failure),
            }
        }
    }

    /// Submits a job a single time; tells whether it had been accepted before.
    ///
    /// # Errors
    ///
    /// Returns why it was refused, or that it is not known.
    pub fn submit_once(&self, job: &JobSpec) -> Result<bool, CommandFailure> {
        let body = serde_json::to_value(job).unwrap_or_default();
        let answer: Value = self.post(CallAs::Team(&job.team), "/v1/jobs", &body)?;
        Ok(answer["again"] == Value::Bool(true))
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Returns why it was refused, or that it is not known.
    pub fn cancel(&self, team: &str, job: &str) -> Result<(), CommandFailure> {
        let path = format!("/v1/jobs/{team}/{job}");
        let _: Value = self.call(CallAs::Team(team), &Method::DELETE, &path, &[], &[])?;
        Ok(())
    }

    /// How a job stands.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be told.
    pub fn status(&self, team: &str, job: &str) -> Result<JobView, CommandFailure> {
        self.get(CallAs::Team(team), &format!("/v1/jobs/{team}/{job}"))
    }

    /// A team's jobs, without their tasks.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be told.
    pub fn jobs(&self, team: &str) -> Result<Vec<JobView>, CommandFailure> {
        self.get(CallAs::Team(team), &format!("/v1/jobs/{team}"))
    }

    /// The verified record of a team or a job.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read, or where it is broken.
    pub fn record(
        &self,
        team: &str,
        job: Option<&str>,
    ) -> Result<Vec<RecordEntry>, CommandFailure> {
        let path = match job {
            Some(job) => format!("/v1/record/{team}/{job}"),
            None => format!("/v1/record/{team}"),
        };
        self.get(CallAs::Team(team), &path)
    }

    /// Sends a request to a service; `once` forbids a second run.
    ///
    /// # Errors
    ///
    /// Returns that it did not run, or that it is not known whether it did.
    pub fn request(
        &self,
        team: &str,
        service: &str,
        body: &str,
        once: bool,
    ) -> Result<Value, CommandFailure> {
        let id = format!("{:016x}", rand::random::<u64>());
        let headers = [
            ("bankvalve-request", id.clone()),
            ("bankvalve-repeatable", (!once).to_string()),
        ];
        let path = format!("/v1/services/{team}/{service}/requests");
        let call_as = CallAs::Team(team);
        let answer: Value = self.call(call_as, &Method::POST, &path, &headers, body.as_bytes())?;
        let foreign = |found: &Value| *found != Value::String(id.clone());
        if answer.get("id").is_some_and(foreign) {
            let text = "expected the answer to this request, found another's";
            return Err(CommandFailure::new(FailureKind::Unknown, text));
        }
        Ok(answer)
    }
}

/// Calls of operators.
impl ApiClient {
    /// All workers, as their owners see them.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be listed.
    pub fn workers(&self) -> Result<Vec<WorkerView>, CommandFailure> {
        self.get(CallAs::Operator, "/v1/workers")
    }

    /// Drains a worker, or undoes that.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn drain_worker(&self, worker: &str, drain: bool) -> Result<(), CommandFailure> {
        let path = format!("/v1/workers/{worker}/drain");
        let _: Value = self.post(CallAs::Operator, &path, &json!({ "drain": drain }))?;
        Ok(())
    }

    /// All entry instances and what they own.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be listed.
    pub fn instances(&self) -> Result<InstanceList, CommandFailure> {
        self.get(CallAs::Operator, "/v1/instances")
    }

    /// Stops an entry instance as planned.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn drain_instance(&self, instance: &str) -> Result<(), CommandFailure> {
        let path = format!("/v1/instances/{instance}/drain");
        let _: Value = self.post(CallAs::Operator, &path, &json!({}))?;
        Ok(())
    }

    /// The bundle in force.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be shown.
    pub fn bundle(&self) -> Result<Value, CommandFailure> {
        self.get(CallAs::Operator, "/v1/bundle")
    }

    /// Puts a bundle in force after the version before it.
    ///
    /// # Errors
    ///
    /// Returns who won, if another did.
    pub fn accept_bundle(&self, bundle: &CellBundle) -> Result<(), CommandFailure> {
        let body = serde_json::to_value(bundle).unwrap_or_default();
        let _: Value = self.post(CallAs::Operator, "/v1/bundle", &body)?;
        Ok(())
    }

    /// Changes the log level of an entry instance.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn set_log_level(&self, level: &str) -> Result<(), CommandFailure> {
        let body = json!({ "level": level });
        let _: Value = self.post(CallAs::Operator, "/v1/log-level", &body)?;
        Ok(())
    }
}
