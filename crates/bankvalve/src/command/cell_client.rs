//! Typed calls to the versioned API.

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

/// How long `submit` keeps retrying a job that was refused with a retry time or got no answer.
const RESUBMIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a submission with an unknown outcome is retried.
const UNKNOWN_OUTCOME_DELAY: Duration = Duration::from_millis(500);

/// Entry instances, and the partitions with their owners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<InstanceView>,
    /// The partitions.
    pub partitions: Vec<PartitionView>,
}

/// Calls made on behalf of a team.
impl ApiClient {
    /// Submits a job and returns whether it had already been accepted.
    ///
    /// Retries for up to 20 s if the refusal names a retry time or the outcome is unknown. A retry is safe
    /// even if the job was accepted and the answer was lost, because the job's id identifies it.
    ///
    /// # Errors
    ///
    /// Returns the last failure.
    pub fn submit(&self, job: &JobSpec) -> Result<bool, CommandFailure> {
        let begun = Instant::now();
        loop {
            let failure = match self.submit_once(job) {
                Ok(again) => return Ok(again),
                Err(failure) => failure,
            };
            let wait = match failure.kind {
                FailureKind::Unknown => Some(UNKNOWN_OUTCOME_DELAY),
                _ => failure.retry_after_ms.map(Duration::from_millis),
            };
            match wait {
                Some(wait) if begun.elapsed() + wait < RESUBMIT_TIMEOUT => {
                    log::info!(
                        "client: resubmitting job {} after a failure: {failure}",
                        job.id
                    );
                    thread::sleep(wait);
                }
                _ => return Err(failure),
            }
        }
    }

    /// Submits a job without retrying and returns whether it had already been accepted.
    ///
    /// # Errors
    ///
    /// Returns why the call was refused or failed. The kind says whether it may have taken effect.
    pub fn submit_once(&self, job: &JobSpec) -> Result<bool, CommandFailure> {
        let body = serde_json::to_value(job).unwrap_or_default();
        let answer: Value = self.post(CallAs::Team(&job.team), "/v1/jobs", &body)?;
        Ok(answer["again"] == Value::Bool(true))
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Returns why the call was refused or failed. The kind says whether it may have taken effect.
    pub fn cancel(&self, team: &str, job: &str) -> Result<(), CommandFailure> {
        let path = format!("/v1/jobs/{team}/{job}");
        let _: Value = self.call(CallAs::Team(team), &Method::DELETE, &path, &[], &[])?;
        Ok(())
    }

    /// Returns the status of a job and its tasks.
    ///
    /// # Errors
    ///
    /// Returns why the status is not available.
    pub fn status(&self, team: &str, job: &str) -> Result<JobView, CommandFailure> {
        self.get(CallAs::Team(team), &format!("/v1/jobs/{team}/{job}"))
    }

    /// Returns the status of a team's jobs, without their tasks.
    ///
    /// # Errors
    ///
    /// Returns why the jobs cannot be listed.
    pub fn jobs(&self, team: &str) -> Result<Vec<JobView>, CommandFailure> {
        self.get(CallAs::Team(team), &format!("/v1/jobs/{team}"))
    }

    /// Returns the verified record of a team or of one job.
    ///
    /// # Errors
    ///
    /// Returns why the record cannot be read, or where its verification failed.
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

    /// Sends a request to a service and returns the answer.
    ///
    /// With `once`, the request is marked as not repeatable, so the cell never runs it a second time.
    ///
    /// # Errors
    ///
    /// Returns a failure whose kind says whether the request did not run or may have run.
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

/// Calls made by operators.
impl ApiClient {
    /// Returns all workers, with the state that the owners of their partitions report.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be listed.
    pub fn workers(&self) -> Result<Vec<WorkerView>, CommandFailure> {
        self.get(CallAs::Operator, "/v1/workers")
    }

    /// Drains a worker, or ends its drain if `drain` is false.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn drain_worker(&self, worker: &str, drain: bool) -> Result<(), CommandFailure> {
        let path = format!("/v1/workers/{worker}/drain");
        let _: Value = self.post(CallAs::Operator, &path, &json!({ "drain": drain }))?;
        Ok(())
    }

    /// Returns all entry instances and the owners of the partitions.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be listed.
    pub fn instances(&self) -> Result<InstanceList, CommandFailure> {
        self.get(CallAs::Operator, "/v1/instances")
    }

    /// Starts the planned stop of an entry instance, which hands over its partitions.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn drain_instance(&self, instance: &str) -> Result<(), CommandFailure> {
        let path = format!("/v1/instances/{instance}/drain");
        let _: Value = self.post(CallAs::Operator, &path, &json!({}))?;
        Ok(())
    }

    /// Returns the configuration bundle in force.
    ///
    /// # Errors
    ///
    /// Returns why the bundle cannot be read.
    pub fn bundle(&self) -> Result<Value, CommandFailure> {
        self.get(CallAs::Operator, "/v1/bundle")
    }

    /// Puts a bundle in force if its version is one higher than that of the bundle in force.
    ///
    /// # Errors
    ///
    /// Returns why the bundle was refused. A version conflict names the bundle in force and its author.
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
